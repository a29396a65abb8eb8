package controlstate

import (
	"fmt"
	"time"

	"pebbleloom/internal/control/controlclient"
	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/sim/history"
	"pebbleloom/internal/wire"
)

// An order that is sent again after so many others were acknowledged counts as late, or very late.
const lateAfter, veryLateAfter = 40, 256

// answerTimeout is how long an operator or a reader waits for an answer.
const answerTimeout = 10 * time.Second

// groupChange is one configuration that an operator wants on a version.
type groupChange struct {
	name                    string
	baseVersion, newVersion uint64
	body                    string
	ackedAt                 time.Duration // when it was first acknowledged; zero: never
	ackedBefore             int           // how many orders had been acknowledged when it was made
	attempts                int
	createdAt               time.Duration
}

// readAt begins a read at a node; then is told what it gave.
func (s *groupSim) readAt(n *groupSimNode, then func(version uint64, body string)) {
	if !s.isHealthy(n) {
		return
	}
	begin, incarnation, w := s.now, n.generation, make(chan bool, 1)
	n.shard.beginRead(w)
	s.runStep(n)
	s.inProgress = append(s.inProgress, func() bool {
		select {
		case ok := <-w:
			if ok && n.generation == incarnation && s.isHealthy(n) {
				ds, _ := n.shard.selectDocuments(&wire.ReadRequest{Key: routingconfig.DocumentKey})
				if len(ds) == 0 {
					then(0, "")
				} else {
					then(ds[0].Version, string(ds[0].Body))
				}
			}
			return false
		default:
			return n.generation == incarnation && s.now-begin < answerTimeout
		}
	})
}

// read is a reader's question to a node, and the checks of its answer.
func (s *groupSim) read(n *groupSimNode) {
	begin, query := s.now, s.history.BeginRead(routingconfig.DocumentKey)
	s.readAt(n, func(version uint64, body string) {
		query.Complete(version, body)
		x := &simRead{sentAt: begin, answeredAt: s.now, version: version, body: body}
		s.reads = append(s.reads, x)
		s.knownVersion = max(s.knownVersion, version)
		s.count("read")
		s.checkIsolated(n, begin, "answers a read")
		for _, o := range s.changes {
			if o.ackedAt > 0 && o.ackedAt < x.sentAt && o.newVersion > version {
				s.violationf("read version %d after %d was acknowledged", version, o.newVersion)
			}
			if o.ackedAt > 0 && o.newVersion == version && o.body != body {
				s.violationf("read another body under version %d", version)
			}
		}
		for _, o := range s.reads {
			if o.answeredAt < x.sentAt && o.version > version || o.version == version && o.body != body {
				s.violationf("read version %d %q after %d %q", version, body, o.version, o.body)
			}
		}
	})
}

// checkIsolated sees to it that a node that nobody hears and that hears nobody serves nothing that
// was asked since.
func (s *groupSim) checkIsolated(n *groupSimNode, asked time.Duration, what string) {
	if s.isolatedAddr != n.addr || asked <= s.isolatedSince || n.shard == nil {
		return
	}
	if members, _, _ := n.shard.core.Members(); len(members) > 1 { // else it is the whole group
		s.violationf("%s, cut off since %v, %s of %v", n.addr, s.isolatedSince, what, asked)
	}
}

// sendCommand sends a command to a node and follows it up; question or answer may be lost.
func (s *groupSim) sendCommand(n *groupSimNode, a *wire.ChangeRequest, done func(*wire.ChangeResponse)) {
	s.proposeCommand(n, a, func(t *wire.ChangeResponse, _ bool) { done(t) })
}

// proposeCommand does what ask does, and tells whether the answer is the log's.
func (s *groupSim) proposeCommand(n *groupSimNode, a *wire.ChangeRequest, done func(t *wire.ChangeResponse, committed bool)) {
	if !s.isRunning(n) || s.random.Float64() < s.lossRate {
		return
	}
	w, response := n.shard.propose(a, nil)
	incarnation, begin, lost, committed := n.generation, s.now, s.random.Float64() < s.lossRate, response == nil
	s.runStep(n)
	s.inProgress = append(s.inProgress, func() bool {
		if response == nil {
			select {
			case response = <-w.response:
			default:
				return n.generation == incarnation && s.now-begin < answerTimeout
			}
		}
		if n.generation == incarnation && !lost && s.isRunning(n) {
			done(response, committed)
		}
		return false
	})
}

