package consensus

import (
	"fmt"
	"slices"

	"pebbleloom/internal/wire"
)

// maxSlots is the largest number of members in a state of the model. A slot is the position of a member in the state:
// the initial voters have the first slots, then the learner and the member that a restored group begins with, if the
// bounds allow them.
const maxSlots = 6

var slotNames = [maxSlots]string{"a", "b", "c", "d", "e", "f"}

// defaultInitialVoters is the number of initial voters if bounds.initialVoters is 0.
const defaultInitialVoters = 3

// budget is a kind of event. The bounds limit how many events of each kind the path from the initial state may have.
type budget int

const (
	proposals budget = iota
	restarts
	diskLosses
	learners // kind of event: a leader adds a learner, and then replicates to it
	changes  // kind of event: a leader proposes a membership change
	transfers
	compactions
	reads
	heartbeats
	quorumTimeouts        // kind of event: a leader that has lost contact with a quorum steps down
	elections             // kind of event: a member starts a campaign
	duplicates            // kind of event: a message is delivered and stays in flight, so that it can be delivered again
	delayedFlushes        // kind of event: the output of a member's step is persisted and sent only later
	freshnessQueries      // kind of event: a client asks the members whether they have newer state than its copy
	freshnessAttestations // kind of event: a member responds to a client that it has no newer state than the client's copy
	restores              // kind of event: the group is restored from the state of a single member
	budgetCount           // number of kinds of events that the bounds can limit
)

// unlimited, as a limit in bounds.limits, allows any number of events of a kind; they aren't counted in groupState.used.
const unlimited = 255

// bounds describe the initial state of a search and limit the events; the search visits every state within them.
type bounds struct {
	initialVoters   int                // number of initial voters, 5 at most; 0: defaultInitialVoters
	fixed           bool               // the members are fixed by the configuration, and can't change
	conflictingLogs bool               // the search begins in term 3: a alone has an entry that it proposed in term 1, b was elected in term 2, and a in term 3
	elected         bool               // the search begins with a as leader of term 1, its first entry committed on all members, and no message in flight
	learner         bool               // there is a learner, in the slot after those of the initial voters
	pendingChange   modelEvent         // the search begins in term 2: a alone has this membership change, which it proposed in term 1, and b was elected; zero: no such change
	lateRequests    bool               // requests of earlier terms are delivered, to be rejected by the core; otherwise they are dropped
	smallMessages   bool               // a message carries only one entry or one byte of a snapshot, instead of as many as needed
	preVotes        bool               // elections start with pre-votes; otherwise any member may campaign at any time
	candidates      string             // names of the members that may campaign, which must be among those that distinguished counts; empty: all
	terms           uint64             // highest term that a member may campaign in
	limits          [budgetCount]uint8 // maximum number of events of each kind on the path to a state; unlimited: any number
}

// groupState is a state of the whole group: its members, the messages in flight, and the history of observed events.
// A message may be delivered at any time, repeatedly or never, which covers every reordering, loss, delay,
// duplicate and partition. Nodes, messages and histories are represented by their numbers in the stateSpace.
type groupState struct {
	nodes       [maxSlots]int32
	history     int32
	used        [budgetCount]uint8 // number of limited events of each kind on the path to this state
	inFlight    []int32            // numbers of the messages in flight, sorted
	inFlightSum fingerprints       // sum of the fingerprints of inFlight
	number      int32              // number of the state, in the order in which the search first reached the states
}

type nodeEntry struct {
	*modelNode
	permutedFingerprints fingerprints
}

type messageEntry struct {
	*wire.Message
	permutedFingerprints fingerprints
	to                   int    // slot of the receiver
	fromLeader           bool   // the message is of a kind that only the leader of its term sends
	votesFor             string // name of the candidate that the sender votes for with this message; empty: the message isn't a vote
}

type historyEntry struct {
	observedHistory
	permutedFingerprints fingerprints
}

