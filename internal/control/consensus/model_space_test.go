package consensus

import (
	"fmt"
	"slices"

	"pebbleloom/internal/wire"
)

// maxSlots is the largest number of members in a state of the model. The initial voters have the first slots, then
// the learner and the member that a restored group begins with, if the bounds allow them.
const maxSlots = 6

var slotNames = [maxSlots]string{"a", "b", "c", "d", "e", "f"}

// defaultInitialVoters is the number of initial voters if the bounds give none.
const defaultInitialVoters = 3

// budget is a kind of event whose number on the path to a state is limited.
type budget int

const (
	proposals budget = iota
	restarts
	wipes
	learners // additions of a learner by a leader
	changes  // membership changes proposed by a leader
	transfers
	compactions
	reads
	heartbeats
	quorumTimeouts        // step-downs of a leader that lost contact with a quorum
	elections             // campaigns started by a member
	duplicates            // deliveries of a message that stays in flight
	delayedFlushes        // steps whose output isn't persisted and sent at once
	freshnessQueries      // queries of a client for a proof that its document is the newest
	freshnessAttestations // responses of members to such a query
	restores              // restores of the group from one member
	budgetCount           // number of budgets
)

// unlimited is the limit of a kind of event that may happen any number of times, and isn't counted in a state.
const unlimited = 255

// bounds limit a search, which visits every state within them.
type bounds struct {
	initialVoters   int                // initial voters, 5 at most; 0: defaultInitialVoters
	fixed           bool               // the members are fixed by the configuration, and can't change
	conflictingLogs bool               // the search begins in term 3: a alone has an entry that it proposed in term 1, b was elected in term 2, and a in term 3
	elected         bool               // the search begins with a as leader of term 1, its first entry committed on all members, and no message in flight
	learner         bool               // there is a learner, in the slot after those of the initial voters
	pendingChange   modelEvent         // the search begins in term 2: a alone has this membership change, which it proposed in term 1, and b was elected; zero: no such change
	lateRequests    bool               // requests of earlier terms are delivered, to be rejected by the core; otherwise they are dropped
	smallMessages   bool               // a message carries only one entry or one byte of a snapshot, instead of as many as needed
	preVotes        bool               // elections start with pre-votes; otherwise any member may campaign at any time
	candidates      string             // names of the members that may campaign (see distinguished); empty: all
	terms           uint64             // highest term that a member may campaign in
	limits          [budgetCount]uint8 // maximum number of events of each kind, by budget
}

// groupState is a state of the whole group: its members, the messages in flight, and the history of observed events.
// A message may be delivered at any time, repeatedly or never, which covers every reordering, loss, delay,
// duplicate and partition. Nodes, messages and histories are represented by their numbers in the stateSpace.
type groupState struct {
	nodes       [maxSlots]int32
	history     int32
	used        [budgetCount]uint8
	inFlight    []int32      // numbers of the messages in flight, sorted
	inFlightSum fingerprints // sum of the fingerprints of inFlight
	number      int32        // number of the state in the order of discovery
}

type nodeEntry struct {
	*modelNode
	permutedFingerprints fingerprints
}

type messageEntry struct {
	*wire.Message
	permutedFingerprints fingerprints
	to                   int
	fromLeader           bool   // only the leader of its term sends such a message
	votesFor             string // the candidate that the message is a vote for; empty: it is no vote
}

type historyEntry struct {
	observedHistory
	permutedFingerprints fingerprints
}

// stateSpace stores each distinct node, message and history of the visited states once, and caches the outcome of
// each event at each node.
type stateSpace struct {
	bounds
	renamings        []renaming // permutations of the initial voters under which states are equivalent; the first is the identity
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
	restored int32 // number of the only member of the restored group, if this step is a restore
	messages []int32
}

func newStateSpace(limits bounds) *stateSpace {
	if limits.initialVoters == 0 {
		limits.initialVoters = defaultInitialVoters
	}
	s := &stateSpace{bounds: limits, renamings: initialVoterRenamings(limits.initialVoters, limits.distinguished()), nodeIDs: map[string]int32{}, messageIDs: map[string]int32{}, historyIDs: map[string]int32{}, steps: map[stepKey]*stepResult{}, historyCache: map[historyKey]historyResult{}}
	for i := range s.usedFingerprints {
		for n := range s.usedFingerprints[i] {
			s.usedFingerprints[i][n] = hashOf([]byte{byte(i), byte(n)})
		}
	}
	return s
}

// distinguished returns how many of the initial voters, from the first one on, have special roles in the bounds.
// States that differ by a permutation of these aren't equivalent.
func (b bounds) distinguished() int {
	if b.pendingChange != (modelEvent{}) {
		return 2 // a, which proposed the pending change and may campaign, and b, which was elected
	}
	return 0
}

// memberCount returns the number of slots in use.
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

// restoredSlot returns the slot of the only member of a restored group.
func (s *stateSpace) restoredSlot() int { return s.memberCount() - 1 }

