package callerproxy

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"pebbleloom/api/caller"
	"pebbleloom/internal/clock"
	"pebbleloom/internal/contract"
	"pebbleloom/internal/control/serviceconfig"
	"pebbleloom/internal/data/placement"
	"pebbleloom/internal/data/prefix"
	"pebbleloom/internal/data/updatestream"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/wire"
)

// denial is an error with the time to come back.
type denial struct {
	error
	id   string
	back time.Duration
}

func (d denial) Unwrap() error { return d.error }

func deny(k *errs.Kind, id string, back time.Duration, format string, a ...any) error {
	// A little spread, so that those who were denied together don't come back together.
	back += time.Duration(rand.Int64N(int64(back)/2 + int64(50*time.Millisecond)))
	return denial{errs.New(k, format, a...), id, back}
}

// Answer carries one request: gate, index, choice, go, stream.
//
// Example: POST /v1/answers {"request_id": "r1", "model": "lector", "parts": ["…"], "wait_ms": 8000}
func (d *Dispatcher) Answer(ctx context.Context, q *caller.Ask, h caller.AnswerParams) (*caller.AnswerOKHeaders, error) {
	t0 := d.clk.Now()
	back := d.b.Config(0.25)
	s, err := d.pin(q.RequestID)
	if err != nil {
		return nil, err
	}
	wait := time.Duration(q.WaitMs) * time.Millisecond
	if m := s.Config.WaitMaxMs; m > 0 {
		wait = min(wait, time.Duration(m)*time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	size := 0
	for _, p := range q.Parts {
		size += len(p)
	}
	if size > d.b.BodyKB<<10 {
		cancel()
		return nil, deny(errs.TooBig, q.RequestID, 0, "parts: %d bytes, at most %d", size, d.b.BodyKB<<10)
	}
	tenant, t, ok := s.Config.Tenant(h.XTenantKey)
	if !ok {
		cancel()
		return nil, deny(errs.BadKey, q.RequestID, 0, "the key is not in force")
	}
	var why string
	kind := errs.OverBudget
	d.gate.Ask(func(g *gate) { kind, why, back = g.admit(tenant, t, d.b.Waiting, edges(s, false), t0) })
	if why != "" {
		cancel()
		return nil, deny(kind, q.RequestID, back, "%s", why)
	}
	mayHaveRun := false
	var nonce uint64
	leave := func() {
		cancel()
		d.gate.TrySend(func(g *gate) { g.leave(tenant) })
		if nonce != 0 && !mayHaveRun {
			d.claims.back(claimID(tenant, q.RequestID), nonce) // proved not to have run: the id may be sent again
		}
	}
	if q.Once.Or(false) {
		var granted bool
		if nonce, granted, err = d.claims.take(ctx, claimID(tenant, q.RequestID)); err != nil {
			leave()
			return nil, deny(errs.NotRun, q.RequestID, d.b.Heal(1.0/12), "its id can't be claimed now: %v", err)
		} else if !granted {
			nonce = 0
			leave()
			return nil, deny(errs.MayHaveRun, q.RequestID, 0, "a once-only request of this id was taken before")
		}
	}
	es := d.entries(s, q, tenant, nil)
	found := d.index.seek(ctx, keysOf(es))
	// Every end below goes through give: once a go may have run, no denial says that it didn't.
	give := func(err error) (*caller.AnswerOKHeaders, error) { leave(); return nil, honest(err, mayHaveRun) }
	tried := map[string]bool{}
	for n := 0; ; {
		// The pinned epoch is checked again right before every go starts.
		if now, err := d.pin(q.RequestID); err != nil {
			return give(err)
		} else if now.ConfigVersion != s.ConfigVersion {
			if s = now; !s.Config.KeyBelongsTo(h.XTenantKey, tenant) {
				return give(deny(errs.BadKey, q.RequestID, 0, "the key was taken out of force"))
			}
			es = d.entries(s, q, tenant, nil)
			found = d.index.seek(ctx, keysOf(es))
		}
		way, ok := s.Config.Routes[q.Model]
		if !ok {
			return give(deny(errs.NoModel, q.RequestID, 0, "no way leads to model %q", q.Model))
		}
		if on := target(s, q); !s.Config.Allows(on.Adapter, tenant) {
			return give(deny(errs.NoModel, q.RequestID, 0, "adapter %q isn't for tenant %s", on.Adapter, tenant))
		}
		service := way.ServiceFor(q.RequestID)
		c, err := d.pickWorker(s, q, tenant, service, es, found, tried)
		if err != nil {
			return give(err)
		}
		until := d.until(s, q, c.Worker)
		if left := wait - (d.clk.Now() - t0); time.Duration(c.Wait)*time.Microsecond > left || ctx.Err() != nil {
			d.gate.TrySend(func(g *gate) { g.release(c.Worker.Name) })
			if left <= 0 || ctx.Err() != nil {
				return give(deny(errs.NotRun, q.RequestID, back, "the wait was over before a go could start"))
			}
			return give(deny(errs.Overloaded, q.RequestID, time.Duration(c.Wait)*time.Microsecond, "a slot is free in %.0f ms, after the wait is over", c.Wait/1000))
		}
		if now := d.clk.Now(); now+time.Duration(c.Wait)*time.Microsecond > until { // it waits here, where it is looked at again
			d.gate.TrySend(func(g *gate) { g.release(c.Worker.Name) })
			clock.Pause(ctx, d.b.Config(0.02))
			continue
		}
		if n == 0 {
			n++
			d.gate.TrySend(func(g *gate) { d.tries(g, service).First(d.allowance(g, s)) })
		}
		if !d.current(s) { // a new setup came while this was thought over
			d.gate.TrySend(func(g *gate) { g.release(c.Worker.Name) })
			continue
		}
		var out *stream
		var notRun bool
		out, notRun, err = d.start(ctx, s, q, tenant, service, c, wait-(d.clk.Now()-t0), until)
		mayHaveRun = mayHaveRun || !notRun
		if err == nil {
			out.leave = leave
			return &caller.AnswerOKHeaders{XRequestID: q.RequestID, XWorker: c.Worker.Name, XSetupEpoch: fmt.Sprint(s.ConfigVersion),
				Response: caller.AnswerOK{Data: out}}, nil
		}
		tried[c.Worker.Name] = true
		d.life.Log.Debug("go failed", "request", q.RequestID, "worker", c.Worker.Name, "not_run", notRun, "error", err)
		again, late := false, ctx.Err() != nil
		if (notRun || !q.Once.Or(false)) && !late {
			d.gate.Ask(func(g *gate) { again = d.tries(g, service).Extra(d.allowance(g, s)) })
		}
		if again {
			d.stats.extra.Add(1)
			continue
		}
		switch {
		case !mayHaveRun || !late && !q.Once.Or(false):
			return give(deny(errs.NotRun, q.RequestID, d.b.Heal(1.0/24), "worker %s: %v", c.Worker.Name, err))
		case q.Once.Or(false):
			return give(deny(errs.MayHaveRun, q.RequestID, 0, "worker %s: %v", c.Worker.Name, err))
		}
		return give(deny(errs.Expired, q.RequestID, d.b.Heal(1.0/24), "worker %s didn't begin in time", c.Worker.Name))
	}
}

// honest makes a denial that says "nothing ran" into one that says what is known.
func honest(err error, mayHaveRun bool) error {
	var x denial
	if !mayHaveRun || !errors.As(err, &x) {
		return err
	}
	switch errs.KindOf(x.error) {
	case errs.Expired, errs.MayHaveRun:
		return err
	}
	return denial{errs.New(errs.MayHaveRun, "an earlier go may have run; then: %v", x.error), x.id, x.back}
}

// pin gives the newest setup if it is proved fresh enough to follow.
func (d *Dispatcher) pin(id string) (*updatestream.Snapshot, error) {
	s := d.fol.Now()
	if d.stopping() {
		return nil, deny(errs.NotRun, id, d.b.Config(0.1), "this dispatcher is draining: ask another")
	}
	if !s.Fresh(d.clk.Now(), d.b.Config(0.8)) {
		return nil, deny(errs.NotRun, id, d.b.Config(0.25), "no proof that the setup is the newest")
	}
	return s, nil
}

// current tells whether a pinned setup is still the newest, and proved so.
func (d *Dispatcher) current(s *updatestream.Snapshot) bool {
	n := d.fol.Now()
	return n.ConfigVersion == s.ConfigVersion && n.Fresh(d.clk.Now(), d.b.Config(0.8))
}

// entries names a prompt's prefixes under each weights epoch that may still start. Which
// ones may is asked anew every time; the names in have, made under the same setup, are used
// again, since hashing a long prompt takes its time.
func (d *Dispatcher) entries(s *updatestream.Snapshot, q *caller.Ask, tenant string, have map[uint64][]prefix.Entry) map[uint64][]prefix.Entry {
	m := map[uint64][]prefix.Entry{}
	on := target(s, q)
	w := s.WeightsAt[on.Model]
	service := s.Config.Routes[q.Model].ServiceFor(q.RequestID)
	for _, x := range s.Workers {
		if x.Service != service || x.State == updatestream.WorkerGone {
			continue
		}
		if x = under(x, on); x == nil {
			continue
		}
		if _, ok := m[x.Weights]; ok {
			continue
		}
		if x.Weights == w.Weights || d.older(w, x.Weights) > 0 {
			if es, ok := have[x.Weights]; ok {
				m[x.Weights] = es
				continue
			}
			m[x.Weights] = chain(s, on, tenant, x.Weights, q.Parts)
		}
	}
	return m
}

// until is the instant up to which a go may begin at a worker: the setup must be one that is
// followed then, and the worker's weights ones that may start. The bounds themselves are a
// little later; a worker that isn't told apart by its clock is held to them by the wait alone.
func (d *Dispatcher) until(s *updatestream.Snapshot, q *caller.Ask, w *wire.Worker) time.Duration {
	t := s.ProofAt + d.b.Config(0.95)
	if not, _, ok := s.WeightsAt[target(s, q).Model].Since(w.Weights); ok {
		t = min(t, not+d.b.Weights(0.95))
	}
	return t
}

// beginBy puts an instant here into the worker's own clock. That clock was read before its word
// came here, so what it shows then is reached no later than the instant is here, however long
// the start is under way.
func beginBy(w *wire.Worker, until time.Duration) int64 {
	if w.ClockNs == 0 {
		return 0
	}
	return int64(w.ClockNs/1000) + (until - time.Duration(w.ClockAt)).Microseconds()
}

// older tells how long superseded weights may still start; zero: no more.
func (d *Dispatcher) older(w updatestream.WeightsHistory, weights uint64) time.Duration {
	not, _, ok := w.Since(weights)
	if !ok || weights == 0 {
		return 0
	}
	return max(0, not+d.b.Weights(0.85)-d.clk.Now())
}

func keysOf(m map[uint64][]prefix.Entry) []prefix.Key {
	var ks []prefix.Key
	for _, es := range m {
		for _, e := range es {
			ks = append(ks, e.Key)
		}
	}
	return ks
}

// pickWorker picks the worker of the next go.
func (d *Dispatcher) pickWorker(s *updatestream.Snapshot, q *caller.Ask, tenant, service string, es map[uint64][]prefix.Entry, found map[prefix.Key]*wire.Found, tried map[string]bool) (Choice, error) {
	p, on := s.Placements[service], target(s, q)
	u := Query{ID: q.RequestID, Mode: modeOf(s.Config, service), District: d.life.Place.Zone, Entries: d.entries(s, q, tenant, es), Found: found,
		Tried: tried, Newest: s.WeightsAt[on.Model].Weights, Placement: p, Curve: d.curve, NearB: d.near.Load(), FarB: d.far.Load(), StoreB: d.storeB.Load(), Stores: map[string]string{}}
	if p != nil {
		u.Curve = p.Prefill
	}
	now := d.clk.Now()
	for _, w := range s.Workers {
		if w.Kind == "store" && w.State == updatestream.WorkerUp {
			u.Stores[w.Name] = w.Addr
		}
		if x := under(w, on); x != nil && w.Service == service && w.State <= updatestream.WorkerUnsure {
			u.Workers = append(u.Workers, x)
		}
	}
	var c Choice
	ok := false
	d.gate.Ask(func(g *gate) {
		u.MeanUs = g.meanUs
		var up []*wire.Worker
		for _, w := range u.Workers {
			// A worker that has just failed a go here waits for its next good probe.
			if x := g.workers[w.Name]; x == nil || x.failed == 0 || now-x.failed > d.b.Leave(0.3) {
				up = append(up, w)
			}
		}
		u.Workers = up
		loads := make(map[string]float64, len(up))
		for _, w := range up {
			loads[w.Name] = float64(w.Busy + w.Queued)
			if x := g.workers[w.Name]; x != nil {
				loads[w.Name] = max(loads[w.Name], float64(x.goes))
			}
		}
		u.Load = func(n string) float64 { return loads[n] }
		if c, ok = Pick(u); ok {
			g.worker(c.Worker.Name).goes++
		}
	})
	if !ok {
		return c, deny(errs.NotRun, q.RequestID, d.b.Leave(0.3), "no worker of service %s can take it now", service)
	}
	return c, nil
}

func modeOf(s *serviceconfig.Config, service string) string {
	if m := s.Services[service].Placement; m != "" {
		return m
	}
	return "hrcs"
}

// start begins a go and waits for its first line. Where it fails, notRun is the proof that
// the go never started.
func (d *Dispatcher) start(ctx context.Context, s *updatestream.Snapshot, q *caller.Ask, tenant, service string, c Choice, left, until time.Duration) (*stream, bool, error) {
	ctx, stop := context.WithCancel(ctx)
	w := c.Worker
	o := &stream{d: d, id: q.RequestID, worker: w.Name, district: w.District, began: d.clk.Now(), stop: stop, snap: s}
	watch := time.AfterFunc(d.b.Leave(0.2), func() { d.watch(o, w, stop) })
	o.watch = watch
	hints := map[string]string{}
	if c.Fetches != "" {
		hints[contract.FetchFrom] = c.Fetches
	}
	if c.Saves != "" {
		hints[contract.SaveTo], hints[contract.SaveUpto] = c.Saves, fmt.Sprint(c.SaveUpto)
	}
	on := target(s, q)
	g := d.be.Begin(ctx, w.Addr, contract.Start{RequestID: q.RequestID, Tenant: tenant, Domain: s.Config.Domain(tenant), Model: on.Model, Adapter: on.Adapter, Build: on.Build,
		Weights: w.Weights, Parts: q.Parts, Pieces: q.Pieces.Or(16), WaitMs: int(min(left, until-d.clk.Now()).Milliseconds()), Once: q.Once.Or(false),
		Incarnation: w.Incarnation, BeginByUs: beginBy(w, until)}, hints)
	if g.Err != nil {
		o.end(false)
		return nil, g.NotRun(), g.Err
	}
	d.index.count(service, c.Entries, w.Name, c.SaveTo, c.SaveUpto)
	o.body, o.r, o.check = g.Body, bufio.NewReaderSize(g.Body, contract.MaxLine), contract.NewCheck(q.RequestID, w.Name)
	if err := o.next(); err != nil {
		o.end(false)
		return nil, false, err
	}
	d.decided(q.RequestID, s, c)
	return o, false, nil
}

// watch gives up a go whose worker has gone: its silence is not waited out.
func (d *Dispatcher) watch(o *stream, w *wire.Worker, stop func()) {
	for _, x := range d.fol.Now().Workers {
		if x.Name == w.Name && x.Addr == w.Addr && x.State != updatestream.WorkerGone && (x.Incarnation == w.Incarnation || w.Incarnation == "") {
			o.again(d.b.Leave(0.2), func() { d.watch(o, w, stop) })
			return
		}
	}
	stop()
}

// PlacementFor gives the placement in use for a service, for those who explain choices.
//
// Example: p := d.PlacementFor("lector")
func (d *Dispatcher) PlacementFor(service string) *placement.Placement {
	if s := d.fol.Now(); s != nil {
		return s.Placements[service]
	}
	return nil
}
