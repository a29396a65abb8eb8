package callerproxy

import (
	"context"
	"time"

	"pebbleloom/api/caller"
	"pebbleloom/internal/errs"
)

// claimRetryRatio of the healing bound is the Retry-After where a request's ID can't be claimed.
const claimRetryRatio = 1.0 / 12

// admit admits a request under the newest configuration, or rejects it.
func (p *Proxy) admit(ctx context.Context, ask *caller.Ask, params caller.AnswerParams) (*request, error) {
	req := &request{proxy: p, ask: ask, tenantKey: params.XTenantKey, once: ask.Once.Or(false), startedAt: p.clock.Now(), tried: map[string]bool{}}
	var err error
	if req.snapshot, err = p.freshSnapshot(ask.RequestID); err != nil {
		return nil, err
	}
	config := req.snapshot.Config
	req.wait = time.Duration(ask.WaitMs) * time.Millisecond
	if config.MaxWaitMs > 0 {
		req.wait = min(req.wait, time.Duration(config.MaxWaitMs)*time.Millisecond)
	}
	if size, limit := promptBytes(ask), p.bounds.MaxBodyKB<<10; size > limit {
		return nil, reject(errs.TooLarge, ask.RequestID, 0, "parts: %d bytes, at most %d", size, limit)
	}
	tenant, limits, ok := config.Tenant(req.tenantKey)
	if !ok {
		return nil, reject(errs.BadKey, ask.RequestID, 0, "the key is not in force")
	}
	req.tenant = tenant
	var refused *refusal
	p.traffic.Ask(func(table *trafficTable) {
		refused = table.admit(tenant, limits, p.bounds.MaxConcurrentRequests, countEdgeNodes(req.snapshot, false), req.startedAt)
	})
	if refused != nil {
		return nil, reject(refused.kind, ask.RequestID, refused.retryAfter, "%s", refused.reason)
	}
	req.ctx, req.cancel = context.WithTimeout(ctx, req.timeRemaining())
	return req, nil
}

func promptBytes(ask *caller.Ask) (size int) {
	for _, part := range ask.Parts {
		size += len(part)
	}
	return size
}

// claimID claims the ID of a once-only request before anything starts.
func (req *request) claimID() error {
	if !req.once {
		return nil
	}
	id := req.ask.RequestID
	nonce, granted, err := req.proxy.claims.acquire(req.ctx, onceID(req.tenant, id))
	if err != nil {
		req.claimNonce = nonce // it may have been granted
		return reject(errs.NotExecuted, id, req.proxy.bounds.Heal(claimRetryRatio), "its ID can't be claimed now: %v", err)
	}
	if !granted {
		return reject(errs.MayHaveExecuted, id, 0, "a once-only request with this ID was accepted before")
	}
	req.claimNonce = nonce
	return nil
}
