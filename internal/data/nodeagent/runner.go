package nodeagent

import (
	"context"
	"math"
	"net/http"
	"time"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/contract"
	"pebbleloom/internal/control/clustermembership"
	"pebbleloom/internal/control/controlclient"
	"pebbleloom/internal/control/operatorapi"
	"pebbleloom/internal/control/serviceconfig"
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/data/updatestream"
	"pebbleloom/internal/queue"
	"pebbleloom/internal/wire"
)

// table is all that a runner knows; its desk's thread alone touches it.
type table struct {
	fresh    *Fresh
	workers  *Workers
	view     clustermembership.View
	places   map[string]*wire.Document
	setup    *serviceconfig.Config
	links    map[string]*wire.LinkSeen
	health   map[string]*health
	number   uint64 // of all that is told
	lists    uint64 // of workers, nodes, placements, stores and links
	waiting  map[chan struct{}]bool
	shownAt  uint64
	lastRows []*wire.Worker
	decided  []*wire.Decided // the latest, oldest first
}

// Runner is the agent of one machine.
type Runner struct {
	life  *daemon.Process
	desk  *queue.Actor[table]
	clk   clock.Clock
	calls *daemon.Clients
	be    *contract.Backends
	ros   *clustermembership.Member
}

// Start runs the agent.
//
// Example: daemon.Main("runner", "the agent on an edge machine", need, runner.Start)
func Start(l *daemon.Process) error {
	b := l.Place.Bounds
	r := &Runner{life: l, clk: l.Clock, calls: daemon.NewClients(l), be: contract.NewBackends(l.Dial)}
	l.OnStop(r.be.Close)
	ms := controlclient.Members(0, l.Place.Core)
	// Counters begin anywhere, so that an asker can't take a new life's for the old one's.
	r.desk = queue.NewActor(&table{number: l.Seed(), lists: l.Seed(), fresh: NewFresh(), workers: NewWorkers(b), places: map[string]*wire.Document{},
		links: map[string]*wire.LinkSeen{}, health: map[string]*health{}, waiting: map[chan struct{}]bool{}}, 1024)
	l.OnStop(r.desk.Stop)
	r.ros = clustermembership.Start(l.Ctx, l.Place, "runner", r.clk, l.Log, r.calls.Membership, func(v clustermembership.View) {
		r.desk.TrySend(func(t *table) { t.view = v; t.listed() })
	})
	for _, m := range ms {
		l.Go(func() { r.followSetup(m) })
	}
	l.Every(b.Leave(0.15), r.list)
	l.Every(b.Leave(0.15), r.probe)
	l.Every(b.Heal(1.0/12), r.followPlacements)
	l.Meter.Gauge("pebbleloom_workers_up", "workers that this machine sees up", func() (v float64) {
		r.desk.Ask(func(t *table) {
			for _, w := range t.lastRows {
				if w.State == updatestream.WorkerUp {
					v++
				}
			}
		})
		return v
	})
	l.Meter.Gauge("pebbleloom_nodes", "nodes that this machine doesn't see as gone", func() (v float64) {
		for _, n := range r.ros.View().Nodes {
			if n.State != clustermembership.Gone {
				v++
			}
		}
		return v
	})
	mux := http.NewServeMux()
	mux.Handle(wire.RunnerPathPrefix, wire.NewRunnerServer(r))
	mux.Handle(wire.RosterPathPrefix, wire.NewRosterServer(r.ros))
	if err := l.Serve(l.Place.Listen, mux); err != nil {
		return err
	}
	view := func() clustermembership.View { return r.ros.View() }
	if err := operatorapi.Serve(l, controlclient.New(l.Place.Core, view, r.calls, b), view, r.calls); err != nil {
		return err
	}
	l.Ready.Store(true)
	return nil
}

func (t *table) changed() {
	t.number++
	for c := range t.waiting {
		close(c)
	}
	clear(t.waiting)
}

// listed notes that the lists have changed, which is told with the rest.
func (t *table) listed() {
	t.lists++
	t.changed()
}

// followSetup asks one member of the setup's part again and again, with the epoch it has.
func (r *Runner) followSetup(member string) {
	b := r.life.Place.Bounds
	for r.life.Ctx.Err() == nil {
		var have uint64
		r.desk.Ask(func(t *table) { have = t.fresh.Epoch() })
		asked := r.clk.Now()
		var tell *wire.WatchResponse
		if addr, ok := r.ros.View().Addr("archive/" + member); ok {
			ctx, end := context.WithTimeout(r.life.Ctx, b.Config(0.3))
			t, err := r.calls.ControlNode(addr).News(ctx, &wire.WatchRequest{Key: controlclient.SetupKey, Have: have, HoldNs: uint64(b.Config(0.15))})
			end()
			if err == nil {
				tell = t
			}
		}
		if tell == nil || tell.Outcome == wire.OutcomeUnknown {
			clock.Pause(r.life.Ctx, b.Config(0.05))
			if tell == nil {
				continue
			}
		}
		r.desk.Ask(func(t *table) { r.hear(t, member, have, asked, tell) })
	}
}

