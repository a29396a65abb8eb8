package consensus

import "pebbleloom/internal/wire"

// Restoring a group of which a majority of disks is lost for good. An operator has one surviving member go on
// alone, under a new name, with all that its log holds; the others join it as after any loss. What only the lost
// members had is lost.
//
// The restored group has a higher restore generation. It is part of every message, and persistent. Members of
// an earlier generation may come back, also a majority of them, and don't know of the restore:
//   - What they send counts for no member of a later generation, which responds with its own generation only.
//   - A member that learns of a later generation takes no part any more: its log and its vote belong to a group
//     that was given up. Its driver treats its disk as a lost one.
//   - A member without a log and without voters, as an empty disk starts with, adopts a later generation.
// So no entry, vote or acknowledgement passes from one generation to another. Until they have heard of the
// restore, members of an earlier generation may still elect a leader among themselves.

// restoreCountShift is the position of the number of restores in a restore generation. The bits below it
// are random: of two members that are restored at the same time, each with the same number, one prevails.
const restoreCountShift = 32

// NextRestoreGeneration returns a restore generation that is higher than another one.
//
// Example: generation := consensus.NextRestoreGeneration(core.Status().RestoreGeneration, seed())
func NextRestoreGeneration(current, random uint64) uint64 {
	return (current>>restoreCountShift+1)<<restoreCountShift | random>>restoreCountShift
}

// RestoreCount returns how often a group of a restore generation was restored.
//
// Example: consensus.RestoreCount(status.RestoreGeneration) == 1
func RestoreCount(generation uint64) uint64 { return generation >> restoreCountShift }

// RestoredSnapshot returns the first snapshot of the group that continues from this member alone, under a new
// name and a higher restore generation. The state must be the result of all entries of the log, committed or
// not.
//
// Example: snapshot := c.RestoredSnapshot("10.1.0.17:7360/8f3a", generation, state)
func (c *Core) RestoredSnapshot(self string, generation uint64, state []byte) *wire.Snapshot {
	index, term := c.lastIndex()+1, c.hardState.Term+1
	hardState := &wire.HardState{Term: term, Incarnation: self, DiskState: wire.DiskState_DISK_FOUNDED, RestoreGeneration: generation, RestoredFrom: c.cfg.Self}
	return &wire.Snapshot{Format: 1, Index: index, Term: term, HardState: hardState, State: state, Members: []string{self}, MembersIndex: index, MembersTerm: term}
}

// RestoreNotice returns a message that informs whoever runs at an address of this member's restore generation.
//
// Example: send(c.RestoreNotice("10.2.0.24:7360"))
func (c *Core) RestoreNotice(to string) *wire.Message {
	return c.withSender(&wire.Message{To: to, Kind: wire.MessageKind_RESTORE_NOTICE})
}

// SupersededBy returns a later restore generation that this member isn't one of; 0: none is known.
//
// Example: if c.SupersededBy() != 0 { stop() }
func (c *Core) SupersededBy() uint64 { return c.supersededBy }

// isOfThisGeneration reports whether a message is from a member of this one's restore generation. It responds to
// an earlier one, and adopts or yields to a later one.
func (c *Core) isOfThisGeneration(message *wire.Message) bool {
	own := c.hardState.RestoreGeneration
	switch {
	case message.RestoreGeneration == own:
		return true
	case !c.cfg.DynamicMembership:
		return false
	case message.RestoreGeneration < own:
		if message.From != "" {
			c.send(&wire.Message{To: message.From, Kind: wire.MessageKind_RESTORE_NOTICE})
		}
		return false
	case c.isPristine():
		c.adoptGeneration(message.RestoreGeneration)
		return true
	}
	c.supersededBy = message.RestoreGeneration
	return false
}

// isPristine reports whether this member has neither a log nor voters, as it starts on an empty disk.
func (c *Core) isPristine() bool { return c.lastIndex() == 0 && len(c.voters.names) == 0 }

// adoptGeneration makes a member that has received nothing yet one of a later restore generation.
func (c *Core) adoptGeneration(generation uint64) {
	c.incoming = nil
	adopted := c.nextHardState()
	adopted.RestoreGeneration = generation
	c.persistHardState(adopted)
}
