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

// Timing of a group. groupTick and reopenIntervalRatio are fractions of settings.Bounds.Recovery, the configured time
// to restore service after a fault.
const (
	groupTick           = 1.0 / 120 // interval between ticks of a member's consensus core, as a fraction of Bounds.Recovery
	reopenIntervalRatio = 1.0 / 12  // interval between attempts to reopen a failed disk, as a fraction of Bounds.Recovery
	heartbeatTicks      = 3
	electionTicks       = 9
)

// group holds the fields of a shard that are used only if its set of voters can change at run time and is itself
// replicated.
type group struct {
	codec           backend.Codec
	consensusConfig consensus.Config // configuration of the consensus core; reopen sets Self to the incarnation stored on disk
	disk            storage.Disk
	initialSnapshot func(lost bool) *wire.Snapshot // returns the first snapshot for an empty disk; lost: the disk held data of an earlier incarnation, which counts as lost
	targetSize      int                            // desired number of voters in the group
	zoneOf          func(addr string) string
	published       viewPublisher
	ticks           int            // number of ticks since the process started
	reopenTicks     int            // number of ticks between attempts to reopen a failed disk
	leaving         map[string]int // tick at which a member last announced its shutdown, by the member's incarnation
	stopping        bool           // whether this process is shutting down

	replacementAllowed bool   // whether the contents of this member's disk may be replaced, since the group serves without it
	supersededBy       uint64 // restore generation of the group, if it was restored without this member; 0: not known to have been restored

	restoreNoticeTicks int             // number of ticks between the notices that a restored group sends to control nodes outside it
	controlNodes       func() []string // returns the addresses of all control nodes in the cluster membership
}

// openGroupShard sets up a new shard as this node's member of a group and opens its disk. If the disk cannot be
// opened, the member starts as failed, and retryReopen tries again.
func openGroupShard(shard *shard, group *group) {
	shard.group, group.consensusConfig.DynamicMembership = group, true
	group.leaving = map[string]int{}
	shard.core = consensus.New(group.consensusConfig, consensus.LearnerSnapshot(""), nil)
	if shard.failure = shard.reopen(); shard.failure != nil {
		shard.log.Error("group member cannot take part in consensus: its disk could not be opened", "error", errs.Text(shard.failure))
	}
	shard.publishRecovered()
}

// reopen recovers this member of a group from its disk, as at process start. The data may have been written by a
// process that crashed before syncing it, or may follow a failed sync, so it is written and synced again before
// this member acts on it.
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
		return errs.Wrap(err, "rewrite recovered snapshot and log to sync them")
	}
	config := s.consensusConfig
	config.Self = recovered.Snapshot.HardState.Incarnation
	s.core = consensus.New(config, recovered.Snapshot, recovered.Records)
	return nil
}

// syncFiles syncs the existing files of the shard's store. It appends nothing to each of them, which includes a
// sync.
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
			return errs.WrapAs(err, errs.DiskFailure, "sync store file "+file+" before recovery")
		}
	}
	return nil
}

// retryReopen tries at intervals of reopenTicks to reopen a failed disk. On success the member continues as after
// a restart.
func (s *shard) retryReopen() {
	if s.ticks%s.reopenTicks != 0 {
		return
	}
	if err := s.reopen(); err != nil {
		s.log.Debug("attempt to reopen the failed control node disk was unsuccessful", "error", errs.Text(err))
		return
	}
	s.failure, s.replacementAllowed, s.supersededBy = nil, false, 0
	s.log.Info("control node disk reopened; group member is available again", "incarnation", s.core.Self())
	s.publishRecovered()
}

// maintainGroup runs the work that a group member does at each tick in addition to the core's tick: it tries to
// reopen a failed disk, and on the leader it sends restore notices and proposes membership changes.
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
		s.log.Info("proposed a change of the voters of the control group", "from", current, "to", next)
	}
}

// nextMembership returns the set of voters that this member should propose as the leader of the group. It returns
// nil if no membership change should be proposed now, for example because this member does not lead the group.
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

// bootstrapIncarnation is appended to a seed's address to form the incarnation of its member at the first start of
// the site. It is a constant so that the seeds can name each other as members before they have communicated.
const bootstrapIncarnation = "/0"

// newIncarnation returns the name (incarnation) of a new group member at an address, made unique by a random
// number.
func newIncarnation(addr string, random func() uint64) string {
	return fmt.Sprintf("%s/%016x", addr, random())
}

// initialGroupSnapshot returns the first snapshot for an empty disk of a group member. At the first start of the
// site the seeds, whose addresses are listed in the settings, bootstrap the group as its voters. In any other case
// the disk is new or has lost its data, and its member starts as a learner under a new incarnation.
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
