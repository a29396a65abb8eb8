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

// state is a state of the whole group: its members, every message that was ever sent, and what an
// observer has to remember of the past. A message may be delivered at any time, again, or never: that
// is every order, loss, delay, duplicate and cut.
type state struct {
	nodes       [slots]int32
	history     int32
	used        [budgets]uint8
	inFlight    []int32 // in the order of their numbers
	inFlightSum fingerprints
	number      int32 // in the order of discovery
}

type nodeEntry struct {
	*node
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
	history
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
	event
}

type stepResult struct {
	outcome
	node     int32
	messages []int32
}

func newSpace(b bounds) *space {
	s := &space{bounds: b, nodeIDs: map[string]int32{}, messageIDs: map[string]int32{}, historyIDs: map[string]int32{}, steps: map[stepKey]*stepResult{}, historyCache: map[historyKey]historyResult{}}
	for i := range s.usedPrints {
		for n := range s.usedPrints[i] {
			s.usedPrints[i][n] = hashOf([]byte{byte(i), byte(n)})
		}
	}
	return s
}

func (s *space) internNode(n *node) int32 {
	encoding := n.encoding(nil)
	id, known := s.nodeIDs[encoding]
	if !known {
		id = int32(len(s.nodes))
		s.nodeIDs[encoding] = id
		s.nodes = append(s.nodes, nodeEntry{n, fingerprintsOf(n.encoding)})
	}
	return id
}

func (s *space) internMessage(m *wire.Message) int32 {
	encode := func(names renaming) string { return encodingOf(names, "message", m) }
	encoding := encode(nil)
	id, known := s.messageIDs[encoding]
	if known {
		return id
	}
	id = int32(len(s.messages))
	s.messageIDs[encoding] = id
	entry := messageEntry{Message: m, prints: fingerprintsOf(encode), to: slices.Index(slotNames[:], m.To)}
	switch m.Kind {
	case wire.MessageKind_APPEND_REQUEST, wire.MessageKind_SNAPSHOT_REQUEST, wire.MessageKind_SNAPSHOT_CHUNK_REQUEST, wire.MessageKind_TRANSFER_LEADERSHIP:
		entry.fromLeader = true
	case wire.MessageKind_VOTE_REQUEST:
		entry.votesFor = m.From
	case wire.MessageKind_VOTE_RESPONSE:
		if m.Ok {
			entry.votesFor = m.To
		}
	}
	s.messages = append(s.messages, entry)
	return id
}

func (s *space) internHistory(h history) int32 {
	encode := func(names renaming) string { return encodingOf(names, "history", h) }
	encoding := encode(nil)
	id, known := s.historyIDs[encoding]
	if !known {
		id = int32(len(s.histories))
		s.historyIDs[encoding] = id
		s.histories = append(s.histories, historyEntry{h, fingerprintsOf(encode)})
	}
	return id
}

// step looks up, or finds out, what an event makes of a node; nil: it can't happen there.
func (s *space) step(id int32, e event) *stepResult {
	key := stepKey{id, e}
	if r, known := s.steps[key]; known {
		return r
	}
	var m *wire.Message
	if e.kind == deliver {
		m = s.messages[e.arg].Message
	}
	out := s.nodes[id].step(e, m, slotNames[:])
	if out == nil {
		s.steps[key] = nil
		return nil
	}
	r := &stepResult{outcome: *out, node: s.internNode(out.node)}
	for _, m := range out.messages {
		if !slices.Contains(slotNames[:], m.To) {
			panic(fmt.Sprintf("a message to %q, whom the model doesn't know", m.To))
		}
		r.messages = append(r.messages, s.internMessage(m))
	}
	s.steps[key] = r
	return r
}

