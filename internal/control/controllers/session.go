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
	listRatio        = 0.25     // of the leave bound: between two reads of the worker list
	listRetryRatio   = 0.1      // of the leave bound: before a failed read is retried
	pageTimeoutRatio = 1.0      // of the leave bound: for one page
	maxPages         = 64       // of one read
	listRateShare    = 0.25     // share of the list's allowed call rate
	rolloutStepRatio = 1.0 / 40 // of the leave bound: between two steps while weights are rolled out
	rolloutIdleRatio = 1.0 / 12 // of the leave bound: and while none are
	placementRatio   = 0.25     // of the heal bound: between two placement computations
	callTimeoutRatio = 1.0 / 6  // of the leave bound: timeout of one order or report
)

// session runs the controllers under one fence. The actor alone uses the fields below it.
type session struct {
	process    *daemon.Process
	calls      backend.Calls
	snap       func() *fleet.Snapshot
	hotEntries HotEntries
	lease      *siteLease
	fence      uint64
	documents  *documentWriter
	ctx        context.Context
	cancel     context.CancelFunc
	actor      *queue.Actor[session]
	wake       chan struct{}
	orders     sync.WaitGroup // orders in flight
	halted     bool           // no more orders

	workers    *WorkerList
	listRead   bool // the list has been read, or a stored one was loaded
	rollout    *Rollout
	placements map[string]*servicePlacement // by service
	pending    map[string][]byte            // document bodies to write, by key
	weights    *namedWeights
}

func newSession(c *Controller, fence uint64) *session {
	s := &session{process: c.process, calls: c.calls, snap: c.snap, hotEntries: c.hotEntries, lease: c.lease, fence: fence, wake: make(chan struct{}, 1),
		placements: map[string]*servicePlacement{}, pending: map[string][]byte{}, weights: newNamedWeights()}
	s.ctx, s.cancel = context.WithCancel(c.process.Ctx)
	s.actor = queue.NewActor(s, 256)
	s.documents = newDocumentWriter(c.control, s.held, c.lease.lease.Holder, c.process.Place.Bounds)
	return s
}

// held returns the fence while the lease is held under this session's fence.
func (s *session) held() (uint64, bool) {
	fence, ok := s.lease.held()
	return fence, ok && fence == s.fence
}

// run runs the controllers until the session ends. It resumes from the stored documents.
func (s *session) run() {
	defer s.actor.Stop()
	if !s.load() {
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { s.documents.run(s.ctx, s.wake, s.pendingWrites, s.warn("document")) })
	wg.Go(s.followWorkerList)
	wg.Go(s.runPlacement)
	s.runRollout()
	wg.Wait()
	s.stopOrders()
}

func (s *session) warn(what string) func(error) {
	return func(err error) { s.process.Log.Warn(what, "fence", s.fence, "error", errs.Text(err)) }
}

// load reads the stored documents.
func (s *session) load() bool {
	b := s.process.Place.Bounds
	for s.ctx.Err() == nil {
		var all errs.Batch
		ws, err := s.documents.read(s.ctx, fleet.WorkersKey, false)
		all.Note("workers", err)
		ps, err := s.documents.read(s.ctx, fleet.PlacementKey, true)
		all.Note("placements", err)
		if err := all.Look(); err != nil {
			s.warn("stored documents")(err)
			clock.Sleep(s.ctx, b.Leave(listRetryRatio))
			continue
		}
		var doc fleet.WorkerList
		for _, d := range ws {
			if err := json.Unmarshal(d.Body, &doc); err != nil {
				s.warn("stored worker list")(err) // the platform's list restores it
			}
		}
		var rolling []string
		places := map[string]*servicePlacement{}
		for _, d := range ps {
			p, err := placement.Read(d.Body, d.Version)
			if err != nil {
				s.warn("stored placement")(err)
				continue
			}
			places[p.Service] = &servicePlacement{wanted: p, inForceRolling: p.Rolling}
			rolling = append(rolling, p.Rolling...)
		}
		return s.actor.Ask(func(*session) {
			s.workers, s.listRead, s.placements, s.rollout = NewWorkerList(doc), len(ws) > 0, places, NewRollout(b, rolling)
		})
	}
	return false
}

