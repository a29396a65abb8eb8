package controlstate

import (
	"errors"

	"pebbleloom/internal/control/storage"
	"pebbleloom/internal/wire"
)

// A corrupted disk (storage.ErrCorrupted) no longer proves what its member acknowledged or how it voted, so the member
// must not continue under its present name (incarnation). The disk is treated as lost, and the machine joins as a new member. That is
// allowed only once the group is known to serve without the disk: if more disks are corrupted than the group tolerates,
// their contents are all that an operator can restore the group from, and must not be replaced. A read that a quorum
// has confirmed proves that the group serves: a member with a corrupted disk responds to no peer, so it is not part of
// that quorum.

// hasCorruptedDisk reports whether this member has failed because its disk is corrupted.
func (s *shard) hasCorruptedDisk() bool { return errors.Is(s.failure, storage.ErrCorrupted) }

// allowReplacement permits the next attempt to open this member's disk to replace the contents, provided that the
// disk is still corrupted or that the group is still known to have been restored without this member.
func (s *shard) allowReplacement() {
	s.replacementAllowed = s.hasCorruptedDisk() || s.supersededBy != 0
}

// replaceCorruptedDisk permits this member's corrupted disk to be replaced if a quorum serves reads without it.
func (n *Node) replaceCorruptedDisk() {
	if _, err := n.controlClient.Read(n.process.Ctx, &wire.ReadRequest{}); err != nil {
		n.process.Log.Error("control node disk is corrupted and not replaced because no quorum serves reads: bring back another control node or restore the group", "error", err)
		return
	}
	shard := n.shards[0]
	shard.commands.Offer(shard.allowReplacement)
}
