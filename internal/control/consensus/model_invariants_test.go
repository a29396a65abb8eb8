package consensus

import (
	"fmt"
	"maps"
	"slices"

	"pebbleloom/internal/wire"
)

// committedEntry is a committed entry, with the term that the first member to commit it had at that time.
type committedEntry struct {
	entry *wire.Entry
	term  uint64
}

// observedHistory records what the invariants need to know of past events in a group, since its members may have lost it
// with their disks or in a restart.
type observedHistory struct {
	committed          []committedEntry
	committedWhenAsked int                 // number of commands committed when the client asked whether its copy of the replicated state is the newest; 0: it hasn't asked
	attestations       []attestation       // responses of members to the client that they have no newer state than its copy
	votes              map[string]castVote // by incarnation of a member: the latest vote that it granted
	generation         uint64              // newest restore generation of the group (rises with each restore from a surviving member); committed holds the entries committed in it
}

// castVote is a vote that a member has granted, possibly to itself.
type castVote struct {
	term      uint64
	candidate string
}

// bodies returns the committed commands, one letter each.
func (history observedHistory) bodies() string {
	bodies := ""
	for _, committed := range history.committed {
		bodies += string(committed.entry.Body)
	}
	return bodies
}

type historyKey struct {
	history int32
	step    *stepResult
}

type historyResult struct {
	history   int32
	violation string
}

// recordStep adds the entries that a step committed and the votes that it granted to the history with number id, and
// returns the number of the new history. violation describes the invariant that the step violates; empty: none.
func (s *stateSpace) recordStep(id int32, result *stepResult) (now int32, violation string) {
	key := historyKey{id, result}
	old, known := s.historyCache[key]
	if !known {
		old.history, old.violation = s.extendHistory(id, result)
		s.historyCache[key] = old
	}
	return old.history, old.violation
}

func (s *stateSpace) extendHistory(id int32, result *stepResult) (now int32, violation string) {
	history := s.histories[id].observedHistory
	history.committed = slices.Clip(history.committed)
	if result.eventOutcome.restored != nil {
		return s.internHistory(history.afterRestore(result)), ""
	}
	changed, violation := history.addVotes(s, result)
	if s.nodes[result.node].hasEarlierGeneration(history.generation) {
		result = &stepResult{} // what members of an earlier restore generation commit doesn't count for the restored group
	}
	for _, entry := range result.committed {
		if entry.Index == uint64(len(history.committed))+1 {
			history.committed = append(history.committed, committedEntry{entry, result.term})
		}
	}
	if len(history.committed) == len(s.histories[id].committed) && !changed {
		return id, violation
	}
	return s.internHistory(history), violation
}

// addVotes records the votes in the messages of a step. It checks that a member votes at most once in a term, also
// across restarts, and never in an earlier term than before (paper, section 5.2). The record of a vote is
// discarded once a later term is on the voter's disk.
func (history *observedHistory) addVotes(all *stateSpace, result *stepResult) (changed bool, violation string) {
	votes := maps.Clone(history.votes)
	if votes == nil {
		votes = map[string]castVote{}
	}
	for _, id := range result.messages {
		message := all.messages[id]
		if message.votesFor == "" {
			continue
		}
		earlier, voted := votes[message.Incarnation]
		if voted && (earlier.term > message.Term || earlier.term == message.Term && earlier.candidate != message.votesFor) {
			violation = fmt.Sprintf("two votes: %s votes for %s in term %d after it voted for %s in term %d", message.From, message.votesFor, message.Term, earlier.candidate, earlier.term)
		}
		votes[message.Incarnation] = castVote{message.Term, message.votesFor}
	}
	if node := all.nodes[result.node]; !node.absent {
		incarnation := node.core.hardState.Incarnation
		if vote, voted := votes[incarnation]; voted && node.disk.term() > vote.term {
			delete(votes, incarnation)
		}
	}
	if maps.Equal(votes, history.votes) {
		return false, violation
	}
	history.votes = votes
	return true, violation
}

// checkStep checks the invariants that concern a step of one member; before is the number of its node before the step.
// It returns a description of the first violation; empty: none.
func (s *stateSpace) checkStep(state *groupState, action modelAction, before int32, result *stepResult) string {
	slot := int(action.slot)
	if newest := s.histories[state.history].generation; s.nodes[result.node].hasEarlierGeneration(newest) {
		return s.checkTermMonotonic(before, result) // the member wasn't part of the newest restore: its entries and votes don't count for the restored group
	}
	for _, violation := range []string{
		result.violation,
		s.checkAgreement(s.histories[state.history].observedHistory, result),
		s.checkCommitQuorum(state, slot, before, result),
		s.checkLeaderIsVoter(slot, before, result),
		s.checkTermMonotonic(before, result),
		s.checkAppliedMonotonic(action, before, result),
		s.checkTermPersisted(result),
	} {
		if violation != "" {
			return violation
		}
	}
	return ""
}

