package consensus

import (
	"math/rand/v2"
	"slices"
	"strings"

	"pebbleloom/internal/wire"
)

// initialState returns the state that a search begins with, as its bounds describe it.
func (s *stateSpace) initialState() *groupState {
	state := &groupState{history: s.internHistory(observedHistory{})}
	for slot, name := range slotNames {
		first := BootstrapSnapshot(name, slotNames[:s.initialVoters])
		switch {
		case s.fixed:
			first = BlankSnapshot(name + "/1")
			first.HardState.DiskState = wire.DiskState_DISK_FOUNDED
		case slot >= s.learnerSlot():
			first = LearnerSnapshot(name)
		}
		state.nodes[slot] = s.internNode(startNode(s.config(name), modelDisk{snapshot: first}))
	}
	if s.allowsRestore() { // the member that a restore starts under a new name isn't running yet
		state.nodes[s.restoredSlot()] = s.internNode(&modelNode{name: slotNames[s.restoredSlot()], absent: true})
	}
	if s.elected || s.conflictingLogs || s.pendingChange != (modelEvent{}) {
		s.electFirstLeader(state)
	}
	if s.pendingChange != (modelEvent{}) {
		s.createMembershipConflict(state)
	}
	if s.conflictingLogs {
		s.createLogConflict(state)
	}
	return state
}

func (s *stateSpace) config(self string) Config {
	cfg := Config{Self: self, DynamicMembership: !s.fixed, HeartbeatTicks: 2, ElectionTicks: 10, MaxBatchBytes: 1 << 16, Rand: rand.New(modelRand{})}
	if s.fixed {
		cfg.Members = slotNames[:s.initialVoters]
	}
	if s.smallMessages {
		cfg.MaxBatchBytes = 1
	}
	return cfg
}

// applyEvent carries out an event at the member in a slot while the initial state is prepared, and returns the numbers
// of the messages that the member sends.
func (s *stateSpace) applyEvent(state *groupState, slot int, event modelEvent) []int32 {
	result := s.step(state.nodes[slot], event)
	state.nodes[slot] = result.node
	state.history, _ = s.recordStep(state.history, result)
	return result.messages
}

// electFirstLeader makes member a the leader of term 1, and delivers all messages that result from its election.
func (s *stateSpace) electFirstLeader(state *groupState) {
	inFlight := s.applyEvent(state, 0, modelEvent{kind: electionTimeout})
	for len(inFlight) > 0 {
		id := inFlight[0]
		inFlight = append(inFlight[1:], s.applyEvent(state, s.messages[id].to, modelEvent{kind: deliver, arg: id})...)
	}
}

// createLogConflict has member a propose an entry in term 1 that no other member receives. The others then elect b in
// term 2, and a is elected again in term 3.
func (s *stateSpace) createLogConflict(state *groupState) {
	s.applyEvent(state, 0, modelEvent{kind: propose, arg: '0'})
	s.runElection(state, 1)
	for _, id := range s.runElection(state, 0) {
		s.updateInFlight(state, modelAction{}, []int32{id})
	}
}

// createMembershipConflict has member a propose the pending change, which no other member receives, and the others
// elect b in term 2. The messages that b sends as leader are in flight afterwards.
func (s *stateSpace) createMembershipConflict(state *groupState) {
	s.applyEvent(state, 0, s.pendingChange)
	for _, id := range s.runElection(state, 1) {
		s.updateInFlight(state, modelAction{}, []int32{id})
	}
}

// runElection has the member in a slot campaign and delivers its vote requests and the responses to them. It returns the
// numbers of the messages that the member sends as leader.
func (s *stateSpace) runElection(state *groupState, slot int) (sent []int32) {
	for _, request := range s.applyEvent(state, slot, modelEvent{kind: electionTimeout}) {
		for _, response := range s.applyEvent(state, s.messages[request].to, modelEvent{kind: deliver, arg: request}) {
			sent = append(sent, s.applyEvent(state, slot, modelEvent{kind: deliver, arg: response})...)
		}
	}
	return sent
}

// modelAction is an event at the member in a slot, or a step of the client that asks the members for a proof that its
// copy of the replicated state is the newest.
type modelAction struct {
	modelEvent
	slot       int8
	budget     budget
	cost       uint8
	duplicated bool // the delivered message stays in flight, so that it can be delivered again
}

// actionList collects the actions that are possible in a state.
type actionList struct {
	stateSpace *stateSpace
	state      *groupState
	actions    []modelAction
}

// actions returns all actions that are possible in a state.
func (s *stateSpace) actions(state *groupState) []modelAction {
	list := &actionList{stateSpace: s, state: state}
	for slot, id := range s.members(state) {
		if s.nodes[id].absent {
			continue
		}
		list.addElections(slot)
		list.addLocalEvents(slot)
		list.addMembershipChanges(slot)
		list.addLimited(freshnessAttestations, slot, modelEvent{kind: attestFreshness})
	}
	if len(s.histories[state.history].bodies()) > 0 {
		list.addLimited(freshnessQueries, 0, modelEvent{kind: queryFreshness})
	}
	for _, id := range state.inFlight {
		list.addDeliveries(id)
	}
	return list.actions
}

