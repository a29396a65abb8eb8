package controlstate

import (
	"fmt"
	"time"

	"pebbleloom/internal/control/controlclient"
	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/sim/history"
	"pebbleloom/internal/wire"
)

// A change that is retried after this many others were acknowledged counts as late, or very late.
const lateAfter, veryLateAfter = 40, 256

// groupChange is a configuration that an operator builds on a version.
type groupChange struct {
	name                    string
	baseVersion, newVersion uint64
	body                    string
	ackedAt                 time.Duration // when it was first acknowledged; zero: never
	ackedBefore             int           // how many changes had been acknowledged when it was made
	attempts                int
	createdAt               time.Duration
}

// readAt begins a read at a node, and calls then with what it returns.
func (s *groupSim) readAt(node *groupSimNode, then func(version uint64, body string)) {
	if !s.isHealthy(node) || s.isAbandoned(node) {
		return
	}
	begun, generation, confirmed := s.now, node.generation, make(chan bool, 1)
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
			return node.generation == generation && s.now-begun < answerTimeout
		}
	})
}

// read is a reader's request to a node, and the checks of what it returns.
func (s *groupSim) read(node *groupSimNode) {
	begun, query := s.now, s.history.BeginRead(routingconfig.DocumentKey)
	s.readAt(node, func(version uint64, body string) {
		query.Complete(version, body)
		read := &simRead{sentAt: begun, answeredAt: s.now, version: version, body: body}
		s.reads = append(s.reads, read)
		s.knownVersion = max(s.knownVersion, version)
		s.count("read")
		s.checkIsolated(node, begun, "answers a read")
		for _, change := range s.changes {
			if change.ackedAt > 0 && change.ackedAt < read.sentAt && change.newVersion > version {
				s.violationf("read version %d after %d was acknowledged", version, change.newVersion)
			}
			if change.ackedAt > 0 && change.newVersion == version && change.body != body {
				s.violationf("read another body under version %d", version)
			}
		}
		for _, earlier := range s.reads {
			if earlier.answeredAt < read.sentAt && earlier.version > version || earlier.version == version && earlier.body != body {
				s.violationf("read version %d %q after %d %q", version, body, earlier.version, earlier.body)
			}
		}
	})
}

// checkIsolated checks that a node that is isolated in both directions serves no request that was sent
// to it since.
func (s *groupSim) checkIsolated(node *groupSimNode, sentAt time.Duration, what string) {
	if s.isolatedAddr != node.addr || sentAt <= s.isolatedSince || node.shard == nil {
		return
	}
	if members, _, _ := node.shard.core.Members(); len(members) > 1 { // else it is the only member
		s.violationf("%s, isolated since %v, %s of %v", node.addr, s.isolatedSince, what, sentAt)
	}
}

// sendCommand sends a command to a node and waits for its answer. The request or the answer may be lost.
func (s *groupSim) sendCommand(node *groupSimNode, request *wire.ChangeRequest, done func(*wire.ChangeResponse)) {
	s.proposeCommand(node, request, func(response *wire.ChangeResponse, _ bool) { done(response) })
}