// checkState checks the invariants that concern a state of the whole group. It returns a description of the first
// violation; empty: none.
func (s *stateSpace) checkState(state *groupState) string {
	history := s.histories[state.history].observedHistory
	for _, violation := range []string{
		s.checkElectionSafety(state),
		s.checkLeaderCompleteness(state, history),
		s.checkMembershipChanges(state, history),
		s.checkAppliedState(state, history),
		s.checkPeerGenerations(state, history),
		history.checkFreshnessProof(),
	} {
		if violation != "" {
			return violation
		}
	}
	return ""
}

// checkTermPersisted checks that a member doesn't send messages, except pre-vote requests, of a later term than the
// one on its disk.
func (s *stateSpace) checkTermPersisted(result *stepResult) string {
	node := s.nodes[result.node]
	for _, id := range result.messages {
		if message := s.messages[id]; message.Kind != wire.MessageKind_PRE_VOTE_REQUEST && message.Term > node.disk.term() {
			return fmt.Sprintf("message sent before its term was persisted: %s sends a message of term %d while its disk has term %d", node.name, message.Term, node.disk.term())
		}
	}
	return ""
}

// checkAppliedMonotonic checks that the applied index of a member decreases only when it restarts.
func (s *stateSpace) checkAppliedMonotonic(action modelAction, before int32, result *stepResult) string {
	was, is := s.nodes[before], s.nodes[result.node]
	if action.kind == restart || action.kind == diskLoss || is.absent || is.core.applied >= was.core.applied {
		return ""
	}
	return fmt.Sprintf("applied index decreased: %s goes back from entry %d to entry %d without a restart", is.name, was.core.applied, is.core.applied)
}

// checkTermMonotonic checks that the term on a member's disk never decreases, except by the loss of the disk or when a
// fixed member rejoins after the loss.
func (s *stateSpace) checkTermMonotonic(before int32, result *stepResult) string {
	was, is := s.nodes[before], s.nodes[result.node]
	if is.absent || was.core.hardState.Incarnation != is.core.hardState.Incarnation || is.disk.term() >= was.disk.term() {
		return ""
	}
	if is.core.cfg.DynamicMembership || was.core.hardState.DiskState == is.core.hardState.DiskState { // otherwise a fixed member has rejoined, which takes over the term of its peers
		return fmt.Sprintf("term decreased: the term on the disk of %s changes from %d to %d", is.name, was.disk.term(), is.disk.term())
	}
	return ""
}

// checkAgreement checks that no two members commit different entries at one index (State Machine Safety: paper,
// section 5.4.3).
func (s *stateSpace) checkAgreement(history observedHistory, result *stepResult) string {
	for _, entry := range result.committed {
		if entry.Index > uint64(len(history.committed)) {
			return fmt.Sprintf("commit out of order: %s commits entry %d although entries before it aren't committed", s.nodes[result.node].name, entry.Index)
		}
		if was := history.committed[entry.Index-1].entry; was.Term != entry.Term || string(was.Body) != string(entry.Body) {
			return fmt.Sprintf("conflicting commits: entry %d was committed as %v, but %s commits %v", entry.Index, was, s.nodes[result.node].name, entry)
		}
	}
	return ""
}

// checkCommitQuorum checks that the entries that a leader commits are on the disks of a majority of its voters. It
// skips states after a disk loss or a restore, since the lost disk may have had the entries, and steps with delayed
// output, since an earlier step may have committed the entries with other voters.
func (s *stateSpace) checkCommitQuorum(state *groupState, slot int, before int32, result *stepResult) string {
	after := s.nodes[result.node]
	if len(result.committed) == 0 || after.absent || state.used[diskLosses]+state.used[restores] > 0 || s.nodes[before].pending() || s.nodes[before].core.role != leader || s.nodes[before].core.applied >= after.core.applied {
		return ""
	}
	last := result.committed[len(result.committed)-1]
	holders := 0
	names, _, _ := after.core.Members()
	for _, name := range names {
		voter := s.nodes[state.nodes[slices.Index(slotNames[:], name)]]
		restarted := New(voter.core.cfg, voter.disk.snapshot, voter.disk.records)
		if term, ok := restarted.termAt(last.Index); ok && term == last.Term || restarted.snapshot.Index > last.Index {
			holders++
		}
	}
	if 2*holders > len(names) {
		return ""
	}
	return fmt.Sprintf("commit without a majority: leader %s commits entry %d, which is on %d disks of the voters %v", slotNames[slot], last.Index, holders, names)
}

