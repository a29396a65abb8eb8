package controllers

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/data/backend"
	"pebbleloom/internal/data/placement"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/fleet"
	"pebbleloom/internal/queue"
)

// Timing of a session, as ratios of bounds.
const (
	listPollRatio      = 0.25     // of the leave bound: between two reads of the worker list
	listRetryRatio     = 0.1      // of the leave bound: before a failed read is retried
	pageTimeoutRatio   = 1.0      // of the leave bound: for one page
	maxPages           = 64       // of one read
	listRateRatio      = 0.25     // share of the list's allowed call rate
	rolloutStepRatio   = 1.0 / 40 // of the leave bound: between two steps while weights are rolled out
	rolloutIdleRatio   = 1.0 / 12 // of the leave bound: and while none are
	placementPollRatio = 0.25     // of the heal bound: between two placement computations
	callTimeoutRatio   = 1.0 / 6  // of the leave bound: timeout of one order or report
)

// session runs the controllers under one fence. The actor alone uses the fields below it.
type session struct {
	process        *daemon.Process
	calls          backend.Client
	latestSnapshot func() *fleet.Snapshot
	hotEntries     HotEntriesFunc
	lease          *siteLease
	fencingToken   uint64
	writer         *documentWriter
	ctx            context.Context
	cancel         context.CancelFunc
	actor          *queue.Actor[session]
	wake           chan struct{}
	ordersInFlight sync.WaitGroup // orders in flight
	ordersStopped  bool           // no more orders

	workers    *WorkerList
	listKnown  bool // the list has been read, or a stored one was loaded
	rollout    *Rollout
	placements map[string]*servicePlacement // by service
	pending    map[string][]byte            // document bodies to write, by key
	weights    *namedWeights
}

func newSession(c *Controller, fence uint64) *session {
	s := &session{process: c.process, calls: c.calls, latestSnapshot: c.latestSnapshot, hotEntries: c.hotEntries, lease: c.lease, fencingToken: fence, wake: make(chan struct{}, 1),
		placements: map[string]*servicePlacement{}, pending: map[string][]byte{}, weights: newNamedWeights()}
	s.ctx, s.cancel = context.WithCancel(c.process.Ctx)
	s.actor = queue.NewActor(s, 256)
	s.writer = newDocumentWriter(c.store, s.currentToken, c.lease.lease.Holder, c.process.Settings.Bounds)
	return s
}

// currentToken returns the fence while the lease is held under this session's fence.
func (s *session) currentToken() (uint64, bool) {
	fence, ok := s.lease.currentToken()
	return fence, ok && fence == s.fencingToken
}

// run runs the controllers until the session ends. It resumes from the stored documents.
func (s *session) run() {
	defer s.actor.Stop()
	if !s.loadStoredDocuments() {
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { s.writer.run(s.ctx, s.wake, s.pendingWrites, s.logWarning("document")) })
	wg.Go(s.followWorkerList)
	wg.Go(s.runPlacement)
	s.runRollout()
	wg.Wait()
	s.stopOrders()
}

func (s *session) logWarning(what string) func(error) {
	return func(err error) { s.process.Log.Warn(what, "fence", s.fencingToken, "error", errs.Text(err)) }
}

// loadStoredDocuments reads the stored documents.
func (s *session) loadStoredDocuments() bool {
	b := s.process.Settings.Bounds
	for s.ctx.Err() == nil {
		var all errs.Batch
		ws, err := s.writer.read(s.ctx, fleet.WorkersKey, false)
		all.Add("workers", err)
		ps, err := s.writer.read(s.ctx, fleet.PlacementKey, true)
		all.Add("placements", err)
		if err := all.Err(); err != nil {
			s.logWarning("stored documents")(err)
			clock.Sleep(s.ctx, b.Leave(listRetryRatio))
			continue
		}
		var doc fleet.WorkerList
		for _, d := range ws {
			if err := json.Unmarshal(d.Body, &doc); err != nil {
				s.logWarning("stored worker list")(err) // the platform's list restores it
			}
		}
		var rolling []string
		places := map[string]*servicePlacement{}
		for _, d := range ps {
			p, err := placement.Read(d.Body, d.Version)
			if err != nil {
				s.logWarning("stored placement")(err)
				continue
			}
			places[p.Service] = &servicePlacement{desired: p, publishedCordoned: p.Cordoned}
			rolling = append(rolling, p.Cordoned...)
		}
		return s.actor.Ask(func(*session) {
			s.workers, s.listKnown, s.placements, s.rollout = NewWorkerList(doc), len(ws) > 0, places, NewRollout(b, rolling)
		})
	}
	return false
}

