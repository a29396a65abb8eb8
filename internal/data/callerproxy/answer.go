package callerproxy

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"pebbleloom/api/caller"
	"pebbleloom/internal/clock"
	"pebbleloom/internal/data/prefix"
	"pebbleloom/internal/data/updatestream"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/wire"
)

// rejection is an error with the time to come back.
type rejection struct {
	error
	id   string
	back time.Duration
}

func (r rejection) Unwrap() error { return r.error }

func reject(k *errs.Kind, id string, back time.Duration, format string, a ...any) error {
	// A little spread, so that those who were rejected together don't come back together.
	back += time.Duration(rand.Int64N(int64(back)/2 + int64(50*time.Millisecond)))
	return rejection{errs.New(k, format, a...), id, back}
}

// Answer carries one request: admission, claim, index, choice, attempt, stream.
//
// Example: POST /v1/answers {"request_id": "r1", "model": "lector", "parts": ["…"], "wait_ms": 8000}
func (d *Proxy) Answer(ctx context.Context, q *caller.Ask, h caller.AnswerParams) (*caller.AnswerOKHeaders, error) {
	r, err := d.admit(ctx, q, h)
	if err != nil {
		return nil, err
	}
	if err := r.claim(); err != nil {
		r.leave()
		return nil, err
	}
	r.lookUp()
	for {
		out, err := r.attempt()
		if out != nil {
			out.leave = r.leave
			return &caller.AnswerOKHeaders{XRequestID: q.RequestID, XWorker: out.worker, XSetupEpoch: fmt.Sprint(r.config.ConfigVersion),
				Response: caller.AnswerOK{Data: out}}, nil
		}
		if err != nil { // once an attempt may have run, no rejection says that it didn't
			r.leave()
			return nil, honest(err, r.mayHaveRun)
		}
	}
}

// request is one request on its way: what it was admitted under, and what became of its attempts.
type request struct {
	d      *Proxy
	ask    *caller.Ask
	key    string
	tenant string
	once   bool
	ctx    context.Context // ends with its wait
	cancel context.CancelFunc
	began  time.Duration
	wait   time.Duration

	config     *updatestream.Snapshot // pinned: checked again right before each attempt starts
	entries    map[uint64][]prefix.Entry
	found      map[prefix.Key]*wire.LookupResult
	tried      map[string]bool // workers
	counted    bool            // its first attempt has earned its share of a retry
	nonce      uint64          // of its claim; 0: none
	mayHaveRun bool
}

// admit takes a request in under the newest configuration, or says why not and when to come back.
func (d *Proxy) admit(ctx context.Context, q *caller.Ask, h caller.AnswerParams) (*request, error) {
	r := &request{d: d, ask: q, key: h.XTenantKey, once: q.Once.Or(false), began: d.clk.Now(), tried: map[string]bool{}}
	var err error
	if r.config, err = d.pin(q.RequestID); err != nil {
		return nil, err
	}
	r.wait = time.Duration(q.WaitMs) * time.Millisecond
	if m := r.config.Config.WaitMaxMs; m > 0 {
		r.wait = min(r.wait, time.Duration(m)*time.Millisecond)
	}
	size := 0
	for _, p := range q.Parts {
		size += len(p)
	}
	if size > d.b.BodyKB<<10 {
		return nil, reject(errs.TooBig, q.RequestID, 0, "parts: %d bytes, at most %d", size, d.b.BodyKB<<10)
	}
	tenant, t, ok := r.config.Config.Tenant(r.key)
	if !ok {
		return nil, reject(errs.BadKey, q.RequestID, 0, "the key is not in force")
	}
	r.tenant = tenant
	var why string
	var back time.Duration
	kind := errs.OverBudget
	d.gate.Ask(func(g *gate) { kind, why, back = g.admit(tenant, t, d.b.Waiting, edges(r.config, false), r.began) })
	if why != "" {
		return nil, reject(kind, q.RequestID, back, "%s", why)
	}
	r.ctx, r.cancel = context.WithTimeout(ctx, r.wait-(d.clk.Now()-r.began))
	return r, nil
}