// runRollout steps the rollout, faster while one is in progress.
func (s *session) runRollout() {
	b := s.process.Place.Bounds
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
	b := s.process.Place.Bounds
	bad := 0
	for s.ctx.Err() == nil {
		pause := b.Leave(listRatio)
		if _, ok := s.held(); !ok {
			clock.Sleep(s.ctx, b.Leave(listRetryRatio))
			continue
		}
		list, pages, err := s.readWorkerList()
		switch {
		case err == nil:
			bad = 0
			if site := s.process.Place.Site; site != nil && site.ListRate > 0 {
				pause = max(pause, time.Duration(float64(pages)/(site.ListRate*listRateShare)*float64(time.Second)))
			}
			s.actor.Ask(func(*session) {
				if s.workers.Merge(list, pages == 1 && len(list) > 0) || !s.listRead {
					s.listRead = true
					s.writeWorkers()
				}
				if s.workers.Unsure() {
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
		ctx, end := context.WithTimeout(s.ctx, s.process.Place.Bounds.Leave(pageTimeoutRatio))
		ws, next, err := s.calls.List(ctx, page)
		end()
		if err != nil {
			return nil, pages, errs.Wrap(err, "list of workers")
		}
		all, pages = append(all, ws...), pages+1
		if page = next; page == "" {
			return all, pages, nil
		}
	}
	return nil, pages, errs.New(errs.TooBig, "the list of workers has more than %d pages", maxPages)
}

// writeWorkers queues the worker list for writing. It runs on the actor's goroutine.
func (s *session) writeWorkers() {
	body, err := json.Marshal(s.workers.Document())
	if err != nil {
		s.warn("worker list")(err)
		return
	}
	s.write(fleet.WorkersKey, body)
}

func (s *session) write(key string, body []byte) {
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
			w.onWritten[key] = func() { s.actor.Ask(func(*session) { s.written(key, body) }) }
		}
	})
	return w
}

// written notes that a document was written. It runs on the actor's goroutine.
func (s *session) written(key string, body []byte) {
	if string(s.pending[key]) == string(body) {
		delete(s.pending, key)
	}
	for service, p := range s.placements {
		if key == fleet.PlacementKey+service {
			if q, err := placement.Read(body, 0); err == nil {
				p.inForceRolling = q.Rolling
			}
		}
	}
}

// stepRollout advances the rollout by one step. It runs on the actor's goroutine.
func (s *session) stepRollout() {
	snapshot := s.snap()
	if _, ok := s.held(); !ok || snapshot == nil || snapshot.Plan == nil || s.halted {
		return
	}
	now := s.process.Clock.Now()
	ws := s.workers.Document().Workers
	s.weights.update(snapshot, ws)
	f := Facts{Now: now, Workers: ws, Named: s.weights.versions, Since: s.weights.namedAt, Engines: map[string]bool{}, From: s.lease.ordersFrom()}
	for _, x := range snapshot.Plan.Services {
		if x.Engine != nil {
			f.Engines[x.Name] = true
		}
	}
	acts := s.rollout.Step(f)
	for _, o := range acts.Orders {
		s.orders.Add(1)
		go s.sendOrder(o)
	}
	for _, w := range acts.Reports {
		go s.requestReport(w)
	}
	for service := range f.Engines {
		s.setAside(service, acts.Rolling[service], f.Workers, now)
	}
}

// setAside publishes in a service's placement which workers are out of service, and informs the rollout
// once that is written.
func (s *session) setAside(service string, rolling []string, ws []fleet.Worker, now time.Duration) {
	p := s.placements[service]
	if p == nil {
		if len(rolling) == 0 {
			return
		}
		p = &servicePlacement{}
		s.placements[service] = p
	}
	if p.wanted == nil {
		p.wanted = &placement.Placement{Service: service, Mode: "hrcs", Workers: workerIDs(ws, service), Prefill: placement.Default(), Replicated: []string{}}
	}
	var out []string
	for _, id := range rolling {
		if slices.Contains(p.inForceRolling, id) {
			out = append(out, id)
		}
	}
	s.rollout.SetAside(out, now)
	if !slices.Equal(rolling, p.wanted.Rolling) {
		q := *p.wanted
		q.Rolling, q.Why = rolling, "weights are being rolled out"
		s.writePlacement(p, &q)
	}
}

func (s *session) writePlacement(p *servicePlacement, q *placement.Placement) {
	q.Fence, q.Epoch = s.fence, 0
	body, err := json.Marshal(q)
	if err != nil {
		s.warn("placement")(err)
		return
	}
	p.wanted = q
	s.write(fleet.PlacementKey+q.Service, body)
}

// sendOrder sends one order. The lease is checked right before it is sent, and the call times out
// before the lease ends on this machine.
func (s *session) sendOrder(o Order) {
	defer s.orders.Done()
	b := s.process.Place.Bounds
	fence, left, ok := s.lease.remaining()
	if !ok || fence != s.fence {
		s.actor.Ask(func(*session) { s.rollout.Unsent(o) })
		return
	}
	timeout := min(left, b.Leave(callTimeoutRatio))
	ctx, end := context.WithTimeout(context.WithoutCancel(s.ctx), timeout)
	defer end()
	deadline := s.process.Clock.Now() + timeout
	ctx = backend.WithGuard(ctx, func() bool { // right before the first byte leaves
		fence, _, ok := s.lease.remaining()
		return ok && fence == s.fence && s.process.Clock.Now() < deadline
	})
	out, err := s.calls.Order(ctx, o.Worker.Addr, backend.Order{Model: o.Model, Version: o.Weights, Mode: backend.ModeAwait,
		Holder: s.lease.lease.Holder, Fence: fence, Instance: o.Worker.ID, Sequence: o.Sequence})
	if err != nil {
		out = backend.Unknown
	}
	s.process.Log.Info("order", "worker", o.Worker.ID, "model", o.Model, "weights", o.Weights, "fence", fence, "outcome", int(out))
	s.actor.Ask(func(*session) {
		if v := s.rollout.Ordered(o, out, s.process.Clock.Now()); v > 0 && s.workers.SetWeights(o.Worker.ID, o.Model, v) {
			s.writeWorkers()
		}
		s.stepRollout()
	})
}

// requestReport asks one worker for its state.
func (s *session) requestReport(w fleet.Worker) {
	ctx, end := context.WithTimeout(s.ctx, s.process.Place.Bounds.Leave(callTimeoutRatio))
	defer end()
	r, err := s.calls.Report(ctx, w.Addr)
	s.actor.Ask(func(*session) {
		m, v := s.rollout.Reported(w.ID, r, err == nil, s.process.Clock.Now())
		if v > 0 && s.workers.SetWeights(w.ID, m, v) {
			s.writeWorkers()
		}
		if v > 0 {
			s.stepRollout()
		}
	})
}

// stopOrders stops further orders and waits for those in flight.
func (s *session) stopOrders() {
	s.actor.Ask(func(*session) { s.halted = true })
	s.orders.Wait()
}