// newChange is a change on the newest version that operators have heard of, under a number of the
// operator's own.
func (s *groupSim) newChange(number uint64) *groupChange {
	o := &groupChange{name: fmt.Sprintf("w%d", len(s.changes)), baseVersion: s.knownVersion, newVersion: number, ackedBefore: s.ackedCount, createdAt: s.now}
	o.body = string(body(number, o.name+s.bodyPadding))
	s.changes = append(s.changes, o)
	return o
}

// earlierChange is one that was sent before: of the last few, or of all.
func (s *groupSim) earlierChange() *groupChange {
	const few = 8
	l := len(s.changes)
	if l == 0 {
		return nil
	}
	if !s.allFaults || s.random.IntN(2) == 0 {
		return s.changes[max(0, l-1-s.random.IntN(few))]
	}
	return s.changes[s.random.IntN(l)]
}

// writeChange is an operator's: a new one, or one that was sent before, unchanged, whatever became of it.
func (s *groupSim) writeChange(acked func(*groupSimNode)) {
	n := s.randomNode()
	if l := s.leader(); l != nil && s.random.IntN(3) > 0 {
		n = l
	}
	if o := s.earlierChange(); o != nil && s.random.IntN(3) == 0 {
		s.sendChange(o, n, acked)
		return
	}
	next := s.knownVersion + 1 + s.random.Uint64N(3)
	if !s.allFaults {
		s.sendChange(s.newChange(next), n, acked)
		return
	}
	switch s.random.IntN(12) {
	case 0: // two operators, one number, different content
		s.count("one number, two contents")
		s.sendChange(s.newChange(next), s.randomNode(), acked)
		s.sendChange(s.newChange(next), n, acked)
	case 1: // two operators, one number, the same content
		s.count("one number, one content")
		o := s.newChange(next)
		s.sendChange(o, s.randomNode(), acked)
		s.sendChange(o, n, acked)
	case 2:
		s.sendBurst(acked)
	default:
		s.sendChange(s.newChange(next), n, acked)
	}
}

// sendBurst sends eight orders at once, by nodes that don't lead where there are such.
func (s *groupSim) sendBurst(acked func(*groupSimNode)) {
	const many = 8
	s.count("eight at once")
	for i := range uint64(many) {
		n := s.randomNode()
		if n == s.leader() {
			n = s.randomNode()
		}
		o := s.earlierChange()
		if o == nil || s.random.IntN(4) > 0 {
			o = s.newChange(s.knownVersion + 1 + i%3)
		}
		s.sendChange(o, n, acked)
	}
}

// sendChange sends an order to a node, which sends it on where another one leads.
func (s *groupSim) sendChange(o *groupChange, n *groupSimNode, acked func(*groupSimNode)) {
	attempt := s.history.BeginAttempt(history.Change{Key: routingconfig.DocumentKey, Token: o.body, BaseVersion: o.baseVersion, NewVersion: o.newVersion, Body: o.body})
	if o.attempts++; o.attempts > 1 {
		s.count("sent again")
		if s.ackedCount-o.ackedBefore >= lateAfter {
			s.count("sent again late")
		}
		if s.ackedCount-o.ackedBefore >= veryLateAfter {
			s.count("sent again very late")
		}
	}
	s.fireEvent("order sent")
	leader := s.forwardTarget(n)
	if leader == nil || s.isPartitioned(n.addr, leader.addr) {
		return
	}
	if leader != n {
		s.count("by a node that doesn't lead")
	}
	a := &wire.ChangeRequest{Command: &wire.Command{Kind: &wire.Command_Put{Put: &wire.Put{Key: routingconfig.DocumentKey, Body: []byte(o.body), IfVersion: o.baseVersion, Token: o.body}}}}
	sent, before := s.now, o.ackedAt
	s.executeChange(leader, a, func(t *wire.ChangeResponse) {
		if leader != n && s.callFails(n.addr, leader.addr) {
			s.count("answer lost")
			return
		}
		s.checkIsolated(leader, sent, "answers "+string(t.Outcome)+" to an order")
		s.handleAnswer(o, attempt, leader, t, before > 0)
		if t.Outcome == wire.OutcomeDone && acked != nil {
			acked(leader)
		}
	})
}

