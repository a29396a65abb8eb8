package controlstate

import (
	"context"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/control/controlclient"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

// leaveTimeoutRatio is the longest wait until the group can do without this member, as a ratio of the
// grace time of a shutdown.
const leaveTimeoutRatio = 0.4

// leaveNoticeTicks is how long an announcement to leave counts without being repeated.
const leaveNoticeTicks = heartbeatTicks

// leave waits during a shutdown until the group can do without this member: its leadership is
// transferred, a spare has replaced it if there is one, and the other voters hold what it holds.
func (n *Node) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, settings.Fraction(n.process.Settings.Site.GraceMs, leaveTimeoutRatio))
	defer cancel()
	for ctx.Err() == nil && !n.tryLeave(ctx) {
		clock.Sleep(ctx, n.process.Settings.Bounds.Heal(groupTick/2))
	}
	n.membership.Leave()
}

// tryLeave takes the next step towards leaving, and reports whether this member may stop.
func (n *Node) tryLeave(ctx context.Context) bool {
	shard := n.shards[0]
	progress := query(ctx, shard, leaveProgress{done: true}, shard.prepareToLeave)
	if progress.done || progress.isLeader || progress.leader == "" {
		return progress.done
	}
	ctx, cancel := context.WithTimeout(ctx, n.process.Settings.Bounds.Heal(joinTimeoutRatio))
	defer cancel()
	leader := n.clients.ControlNode(controlclient.MemberAddr(progress.leader))
	response, err := leader.Join(ctx, &wire.JoinRequest{Name: progress.self, Leaving: true})
	return err == nil && response.Outcome == wire.OutcomeDone
}

// leaveProgress is how far a member has come with leaving. Unless it is done or leads itself, it has to
// ask the leader.
type leaveProgress struct {
	done, isLeader bool
	self, leader   string
}

// prepareToLeave transfers the leadership once the other voters hold all that this member holds. The
// group needs nothing of a member that is out, or of a learner without a leader.
func (s *shard) prepareToLeave() leaveProgress {
	status, self := s.core.Status(), s.core.Self()
	s.stopping = true
	if s.failure != nil || !s.core.IsVoter(self) && status.Leader == "" {
		return leaveProgress{done: true}
	}
	if !status.IsLeader {
		return leaveProgress{self: self, leader: status.Leader}
	}
	s.leaving[self] = s.ticks
	if s.canLeave(self) && !s.core.TransferLeadershipExcept(s.isLeaving) {
		s.core.TransferLeadership() // everyone else is leaving as well
	}
	return leaveProgress{isLeader: true}
}

// canLeave reports whether the group has done what it can before a member stops: there is no membership
// left to propose, and the other live voters hold the whole log.
func (s *shard) canLeave(name string) bool {
	if !s.core.CanChangeMembership() {
		return false
	}
	if !s.core.IsVoter(name) {
		return true
	}
	return s.nextMembership() == nil && s.core.ReplicatedToLiveVoters(name, aliveTicks)
}

// isLeaving reports whether a member has announced lately that it leaves.
func (s *shard) isLeaving(name string) bool {
	announced, ok := s.leaving[name]
	return ok && s.ticks-announced < leaveNoticeTicks
}

// handleLeave records that a member announced to leave, and reports whether it may stop. A learner may
// at once. The announcement of a member that may stop is dropped: from then on it counts as any member
// that may become silent, since a group that counted on it while its successor is added would need that
// successor for its quorum.
func (s *shard) handleLeave(name string) bool {
	for other, announced := range s.leaving {
		if s.ticks-announced >= leaveNoticeTicks {
			delete(s.leaving, other)
		}
	}
	s.leaving[name] = s.ticks
	s.core.RemoveLearner(name)
	if !s.canLeave(name) {
		return false
	}
	delete(s.leaving, name)
	return true
}
