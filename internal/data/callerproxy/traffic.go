package callerproxy

import (
	"maps"
	"time"

	"pebbleloom/internal/control/serviceconfig"
	"pebbleloom/internal/data/retrybudget"
	"pebbleloom/internal/data/updatestream"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

const (
	// maxTenants is the number of tracked tenants at which the state of all tenants without a request in flight
	// is discarded. A tenant whose state was discarded starts again with one rate limit token.
	maxTenants = 4096
	// maxWorkers is the number of tracked workers above which the state of all workers is discarded, including
	// their attempts in flight and recent failures. The load that workers report themselves still counts.
	maxWorkers = 2048
	// initialAttemptUs is the assumed mean duration of an attempt until one has succeeded, in microseconds.
	initialAttemptUs = 100000
	// attemptSmoothing is the weight of a new sample in the exponential moving average of attempt durations.
	attemptSmoothing = 0.05
)

// trafficTable tracks this node's requests in flight by tenant, its attempts by worker, and the results of attempts
// that have not been reported to the node agent yet. It is accessed only through the actor Proxy.traffic.
type trafficTable struct {
	inFlight      int // requests in flight on this node
	tenants       map[string]*tenantState
	workers       map[string]*workerState
	retryBudgets  *retrybudget.ByService
	meanAttemptUs float64                        // exponential moving average of the duration of successful attempts, in microseconds
	reports       map[string]*wire.AttemptReport // results not yet reported to the node agent, by worker name, or by "link/" and the link class
	maxEdgeNodes  int                            // largest number of edge nodes that this process has seen
}

// tenantState holds the rate limit token bucket and the number of requests in flight of one tenant on this node.
type tenantState struct {
	inFlight   int           // requests of the tenant in flight on this node
	tokens     float64       // rate limit tokens, one per request; refilled at this node's share of the tenant's rate limit
	refilledAt time.Duration // when the number of rate limit tokens was last updated, by the process's clock
}

// workerState is a worker's load and latest failure as observed by this node's own attempts.
type workerState struct {
	attempts int           // number of attempts of this node in flight or waiting at the worker
	failedAt time.Duration // when an attempt of this node at the worker last failed, by the process's clock; 0 if none has
}

func newTrafficTable(bounds settings.Bounds) *trafficTable {
	return &trafficTable{
		tenants:       map[string]*tenantState{},
		workers:       map[string]*workerState{},
		retryBudgets:  retrybudget.NewByService(float64(bounds.RetryPercent)/100, float64(bounds.RetryAllowance)),
		meanAttemptUs: initialAttemptUs,
		reports:       map[string]*wire.AttemptReport{},
	}
}

// admissionRejection is the reason why a request is not admitted, and the time after which it may be retried.
type admissionRejection struct {
	kind       *errs.Kind
	reason     string
	retryAfter time.Duration
}

// admit counts a request as in flight and returns nil, or returns the reason why the request is rejected. A tenant's
// limits apply to the whole site: each live edge node enforces an equal share of them.
func (t *trafficTable) admit(tenant string, limits serviceconfig.Tenant, maxInFlight, edgeNodes int, now time.Duration) *admissionRejection {
	meanAttempt := time.Duration(t.meanAttemptUs) * time.Microsecond
	if t.inFlight >= maxInFlight {
		return &admissionRejection{errs.Overloaded, "proxy has reached its limit of concurrent requests", meanAttempt}
	}
	state := t.tenant(tenant, now)
	if limits.MaxInFlight > 0 && state.inFlight >= int(retrybudget.PerNode(float64(limits.MaxInFlight), edgeNodes)) {
		return &admissionRejection{errs.RateLimited, "tenant has reached its limit of concurrent requests on this edge node", meanAttempt}
	}
	if rate := limits.RequestsPerSecond / float64(max(1, edgeNodes)); rate > 0 {
		if wait := state.takeToken(rate, now); wait > 0 {
			return &admissionRejection{errs.RateLimited, "tenant has exceeded its request rate limit", wait}
		}
	}
	state.inFlight++
	t.inFlight++
	return nil
}

// tenant returns the state of a tenant. A tenant that is not tracked yet starts with one rate limit token.
func (t *trafficTable) tenant(name string, now time.Duration) *tenantState {
	state := t.tenants[name]
	if state == nil {
		if len(t.tenants) >= maxTenants {
			maps.DeleteFunc(t.tenants, func(_ string, idle *tenantState) bool { return idle.inFlight == 0 })
		}
		state = &tenantState{tokens: 1, refilledAt: now}
		t.tenants[name] = state
	}
	return state
}

// takeToken takes one token from the tenant's token bucket. The bucket is refilled at the given rate in tokens per
// second, and its capacity is one second's worth of tokens, but at least one. Without a token it returns the time
// until the next one is available.
func (s *tenantState) takeToken(rate float64, now time.Duration) (wait time.Duration) {
	s.tokens = min(max(rate, 1), s.tokens+rate*(now-s.refilledAt).Seconds())
	s.refilledAt = now
	if s.tokens < 1 {
		return time.Duration((1-s.tokens)/rate*float64(time.Second)) + time.Millisecond
	}
	s.tokens--
	return 0
}

// endRequest stops counting an admitted request as in flight.
func (t *trafficTable) endRequest(tenant string) {
	t.inFlight--
	if state := t.tenants[tenant]; state != nil && state.inFlight > 0 {
		state.inFlight--
	}
}

// worker returns the state of a worker and creates it if necessary.
func (t *trafficTable) worker(name string) *workerState {
	state := t.workers[name]
	if state == nil {
		if len(t.workers) > maxWorkers {
			clear(t.workers)
		}
		state = &workerState{}
		t.workers[name] = state
	}
	return state
}

// cancelAttempt stops counting an attempt that was planned, but never sent to the worker.
func (t *trafficTable) cancelAttempt(worker string) {
	if state := t.worker(worker); state.attempts > 0 {
		state.attempts--
	}
}

// endAttempt stops counting an attempt that was sent to a worker. It records the result for worker selection and
// for the next report to the node agent.
func (t *trafficTable) endAttempt(worker string, ok bool, duration, now time.Duration) {
	state := t.worker(worker)
	if state.attempts > 0 {
		state.attempts--
	}
	report := t.reports[worker]
	if report == nil {
		report = &wire.AttemptReport{Worker: worker}
		t.reports[worker] = report
	}
	if ok {
		report.Successes++
		t.meanAttemptUs = (1-attemptSmoothing)*t.meanAttemptUs + attemptSmoothing*float64(duration.Microseconds())
		return
	}
	report.Failures++
	state.failedAt = now
}

// recordTransfer adds the size and duration of a prefix fetch to the next report to the node agent.
func (t *trafficTable) recordTransfer(class linkClass, tokens int, duration time.Duration) {
	key := "link/" + string(class)
	report := t.reports[key]
	if report == nil {
		report = &wire.AttemptReport{LinkClass: string(class)}
		t.reports[key] = report
	}
	report.LinkTokens += float64(tokens)
	report.LinkNs += float64(duration)
}

// depositRetryTokens credits the retry budget of a service with the first attempt of a request.
func (t *trafficTable) depositRetryTokens(service string, snapshot *updatestream.Snapshot) {
	t.retryBudgets.Deposit(service, t.retryBudgetNodes(snapshot))
}

// spendRetryBudget reports whether the retry budget of a service covers one more attempt, and withdraws it if so.
func (t *trafficTable) spendRetryBudget(service string, snapshot *updatestream.Snapshot) bool {
	return t.retryBudgets.TryWithdraw(service, t.retryBudgetNodes(snapshot))
}

// retryBudgetNodes returns the number of edge nodes that share the site's retry budgets: the largest number seen so
// far. Dead nodes count as well, because a node that is merely partitioned still spends its share.
func (t *trafficTable) retryBudgetNodes(snapshot *updatestream.Snapshot) int {
	t.maxEdgeNodes = max(t.maxEdgeNodes, countEdgeNodes(snapshot, true))
	return t.maxEdgeNodes
}