// addUnlimited adds an event of a kind whose number the bounds of the search don't limit.
func (l *actionList) addUnlimited(slot int, event modelEvent) {
	l.actions = append(l.actions, modelAction{modelEvent: event, slot: int8(slot)})
}

// addLimited adds an event unless the path to the state already has as many events of this kind as the bounds allow.
func (l *actionList) addLimited(budget budget, slot int, event modelEvent) {
	switch limit := l.stateSpace.limits[budget]; {
	case limit == unlimited:
		l.addUnlimited(slot, event)
	case l.state.used[budget] < limit:
		l.actions = append(l.actions, modelAction{modelEvent: event, slot: int8(slot), budget: budget, cost: 1})
	}
}

// addElections adds the flush of a member's delayed output, and the events that make it start an election in the next
// term, or another member by a leadership transfer.
func (l *actionList) addElections(slot int) {
	node := l.stateSpace.nodes[l.state.nodes[slot]]
	if node.pending() {
		l.addUnlimited(slot, modelEvent{kind: flush})
	}
	if node.core.hardState.Term >= l.stateSpace.terms || l.stateSpace.candidates != "" && !strings.Contains(l.stateSpace.candidates, node.name) {
		return
	}
	kind := electionTimeout
	if l.stateSpace.preVotes {
		kind = preVoteTimeout
	}
	l.addLimited(elections, slot, modelEvent{kind: kind})
	for target := range l.stateSpace.memberCount() {
		l.addLimited(transfers, slot, modelEvent{kind: transfer, arg: int32(target)})
	}
}

// addLocalEvents adds the timer events, restart, disk loss, compaction, restore and client requests of a member.
func (l *actionList) addLocalEvents(slot int) {
	l.addLimited(heartbeats, slot, modelEvent{kind: heartbeat})
	l.addLimited(quorumTimeouts, slot, modelEvent{kind: quorumContactLost})
	l.addLimited(restarts, slot, modelEvent{kind: restart})
	l.addLimited(diskLosses, slot, modelEvent{kind: diskLoss})
	l.addLimited(compactions, slot, modelEvent{kind: compact})
	if l.stateSpace.allowsRestore() {
		l.addLimited(restores, slot, modelEvent{kind: restoreGroup, arg: int32(l.stateSpace.restoredSlot())})
	}
	l.addLimited(reads, slot, modelEvent{kind: requestRead, arg: int32(len(l.stateSpace.histories[l.state.history].committed))})
	l.addLimited(proposals, slot, modelEvent{kind: propose, arg: int32('1' + l.state.used[proposals])})
}

// addMembershipChanges adds the events that add a learner, and the proposals to add, remove and replace voters.
func (l *actionList) addMembershipChanges(slot int) {
	if l.stateSpace.learner {
		newcomer := int32(l.stateSpace.learnerSlot())
		l.addLimited(learners, slot, modelEvent{kind: addLearner, arg: newcomer})
		l.addLimited(changes, slot, modelEvent{kind: addMember, arg: newcomer})
	}
	for member := range l.stateSpace.memberCount() {
		l.addLimited(changes, slot, modelEvent{kind: removeMember, arg: int32(member)})
		if l.stateSpace.learner {
			l.addLimited(changes, slot, modelEvent{kind: replaceMember, arg: int32(member)})
		}
	}
}

// addDeliveries adds the ways in which a message in flight can be delivered: once, as a duplicate that stays in flight,
// and with the receiver's output delayed until a later flush.
func (l *actionList) addDeliveries(id int32) {
	slot := l.stateSpace.messages[id].to
	node := l.stateSpace.nodes[l.state.nodes[slot]]
	if node.absent {
		return
	}
	event := modelEvent{kind: deliver, arg: id}
	duplicate := modelAction{modelEvent: event, slot: int8(slot), duplicated: true}
	switch limit := l.stateSpace.limits[duplicates]; {
	case limit == unlimited:
		l.actions = append(l.actions, duplicate)
	default:
		l.addUnlimited(slot, event)
		if l.state.used[duplicates] < limit {
			duplicate.budget, duplicate.cost = duplicates, 1
			l.actions = append(l.actions, duplicate)
		}
	}
	if !node.pending() {
		event.delayFlush = true
		l.addLimited(delayedFlushes, slot, event)
	}
}

// applyAction returns the state that an action leads to. changed is false if the action isn't possible or leaves the
// state as it is; violation describes the invariant that the action violates, empty if there is none.
func (s *stateSpace) applyAction(state *groupState, action modelAction) (next *groupState, changed bool, violation string) {
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
		if result.eventOutcome.restored != nil {
			next.nodes[s.restoredSlot()] = result.restored
		}
		next.history, violation = s.recordStep(state.history, result)
		s.updateInFlight(next, action, result.messages)
		if violation == "" {
			violation = s.checkStep(next, action, before, result)
		}
	}
	changed = next.nodes != state.nodes || next.history != state.history || !slices.Equal(next.inFlight, state.inFlight)
	return next, changed || violation != "", violation
}