// leave gives back what the request held. A claim goes back only where it is proved that nothing
// has run: then its id may be sent again.
func (r *request) leave() {
	r.cancel()
	r.d.gate.TrySend(func(g *gate) { g.leave(r.tenant) })
	if r.nonce != 0 && !r.mayHaveRun {
		r.d.claims.back(claimID(r.tenant, r.ask.RequestID), r.nonce)
	}
}

// claim takes the id of a request that may run only once, before anything starts.
func (r *request) claim() error {
	if !r.once {
		return nil
	}
	nonce, granted, err := r.d.claims.take(r.ctx, claimID(r.tenant, r.ask.RequestID))
	if err != nil {
		r.nonce = nonce // it may have been granted
		return reject(errs.NotRun, r.ask.RequestID, r.d.b.Heal(1.0/12), "its id can't be claimed now: %v", err)
	}
	if !granted {
		return reject(errs.MayHaveRun, r.ask.RequestID, 0, "a once-only request of this id was taken before")
	}
	r.nonce = nonce
	return nil
}

// lookUp asks the index who holds the prompt's prefixes.
func (r *request) lookUp() {
	r.entries = r.d.entries(r.config, r.ask, r.tenant, nil)
	r.found = r.d.index.seek(r.ctx, keysOf(r.entries))
}

// attempt makes one attempt. Neither a stream nor an error: there may be another.
func (r *request) attempt() (*stream, error) {
	service, err := r.route()
	if err != nil {
		return nil, err
	}
	c, err := r.d.selectWorker(r.config, r.ask, r.tenant, service, r.entries, r.found, r.tried)
	if err != nil {
		return nil, err
	}
	until := r.d.until(r.config, r.ask, c.Worker)
	if ready, pause, err := r.ready(c, service, until); !ready {
		r.d.gate.TrySend(func(g *gate) { g.release(c.Worker.Name) })
		if pause > 0 {
			clock.Sleep(r.ctx, pause)
		}
		return nil, err
	}
	out, notRun, err := r.d.start(r.ctx, r.config, r.ask, r.tenant, service, c, r.left(), until)
	r.mayHaveRun = r.mayHaveRun || !notRun
	if err == nil {
		return out, nil
	}
	r.tried[c.Worker.Name] = true
	r.d.process.Log.Debug("attempt failed", "request", r.ask.RequestID, "worker", c.Worker.Name, "not_run", notRun, "error", err)
	return nil, r.afterFailure(service, c.Worker.Name, notRun, err)
}

// route checks the pinned configuration again, and finds the service that the request goes to.
func (r *request) route() (service string, err error) {
	id := r.ask.RequestID
	now, err := r.d.pin(id)
	if err != nil {
		return "", err
	}
	if now.ConfigVersion != r.config.ConfigVersion {
		if r.config = now; !now.Config.KeyBelongsTo(r.key, r.tenant) {
			return "", reject(errs.BadKey, id, 0, "the key was taken out of force")
		}
		r.lookUp()
	}
	route, ok := r.config.Config.Routes[r.ask.Model]
	if !ok {
		return "", reject(errs.NoModel, id, 0, "no route leads to model %q", r.ask.Model)
	}
	if on := target(r.config, r.ask); !r.config.Config.Allows(on.Adapter, r.tenant) {
		return "", reject(errs.NoModel, id, 0, "adapter %q isn't for tenant %s", on.Adapter, r.tenant)
	}
	return route.ServiceFor(id), nil
}

// ready reports whether an attempt may start now: inside the request's wait, the bounds of what it
// goes by, and the newest configuration. Without an error it is looked at again, after a pause.
func (r *request) ready(c Choice, service string, until time.Duration) (ready bool, pause time.Duration, err error) {
	d, queued := r.d, time.Duration(c.Wait)*time.Microsecond
	if r.left() <= 0 || r.ctx.Err() != nil {
		return false, 0, reject(errs.NotRun, r.ask.RequestID, 0, "the wait was over before an attempt could start")
	}
	if queued > r.left() {
		return false, 0, reject(errs.Overloaded, r.ask.RequestID, queued, "a slot is free in %.0f ms, after the wait is over", c.Wait/1000)
	}
	if d.clk.Now()+queued > until { // it waits here, where it is looked at again
		return false, d.b.Config(0.02), nil
	}
	if !r.counted {
		r.counted = true
		d.gate.TrySend(func(g *gate) { d.retries(g, service).First(d.allowance(g, r.config)) })
	}
	return d.current(r.config), 0, nil // else a new one came while this was thought over
}

