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
	requestID  string
	retryAfter time.Duration
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
	if err := r.claimID(); err != nil {
		r.release()
		return nil, err
	}
	r.lookUpPrefixes()
	for {
		out, err := r.tryWorker()
		if out != nil {
			out.release = r.release
			return &caller.AnswerOKHeaders{XRequestID: q.RequestID, XWorker: out.worker, XSetupEpoch: fmt.Sprint(r.snapshot.ConfigVersion),
				Response: caller.AnswerOK{Data: out}}, nil
		}
		if err != nil { // once an attempt may have run, no rejection says that it didn't
			r.release()
			return nil, withholdNotRun(err, r.mayHaveExecuted)
		}
	}
}

// request is one request on its way: what it was admitted under, and what became of its attempts.
type request struct {
	proxy     *Proxy
	ask       *caller.Ask
	tenantKey string
	tenant    string
	once      bool
	ctx       context.Context // ends with its wait
	cancel    context.CancelFunc
	startedAt time.Duration
	wait      time.Duration

	snapshot        *updatestream.Snapshot // pinned: checked again right before each attempt starts
	entries         map[uint64][]prefix.Entry
	found           map[prefix.Key]*wire.LookupResult
	tried           map[string]bool // workers
	budgeted        bool            // its first attempt has earned its share of a retry
	claimNonce      uint64          // of its claim; 0: none
	mayHaveExecuted bool
}

// admit takes a request in under the newest configuration, or says why not and when to come back.
func (d *Proxy) admit(ctx context.Context, q *caller.Ask, h caller.AnswerParams) (*request, error) {
	r := &request{proxy: d, ask: q, tenantKey: h.XTenantKey, once: q.Once.Or(false), startedAt: d.clock.Now(), tried: map[string]bool{}}
	var err error
	if r.snapshot, err = d.freshSnapshot(q.RequestID); err != nil {
		return nil, err
	}
	r.wait = time.Duration(q.WaitMs) * time.Millisecond
	if m := r.snapshot.Config.MaxWaitMs; m > 0 {
		r.wait = min(r.wait, time.Duration(m)*time.Millisecond)
	}
	size := 0
	for _, p := range q.Parts {
		size += len(p)
	}
	if size > d.bounds.MaxBodyKB<<10 {
		return nil, reject(errs.TooLarge, q.RequestID, 0, "parts: %d bytes, at most %d", size, d.bounds.MaxBodyKB<<10)
	}
	tenant, t, ok := r.snapshot.Config.Tenant(r.tenantKey)
	if !ok {
		return nil, reject(errs.BadKey, q.RequestID, 0, "the key is not in force")
	}
	r.tenant = tenant
	var why string
	var back time.Duration
	kind := errs.RateLimited
	d.traffic.Ask(func(g *trafficTable) {
		kind, why, back = g.admit(tenant, t, d.bounds.MaxConcurrentRequests, countEdgeNodes(r.snapshot, false), r.startedAt)
	})
	if why != "" {
		return nil, reject(kind, q.RequestID, back, "%s", why)
	}
	r.ctx, r.cancel = context.WithTimeout(ctx, r.wait-(d.clock.Now()-r.startedAt))
	return r, nil
}

// release gives back what the request held. A claim goes back only where it is proved that nothing
// has run: then its id may be sent again.
func (r *request) release() {
	r.cancel()
	r.proxy.traffic.TrySend(func(g *trafficTable) { g.endRequest(r.tenant) })
	if r.claimNonce != 0 && !r.mayHaveExecuted {
		r.proxy.claims.release(onceID(r.tenant, r.ask.RequestID), r.claimNonce)
	}
}

// claimID takes the id of a request that may run only once, before anything starts.
func (r *request) claimID() error {
	if !r.once {
		return nil
	}
	nonce, granted, err := r.proxy.claims.acquire(r.ctx, onceID(r.tenant, r.ask.RequestID))
	if err != nil {
		r.claimNonce = nonce // it may have been granted
		return reject(errs.NotExecuted, r.ask.RequestID, r.proxy.bounds.Heal(1.0/12), "its id can't be claimed now: %v", err)
	}
	if !granted {
		return reject(errs.MayHaveExecuted, r.ask.RequestID, 0, "a once-only request of this id was taken before")
	}
	r.claimNonce = nonce
	return nil
}

// lookUpPrefixes asks the index who holds the prompt's prefixes.
func (r *request) lookUpPrefixes() {
	r.entries = r.proxy.prefixEntries(r.snapshot, r.ask, r.tenant, nil)
	r.found = r.proxy.index.lookUp(r.ctx, entryKeys(r.entries))
}

