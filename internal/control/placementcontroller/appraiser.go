package placementcontroller

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"reflect"
	"slices"
	"sync"
	"time"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/contract"
	"pebbleloom/internal/control/calendar"
	"pebbleloom/internal/control/clustermembership"
	"pebbleloom/internal/control/controlclient"
	"pebbleloom/internal/control/retire"
	"pebbleloom/internal/control/serviceconfig"
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/data/placement"
	"pebbleloom/internal/data/updatestream"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

// Appraiser stands on a core machine; for each service one of them holds the lease.
type Appraiser struct {
	life   *daemon.Life
	clk    clock.Clock
	ros    *clustermembership.Member
	calls  *daemon.Calls
	ctl    *controlclient.Client
	be     *contract.Backends
	holder string
	duties map[string]*duty
	fol    *updatestream.Follower
	held   sync.Map // service -> how many nodes hold its retirement up
}

type duty struct {
	name  string
	end   context.CancelFunc
	lease *controlclient.Lease
	doc   *wire.Document
	last  *placement.Placement
	full  time.Duration // when the whole was last recomputed
	fence uint64
	roll  Roll
	pacer *calendar.Pacer
	aging *retire.Pacer
	kept  time.Duration // when the workers were last looked over while nothing is retired
}

// Start runs the appraiser.
//
// Example: daemon.Main("appraiser", "placement under a lease", need, appraiser.Start)
func Start(l *daemon.Life) error {
	a := &Appraiser{life: l, clk: l.Clock, calls: daemon.NewCalls(l), be: contract.NewBackends(l.Dial), duties: map[string]*duty{}}
	l.Until(a.be.Close)
	a.holder = fmt.Sprintf("%s/%x", l.Place.Name, a.clk.Now())
	a.ros = clustermembership.Start(l.Ctx, l.Place, "appraiser", a.clk, l.Log, a.calls.Roster, nil)
	view := func() clustermembership.View { return a.ros.View() }
	a.ctl = controlclient.New(l.Place.Core, view, a.calls, l.Place.Bounds)
	a.fol = updatestream.Follow(l.Ctx, a.clk, l.Log, a.runner, l.Place.Bounds.Heal(1.0/12), nil, updatestream.Seeds(a.ros.SetSeeds))
	l.Meter.Gauge("pebbleloom_retirement_held", "nodes that hold up a retirement which this appraiser carries on", func() (v float64) {
		a.held.Range(func(_, n any) bool { v += float64(n.(int)); return true })
		return v
	})
	mux := http.NewServeMux()
	mux.Handle(wire.RosterPathPrefix, wire.NewRosterServer(a.ros))
	if err := l.Serve(l.Place.Listen, mux); err != nil {
		return err
	}
	l.Every(l.Place.Bounds.Heal(1.0/24), a.assign)
	l.Ready.Store(true)
	return nil
}

// runner gives any living runner: workers are seen through it.
func (a *Appraiser) runner() wire.Runner {
	for _, n := range a.ros.View().Role("runner") {
		if n.State == clustermembership.Alive {
			return a.calls.Runner(n.Addr)
		}
	}
	return nil
}

// assign keeps a duty for every service that any worker serves. Each has two threads of its
// own, one that renews its lease and one that works: whatever hangs there holds up nobody
// else, nor its own renewal.
func (a *Appraiser) assign() {
	s := a.fol.Now()
	if s == nil || s.Setup == nil {
		return
	}
	served := map[string]bool{}
	for _, w := range s.Workers {
		served[w.Service] = true
	}
	for name := range s.Setup.Services {
		if a.duties[name] == nil && served[name] {
			ctx, end := context.WithCancel(a.life.Ctx)
			b := a.life.Place.Bounds
			d := &duty{name: name, end: end, lease: controlclient.NewLease(a.ctl, a.clk, "appraise/"+name, controlclient.ShardOf(name), a.holder, b.Heal(settings.LeasePart)), pacer: calendar.NewPacer(), aging: retire.NewPacer()}
			a.duties[name] = d
			a.again(ctx, func() {
				if err := d.lease.Renew(ctx); err != nil {
					a.life.Log.Debug("no lease", "service", name, "error", err)
				}
			})
			a.again(ctx, func() { a.turn(d) })
		}
	}
	for name, d := range a.duties {
		if _, ok := s.Setup.Services[name]; !ok {
			d.end() // the lease runs out by itself
			delete(a.duties, name)
		}
	}
}