// members returns the nodes of a state, by number, in the slots in use.
func (s *stateSpace) members(state *groupState) []int32 { return state.nodes[:s.memberCount()] }

// learnerSlot returns the slot of the learner, which the bounds may leave unused.
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
	encode := func(names renaming) string { return encodingOf(names, "message", message) }
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
	encode := func(names renaming) string { return encodingOf(names, "history", history) }
	encoding := encode(nil)
	id, known := s.historyIDs[encoding]
	if !known {
		id = int32(len(s.histories))
		s.historyIDs[encoding] = id
		s.histories = append(s.histories, historyEntry{history, s.fingerprintsOf(encode)})
	}
	return id
}

// step returns the outcome of an event at a node; nil if the event isn't possible there.
func (s *stateSpace) step(id int32, event modelEvent) *stepResult {
	key := stepKey{id, event}
	if result, known := s.steps[key]; known {
		return result
	}
	var message *wire.Message
	if event.kind == deliver {
		message = s.messages[event.arg].Message
	}
	out := s.nodes[id].step(event, message, s.learnerSlot())
	if out == nil {
		s.steps[key] = nil
		return nil
	}
	result := &stepResult{eventOutcome: *out, node: s.internNode(out.node)}
	if out.restored != nil {
		result.restored = s.internNode(out.restored)
	}
	for _, message := range out.messages {
		if !slices.Contains(slotNames[:], message.To) {
			panic(fmt.Sprintf("message to %q, which is no member of the model", message.To))
		}
		result.messages = append(result.messages, s.internMessage(message))
	}
	s.steps[key] = result
	return result
}

// fingerprint identifies a state up to a permutation of the initial voters: it is the smallest of the fingerprints
// under all permutations.
func (s *stateSpace) fingerprint(state *groupState) fingerprint {
	var used fingerprint
	for i, n := range state.used {
		used = used.add(s.usedFingerprints[i][n])
	}
	var smallest fingerprint
	for i := range s.renamings {
		sum := used.add(state.inFlightSum[i]).add(s.histories[state.history].permutedFingerprints[i])
		for _, id := range s.members(state) {
			sum = sum.add(s.nodes[id].permutedFingerprints[i])
		}
		if i == 0 || sum.less(smallest) {
			smallest = sum
		}
		if s.preVotes {
			break // a pre-candidate yields to a lower name, so permuted states aren't equivalent
		}
	}
	return smallest
}

// updateInFlight adds the messages that an action sends to those in flight. It removes the message that the action
// delivers, unless it is duplicated, and messages to the member of the action that no longer have any effect.
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
	for i := range s.renamings {
		state.inFlightSum[i] = with(state.inFlightSum[i], s.messages[id].permutedFingerprints[i])
	}
}

// isDropped reports whether a message in flight is removed without delivery: it has no effect, or is a request of an
// earlier term and the bounds exclude these.
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

// hasNoEffect reports whether a message can't change a member, now or later: the member is wiped, or the message is
// a response to an earlier term or incarnation, or to a candidacy or leadership of this term that the member has
// ended. verifyNoEffect checks that the core ignores these messages.
func (s *stateSpace) hasNoEffect(nodeID, messageID int32) bool {
	node, message := s.nodes[nodeID], s.messages[messageID]
	if node.wiped {
		return true
	}
	if message.RestoreGeneration != node.core.hardState.RestoreGeneration {
		return false // sender or receiver learns of the restore
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

// verifyNoEffect delivers every message that hasNoEffect excludes at a node to that node, and returns a description
// of the first one that has an effect; empty: there is none.
func (s *stateSpace) verifyNoEffect() string {
	for nodeID := range s.nodes {
		for messageID := range s.messages {
			node, message := s.nodes[nodeID], s.messages[messageID]
			if node.wiped || message.To != node.name || !s.hasNoEffect(int32(nodeID), int32(messageID)) {
				continue
			}
			if result := s.step(int32(nodeID), modelEvent{kind: deliver, arg: int32(messageID)}); result.node != int32(nodeID) && !node.pending() || len(result.messages) > 0 && !node.pending() {
				return fmt.Sprintf("a message that should have no effect changed member %s in term %d: %s from %s", node.name, node.core.hardState.Term, describeMessage(message.Message), message.From)
			}
		}
	}
	return ""
}

// verifyUnchanged checks that no step has changed a member or a message that is shared with other states. It returns
// a description of the first one that was changed; empty: there is none.
func (s *stateSpace) verifyUnchanged() string {
	for encoding, id := range s.nodeIDs {
		if node := s.nodes[id]; node.encoding(nil) != encoding {
			return fmt.Sprintf("a step from another state changed the shared copy of member %s", node.name)
		}
	}
	for encoding, id := range s.messageIDs {
		if message := s.messages[id].Message; encodingOf(nil, "message", message) != encoding {
			return "a message was changed after it was sent: " + describeMessage(message)
		}
	}
	return ""
}
