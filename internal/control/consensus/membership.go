package consensus

import (
	"slices"

	"pebbleloom/internal/wire"
)

// Membership changes, one voter at a time (thesis, chapter 4). The voters of a group are recorded in its log: an
// entry that names voters takes effect as soon as it is appended, and loses its effect when it is truncated.
// A member's name includes its incarnation. A machine that lost its disk returns under another name as a new
// member, so no member ever loses its record of a vote or an acknowledgement.
//
// Why a term has at most one leader, and no committed entry is lost:
//   - A change adds or removes one voter, so every majority of the old voters overlaps every majority
//     of the new ones. It is proposed only when the previous change is committed and the leader has
//     committed an entry of its own term (the correction to the thesis, raft-dev, July 2015). So of the
//     voter sets in effect in any logs at one time, none is more than one change away from the
//     last committed one, and a leader of an older term can't commit a second sequence of changes
//     in parallel to that of a newer leader.
//   - A leader that commits an entry has stored it on a majority of the newest voters in its log. A later
//     leader was elected by a majority of the newest voters in its own log, which are the same or differ
//     by one. So at least one member of both majorities has the entry, and it votes for no candidate whose
//     log is less up to date. By induction over the terms in between, every later leader has every
//     committed entry.
//   - A member decides on a vote only by its log and its earlier vote, even if its log doesn't name it as
//     a voter yet; only candidates whose logs name it count the vote. Otherwise a voter whose addition is
//     only partly replicated could leave the others without a majority.
//   - Learners are sent committed entries only, and a removed voter isn't sent the entry of its removal
//     before that is committed. So a member outside the group never rejects a vote because of an entry
//     that the group hasn't committed.
//   - A new leader names the voters once more in the first entry of its term. So the newest voter set
//     that members report (by term, then index) can't belong to a sequence of changes that was
//     abandoned: if a majority of that set reports no newer version of a document, then no newer version
//     was committed before these members were asked.

// voterSet is a set of voters, with the index and term of the entry that names them.
type voterSet struct {
	names       []string // names of the voters, sorted
	index, term uint64   // index and term of the entry that names the voters; 0 for the voters that a group was bootstrapped with
}

// storedNames returns the names to store in an entry or a snapshot: nil for fixed members, which are part of the
// configuration.
func (v voterSet) storedNames(dynamicMembership bool) []string {
	if !dynamicMembership {
		return nil
	}
	return v.names
}

// BootstrapSnapshot returns the initial snapshot of one of the voters that a new group starts with. All of them
// must be given the same members.
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

// reloadVoters sets the voters in effect to the newest ones that the log or the snapshot names.
func (c *Core) reloadVoters() { c.voters = c.votersAt(c.lastIndex()) }

// votersAt returns the newest voters that are named by an entry at or before an index, or by the snapshot.
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

// applyVoters puts the voters that an appended entry names into effect, if it names any.
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
// the index and term of the entry. ok is false if the change isn't allowed.
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
		delete(c.peers, voter) // replication to the removed voter ends: with the uncommitted entry of its removal in its log, it could reject votes for candidates that lack this entry
	}
	for _, voter := range proposed {
		if voter != c.cfg.Self && c.peers[voter] == nil {
			c.peers[voter] = c.newProgress(voter)
		}
	}
	return c.proposeEntry(nil, proposed), c.hardState.Term, true
}

// namesNotIn returns those of names that are not in others.
func namesNotIn(names, others []string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(name string) bool { return slices.Contains(others, name) })
}
