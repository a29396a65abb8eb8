// Package agent connects a process to the replicated control state: it joins the cluster membership,
// receives updates of the routing plan and related documents by long polling, proves that the plan in use
// is the newest, and publishes everything as one immutable snapshot.
package agent

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"pebbleloom/internal/control/clustermembership"
	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/data/backend"
	"pebbleloom/internal/fleet"
	"pebbleloom/internal/queue"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

// Agent maintains one process's snapshot of the control state. All its methods are safe for concurrent use.
type Agent struct {
	process   *daemon.Process
	actor     *queue.Actor[table]
	member    *clustermembership.Member
	view      atomic.Pointer[clustermembership.View] // latest cluster membership, which commands of the actor apply to the table
	connect   func(addr string) wire.ControlNode
	published atomic.Pointer[publishedSnapshot]

	// The fields followed and seeds are accessed only by commands of the actor.
	followed map[string]context.CancelFunc // by address of a control node: stops the long polling of that node
	seeds    []string
}

// publishedSnapshot is a snapshot with a channel that is closed once a snapshot with other contents replaces it.
type publishedSnapshot struct {
	snapshot *fleet.Snapshot
	replaced chan struct{}
}

// Start joins the cluster membership in the given role and receives updates of the control state until the
// process stops.
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

// addMetrics registers gauges for the current snapshot.
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

// newAgent returns an agent that does not poll any control node yet.
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

// Snapshot returns the current snapshot, which the caller must not modify. Its Plan is nil until the first
// plan has been received.
//
// Example: snapshot := a.Snapshot(); if snapshot.Plan == nil { return notReady }
func (a *Agent) Snapshot() *fleet.Snapshot { return a.published.Load().snapshot }

// Changed returns a channel that is closed when the contents of the snapshot change; a newer freshness proof
// alone does not close it. Call it before Snapshot so that no update in between is missed.
//
// Example: changed := a.Changed(); use(a.Snapshot()); <-changed
func (a *Agent) Changed() <-chan struct{} { return a.published.Load().replaced }

// Membership returns the current cluster membership.
//
// Example: for _, node := range a.Membership().Role(clustermembership.RolePromptIndex) { ask(node.Addr) }
func (a *Agent) Membership() clustermembership.View { return a.member.View() }

// Handler returns the HTTP handler of the cluster membership protocol. The caller registers it with the
// process's HTTP server.
//
// Example: mux.Handle(wire.MembershipPathPrefix, a.Handler())
func (a *Agent) Handler() http.Handler { return wire.NewMembershipServer(a.member) }

// publish makes a copy of the table's snapshot visible to readers; the copy is never modified. isUpdate is
// false if nothing but the time of the freshness proof has changed.
func (a *Agent) publish(t *table, isUpdate bool) {
	old, snapshot := a.published.Load(), t.snapshot
	if !isUpdate {
		a.published.Store(&publishedSnapshot{&snapshot, old.replaced})
		return
	}
	a.published.Store(&publishedSnapshot{&snapshot, make(chan struct{})})
	close(old.replaced)
}

// updateMembership applies the latest cluster membership to the table, and publishes a new snapshot if this changed the
// table's snapshot.
func (a *Agent) updateMembership(t *table) {
	if t.applyMembership(*a.view.Load(), a.process.Clock.Now()) {
		a.publish(t, true)
	}
}

// updateFollowed starts polling the control nodes returned by controlNodes and stops polling all others.
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

// controlNodes returns the addresses of the control nodes to poll: normally the members of the consensus group. An
// agent without a recent freshness proof also polls the seeds and all known control nodes, because the members may have
// been replaced in the meantime.
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

// handleResponse applies the response of one member of the consensus group and reports whether it contained an update.
// requested is the plan version that the request reported as known.
func (a *Agent) handleResponse(response *wire.FollowResponse, requested uint64, requestedAt time.Duration) (isUpdate bool) {
	a.actor.Ask(func(t *table) {
		generation, term, index, hadNoProof := t.proof.generation, t.proof.term, t.proof.index, t.snapshot.ProofAt == 0
		plan := t.snapshot.Plan
		var err error
		isUpdate, err = t.applyResponse(response, requested, requestedAt, a.process.Clock.Now())
		if err != nil {
			// Control nodes validate documents before they store them, but those of a newer release may use a format
			// that this release can't decode.
			a.process.Log.Error("failed to decode documents from control node; keeping their previous versions", "from", response.Member, "error", err)
		}
		a.publish(t, isUpdate)
		a.logTenantChanges(plan, t.snapshot.Plan)
		if hadNoProof && t.snapshot.ProofAt > 0 {
			a.process.Log.Info("first routing plan confirmed as the newest by a quorum of control nodes", "version", t.snapshot.Plan.Version, "workers", len(t.snapshot.Workers))
		}
		if t.proof.generation != generation || t.proof.term != term || t.proof.index != index {
			a.updateFollowed(t)
		}
	})
	return isUpdate
}

// logTenantChanges logs what a newer plan changes for all tenants: a new cache domain, in which prompt parts are computed
// again, and the removal of the last tenant, after which no key is accepted.
func (a *Agent) logTenantChanges(old, newest *routingconfig.Plan) {
	if old == nil || newest == nil {
		return
	}
	if old.SharedDomain != newest.SharedDomain {
		a.process.Log.Info("a tenant was isolated: all other tenants share a new cache domain, in which prompt parts are computed again",
			"version", newest.Version, "domain", newest.SharedDomain)
	}
	if len(old.Tenants) > 0 && len(newest.Tenants) == 0 {
		a.process.Log.Warn("the last tenants were removed: no request with a key is accepted on routes that are not public",
			"version", newest.Version, "keyless_requests_accepted", !newest.RequiresKey(false))
	}
}
