package consensus

import (
	"slices"

	"pebbleloom/internal/wire"
)

// Status describes the state of a member at one point in time.
type Status struct {
	Leader           string // name of the leader of the current term; empty: unknown
	IsLeader         bool
	Term             uint64
	Blank            bool   // the member started with an empty disk and hasn't rejoined: it can't vote
	RejoinFailure    string // reason that prevents the member from rejoining, in English; empty: none is known
	Applied          uint64 // index of the last entry handed to the driver for application
	LastIndex        uint64 // index of the last entry in the log
	LastLogTerm      uint64 // term of the last entry in the log
	LogEntries       int    // number of entries after the snapshot
	TicksSinceLeader int    // ticks since the last contact with a leader, or since New if there was none

	RestoreGeneration uint64 // restore generation of the group as known to this member; 0: the group was never restored
	RestoredFrom      string // this member's name before the group was restored from it; empty: the group wasn't restored from it
}

// Status returns the member's current status.
//
// Example: if c.Status().IsLeader { … }
func (c *Core) Status() Status {
	return Status{
		Leader:           c.leader,
		IsLeader:         c.role == leader,
		Term:             c.hardState.Term,
		Blank:            c.isBlank(),
		RejoinFailure:    c.rejoinFailure,
		Applied:          c.applied,
		LastIndex:        c.lastIndex(),
		LogEntries:       len(c.log),
		TicksSinceLeader: c.ticks - c.lastLeaderContact,

		LastLogTerm:       c.lastTerm(),
		RestoreGeneration: c.hardState.RestoreGeneration,
		RestoredFrom:      c.hardState.RestoredFrom,
	}
}

// Self returns this member's name.
//
// Example: c.IsVoter(c.Self())
func (c *Core) Self() string { return c.cfg.Self }

// IsVoter reports whether a name is in the newest voter set in the log, committed or not.
//
// Example: c.IsVoter("core-2")
func (c *Core) IsVoter(name string) bool {
	return slices.Contains(c.voters.names, name)
}

// HasAppliedCurrentTerm reports whether this member is the leader and has applied an entry of its own
// term, and thus every entry that earlier leaders have committed.
//
// Example: if c.HasAppliedCurrentTerm() { validate(state) }
func (c *Core) HasAppliedCurrentTerm() bool {
	term, _ := c.termAt(c.applied)
	return c.role == leader && term == c.hardState.Term
}

// UnappliedEntries returns the entries in the log that aren't applied yet. Each of them may already be
// committed, and acknowledged to a client.
//
// Example: for _, entry := range c.UnappliedEntries() { … }
func (c *Core) UnappliedEntries() []*wire.Entry { return c.entriesFrom(c.applied + 1) }
