package consensus

import (
	"fmt"
	"slices"

	"pebbleloom/internal/wire"
)

// slots are the members that a state of the model holds: three founders and a learner.
const slots = 4

var slotNames = [slots]string{"a", "b", "c", "d"}

// budget is something that may happen a bounded number of times on the path to a state.
type budget int

const (
	proposals budget = iota
	restarts
	wipes
	learners // that a leader begins to feed before it proposes them as members
	changes  // of members
	transfers
	compactions
	reads
	heartbeats
	timeouts       // silence of the quorum, noticed by a leader
	elections      // that members stand for
	duplicates     // messages that are delivered and come again
	delayedFlushes // steps that the driver doesn't flush at once
	freshnessQueries
	freshnessAttestations // to the question for a proof of freshness
	budgets
)

// unlimited is a bound of what may happen any number of times without making two states differ.
const unlimited = 255

// bounds limit a search. Every state within them is visited; what isn't bounded here is free.
type bounds struct {
	fixed         bool // members that are fixed by configuration, in place of a group
	contested     bool // begins later: an entry that a proposed in term 1 is on a alone, b was elected for term 2, and a for term 3
	elected       bool // begins with a as the leader of term 1, its first entry committed on all, no message left
	learner       bool // d exists
	lateRequests  bool // a request may also come when its receiver has left its term behind, and be rejected
	smallMessages bool // one entry or byte of a snapshot a message, in place of all
	preVotes      bool // elections begin with pre-votes; else any member may stand at any time
	terms         uint64
	limits        [budgets]uint8
}

// groupState is a state of the whole group: its members, every message that was ever sent, and what an
// observer has to remember of the past. A message may be delivered at any time, again, or never: that
// is every order, loss, delay, duplicate and cut.
type groupState struct {
	nodes       [slots]int32
	history     int32
	used        [budgets]uint8
	inFlight    []int32 // in the order of their numbers
	inFlightSum fingerprints
	number      int32 // in the order of discovery
}

type nodeEntry struct {
	*modelNode
	prints fingerprints
}

type messageEntry struct {
	*wire.Message
	prints     fingerprints
	to         int
	fromLeader bool   // only a leader of its term sends it
	votesFor   string // whom its sender has voted for, to send it
}

type historyEntry struct {
	observedHistory
	prints fingerprints
}

// space holds every part of a state once, and remembers what each event makes of each node.
type space struct {
	bounds
	nodes        []nodeEntry
	messages     []messageEntry
	histories    []historyEntry
	nodeIDs      map[string]int32
	messageIDs   map[string]int32
	historyIDs   map[string]int32
	steps        map[stepKey]*stepResult
	historyCache map[historyKey]historyResult
	usedPrints   [budgets][256]fingerprint
}

type stepKey struct {
	node int32
	modelEvent
}

type stepResult struct {
	eventOutcome
	node     int32
	messages []int32
}

func newSpace(limits bounds) *space {
	s := &space{bounds: limits, nodeIDs: map[string]int32{}, messageIDs: map[string]int32{}, historyIDs: map[string]int32{}, steps: map[stepKey]*stepResult{}, historyCache: map[historyKey]historyResult{}}
	for i := range s.usedPrints {
		for n := range s.usedPrints[i] {
			s.usedPrints[i][n] = hashOf([]byte{byte(i), byte(n)})
		}
	}
	return s
}

func (s *space) internNode(node *modelNode) int32 {
	encoding := node.encoding(nil)
	id, known := s.nodeIDs[encoding]
	if !known {
		id = int32(len(s.nodes))
		s.nodeIDs[encoding] = id
		s.nodes = append(s.nodes, nodeEntry{node, fingerprintsOf(node.encoding)})
	}
	return id
}