func (r *Runner) hear(t *table, member string, have uint64, asked time.Duration, tell *wire.WatchResponse) {
	if t.fresh.Hear(member, have, asked, tell) {
		s, err := serviceconfig.Read(t.fresh.Doc().Body)
		if err != nil {
			// The control state only holds checked setups; a program older than the setup can still
			// fail here. It goes without a setup rather than with half of one.
			r.life.Log.Error("setup can't be read", "epoch", t.fresh.Doc().Version, "error", err)
		}
		t.setup = s
		if s != nil && len(s.Seeds) == 3 {
			r.ros.SetSeeds(s.Seeds)
		}
		r.life.Log.Info("setup adopted", "epoch", t.fresh.Doc().Version)
	}
	t.changed()
}

func (r *Runner) list() {
	asked := r.clk.Now()
	ctx, end := context.WithTimeout(r.life.Ctx, r.life.Place.Bounds.Leave(0.3))
	defer end()
	l, err := r.be.List(ctx, r.life.Place.Rank)
	if err != nil {
		r.life.Log.Debug("platform doesn't answer: the last list stays", "error", err)
		return
	}
	r.desk.TrySend(func(t *table) { t.workers.Listed(l, asked); r.show(t) })
}

func (r *Runner) probe() {
	var l []contract.Listed
	r.desk.Ask(func(t *table) { l = t.workers.Probe() })
	for _, x := range l {
		go func() {
			asked := r.clk.Now()
			ctx, end := context.WithTimeout(r.life.Ctx, r.life.Place.Bounds.Leave(0.25))
			defer end()
			s, err := r.be.State(ctx, x.Addr)
			r.desk.Ask(func(t *table) { t.workers.Probed(x, s, err == nil, asked, r.clk.Now()) })
		}()
	}
	r.desk.TrySend(r.show)
}

// show lets the waiting know when the worker table has changed.
func (r *Runner) show(t *table) {
	var drains map[string]bool
	if t.setup != nil {
		drains = t.setup.Drains
	}
	rows := t.workers.Table(drains, r.clk.Now())
	for _, w := range rows { // once shown, rows are never changed
		if h := t.health[w.Name]; h != nil {
			h.fade(r.clk.Now(), r.life.Place.Bounds.Heal(1))
			w.Ok, w.Bad = h.ok, h.bad
		}
	}
	same := len(rows) == len(t.lastRows)
	for i := 0; same && i < len(rows); i++ {
		a, o := rows[i], t.lastRows[i]
		same = a.Name == o.Name && a.Addr == o.Addr && a.State == o.State && a.Weights == o.Weights && a.Incarnation == o.Incarnation && a.Model == o.Model && sameLoaded(a.Loaded, o.Loaded)
	}
	t.lastRows = rows
	t.lists++ // loads have moved on; that alone wakes nobody
	if !same {
		t.changed()
	}
}

// followPlacements asks for news of each service's placement.
func (r *Runner) followPlacements() {
	have := map[string]uint64{}
	r.desk.Ask(func(t *table) {
		if t.setup == nil {
			return
		}
		for _, w := range t.lastRows { // the others have no placement
			if _, ok := t.setup.Services[w.Service]; ok {
				have[w.Service] = t.places[w.Service].GetVersion()
			}
		}
		for n := range t.places {
			if _, ok := t.setup.Services[n]; !ok {
				delete(t.places, n)
			}
		}
	})
	for n, h := range have {
		part := controlclient.ShardOf(n)
		ms := controlclient.Members(part, r.life.Place.Core)
		m := ms[int(r.clk.Now()/time.Second)%len(ms)]
		addr, ok := r.ros.View().Addr("archive/" + m)
		if !ok {
			continue
		}
		ctx, end := context.WithTimeout(r.life.Ctx, r.life.Place.Bounds.Heal(1.0/24))
		tell, err := r.calls.ControlNode(addr).News(ctx, &wire.WatchRequest{Shard: part, Key: "placement/" + n, Have: h})
		end()
		if err == nil && tell.Outcome == wire.OutcomeNews && tell.Document.GetVersion() > h {
			r.desk.TrySend(func(t *table) {
				t.places[n] = &wire.Document{Key: n, Body: tell.Document.Body, Version: tell.Document.Version}
				t.listed()
			})
		}
	}
}

