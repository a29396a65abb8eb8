package consensus

import (
	"slices"

	"pebbleloom/internal/wire"
)

// HandOver asks a colleague that holds the whole log to stand at once; false when this
// member doesn't own the part or nobody has caught up. The colleague still has to be
// voted for: handing over changes who stands, not who may win.
//
// Example: if c.HandOver() { drive(c.Flush()) }
func (c *Core) TransferLeadership() bool {
	if c.role != leader {
		return false
	}
	for _, m := range c.members.names {
		if p := c.peers[m]; p != nil && p.match == c.lastIndex() && p.sinceHeard < c.cfg.ElectionTicks {
			c.send(&wire.Message{To: m, Kind: wire.MessageKind_TRANSFER_LEADERSHIP, Index: c.lastIndex(), Commit: c.commit})
			return true
		}
	}
	return false
}

// youngPart is the longest pause between two asks of a young member, as a part of ElectTicks.
const eagerElectionPart = 3

// young tells whether a member of a group has just begun and heard of no owner yet. It asks at once
// whether it could win, and often: after all have begun anew nobody else will. Asking changes
// nothing, and whoever hears an owner says no.
func (c *Core) justStarted() bool {
	return c.cfg.Group && c.leaderHeardAt == 0 && c.ticks < c.cfg.ElectionTicks
}

// rest lets time go by until this member stands, if no owner speaks before.
func (c *Core) resetElectionTimer() {
	c.electionElapsed, c.electionTimeout = 0, c.cfg.ElectionTicks+c.cfg.Rand.IntN(c.cfg.ElectionTicks)
	if c.justStarted() {
		c.electionTimeout = 1 + c.cfg.Rand.IntN(max(1, c.cfg.ElectionTicks/eagerElectionPart))
	}
}

// Standing tells how the member stands: who owns the part, and why it can't vote, if so.
type Status struct {
	Leader      string
	IsLeader    bool
	Term        uint64
	Blank       bool
	Stuck       string
	Applied     uint64
	Last        uint64
	Log         int
	SinceLeader int // ticks since an owner spoke
}

// Stands tells how the member stands now.
//
// Example: if c.Stands().Owns { … }
func (c *Core) Status() Status {
	return Status{c.leader, c.role == leader, c.hardState.Term, c.hardState.DiskState == wire.DiskState_DISK_BLANK, c.stuck, c.applied, c.lastIndex(), len(c.log), c.ticks - c.leaderHeardAt}
}

// Current tells whether this member owns the part and has applied all that earlier owners have
// committed: an entry of its own term is applied.
//
// Example: if c.Current() { judge(state) }
func (c *Core) AppliedOwnTerm() bool {
	t, _ := c.termAt(c.applied)
	return c.role == leader && t == c.hardState.Term
}

// Unsettled gives the entries in the log that aren't applied yet: any of them may turn
// out to have been acknowledged.
//
// Example: for _, e := range c.Unsettled() { … }
func (c *Core) Unapplied() []*wire.Entry { return c.entriesFrom(c.applied + 1) }

// Sits tells whether a name is a member of this part.
//
// Example: c.Sits("core-2")
func (c *Core) IsVoter(name string) bool {
	return slices.Contains(c.members.names, name)
}