func (s *space) internMessage(message *wire.Message) int32 {
	encode := func(names renaming) string { return encodingOf(names, "message", message) }
	encoding := encode(nil)
	id, known := s.messageIDs[encoding]
	if known {
		return id
	}
	id = int32(len(s.messages))
	s.messageIDs[encoding] = id
	entry := messageEntry{Message: message, prints: fingerprintsOf(encode), to: slices.Index(slotNames[:], message.To)}
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

func (s *space) internHistory(history observedHistory) int32 {
	encode := func(names renaming) string { return encodingOf(names, "history", history) }
	encoding := encode(nil)
	id, known := s.historyIDs[encoding]
	if !known {
		id = int32(len(s.histories))
		s.historyIDs[encoding] = id
		s.histories = append(s.histories, historyEntry{history, fingerprintsOf(encode)})
	}
	return id
}

// step looks up, or finds out, what an event makes of a node; nil: it can't happen there.
func (s *space) step(id int32, event modelEvent) *stepResult {
	key := stepKey{id, event}
	if result, known := s.steps[key]; known {
		return result
	}
	var message *wire.Message
	if event.kind == deliver {
		message = s.messages[event.arg].Message
	}
	out := s.nodes[id].step(event, message, slotNames[:])
	if out == nil {
		s.steps[key] = nil
		return nil
	}
	result := &stepResult{eventOutcome: *out, node: s.internNode(out.node)}
	for _, message := range out.messages {
		if !slices.Contains(slotNames[:], message.To) {
			panic(fmt.Sprintf("a message to %q, whom the model doesn't know", message.To))
		}
		result.messages = append(result.messages, s.internMessage(message))
	}
	s.steps[key] = result
	return result
}

// fingerprint tells states apart, but for the names of the founders: of all their permutations it is
// the least.
func (s *space) fingerprint(state *groupState) fingerprint {
	var used fingerprint
	for i, n := range state.used {
		used = used.add(s.usedPrints[i][n])
	}
	var least fingerprint
	for i := range founderRenamings {
		sum := used.add(state.inFlightSum[i]).add(s.histories[state.history].prints[i])
		for slot, id := range state.nodes {
			if slot < 3 || s.learner {
				sum = sum.add(s.nodes[id].prints[i])
			}
		}
		if i == 0 || sum.less(least) {
			least = sum
		}
		if s.preVotes {
			break // a pre-candidate yields by name, so members aren't alike
		}
	}
	return least
}

// updateInFlight adds messages to those that were sent, and forgets those to a slot that mean nothing there any more.
// One that was delivered for the last time is forgotten, too.
func (s *space) updateInFlight(state *groupState, action modelAction, sent []int32) {
	slot := int(action.slot)
	kept := make([]int32, 0, len(state.inFlight)+len(sent))
	for _, id := range state.inFlight {
		if id == action.arg && action.kind == deliver && !action.duplicated || s.messages[id].to == slot && s.isDropped(state.nodes[slot], id) {
			s.updateInFlightSum(state, id, fingerprint.subtract)
		} else {
			kept = append(kept, id)
		}
	}
	for _, id := range sent {
		at, known := slices.BinarySearch(kept, id)
		if known || s.isDropped(state.nodes[s.messages[id].to], id) {
			continue
		}
		kept = slices.Insert(kept, at, id)
		s.updateInFlightSum(state, id, fingerprint.add)
	}
	if !slices.Equal(kept, state.inFlight) {
		state.inFlight = kept
	}
}

func (s *space) updateInFlightSum(state *groupState, id int32, with func(a, b fingerprint) fingerprint) {
	for i := range state.inFlightSum {
		state.inFlightSum[i] = with(state.inFlightSum[i], s.messages[id].prints[i])
	}
}

// isDropped tells whether a message is delivered no more: it means nothing any more, or it is a late
// request where the bounds don't let one through.
func (s *space) isDropped(nodeID, messageID int32) bool {
	node, message := s.nodes[nodeID], s.messages[messageID]
	if s.hasNoEffect(nodeID, messageID) {
		return true
	}
	switch message.Kind {
	case wire.MessageKind_VOTE_REQUEST, wire.MessageKind_APPEND_REQUEST, wire.MessageKind_SNAPSHOT_REQUEST, wire.MessageKind_SNAPSHOT_CHUNK_REQUEST:
		return !s.lateRequests && message.Term < node.core.hardState.Term
	}
	return false
}

// hasNoEffect tells whether a message changes nothing at a member, now and at any later time: it is
// gone, or the answer belongs to a term or an incarnation that it has left behind, or to a candidacy
// or leadership of this term that it has given up. verifyNoEffect holds the core to it.
func (s *space) hasNoEffect(nodeID, messageID int32) bool {
	node, message := s.nodes[nodeID], s.messages[messageID]
	if node.wiped {
		return true
	}
	term := node.core.hardState.Term
	switch message.Kind {
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

// verifyNoEffect delivers to every member that was met every message that was forgotten on its way there.
func (s *space) verifyNoEffect() string {
	for nodeID := range s.nodes {
		for messageID := range s.messages {
			node, message := s.nodes[nodeID], s.messages[messageID]
			if node.wiped || message.To != node.name || !s.hasNoEffect(int32(nodeID), int32(messageID)) {
				continue
			}
			if result := s.step(int32(nodeID), modelEvent{kind: deliver, arg: int32(messageID)}); result.node != int32(nodeID) && !node.pending() || len(result.messages) > 0 && !node.pending() {
				return fmt.Sprintf("an answer that is out of date has an effect on %s in term %d: %s from %s", node.name, node.core.hardState.Term, describeMessage(message.Message), message.From)
			}
		}
	}
	return ""
}

// verifyUnchanged finds out whether a step has changed a member or a message that others share.
func (s *space) verifyUnchanged() string {
	for encoding, id := range s.nodeIDs {
		if node := s.nodes[id]; node.encoding(nil) != encoding {
			return fmt.Sprintf("a step of another state changed %s", node.name)
		}
	}
	for encoding, id := range s.messageIDs {
		if message := s.messages[id].Message; encodingOf(nil, "message", message) != encoding {
			return "a message was changed after it was sent: " + describeMessage(message)
		}
	}
	return ""
}