// runRollout steps the rollout, faster while one is in progress.
func (s *session) runRollout() {
	b := s.process.Settings.Bounds
	for s.ctx.Err() == nil {
		idle := true
		s.actor.Ask(func(*session) { s.stepRollout(); idle = s.rollout.Idle() })
		pause := b.Leave(rolloutStepRatio)
		if idle {
			pause = b.Leave(rolloutIdleRatio)
		}
		clock.Sleep(s.ctx, pause)
	}
}

// followWorkerList reads the platform's list periodically.
func (s *session) followWorkerList() {
	b := s.process.Settings.Bounds
	bad := 0
	for s.ctx.Err() == nil {
		pause := b.Leave(listPollRatio)
		if _, ok := s.currentToken(); !ok {
			clock.Sleep(s.ctx, b.Leave(listRetryRatio))
			continue
		}
		list, pages, err := s.readWorkerList()
		switch {
		case err == nil:
			bad = 0
			if site := s.process.Settings.Site; site != nil && site.WorkerListRate > 0 {
				pause = max(pause, time.Duration(float64(pages)/(site.WorkerListRate*listRateRatio)*float64(time.Second)))
			}
			s.actor.Ask(func(*session) {
				if s.workers.Merge(list, pages == 1 && len(list) > 0) || !s.listKnown {
					s.listKnown = true
					s.queueWorkerList()
				}
				if s.workers.HasUnconfirmedRemovals() {
					pause = min(pause, b.Leave(listRetryRatio))
				}
			})
		case s.ctx.Err() == nil:
			if bad++; bad == 1 {
				s.process.Log.Warn("the list of workers can't be read: the stored one stays", "error", errs.Text(err))
			}
			pause = min(pause*2, b.Leave(listRetryRatio)<<min(bad-1, 4))
		}
		clock.Sleep(s.ctx, pause)
	}
}

// readWorkerList reads all pages of the platform's list.
func (s *session) readWorkerList() (all []fleet.Worker, pages int, err error) {
	page := ""
	for pages < maxPages {
		ctx, end := context.WithTimeout(s.ctx, s.process.Settings.Bounds.Leave(pageTimeoutRatio))
		ws, next, err := s.calls.ListWorkers(ctx, page)
		end()
		if err != nil {
			return nil, pages, errs.Wrap(err, "list of workers")
		}
		all, pages = append(all, ws...), pages+1
		if page = next; page == "" {
			return all, pages, nil
		}
	}
	return nil, pages, errs.New(errs.TooLarge, "the list of workers has more than %d pages", maxPages)
}

// queueWorkerList queues the worker list for writing. It runs on the actor's goroutine.
func (s *session) queueWorkerList() {
	body, err := json.Marshal(s.workers.Document())
	if err != nil {
		s.logWarning("worker list")(err)
		return
	}
	s.queueWrite(fleet.WorkersKey, body)
}

