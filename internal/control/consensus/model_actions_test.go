package consensus

import (
	"math/rand/v2"
	"slices"

	"pebbleloom/internal/wire"
)

// initialState is the first state of a search.
func (s *space) initialState() *state {
	x := &state{history: s.internHistory(history{})}
	for slot, name := range slotNames {
		first := BootstrapSnapshot(name, slotNames[:3])
		switch {
		case s.fixed:
			first = BlankSnapshot(name + "/1")
			first.HardState.DiskState = wire.DiskState_DISK_FOUNDED
		case slot == 3:
			first = LearnerSnapshot(name)
		}
		x.nodes[slot] = s.internNode(startNode(s.config(name), disk{snapshot: first}))
	}
	if s.elected || s.contested {
		s.electFirstLeader(x)
	}
	if s.contested {
		s.contestLog(x)
	}
	return x
}

func (s *space) config(self string) Config {
	cfg := Config{Self: self, DynamicMembership: !s.fixed, HeartbeatTicks: 2, ElectionTicks: 10, MaxBatchBytes: 1 << 16, Rand: rand.New(modelRand{})}
	if s.fixed {
		cfg.Members = slotNames[:3]
	}
	if s.smallMessages {
		cfg.MaxBatchBytes = 1
	}
	return cfg
}

// applyEvent makes an event happen on the way to the first state, and gives the messages that it sends.
func (s *space) applyEvent(x *state, slot int, e event) []int32 {
	r := s.step(x.nodes[slot], e)
	x.nodes[slot] = r.node
	x.history, _ = s.recordStep(x.history, r)
	return r.messages
}

// electFirstLeader brings the group to where a leads and nothing is under way.
func (s *space) electFirstLeader(x *state) {
	under := s.applyEvent(x, 0, event{kind: electionTimeout})
	for len(under) > 0 {
		id := under[0]
		under = append(under[1:], s.applyEvent(x, s.messages[id].to, event{kind: deliver, arg: id})...)
	}
}

// contestLog has a propose an entry that nobody hears of, c elect b for term 2, and then a for term 3.
func (s *space) contestLog(x *state) {
	s.applyEvent(x, 0, event{kind: propose, arg: '0'})
	s.runElection(x, 1)
	for _, id := range s.runElection(x, 0) {
		s.updateInFlight(x, action{}, []int32{id})
	}
}

// runElection has a member ask all for their votes; it gives what it sends once it leads.
func (s *space) runElection(x *state, slot int) (sent []int32) {
	for _, request := range s.applyEvent(x, slot, event{kind: electionTimeout}) {
		for _, response := range s.applyEvent(x, s.messages[request].to, event{kind: deliver, arg: request}) {
			sent = append(sent, s.applyEvent(x, slot, event{kind: deliver, arg: response})...)
		}
	}
	return sent
}

// action is an event at one of the slots, or a question or answer of an agent.
type action struct {
	event
	slot       int8
	budget     budget
	cost       uint8
	duplicated bool // the message that is delivered will come again
}

// actions lists all that may happen next.
func (s *space) actions(x *state) (l []action) {
	free := func(slot int, e event) { l = append(l, action{event: e, slot: int8(slot)}) }
	paid := func(slot int, b budget, e event) {
		switch {
		case s.limits[b] == unlimited:
			free(slot, e)
		case x.used[b] < s.limits[b]:
			l = append(l, action{event: e, slot: int8(slot), budget: b, cost: 1})
		}
	}
	bodies := s.histories[x.history].bodies()
	for slot := range slots {
		n := s.nodes[x.nodes[slot]]
		if n.wiped || slot == 3 && !s.learner {
			continue
		}
		if n.pending() {
			free(slot, event{kind: flush})
		}
		if n.core.hardState.Term < s.terms {
			kind := electionTimeout
			if s.preVotes {
				kind = preVoteTimeout
			}
			paid(slot, elections, event{kind: kind})
			for other := range slots {
				paid(slot, transfers, event{kind: transfer, arg: int32(other)})
			}
		}
		paid(slot, heartbeats, event{kind: heartbeat})
		paid(slot, timeouts, event{kind: quorumSilent})
		paid(slot, restarts, event{kind: restart})
		paid(slot, wipes, event{kind: wipe})
		paid(slot, compactions, event{kind: compact})
		paid(slot, reads, event{kind: requestRead, arg: int32(len(s.histories[x.history].committed))})
		body := int32('1' + x.used[proposals])
		paid(slot, proposals, event{kind: propose, arg: body})
		if s.learner {
			paid(slot, learners, event{kind: addLearner, arg: 3})
			paid(slot, changes, event{kind: addMember, arg: 3})
		}
		for other := range slots {
			paid(slot, changes, event{kind: removeMember, arg: int32(other)})
			if s.learner {
				paid(slot, changes, event{kind: replaceMember, arg: int32(other)})
			}
		}
		paid(slot, freshnessAttestations, event{kind: attestFreshness})
	}
	if len(bodies) > 0 {
		paid(0, freshnessQueries, event{kind: queryFreshness})
	}
	for _, id := range x.inFlight {
		to := s.messages[id].to
		if s.nodes[x.nodes[to]].wiped {
			continue
		}
		if s.limits[duplicates] == unlimited {
			l = append(l, action{event: event{kind: deliver, arg: id}, slot: int8(to), duplicated: true})
		} else {
			free(to, event{kind: deliver, arg: id})
			if x.used[duplicates] < s.limits[duplicates] {
				l = append(l, action{event: event{kind: deliver, arg: id}, slot: int8(to), budget: duplicates, cost: 1, duplicated: true})
			}
		}
		if !s.nodes[x.nodes[to]].pending() {
			paid(to, delayedFlushes, event{kind: deliver, arg: id, delayFlush: true})
		}
	}
	return l
}

// applyAction makes a copy of a state in which an action has happened; changed is false where it does nothing.
func (s *space) applyAction(x *state, a action) (y *state, changed bool, fault string) {
	next := *x
	next.used[a.budget] += a.cost
	slot := int(a.slot)
	before := x.nodes[slot]
	switch a.kind {
	case queryFreshness:
		next.history = s.beginFreshnessQuery(x.history)
	case attestFreshness:
		next.history = s.attest(x.history, s.nodes[before])
	default:
		r := s.step(before, a.event)
		if r == nil {
			return nil, false, ""
		}
		next.nodes[slot] = r.node
		next.history, fault = s.recordStep(x.history, r)
		s.updateInFlight(&next, a, r.messages)
		if fault == "" {
			fault = s.checkStep(&next, a, before, r)
		}
	}
	changed = next.nodes != x.nodes || next.history != x.history || !slices.Equal(next.inFlight, x.inFlight)
	return &next, changed || fault != "", fault
}