// tryWorker makes one attempt. Neither a stream nor an error: there may be another.
func (r *request) tryWorker() (*stream, error) {
	service, err := r.resolveRoute()
	if err != nil {
		return nil, err
	}
	c, err := r.proxy.selectWorker(r.snapshot, r.ask, r.tenant, service, r.entries, r.found, r.tried)
	if err != nil {
		return nil, err
	}
	until := r.proxy.startDeadline(r.snapshot, r.ask, c.Worker)
	if ready, pause, err := r.mayStart(c, service, until); !ready {
		r.proxy.traffic.TrySend(func(g *trafficTable) { g.cancelAttempt(c.Worker.Name) })
		if pause > 0 {
			clock.Sleep(r.ctx, pause)
		}
		return nil, err
	}
	out, notRun, err := r.proxy.startAttempt(r.ctx, r.snapshot, r.ask, r.tenant, service, c, r.timeRemaining(), until)
	r.mayHaveExecuted = r.mayHaveExecuted || !notRun
	if err == nil {
		return out, nil
	}
	r.tried[c.Worker.Name] = true
	r.proxy.process.Log.Debug("attempt failed", "request", r.ask.RequestID, "worker", c.Worker.Name, "not_run", notRun, "error", err)
	return nil, r.retryOrFail(service, c.Worker.Name, notRun, err)
}

// resolveRoute checks the pinned configuration again, and finds the service that the request goes to.
func (r *request) resolveRoute() (service string, err error) {
	id := r.ask.RequestID
	now, err := r.proxy.freshSnapshot(id)
	if err != nil {
		return "", err
	}
	if now.ConfigVersion != r.snapshot.ConfigVersion {
		if r.snapshot = now; !now.Config.KeyBelongsTo(r.tenantKey, r.tenant) {
			return "", reject(errs.BadKey, id, 0, "the key was taken out of force")
		}
		r.lookUpPrefixes()
	}
	route, ok := r.snapshot.Config.Routes[r.ask.Model]
	if !ok {
		return "", reject(errs.NoSuchModel, id, 0, "no route leads to model %q", r.ask.Model)
	}
	if on := weightsFor(r.snapshot, r.ask); !r.snapshot.Config.Allows(on.Adapter, r.tenant) {
		return "", reject(errs.NoSuchModel, id, 0, "adapter %q isn't for tenant %s", on.Adapter, r.tenant)
	}
	return route.ServiceFor(id), nil
}

// mayStart reports whether an attempt may start now: inside the request's wait, the bounds of what it
// goes by, and the newest configuration. Without an error it is looked at again, after a pause.
func (r *request) mayStart(c Choice, service string, until time.Duration) (ready bool, pause time.Duration, err error) {
	d, queued := r.proxy, time.Duration(c.WaitUs)*time.Microsecond
	if r.timeRemaining() <= 0 || r.ctx.Err() != nil {
		return false, 0, reject(errs.NotExecuted, r.ask.RequestID, 0, "the wait was over before an attempt could start")
	}
	if queued > r.timeRemaining() {
		return false, 0, reject(errs.Overloaded, r.ask.RequestID, queued, "a slot is free in %.0f ms, after the wait is over", c.WaitUs/1000)
	}
	if d.clock.Now()+queued > until { // it waits here, where it is looked at again
		return false, d.bounds.Config(0.02), nil
	}
	if !r.budgeted {
		r.budgeted = true
		d.traffic.TrySend(func(g *trafficTable) { d.retryBudget(g, service).Deposit(d.retryAllowance(g, r.snapshot)) })
	}
	return d.isCurrent(r.snapshot), 0, nil // else a new one came while this was thought over
}

// timeRemaining is how much of the wait is left.
func (r *request) timeRemaining() time.Duration { return r.wait - (r.proxy.clock.Now() - r.startedAt) }

// retryOrFail gives the request's final error; nil where another attempt may be made.
func (r *request) retryOrFail(service, worker string, notRun bool, err error) error {
	d, id := r.proxy, r.ask.RequestID
	again, late := false, r.ctx.Err() != nil
	if (notRun || !r.once) && !late {
		d.traffic.Ask(func(g *trafficTable) { again = d.retryBudget(g, service).TryWithdraw(d.retryAllowance(g, r.snapshot)) })
	}
	switch {
	case again:
		d.stats.retries.Add(1)
		return nil
	case !r.mayHaveExecuted || !late && !r.once:
		return reject(errs.NotExecuted, id, d.bounds.Heal(1.0/24), "worker %s: %v", worker, err)
	case r.once:
		return reject(errs.MayHaveExecuted, id, 0, "worker %s: %v", worker, err)
	}
	return reject(errs.DeadlineExceeded, id, d.bounds.Heal(1.0/24), "worker %s didn't begin in time", worker)
}

