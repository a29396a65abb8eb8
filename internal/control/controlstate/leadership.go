package controlstate

import (
	"context"
	"time"

	"pebbleloom/internal/wire"
)

// confirmTimeoutRatio is the fraction of a request's time-out within which a quorum must confirm that this member
// is still the leader. A leader that is partitioned from the quorum gives up after that, which leaves the caller
// time to ask the other members.
const confirmTimeoutRatio = 0.5

// confirmContext returns a context that limits the wait for a quorum to confirm that this member is still the
// leader. The time-out grows with the size of the request's body, in bytes.
func (s *shard) confirmContext(ctx context.Context, size int) (context.Context, context.CancelFunc) {
	if s.confirmTimeout == 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Duration(float64(s.confirmTimeout)*(1+float64(size)/timeoutBodyBytes)))
}

// confirmBeforeMerge has a quorum confirm that this member is still the leader before a routing configuration is
// merged and validated, which is expensive and would be wasted on a leader that is partitioned from the quorum. It
// returns nil if the change may proceed, and the response to the change otherwise.
func (s *shard) confirmBeforeMerge(ctx context.Context, request *wire.ChangeRequest) *wire.ChangeResponse {
	if s.group == nil || request.Command.GetPut().GetKey() != s.configKey() {
		return nil
	}
	return s.confirmAppliedState(ctx, request)
}

// confirmAppliedState returns nil once a quorum has confirmed that this member is the leader and its applied state
// includes all changes that were acknowledged before the call. Otherwise it returns the response to the requested
// change, which has not been proposed.
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

// transferLeadership transfers the leadership of the shard, if this member has it, to a peer with an up-to-date
// log before this node stops.
func (s *shard) transferLeadership() {
	s.commands.Offer(func() {
		if s.failure == nil && s.core.TransferLeadership() {
			s.log.Info("requested transfer of shard leadership before shutdown")
		}
	})
}