// again runs a step of a duty now and at every tick, until its context ends.
func (a *Appraiser) again(ctx context.Context, step func()) {
	a.life.Go(func() {
		t := clock.Every(a.life.Place.Bounds.Heal(1.0 / 24))
		defer t.Stop()
		for ctx.Err() == nil {
			step()
			select {
			case <-ctx.Done():
			case <-t.C:
			}
		}
	})
}

// turn is one step of a duty's work.
func (a *Appraiser) turn(d *duty) {
	s := a.fol.Now()
	svc, ok := s.Setup.Services[d.name]
	fence, held := d.lease.Held()
	if !ok || !held {
		d.doc = nil
		return
	}
	if fence != d.fence {
		a.life.Log.Info("duty taken", "service", d.name, "fence", fence)
		d.fence, d.doc, d.aging = fence, nil, retire.NewPacer()
	}
	var b errs.Batch
	b.Note("roll out weights", a.rollOut(d, s, d.name, svc))
	b.Note("place", a.place(d, s, d.name, svc))
	b.Note("calendar", a.pace(d, s, d.name))
	b.Note("retirement", a.retire(d, s, d.name))
	if err := b.Look(); err != nil {
		a.life.Log.Warn("duty step failed", "service", d.name, "error", errs.Text(err))
	}
}

func workersOf(s *updatestream.Snapshot, name string) []*wire.Worker {
	var l []*wire.Worker
	for _, w := range s.Workers {
		if w.Service == name && w.Kind == "lm" && w.State < updatestream.WorkerDraining {
			l = append(l, w)
		}
	}
	return l
}

// rollOut moves the service to the named weights; the lease is looked at right before each
// order, and the order carries its fence.
func (a *Appraiser) rollOut(d *duty, s *updatestream.Snapshot, name string, svc serviceconfig.Service) error {
	ws := slices.DeleteFunc(workersOf(s, name), func(w *wire.Worker) bool { return w.Model != svc.Model && w.Model != "" }) // others have another base
	seen := s.WeightsAt[svc.Model]
	now := a.clk.Now()
	if d.last == nil {
		return nil // first learn what is in force
	}
	d.roll.Whole = svc.RollOut == "at-once"
	since := func(w uint64) time.Duration { _, first, _ := seen.Since(w); return now - first }
	order, changed := d.roll.Step(ws, seen.Weights, since, now, a.life.Place.Bounds)
	var b errs.Batch
	b.Note("order", a.order(d.lease, order, seen.Weights))
	if changed {
		p := *d.last
		p.Rolling, p.Why = d.roll.Batch, "weights are rolled out"
		b.Note("set aside", a.publish(d, name, &p))
	}
	return b.Look()
}

// order tells workers to load weights, all at once: a silent one holds up no other. The lease
// is looked at right before each goes off, and no order is waited for, and so under way, for
// longer than from the lease's end here until another may hold it.
func (a *Appraiser) order(lease *controlclient.Lease, ws []*wire.Worker, weights uint64) error {
	ctx, end := context.WithTimeout(a.life.Ctx, a.life.Place.Bounds.Heal(settings.OrderPart))
	defer end()
	got := make(chan error, len(ws))
	for _, w := range ws {
		go func() {
			fence, ok := lease.Held()
			if !ok {
				got <- nil // another may hold it soon
				return
			}
			got <- errs.Wrap(a.be.Order(ctx, w.Addr, contract.Order{Fence: fence, Holder: lease.Holder, Kind: "weights", Weights: weights}), "order "+w.Name)
		}()
	}
	var b errs.Batch
	for range ws {
		b.Note("weights", <-got)
	}
	return b.Look()
}

