package callerproxy

import (
	"context"
	"time"

	"pebbleloom/api/caller"
	"pebbleloom/internal/errs"
)

// claimRetryRatio of the healing bound is the Retry-After where a request's ID can't be claimed.
const claimRetryAfterRatio = 1.0 / 12

// admit admits a request under the newest configuration, or rejects it.
func (p *Proxy) admit(ctx context.Context, body *caller.Ask, params caller.AnswerParams) (*request, error) {
	req := &request{proxy: p, body: body, tenantKey: params.XTenantKey, atMostOnce: body.Once.Or(false), startedAt: p.clock.Now(), failedWorkers: map[string]bool{}}
	var err error
	if req.snapshot, err = p.freshSnapshot(body.RequestID); err != nil {
		return nil, err
	}
	config := req.snapshot.Config
	req.waitLimit = time.Duration(body.WaitMs) * time.Millisecond
	if config.MaxWaitMs > 0 {
		req.waitLimit = min(req.waitLimit, time.Duration(config.MaxWaitMs)*time.Millisecond)
	}
	if size, limit := promptBytes(body), p.bounds.MaxBodyKB<<10; size > limit {
		return nil, reject(errs.TooLarge, body.RequestID, 0, "parts: %d bytes, at most %d", size, limit)
	}
	tenant, limits, ok := config.Tenant(req.tenantKey)
	if !ok {
		return nil, reject(errs.BadKey, body.RequestID, 0, "the key is not in force")
	}
	req.tenant = tenant
	var rejected *admissionRejection
	p.traffic.Ask(func(table *trafficTable) {
		rejected = table.admit(tenant, limits, p.bounds.MaxConcurrentRequests, countEdgeNodes(req.snapshot, false), req.startedAt)
	})
	if rejected != nil {
		return nil, reject(rejected.kind, body.RequestID, rejected.retryAfter, "%s", rejected.reason)
	}
	req.ctx, req.cancel = context.WithTimeout(ctx, req.timeRemaining())
	return req, nil
}

func promptBytes(body *caller.Ask) (size int) {
	for _, part := range body.Parts {
		size += len(part)
	}
	return size
}

// claimID claims the ID of a once-only request before anything starts.
func (req *request) claimID() error {
	if !req.atMostOnce {
		return nil
	}
	id := req.body.RequestID
	nonce, granted, err := req.proxy.claims.acquire(req.ctx, claimKey(req.tenant, id))
	if err != nil {
		req.claimNonce = nonce // it may have been granted
		return reject(errs.NotExecuted, id, req.proxy.bounds.Heal(claimRetryAfterRatio), "its ID can't be claimed now: %v", err)
	}
	if !granted {
		return reject(errs.MayHaveExecuted, id, 0, "a once-only request with this ID was accepted before")
	}
	req.claimNonce = nonce
	return nil
}
