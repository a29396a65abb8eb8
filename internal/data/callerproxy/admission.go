package callerproxy

import (
	"context"
	"time"

	"pebbleloom/api/caller"
	"pebbleloom/internal/errs"
)

// claimRetryAfterRatio is the Retry-After of a request whose ID cannot be claimed, as a fraction of Bounds.Recovery, the
// bound on recovery time.
const claimRetryAfterRatio = 1.0 / 12

// admit checks a request against the latest configuration and the tenant's limits, and counts it as in flight. The
// error is the request's rejection.
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
		return nil, reject(errs.TooLarge, body.RequestID, 0, "prompt parts: %d bytes in total, at most %d are allowed", size, limit)
	}
	tenant, limits, ok := config.Tenant(req.tenantKey)
	if !ok {
		return nil, reject(errs.BadKey, body.RequestID, 0, "tenant key is not in the current configuration")
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

// promptBytes returns the total size of the prompt's parts in bytes.
func promptBytes(body *caller.Ask) (size int) {
	for _, part := range body.Parts {
		size += len(part)
	}
	return size
}

// claimID claims the ID of an at-most-once request before its first attempt. It does nothing for other requests.
func (req *request) claimID() error {
	if !req.atMostOnce {
		return nil
	}
	id := req.body.RequestID
	nonce, granted, err := req.proxy.claims.acquire(req.ctx, claimKey(req.tenant, id))
	if err != nil {
		req.claimNonce = nonce // the claim may have been granted despite the error, so release has to give it up
		return reject(errs.NotExecuted, id, req.proxy.bounds.Recovery(claimRetryAfterRatio), "cannot claim the ID of the at-most-once request: %v", err)
	}
	if !granted {
		return reject(errs.MayHaveExecuted, id, 0, "an at-most-once request with the same ID was accepted earlier")
	}
	req.claimNonce = nonce
	return nil
}