const maxDecided = 1024

// Explain tells what the dispatcher beside it decided on a request.
//
// Example: wire.NewRunnerProtobufClient(url, h).Explain(ctx, &wire.ExplainAsk{Request: "r1"})
func (r *Runner) Explain(_ context.Context, a *wire.ExplainAsk) (*wire.ExplainTell, error) {
	t := &wire.ExplainTell{}
	r.desk.Ask(func(x *table) {
		for _, d := range x.decided {
			if d.Request == a.Request {
				t.List = append(t.List, d)
			}
		}
	})
	return t, nil
}

// Feed answers the processes beside it: at once when there is news, else when the hold is over.
//
// Example: wire.NewRunnerProtobufClient(url, h).Feed(ctx, &wire.FeedAsk{Have: 9, HoldNs: 2e8})
func (r *Runner) Feed(ctx context.Context, a *wire.FeedAsk) (*wire.FeedTell, error) {
	end := time.NewTimer(time.Duration(min(a.HoldNs, uint64(10*time.Second))))
	defer end.Stop()
	first := true
	for {
		var tell *wire.FeedTell
		c := make(chan struct{})
		over := false
		select {
		case <-end.C:
			over = true
		default:
		}
		ok := r.desk.Ask(func(t *table) {
			if first {
				r.goes(t, a.Goes)
				t.decided = append(t.decided, a.Decided...)
				t.decided = t.decided[max(0, len(t.decided)-maxDecided):]
			}
			if t.number != a.Have || over || a.HoldNs == 0 || len(t.waiting) > 64 {
				tell = r.tell(t, a)
				return
			}
			t.waiting[c] = true
		})
		if !ok || tell != nil {
			if tell == nil {
				tell = &wire.FeedTell{Number: a.Have}
			}
			return tell, nil
		}
		first = false
		select {
		case <-c:
		case <-end.C:
			a.HoldNs = 0
		case <-ctx.Done():
			a.HoldNs = 0
		}
		r.desk.TrySend(func(t *table) { delete(t.waiting, c) })
	}
}

// health is how a worker's goes have ended lately, as the dispatcher here saw them.
type health struct {
	ok, bad float64
	at      time.Duration
}

func (h *health) fade(now, window time.Duration) {
	f := math.Exp(-float64(now-h.at) / float64(window))
	h.ok, h.bad, h.at = h.ok*f, h.bad*f, now
}

func (r *Runner) goes(t *table, l []*wire.GoReport) {
	t.workers.Goes(l, r.clk.Now())
	for _, g := range l {
		if g.Ok+g.Errors > 0 && (t.health[g.Worker] != nil || len(t.health) < maxWorkers) {
			h := t.health[g.Worker]
			if h == nil {
				h = &health{}
				t.health[g.Worker] = h
			}
			h.fade(r.clk.Now(), r.life.Place.Bounds.Heal(1))
			h.ok, h.bad = h.ok+float64(g.Ok), h.bad+float64(g.Errors)
		}
		if g.LinkNs <= 0 || len(t.links) > 8 && t.links[g.From] == nil {
			continue
		}
		s := t.links[g.From]
		if s == nil {
			s = &wire.LinkSeen{Class: g.From}
			t.links[g.From] = s
		}
		s.Tokens, s.Ns = s.Tokens*0.98+g.LinkTokens, s.Ns*0.98+g.LinkNs // old fetches fade
	}
}

// tell shows the table. What the asker has isn't sent again.
func (r *Runner) tell(t *table, a *wire.FeedAsk) *wire.FeedTell {
	f := &wire.FeedTell{Number: t.number, View: t.lists, ProofAt: uint64(t.fresh.Proof()), Setup: t.fresh.Doc(), WorkersAt: uint64(t.workers.listed)}
	if t.setup == nil {
		f.Setup, f.ProofAt = nil, 0 // a setup that can't be read is no setup
	} else if f.Setup.GetVersion() == a.HaveSetup {
		f.Setup = nil
	}
	if a.HaveView == t.lists && t.lists != 0 {
		return f
	}
	f.Nodes, f.Workers = t.view.Nodes, t.lastRows
	for _, n := range queue.Keys(t.places) {
		f.Placements = append(f.Placements, t.places[n])
	}
	for _, n := range queue.Keys(t.links) {
		s := t.links[n]
		f.Links = append(f.Links, &wire.LinkSeen{Class: s.Class, Tokens: s.Tokens, Ns: s.Ns})
	}
	for _, w := range t.lastRows {
		if w.Kind == "store" && w.State < 2 {
			f.Stores = append(f.Stores, w.Addr)
		}
	}
	return f
}
