package controlstate

import (
	"context"
	"time"

	"pebbleloom/internal/wire"
)

// confirmTimeoutRatio is the part of a request's time within which a quorum must confirm that this
// member is still the leader. A leader that a partition cut off spends no more on the request, so that
// the caller has the rest of the time for the other members.
const confirmTimeoutRatio = 0.5

// confirmContext bounds the wait for a quorum's confirmation. The bound grows with the size of the
// request's body, in bytes.
func (s *shard) confirmContext(ctx context.Context, size int) (context.Context, context.CancelFunc) {
	if s.confirmTimeout == 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Duration(float64(s.confirmTimeout)*(1+float64(size)/timeoutBodyBytes)))
}

// confirmBeforeMerge confirms this leader before it merges and validates a routing configuration:
// that takes long, and would be in vain on a member that is cut off. It returns nil if the change may
// go on.
func (s *shard) confirmBeforeMerge(ctx context.Context, request *wire.ChangeRequest) *wire.ChangeResponse {
	if s.group == nil || request.Command.GetPut().GetKey() != s.configKey() {
		return nil
	}
	return s.confirmAppliedState(ctx, request)
}

// confirmAppliedState returns nil once a quorum has confirmed that this member is the leader and that
// its applied state holds all that was acknowledged before the call. Otherwise it returns the response
// to a change of which nothing was proposed.
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

// transferLeadership asks a peer that has caught up to take over the leadership before this node stops.
func (s *shard) transferLeadership() {
	s.commands.Offer(func() {
		if s.failure == nil && s.core.TransferLeadership() {
			s.log.Info("leadership transfer requested")
		}
	})
}