// stateSpace stores each distinct node, message and history of the visited states once, and caches the outcome of
// each event at each node.
type stateSpace struct {
	bounds
	namePermutations []namePermutation // permutations of the initial voters' names under which states are equivalent; the first is the identity
	nodes            []nodeEntry
	messages         []messageEntry
	histories        []historyEntry
	nodeIDs          map[string]int32
	messageIDs       map[string]int32
	historyIDs       map[string]int32
	steps            map[stepKey]*stepResult
	historyCache     map[historyKey]historyResult
	usedFingerprints [budgetCount][256]fingerprint
}

type stepKey struct {
	node int32
	modelEvent
}

type stepResult struct {
	eventOutcome
	node     int32
	restored int32 // number of the node that a restored group begins with; unused unless the event is a restore
	messages []int32
}

func newStateSpace(limits bounds) *stateSpace {
	if limits.initialVoters == 0 {
		limits.initialVoters = defaultInitialVoters
	}
	s := &stateSpace{bounds: limits, namePermutations: initialVoterPermutations(limits.initialVoters, limits.distinguished()), nodeIDs: map[string]int32{}, messageIDs: map[string]int32{}, historyIDs: map[string]int32{}, steps: map[stepKey]*stepResult{}, historyCache: map[historyKey]historyResult{}}
	for i := range s.usedFingerprints {
		for n := range s.usedFingerprints[i] {
			s.usedFingerprints[i][n] = hashOf([]byte{byte(i), byte(n)})
		}
	}
	return s
}

// distinguished returns how many of the initial voters, from the first one on, have special roles in the bounds. Two
// states that differ by a permutation of the names of these voters aren't equivalent.
func (b bounds) distinguished() int {
	if b.pendingChange != (modelEvent{}) {
		return 2 // two voters have special roles: a, which proposed the pending change and may campaign, and b, which was elected
	}
	return 0
}

// memberCount returns the number of members in each state: initial voters, learner, and member of a restored group.
func (s *stateSpace) memberCount() int {
	count := s.initialVoters
	if s.learner {
		count++
	}
	if s.allowsRestore() {
		count++
	}
	return count
}

// allowsRestore reports whether the bounds allow the restore of the group from one member.
func (s *stateSpace) allowsRestore() bool { return s.limits[restores] > 0 }

// restoredSlot returns the slot of the member that a restored group begins with, the last one in use.
func (s *stateSpace) restoredSlot() int { return s.memberCount() - 1 }

// members returns the numbers of the nodes of a state, one for each slot in use.
func (s *stateSpace) members(state *groupState) []int32 { return state.nodes[:s.memberCount()] }

// learnerSlot returns the slot of the learner, if the bounds have one.
func (s *stateSpace) learnerSlot() int { return s.initialVoters }

func (s *stateSpace) internNode(node *modelNode) int32 {
	encoding := node.encoding(nil)
	id, known := s.nodeIDs[encoding]
	if !known {
		id = int32(len(s.nodes))
		s.nodeIDs[encoding] = id
		s.nodes = append(s.nodes, nodeEntry{node, s.fingerprintsOf(node.encoding)})
	}
	return id
}

func (s *stateSpace) internMessage(message *wire.Message) int32 {
	encode := func(names namePermutation) string { return encodingOf(names, "message", message) }
	encoding := encode(nil)
	id, known := s.messageIDs[encoding]
	if known {
		return id
	}
	id = int32(len(s.messages))
	s.messageIDs[encoding] = id
	entry := messageEntry{Message: message, permutedFingerprints: s.fingerprintsOf(encode), to: slices.Index(slotNames[:], message.To)}
	switch message.Kind {
	case wire.MessageKind_APPEND_REQUEST, wire.MessageKind_SNAPSHOT_REQUEST, wire.MessageKind_SNAPSHOT_CHUNK_REQUEST, wire.MessageKind_TRANSFER_LEADERSHIP:
		entry.fromLeader = true
	case wire.MessageKind_VOTE_REQUEST:
		entry.votesFor = message.From
	case wire.MessageKind_VOTE_RESPONSE:
		if message.Ok {
			entry.votesFor = message.To
		}
	}
	s.messages = append(s.messages, entry)
	return id
}