// executeChange does what shard.change does, step by step: it confirms that the node leads, proposes, and
// judges a refusal that isn't the log's once more after another confirmation.
func (s *groupSim) executeChange(n *groupSimNode, a *wire.ChangeRequest, done func(*wire.ChangeResponse)) {
	s.readAt(n, func(uint64, string) {
		s.proposeCommand(n, a, func(t *wire.ChangeResponse, committed bool) {
			if committed || !isDecidedByState(t.Outcome) {
				done(t)
				return
			}
			s.readAt(n, func(uint64, string) {
				s.sendCommand(n, a, done)
			})
		})
	})
}

// forwardTarget is where a node sends an order: to itself where it leads, or to whom it knows as leader.
// Without all troubles it sends nothing on.
func (s *groupSim) forwardTarget(n *groupSimNode) *groupSimNode {
	if !s.isRunning(n) {
		return nil
	}
	v := n.shard.published.current()
	if v.isLeader || !s.allFaults {
		return n
	}
	return s.node(controlclient.MemberAddr(v.leader))
}

// handleAnswer notes what an operator was told.
func (s *groupSim) handleAnswer(o *groupChange, attempt *history.Attempt, by *groupSimNode, t *wire.ChangeResponse, wasAcked bool) {
	switch t.Outcome {
	case wire.OutcomeDone:
		attempt.Complete(history.Acknowledged, t.Version)
		if t.Version != o.newVersion {
			s.violationf("version %d is acknowledged as %d", o.newVersion, t.Version)
		}
		if o.ackedAt == 0 {
			o.ackedAt = s.now
			s.ackedCount++
			s.count("acked")
		} else {
			s.count("done again")
		}
		s.knownVersion = max(s.knownVersion, t.Version)
		s.tracef("acked %s on %d as %d by %s", o.name, o.baseVersion, o.newVersion, by.addr)
		s.fireEvent("acknowledged")
	case wire.OutcomeConflict:
		attempt.Complete(history.Rejected, t.Version)
		s.knownVersion = max(s.knownVersion, t.Version)
		s.count("refused")
	case wire.OutcomeBadInput:
		attempt.Complete(history.Rejected, t.Version)
		s.count("refused")
	case wire.OutcomeNotLeader, wire.OutcomeOverloaded:
		attempt.Complete(history.NotExecuted, 0)
		s.count("not taken")
	}
	if wasAcked && (t.Outcome == wire.OutcomeConflict || t.Outcome == wire.OutcomeBadInput) {
		s.violationf("%s was acknowledged, and is %s when it is sent again", o.name, t.Outcome)
	}
}

// requestLease has a holder ask for the duty.
func (s *groupSim) requestLease() {
	h := s.leaseHolders[s.random.IntN(len(s.leaseHolders))]
	if h.pausedUntil > s.now || h.requestPending {
		return
	}
	if s.random.IntN(40) == 0 {
		h.pausedUntil = s.now + time.Duration(s.random.Int64N(int64(8*time.Second)))
	}
	asked, before := h.clock.Now(), s.now
	g := h.lease.GrantRequest()
	h.requestPending = true
	s.inProgress = append(s.inProgress, func() bool { h.requestPending = s.now-before < 1500*time.Millisecond; return h.requestPending })
	n := s.leader()
	if n == nil || s.random.IntN(8) == 0 {
		n = s.randomNode()
	}
	s.sendCommand(n, &wire.ChangeRequest{Command: &wire.Command{Kind: &wire.Command_Grant{Grant: g}}}, func(t *wire.ChangeResponse) {
		if s.plantedFault == "lease-late" {
			asked = h.clock.Now() + 2*time.Second // planted: counted from the answer, and more
		}
		if h.lease.HandleResponse(asked, t); t.Outcome != wire.OutcomeDone {
			return
		}
		s.count("granted")
		s.checkIsolated(n, before, "grants a lease")
		if o := s.fencingTokenHolders[t.Fence]; o != "" && o != g.Holder {
			s.violationf("fence %d is of %s and of %s", t.Fence, o, g.Holder)
		}
		s.fencingTokenHolders[t.Fence] = g.Holder
	})
}
