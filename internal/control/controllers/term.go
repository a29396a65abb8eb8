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

// The pace of a term, as ratios.
const (
	listPart  = 0.25     // of the leave bound: between two readings of the list
	rushPart  = 0.1      // of the leave bound: until a reading that came to nothing is tried again
	pagePart  = 1.0      // of the leave bound: for one page
	pagesMost = 64       // of one reading
	rateShare = 0.25     // of the calls that the list takes
	tickPart  = 1.0 / 40 // of the leave bound: between two steps while weights are rolled out
	idlePart  = 1.0 / 12 // of the leave bound: and otherwise
	placePart = 0.25     // of the heal bound: between two looks at what is hot
	askPart   = 1.0 / 6  // of the leave bound: for one report
)

// term is the duties under one fence. Its desk's thread owns what is below it.
type term struct {
	life   *daemon.Life
	calls  backend.Calls
	snap   func() *fleet.Snapshot
	hot    Hottest
	ten    *tenure
	fence  uint64
	papers *papers
	ctx    context.Context
	end    context.CancelFunc
	desk   *queue.Desk[term]
	wake   chan struct{}
	orders sync.WaitGroup // orders under way
	halt   bool           // no more orders

	table  *Table
	read   bool // the list has been read, or there was a table
	roll   *Roll
	places map[string]*place // by service
	want   map[string][]byte // documents to write
	names  *names
}

func newTerm(d *Duty, fence uint64) *term {
	t := &term{life: d.life, calls: d.calls, snap: d.snap, hot: d.hot, ten: d.ten, fence: fence, wake: make(chan struct{}, 1),
		places: map[string]*place{}, want: map[string][]byte{}, names: newNames()}
	t.ctx, t.end = context.WithCancel(d.life.Ctx)
	t.desk = queue.NewDesk(t, 256)
	t.papers = newPapers(d.ctl, t.held, d.ten.lease.Holder, d.life.Place.Bounds)
	return t
}

// held tells whether this term still is the one under the lease.
func (t *term) held() (uint64, bool) {
	fence, ok := t.ten.held()
	return fence, ok && fence == t.fence
}

// run does the duties until the term ends. It goes on from the documents in force.
func (t *term) run() {
	defer t.desk.Stop()
	if !t.begin() {
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { t.papers.keep(t.ctx, t.wake, t.take, t.warn("document")) })
	wg.Go(t.follow)
	wg.Go(t.place)
	t.tick()
	wg.Wait()
	t.quiet()
}

func (t *term) warn(what string) func(error) {
	return func(err error) { t.life.Log.Warn(what, "fence", t.fence, "error", errs.Text(err)) }
}

// begin reads what is in force.
func (t *term) begin() bool {
	b := t.life.Place.Bounds
	for t.ctx.Err() == nil {
		var all errs.Batch
		ws, err := t.papers.read(t.ctx, fleet.WorkersKey, false)
		all.Note("workers", err)
		ps, err := t.papers.read(t.ctx, fleet.PlacementKey, true)
		all.Note("placements", err)
		if err := all.Look(); err != nil {
			t.warn("documents in force")(err)
			clock.Pause(t.ctx, b.Leave(rushPart))
			continue
		}
		var doc fleet.Table
		for _, d := range ws {
			if err := json.Unmarshal(d.Body, &doc); err != nil {
				t.warn("table in force")(err) // the list brings it back
			}
		}
		var rolling []string
		places := map[string]*place{}
		for _, d := range ps {
			p, err := placement.Read(d.Body, d.Version)
			if err != nil {
				t.warn("placement in force")(err)
				continue
			}
			places[p.Service] = &place{last: p, told: p.Rolling}
			rolling = append(rolling, p.Rolling...)
		}
		return t.desk.Ask(func(*term) {
			t.table, t.read, t.places, t.roll = NewTable(doc), len(ws) > 0, places, NewRoll(b, rolling)
		})
	}
	return false
}

