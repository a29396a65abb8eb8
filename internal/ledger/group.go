package ledger

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
func (m membership) tell(group bool) []string {
	if !group {
		return nil
	}
	return m.names
}

// patience of a learner, in spans of ElectTicks: then it is fed no more until it asks again.
const learnerSpans = 6

// caughtUp is how many committed entries a learner may lack when it is made a member.
const caughtUp = 8

// learnerBeats is how many beats go by between two letters to a learner.
const learnerBeats = 3

const maxLearners = 64

// regroup looks up the newest membership in slot and log.
func (c *Core) regroup() { c.members = c.memberships(c.last()) }

// memberships is the newest membership up to an entry.
func (c *Core) memberships(upto uint64) membership {
	if !c.cfg.Group {
		return membership{names: c.cfg.Members}
	}
	for i := len(c.log) - 1; i >= 0; i-- {
		if e := c.log[i]; e.Index <= upto && len(e.Members) > 0 {
			return membership{e.Members, e.Index, e.Term}
		}
	}
	return membership{c.slot.Members, c.slot.MembersIndex, c.slot.MembersTerm}
}

// heed takes the membership of an entry that was added to the log.
func (c *Core) heed(e *wire.Entry) {
	if c.cfg.Group && len(e.Members) > 0 {
		c.members = membership{e.Members, e.Index, e.Term}
	}
}

// Founder is the slot of one of those that found a group together; each writes the same members.
//
// Example: ledger.Founder("10.1.0.17:7360/0", []string{"10.1.0.17:7360/0", "10.2.0.24:7360/0", "10.3.0.38:7360/0"})
func Founder(self string, members []string) *wire.Slot {
	l := slices.Sorted(slices.Values(members))
	return &wire.Slot{Epoch: 1, Hard: &wire.Hard{Incarnation: self, Standing: wire.Standing_FOUNDED}, Members: l}
}

// Learner is the slot of a disk that was empty: it holds what it is fed, and is no member.
//
// Example: ledger.Learner("10.1.0.17:7360/8f3a")
func Learner(self string) *wire.Slot { return Founder(self, nil) }

// Members tells the newest membership in the log, committed or not.
//
// Example: names, term, index := c.Members()
func (c *Core) Members() (names []string, term, index uint64) {
	return c.members.names, c.members.term, c.members.index
}

func (c *Core) colleague(m string) *colleague {
	p := &colleague{next: c.last() + 1}
	if c.cfg.Group {
		p.inc = m // a name is one life
	}
	return p
}

// ceiling is the last entry that a colleague may be fed.
func (c *Core) ceiling(m string) uint64 {
	if c.cfg.Group && !c.Sits(m) {
		return c.commit
	}
	return c.last()
}

func (c *Core) feedLearners() {
	if !c.cfg.Group {
		return
	}
	c.slow++
	for _, m := range c.learners() {
		if c.col[m].heard > learnerSpans*c.cfg.ElectTicks {
			delete(c.col, m)
		} else if c.slow%learnerBeats == 0 {
			c.feed(m, true)
		}
	}
}

func (c *Core) learners() (l []string) {
	for m := range c.col {
		if !c.Sits(m) {
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
func (c *Core) Learn(name string) bool {
	if c.role != owner || name == c.cfg.Self {
		return false
	}
	if c.col[name] == nil {
		if len(c.learners()) >= maxLearners {
			return false
		}
		p := c.colleague(name)
		p.next = c.commit + 1
		c.col[name] = p
		c.feed(name, true)
	}
	return true
}

// Settled tells whether the owner may change the members: it has committed an entry of its own
// term and the change before.
//
// Example: if c.Settled() { c.Regroup(members) }
func (c *Core) Settled() bool {
	t, _ := c.termAt(c.commit)
	return c.role == owner && t == c.hard.Term && c.members.index <= c.commit
}

// Regroup proposes members that differ from those now by one; false where that may not be.
//
// Example: index, term, ok := c.Regroup(append(members, "10.4.0.9:7360/8f3a"))
func (c *Core) Regroup(names []string) (index, term uint64, ok bool) {
	l := slices.Compact(slices.Sorted(slices.Values(names)))
	diff := 0
	for _, m := range l {
		if !c.Sits(m) {
			diff++
		}
	}
	for _, m := range c.members.names {
		if !slices.Contains(l, m) {
			diff++
		}
	}
	if !c.cfg.Group || !c.Settled() || diff != 1 || len(l) == 0 {
		return 0, 0, false
	}
	for _, m := range c.members.names {
		if !slices.Contains(l, m) {
			delete(c.col, m) // it isn't told before that is committed
		}
	}
	for _, m := range l {
		if m != c.cfg.Self && c.col[m] == nil {
			c.col[m] = c.colleague(m)
		}
	}
	return c.add(nil, l), c.hard.Term, true
}

// Seen is how the owner sees one that it feeds.
type Seen struct {
	Name   string
	Sits   bool
	Heard  int  // ticks since it spoke
	Caught bool // it holds all that is committed, or nearly
}

// Sees tells whom the owner feeds, members and learners, by name.
//
// Example: for _, x := range c.Sees() { fmt.Println(x.Name, x.Heard) }
func (c *Core) Sees() (l []Seen) {
	if c.role != owner {
		return nil
	}
	for m, p := range c.col {
		l = append(l, Seen{m, c.Sits(m), p.heard, p.match > 0 && p.match+caughtUp >= c.commit})
	}
	slices.SortFunc(l, func(a, b Seen) int {
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
