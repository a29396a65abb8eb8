package controlstate

import (
	"context"
	"time"

	"pebbleloom/internal/wire"
)

// confirmPart is how much of a request's time may go by until a quorum confirms that this member
// still is the leader. A leader that was cut off spends no more on itself: the rest of the time is
// for the other members.
const confirmPart = 0.5

// confirmContext bounds the wait for a quorum's confirmation, longer for large bodies.
func (p *shard) confirmContext(ctx context.Context, size int) (context.Context, context.CancelFunc) {
	if p.confirmTime == 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Duration(float64(p.confirmTime)*(1+float64(size)/waitBytes)))
}

// confirmLeadership confirms this leader before it merges and checks a plan, which takes long and
// needn't begin on a member that was cut off. Nil: go on.
func (p *shard) confirmLeadership(ctx context.Context, request *wire.ChangeRequest) *wire.ChangeResponse {
	if p.group == nil || request.Command.GetPut().GetKey() != p.validatedKey() {
		return nil
	}
	return p.confirmState(ctx, request)
}

// releasePending ends the wait of those whose change isn't committed when this member stops leading:
// the next leader may commit it or not. They are free to ask there, with time left.
func (p *shard) releasePending() {
	if len(p.pending) == 0 || p.core.Status().IsLeader {
		return
	}
	for i, w := range p.pending {
		w.answer <- &wire.ChangeResponse{Outcome: wire.OutcomeUnknown}
		delete(p.pending, i)
	}
}