func (s *stateSpace) internHistory(history observedHistory) int32 {
	encode := func(names namePermutation) string { return encodingOf(names, "history", history) }
	encoding := encode(nil)
	id, known := s.historyIDs[encoding]
	if !known {
		id = int32(len(s.histories))
		s.historyIDs[encoding] = id
		s.histories = append(s.histories, historyEntry{history, s.fingerprintsOf(encode)})
	}
	return id
}

// step returns the outcome of an event at the node with the given number; nil if the event isn't possible there.
func (s *stateSpace) step(id int32, event modelEvent) *stepResult {
	key := stepKey{id, event}
	if result, known := s.steps[key]; known {
		return result
	}
	var message *wire.Message
	if event.kind == deliver {
		message = s.messages[event.arg].Message
	}
	outcome := s.nodes[id].step(event, message, s.learnerSlot())
	if outcome == nil {
		s.steps[key] = nil
		return nil
	}
	result := &stepResult{eventOutcome: *outcome, node: s.internNode(outcome.node)}
	if outcome.restored != nil {
		result.restored = s.internNode(outcome.restored)
	}
	for _, message := range outcome.messages {
		if !slices.Contains(slotNames[:], message.To) {
			panic(fmt.Sprintf("a core sent a message to %q, which is no member of the model", message.To))
		}
		result.messages = append(result.messages, s.internMessage(message))
	}
	s.steps[key] = result
	return result
}

// fingerprint returns the same value for states that differ only by a permutation of the names of the initial voters:
// the smallest of the fingerprints that the state has under each permutation.
func (s *stateSpace) fingerprint(state *groupState) fingerprint {
	var used fingerprint
	for i, n := range state.used {
		used = used.add(s.usedFingerprints[i][n])
	}
	var smallest fingerprint
	for i := range s.namePermutations {
		sum := used.add(state.inFlightSum[i]).add(s.histories[state.history].permutedFingerprints[i])
		for _, id := range s.members(state) {
			sum = sum.add(s.nodes[id].permutedFingerprints[i])
		}
		if i == 0 || sum.less(smallest) {
			smallest = sum
		}
		if s.preVotes {
			break // a pre-candidate yields to one whose name sorts first, so states with permuted names aren't equivalent
		}
	}
	return smallest
}

// updateInFlight adds the messages that an action sends to those in flight. It removes the message that the action
// delivers, unless the action duplicates it, and the messages that no longer have an effect on the member of the action.
func (s *stateSpace) updateInFlight(state *groupState, action modelAction, sent []int32) {
	slot := int(action.slot)
	remaining := make([]int32, 0, len(state.inFlight)+len(sent))
	for _, id := range state.inFlight {
		if id == action.arg && action.kind == deliver && !action.duplicated || s.messages[id].to == slot && s.isDropped(state.nodes[slot], id) {
			s.updateInFlightSum(state, id, fingerprint.subtract)
		} else {
			remaining = append(remaining, id)
		}
	}
	for _, id := range sent {
		at, known := slices.BinarySearch(remaining, id)
		if known || s.isDropped(state.nodes[s.messages[id].to], id) {
			continue
		}
		remaining = slices.Insert(remaining, at, id)
		s.updateInFlightSum(state, id, fingerprint.add)
	}
	if !slices.Equal(remaining, state.inFlight) {
		state.inFlight = remaining
	}
}

func (s *stateSpace) updateInFlightSum(state *groupState, id int32, with func(a, b fingerprint) fingerprint) {
	for i := range s.namePermutations {
		state.inFlightSum[i] = with(state.inFlightSum[i], s.messages[id].permutedFingerprints[i])
	}
}

