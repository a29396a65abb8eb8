package controlstate

import (
	"fmt"
	"time"

	"pebbleloom/internal/control/controlclient"
	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/sim/history"
	"pebbleloom/internal/wire"
)

// Numbers of other changes acknowledged in the meantime after which a retry counts as late or very late.
const lateAfter, veryLateAfter = 40, 256

// groupChange is a change of the routing configuration that an operator makes, based on a version.
type groupChange struct {
	name                    string
	baseVersion, newVersion uint64
	body                    string
	ackedAt                 time.Duration // time at which the change was first acknowledged; 0: never
	ackedBefore             int           // number of changes that had been acknowledged when this one was created
	attempts                int
	createdAt               time.Duration
}

// readAt starts a read at a node, and calls then with the result if the read succeeds.
func (s *groupSim) readAt(node *groupSimNode, then func(version uint64, body string)) {
	if !s.isHealthy(node) || s.isSuperseded(node) {
		return
	}
	startedAt, generation, confirmed := s.now, node.generation, make(chan bool, 1)
	node.shard.beginRead(confirmed)
	s.runStep(node)
	s.inProgress = append(s.inProgress, func() bool {
		select {
		case ok := <-confirmed:
			if ok && node.generation == generation && s.isHealthy(node) {
				documents, _ := node.shard.selectDocuments(&wire.ReadRequest{Key: routingconfig.DocumentKey})
				if len(documents) == 0 {
					then(0, "")
				} else {
					then(documents[0].Version, string(documents[0].Body))
				}
			}
			return false
		default:
			return node.generation == generation && s.now-startedAt < responseTimeout
		}
	})
}

// read sends a read of the routing configuration to a node and checks the result against earlier changes and reads.
func (s *groupSim) read(node *groupSimNode) {
	startedAt, query := s.now, s.history.BeginRead(routingconfig.DocumentKey)
	s.readAt(node, func(version uint64, body string) {
		query.Complete(version, body)
		read := &simRead{sentAt: startedAt, answeredAt: s.now, version: version, body: body}
		s.reads = append(s.reads, read)
		s.knownVersion = max(s.knownVersion, version)
		s.count("read")
		s.checkIsolated(node, startedAt, "served a read")
		for _, change := range s.changes {
			if change.ackedAt > 0 && change.ackedAt < read.sentAt && change.newVersion > version {
				s.violationf("read returned version %d, although version %d had been acknowledged before the read started", version, change.newVersion)
			}
			if change.ackedAt > 0 && change.newVersion == version && change.body != body {
				s.violationf("read of version %d returned body %q, want the acknowledged body %q", version, body, change.body)
			}
		}
		for _, earlier := range s.reads {
			if earlier.answeredAt < read.sentAt && earlier.version > version || earlier.version == version && earlier.body != body {
				s.violationf("read returned version %d with body %q after an earlier read returned version %d with body %q", version, body, earlier.version, earlier.body)
			}
		}
	})
}

// checkIsolated checks, when a node has served a request, that the node was not isolated in both directions when the
// request was sent. action describes what the node did.
func (s *groupSim) checkIsolated(node *groupSimNode, sentAt time.Duration, action string) {
	if s.isolatedAddr != node.addr || sentAt <= s.isolatedSince || node.shard == nil {
		return
	}
	if members, _, _ := node.shard.core.Members(); len(members) > 1 { // a group of one member may serve in isolation
		s.violationf("node %s %s that was sent at %v, although the node has been isolated since %v", node.addr, action, sentAt, s.isolatedSince)
	}
}

// sendCommand sends a command to a node and calls done with the response. The request or the response may be lost, in
// which case done is not called.
func (s *groupSim) sendCommand(node *groupSimNode, request *wire.ChangeRequest, done func(*wire.ChangeResponse)) {
	s.proposeCommand(node, request, func(response *wire.ChangeResponse, _ bool) { done(response) })
}

// proposeCommand is like sendCommand, but also reports whether the response comes from a committed entry.
func (s *groupSim) proposeCommand(node *groupSimNode, request *wire.ChangeRequest, done func(response *wire.ChangeResponse, committed bool)) {
	if !s.isRunning(node) || s.isSuperseded(node) || s.random.Float64() < s.lossRate {
		return
	}
	pending, response := node.shard.propose(request, nil)
	generation, isLost, committed := node.generation, s.random.Float64() < s.lossRate, response == nil
	isSameProcess := func() bool { return node.generation == generation }
	s.runStep(node)
	s.awaitResponse(response, pending.response, isSameProcess, func(response *wire.ChangeResponse) {
		if !isLost && s.isRunning(node) {
			done(response, committed)
		}
	})
}

