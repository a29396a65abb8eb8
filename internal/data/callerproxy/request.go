package callerproxy

import (
	"context"
	"fmt"
	"time"

	"pebbleloom/api/caller"
	"pebbleloom/internal/clock"
	"pebbleloom/internal/data/prefix"
	"pebbleloom/internal/data/updatestream"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/wire"
)

const (
	// recheckRatio of the configuration bound is the pause before a request whose attempt can't start yet
	// is looked at again.
	recheckRatio = 0.02
	// failureRetryRatio of the healing bound is the Retry-After where all attempts have failed.
	failedAttemptsRetryAfterRatio = 1.0 / 24
)

// request is one request of a caller: what it was admitted under, and what became of its attempts.
type request struct {
	proxy      *Proxy
	body       *caller.Ask
	tenantKey  string
	tenant     string
	atMostOnce bool            // it may be executed only once, whatever the outcome
	ctx        context.Context // done when the caller's wait is over, or it disconnects
	cancel     context.CancelFunc
	startedAt  time.Duration
	waitLimit  time.Duration // from startedAt: how long the caller waits for the first chunk

	snapshot             *updatestream.Snapshot // checked again right before each attempt starts
	entries              map[uint64][]prefix.Entry
	lookupResults        map[prefix.Key]*wire.LookupResult
	failedWorkers        map[string]bool // workers of failed attempts, by name
	retryTokensDeposited bool            // its first attempt was counted for the retry budget
	claimNonce           uint64          // of its claim; 0: none
	mayHaveExecuted      bool
}

// Answer answers one request; see the package's comment.
//
// Example: POST /v1/answers {"request_id": "r1", "model": "lector", "parts": ["…"], "wait_ms": 8000}
func (p *Proxy) Answer(ctx context.Context, body *caller.Ask, params caller.AnswerParams) (*caller.AnswerOKHeaders, error) {
	req, err := p.admit(ctx, body, params)
	if err != nil {
		return nil, err
	}
	if err := req.claimID(); err != nil {
		req.release()
		return nil, err
	}
	req.queryPromptIndex()
	for {
		started, err := req.tryWorker()
		if started != nil {
			started.release = req.release
			return &caller.AnswerOKHeaders{
				XRequestID:  body.RequestID,
				XWorker:     started.worker,
				XSetupEpoch: fmt.Sprint(req.snapshot.ConfigVersion),
				Response:    caller.AnswerOK{Data: started},
			}, nil
		}
		if err != nil {
			req.release()
			return nil, withoutNotExecuted(err, req.mayHaveExecuted)
		}
	}
}

// release ends the request. Its claim is released only if it is proven that nothing was executed: then the
// caller may send the ID again.
func (req *request) release() {
	req.cancel()
	req.proxy.traffic.Send(func(table *trafficTable) { table.endRequest(req.tenant) })
	if req.claimNonce != 0 && !req.mayHaveExecuted {
		req.proxy.claims.release(claimKey(req.tenant, req.body.RequestID), req.claimNonce)
	}
}

// lookUpPrefixes asks the prompt index who holds the prompt's prefixes.
func (req *request) queryPromptIndex() {
	req.entries = req.prefixEntries(nil)
	req.lookupResults = req.proxy.index.lookup(req.ctx, entryKeys(req.entries))
}

// tryWorker makes one attempt. It returns a stream that has started, or the request's final error; if
// neither, it may be called again.
func (req *request) tryWorker() (*stream, error) {
	proxy := req.proxy
	service, err := req.resolveRoute()
	if err != nil {
		return nil, err
	}
	choice, err := req.selectWorker(service)
	if err != nil {
		return nil, err
	}
	worker := choice.Worker
	deadline := req.startDeadline(worker)
	if ready, pause, err := req.mayStart(choice, service, deadline); !ready {
		proxy.traffic.Send(func(table *trafficTable) { table.cancelAttempt(worker.Name) })
		if pause > 0 {
			clock.Sleep(req.ctx, pause)
		}
		return nil, err
	}
	started, notExecuted, err := req.startAttempt(service, choice, deadline)
	req.mayHaveExecuted = req.mayHaveExecuted || !notExecuted
	if err == nil {
		return started, nil
	}
	req.failedWorkers[worker.Name] = true
	proxy.process.Log.Debug("callerproxy: attempt failed", "request", req.body.RequestID, "worker", worker.Name, "not_executed", notExecuted, "error", err)
	return nil, req.retryOrFail(service, worker.Name, notExecuted, err)
}

