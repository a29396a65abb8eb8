package consensus

import "pebbleloom/internal/wire"

// Restoring a group that has lost the majority of its disks permanently. An operator selects one surviving member,
// which continues as the only voter of the group, under a new name and with every entry of its log. Other machines
// join the group as learners, as after the loss of a disk. Entries that only the lost members had are lost.
//
// The restored group has a higher restore generation, which is persisted and part of every message. Members of
// an earlier generation, even a majority of them, may return without knowing of the restore:
//   - Members of a later generation ignore the messages of these members, and respond with a notice of the restore.
//   - A member that learns of a later generation stops taking part: its log and its vote belong to an abandoned
//     group. Its driver treats its disk as lost.
//   - A member without log entries and voters, as one that starts with an empty disk, adopts a later generation.
// So no entry, vote or acknowledgement passes from one generation to another. Until they learn of the restore,
// members of an earlier generation may still elect a leader among themselves.

// restoreCountShift is the bit position of the number of restores in a restore generation. The bits below it are
// random: if a group is restored from two members at the same time, one of the two generations is the higher one.
const restoreCountShift = 32

// NextRestoreGeneration returns a restore generation that is higher than the current one, with random low bits.
//
// Example: generation := consensus.NextRestoreGeneration(core.Status().RestoreGeneration, seed())
func NextRestoreGeneration(current, random uint64) uint64 {
	return (current>>restoreCountShift+1)<<restoreCountShift | random>>restoreCountShift
}

// RestoreCount returns how often a group was restored, according to its restore generation.
//
// Example: consensus.RestoreCount(status.RestoreGeneration) == 1
func RestoreCount(generation uint64) uint64 { return generation >> restoreCountShift }

// RestoredSnapshot returns the initial snapshot of a group that is restored from this member alone, under a new
// name and a higher restore generation. The state must be the result of all entries of the log, committed or
// not.
//
// Example: snapshot := c.RestoredSnapshot("10.1.0.17:7360/8f3a", generation, state)
func (c *Core) RestoredSnapshot(self string, generation uint64, state []byte) *wire.Snapshot {
	index, term := c.lastIndex()+1, c.hardState.Term+1
	hardState := &wire.HardState{Term: term, Incarnation: self, DiskState: wire.DiskState_DISK_FOUNDED, RestoreGeneration: generation, RestoredFrom: c.cfg.Self}
	return &wire.Snapshot{Format: 1, Index: index, Term: term, HardState: hardState, State: state, Members: []string{self}, MembersIndex: index, MembersTerm: term}
}

// RestoreNotice returns a message that informs the member at an address of this member's restore generation.
//
// Example: send(c.RestoreNotice("10.2.0.24:7360"))
func (c *Core) RestoreNotice(to string) *wire.Message {
	return c.withSender(&wire.Message{To: to, Kind: wire.MessageKind_RESTORE_NOTICE})
}

// SupersededBy returns the later restore generation of the group that this member has learned of and doesn't
// belong to; 0: none.
//
// Example: if c.SupersededBy() != 0 { stop() }
func (c *Core) SupersededBy() uint64 { return c.supersededBy }

// acceptsGeneration reports whether this member handles a message, by the restore generation of the message. It responds
// to a message of an earlier generation with a notice of the restore. It adopts a later generation if it has no log
// entries and no voters; otherwise it is superseded and handles no messages any more.
func (c *Core) acceptsGeneration(message *wire.Message) bool {
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

// isPristine reports whether this member has neither log entries nor voters, as after a start with an empty disk.
func (c *Core) isPristine() bool { return c.lastIndex() == 0 && len(c.voters.names) == 0 }

// adoptGeneration moves this member, which has no log entries yet, to a later restore generation.
func (c *Core) adoptGeneration(generation uint64) {
	c.incoming = nil
	adopted := c.nextHardState()
	adopted.RestoreGeneration = generation
	c.persistHardState(adopted)
}
