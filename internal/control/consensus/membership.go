package consensus

import (
	"slices"

	"pebbleloom/internal/wire"
)

// Membership as agreed data. The members of a group stand in its log: an entry that names
// members holds from the moment it is in a log, and no longer once it is cut off again. A
// member's name holds its life; a lost disk comes back under another name, as another member,
// so no member ever forgets a vote or an acknowledgement that counts.
//
// Why no two owners and no lost commit:
//   - A change adds or removes one member, so every majority of the old membership meets every
//     majority of the new one. It is added only when the one before it is committed and the
//     owner has committed an entry of its own term. So of two memberships in force in any logs
//     at once, neither is more than one change away from the last committed one, and an owner
//     of an older term can't commit a second line of changes beside a newer one's.
//   - Whoever commits an entry has it on a majority of the newest membership in its log. Whoever
//     wins later has the votes of a majority of the newest membership in its own log, which is
//     the same or a neighbour of it: one voter has the entry, and votes for no shorter log. By
//     induction over the terms between the two, every later owner has every committed entry.
//   - A member votes by its own log and vote alone, also where that log doesn't name it yet:
//     only those whose log names it count it. Otherwise a half-added member could leave the
//     rest without a majority.
//   - Learners are fed what is committed and nothing else, and a removed member isn't told of
//     its removal before that is committed: a log outside the group never denies its vote for
//     an entry that the group hasn't agreed on.
//   - Whoever wins names the members once more in the first entry of its term. So "the newest
//     membership" that a set of members tells (by term, then index) can't be that of a line of
//     changes that was given up: a majority of it holds nothing newer of a document, and says
//     so, only if nothing newer was committed before they were asked.

// membership is who keeps the log, and the entry that said so.
type membership struct {
	names       []string
	index, term uint64
}

// tell is what an entry or a slot writes down of it.
func (m membership) namesOnWire(group bool) []string {
	if !group {
		return nil
	}
	return m.names
}

// patience of a learner, in spans of ElectTicks: then it is fed no more until it asks again.
const learnerTimeoutElections = 6

// caughtUp is how many committed entries a learner may lack when it is made a member.
const caughtUpEntries = 8

// learnerBeats is how many beats go by between two letters to a learner.
const learnerHeartbeats = 3

const maxLearners = 64

// regroup looks up the newest membership in slot and log.
func (c *Core) reloadMembership() { c.members = c.membershipAt(c.lastIndex()) }

// memberships is the newest membership up to an entry.
func (c *Core) membershipAt(upto uint64) membership {
	if !c.cfg.Group {
		return membership{names: c.cfg.Members}
	}
	for i := len(c.log) - 1; i >= 0; i-- {
		if e := c.log[i]; e.Index <= upto && len(e.Members) > 0 {
			return membership{e.Members, e.Index, e.Term}
		}
	}
	return membership{c.snapshot.Members, c.snapshot.MembersIndex, c.snapshot.MembersTerm}
}

// heed takes the membership of an entry that was added to the log.
func (c *Core) applyMembership(e *wire.Entry) {
	if c.cfg.Group && len(e.Members) > 0 {
		c.members = membership{e.Members, e.Index, e.Term}
	}
}

// Founder is the slot of one of those that found a group together; each writes the same members.
//
// Example: ledger.Founder("10.1.0.17:7360/0", []string{"10.1.0.17:7360/0", "10.2.0.24:7360/0", "10.3.0.38:7360/0"})
func FoundingSnapshot(self string, members []string) *wire.Snapshot {
	l := slices.Sorted(slices.Values(members))
	return &wire.Snapshot{Format: 1, HardState: &wire.HardState{Incarnation: self, DiskState: wire.DiskState_DISK_FOUNDED}, Members: l}
}

// Learner is the slot of a disk that was empty: it holds what it is fed, and is no member.
//
// Example: ledger.Learner("10.1.0.17:7360/8f3a")
func LearnerSnapshot(self string) *wire.Snapshot { return FoundingSnapshot(self, nil) }

