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
	// maxTenants is the number of tenants at which those without a request in flight are forgotten. A
	// tenant that is forgotten starts again with one token of its rate.
	maxTenants = 4096
	// maxWorkers is the number of workers above which all are forgotten, with their attempts in flight and
	// failures; the load that they report themselves still counts.
	maxWorkers = 2048
	// initialAttemptUs is the mean duration of an attempt before one has ended, in microseconds.
	initialAttemptUs = 100000
	// attemptSmoothing is the weight of a new duration in the moving average.
	attemptSmoothing = 0.05
)

// trafficTable is what this node has in flight, by tenant and by worker, and what its attempts have shown
// since the last report. The Proxy's actor guards it.
type trafficTable struct {
	inFlight      int // requests
	tenants       map[string]*tenantState
	workers       map[string]*workerState
	retryBudgets  *retrybudget.ByService
	meanAttemptUs float64                        // moving average of successful attempts
	reports       map[string]*wire.AttemptReport // by worker, or by class of links
	maxEdgeNodes  int                            // the most edge nodes seen by this process
}

// tenantState is one tenant's token bucket and requests in flight.
type tenantState struct {
	inFlight   int
	tokens     float64 // requests that may start now; one node's share of the tenant's rate refills it
	refilledAt time.Duration
}

// workerState is what this node knows of a worker by its own attempts.
type workerState struct {
	attempts int           // in flight or waiting
	failedAt time.Duration // instant of the last failed attempt; 0: none
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

// refusal is why a request isn't admitted, and when it may come again.
type admissionRejection struct {
	kind       *errs.Kind
	reason     string
	retryAfter time.Duration
}

// admit counts a request as in flight; if it may not be, it returns why. A tenant's limits are the site's:
// each of the live edge nodes has an equal share of them.
func (t *trafficTable) admit(tenant string, limits serviceconfig.Tenant, maxInFlight, edgeNodes int, now time.Duration) *admissionRejection {
	meanAttempt := time.Duration(t.meanAttemptUs) * time.Microsecond
	if t.inFlight >= maxInFlight {
		return &admissionRejection{errs.Overloaded, "this proxy has as many requests in flight as it may", meanAttempt}
	}
	state := t.tenant(tenant, now)
	if limits.MaxInFlight > 0 && state.inFlight >= int(retrybudget.PerNode(float64(limits.MaxInFlight), edgeNodes)) {
		return &admissionRejection{errs.RateLimited, "the tenant has as many requests in flight as its limit allows", meanAttempt}
	}
	if rate := limits.RequestsPerSecond / float64(max(1, edgeNodes)); rate > 0 {
		if wait := state.takeToken(rate, now); wait > 0 {
			return &admissionRejection{errs.RateLimited, "the tenant's rate is over its limit", wait}
		}
	}
	state.inFlight++
	t.inFlight++
	return nil
}

// tenant returns a tenant's state. A tenant that is new here starts with one token.
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

// takeToken takes a token of a bucket that is refilled at a rate, in tokens per second, and holds at most one
// second's worth, but at least one. If there is none, it returns the time until there is.
func (s *tenantState) takeToken(rate float64, now time.Duration) (wait time.Duration) {
	s.tokens = min(max(rate, 1), s.tokens+rate*(now-s.refilledAt).Seconds())
	s.refilledAt = now
	if s.tokens < 1 {
		return time.Duration((1-s.tokens)/rate*float64(time.Second)) + time.Millisecond
	}
	s.tokens--
	return 0
}

// endRequest ends a request that was admitted.
func (t *trafficTable) endRequest(tenant string) {
	t.inFlight--
	if state := t.tenants[tenant]; state != nil && state.inFlight > 0 {
		state.inFlight--
	}
}

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

// cancelAttempt ends an attempt that was never sent.
func (t *trafficTable) cancelAttempt(worker string) {
	if state := t.worker(worker); state.attempts > 0 {
		state.attempts--
	}
}

// endAttempt ends an attempt that was sent, for the next selection and for the report to the node agent.
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

// recordTransfer adds a fetch over a link to the report.
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

// depositRetryTokens counts a request's first attempt at a service.
func (t *trafficTable) depositRetryTokens(service string, snapshot *updatestream.Snapshot) {
	t.retryBudgets.Deposit(service, t.retryBudgetNodes(snapshot))
}

// spendRetryBudget reports whether the service's retry budget covers one more attempt, and spends it if so.
func (t *trafficTable) spendRetryBudget(service string, snapshot *updatestream.Snapshot) bool {
	return t.retryBudgets.TryWithdraw(service, t.retryBudgetNodes(snapshot))
}

// retryNodes is the number of nodes that share the retry budgets. Dead edge nodes count as long as they are
// remembered: one that is only partitioned still spends its share.
func (t *trafficTable) retryBudgetNodes(snapshot *updatestream.Snapshot) int {
	t.maxEdgeNodes = max(t.maxEdgeNodes, countEdgeNodes(snapshot, true))
	return t.maxEdgeNodes
}
