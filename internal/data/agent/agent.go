// Package agent keeps one machine's processes in contact with the control state: it joins the cluster
// membership, follows the documents that requests are routed by, proves that the plan in use is fresh,
// and publishes it all as one immutable snapshot.
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

// Agent is the agent of one process.
type Agent struct {
	process     *daemon.Process
	actor       *queue.Actor[table]
	member      *clustermembership.Member
	view        atomic.Pointer[clustermembership.View] // the newest, for the actor
	controlNode func(addr string) wire.ControlNode
	published   atomic.Pointer[publishedSnapshot]
	follows     map[string]context.CancelFunc // by address: the control nodes that are followed; owned by the actor
	seeds       []string                      // owned by the actor
}

// publishedSnapshot is a snapshot, and a channel that is closed when one with news replaces it.
type publishedSnapshot struct {
	snapshot *fleet.Snapshot
	replaced chan struct{}
}

// Start joins the cluster membership in a role and follows the control state until the program ends.
//
// Example: a, err := agent.Start(process, codec, "runner")
func Start(process *daemon.Process, codec backend.Codec, role string) (*Agent, error) {
	clients := daemon.NewClients(process)
	a := newAgent(process, codec, clients.ControlNode)
	a.member = clustermembership.Start(process.Ctx, process.Settings, role, process.Clock, process.Log, clients.Membership, func(v clustermembership.View) {
		a.view.Store(&v)
		a.actor.TrySend(a.updateView)
	})
	process.OnSettingsChanged(func(p settings.Process) { a.member.SetSeeds(p.Seeds) })
	process.Go(func() { <-process.Draining; a.member.Leave() })
	process.Meter.Gauge("pebbleloom_plan_version", "version of the plan in use", func() float64 {
		if p := a.Snapshot().Plan; p != nil {
			return float64(p.Version)
		}
		return 0
	})
	process.Meter.Gauge("pebbleloom_proof_age_seconds", "age of the proof that the plan in use is the newest", func() float64 {
		return (process.Clock.Now() - a.Snapshot().ProofAt).Seconds()
	})
	process.Meter.Gauge("pebbleloom_workers_known", "workers in the snapshot in use", func() float64 { return float64(len(a.Snapshot().Workers)) })
	a.actor.Ask(a.updateFollowed)
	process.Every(process.Settings.Bounds.Config(longPollRatio), func() { a.actor.Ask(a.updateFollowed) })
	return a, nil
}

func newAgent(process *daemon.Process, codec backend.Codec, controlNode func(string) wire.ControlNode) *Agent {
	a := &Agent{process: process, controlNode: controlNode, seeds: process.Settings.Seeds, follows: map[string]context.CancelFunc{}}
	t := newTable(process.Settings.Bounds, codec, process.Clock.Now())
	a.published.Store(&publishedSnapshot{&t.snapshot, make(chan struct{})})
	a.view.Store(&clustermembership.View{})
	a.publish(t, true)
	a.actor = queue.NewActor(t, 256)
	process.OnStop(a.actor.Stop)
	process.OnSettingsChanged(func(p settings.Process) { a.actor.Ask(func(t *table) { a.seeds = p.Seeds; a.updateFollowed(t) }) })
	return a
}

// Snapshot returns the current snapshot; its Plan is nil before the first one.
//
// Example: s := a.Now(); if s.Plan == nil { return notReady }
func (a *Agent) Snapshot() *fleet.Snapshot { return a.published.Load().snapshot }

// Changed is closed on news other than a later proof. Take it before Now, so that nothing is missed in
// between.
//
// Example: c := a.Changed(); use(a.Now()); <-c
func (a *Agent) Changed() <-chan struct{} { return a.published.Load().replaced }

// Membership returns the current cluster membership.
//
// Example: for _, n := range a.View().Role("catalogue") { ask(n.Addr) }
func (a *Agent) Membership() clustermembership.View { return a.member.View() }

// Handler serves the calls of the cluster membership; the caller mounts it where this process listens.
//
// Example: mux.Handle(wire.MembershipPathPrefix, a.Handler())
func (a *Agent) Handler() http.Handler { return wire.NewMembershipServer(a.member) }

// publish makes the table's snapshot visible to readers, as a copy that is never changed.
func (a *Agent) publish(t *table, news bool) {
	old := a.published.Load()
	s := t.snapshot
	if !news {
		a.published.Store(&publishedSnapshot{&s, old.replaced})
		return
	}
	a.published.Store(&publishedSnapshot{&s, make(chan struct{})})
	close(old.replaced)
}

// updateView applies the current cluster membership.
func (a *Agent) updateView(t *table) {
	if t.applyView(*a.view.Load(), a.process.Clock.Now()) {
		a.publish(t, true)
	}
}

// updateFollowed starts and stops followers, so that the right members are followed.
func (a *Agent) updateFollowed(t *table) {
	a.updateView(t)
	want := map[string]bool{}
	for _, m := range t.proof.Members() {
		want[address(m)] = true
	}
	if now := a.process.Clock.Now(); len(want) == 0 || t.snapshot.ProofAt == 0 || now-t.snapshot.ProofAt > t.bounds.Config(outOfContactRatio) {
		for _, s := range a.seeds { // the members may have been replaced meanwhile
			want[s] = true
		}
		for _, n := range t.snapshot.Nodes {
			if n.Role == clustermembership.RoleControlNode && n.State != clustermembership.Dead {
				want[n.Addr] = true
			}
		}
	}
	for addr, stop := range a.follows {
		if !want[addr] {
			stop()
			delete(a.follows, addr)
		}
	}
	for addr := range want {
		if a.follows[addr] == nil && a.process.Ctx.Err() == nil {
			ctx, stop := context.WithCancel(a.process.Ctx)
			a.follows[addr] = stop
			go a.follow(ctx, addr)
		}
	}
}

// handleResponse applies one member's response, and reports whether it was useful.
func (a *Agent) handleResponse(response *wire.FollowResponse, requested uint64, asked time.Duration) (useful bool) {
	a.actor.Ask(func(t *table) {
		term, index, first := t.proof.term, t.proof.index, t.snapshot.ProofAt == 0
		news, err := t.applyResponse(response, requested, asked, a.process.Clock.Now())
		if err != nil {
			// The control state holds checked documents; a program older than a document can still fail here.
			a.process.Log.Error("document can't be read: the previous one stays in use", "from", response.Member, "error", err)
		}
		a.publish(t, news)
		if first && t.snapshot.ProofAt > 0 {
			a.process.Log.Info("first plan proved", "version", t.snapshot.Plan.Version, "workers", len(t.snapshot.Workers))
		}
		if t.proof.term != term || t.proof.index != index {
			a.updateFollowed(t)
		}
		useful = news
	})
	return useful
}
