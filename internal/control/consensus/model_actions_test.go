package consensus

import (
	"math/rand/v2"
	"slices"

	"pebbleloom/internal/wire"
)

// initialState is the first state of a search.
func (s *space) initialState() *groupState {
	state := &groupState{history: s.internHistory(observedHistory{})}
	for slot, name := range slotNames {
		first := BootstrapSnapshot(name, slotNames[:3])
		switch {
		case s.fixed:
			first = BlankSnapshot(name + "/1")
			first.HardState.DiskState = wire.DiskState_DISK_FOUNDED
		case slot == 3:
			first = LearnerSnapshot(name)
		}
		state.nodes[slot] = s.internNode(startNode(s.config(name), modelDisk{snapshot: first}))
	}
	if s.elected || s.contested {
		s.electFirstLeader(state)
	}
	if s.contested {
		s.contestLog(state)
	}
	return state
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
func (s *space) applyEvent(state *groupState, slot int, event modelEvent) []int32 {
	result := s.step(state.nodes[slot], event)
	state.nodes[slot] = result.node
	state.history, _ = s.recordStep(state.history, result)
	return result.messages
}

// electFirstLeader brings the group to where a leads and nothing is under way.
func (s *space) electFirstLeader(state *groupState) {
	under := s.applyEvent(state, 0, modelEvent{kind: electionTimeout})
	for len(under) > 0 {
		id := under[0]
		under = append(under[1:], s.applyEvent(state, s.messages[id].to, modelEvent{kind: deliver, arg: id})...)
	}
}

// contestLog has a propose an entry that nobody hears of, c elect b for term 2, and then a for term 3.
func (s *space) contestLog(state *groupState) {
	s.applyEvent(state, 0, modelEvent{kind: propose, arg: '0'})
	s.runElection(state, 1)
	for _, id := range s.runElection(state, 0) {
		s.updateInFlight(state, modelAction{}, []int32{id})
	}
}

// runElection has a member ask all for their votes; it gives what it sends once it leads.
func (s *space) runElection(state *groupState, slot int) (sent []int32) {
	for _, request := range s.applyEvent(state, slot, modelEvent{kind: electionTimeout}) {
		for _, response := range s.applyEvent(state, s.messages[request].to, modelEvent{kind: deliver, arg: request}) {
			sent = append(sent, s.applyEvent(state, slot, modelEvent{kind: deliver, arg: response})...)
		}
	}
	return sent
}

// modelAction is an event at one of the slots, or a question or answer of an agent.
type modelAction struct {
	modelEvent
	slot       int8
	budget     budget
	cost       uint8
	duplicated bool // the message that is delivered will come again
}

// actions lists all that may happen next.
func (s *space) actions(state *groupState) (l []modelAction) {
	free := func(slot int, event modelEvent) { l = append(l, modelAction{modelEvent: event, slot: int8(slot)}) }
	paid := func(slot int, b budget, event modelEvent) {
		switch {
		case s.limits[b] == unlimited:
			free(slot, event)
		case state.used[b] < s.limits[b]:
			l = append(l, modelAction{modelEvent: event, slot: int8(slot), budget: b, cost: 1})
		}
	}
	bodies := s.histories[state.history].bodies()
	for slot := range slots {
		node := s.nodes[state.nodes[slot]]
		if node.wiped || slot == 3 && !s.learner {
			continue
		}
		if node.pending() {
			free(slot, modelEvent{kind: flush})
		}
		if node.core.hardState.Term < s.terms {
			kind := electionTimeout
			if s.preVotes {
				kind = preVoteTimeout
			}
			paid(slot, elections, modelEvent{kind: kind})
			for other := range slots {
				paid(slot, transfers, modelEvent{kind: transfer, arg: int32(other)})
			}
		}
		paid(slot, heartbeats, modelEvent{kind: heartbeat})
		paid(slot, timeouts, modelEvent{kind: quorumSilent})
		paid(slot, restarts, modelEvent{kind: restart})
		paid(slot, wipes, modelEvent{kind: wipe})
		paid(slot, compactions, modelEvent{kind: compact})
		paid(slot, reads, modelEvent{kind: requestRead, arg: int32(len(s.histories[state.history].committed))})
		body := int32('1' + state.used[proposals])
		paid(slot, proposals, modelEvent{kind: propose, arg: body})
		if s.learner {
			paid(slot, learners, modelEvent{kind: addLearner, arg: 3})
			paid(slot, changes, modelEvent{kind: addMember, arg: 3})
		}
		for other := range slots {
			paid(slot, changes, modelEvent{kind: removeMember, arg: int32(other)})
			if s.learner {
				paid(slot, changes, modelEvent{kind: replaceMember, arg: int32(other)})
			}
		}
		paid(slot, freshnessAttestations, modelEvent{kind: attestFreshness})
	}
	if len(bodies) > 0 {
		paid(0, freshnessQueries, modelEvent{kind: queryFreshness})
	}
	for _, id := range state.inFlight {
		to := s.messages[id].to
		if s.nodes[state.nodes[to]].wiped {
			continue
		}
		if s.limits[duplicates] == unlimited {
			l = append(l, modelAction{modelEvent: modelEvent{kind: deliver, arg: id}, slot: int8(to), duplicated: true})
		} else {
			free(to, modelEvent{kind: deliver, arg: id})
			if state.used[duplicates] < s.limits[duplicates] {
				l = append(l, modelAction{modelEvent: modelEvent{kind: deliver, arg: id}, slot: int8(to), budget: duplicates, cost: 1, duplicated: true})
			}
		}
		if !s.nodes[state.nodes[to]].pending() {
			paid(to, delayedFlushes, modelEvent{kind: deliver, arg: id, delayFlush: true})
		}
	}
	return l
}

// applyAction makes a copy of a state in which an action has happened; changed is false where it does nothing.
func (s *space) applyAction(state *groupState, action modelAction) (next *groupState, changed bool, fault string) {
	copied := *state
	next = &copied
	next.used[action.budget] += action.cost
	slot := int(action.slot)
	before := state.nodes[slot]
	switch action.kind {
	case queryFreshness:
		next.history = s.beginFreshnessQuery(state.history)
	case attestFreshness:
		next.history = s.attest(state.history, s.nodes[before])
	default:
		result := s.step(before, action.modelEvent)
		if result == nil {
			return nil, false, ""
		}
		next.nodes[slot] = result.node
		next.history, fault = s.recordStep(state.history, result)
		s.updateInFlight(next, action, result.messages)
		if fault == "" {
			fault = s.checkStep(next, action, before, result)
		}
	}
	changed = next.nodes != state.nodes || next.history != state.history || !slices.Equal(next.inFlight, state.inFlight)
	return next, changed || fault != "", fault
}
