package consensus

import (
	"slices"

	"pebbleloom/internal/wire"
)

// Status describes a member at one moment.
type Status struct {
	Leader           string // name of the leader of the current term; empty: unknown
	IsLeader         bool
	Term             uint64
	Blank            bool   // its disk was empty and it hasn't rejoined: it can't vote
	RejoinFailure    string // why it can't rejoin, in English; empty: no reason is known
	Applied          uint64 // index of the last entry handed to the driver
	LastIndex        uint64 // index of the last entry in the log
	LastLogTerm      uint64 // term of that entry
	LogEntries       int    // number of entries after the snapshot
	TicksSinceLeader int    // ticks since the last contact with a leader, or since the start

	RestoreGeneration uint64 // of the group as this member knows it; 0: it was never restored
	RestoredFrom      string // this member's name before the group was restored from it; empty: it wasn't
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

// IsVoter reports whether a name is a voter by the newest voter set in the log.
//
// Example: c.IsVoter("core-2")
func (c *Core) IsVoter(name string) bool {
	return slices.Contains(c.voters.names, name)
}

// HasAppliedCurrentTerm reports whether this member is the leader and has applied an entry of its own
// term, and with it all that earlier leaders have committed.
//
// Example: if c.HasAppliedCurrentTerm() { validate(state) }
func (c *Core) HasAppliedCurrentTerm() bool {
	term, _ := c.termAt(c.applied)
	return c.role == leader && term == c.hardState.Term
}

// UnappliedEntries returns the entries in the log that aren't applied. Each of them may be committed,
// and so acknowledged, already.
//
// Example: for _, entry := range c.UnappliedEntries() { … }
func (c *Core) UnappliedEntries() []*wire.Entry { return c.entriesFrom(c.applied + 1) }
