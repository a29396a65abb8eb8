package ledger

import (
	"slices"

	"pebbleloom/internal/wire"
)

// HandOver asks a colleague that holds the whole log to stand at once; false when this
// member doesn't own the part or nobody has caught up. The colleague still has to be
// voted for: handing over changes who stands, not who may win.
//
// Example: if c.HandOver() { drive(c.Flush()) }
func (c *Core) HandOver() bool {
	if c.role != owner {
		return false
	}
	for _, m := range c.members.names {
		if p := c.col[m]; p != nil && p.match == c.last() && p.heard < c.cfg.ElectTicks {
			c.send(&wire.Letter{To: m, Kind: wire.LetterKind_HAND_OVER, Index: c.last(), Commit: c.commit})
			return true
		}
	}
	return false
}

// youngPart is the longest pause between two asks of a young member, as a part of ElectTicks.
const youngPart = 3

// young tells whether a member of a group has just begun and heard of no owner yet. It asks at once
// whether it could win, and often: after all have begun anew nobody else will. Asking changes
// nothing, and whoever hears an owner says no.
func (c *Core) young() bool {
	return c.cfg.Group && c.heardAt == 0 && c.ticks < c.cfg.ElectTicks
}

// rest lets time go by until this member stands, if no owner speaks before.
func (c *Core) rest() {
	c.silent, c.limit = 0, c.cfg.ElectTicks+c.cfg.Rand.IntN(c.cfg.ElectTicks)
	if c.young() {
		c.limit = 1 + c.cfg.Rand.IntN(max(1, c.cfg.ElectTicks/youngPart))
	}
}

// Standing tells how the member stands: who owns the part, and why it can't vote, if so.
type Standing struct {
	Owner   string
	Owns    bool
	Term    uint64
	Blank   bool
	Stuck   string
	Applied uint64
	Last    uint64
	Log     int
	Silent  int // ticks since an owner spoke
}

// Stands tells how the member stands now.
//
// Example: if c.Stands().Owns { … }
func (c *Core) Stands() Standing {
	return Standing{c.owner, c.role == owner, c.hard.Term, c.hard.Standing == wire.Standing_BLANK, c.stuck, c.applied, c.last(), len(c.log), c.ticks - c.heardAt}
}

// Current tells whether this member owns the part and has applied all that earlier owners have
// committed: an entry of its own term is applied.
//
// Example: if c.Current() { judge(state) }
func (c *Core) Current() bool {
	t, _ := c.termAt(c.applied)
	return c.role == owner && t == c.hard.Term
}

// Unsettled gives the entries in the log that aren't applied yet: any of them may turn
// out to have been acknowledged.
//
// Example: for _, e := range c.Unsettled() { … }
func (c *Core) Unsettled() []*wire.Entry { return c.from(c.applied + 1) }

// Sits tells whether a name is a member of this part.
//
// Example: c.Sits("core-2")
func (c *Core) Sits(name string) bool {
	return slices.Contains(c.members.names, name)
}
