package controlstate

import (
	"errors"

	"pebbleloom/internal/control/storage"
	"pebbleloom/internal/wire"
)

// A corrupted disk (storage.ErrCorrupted) says neither what its member has acknowledged nor how it has voted, so the
// member can't go on under its name. It is of no more use to the group than a lost disk, and is treated as one: the
// machine joins as a new member. But only once the group is known to serve without it. If more disks are corrupted
// than the group tolerates, what they hold is all that an operator has to restore it from, and must not be replaced.
// A read that a quorum has confirmed is that knowledge: a member with a corrupted disk answers no peer, so it isn't
// one of that quorum.

// hasCorruptedDisk reports whether this member is out because its disk is corrupted.
func (s *shard) hasCorruptedDisk() bool { return errors.Is(s.failure, storage.ErrCorrupted) }

// allowReplacement has the next attempt to open the disk replace what it holds, if it is still corrupted, or that of a
// member which the group was restored without.
func (s *shard) allowReplacement() {
	s.replacementAllowed = s.hasCorruptedDisk() || s.supersededBy != 0
}

// replaceCorruptedDisk allows this member's corrupted disk to be replaced if the group serves without it.
func (n *Node) replaceCorruptedDisk() {
	if _, err := n.controlClient.Read(n.process.Ctx, &wire.ReadRequest{}); err != nil {
		n.process.Log.Error("the disk is corrupted and no quorum serves without it: restore a disk of the group", "error", err)
		return
	}
	shard := n.shards[0]
	shard.commands.Offer(shard.allowReplacement)
}