// newChange returns a new change that is based on the newest version that operators know of and produces the given
// version, which the operator chose.
func (s *groupSim) newChange(version uint64) *groupChange {
	change := &groupChange{name: fmt.Sprintf("w%d", len(s.changes)), baseVersion: s.knownVersion, newVersion: version, ackedBefore: s.ackedCount, createdAt: s.now}
	change.body = string(body(version, change.name+s.bodyPadding))
	s.changes = append(s.changes, change)
	return change
}

// earlierChange draws one of the changes created so far, either from the most recent ones or from all. It returns nil if
// there is none.
func (s *groupSim) earlierChange() *groupChange {
	const recentChanges = 8
	count := len(s.changes)
	if count == 0 {
		return nil
	}
	if !s.allFaults || s.random.IntN(2) == 0 {
		return s.changes[max(0, count-1-s.random.IntN(recentChanges))]
	}
	return s.changes[s.random.IntN(count)]
}

// writeChange sends a new change, or retries an earlier one, whatever its outcome was. onAcked, unless it is nil, is
// called with the leader that acknowledged the change.
func (s *groupSim) writeChange(onAcked func(*groupSimNode)) {
	node := s.randomNode()
	if leader := s.leader(); leader != nil && s.random.IntN(3) > 0 {
		node = leader
	}
	if change := s.earlierChange(); change != nil && s.random.IntN(3) == 0 {
		s.sendChange(change, node, onAcked)
		return
	}
	next := s.knownVersion + 1 + s.random.Uint64N(3)
	if !s.allFaults {
		s.sendChange(s.newChange(next), node, onAcked)
		return
	}
	switch s.random.IntN(12) {
	case 0: // two operators make different changes on the same base version
		s.count("two changes on one base version")
		s.sendChange(s.newChange(next), s.randomNode(), onAcked)
		s.sendChange(s.newChange(next), node, onAcked)
	case 1: // two operators send the same change
		s.count("same change sent twice at once")
		change := s.newChange(next)
		s.sendChange(change, s.randomNode(), onAcked)
		s.sendChange(change, node, onAcked)
	case 2:
		s.sendBurst(onAcked)
	default:
		s.sendChange(s.newChange(next), node, onAcked)
	}
}

// sendBurst sends eight changes at the same time, mostly to nodes that are not the leader.
func (s *groupSim) sendBurst(onAcked func(*groupSimNode)) {
	const burstSize = 8
	s.count("burst of changes")
	for i := range uint64(burstSize) {
		node := s.randomNode()
		if node == s.leader() {
			node = s.randomNode()
		}
		change := s.earlierChange()
		if change == nil || s.random.IntN(4) > 0 {
			change = s.newChange(s.knownVersion + 1 + i%3)
		}
		s.sendChange(change, node, onAcked)
	}
}

// sendChange sends a change to a node, which forwards it to the leader if that is another node. onAcked, unless it is
// nil, is called with the leader that acknowledged the change.
func (s *groupSim) sendChange(change *groupChange, node *groupSimNode, onAcked func(*groupSimNode)) {
	attempt := s.history.BeginAttempt(history.Change{Key: routingconfig.DocumentKey, Token: change.body, BaseVersion: change.baseVersion, NewVersion: change.newVersion, Body: change.body})
	if change.attempts++; change.attempts > 1 {
		s.count("retried")
		if s.ackedCount-change.ackedBefore >= lateAfter {
			s.count("retried late")
		}
		if s.ackedCount-change.ackedBefore >= veryLateAfter {
			s.count("retried very late")
		}
	}
	s.fireEvent(eventChangeSent)
	leader := s.forwardTarget(node)
	if leader == nil || s.isPartitioned(node.addr, leader.addr) {
		return
	}
	if leader != node {
		s.count("change forwarded to the leader")
	}
	request := putRequest(&wire.Put{Key: routingconfig.DocumentKey, Body: []byte(change.body), IfVersion: change.baseVersion, Token: change.body})
	sentAt, wasAcked := s.now, change.ackedAt > 0
	s.executeChange(leader, request, func(response *wire.ChangeResponse) {
		if leader != node && s.callFails(node.addr, leader.addr) {
			s.count("response lost")
			return
		}
		s.checkIsolated(leader, sentAt, "responded "+string(response.Outcome)+" to a change")
		s.handleChangeResponse(change, attempt, leader, response, wasAcked)
		if response.Outcome == wire.OutcomeDone && onAcked != nil {
			onAcked(leader)
		}
	})
}