// Members tells the newest membership in the log, committed or not.
//
// Example: names, term, index := c.Members()
func (c *Core) Members() (names []string, term, index uint64) {
	return c.members.names, c.members.term, c.members.index
}

func (c *Core) newProgress(m string) *progress {
	p := &progress{next: c.lastIndex() + 1}
	if c.cfg.Group {
		p.incarnation = m // a name is one life
	}
	return p
}

// ceiling is the last entry that a colleague may be fed.
func (c *Core) replicationLimit(m string) uint64 {
	if c.cfg.Group && !c.IsVoter(m) {
		return c.commit
	}
	return c.lastIndex()
}

func (c *Core) replicateToLearners() {
	if !c.cfg.Group {
		return
	}
	c.learnerRounds++
	for _, m := range c.learners() {
		if c.peers[m].sinceHeard > learnerTimeoutElections*c.cfg.ElectionTicks {
			delete(c.peers, m)
		} else if c.learnerRounds%learnerHeartbeats == 0 {
			c.replicate(m, true)
		}
	}
}

func (c *Core) learners() (l []string) {
	for m := range c.peers {
		if !c.IsVoter(m) {
			l = append(l, m)
		}
	}
	slices.Sort(l)
	return l
}

// Learn has the owner feed one that isn't a member; false where this member isn't the owner
// or feeds as many as it may.
//
// Example: if c.Learn("10.1.0.17:7360/8f3a") { drive(c.Flush()) }
func (c *Core) AddLearner(name string) bool {
	if c.role != leader || name == c.cfg.Self {
		return false
	}
	if c.peers[name] == nil {
		if len(c.learners()) >= maxLearners {
			return false
		}
		p := c.newProgress(name)
		p.next = c.commit + 1
		c.peers[name] = p
		c.replicate(name, true)
	}
	return true
}

// Settled tells whether the owner may change the members: it has committed an entry of its own
// term and the change before.
//
// Example: if c.Settled() { c.Regroup(members) }
func (c *Core) MembershipSettled() bool {
	t, _ := c.termAt(c.commit)
	return c.role == leader && t == c.hardState.Term && c.members.index <= c.commit
}

// Regroup proposes members that differ from those now by one; false where that may not be.
//
// Example: index, term, ok := c.Regroup(append(members, "10.4.0.9:7360/8f3a"))
func (c *Core) ProposeMembership(names []string) (index, term uint64, ok bool) {
	l := slices.Compact(slices.Sorted(slices.Values(names)))
	diff := 0
	for _, m := range l {
		if !c.IsVoter(m) {
			diff++
		}
	}
	for _, m := range c.members.names {
		if !slices.Contains(l, m) {
			diff++
		}
	}
	if !c.cfg.Group || !c.MembershipSettled() || diff != 1 || len(l) == 0 {
		return 0, 0, false
	}
	for _, m := range c.members.names {
		if !slices.Contains(l, m) {
			delete(c.peers, m) // it isn't told before that is committed
		}
	}
	for _, m := range l {
		if m != c.cfg.Self && c.peers[m] == nil {
			c.peers[m] = c.newProgress(m)
		}
	}
	return c.proposeEntry(nil, l), c.hardState.Term, true
}

// Seen is how the owner sees one that it feeds.
type PeerStatus struct {
	Name       string
	IsVoter    bool
	SinceHeard int  // ticks since it spoke
	CaughtUp   bool // it holds all that is committed, or nearly
}

// Sees tells whom the owner feeds, members and learners, by name.
//
// Example: for _, x := range c.Sees() { fmt.Println(x.Name, x.Heard) }
func (c *Core) PeerStatuses() (l []PeerStatus) {
	if c.role != leader {
		return nil
	}
	for m, p := range c.peers {
		l = append(l, PeerStatus{m, c.IsVoter(m), p.sinceHeard, p.match > 0 && p.match+caughtUpEntries >= c.commit})
	}
	slices.SortFunc(l, func(a, b PeerStatus) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return l
}

// Self is this member's name.
//
// Example: c.Sits(c.Self())
func (c *Core) Self() string { return c.cfg.Self }