// tick moves the roll-out on, faster while one is under way.
func (t *term) tick() {
	b := t.life.Place.Bounds
	for t.ctx.Err() == nil {
		idle := true
		t.desk.Ask(func(*term) { t.step(); idle = t.roll.Idle() })
		pause := b.Leave(tickPart)
		if idle {
			pause = b.Leave(idlePart)
		}
		clock.Pause(t.ctx, pause)
	}
}

// follow reads the platform's list again and again.
func (t *term) follow() {
	b := t.life.Place.Bounds
	bad := 0
	for t.ctx.Err() == nil {
		pause := b.Leave(listPart)
		if _, ok := t.held(); !ok {
			clock.Pause(t.ctx, b.Leave(rushPart))
			continue
		}
		list, pages, err := t.list()
		switch {
		case err == nil:
			bad = 0
			if s := t.life.Place.Site; s != nil && s.ListRate > 0 {
				pause = max(pause, time.Duration(float64(pages)/(s.ListRate*rateShare)*float64(time.Second)))
			}
			t.desk.Ask(func(*term) {
				if t.table.Take(list, pages == 1 && len(list) > 0) || !t.read {
					t.read = true
					t.wantTable()
				}
				if t.table.Unsure() {
					pause = min(pause, b.Leave(rushPart))
				}
			})
		case t.ctx.Err() == nil:
			if bad++; bad == 1 {
				t.life.Log.Warn("the list of workers can't be read: the table stays", "error", errs.Text(err))
			}
			pause = min(pause*2, b.Leave(rushPart)<<min(bad-1, 4))
		}
		clock.Pause(t.ctx, pause)
	}
}

// list reads all pages of the list.
func (t *term) list() (all []fleet.Worker, pages int, err error) {
	page := ""
	for pages < pagesMost {
		ctx, end := context.WithTimeout(t.ctx, t.life.Place.Bounds.Leave(pagePart))
		ws, next, err := t.calls.List(ctx, page)
		end()
		if err != nil {
			return nil, pages, errs.Wrap(err, "list of workers")
		}
		all, pages = append(all, ws...), pages+1
		if page = next; page == "" {
			return all, pages, nil
		}
	}
	return nil, pages, errs.New(errs.TooBig, "the list of workers has more than %d pages", pagesMost)
}

// wantTable has the table written. The desk's.
func (t *term) wantTable() {
	body, err := json.Marshal(t.table.Doc())
	if err != nil {
		t.warn("table of workers")(err)
		return
	}
	t.ask(fleet.WorkersKey, body)
}

