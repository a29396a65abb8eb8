package consensus

import (
	"math/rand/v2"
	"slices"

	"pebbleloom/internal/wire"
)

// start is the first state of a search.
func (s *space) start() *state {
	x := &state{history: s.internHistory(history{})}
	for slot, name := range slotNames {
		first := FoundingSnapshot(name, slotNames[:3])
		switch {
		case s.fixed:
			first = BlankSnapshot(name + "/1")
			first.HardState.DiskState = wire.DiskState_DISK_FOUNDED
		case slot == 3:
			first = LearnerSnapshot(name)
		}
		x.nodes[slot] = s.internNode(startNode(s.config(name), disk{snapshot: first}))
	}
	if s.led || s.disputed {
		s.elect(x)
	}
	if s.disputed {
		s.dispute(x)
	}
	return x
}

func (s *space) config(self string) Config {
	cfg := Config{Self: self, Group: !s.fixed, HeartbeatTicks: 2, ElectionTicks: 10, MaxBatchBytes: 1 << 16, Rand: rand.New(modelRand{})}
	if s.fixed {
		cfg.Members = slotNames[:3]
	}
	if s.small {
		cfg.MaxBatchBytes = 1
	}
	return cfg
}

// lead makes an event happen on the way to the first state, and gives the messages that it sends.
func (s *space) lead(x *state, slot int, e event) []int32 {
	r := s.step(x.nodes[slot], e)
	x.nodes[slot] = r.node
	x.history, _ = s.remember(x.history, r)
	return r.messages
}

// elect brings the group to where a leads and nothing is under way.
func (s *space) elect(x *state) {
	under := s.lead(x, 0, event{kind: electionTimeout})
	for len(under) > 0 {
		id := under[0]
		under = append(under[1:], s.lead(x, s.messages[id].to, event{kind: deliver, arg: id})...)
	}
}

// dispute has a propose an entry that nobody hears of, c elect b for term 2, and then a for term 3.
func (s *space) dispute(x *state) {
	s.lead(x, 0, event{kind: propose, arg: '0'})
	s.stand(x, 1)
	for _, id := range s.stand(x, 0) {
		s.send(x, action{}, []int32{id})
	}
}

// stand has a member ask all for their votes; it gives what it sends once it leads.
func (s *space) stand(x *state, slot int) (sent []int32) {
	for _, request := range s.lead(x, slot, event{kind: electionTimeout}) {
		for _, response := range s.lead(x, s.messages[request].to, event{kind: deliver, arg: request}) {
			sent = append(sent, s.lead(x, slot, event{kind: deliver, arg: response})...)
		}
	}
	return sent
}

// action is an event at one of the slots, or a question or answer of an agent.
type action struct {
	event
	slot   int8
	spends budget
	costs  uint8
	stays  bool // the message that is delivered will come again
}

// actions lists all that may happen next.
func (s *space) actions(x *state) (l []action) {
	free := func(slot int, e event) { l = append(l, action{event: e, slot: int8(slot)}) }
	paid := func(slot int, b budget, e event) {
		switch {
		case s.most[b] == unlimited:
			free(slot, e)
		case x.used[b] < s.most[b]:
			l = append(l, action{event: e, slot: int8(slot), spends: b, costs: 1})
		}
	}
	bodies := s.histories[x.history].bodies()
	for slot := range slots {
		n := s.nodes[x.nodes[slot]]
		if n.gone || slot == 3 && !s.learner {
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
		paid(slot, answers, event{kind: answer})
	}
	if len(bodies) > 0 {
		paid(0, questions, event{kind: question})
	}
	for _, id := range x.net {
		to := s.messages[id].to
		if s.nodes[x.nodes[to]].gone {
			continue
		}
		if s.most[duplicates] == unlimited {
			l = append(l, action{event: event{kind: deliver, arg: id}, slot: int8(to), stays: true})
		} else {
			free(to, event{kind: deliver, arg: id})
			if x.used[duplicates] < s.most[duplicates] {
				l = append(l, action{event: event{kind: deliver, arg: id}, slot: int8(to), spends: duplicates, costs: 1, stays: true})
			}
		}
		if !s.nodes[x.nodes[to]].pending() {
			paid(to, holds, event{kind: deliver, arg: id, hold: true})
		}
	}
	return l
}

// apply makes a copy of a state in which an action has happened; changed is false where it does nothing.
func (s *space) apply(x *state, a action) (y *state, changed bool, fault string) {
	next := *x
	next.used[a.spends] += a.costs
	slot := int(a.slot)
	before := x.nodes[slot]
	switch a.kind {
	case question:
		next.history = s.ask(x.history)
	case answer:
		next.history = s.vouchOf(x.history, s.nodes[before])
	default:
		r := s.step(before, a.event)
		if r == nil {
			return nil, false, ""
		}
		next.nodes[slot] = r.node
		next.history, fault = s.remember(x.history, r)
		s.send(&next, a, r.messages)
		if fault == "" {
			fault = s.checkStep(&next, a, before, r)
		}
	}
	changed = next.nodes != x.nodes || next.history != x.history || !slices.Equal(next.net, x.net)
	return &next, changed || fault != "", fault
}
