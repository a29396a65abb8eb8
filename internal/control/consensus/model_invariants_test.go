package consensus

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"pebbleloom/internal/data/agent"
	"pebbleloom/internal/wire"
)

const (
	queryFreshness  eventKind = 100 + iota // an agent asks all members whether there is anything newer
	attestFreshness                        // one of them vouches that there isn't
)

// committedEntry is an entry that a member has committed, and the least term in which one did.
type committedEntry struct {
	entry *wire.Entry
	term  uint64
}

// attestation is a member's answer to the agent: its disk holds nothing newer, and this is its membership.
type attestation struct {
	member      string
	members     []string
	term, index uint64
}

// observedHistory is what an observer has seen that the members may have forgotten.
type observedHistory struct {
	committed          []committedEntry
	committedWhenAsked int // how many changes were committed when the agent asked; 0: it hasn't
	attestations       []attestation
	votes              map[string]castVote // the latest of each incarnation
}

// castVote is a vote that was given, to oneself included.
type castVote struct {
	term      uint64
	candidate string
}

// bodies are the changes that were committed, one letter each.
func (history observedHistory) bodies() string {
	l := ""
	for _, c := range history.committed {
		l += string(c.entry.Body)
	}
	return l
}

type historyKey struct {
	history int32
	step    *stepResult
}

type historyResult struct {
	history int32
	fault   string
}

// recordStep adds what a step committed, and the votes that it gave, to the history.
func (s *space) recordStep(id int32, result *stepResult) (now int32, fault string) {
	key := historyKey{id, result}
	old, known := s.historyCache[key]
	if !known {
		old.history, old.fault = s.extendHistory(id, result)
		s.historyCache[key] = old
	}
	return old.history, old.fault
}

func (s *space) extendHistory(id int32, result *stepResult) (now int32, fault string) {
	history := s.histories[id].observedHistory
	history.committed = slices.Clip(history.committed)
	changed, fault := history.addVotes(s, result)
	for _, entry := range result.committed {
		if entry.Index == uint64(len(history.committed))+1 {
			history.committed = append(history.committed, committedEntry{entry, result.term})
		}
	}
	if len(history.committed) == len(s.histories[id].committed) && !changed {
		return id, fault
	}
	return s.internHistory(history), fault
}

// addVotes: a member votes once in a term, also when it restarts in between, and never in an older
// term than before. A vote is forgotten once a later term is on the voter's disk.
func (history *observedHistory) addVotes(s *space, result *stepResult) (changed bool, fault string) {
	votes := maps.Clone(history.votes)
	if votes == nil {
		votes = map[string]castVote{}
	}
	for _, id := range result.messages {
		message := s.messages[id]
		if message.votesFor == "" {
			continue
		}
		was, voted := votes[message.Incarnation]
		if voted && (was.term > message.Term || was.term == message.Term && was.candidate != message.votesFor) {
			fault = fmt.Sprintf("two votes: %s votes for %s in term %d, and has voted for %s in term %d", message.From, message.votesFor, message.Term, was.candidate, was.term)
		}
		votes[message.Incarnation] = castVote{message.Term, message.votesFor}
	}
	if node := s.nodes[result.node]; !node.wiped {
		incarnation := node.core.hardState.Incarnation
		if v, voted := votes[incarnation]; voted && node.disk.term() > v.term {
			delete(votes, incarnation)
		}
	}
	if maps.Equal(votes, history.votes) {
		return false, fault
	}
	history.votes = votes
	return true, fault
}

// beginFreshnessQuery notes that the agent begins to ask, with a plan that is one change older than what is committed.
func (s *space) beginFreshnessQuery(id int32) int32 {
	history := s.histories[id].observedHistory
	if history.committedWhenAsked > 0 || history.bodies() == "" {
		return id
	}
	history.committedWhenAsked = len(history.bodies())
	return s.internHistory(history)
}

// attest notes the answer of a member, where it vouches that its disk holds no newer plan.
func (s *space) attest(id int32, node nodeEntry) int32 {
	history := s.histories[id].observedHistory
	if history.committedWhenAsked == 0 || !node.core.IsVoter(node.name) || node.pending() {
		return id
	}
	newest := len(node.app)
	for _, entry := range node.core.UnappliedEntries() {
		newest += len(entry.Body)
	}
	if newest >= history.committedWhenAsked {
		return id
	}
	v := attestation{member: node.name}
	v.members, v.term, v.index = node.core.Members()
	for _, old := range history.attestations {
		if old.member == v.member && old.term == v.term && old.index == v.index {
			return id
		}
	}
	history.attestations = append(slices.Clip(history.attestations), v)
	return s.internHistory(history)
}