// resolveRoute takes over a newer configuration, and finds the service that the request is routed to.
func (req *request) resolveRoute() (service string, err error) {
	id := req.body.RequestID
	latest, err := req.proxy.freshSnapshot(id)
	if err != nil {
		return "", err
	}
	if latest.ConfigVersion != req.snapshot.ConfigVersion {
		if req.snapshot = latest; !latest.Config.KeyBelongsTo(req.tenantKey, req.tenant) {
			return "", reject(errs.BadKey, id, 0, "the key was revoked")
		}
		req.queryPromptIndex()
	}
	config := req.snapshot.Config
	route, ok := config.Routes[req.body.Model]
	if !ok {
		return "", reject(errs.NoSuchModel, id, 0, "no route leads to model %q", req.body.Model)
	}
	if target := targetFor(req.snapshot, req.body); !config.Allows(target.Adapter, req.tenant) {
		return "", reject(errs.NoSuchModel, id, 0, "adapter %q isn't for tenant %s", target.Adapter, req.tenant)
	}
	return route.ServiceFor(id), nil
}

// mayStart reports whether an attempt may start now: within the caller's wait, the deadline and the newest
// configuration. If not, and without an error, the request is looked at again after the pause.
func (req *request) mayStart(choice Choice, service string, deadline time.Duration) (ready bool, pause time.Duration, err error) {
	p, queued := req.proxy, time.Duration(choice.WaitUs)*time.Microsecond
	if req.timeRemaining() <= 0 || req.ctx.Err() != nil {
		return false, 0, reject(errs.NotExecuted, req.body.RequestID, 0, "the wait was over before an attempt could start")
	}
	if queued > req.timeRemaining() {
		return false, 0, reject(errs.Overloaded, req.body.RequestID, queued, "a slot is free in %.0f ms, after the wait is over", choice.WaitUs/1000)
	}
	if p.clock.Now()+queued > deadline { // the request waits here, where its configuration is checked again
		return false, p.bounds.Config(recheckRatio), nil
	}
	if !req.retryTokensDeposited {
		req.retryTokensDeposited = true
		p.traffic.Send(func(table *trafficTable) { table.depositRetryTokens(service, req.snapshot) })
	}
	return p.isCurrent(req.snapshot), 0, nil
}

// timeRemaining is how much of the caller's wait remains.
func (req *request) timeRemaining() time.Duration {
	return req.waitLimit - (req.proxy.clock.Now() - req.startedAt)
}

// retryOrFail returns nil if another attempt may follow a failed one, and else the request's final error.
func (req *request) retryOrFail(service, worker string, notExecuted bool, err error) error {
	p, id := req.proxy, req.body.RequestID
	retry, expired := false, req.ctx.Err() != nil
	if (notExecuted || !req.atMostOnce) && !expired {
		p.traffic.Ask(func(table *trafficTable) { retry = table.spendRetryBudget(service, req.snapshot) })
	}
	switch {
	case retry:
		p.stats.retries.Add(1)
		return nil
	case !req.mayHaveExecuted || !expired && !req.atMostOnce:
		return reject(errs.NotExecuted, id, p.bounds.Heal(failedAttemptsRetryAfterRatio), "worker %s: %v", worker, err)
	case req.atMostOnce:
		return reject(errs.MayHaveExecuted, id, 0, "worker %s: %v", worker, err)
	}
	return reject(errs.DeadlineExceeded, id, p.bounds.Heal(failedAttemptsRetryAfterRatio), "worker %s didn't begin in time", worker)
}
