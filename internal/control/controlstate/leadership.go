package controlstate

import (
	"context"
	"time"

	"pebbleloom/internal/wire"
)

// confirmTimeoutRatio is how much of a request's time may go by until a quorum confirms that this member
// still is the leader. A leader that was cut off spends no more on itself: the rest of the time is
// for the other members.
const confirmTimeoutRatio = 0.5

// confirmContext bounds the wait for a quorum's confirmation, longer for large bodies.
func (s *shard) confirmContext(ctx context.Context, size int) (context.Context, context.CancelFunc) {
	if s.confirmTimeout == 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Duration(float64(s.confirmTimeout)*(1+float64(size)/timeoutBodyBytes)))
}

// confirmBeforeMerge confirms this leader before it merges and checks a plan, which takes long and
// needn't begin on a member that was cut off. Nil: go on.
func (s *shard) confirmBeforeMerge(ctx context.Context, request *wire.ChangeRequest) *wire.ChangeResponse {
	if s.group == nil || request.Command.GetPut().GetKey() != s.configKey() {
		return nil
	}
	return s.confirmAppliedState(ctx, request)
}

// confirmAppliedState returns nil once a quorum has confirmed that this member is the leader and its applied
// state holds all that was acknowledged before the call; otherwise the answer to a change that never began.
func (s *shard) confirmAppliedState(ctx context.Context, request *wire.ChangeRequest) *wire.ChangeResponse {
	ctx, cancel := s.confirmContext(ctx, len(request.Command.GetPut().GetBody()))
	defer cancel()
	switch read := s.read(ctx, &wire.ReadRequest{}); read.Outcome {
	case wire.OutcomeDone:
		return nil
	case wire.OutcomeNotLeader:
		return &wire.ChangeResponse{Outcome: wire.OutcomeNotLeader, Leader: read.Leader}
	}
	return &wire.ChangeResponse{Outcome: wire.OutcomeOverloaded}
}

// transferLeadership asks a peer that has caught up to lead, before this node stops.
func (s *shard) transferLeadership() {
	s.commands.Offer(func() {
		if s.failure == nil && s.core.TransferLeadership() {
			s.log.Info("leadership transfer asked for")
		}
	})
}
