package controlstate

import (
	"context"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/control/controlclient"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

// leaveTimeoutRatio limits how long the shutdown of a node waits until the group can continue without its member,
// as a fraction of the shutdown grace period (Site.GraceMs).
const leaveTimeoutRatio = 0.4

// leaveNoticeTicks is the number of ticks after which a member's announcement that it is shutting down lapses
// unless it is repeated.
const leaveNoticeTicks = heartbeatTicks

// leave waits during a shutdown until the group can continue without this member: its leadership is
// transferred, a spare learner has replaced it as a voter if one is available, and the other live voters hold
// every committed entry.
func (n *Node) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, settings.Fraction(n.process.Settings.Site.GraceMs, leaveTimeoutRatio))
	defer cancel()
	for ctx.Err() == nil && !n.tryLeave(ctx) {
		clock.Sleep(ctx, n.process.Settings.Bounds.Recovery(groupTick/2))
	}
	n.membership.Leave()
}

// tryLeave takes the next step of leaving the group before this node shuts down, and reports whether this member
// may stop.
func (n *Node) tryLeave(ctx context.Context) bool {
	shard := n.shards[0]
	progress := query(ctx, shard, leaveProgress{done: true}, shard.prepareToLeave)
	if progress.done || progress.isLeader || progress.leader == "" {
		return progress.done
	}
	ctx, cancel := context.WithTimeout(ctx, n.process.Settings.Bounds.Recovery(joinTimeoutRatio))
	defer cancel()
	leader := n.clients.ControlNode(controlclient.MemberAddr(progress.leader))
	response, err := leader.Join(ctx, &wire.JoinRequest{Name: progress.self, Leaving: true})
	return err == nil && response.Outcome == wire.OutcomeDone
}

// leaveProgress describes how far a member that is shutting down has come in leaving its group. A member that is
// neither done nor the leader has to ask the leader whether it may stop.
type leaveProgress struct {
	done, isLeader bool
	self, leader   string
}

// prepareToLeave transfers the leadership, if this member has it, once the other live voters hold every committed
// entry, and returns the progress. A failed member, or a learner that knows no leader, may stop at once: the group
// does not depend on it.
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
		s.core.TransferLeadership() // no voter that keeps running can take over, so transfer the leadership to one that is shutting down too
	}
	return leaveProgress{isLeader: true}
}

// canLeave reports, on the leader, whether the named member may stop. A voter may stop if there is no membership
// change left to propose and the other live voters hold every committed entry. Any other member may stop unless a
// membership change is in progress.
func (s *shard) canLeave(name string) bool {
	if !s.core.CanChangeMembership() {
		return false
	}
	if !s.core.IsVoter(name) {
		return true
	}
	return s.nextMembership() == nil && s.core.ReplicatedToLiveVoters(name, aliveTicks)
}

// isLeaving reports whether the named member has announced within the last leaveNoticeTicks ticks that it is
// shutting down.
func (s *shard) isLeaving(name string) bool {
	announced, ok := s.leaving[name]
	return ok && s.ticks-announced < leaveNoticeTicks
}

// handleLeave records a member's announcement that it is shutting down, and reports whether it may stop. Once it
// may, the announcement is deleted, so that the member is treated like any other that may become silent. If it
// were still treated as leaving, its successor would be added before its removal, and the group would need that
// successor for a quorum.
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