// isDropped reports whether a message in flight is removed without delivery: it has no effect on its receiver, or it is
// a request of a term earlier than the receiver's and the bounds exclude such requests (bounds.lateRequests).
func (s *stateSpace) isDropped(nodeID, messageID int32) bool {
	node, message := s.nodes[nodeID], s.messages[messageID]
	if s.hasNoEffect(nodeID, messageID) {
		return true
	}
	if message.RestoreGeneration != node.core.hardState.RestoreGeneration {
		return false
	}
	switch message.Kind {
	case wire.MessageKind_VOTE_REQUEST, wire.MessageKind_APPEND_REQUEST, wire.MessageKind_SNAPSHOT_REQUEST, wire.MessageKind_SNAPSHOT_CHUNK_REQUEST:
		return !s.lateRequests && message.Term < node.core.hardState.Term
	}
	return false
}

// hasNoEffect reports whether a message can't change its receiver, now or later. This is so if the receiver is absent
// for good, since it lost its disk and no member starts under its name again, or if the message responds to an earlier
// term or incarnation of the receiver, or to a candidacy or leadership in the current term that the receiver has ended.
// verifyNoEffect checks that the core ignores these messages.
func (s *stateSpace) hasNoEffect(nodeID, messageID int32) bool {
	node, message := s.nodes[nodeID], s.messages[messageID]
	if node.absent {
		return true
	}
	if message.RestoreGeneration != node.core.hardState.RestoreGeneration {
		return false // the receiver learns from the message that the group was restored, or the sender learns it from the response
	}
	term := node.core.hardState.Term
	switch message.Kind {
	case wire.MessageKind_RESTORE_NOTICE:
		return true
	case wire.MessageKind_VOTE_RESPONSE:
		return message.AboutIncarnation != node.core.hardState.Incarnation || message.Term < term || message.Term == term && (node.core.role != candidate || !message.Ok)
	case wire.MessageKind_TRANSFER_LEADERSHIP:
		return message.Term < term
	case wire.MessageKind_STATE_RESPONSE:
		return message.AboutIncarnation != node.core.hardState.Incarnation || node.core.hardState.DiskState != wire.DiskState_DISK_BLANK
	case wire.MessageKind_APPEND_RESPONSE, wire.MessageKind_SNAPSHOT_CHUNK_RESPONSE:
		return message.AboutIncarnation != node.core.hardState.Incarnation || message.Term < term || message.Term == term && node.core.role != leader && node.core.role != candidate
	}
	return false
}

// verifyNoEffect delivers to each node the messages that have no effect on it according to hasNoEffect. It returns a
// description of the first one that changes the node or makes it send messages; empty: there is none.
func (s *stateSpace) verifyNoEffect() string {
	for nodeID := range s.nodes {
		for messageID := range s.messages {
			node, message := s.nodes[nodeID], s.messages[messageID]
			if node.absent || message.To != node.name || !s.hasNoEffect(int32(nodeID), int32(messageID)) {
				continue
			}
			if result := s.step(int32(nodeID), modelEvent{kind: deliver, arg: int32(messageID)}); result.node != int32(nodeID) && !node.pending() || len(result.messages) > 0 && !node.pending() {
				return fmt.Sprintf("hasNoEffect is true for a message that changes member %s in term %d or gets a response: %s from %s", node.name, node.core.hardState.Term, describeMessage(message.Message), message.From)
			}
		}
	}
	return ""
}

// verifyUnchanged checks that no step has changed a node or a message that the states share. It returns a description of
// the first one that was changed; empty: there is none.
func (s *stateSpace) verifyUnchanged() string {
	for encoding, id := range s.nodeIDs {
		if node := s.nodes[id]; node.encoding(nil) != encoding {
			return fmt.Sprintf("the stored state of member %s, which group states share, was changed by a step", node.name)
		}
	}
	for encoding, id := range s.messageIDs {
		if message := s.messages[id].Message; encodingOf(nil, "message", message) != encoding {
			return "a message was changed after it was sent: " + describeMessage(message)
		}
	}
	return ""
}