// checkFreshnessProof tells whether the answers prove to the agent that its plan was the newest when it asked,
// though it wasn't.
func (history observedHistory) checkFreshnessProof() string {
	const version, askedAt = 1, time.Second
	p := agent.NewFreshnessProof()
	for _, v := range history.attestations {
		p.AddResponse(&wire.FollowResponse{Member: v.member, Members: v.members, MembersTerm: v.term, MembersIndex: v.index, NothingNewer: true}, version, askedAt)
	}
	if p.FreshUntil(version) == 0 {
		return ""
	}
	return fmt.Sprintf("wrong proof of freshness: %v prove that %d changes are all, %d had been committed before they were asked", history.attestations, history.committedWhenAsked-1, history.committedWhenAsked)
}

// checkStep holds the invariants against a step of one slot: those that tell of the step itself.
func (s *space) checkStep(state *groupState, action modelAction, before int32, result *stepResult) string {
	slot := int(action.slot)
	for _, fault := range []string{result.fault, s.checkAgreement(s.histories[state.history].observedHistory, result), s.checkCommitQuorum(state, slot, before, result), s.checkLeaderIsVoter(slot, before, result), s.checkTermMonotonic(before, result), s.checkAppliedMonotonic(action, before, result), s.checkTermSynced(result)} {
		if fault != "" {
			return fault
		}
	}
	return ""
}

// checkState holds the invariants against a state.
func (s *space) checkState(state *groupState) string {
	history := s.histories[state.history].observedHistory
	for _, fault := range []string{s.checkElectionSafety(state), s.checkLeaderCompleteness(state, history), s.checkMembershipSteps(state, history), s.checkAppliedState(state, history), history.checkFreshnessProof()} {
		if fault != "" {
			return fault
		}
	}
	return ""
}

// checkTermSynced: whatever a member sends, but for asking whether it could win, is of a term that is on its disk.
func (s *space) checkTermSynced(result *stepResult) string {
	node := s.nodes[result.node]
	for _, id := range result.messages {
		if message := s.messages[id]; message.Kind != wire.MessageKind_PRE_VOTE_REQUEST && message.Term > node.disk.term() {
			return fmt.Sprintf("sent before synced: %s speaks in term %d, its disk knows of term %d", node.name, message.Term, node.disk.term())
		}
	}
	return ""
}

// checkAppliedMonotonic: what a member has applied goes back only where it starts again.
func (s *space) checkAppliedMonotonic(action modelAction, before int32, result *stepResult) string {
	was, is := s.nodes[before], s.nodes[result.node]
	if action.kind == restart || action.kind == wipe || is.wiped || is.core.applied >= was.core.applied {
		return ""
	}
	return fmt.Sprintf("old state: %s goes back from entry %d to entry %d", is.name, was.core.applied, is.core.applied)
}

// checkTermMonotonic: the term on an incarnation's disk never falls.
func (s *space) checkTermMonotonic(before int32, result *stepResult) string {
	was, is := s.nodes[before], s.nodes[result.node]
	if is.wiped || was.core.hardState.Incarnation != is.core.hardState.Incarnation || is.disk.term() >= was.disk.term() {
		return ""
	}
	if is.core.cfg.DynamicMembership || was.core.hardState.DiskState == is.core.hardState.DiskState { // of fixed members a blank one is let in
		return fmt.Sprintf("the term on the disk of %s falls from %d to %d", is.name, was.disk.term(), is.disk.term())
	}
	return ""
}

// checkAgreement: no two members commit different entries at one index.
func (s *space) checkAgreement(history observedHistory, result *stepResult) string {
	for _, entry := range result.committed {
		if entry.Index > uint64(len(history.committed)) {
			return fmt.Sprintf("lost commit: %s commits entry %d though those before it aren't committed", s.nodes[result.node].name, entry.Index)
		}
		if was := history.committed[entry.Index-1].entry; was.Term != entry.Term || string(was.Body) != string(entry.Body) {
			return fmt.Sprintf("lost commit: entry %d was committed as %v, %s commits %v", entry.Index, was, s.nodes[result.node].name, entry)
		}
	}
	return ""
}