func (s *session) queueWrite(key string, body []byte) {
	s.pending[key] = body
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// pendingWrites returns the documents to write; each stays pending until its newest body was written.
func (s *session) pendingWrites() pendingWrites {
	w := pendingWrites{bodies: map[string][]byte{}, onWritten: map[string]func(){}}
	s.actor.Ask(func(*session) {
		for key, body := range s.pending {
			w.bodies[key] = body
			w.onWritten[key] = func() { s.actor.Ask(func(*session) { s.documentWritten(key, body) }) }
		}
	})
	return w
}

// documentWritten notes that a document was written. It runs on the actor's goroutine.
func (s *session) documentWritten(key string, body []byte) {
	if string(s.pending[key]) == string(body) {
		delete(s.pending, key)
	}
	for service, p := range s.placements {
		if key == fleet.PlacementKey+service {
			if q, err := placement.Read(body, 0); err == nil {
				p.publishedCordoned = q.Cordoned
			}
		}
	}
}

// stepRollout advances the rollout by one step. It runs on the actor's goroutine.
func (s *session) stepRollout() {
	snapshot := s.latestSnapshot()
	if _, ok := s.currentToken(); !ok || snapshot == nil || snapshot.Plan == nil || s.ordersStopped {
		return
	}
	now := s.process.Clock.Now()
	ws := s.workers.Document().Workers
	s.weights.update(snapshot, ws)
	f := RolloutInputs{Now: now, Workers: ws, NamedVersions: s.weights.versions, NamedAt: s.weights.namedAt, UpdatedServices: map[string]bool{}, EarliestOrder: s.lease.earliestOrder()}
	for _, x := range snapshot.Plan.Services {
		if x.Engine != nil {
			f.UpdatedServices[x.Name] = true
		}
	}
	acts := s.rollout.Step(f)
	for _, o := range acts.Orders {
		s.ordersInFlight.Add(1)
		go s.sendOrder(o)
	}
	for _, w := range acts.Reports {
		go s.requestReport(w)
	}
	for service := range f.UpdatedServices {
		s.cordonWorkers(service, acts.Cordoned[service], f.Workers, now)
	}
}

// cordonWorkers publishes in a service's placement which workers are out of service, and informs the rollout
// once that is written.
func (s *session) cordonWorkers(service string, rolling []string, ws []fleet.Worker, now time.Duration) {
	p := s.placements[service]
	if p == nil {
		if len(rolling) == 0 {
			return
		}
		p = &servicePlacement{}
		s.placements[service] = p
	}
	if p.desired == nil {
		p.desired = &placement.Placement{Service: service, Mode: "hrcs", Workers: serviceWorkerIDs(ws, service), PrefillCurve: placement.Default(), Replicated: []string{}}
	}
	var out []string
	for _, id := range rolling {
		if slices.Contains(p.publishedCordoned, id) {
			out = append(out, id)
		}
	}
	s.rollout.ConfirmCordoned(out, now)
	if !slices.Equal(rolling, p.desired.Cordoned) {
		q := *p.desired
		q.Cordoned, q.Reason = rolling, "weights are being rolled out"
		s.queuePlacement(p, &q)
	}
}

func (s *session) queuePlacement(p *servicePlacement, q *placement.Placement) {
	q.FencingToken, q.Epoch = s.fencingToken, 0
	body, err := json.Marshal(q)
	if err != nil {
		s.logWarning("placement")(err)
		return
	}
	p.desired = q
	s.queueWrite(fleet.PlacementKey+q.Service, body)
}

// sendOrder sends one order. The lease is checked right before it is sent, and the call times out
// before the lease ends on this machine.
func (s *session) sendOrder(o Order) {
	defer s.ordersInFlight.Done()
	b := s.process.Settings.Bounds
	fence, left, ok := s.lease.remaining()
	if !ok || fence != s.fencingToken {
		s.actor.Ask(func(*session) { s.rollout.HandleUnsentOrder(o) })
		return
	}
	timeout := min(left, b.Leave(callTimeoutRatio))
	ctx, end := context.WithTimeout(context.WithoutCancel(s.ctx), timeout)
	defer end()
	deadline := s.process.Clock.Now() + timeout
	ctx = backend.WithGuard(ctx, func() bool { // right before the first byte leaves
		fence, _, ok := s.lease.remaining()
		return ok && fence == s.fencingToken && s.process.Clock.Now() < deadline
	})
	out, err := s.calls.Order(ctx, o.Worker.Addr, backend.Order{Model: o.Model, Version: o.Version, Mode: backend.ModeAwait,
		LeaseHolder: s.lease.lease.Holder, FencingToken: fence, Instance: o.Worker.ID, Sequence: o.Sequence})
	if err != nil {
		out = backend.OutcomeUnknown
	}
	s.process.Log.Info("order", "worker", o.Worker.ID, "model", o.Model, "weights", o.Version, "fence", fence, "outcome", int(out))
	s.actor.Ask(func(*session) {
		if v := s.rollout.HandleOrderOutcome(o, out, s.process.Clock.Now()); v > 0 && s.workers.SetWeights(o.Worker.ID, o.Model, v) {
			s.queueWorkerList()
		}
		s.stepRollout()
	})
}

// requestReport asks one worker for its state.
func (s *session) requestReport(w fleet.Worker) {
	ctx, end := context.WithTimeout(s.ctx, s.process.Settings.Bounds.Leave(callTimeoutRatio))
	defer end()
	r, err := s.calls.Report(ctx, w.Addr)
	s.actor.Ask(func(*session) {
		m, v := s.rollout.HandleReport(w.ID, r, err == nil, s.process.Clock.Now())
		if v > 0 && s.workers.SetWeights(w.ID, m, v) {
			s.queueWorkerList()
		}
		if v > 0 {
			s.stepRollout()
		}
	})
}

// stopOrders stops further orders and waits for those in flight.
func (s *session) stopOrders() {
	s.actor.Ask(func(*session) { s.ordersStopped = true })
	s.ordersInFlight.Wait()
}
