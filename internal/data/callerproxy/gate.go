package callerproxy

import (
	"maps"
	"time"

	"pebbleloom/internal/control/serviceconfig"
	"pebbleloom/internal/data/retrybudget"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/wire"
)

// trafficTable is the one table of what is under way here, by tenant and by worker.
type trafficTable struct {
	inFlight      int
	tenants       map[string]*tenantState
	workers       map[string]*workerState
	retryBudgets  map[string]*retrybudget.Budget
	meanAttemptUs float64
	reports       map[string]*wire.AttemptReport
	maxEdgeNodes  int // the most edge machines seen in this life
}

type tenantState struct {
	inFlight   int
	tokens     float64
	refilledAt time.Duration
}

type workerState struct {
	attempts int
	failedAt time.Duration
}

const (
	maxTenants = 4096
)

func newTrafficTable() *trafficTable {
	return &trafficTable{tenants: map[string]*tenantState{}, workers: map[string]*workerState{},
		retryBudgets: map[string]*retrybudget.Budget{}, meanAttemptUs: 100000, reports: map[string]*wire.AttemptReport{}}
}

// admit takes a request in, or says why not and when to come back. A tenant's budget is the
// site's: each of the living edges has its part of it.
func (t *trafficTable) admit(tenant string, limits serviceconfig.Tenant, maxInFlight, edgeNodes int, now time.Duration) (kind *errs.Kind, why string, retryAfter time.Duration) {
	if t.inFlight >= maxInFlight {
		return errs.Overloaded, "this dispatcher holds as many requests as it may", time.Duration(t.meanAttemptUs) * time.Microsecond
	}
	state := t.tenants[tenant]
	if state == nil {
		if len(t.tenants) >= maxTenants {
			maps.DeleteFunc(t.tenants, func(_ string, x *tenantState) bool { return x.inFlight == 0 })
		}
		state = &tenantState{tokens: 1, refilledAt: now}
		t.tenants[tenant] = state
	}
	if limits.MaxInFlight > 0 && state.inFlight >= int(retrybudget.PerNode(float64(limits.MaxInFlight), edgeNodes)) {
		return errs.RateLimited, "the tenant has as many requests under way as its budget allows", time.Duration(t.meanAttemptUs) * time.Microsecond
	}
	if rate := limits.RequestsPerSecond / float64(max(1, edgeNodes)); rate > 0 {
		state.tokens = min(max(rate, 1), state.tokens+rate*(now-state.refilledAt).Seconds())
		state.refilledAt = now
		if state.tokens < 1 {
			return errs.RateLimited, "the tenant's rate is over its budget", time.Duration((1-state.tokens)/rate*float64(time.Second)) + time.Millisecond
		}
		state.tokens--
	}
	state.inFlight++
	t.inFlight++
	return nil, "", 0
}

func (t *trafficTable) endRequest(tenant string) {
	t.inFlight--
	if s := t.tenants[tenant]; s != nil && s.inFlight > 0 {
		s.inFlight--
	}
}

func (t *trafficTable) worker(name string) *workerState {
	w := t.workers[name]
	if w == nil {
		if len(t.workers) > 2048 {
			clear(t.workers)
		}
		w = &workerState{}
		t.workers[name] = w
	}
	return w
}

// cancelAttempt gives back an attempt that was never sent.
func (t *trafficTable) cancelAttempt(name string) {
	if w := t.worker(name); w.attempts > 0 {
		w.attempts--
	}
}

// endAttempt notes how an attempt ended, for the choice of the next and for the runner's table.
func (t *trafficTable) endAttempt(name string, ok bool, took time.Duration, now time.Duration) {
	w := t.worker(name)
	if w.attempts > 0 {
		w.attempts--
	}
	r := t.reports[name]
	if r == nil {
		r = &wire.AttemptReport{Worker: name}
		t.reports[name] = r
	}
	if ok {
		r.Successes++
		t.meanAttemptUs = 0.95*t.meanAttemptUs + 0.05*float64(took.Microseconds())
		return
	}
	r.Failures++
	w.failedAt = now
}

// recordTransfer notes what a fetch has shown of a class of link.
func (t *trafficTable) recordTransfer(class string, tokens int, took time.Duration) {
	r := t.reports["link/"+class]
	if r == nil {
		r = &wire.AttemptReport{LinkClass: class}
		t.reports["link/"+class] = r
	}
	r.LinkTokens += float64(tokens)
	r.LinkNs += float64(took)
}
