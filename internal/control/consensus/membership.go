package consensus

import (
	"slices"

	"pebbleloom/internal/wire"
)

// Membership changes, one voter at a time (thesis, chapter 4). The voters of a group stand in its log: an
// entry that names voters takes effect as soon as it is appended, and ceases to when it is truncated. A
// member's name includes its incarnation; a lost disk comes back under another name, as another member,
// so no member ever forgets a vote or an acknowledgement that counts.
//
// Why there are no two leaders in a term and no lost commits:
//   - A change adds or removes one voter, so every majority of the old voters overlaps every majority
//     of the new ones. It is proposed only when the previous change is committed and the leader has
//     committed an entry of its own term (the correction to the thesis, raft-dev, July 2015). So of the
//     voter sets in effect in any logs at one time, none is more than one change away from the
//     last committed one, and a leader of an older term can't commit a second sequence of changes
//     beside that of a newer one.
//   - Whoever commits an entry has it on a majority of the newest voters in its log. Whoever wins an
//     election later has the votes of a majority of the newest voters in its own log, which are the same
//     or differ by one: one of them has the entry, and votes for no log that is less up to date. By
//     induction over the terms in between, every later leader has every committed entry.
//   - A member votes by its log and its earlier vote alone, even where its log doesn't name it a
//     voter yet: only members whose logs name it count the vote. Otherwise a voter whose addition is
//     only partly replicated could leave the others without a majority.
//   - Learners are sent committed entries only, and a removed voter isn't sent its removal before that
//     is committed: a member outside the group never rejects a vote because of an entry that the group
//     hasn't committed.
//   - A new leader names the voters once more in the first entry of its term. So the newest voter set
//     that members report (by term, then index) can't belong to a sequence of changes that was
//     abandoned: if a majority of it reports no newer version of a document, then none was committed
//     before they were asked.

// voterSet is a set of voters and the entry that names it.
type voterSet struct {
	names       []string // sorted
	index, term uint64   // of the entry; 0 for the voters that a group was bootstrapped with
}

// namesOnWire returns the names as an entry or a snapshot stores them: fixed members aren't stored.
func (v voterSet) namesOnWire(dynamicMembership bool) []string {
	if !dynamicMembership {
		return nil
	}
	return v.names
}

// BootstrapSnapshot returns the first snapshot of one of the voters that a new group starts with. Each of
// them must be given the same members.
//
// Example: consensus.BootstrapSnapshot("10.1.0.17:7360/0", []string{"10.1.0.17:7360/0", "10.2.0.24:7360/0", "10.3.0.38:7360/0"})
func BootstrapSnapshot(self string, members []string) *wire.Snapshot {
	return &wire.Snapshot{Format: 1, HardState: &wire.HardState{Incarnation: self, DiskState: wire.DiskState_DISK_FOUNDED}, Members: slices.Sorted(slices.Values(members))}
}

// Members returns the newest voters in the log, committed or not, and the term and index of the entry
// that names them.
//
// Example: names, term, index := c.Members()
func (c *Core) Members() (names []string, term, index uint64) {
	return c.voters.names, c.voters.term, c.voters.index
}

// reloadVoters looks up the newest voters in log and snapshot.
func (c *Core) reloadVoters() { c.voters = c.votersAt(c.lastIndex()) }

// votersAt returns the newest voters that are named at or before an index.
func (c *Core) votersAt(index uint64) voterSet {
	if !c.cfg.DynamicMembership {
		return voterSet{names: c.cfg.Members}
	}
	for _, entry := range slices.Backward(c.log) {
		if entry.Index <= index && len(entry.Members) > 0 {
			return voterSet{entry.Members, entry.Index, entry.Term}
		}
	}
	return voterSet{c.snapshot.Members, c.snapshot.MembersIndex, c.snapshot.MembersTerm}
}

// applyVoters puts the voters that an appended entry names into effect.
func (c *Core) applyVoters(entry *wire.Entry) {
	if c.cfg.DynamicMembership && len(entry.Members) > 0 {
		c.voters = voterSet{entry.Members, entry.Index, entry.Term}
	}
}

// CanChangeMembership reports whether this member is a leader that may propose a membership change: it
// has committed an entry of its own term, and the previous change is committed.
//
// Example: if c.CanChangeMembership() { c.ProposeMembership(members) }
func (c *Core) CanChangeMembership() bool {
	term, _ := c.termAt(c.commit)
	return c.role == leader && term == c.hardState.Term && c.voters.index <= c.commit
}

// ProposeMembership proposes a set of voters that differs from the current one by one name, and returns
// the entry's index and term. ok is false where the change isn't allowed.
//
// Example: index, term, ok := c.ProposeMembership(append(members, "10.4.0.9:7360/8f3a"))
func (c *Core) ProposeMembership(names []string) (index, term uint64, ok bool) {
	proposed := slices.Compact(slices.Sorted(slices.Values(names)))
	added := namesNotIn(proposed, c.voters.names)
	removed := namesNotIn(c.voters.names, proposed)
	if !c.cfg.DynamicMembership || !c.CanChangeMembership() || len(added)+len(removed) != 1 || len(proposed) == 0 {
		return 0, 0, false
	}
	for _, voter := range removed {
		delete(c.peers, voter) // it isn't sent its removal before that is committed
	}
	for _, voter := range proposed {
		if voter != c.cfg.Self && c.peers[voter] == nil {
			c.peers[voter] = c.newProgress(voter)
		}
	}
	return c.proposeEntry(nil, proposed), c.hardState.Term, true
}

// namesNotIn returns the names that others don't contain.
func namesNotIn(names, others []string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(name string) bool { return slices.Contains(others, name) })
}