func (a *Appraiser) place(d *duty, s *updatestream.Snapshot, name string, svc serviceconfig.Service) error {
	now := a.clk.Now()
	b := a.life.Place.Bounds
	if d.doc == nil { // new to the duty: go on from what is in force
		t, err := a.ctl.Read(a.life.Ctx, &wire.ReadRequest{Shard: controlclient.ShardOf(name), Key: "placement/" + name})
		if err != nil {
			return errs.Wrap(err, "read placement")
		}
		d.doc, d.last, d.full = &wire.Document{}, nil, 0
		if len(t.Documents) > 0 {
			d.doc = t.Documents[0]
			if d.last, err = placement.Read(d.doc.Body, d.doc.Version); err != nil {
				return errs.Wrap(err, "placement in force")
			}
			d.roll = Roll{Batch: d.last.Rolling, At: now}
		}
	}
	ws := workersOf(s, name)
	if len(ws) == 0 {
		return nil
	}
	hot := a.hot(name)
	var p *placement.Placement
	changed := true
	if names := namesOf(ws); d.last == nil || now-d.full > b.Heal(0.5) || !reflect.DeepEqual(names, d.last.Workers) || d.last.Mode != mode(svc) {
		f := Facts{Service: name, Mode: mode(svc), Alpha: svc.Alpha, Workers: names, Hot: hot, Curve: placement.Default(), Links: a.seen().links}
		if f.Alpha == 0 {
			f.Alpha = 1
		}
		for _, w := range ws {
			if f.Room == 0 || int(w.KvRoom) < f.Room {
				f.Room = int(w.KvRoom)
			}
		}
		p = Pick(f, d.last)
		p.Rolling = d.roll.Batch
		d.full = now
		changed = d.last == nil || !reflect.DeepEqual(p.Replicated, d.last.Replicated) || !reflect.DeepEqual(p.Workers, d.last.Workers) || p.Mode != d.last.Mode || math.Abs(p.Floor-d.last.Floor) > 0.25*d.last.Floor+0.05
	} else {
		p, changed = Swap(d.last, hot)
	}
	if !changed {
		return nil
	}
	return a.publish(d, name, p)
}

func (a *Appraiser) publish(d *duty, name string, p *placement.Placement) error {
	fence, ok := d.lease.Held()
	if !ok {
		return nil // the lease ran out while this was thought over
	}
	p.Fence = fence
	body, err := json.Marshal(p)
	if err != nil {
		return errs.Wrap(err, "write placement")
	}
	put := &wire.Put{Key: "placement/" + name, Body: body, IfVersion: d.doc.Version, Lease: d.lease.Duty, Fence: fence, Holder: a.holder}
	t, err := a.ctl.Change(a.life.Ctx, &wire.ChangeRequest{Shard: controlclient.ShardOf(name), Command: &wire.Command{Kind: &wire.Command_Put{Put: put}}})
	if err != nil {
		d.doc = nil // read it again before the next try
		return errs.Wrap(err, "publish placement")
	}
	p.Epoch = t.Version
	d.doc, d.last = &wire.Document{Body: body, Version: t.Version}, p
	a.life.Log.Info("placement", "service", name, "epoch", t.Version, "fence", fence, "replicated", len(p.Replicated),
		"entries", p.Entries, "r_max", p.RMax, "b", p.B, "why", p.Why)
	return nil
}

func mode(s serviceconfig.Service) string {
	if s.Placement == "" {
		return "hrcs"
	}
	return s.Placement
}

func namesOf(ws []*wire.Worker) []string {
	l := make([]string, 0, len(ws))
	for _, w := range ws {
		l = append(l, w.Name)
	}
	return l
}

// hot gathers the hottest entries of all index nodes; two hold each, the higher count is used.
func (a *Appraiser) hot(service string) []*wire.Hot {
	all := map[string]*wire.Hot{}
	gather(a, "catalogue", func(ctx context.Context, addr string) (*wire.HotTell, error) {
		return a.calls.Catalogue(addr).Hottest(ctx, &wire.HotAsk{Service: service, Limit: 1000})
	}, func(t *wire.HotTell) {
		for _, h := range t.Hot {
			if o := all[string(h.Key)]; o == nil || o.Hotness < h.Hotness {
				all[string(h.Key)] = h
			}
		}
	})
	l := make([]*wire.Hot, 0, len(all))
	for _, h := range all {
		l = append(l, h)
	}
	return l
}
