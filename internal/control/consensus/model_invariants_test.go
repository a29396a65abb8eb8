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

// history is what an observer has seen that the members may have forgotten.
type history struct {
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
func (h history) bodies() string {
	l := ""
	for _, c := range h.committed {
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
func (s *space) recordStep(id int32, r *stepResult) (now int32, fault string) {
	key := historyKey{id, r}
	old, known := s.historyCache[key]
	if !known {
		old.history, old.fault = s.extendHistory(id, r)
		s.historyCache[key] = old
	}
	return old.history, old.fault
}

func (s *space) extendHistory(id int32, r *stepResult) (now int32, fault string) {
	h := s.histories[id].history
	h.committed = slices.Clip(h.committed)
	changed, fault := h.addVotes(s, r)
	for _, e := range r.committed {
		if e.Index == uint64(len(h.committed))+1 {
			h.committed = append(h.committed, committedEntry{e, r.term})
		}
	}
	if len(h.committed) == len(s.histories[id].committed) && !changed {
		return id, fault
	}
	return s.internHistory(h), fault
}

// addVotes: a member votes once in a term, also when it restarts in between, and never in an older
// term than before. A vote is forgotten once a later term is on the voter's disk.
func (h *history) addVotes(s *space, r *stepResult) (changed bool, fault string) {
	votes := maps.Clone(h.votes)
	if votes == nil {
		votes = map[string]castVote{}
	}
	for _, id := range r.messages {
		m := s.messages[id]
		if m.votesFor == "" {
			continue
		}
		was, voted := votes[m.Incarnation]
		if voted && (was.term > m.Term || was.term == m.Term && was.candidate != m.votesFor) {
			fault = fmt.Sprintf("two votes: %s votes for %s in term %d, and has voted for %s in term %d", m.From, m.votesFor, m.Term, was.candidate, was.term)
		}
		votes[m.Incarnation] = castVote{m.Term, m.votesFor}
	}
	if n := s.nodes[r.node]; !n.wiped {
		incarnation := n.core.hardState.Incarnation
		if v, voted := votes[incarnation]; voted && n.disk.term() > v.term {
			delete(votes, incarnation)
		}
	}
	if maps.Equal(votes, h.votes) {
		return false, fault
	}
	h.votes = votes
	return true, fault
}

// beginFreshnessQuery notes that the agent begins to ask, with a plan that is one change older than what is committed.
func (s *space) beginFreshnessQuery(id int32) int32 {
	h := s.histories[id].history
	if h.committedWhenAsked > 0 || h.bodies() == "" {
		return id
	}
	h.committedWhenAsked = len(h.bodies())
	return s.internHistory(h)
}

// attest notes the answer of a member, where it vouches that its disk holds no newer plan.
func (s *space) attest(id int32, n nodeEntry) int32 {
	h := s.histories[id].history
	if h.committedWhenAsked == 0 || !n.core.IsVoter(n.name) || n.pending() {
		return id
	}
	newest := len(n.app)
	for _, e := range n.core.UnappliedEntries() {
		newest += len(e.Body)
	}
	if newest >= h.committedWhenAsked {
		return id
	}
	v := attestation{member: n.name}
	v.members, v.term, v.index = n.core.Members()
	for _, old := range h.attestations {
		if old.member == v.member && old.term == v.term && old.index == v.index {
			return id
		}
	}
	h.attestations = append(slices.Clip(h.attestations), v)
	return s.internHistory(h)
}

// checkFreshnessProof tells whether the answers prove to the agent that its plan was the newest when it asked,
// though it wasn't.
func (h history) checkFreshnessProof() string {
	const version, askedAt = 1, time.Second
	p := agent.NewFreshnessProof()
	for _, v := range h.attestations {
		p.AddResponse(&wire.FollowResponse{Member: v.member, Members: v.members, MembersTerm: v.term, MembersIndex: v.index, NothingNewer: true}, version, askedAt)
	}
	if p.FreshUntil(version) == 0 {
		return ""
	}
	return fmt.Sprintf("wrong proof of freshness: %v prove that %d changes are all, %d had been committed before they were asked", h.attestations, h.committedWhenAsked-1, h.committedWhenAsked)
}

// checkStep holds the invariants against a step of one slot: those that tell of the step itself.
func (s *space) checkStep(x *state, a action, before int32, r *stepResult) string {
	slot := int(a.slot)
	for _, fault := range []string{r.fault, s.checkAgreement(s.histories[x.history].history, r), s.checkCommitQuorum(x, slot, before, r), s.checkLeaderIsVoter(slot, before, r), s.checkTermMonotonic(before, r), s.checkAppliedMonotonic(a, before, r), s.checkTermSynced(r)} {
		if fault != "" {
			return fault
		}
	}
	return ""
}

// checkState holds the invariants against a state.
func (s *space) checkState(x *state) string {
	h := s.histories[x.history].history
	for _, fault := range []string{s.checkElectionSafety(x), s.checkLeaderCompleteness(x, h), s.checkMembershipSteps(x, h), s.checkAppliedState(x, h), h.checkFreshnessProof()} {
		if fault != "" {
			return fault
		}
	}
	return ""
}

// checkTermSynced: whatever a member sends, but for asking whether it could win, is of a term that is on its disk.
func (s *space) checkTermSynced(r *stepResult) string {
	n := s.nodes[r.node]
	for _, id := range r.messages {
		if m := s.messages[id]; m.Kind != wire.MessageKind_PRE_VOTE_REQUEST && m.Term > n.disk.term() {
			return fmt.Sprintf("sent before synced: %s speaks in term %d, its disk knows of term %d", n.name, m.Term, n.disk.term())
		}
	}
	return ""
}

// checkAppliedMonotonic: what a member has applied goes back only where it starts again.
func (s *space) checkAppliedMonotonic(a action, before int32, r *stepResult) string {
	was, is := s.nodes[before], s.nodes[r.node]
	if a.kind == restart || a.kind == wipe || is.wiped || is.core.applied >= was.core.applied {
		return ""
	}
	return fmt.Sprintf("old state: %s goes back from entry %d to entry %d", is.name, was.core.applied, is.core.applied)
}

// checkTermMonotonic: the term on an incarnation's disk never falls.
func (s *space) checkTermMonotonic(before int32, r *stepResult) string {
	was, is := s.nodes[before], s.nodes[r.node]
	if is.wiped || was.core.hardState.Incarnation != is.core.hardState.Incarnation || is.disk.term() >= was.disk.term() {
		return ""
	}
	if is.core.cfg.DynamicMembership || was.core.hardState.DiskState == is.core.hardState.DiskState { // of fixed members a blank one is let in
		return fmt.Sprintf("the term on the disk of %s falls from %d to %d", is.name, was.disk.term(), is.disk.term())
	}
	return ""
}

// checkAgreement: no two members commit different entries at one index.
func (s *space) checkAgreement(h history, r *stepResult) string {
	for _, e := range r.committed {
		if e.Index > uint64(len(h.committed)) {
			return fmt.Sprintf("lost commit: %s commits entry %d though those before it aren't committed", s.nodes[r.node].name, e.Index)
		}
		if was := h.committed[e.Index-1].entry; was.Term != e.Term || string(was.Body) != string(e.Body) {
			return fmt.Sprintf("lost commit: entry %d was committed as %v, %s commits %v", e.Index, was, s.nodes[r.node].name, e)
		}
	}
	return ""
}

// checkCommitQuorum: what a leader commits is on the disks of a majority of the members that its log names.
// A wiped member may have held it, and of steps that sync together an earlier one may have committed
// it under other members, so this is told only where there are none.
func (s *space) checkCommitQuorum(x *state, slot int, before int32, r *stepResult) string {
	after := s.nodes[r.node]
	if len(r.committed) == 0 || after.wiped || x.used[wipes] > 0 || s.nodes[before].pending() || s.nodes[before].core.role != leader || s.nodes[before].core.applied >= after.core.applied {
		return ""
	}
	last := r.committed[len(r.committed)-1]
	holders := 0
	names, _, _ := after.core.Members()
	for _, name := range names {
		m := s.nodes[x.nodes[slices.Index(slotNames[:], name)]]
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
func (s *space) checkLeaderIsVoter(slot int, before int32, r *stepResult) string {
	was, is := s.nodes[before], s.nodes[r.node]
	if is.wiped || is.core.role != leader || was.core.role == leader || is.core.IsVoter(is.name) {
		return ""
	}
	return fmt.Sprintf("learner in the quorum: %s leads and is no member", slotNames[slot])
}

// checkElectionSafety: a term has one leader, and nobody else ever sent entries in it.
func (s *space) checkElectionSafety(x *state) string {
	for _, id := range x.nodes {
		n := s.nodes[id]
		if n.wiped || n.core.role != leader {
			continue
		}
		term := n.core.hardState.Term
		for _, other := range x.nodes {
			if o := s.nodes[other]; !o.wiped && o.name != n.name && o.core.role == leader && o.core.hardState.Term == term {
				return fmt.Sprintf("two leaders of term %d: %s and %s", term, n.name, o.name)
			}
		}
		for _, sent := range x.inFlight {
			if m := s.messages[sent]; m.fromLeader && m.Term == term && m.From != n.name {
				return fmt.Sprintf("two leaders of term %d: %s, and %s was", term, n.name, m.From)
			}
		}
	}
	return ""
}

// checkLeaderCompleteness: every leader of a later term has what was committed.
func (s *space) checkLeaderCompleteness(x *state, h history) string {
	for _, id := range x.nodes {
		n := s.nodes[id]
		if n.wiped || n.core.role != leader {
			continue
		}
		for _, c := range h.committed {
			if c.term >= n.core.hardState.Term || c.entry.Index <= n.core.snapshot.Index {
				continue
			}
			if t, ok := n.core.termAt(c.entry.Index); !ok || t != c.entry.Term {
				return fmt.Sprintf("lost commit: %s leads term %d without entry %d of term %d, committed in term %d", n.name, n.core.hardState.Term, c.entry.Index, c.entry.Term, c.term)
			}
		}
	}
	return ""
}

// checkMembershipSteps: in no leader's log do members change by more than one, or twice beyond what is committed.
func (s *space) checkMembershipSteps(x *state, h history) string {
	for _, id := range x.nodes {
		n := s.nodes[id]
		if n.wiped || n.core.role != leader || s.fixed {
			continue
		}
		now, open := n.core.snapshot.Members, 0
		for _, e := range n.core.log {
			if len(e.Members) == 0 || slices.Equal(e.Members, now) {
				continue
			}
			if len(now) > 0 && differing(now, e.Members) > 1 {
				return fmt.Sprintf("members changed by more than one: %v to %v", now, e.Members)
			}
			if now = e.Members; e.Index > uint64(len(h.committed)) {
				open++
			}
		}
		if open > 1 {
			return fmt.Sprintf("overlapping changes of members: %d aren't committed in the log of %s", open, n.name)
		}
	}
	return ""
}

func differing(a, b []string) (n int) {
	for _, m := range a {
		if !slices.Contains(b, m) {
			n++
		}
	}
	for _, m := range b {
		if !slices.Contains(a, m) {
			n++
		}
	}
	return n
}

// checkAppliedState: what a member has applied is what was committed up to there.
func (s *space) checkAppliedState(x *state, h history) string {
	for _, id := range x.nodes {
		n := s.nodes[id]
		if n.wiped || n.core.ready.Snapshot != nil { // or the driver hasn't loaded the snapshot yet
			continue
		}
		if n.core.applied > uint64(len(h.committed)) {
			return fmt.Sprintf("lost commit: %s has applied %d entries, %d were committed", n.name, n.core.applied, len(h.committed))
		}
		want := history{committed: h.committed[:n.core.applied]}.bodies()
		if n.app != want {
			return fmt.Sprintf("old state: %s has applied %q up to entry %d, committed is %q", n.name, n.app, n.core.applied, want)
		}
	}
	return ""
}
