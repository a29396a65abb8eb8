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
func (p *shard) confirmContext(ctx context.Context, size int) (context.Context, context.CancelFunc) {
	if p.confirmTimeout == 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Duration(float64(p.confirmTimeout)*(1+float64(size)/timeoutBodyBytes)))
}

// confirmBeforeMerge confirms this leader before it merges and checks a plan, which takes long and
// needn't begin on a member that was cut off. Nil: go on.
func (p *shard) confirmBeforeMerge(ctx context.Context, request *wire.ChangeRequest) *wire.ChangeResponse {
	if p.group == nil || request.Command.GetPut().GetKey() != p.configKey() {
		return nil
	}
	return p.confirmAppliedState(ctx, request)
}

// releasePendingProposals ends the wait of those whose change isn't committed when this member stops leading:
// the next leader may commit it or not. They are free to ask there, with time left.
func (p *shard) releasePendingProposals() {
	if len(p.pendingProposals) == 0 || p.core.Status().IsLeader {
		return
	}
	for i, w := range p.pendingProposals {
		w.response <- &wire.ChangeResponse{Outcome: wire.OutcomeUnknown}
		delete(p.pendingProposals, i)
	}
}
