package controlstate

import (
	"fmt"
	"slices"

	"pebbleloom/internal/control/consensus"
	"pebbleloom/internal/control/storage"
	"pebbleloom/internal/data/backend"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/wire"
)

// A group's time, as ratios of the heal bound and in ticks.
const (
	groupTick           = 1.0 / 120
	reopenIntervalRatio = 1.0 / 12 // between two tries to open a disk that was bad
	heartbeatTicks      = 3
	electionTicks       = 9
)

// group is what a shard has beside, where its membership is agreed data.
type group struct {
	codec           backend.Codec
	consensusConfig consensus.Config
	disk            storage.Disk
	initialSnapshot func() *wire.Snapshot
	targetSize      int // members
	zoneOf          func(addr string) string
	published       viewPublisher
	ticks           int
	reopenTicks     int
	leaving         map[string]int // the tick in which a process last said that it is to stop
	stopping        bool           // this process is to stop
}

// openGroupShard makes the one shard of a group. A disk that can't be opened leaves its member out
// until it can.
func openGroupShard(shard *shard, groupState *group) *shard {
	shard.group, groupState.consensusConfig.DynamicMembership = groupState, true
	groupState.leaving = map[string]int{}
	shard.core = consensus.New(groupState.consensusConfig, consensus.LearnerSnapshot(""), nil)
	shard.failure = shard.reopen()
	shard.publish(consensus.Ready{Snapshot: &wire.Snapshot{}})
	return shard
}

// reopen reads the disk as a new start does. What was read may have been written by a process
// that died before its sync, or behind a sync that failed: all of it is written anew before this
// member goes by it.
func (s *shard) reopen() error {
	for _, file := range []string{"slot-0", "slot-1", "log-0", "log-1"} {
		if _, exists, err := s.disk.Read(file); err != nil {
			return errs.WrapAs(err, errs.DiskFailure, "read")
		} else if exists {
			if err := s.disk.Append(file, nil); err != nil {
				return errs.WrapAs(err, errs.DiskFailure, "sync what was read")
			}
		}
	}
	s.state = newState()
	loaded, err := s.load(s.disk, s.initialSnapshot)
	if err != nil {
		return err
	}
	if err := s.store.SaveSnapshot(loaded.Snapshot, loaded.Records); err != nil {
		return errs.Wrap(err, "write what was read anew")
	}
	config := s.consensusConfig
	config.Self = loaded.Snapshot.HardState.Incarnation
	s.core = consensus.New(config, loaded.Snapshot, loaded.Records)
	return nil
}

// retryReopen opens a disk again that was bad; its member goes on as after a restart.
func (s *shard) retryReopen() {
	if s.ticks%s.reopenTicks != 0 {
		return
	}
	if err := s.reopen(); err != nil {
		s.log.Debug("the disk is still bad", "error", errs.Text(err))
		return
	}
	for index, proposal := range s.pendingProposals {
		proposal.response <- &wire.ChangeResponse{Outcome: wire.OutcomeUnknown}
		delete(s.pendingProposals, index)
	}
	s.failure = nil
	s.log.Info("the disk is well again")
	s.publish(consensus.Ready{Snapshot: &wire.Snapshot{}})
}

// maintainGroup is what a member of a group does at each tick beside the core's own time.
func (s *shard) maintainGroup() {
	if s.group == nil {
		return
	}
	s.ticks++
	if s.failure != nil {
		s.retryReopen()
		return
	}
	if next := s.nextMembership(); next != nil {
		now, _, _ := s.core.Members()
		if _, _, ok := s.core.ProposeMembership(next); ok {
			s.log.Info("membership change", "from", now, "to", next)
		}
	}
}

// nextMembership is the membership that this member is to propose as the leader; nil: none now.
func (s *shard) nextMembership() []string {
	if !s.core.CanChangeMembership() {
		return nil
	}
	members, _, _ := s.core.Members()
	planner := membershipPlanner{self: s.core.Self(), members: members, peers: s.core.PeerStatuses(), targetSize: s.targetSize,
		zoneOf: s.zoneOf, isLeaving: s.isLeaving}
	return planner.next()
}

// initialGroupSnapshot is the first snapshot of an empty disk. At the first start of the whole system the
// seeds found the group, each under an incarnation that all know; any other empty disk has lost what
// it had, or is new, and is taken in by those that hold the log.
func initialGroupSnapshot(isFirstStart bool, self string, seeds []string, random func() uint64) *wire.Snapshot {
	if isFirstStart && slices.Contains(seeds, self) {
		var members []string
		for _, seed := range seeds {
			members = append(members, seed+"/0")
		}
		return consensus.BootstrapSnapshot(self+"/0", slices.Compact(slices.Sorted(slices.Values(members))))
	}
	return consensus.LearnerSnapshot(fmt.Sprintf("%s/%016x", self, random()))
}
