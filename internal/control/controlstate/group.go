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

// Times of a group. The ratios are of the heal bound.
const (
	groupTick           = 1.0 / 120 // period of a tick
	reopenIntervalRatio = 1.0 / 12  // between two attempts to open a disk that failed
	heartbeatTicks      = 3
	electionTicks       = 9
)

// group is the part of a shard that only a shard with replicated membership has.
type group struct {
	codec           backend.Codec
	consensusConfig consensus.Config // without the incarnation, which the disk holds
	disk            storage.Disk
	initialSnapshot func(lost bool) *wire.Snapshot // of an empty disk; lost: it has held another incarnation
	targetSize      int                            // number of voters
	zoneOf          func(addr string) string
	published       viewPublisher
	ticks           int            // since the start of the process
	reopenTicks     int            // between two attempts to open a disk that failed
	leaving         map[string]int // by incarnation: the tick in which it last announced that it stops
	stopping        bool           // this process stops

	replacementAllowed bool   // the disk counts as lost and may be replaced: the group serves without it
	supersededBy       uint64 // the restore generation of the group that was restored without this member; 0: none

	noticeTicks  int             // between two notices of a restored group to nodes outside it
	controlNodes func() []string // addresses of the control nodes in the cluster membership
}

// openGroupShard makes a new shard the one of a group. If its disk can't be opened, the shard runs without taking
// part until retryReopen succeeds.
func openGroupShard(shard *shard, group *group) {
	shard.group, group.consensusConfig.DynamicMembership = group, true
	group.leaving = map[string]int{}
	shard.core = consensus.New(group.consensusConfig, consensus.LearnerSnapshot(""), nil)
	if shard.failure = shard.reopen(); shard.failure != nil {
		shard.log.Error("member is out", "error", errs.Text(shard.failure))
	}
	shard.publishRecovered()
}

// reopen recovers the member from its disk, as a new start does. What it reads may have been written by
// a process that died before it synced, or behind a sync that failed: all of it is written and synced
// again before this member acts on it.
func (s *shard) reopen() error {
	if err := s.syncFiles(); err != nil {
		return err
	}
	s.state = newState()
	recovered, err := s.load(s.disk, s.initialSnapshot)
	if err != nil {
		return err
	}
	if err := s.store.SaveSnapshot(recovered.Snapshot, recovered.Records); err != nil {
		return errs.Wrap(err, "write what was read anew")
	}
	config := s.consensusConfig
	config.Self = recovered.Snapshot.HardState.Incarnation
	s.core = consensus.New(config, recovered.Snapshot, recovered.Records)
	return nil
}

// syncFiles syncs the files of the store that exist. An empty append syncs a file.
func (s *shard) syncFiles() error {
	for _, file := range []string{"slot-0", "slot-1", "log-0", "log-1"} {
		_, exists, err := s.disk.Read(file)
		if err != nil {
			return errs.WrapAs(err, errs.DiskFailure, "read")
		}
		if !exists {
			continue
		}
		if err := s.disk.Append(file, nil); err != nil {
			return errs.WrapAs(err, errs.DiskFailure, "sync what was read")
		}
	}
	return nil
}

// retryReopen opens a disk again that has failed, at intervals. The member then goes on as after a
// restart.
func (s *shard) retryReopen() {
	if s.ticks%s.reopenTicks != 0 {
		return
	}
	if err := s.reopen(); err != nil {
		s.log.Debug("disk still fails", "error", errs.Text(err))
		return
	}
	s.failure, s.replacementAllowed, s.supersededBy = nil, false, 0
	s.log.Info("disk works again", "incarnation", s.core.Self())
	s.publishRecovered()
}

// maintainGroup does at each tick what a member of a group does beside the core's own ticks: it retries
// a failed disk, and as the leader it proposes the next membership.
func (s *shard) maintainGroup() {
	if s.group == nil {
		return
	}
	s.ticks++
	if s.failure != nil {
		s.retryReopen()
		return
	}
	s.sendRestoreNotices()
	next := s.nextMembership()
	if next == nil {
		return
	}
	current, _, _ := s.core.Members()
	if _, _, ok := s.core.ProposeMembership(next); ok {
		s.log.Info("membership change", "from", current, "to", next)
	}
}

// nextMembership is the membership that this member has to propose as the leader; nil if there is none
// to propose now.
func (s *shard) nextMembership() []string {
	if !s.core.CanChangeMembership() {
		return nil
	}
	members, _, _ := s.core.Members()
	planner := membershipPlanner{
		self:       s.core.Self(),
		members:    members,
		peers:      s.core.PeerStatuses(),
		targetSize: s.targetSize,
		zoneOf:     s.zoneOf,
		isLeaving:  s.isLeaving,
	}
	return planner.next()
}

// bootstrapIncarnation is the incarnation of a seed at the first start of the whole system. All seeds
// know it of each other.
const bootstrapIncarnation = "/0"

// newIncarnation is the name of a new member at an address.
func newIncarnation(addr string, random func() uint64) string {
	return fmt.Sprintf("%s/%016x", addr, random())
}

// initialGroupSnapshot is the first snapshot of an empty disk. At the first start of the whole system
// the seeds bootstrap the group. Any other empty disk has lost what it had, or is new: its member starts
// as a learner under an incarnation of its own.
func initialGroupSnapshot(isFirstStart bool, self string, seeds []string, random func() uint64) *wire.Snapshot {
	if !isFirstStart || !slices.Contains(seeds, self) {
		return consensus.LearnerSnapshot(newIncarnation(self, random))
	}
	var members []string
	for _, seed := range seeds {
		members = append(members, seed+bootstrapIncarnation)
	}
	return consensus.BootstrapSnapshot(self+bootstrapIncarnation, slices.Compact(slices.Sorted(slices.Values(members))))
}
