package controlstate

import (
	"context"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/control/controlclient"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

// leave waits, when the program is to stop, until the group does without this member: its
// leadership is handed over, a spare has its place if there is one, and the others hold what it holds.
func (n *Node) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, settings.Fraction(n.process.Settings.Site.GraceMs, leaveTimeoutRatio))
	defer cancel()
	for ctx.Err() == nil && !n.tryLeave(ctx) {
		clock.Sleep(ctx, n.process.Settings.Bounds.Heal(groupTick/2))
	}
	n.membership.Leave()
}

// tryLeave does what there is to do before this member stops, and reports whether that was all.
func (n *Node) tryLeave(ctx context.Context) bool {
	shard := n.shards[0]
	progress := query(ctx, shard, leaveProgress{done: true}, shard.prepareToLeave)
	if progress.done || progress.isLeader || progress.leader == "" {
		return progress.done
	}
	ctx, cancel := context.WithTimeout(ctx, n.process.Settings.Bounds.Heal(joinTimeoutRatio))
	defer cancel()
	response, err := n.clients.ControlNode(controlclient.MemberAddr(progress.leader)).Join(ctx, &wire.JoinRequest{Name: progress.self, Leaving: true})
	return err == nil && response.Outcome == wire.OutcomeDone
}

// leaveProgress is how far a member is with leaving.
type leaveProgress struct {
	done, isLeader bool
	self, leader   string
}

// prepareToLeave hands the leadership over once the others hold all that this member holds. A member
// that is out, or a learner, has nothing that the group needs.
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
		s.core.TransferLeadership() // all that are left are leaving
	}
	return leaveProgress{isLeader: true}
}

// canLeave reports whether the group has done what it can before a member stops: no change of the
// membership is left to make, and the other voters that are alive hold the whole log.
func (s *shard) canLeave(name string) bool {
	if !s.core.CanChangeMembership() {
		return false
	}
	if !s.core.IsVoter(name) {
		return true
	}
	return s.nextMembership() == nil && s.core.ReplicatedToLiveVoters(name, aliveTicks)
}

// isLeaving reports whether a process has said lately that it is to stop.
func (s *shard) isLeaving(name string) bool {
	at, ok := s.leaving[name]
	return ok && s.ticks-at < leaveNoticeTicks
}

// handleLeave notes that a process is to stop, and reports whether it may. A learner may at once. From then
// on it counts as any other that may fall silent: a group that counted on it while a successor is
// added would need that successor.
func (s *shard) handleLeave(name string) bool {
	for other, at := range s.leaving {
		if s.ticks-at >= leaveNoticeTicks {
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