// executeChange performs the steps of shard.change: a quorum confirms the leader, the change is proposed, and an outcome
// that was decided from the applied state without a committed entry is decided again after another confirmation.
func (s *groupSim) executeChange(node *groupSimNode, request *wire.ChangeRequest, done func(*wire.ChangeResponse)) {
	s.readAt(node, func(uint64, string) {
		s.proposeCommand(node, request, func(response *wire.ChangeResponse, committed bool) {
			if committed || !isDecidedByState(response.Outcome) {
				done(response)
				return
			}
			s.readAt(node, func(uint64, string) {
				s.sendCommand(node, request, done)
			})
		})
	})
}

// forwardTarget returns the node to which a node forwards changes: itself if it is the leader or if allFaults is not set,
// otherwise the leader that it knows of. It returns nil if there is none.
func (s *groupSim) forwardTarget(node *groupSimNode) *groupSimNode {
	if !s.isRunning(node) || s.isSuperseded(node) {
		return nil
	}
	view := node.shard.published.current()
	if view.isLeader || !s.allFaults {
		return node
	}
	return s.node(controlclient.MemberAddr(view.leader))
}

// handleChangeResponse records and checks the response to a change. wasAcked: the change had been acknowledged before
// this attempt was sent.
func (s *groupSim) handleChangeResponse(change *groupChange, attempt *history.Attempt, leader *groupSimNode, response *wire.ChangeResponse, wasAcked bool) {
	switch response.Outcome {
	case wire.OutcomeDone:
		attempt.Complete(history.Acknowledged, response.Version)
		if response.Version != change.newVersion {
			s.violationf("change %s to version %d was acknowledged as version %d", change.name, change.newVersion, response.Version)
		}
		if change.ackedAt == 0 {
			change.ackedAt = s.now
			s.ackedCount++
			s.count("acked")
		} else {
			s.count("acknowledged again")
		}
		s.knownVersion = max(s.knownVersion, response.Version)
		s.tracef("node %s acknowledged change %s, based on version %d, as version %d", leader.addr, change.name, change.baseVersion, change.newVersion)
		s.fireEvent(eventAcknowledged)
	case wire.OutcomeConflict:
		attempt.Complete(history.Rejected, response.Version)
		s.knownVersion = max(s.knownVersion, response.Version)
		s.count("rejected")
	case wire.OutcomeBadInput:
		attempt.Complete(history.Rejected, response.Version)
		s.count("rejected")
	case wire.OutcomeNotLeader, wire.OutcomeOverloaded:
		attempt.Complete(history.NotExecuted, 0)
		s.count("not executed")
	}
	if wasAcked && (response.Outcome == wire.OutcomeConflict || response.Outcome == wire.OutcomeBadInput) {
		s.violationf("retry of acknowledged change %s got outcome %s, want it acknowledged again", change.name, response.Outcome)
	}
}

// requestLease sends a random client's request for the lease, usually to the leader.
func (s *groupSim) requestLease() {
	holder := s.drawLeaseHolder()
	if holder == nil {
		return
	}
	requestedAt, sentAt, grant := holder.clock.Now(), s.now, holder.lease.GrantRequest()
	s.setRequestPending(holder)
	node := s.leader()
	if node == nil || s.random.IntN(8) == 0 {
		node = s.randomNode()
	}
	s.sendCommand(node, grantRequest(grant), func(response *wire.ChangeResponse) {
		s.handleLeaseResponse(holder, requestedAt, response)
		if response.Outcome == wire.OutcomeDone {
			s.checkIsolated(node, sentAt, "granted a lease by a request")
			s.checkFencingToken(response.Fence, grant.Holder)
		}
	})
}

// checkFencingToken checks that the lease is never granted to two clients under the same fencing token.
func (s *groupSim) checkFencingToken(token uint64, holder string) {
	if other := s.fencingTokenHolders[token]; other != "" && other != holder {
		s.violationf("lease was granted to both %s and %s under fencing token %d", other, holder, token)
	}
	s.fencingTokenHolders[token] = holder
}