// checkLeaderIsVoter checks that the newest voters in the log of a member that becomes leader include this member.
func (s *stateSpace) checkLeaderIsVoter(slot int, before int32, result *stepResult) string {
	was, is := s.nodes[before], s.nodes[result.node]
	if is.absent || is.core.role != leader || was.core.role == leader || is.core.IsVoter(is.name) {
		return ""
	}
	return fmt.Sprintf("leader isn't a voter: %s became leader, but its own log doesn't name it as a voter", slotNames[slot])
}

// checkElectionSafety checks that a term has at most one leader, and that no message in flight is from another leader
// of the term (Election Safety: paper, section 5.2).
func (s *stateSpace) checkElectionSafety(state *groupState) string {
	for _, id := range s.members(state) {
		node := s.nodes[id]
		if node.absent || node.core.role != leader {
			continue
		}
		term := node.core.hardState.Term
		for _, otherID := range s.members(state) {
			if other := s.nodes[otherID]; !other.absent && other.name != node.name && other.core.role == leader && other.core.hardState.Term == term && sameGeneration(node, other) {
				return fmt.Sprintf("two leaders of term %d: %s and %s", term, node.name, other.name)
			}
		}
		for _, sent := range state.inFlight {
			if message := s.messages[sent]; message.fromLeader && message.Term == term && message.From != node.name && message.RestoreGeneration == node.core.hardState.RestoreGeneration {
				return fmt.Sprintf("two leaders of term %d: %s leads, and %s has sent a message as leader", term, node.name, message.From)
			}
		}
	}
	return ""
}

// checkLeaderCompleteness checks that a leader has all entries that were committed in earlier terms (Leader
// Completeness: paper, section 5.4).
func (s *stateSpace) checkLeaderCompleteness(state *groupState, history observedHistory) string {
	for _, id := range s.members(state) {
		node := s.nodes[id]
		if node.absent || node.core.role != leader || node.hasEarlierGeneration(history.generation) {
			continue
		}
		for _, committed := range history.committed {
			if committed.term >= node.core.hardState.Term || committed.entry.Index <= node.core.snapshot.Index {
				continue
			}
			if term, ok := node.core.termAt(committed.entry.Index); !ok || term != committed.entry.Term {
				return fmt.Sprintf("committed entry lost: %s leads in term %d without entry %d of term %d, which was committed in term %d", node.name, node.core.hardState.Term, committed.entry.Index, committed.entry.Term, committed.term)
			}
		}
	}
	return ""
}

// checkMembershipChanges checks that in a leader's log each membership change adds or removes one member, and at
// most one change is uncommitted.
func (s *stateSpace) checkMembershipChanges(state *groupState, history observedHistory) string {
	for _, id := range s.members(state) {
		node := s.nodes[id]
		if node.absent || node.core.role != leader || s.fixed || node.hasEarlierGeneration(history.generation) {
			continue
		}
		voters, uncommitted := node.core.snapshot.Members, 0
		for _, entry := range node.core.log {
			if len(entry.Members) == 0 || slices.Equal(entry.Members, voters) {
				continue
			}
			if len(voters) > 0 && countDifferences(voters, entry.Members) > 1 {
				return fmt.Sprintf("membership change of more than one member: from %v to %v", voters, entry.Members)
			}
			if voters = entry.Members; entry.Index > uint64(len(history.committed)) {
				uncommitted++
			}
		}
		if uncommitted > 1 {
			return fmt.Sprintf("overlapping membership changes: %d changes in the log of leader %s are uncommitted", uncommitted, node.name)
		}
	}
	return ""
}

// countDifferences returns the number of names that are in exactly one of two lists.
func countDifferences(a, b []string) (count int) {
	for _, name := range a {
		if !slices.Contains(b, name) {
			count++
		}
	}
	for _, name := range b {
		if !slices.Contains(a, name) {
			count++
		}
	}
	return count
}

// checkAppliedState checks that the applied state of a member is the result of the committed entries up to its applied
// index.
func (s *stateSpace) checkAppliedState(state *groupState, history observedHistory) string {
	for _, id := range s.members(state) {
		node := s.nodes[id]
		if node.absent || node.hasEarlierGeneration(history.generation) || node.core.ready.Snapshot != nil { // while a received snapshot is in ready, the driver hasn't loaded its state yet
			continue
		}
		if node.core.applied > uint64(len(history.committed)) {
			return fmt.Sprintf("uncommitted entry applied: %s has applied %d entries, but only %d were committed", node.name, node.core.applied, len(history.committed))
		}
		want := observedHistory{committed: history.committed[:node.core.applied]}.bodies()
		if node.appliedState != want {
			return fmt.Sprintf("wrong applied state: %s has applied commands %q up to entry %d, but the committed commands are %q", node.name, node.appliedState, node.core.applied, want)
		}
	}
	return ""
}
