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

// Agent is the agent of one process. All its methods are safe for concurrent use.
type Agent struct {
	process   *daemon.Process
	actor     *queue.Actor[table]
	member    *clustermembership.Member
	view      atomic.Pointer[clustermembership.View] // the newest, for the actor
	connect   func(addr string) wire.ControlNode
	published atomic.Pointer[publishedSnapshot]

	// Guarded by the actor.
	followed map[string]context.CancelFunc // by address: the control nodes that are followed
	seeds    []string
}

// publishedSnapshot is a snapshot, and a channel that is closed when one with an update replaces it.
type publishedSnapshot struct {
	snapshot *fleet.Snapshot
	replaced chan struct{}
}

// Start joins the cluster membership in a role and follows the control state until the process stops.
//
// Example: a, err := agent.Start(process, codec, clustermembership.RoleNodeAgent)
func Start(process *daemon.Process, codec backend.Codec, role string) (*Agent, error) {
	clients := daemon.NewClients(process)
	agent := newAgent(process, codec, clients.ControlNode)
	agent.member = clustermembership.Start(process.Ctx, clustermembership.Config{
		Process: process.Settings,
		Role:    role,
		Clock:   process.Clock,
		Log:     process.Log,
		Client:  clients.Membership,
		OnChange: func(view clustermembership.View) {
			agent.view.Store(&view)
			agent.actor.TrySend(agent.updateMembership)
		},
	})
	process.OnSettingsChanged(func(changed settings.Process) { agent.member.SetSeeds(changed.Seeds) })
	process.Go(func() { <-process.Draining; agent.member.Leave() })
	agent.addMetrics()
	agent.actor.Ask(agent.updateFollowed)
	process.Every(process.Settings.Bounds.Config(longPollRatio), func() { agent.actor.Ask(agent.updateFollowed) })
	return agent, nil
}

// addMetrics adds the metrics of the snapshot in use.
func (a *Agent) addMetrics() {
	meter := a.process.Meter
	meter.Gauge("pebbleloom_plan_version", "version of the plan in use", func() float64 {
		if plan := a.Snapshot().Plan; plan != nil {
			return float64(plan.Version)
		}
		return 0
	})
	meter.Gauge("pebbleloom_proof_age_seconds", "age of the proof that the plan in use is the newest", func() float64 {
		return (a.process.Clock.Now() - a.Snapshot().ProofAt).Seconds()
	})
	meter.Gauge("pebbleloom_workers_known", "workers in the snapshot in use", func() float64 { return float64(len(a.Snapshot().Workers)) })
}

// newAgent makes an agent that follows no control node yet.
func newAgent(process *daemon.Process, codec backend.Codec, connect func(addr string) wire.ControlNode) *Agent {
	a := &Agent{process: process, connect: connect, seeds: process.Settings.Seeds, followed: map[string]context.CancelFunc{}}
	t := newTable(process.Settings.Bounds, codec, process.Clock.Now())
	a.published.Store(&publishedSnapshot{&t.snapshot, make(chan struct{})})
	a.view.Store(&clustermembership.View{})
	a.publish(t, true)
	a.actor = queue.NewActor(t, 256)
	process.OnStop(a.actor.Stop)
	process.OnSettingsChanged(func(changed settings.Process) {
		a.actor.Ask(func(t *table) { a.seeds = changed.Seeds; a.updateFollowed(t) })
	})
	return a
}

// Snapshot returns the current snapshot; its Plan is nil before the first one. It must not be changed.
//
// Example: snapshot := a.Snapshot(); if snapshot.Plan == nil { return notReady }
func (a *Agent) Snapshot() *fleet.Snapshot { return a.published.Load().snapshot }

// Changed is closed on an update other than a later proof. Call it before Snapshot, so that no update is
// missed in between.
//
// Example: changed := a.Changed(); use(a.Snapshot()); <-changed
func (a *Agent) Changed() <-chan struct{} { return a.published.Load().replaced }

// Membership returns the current cluster membership.
//
// Example: for _, node := range a.Membership().Role(clustermembership.RolePromptIndex) { ask(node.Addr) }
func (a *Agent) Membership() clustermembership.View { return a.member.View() }

// Handler serves the calls of the cluster membership; the caller mounts it where this process listens.
//
// Example: mux.Handle(wire.MembershipPathPrefix, a.Handler())
func (a *Agent) Handler() http.Handler { return wire.NewMembershipServer(a.member) }

// publish makes the table's snapshot visible to readers, as a copy that is never changed. isUpdate is
// false if only the proof is later.
func (a *Agent) publish(t *table, isUpdate bool) {
	old, snapshot := a.published.Load(), t.snapshot
	if !isUpdate {
		a.published.Store(&publishedSnapshot{&snapshot, old.replaced})
		return
	}
	a.published.Store(&publishedSnapshot{&snapshot, make(chan struct{})})
	close(old.replaced)
}

// updateMembership applies the current cluster membership.
func (a *Agent) updateMembership(t *table) {
	if t.applyMembership(*a.view.Load(), a.process.Clock.Now()) {
		a.publish(t, true)
	}
}

// updateFollowed starts and stops followers, so that the right control nodes are followed.
func (a *Agent) updateFollowed(t *table) {
	a.updateMembership(t)
	wanted := a.controlNodes(t)
	for addr, stop := range a.followed {
		if !wanted[addr] {
			stop()
			delete(a.followed, addr)
		}
	}
	for addr := range wanted {
		if a.followed[addr] == nil && a.process.Ctx.Err() == nil {
			ctx, stop := context.WithCancel(a.process.Ctx)
			a.followed[addr] = stop
			go a.follow(ctx, addr)
		}
	}
}

// controlNodes are the addresses of the control nodes to follow: the members of the group. An agent that is
// out of contact follows the seeds and all known control nodes too: the members may have been replaced
// meanwhile.
func (a *Agent) controlNodes(t *table) map[string]bool {
	addrs := map[string]bool{}
	for _, member := range t.proof.Members() {
		addrs[address(member)] = true
	}
	if now := a.process.Clock.Now(); len(addrs) > 0 && !t.isOutOfContact(now) {
		return addrs
	}
	for _, seed := range a.seeds {
		addrs[seed] = true
	}
	for _, node := range t.snapshot.Nodes {
		if node.Role == clustermembership.RoleControlNode && node.State != clustermembership.Dead {
			addrs[node.Addr] = true
		}
	}
	return addrs
}

// handleResponse applies one member's response, and reports whether it had an update.
func (a *Agent) handleResponse(response *wire.FollowResponse, requested uint64, requestedAt time.Duration) (isUpdate bool) {
	a.actor.Ask(func(t *table) {
		generation, term, index, hadNoProof := t.proof.generation, t.proof.term, t.proof.index, t.snapshot.ProofAt == 0
		var err error
		isUpdate, err = t.applyResponse(response, requested, requestedAt, a.process.Clock.Now())
		if err != nil {
			// The control state holds checked documents; a program older than a document can still fail here.
			a.process.Log.Error("document can't be read: the previous one stays in use", "from", response.Member, "error", err)
		}
		a.publish(t, isUpdate)
		if hadNoProof && t.snapshot.ProofAt > 0 {
			a.process.Log.Info("first plan proved", "version", t.snapshot.Plan.Version, "workers", len(t.snapshot.Workers))
		}
		if t.proof.generation != generation || t.proof.term != term || t.proof.index != index {
			a.updateFollowed(t)
		}
	})
	return isUpdate
}