func (t *term) ask(key string, body []byte) {
	t.want[key] = body
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// take gives the documents to write; each is wanted until it was written as it is wanted.
func (t *term) take() wanted {
	w := wanted{body: map[string][]byte{}, done: map[string]func(){}}
	t.desk.Ask(func(*term) {
		for key, body := range t.want {
			w.body[key] = body
			w.done[key] = func() { t.desk.Ask(func(*term) { t.written(key, body) }) }
		}
	})
	return w
}

// written notes that a document is in force. The desk's.
func (t *term) written(key string, body []byte) {
	if string(t.want[key]) == string(body) {
		delete(t.want, key)
	}
	for service, p := range t.places {
		if key == fleet.PlacementKey+service {
			if q, err := placement.Read(body, 0); err == nil {
				p.told = q.Rolling
			}
		}
	}
}

// step moves the roll-out on. The desk's.
func (t *term) step() {
	s := t.snap()
	if _, ok := t.held(); !ok || s == nil || s.Plan == nil || t.halt {
		return
	}
	now := t.life.Clock.Now()
	ws := t.table.Doc().Workers
	t.names.take(s, ws)
	f := Facts{Now: now, Workers: ws, Named: t.names.named, Since: t.names.since, Engines: map[string]bool{}, From: t.ten.from()}
	for _, x := range s.Plan.Services {
		if x.Engine != nil {
			f.Engines[x.Name] = true
		}
	}
	acts := t.roll.Step(f)
	for _, o := range acts.Orders {
		t.orders.Add(1)
		go t.order(o)
	}
	for _, w := range acts.Reports {
		go t.report(w)
	}
	for service := range f.Engines {
		t.setAside(service, acts.Rolling[service], f.Workers, now)
	}
}

// setAside has a service's placement tell who is out of service, and notes who is once it does.
func (t *term) setAside(service string, rolling []string, ws []fleet.Worker, now time.Duration) {
	p := t.places[service]
	if p == nil {
		if len(rolling) == 0 {
			return
		}
		p = &place{}
		t.places[service] = p
	}
	if p.last == nil {
		p.last = &placement.Placement{Service: service, Mode: "hrcs", Workers: ids(ws, service), Prefill: placement.Default(), Replicated: []string{}}
	}
	var out []string
	for _, id := range rolling {
		if slices.Contains(p.told, id) {
			out = append(out, id)
		}
	}
	t.roll.Aside(out, now)
	if !slices.Equal(rolling, p.last.Rolling) {
		q := *p.last
		q.Rolling, q.Why = rolling, "weights are rolled out"
		t.wantPlace(p, &q)
	}
}

func (t *term) wantPlace(p *place, q *placement.Placement) {
	q.Fence, q.Epoch = t.fence, 0
	body, err := json.Marshal(q)
	if err != nil {
		t.warn("placement")(err)
		return
	}
	p.last = q
	t.ask(fleet.PlacementKey+q.Service, body)
}

// order sends one order. The lease is looked at right before it goes off, and it is given up
// before the lease ends here.
func (t *term) order(o Order) {
	defer t.orders.Done()
	b := t.life.Place.Bounds
	fence, left, ok := t.ten.left()
	if !ok || fence != t.fence {
		t.desk.Ask(func(*term) { t.roll.Unsent(o) })
		return
	}
	ctx, end := context.WithTimeout(context.WithoutCancel(t.ctx), min(left, b.Leave(askPart)))
	defer end()
	until := t.life.Clock.Now() + min(left, b.Leave(askPart))
	ctx = backend.WithGuard(ctx, func() bool {
		fence, _, ok := t.ten.left()
		return ok && fence == t.fence && t.life.Clock.Now() < until
	})
	out, err := t.calls.Order(ctx, o.Worker.Addr, backend.Order{Model: o.Model, Version: o.Weights, Mode: backend.ModeAwait,
		Holder: t.ten.lease.Holder, Fence: fence, Instance: o.Worker.ID, Sequence: o.Sequence})
	if err != nil {
		out = backend.Unknown
	}
	t.life.Log.Info("order", "worker", o.Worker.ID, "model", o.Model, "weights", o.Weights, "fence", fence, "outcome", int(out))
	t.desk.Ask(func(*term) {
		if v := t.roll.Ordered(o, out, t.life.Clock.Now()); v > 0 && t.table.Has(o.Worker.ID, o.Model, v) {
			t.wantTable()
		}
		t.step()
	})
}

// report asks one worker how it stands.
func (t *term) report(w fleet.Worker) {
	ctx, end := context.WithTimeout(t.ctx, t.life.Place.Bounds.Leave(askPart))
	defer end()
	r, err := t.calls.Report(ctx, w.Addr)
	t.desk.Ask(func(*term) {
		m, v := t.roll.Reported(w.ID, r, err == nil, t.life.Clock.Now())
		if v > 0 && t.table.Has(w.ID, m, v) {
			t.wantTable()
		}
		if v > 0 {
			t.step()
		}
	})
}

// quiet ends orders, and waits for those under way.
func (t *term) quiet() {
	t.desk.Ask(func(*term) { t.halt = true })
	t.orders.Wait()
}
