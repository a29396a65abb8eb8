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
	// recheckRatio is the delay before a request whose attempt cannot start yet is evaluated again, as a fraction
	// of Bounds.Config, the bound on configuration staleness.
	recheckRatio = 0.02
	// failedAttemptsRetryAfterRatio is the Retry-After of a request whose attempts have all failed, as a
	// fraction of Bounds.Recovery, the bound on recovery time.
	failedAttemptsRetryAfterRatio = 1.0 / 24
)

// request is the state of one client request: the configuration that it was admitted under and the outcome of
// its attempts.
type request struct {
	proxy      *Proxy
	body       *caller.Ask // decoded JSON body
	tenantKey  string
	tenant     string
	atMostOnce bool            // whether the request must not be executed twice, even if the outcome of an attempt is unknown
	ctx        context.Context // canceled when waitLimit has elapsed or the client disconnects
	cancel     context.CancelFunc
	startedAt  time.Duration // when the request arrived, by the process's clock
	waitLimit  time.Duration // time limit of the request from startedAt: the client's wait_ms, capped by the configuration

	snapshot             *updatestream.Snapshot    // configuration and workers; its freshness is checked again right before each attempt
	entries              map[uint64][]prefix.Entry // prefix entries of the prompt, by version of the model weights
	lookupResults        map[prefix.Key]*wire.LookupResult
	failedWorkers        map[string]bool // names of the workers at which an attempt of this request has failed
	retryTokensDeposited bool            // whether the request's first attempt has been credited to the retry budget of its service
	claimNonce           uint64          // nonce of the claim on the request ID; 0 if there is no claim
	mayHaveExecuted      bool
}

// Answer handles a client's request for a streamed model response. The package comment describes the steps.
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

// release ends the request and stops counting it as in flight. The claim on its ID is released only if the
// request is proven not to have been executed; the client may then send the same ID again.
func (req *request) release() {
	req.cancel()
	req.proxy.traffic.Send(func(table *trafficTable) { table.endRequest(req.tenant) })
	if req.claimNonce != 0 && !req.mayHaveExecuted {
		req.proxy.claims.release(claimKey(req.tenant, req.body.RequestID), req.claimNonce)
	}
}

// queryPromptIndex computes the prompt's prefix entries and asks the prompt index which workers hold them.
func (req *request) queryPromptIndex() {
	req.entries = req.prefixEntries(nil)
	req.lookupResults = req.proxy.index.lookup(req.ctx, entryKeys(req.entries))
}

// tryWorker makes one attempt to run the request on a worker. It returns the response stream if the attempt has
// started, or the request's final error. If both are nil, Answer calls it again.
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
	proxy.process.Log.Debug("callerproxy: attempt to run a request on a worker failed", "request", req.body.RequestID, "worker", worker.Name, "not_executed", notExecuted, "error", err)
	return nil, req.retryOrFail(service, worker.Name, notExecuted, err)
}

// resolveRoute returns the service that the request is routed to. If the configuration has a new version, the
// request switches to it first: the tenant key is checked again, and the prompt index is queried again.
func (req *request) resolveRoute() (service string, err error) {
	id := req.body.RequestID
	latest, err := req.proxy.freshSnapshot(id)
	if err != nil {
		return "", err
	}
	if latest.ConfigVersion != req.snapshot.ConfigVersion {
		if req.snapshot = latest; !latest.Config.KeyBelongsTo(req.tenantKey, req.tenant) {
			return "", reject(errs.BadKey, id, 0, "tenant key was revoked while the request was being processed")
		}
		req.queryPromptIndex()
	}
	config := req.snapshot.Config
	route, ok := config.Routes[req.body.Model]
	if !ok {
		return "", reject(errs.NoSuchModel, id, 0, "no route is configured for model %q", req.body.Model)
	}
	if target := targetFor(req.snapshot, req.body); !config.Allows(target.Adapter, req.tenant) {
		return "", reject(errs.NoSuchModel, id, 0, "adapter %q is not available to tenant %s", target.Adapter, req.tenant)
	}
	return route.ServiceFor(id), nil
}

// mayStart reports whether an attempt may be sent now: within the client's time limit, before the worker's start
// deadline, and under the latest configuration. If it returns neither true nor an error, tryWorker sleeps for the
// returned pause, and a worker is selected anew.
func (req *request) mayStart(choice Choice, service string, deadline time.Duration) (ready bool, pause time.Duration, err error) {
	p, queued := req.proxy, time.Duration(choice.WaitUs)*time.Microsecond
	if req.timeRemaining() <= 0 || req.ctx.Err() != nil {
		return false, 0, reject(errs.NotExecuted, req.body.RequestID, 0, "the request's time limit was reached before an attempt could start")
	}
	if queued > req.timeRemaining() {
		return false, 0, reject(errs.Overloaded, req.body.RequestID, queued, "expected queueing time of %.0f ms exceeds the request's remaining time", choice.WaitUs/1000)
	}
	if p.clock.Now()+queued > deadline { // wait in the proxy, not in the worker's queue, so that the configuration is checked again before sending
		return false, p.bounds.Config(recheckRatio), nil
	}
	if !req.retryTokensDeposited {
		req.retryTokensDeposited = true
		p.traffic.Send(func(table *trafficTable) { table.depositRetryTokens(service, req.snapshot) })
	}
	return p.isCurrent(req.snapshot), 0, nil
}

// timeRemaining returns the part of the request's time limit that is left; it is negative once the limit has
// passed.
func (req *request) timeRemaining() time.Duration {
	return req.waitLimit - (req.proxy.clock.Now() - req.startedAt)
}

// retryOrFail decides what follows a failed attempt: nil if the request may be retried, else its final error.
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
		return reject(errs.NotExecuted, id, p.bounds.Recovery(failedAttemptsRetryAfterRatio), "attempt on worker %s failed: %v", worker, err)
	case req.atMostOnce:
		return reject(errs.MayHaveExecuted, id, 0, "attempt on worker %s failed: %v", worker, err)
	}
	return reject(errs.DeadlineExceeded, id, p.bounds.Recovery(failedAttemptsRetryAfterRatio), "worker %s did not start the response within the request's time limit", worker)
}
