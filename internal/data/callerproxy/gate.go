package callerproxy

import (
	"maps"
	"time"

	"pebbleloom/internal/control/serviceconfig"
	"pebbleloom/internal/data/retrybudget"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/wire"
)

// gate is the one table of what is under way here, by tenant and by worker.
type gate struct {
	inflight int
	tenants  map[string]*tenantState
	workers  map[string]*workerState
	retries  map[string]*retrybudget.Budget
	meanUs   float64
	reports  map[string]*wire.AttemptReport
	edges    int // the most edge machines seen in this life
}

type tenantState struct {
	inflight int
	tokens   float64
	at       time.Duration
}

type workerState struct {
	attempts int
	failed   time.Duration
}

const (
	maxTenants = 4096
)

func newGate() *gate {
	return &gate{tenants: map[string]*tenantState{}, workers: map[string]*workerState{},
		retries: map[string]*retrybudget.Budget{}, meanUs: 100000, reports: map[string]*wire.AttemptReport{}}
}

// admit takes a request in, or says why not and when to come back. A tenant's budget is the
// site's: each of the living edges has its part of it.
func (g *gate) admit(tenant string, t serviceconfig.Tenant, most, edges int, now time.Duration) (k *errs.Kind, why string, back time.Duration) {
	if g.inflight >= most {
		return errs.Overloaded, "this dispatcher holds as many requests as it may", time.Duration(g.meanUs) * time.Microsecond
	}
	s := g.tenants[tenant]
	if s == nil {
		if len(g.tenants) >= maxTenants {
			maps.DeleteFunc(g.tenants, func(_ string, x *tenantState) bool { return x.inflight == 0 })
		}
		s = &tenantState{tokens: 1, at: now}
		g.tenants[tenant] = s
	}
	if t.Inflight > 0 && s.inflight >= int(retrybudget.Share(float64(t.Inflight), edges)) {
		return errs.OverBudget, "the tenant has as many requests under way as its budget allows", time.Duration(g.meanUs) * time.Microsecond
	}
	if rate := t.Rate / float64(max(1, edges)); rate > 0 {
		s.tokens = min(max(rate, 1), s.tokens+rate*(now-s.at).Seconds())
		s.at = now
		if s.tokens < 1 {
			return errs.OverBudget, "the tenant's rate is over its budget", time.Duration((1-s.tokens)/rate*float64(time.Second)) + time.Millisecond
		}
		s.tokens--
	}
	s.inflight++
	g.inflight++
	return nil, "", 0
}

func (g *gate) leave(tenant string) {
	g.inflight--
	if s := g.tenants[tenant]; s != nil && s.inflight > 0 {
		s.inflight--
	}
}

func (g *gate) worker(name string) *workerState {
	w := g.workers[name]
	if w == nil {
		if len(g.workers) > 2048 {
			clear(g.workers)
		}
		w = &workerState{}
		g.workers[name] = w
	}
	return w
}

// release gives back an attempt that was never sent.
func (g *gate) release(name string) {
	if w := g.worker(name); w.attempts > 0 {
		w.attempts--
	}
}

// ended notes how an attempt ended, for the choice of the next and for the runner's table.
func (g *gate) ended(name string, ok bool, took time.Duration, now time.Duration) {
	w := g.worker(name)
	if w.attempts > 0 {
		w.attempts--
	}
	r := g.reports[name]
	if r == nil {
		r = &wire.AttemptReport{Worker: name}
		g.reports[name] = r
	}
	if ok {
		r.Successes++
		g.meanUs = 0.95*g.meanUs + 0.05*float64(took.Microseconds())
		return
	}
	r.Failures++
	w.failed = now
}

// link notes what a fetch has shown of a class of link.
func (g *gate) link(class string, tokens int, took time.Duration) {
	r := g.reports["link/"+class]
	if r == nil {
		r = &wire.AttemptReport{LinkClass: class}
		g.reports["link/"+class] = r
	}
	r.LinkTokens += float64(tokens)
	r.LinkNs += float64(took)
}