// proposeCommand is sendCommand that also reports whether the answer comes from a committed entry.
func (s *groupSim) proposeCommand(node *groupSimNode, request *wire.ChangeRequest, done func(response *wire.ChangeResponse, committed bool)) {
	if !s.isRunning(node) || s.isAbandoned(node) || s.random.Float64() < s.lossRate {
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

// newChange is a change that builds on the newest version that operators have heard of, and makes a
// version that the operator chose.
func (s *groupSim) newChange(version uint64) *groupChange {
	change := &groupChange{name: fmt.Sprintf("w%d", len(s.changes)), baseVersion: s.knownVersion, newVersion: version, ackedBefore: s.ackedCount, createdAt: s.now}
	change.body = string(body(version, change.name+s.bodyPadding))
	s.changes = append(s.changes, change)
	return change
}

// earlierChange draws a change that was sent before, of the last few or of all; nil: there is none.
func (s *groupSim) earlierChange() *groupChange {
	const few = 8
	count := len(s.changes)
	if count == 0 {
		return nil
	}
	if !s.allFaults || s.random.IntN(2) == 0 {
		return s.changes[max(0, count-1-s.random.IntN(few))]
	}
	return s.changes[s.random.IntN(count)]
}

// writeChange sends a new change, or an earlier one again, whatever its outcome was.
func (s *groupSim) writeChange(acked func(*groupSimNode)) {
	node := s.randomNode()
	if leader := s.leader(); leader != nil && s.random.IntN(3) > 0 {
		node = leader
	}
	if change := s.earlierChange(); change != nil && s.random.IntN(3) == 0 {
		s.sendChange(change, node, acked)
		return
	}
	next := s.knownVersion + 1 + s.random.Uint64N(3)
	if !s.allFaults {
		s.sendChange(s.newChange(next), node, acked)
		return
	}
	switch s.random.IntN(12) {
	case 0: // two operators, one version, different content
		s.count("one version, two contents")
		s.sendChange(s.newChange(next), s.randomNode(), acked)
		s.sendChange(s.newChange(next), node, acked)
	case 1: // two operators, one version, the same content
		s.count("one version, one content")
		change := s.newChange(next)
		s.sendChange(change, s.randomNode(), acked)
		s.sendChange(change, node, acked)
	case 2:
		s.sendBurst(acked)
	default:
		s.sendChange(s.newChange(next), node, acked)
	}
}

// sendBurst sends eight changes at once, most often to nodes that don't lead.
func (s *groupSim) sendBurst(acked func(*groupSimNode)) {
	const burst = 8
	s.count("eight at once")
	for i := range uint64(burst) {
		node := s.randomNode()
		if node == s.leader() {
			node = s.randomNode()
		}
		change := s.earlierChange()
		if change == nil || s.random.IntN(4) > 0 {
			change = s.newChange(s.knownVersion + 1 + i%3)
		}
		s.sendChange(change, node, acked)
	}
}

// sendChange sends a change to a node, which forwards it where another one leads. Where it is
// acknowledged, acked gets the leader.
func (s *groupSim) sendChange(change *groupChange, node *groupSimNode, acked func(*groupSimNode)) {
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
		s.count("by a node that doesn't lead")
	}
	request := putRequest(&wire.Put{Key: routingconfig.DocumentKey, Body: []byte(change.body), IfVersion: change.baseVersion, Token: change.body})
	sentAt, wasAcked := s.now, change.ackedAt > 0
	s.executeChange(leader, request, func(response *wire.ChangeResponse) {
		if leader != node && s.callFails(node.addr, leader.addr) {
			s.count("response lost")
			return
		}
		s.checkIsolated(leader, sentAt, "answers "+string(response.Outcome)+" to a change")
		s.handleAnswer(change, attempt, leader, response, wasAcked)
		if response.Outcome == wire.OutcomeDone && acked != nil {
			acked(leader)
		}
	})
}

// executeChange does what shard.change does, step by step: it confirms that the node leads, proposes,
// and confirms once more before it rejects by a state that no committed entry has decided on.
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

// forwardTarget is where a node sends a change: itself where it leads, else the leader that it knows.
// Without all faults it forwards nothing.
func (s *groupSim) forwardTarget(node *groupSimNode) *groupSimNode {
	if !s.isRunning(node) || s.isAbandoned(node) {
		return nil
	}
	view := node.shard.published.current()
	if view.isLeader || !s.allFaults {
		return node
	}
	return s.node(controlclient.MemberAddr(view.leader))
}

// handleAnswer records the answer that an operator got, and checks it.
func (s *groupSim) handleAnswer(change *groupChange, attempt *history.Attempt, leader *groupSimNode, response *wire.ChangeResponse, wasAcked bool) {
	switch response.Outcome {
	case wire.OutcomeDone:
		attempt.Complete(history.Acknowledged, response.Version)
		if response.Version != change.newVersion {
			s.violationf("version %d is acknowledged as %d", change.newVersion, response.Version)
		}
		if change.ackedAt == 0 {
			change.ackedAt = s.now
			s.ackedCount++
			s.count("acked")
		} else {
			s.count("acknowledged again")
		}
		s.knownVersion = max(s.knownVersion, response.Version)
		s.tracef("acked %s on %d as %d by %s", change.name, change.baseVersion, change.newVersion, leader.addr)
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
		s.violationf("%s was acknowledged, and is %s when it is retried", change.name, response.Outcome)
	}
}

// requestLease has a holder request the lease, most often from the leader.
func (s *groupSim) requestLease() {
	holder := s.nextLeaseRequest()
	if holder == nil {
		return
	}
	requestedAt, sentAt, grant := holder.clock.Now(), s.now, holder.lease.GrantRequest()
	s.awaitLeaseAnswer(holder)
	node := s.leader()
	if node == nil || s.random.IntN(8) == 0 {
		node = s.randomNode()
	}
	s.sendCommand(node, grantRequest(grant), func(response *wire.ChangeResponse) {
		s.handleLeaseAnswer(holder, requestedAt, response)
		if response.Outcome == wire.OutcomeDone {
			s.checkIsolated(node, sentAt, "grants a lease")
			s.checkFencingToken(response.Fence, grant.Holder)
		}
	})
}

// checkFencingToken checks that no two holders were granted the lease under one fencing token.
func (s *groupSim) checkFencingToken(token uint64, holder string) {
	if other := s.fencingTokenHolders[token]; other != "" && other != holder {
		s.violationf("fencing token %d is of %s and of %s", token, other, holder)
	}
	s.fencingTokenHolders[token] = holder
}