// withholdNotRun makes a rejection that says "nothing ran" into one that says what is known.
func withholdNotRun(err error, mayHaveRun bool) error {
	var x rejection
	if !mayHaveRun || !errors.As(err, &x) {
		return err
	}
	switch errs.KindOf(x.error) {
	case errs.DeadlineExceeded, errs.MayHaveExecuted:
		return err
	}
	return rejection{errs.New(errs.MayHaveExecuted, "an earlier go may have run; then: %v", x.error), x.requestID, x.retryAfter}
}

// freshSnapshot gives the newest configuration if it is proved fresh enough to follow.
func (d *Proxy) freshSnapshot(id string) (*updatestream.Snapshot, error) {
	s := d.follower.Snapshot()
	if d.isDraining() {
		return nil, reject(errs.NotExecuted, id, d.bounds.Config(0.1), "this dispatcher is draining: ask another")
	}
	if !s.IsFresh(d.clock.Now(), d.bounds.Config(0.8)) {
		return nil, reject(errs.NotExecuted, id, d.bounds.Config(0.25), "no proof that the setup is the newest")
	}
	return s, nil
}

// isCurrent reports whether a pinned configuration is still the newest, and proved so.
func (d *Proxy) isCurrent(s *updatestream.Snapshot) bool {
	n := d.follower.Snapshot()
	return n.ConfigVersion == s.ConfigVersion && n.IsFresh(d.clock.Now(), d.bounds.Config(0.8))
}

// prefixEntries names a prompt's prefixes under each weights epoch that may still start. Which
// ones may is asked anew every time; the names in have, made under the same configuration, are used
// again, since hashing a long prompt takes its time.
func (d *Proxy) prefixEntries(s *updatestream.Snapshot, q *caller.Ask, tenant string, have map[uint64][]prefix.Entry) map[uint64][]prefix.Entry {
	m := map[uint64][]prefix.Entry{}
	on := weightsFor(s, q)
	w := s.Weights[on.Model]
	service := s.Config.Routes[q.Model].ServiceFor(q.RequestID)
	for _, x := range s.Workers {
		if x.Service != service || x.State == updatestream.WorkerGone {
			continue
		}
		if x = viewForTarget(x, on); x == nil {
			continue
		}
		if _, ok := m[x.Weights]; ok {
			continue
		}
		if x.Weights == w.Version || d.supersededTimeLeft(w, x.Weights) > 0 {
			if es, ok := have[x.Weights]; ok {
				m[x.Weights] = es
				continue
			}
			m[x.Weights] = prefixChain(s, on, tenant, x.Weights, q.Parts)
		}
	}
	return m
}

// startDeadline is the instant up to which an attempt may begin at a worker: the configuration must be one that is
// followed then, and the worker's weights ones that may start. The bounds themselves are a
// little later; a worker that isn't told apart by its clock is held to them by the wait alone.
func (d *Proxy) startDeadline(s *updatestream.Snapshot, q *caller.Ask, w *wire.Worker) time.Duration {
	t := s.ProofAt + d.bounds.Config(0.95)
	if not, _, ok := s.Weights[weightsFor(s, q).Model].SupersededAt(w.Weights); ok {
		t = min(t, not+d.bounds.Weights(0.95))
	}
	return t
}

// workerStartDeadline puts an instant here into the worker's own clock. That clock was read before its word
// came here, so what it shows then is reached no later than the instant is here, however long
// the start is under way.
func workerStartDeadline(w *wire.Worker, until time.Duration) int64 {
	if w.ClockNs == 0 {
		return 0
	}
	return int64(w.ClockNs/1000) + (until - time.Duration(w.ClockReadAt)).Microseconds()
}

// supersededTimeLeft reports how long superseded weights may still start; zero: no more.
func (d *Proxy) supersededTimeLeft(w updatestream.WeightsHistory, weights uint64) time.Duration {
	not, _, ok := w.SupersededAt(weights)
	if !ok || weights == 0 {
		return 0
	}
	return max(0, not+d.bounds.Weights(0.85)-d.clock.Now())
}

func entryKeys(m map[uint64][]prefix.Entry) []prefix.Key {
	var ks []prefix.Key
	for _, es := range m {
		for _, e := range es {
			ks = append(ks, e.Key)
		}
	}
	return ks
}