// left is how much of the wait is left.
func (r *request) left() time.Duration { return r.wait - (r.d.clk.Now() - r.began) }

// afterFailure gives the request's final error; nil where another attempt may be made.
func (r *request) afterFailure(service, worker string, notRun bool, err error) error {
	d, id := r.d, r.ask.RequestID
	again, late := false, r.ctx.Err() != nil
	if (notRun || !r.once) && !late {
		d.gate.Ask(func(g *gate) { again = d.retries(g, service).Extra(d.allowance(g, r.config)) })
	}
	switch {
	case again:
		d.stats.extra.Add(1)
		return nil
	case !r.mayHaveRun || !late && !r.once:
		return reject(errs.NotRun, id, d.b.Heal(1.0/24), "worker %s: %v", worker, err)
	case r.once:
		return reject(errs.MayHaveRun, id, 0, "worker %s: %v", worker, err)
	}
	return reject(errs.Expired, id, d.b.Heal(1.0/24), "worker %s didn't begin in time", worker)
}

// honest makes a rejection that says "nothing ran" into one that says what is known.
func honest(err error, mayHaveRun bool) error {
	var x rejection
	if !mayHaveRun || !errors.As(err, &x) {
		return err
	}
	switch errs.KindOf(x.error) {
	case errs.Expired, errs.MayHaveRun:
		return err
	}
	return rejection{errs.New(errs.MayHaveRun, "an earlier go may have run; then: %v", x.error), x.id, x.back}
}

// pin gives the newest configuration if it is proved fresh enough to follow.
func (d *Proxy) pin(id string) (*updatestream.Snapshot, error) {
	s := d.fol.Snapshot()
	if d.stopping() {
		return nil, reject(errs.NotRun, id, d.b.Config(0.1), "this dispatcher is draining: ask another")
	}
	if !s.Fresh(d.clk.Now(), d.b.Config(0.8)) {
		return nil, reject(errs.NotRun, id, d.b.Config(0.25), "no proof that the setup is the newest")
	}
	return s, nil
}

// current reports whether a pinned configuration is still the newest, and proved so.
func (d *Proxy) current(s *updatestream.Snapshot) bool {
	n := d.fol.Snapshot()
	return n.ConfigVersion == s.ConfigVersion && n.Fresh(d.clk.Now(), d.b.Config(0.8))
}

// entries names a prompt's prefixes under each weights epoch that may still start. Which
// ones may is asked anew every time; the names in have, made under the same configuration, are used
// again, since hashing a long prompt takes its time.
func (d *Proxy) entries(s *updatestream.Snapshot, q *caller.Ask, tenant string, have map[uint64][]prefix.Entry) map[uint64][]prefix.Entry {
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
		if x.Weights == w.Version || d.older(w, x.Weights) > 0 {
			if es, ok := have[x.Weights]; ok {
				m[x.Weights] = es
				continue
			}
			m[x.Weights] = chain(s, on, tenant, x.Weights, q.Parts)
		}
	}
	return m
}

// until is the instant up to which an attempt may begin at a worker: the configuration must be one that is
// followed then, and the worker's weights ones that may start. The bounds themselves are a
// little later; a worker that isn't told apart by its clock is held to them by the wait alone.
func (d *Proxy) until(s *updatestream.Snapshot, q *caller.Ask, w *wire.Worker) time.Duration {
	t := s.ProofAt + d.b.Config(0.95)
	if not, _, ok := s.WeightsAt[target(s, q).Model].SupersededAt(w.Weights); ok {
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
	return int64(w.ClockNs/1000) + (until - time.Duration(w.ClockReadAt)).Microseconds()
}

// older reports how long superseded weights may still start; zero: no more.
func (d *Proxy) older(w updatestream.WeightsHistory, weights uint64) time.Duration {
	not, _, ok := w.SupersededAt(weights)
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
