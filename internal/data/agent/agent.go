// Package agent keeps one machine's processes in touch with the control state: it joins the
// roster, follows the documents that requests go by, proves that the plan in use is fresh, and
// shows it all as one snapshot that never changes.
package agent

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"pebbleloom/internal/control/clustermembership"
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/data/backend"
	"pebbleloom/internal/fleet"
	"pebbleloom/internal/queue"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

// Agent is the one of a process.
type Agent struct {
	life    *daemon.Process
	desk    *queue.Actor[table]
	ros     *clustermembership.Member
	view    atomic.Pointer[clustermembership.View] // the newest, for the desk
	archive func(addr string) wire.Archive
	shown   atomic.Pointer[shown]
	calls   map[string]context.CancelFunc // by address: who is followed; the desk's
	seeds   []string                      // the desk's
}

// shown is a snapshot, and what is closed when another with news takes its place.
type shown struct {
	snap *fleet.Snapshot
	over chan struct{}
}

// Start joins the roster in a role and follows the control state until the program ends.
//
// Example: a, err := agent.Start(life, codec, "runner")
func Start(l *daemon.Process, codec backend.Codec, role string) (*Agent, error) {
	calls := daemon.NewClients(l)
	a := newAgent(l, codec, calls.ControlNode)
	a.ros = clustermembership.Start(l.Ctx, l.Place, role, l.Clock, l.Log, calls.Membership, func(v clustermembership.View) {
		a.view.Store(&v)
		a.desk.TrySend(a.look)
	})
	l.OnSettingsChanged(func(p settings.Place) { a.ros.SetSeeds(p.Seeds) })
	l.Go(func() { <-l.Draining; a.ros.Leave() })
	l.Meter.Gauge("pebbleloom_plan_version", "version of the plan in use", func() float64 {
		if p := a.Now().Plan; p != nil {
			return float64(p.Version)
		}
		return 0
	})
	l.Meter.Gauge("pebbleloom_proof_age_seconds", "how long ago the plan in use was known to be the newest", func() float64 {
		return (l.Clock.Now() - a.Now().ProofAt).Seconds()
	})
	l.Meter.Gauge("pebbleloom_workers_known", "workers that requests may go by", func() float64 { return float64(len(a.Now().Workers)) })
	a.desk.Ask(a.tend)
	l.Every(l.Place.Bounds.Config(holdPart), func() { a.desk.Ask(a.tend) })
	return a, nil
}

func newAgent(l *daemon.Process, codec backend.Codec, archive func(string) wire.Archive) *Agent {
	a := &Agent{life: l, archive: archive, seeds: l.Place.Seeds, calls: map[string]context.CancelFunc{}}
	t := newTable(l.Place.Bounds, codec, l.Clock.Now())
	a.shown.Store(&shown{&t.snap, make(chan struct{})})
	a.view.Store(&clustermembership.View{})
	a.show(t, true)
	a.desk = queue.NewActor(t, 256)
	l.OnStop(a.desk.Stop)
	l.OnSettingsChanged(func(p settings.Place) { a.desk.Ask(func(t *table) { a.seeds = p.Seeds; a.tend(t) }) })
	return a
}

// Now is what requests go by at this moment; its Plan is nil before the first one.
//
// Example: s := a.Now(); if s.Plan == nil { return notReady }
func (a *Agent) Now() *fleet.Snapshot { return a.shown.Load().snap }

// Changed is closed once there is news beside a later proof. Take it before Now, so that nothing
// is missed in between.
//
// Example: c := a.Changed(); use(a.Now()); <-c
func (a *Agent) Changed() <-chan struct{} { return a.shown.Load().over }

// View is what the roster knows now.
//
// Example: for _, n := range a.View().Role("catalogue") { ask(n.Addr) }
func (a *Agent) View() clustermembership.View { return a.ros.View() }

// Handler serves the roster's calls; the caller mounts it where this process listens.
//
// Example: mux.Handle(wire.RosterPathPrefix, a.Handler())
func (a *Agent) Handler() http.Handler { return wire.NewRosterServer(a.ros) }

// show lets readers have the table's snapshot: a copy that nobody changes any more.
func (a *Agent) show(t *table, news bool) {
	old := a.shown.Load()
	s := t.snap
	if !news {
		a.shown.Store(&shown{&s, old.over})
		return
	}
	a.shown.Store(&shown{&s, make(chan struct{})})
	close(old.over)
}

// look takes the roster's view.
func (a *Agent) look(t *table) {
	if t.see(*a.view.Load(), a.life.Clock.Now()) {
		a.show(t, true)
	}
}

// tend sees to it that the right members are followed.
func (a *Agent) tend(t *table) {
	a.look(t)
	want := map[string]bool{}
	for _, m := range t.proof.Members() {
		want[address(m)] = true
	}
	if now := a.life.Clock.Now(); len(want) == 0 || t.snap.ProofAt == 0 || now-t.snap.ProofAt > t.b.Config(outOfTouch) {
		for _, s := range a.seeds { // who was a member may have been replaced meanwhile
			want[s] = true
		}
		for _, n := range t.snap.Nodes {
			if n.Role == "archive" && n.State != clustermembership.Gone {
				want[n.Addr] = true
			}
		}
	}
	for addr, stop := range a.calls {
		if !want[addr] {
			stop()
			delete(a.calls, addr)
		}
	}
	for addr := range want {
		if a.calls[addr] == nil && a.life.Ctx.Err() == nil {
			ctx, stop := context.WithCancel(a.life.Ctx)
			a.calls[addr] = stop
			go a.follow(ctx, addr)
		}
	}
}

// heard takes one member's answer into the table, and says whether it was of any use.
func (a *Agent) heard(tell *wire.FollowResponse, had uint64, asked time.Duration) (useful bool) {
	a.desk.Ask(func(t *table) {
		term, index, first := t.proof.term, t.proof.index, t.snap.ProofAt == 0
		news, err := t.hear(tell, had, asked, a.life.Clock.Now())
		if err != nil {
			// The control state holds checked documents; a program older than one can still fail here.
			a.life.Log.Error("news can't be read: the last that could be stays in use", "from", tell.Member, "error", err)
		}
		a.show(t, news)
		if first && t.snap.ProofAt > 0 {
			a.life.Log.Info("first plan proved", "version", t.snap.Plan.Version, "workers", len(t.snap.Workers))
		}
		if t.proof.term != term || t.proof.index != index {
			a.tend(t)
		}
		useful = news
	})
	return useful
}