// checkCommitQuorum: what a leader commits is on the disks of a majority of the members that its log names.
// A wiped member may have held it, and of steps that sync together an earlier one may have committed
// it under other members, so this is told only where there are none.
func (s *space) checkCommitQuorum(state *groupState, slot int, before int32, result *stepResult) string {
	after := s.nodes[result.node]
	if len(result.committed) == 0 || after.wiped || state.used[wipes] > 0 || s.nodes[before].pending() || s.nodes[before].core.role != leader || s.nodes[before].core.applied >= after.core.applied {
		return ""
	}
	last := result.committed[len(result.committed)-1]
	holders := 0
	names, _, _ := after.core.Members()
	for _, name := range names {
		m := s.nodes[state.nodes[slices.Index(slotNames[:], name)]]
		read := New(m.core.cfg, m.disk.snapshot, m.disk.records)
		if t, ok := read.termAt(last.Index); ok && t == last.Term || read.snapshot.Index > last.Index {
			holders++
		}
	}
	if 2*holders > len(names) {
		return ""
	}
	return fmt.Sprintf("no overlapping majority: %s commits entry %d, which %d of %v hold", slotNames[slot], last.Index, holders, names)
}

// checkLeaderIsVoter: whoever becomes leader is a voter by its own log.
func (s *space) checkLeaderIsVoter(slot int, before int32, result *stepResult) string {
	was, is := s.nodes[before], s.nodes[result.node]
	if is.wiped || is.core.role != leader || was.core.role == leader || is.core.IsVoter(is.name) {
		return ""
	}
	return fmt.Sprintf("learner in the quorum: %s leads and is no member", slotNames[slot])
}

// checkElectionSafety: a term has one leader, and nobody else ever sent entries in it.
func (s *space) checkElectionSafety(state *groupState) string {
	for _, id := range state.nodes {
		node := s.nodes[id]
		if node.wiped || node.core.role != leader {
			continue
		}
		term := node.core.hardState.Term
		for _, other := range state.nodes {
			if o := s.nodes[other]; !o.wiped && o.name != node.name && o.core.role == leader && o.core.hardState.Term == term {
				return fmt.Sprintf("two leaders of term %d: %s and %s", term, node.name, o.name)
			}
		}
		for _, sent := range state.inFlight {
			if message := s.messages[sent]; message.fromLeader && message.Term == term && message.From != node.name {
				return fmt.Sprintf("two leaders of term %d: %s, and %s was", term, node.name, message.From)
			}
		}
	}
	return ""
}

// checkLeaderCompleteness: every leader of a later term has what was committed.
func (s *space) checkLeaderCompleteness(state *groupState, history observedHistory) string {
	for _, id := range state.nodes {
		node := s.nodes[id]
		if node.wiped || node.core.role != leader {
			continue
		}
		for _, c := range history.committed {
			if c.term >= node.core.hardState.Term || c.entry.Index <= node.core.snapshot.Index {
				continue
			}
			if t, ok := node.core.termAt(c.entry.Index); !ok || t != c.entry.Term {
				return fmt.Sprintf("lost commit: %s leads term %d without entry %d of term %d, committed in term %d", node.name, node.core.hardState.Term, c.entry.Index, c.entry.Term, c.term)
			}
		}
	}
	return ""
}

// checkMembershipSteps: in no leader's log do members change by more than one, or twice beyond what is committed.
func (s *space) checkMembershipSteps(state *groupState, history observedHistory) string {
	for _, id := range state.nodes {
		node := s.nodes[id]
		if node.wiped || node.core.role != leader || s.fixed {
			continue
		}
		now, open := node.core.snapshot.Members, 0
		for _, entry := range node.core.log {
			if len(entry.Members) == 0 || slices.Equal(entry.Members, now) {
				continue
			}
			if len(now) > 0 && differing(now, entry.Members) > 1 {
				return fmt.Sprintf("members changed by more than one: %v to %v", now, entry.Members)
			}
			if now = entry.Members; entry.Index > uint64(len(history.committed)) {
				open++
			}
		}
		if open > 1 {
			return fmt.Sprintf("overlapping changes of members: %d aren't committed in the log of %s", open, node.name)
		}
	}
	return ""
}

func differing(a, b []string) (n int) {
	for _, peer := range a {
		if !slices.Contains(b, peer) {
			n++
		}
	}
	for _, peer := range b {
		if !slices.Contains(a, peer) {
			n++
		}
	}
	return n
}

// checkAppliedState: what a member has applied is what was committed up to there.
func (s *space) checkAppliedState(state *groupState, history observedHistory) string {
	for _, id := range state.nodes {
		node := s.nodes[id]
		if node.wiped || node.core.ready.Snapshot != nil { // or the driver hasn't loaded the snapshot yet
			continue
		}
		if node.core.applied > uint64(len(history.committed)) {
			return fmt.Sprintf("lost commit: %s has applied %d entries, %d were committed", node.name, node.core.applied, len(history.committed))
		}
		want := observedHistory{committed: history.committed[:node.core.applied]}.bodies()
		if node.app != want {
			return fmt.Sprintf("old state: %s has applied %q up to entry %d, committed is %q", node.name, node.app, node.core.applied, want)
		}
	}
	return ""
}