// fingerprint tells states apart, but for the names of the founders: of all their permutations it is
// the least.
func (s *space) fingerprint(x *state) fingerprint {
	var used fingerprint
	for i, n := range x.used {
		used = used.add(s.usedPrints[i][n])
	}
	var least fingerprint
	for i := range founderRenamings {
		sum := used.add(x.inFlightSum[i]).add(s.histories[x.history].prints[i])
		for slot, id := range x.nodes {
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
func (s *space) updateInFlight(x *state, a action, sent []int32) {
	slot := int(a.slot)
	kept := make([]int32, 0, len(x.inFlight)+len(sent))
	for _, id := range x.inFlight {
		if id == a.arg && a.kind == deliver && !a.duplicated || s.messages[id].to == slot && s.isDropped(x.nodes[slot], id) {
			s.updateInFlightSum(x, id, fingerprint.subtract)
		} else {
			kept = append(kept, id)
		}
	}
	for _, id := range sent {
		at, known := slices.BinarySearch(kept, id)
		if known || s.isDropped(x.nodes[s.messages[id].to], id) {
			continue
		}
		kept = slices.Insert(kept, at, id)
		s.updateInFlightSum(x, id, fingerprint.add)
	}
	if !slices.Equal(kept, x.inFlight) {
		x.inFlight = kept
	}
}

func (s *space) updateInFlightSum(x *state, id int32, with func(a, b fingerprint) fingerprint) {
	for i := range x.inFlightSum {
		x.inFlightSum[i] = with(x.inFlightSum[i], s.messages[id].prints[i])
	}
}

// isDropped tells whether a message is delivered no more: it means nothing any more, or it is a late
// request where the bounds don't let one through.
func (s *space) isDropped(node, id int32) bool {
	n, m := s.nodes[node], s.messages[id]
	if s.hasNoEffect(node, id) {
		return true
	}
	switch m.Kind {
	case wire.MessageKind_VOTE_REQUEST, wire.MessageKind_APPEND_REQUEST, wire.MessageKind_SNAPSHOT_REQUEST, wire.MessageKind_SNAPSHOT_CHUNK_REQUEST:
		return !s.lateRequests && m.Term < n.core.hardState.Term
	}
	return false
}

// hasNoEffect tells whether a message changes nothing at a member, now and at any later time: it is
// gone, or the answer belongs to a term or an incarnation that it has left behind, or to a candidacy
// or leadership of this term that it has given up. verifyNoEffect holds the core to it.
func (s *space) hasNoEffect(node, id int32) bool {
	n, m := s.nodes[node], s.messages[id]
	if n.wiped {
		return true
	}
	term := n.core.hardState.Term
	switch m.Kind {
	case wire.MessageKind_VOTE_RESPONSE:
		return m.AboutIncarnation != n.core.hardState.Incarnation || m.Term < term || m.Term == term && (n.core.role != candidate || !m.Ok)
	case wire.MessageKind_TRANSFER_LEADERSHIP:
		return m.Term < term
	case wire.MessageKind_STATE_RESPONSE:
		return m.AboutIncarnation != n.core.hardState.Incarnation || n.core.hardState.DiskState != wire.DiskState_DISK_BLANK
	case wire.MessageKind_APPEND_RESPONSE, wire.MessageKind_SNAPSHOT_CHUNK_RESPONSE:
		return m.AboutIncarnation != n.core.hardState.Incarnation || m.Term < term || m.Term == term && n.core.role != leader && n.core.role != candidate
	}
	return false
}

// verifyNoEffect delivers to every member that was met every message that was forgotten on its way there.
func (s *space) verifyNoEffect() string {
	for node := range s.nodes {
		for id := range s.messages {
			n, m := s.nodes[node], s.messages[id]
			if n.wiped || m.To != n.name || !s.hasNoEffect(int32(node), int32(id)) {
				continue
			}
			if r := s.step(int32(node), event{kind: deliver, arg: int32(id)}); r.node != int32(node) && !n.pending() || len(r.messages) > 0 && !n.pending() {
				return fmt.Sprintf("an answer that is out of date has an effect on %s in term %d: %s from %s", n.name, n.core.hardState.Term, describeMessage(m.Message), m.From)
			}
		}
	}
	return ""
}

// verifyUnchanged finds out whether a step has changed a member or a message that others share.
func (s *space) verifyUnchanged() string {
	for encoding, id := range s.nodeIDs {
		if n := s.nodes[id]; n.encoding(nil) != encoding {
			return fmt.Sprintf("a step of another state changed %s", n.name)
		}
	}
	for encoding, id := range s.messageIDs {
		if m := s.messages[id].Message; encodingOf(nil, "message", m) != encoding {
			return "a message was changed after it was sent: " + describeMessage(m)
		}
	}
	return ""
}
