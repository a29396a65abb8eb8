package consensus

import (
	"slices"

	"pebbleloom/internal/wire"
)

// TransferLeadership asks the peer that spoke last, of those that hold the whole log, to stand for
// election at once; false when this member isn't the leader or no peer has caught up. That peer
// still has to be voted for: a transfer changes who stands, not who may win.
//
// Example: if c.TransferLeadership() { drive(c.Ready()) }
func (c *Core) TransferLeadership() bool {
	return c.TransferLeadershipExcept(func(string) bool { return false })
}

// TransferLeadershipExcept is TransferLeadership to a peer that isn't excluded.
//
// Example: ok := c.TransferLeadershipExcept(isLeaving)
func (c *Core) TransferLeadershipExcept(excluded func(name string) bool) bool {
	if c.role != leader {
		return false
	}
	to := ""
	for _, peer := range c.voters.names {
		progress := c.peers[peer]
		if progress == nil || excluded(peer) || progress.match != c.lastIndex() || progress.contactAge >= c.cfg.ElectionTicks {
			continue
		}
		if to == "" || progress.contactAge < c.peers[to].contactAge {
			to = peer
		}
	}
	if to == "" {
		return false
	}
	c.send(&wire.Message{To: to, Kind: wire.MessageKind_TRANSFER_LEADERSHIP, Index: c.lastIndex(), Commit: c.commit})
	return true
}

// startupElectionDivisor: the longest pause between two pre-votes of a member that has just started is
// this part of ElectionTicks.
const startupElectionDivisor = 3

// justStarted reports whether a member of a group has just started and heard of no leader yet. It
// begins a pre-vote at once, and often: after all have restarted nobody else will. A pre-vote changes
// nothing, and whoever hears a leader rejects it.
func (c *Core) justStarted() bool {
	return c.cfg.DynamicMembership && c.lastLeaderContact == 0 && c.ticks < c.cfg.ElectionTicks
}

// resetElectionTimer picks the time after which this member stands, if no leader speaks before.
func (c *Core) resetElectionTimer() {
	c.electionElapsed, c.electionTimeout = 0, c.cfg.ElectionTicks+c.cfg.Rand.IntN(c.cfg.ElectionTicks)
	if c.justStarted() {
		c.electionTimeout = 1 + c.cfg.Rand.IntN(max(1, c.cfg.ElectionTicks/startupElectionDivisor))
	}
}

// Status is who leads the shard, where this member's log stands, and why it can't vote, if so.
type Status struct {
	Leader           string
	IsLeader         bool
	Term             uint64
	Blank            bool
	RejoinFailure    string
	Applied          uint64
	LastIndex        uint64
	LogEntries       int
	TicksSinceLeader int // ticks since a leader spoke
}

// Status returns the member's status now.
//
// Example: if c.Status().IsLeader { … }
func (c *Core) Status() Status {
	return Status{c.leader, c.role == leader, c.hardState.Term, c.hardState.DiskState == wire.DiskState_DISK_BLANK, c.rejoinFailure, c.applied, c.lastIndex(), len(c.log), c.ticks - c.lastLeaderContact}
}

// HasAppliedCurrentTerm reports whether this member is the leader and has applied all that earlier leaders
// have committed: an entry of its own term is applied.
//
// Example: if c.HasAppliedCurrentTerm() { validate(state) }
func (c *Core) HasAppliedCurrentTerm() bool {
	t, _ := c.termAt(c.applied)
	return c.role == leader && t == c.hardState.Term
}

// UnappliedEntries returns the entries in the log that aren't applied yet: any of them may turn out to have
// been acknowledged.
//
// Example: for _, e := range c.Unapplied() { … }
func (c *Core) UnappliedEntries() []*wire.Entry { return c.entriesFrom(c.applied + 1) }

// IsVoter reports whether a name is a member of this shard, by the newest membership in the log.
//
// Example: c.IsVoter("core-2")
func (c *Core) IsVoter(name string) bool {
	return slices.Contains(c.voters.names, name)
}
