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

// table is the state of a node agent; the actor's goroutine alone touches it.
type table struct {
	freshness  *FreshnessProof
	workers    *WorkerTable
	view       clustermembership.View
	placements map[string]*wire.Document
	config     *serviceconfig.Config
	links      map[string]*wire.LinkThroughput
	// health is how a worker's recent attempts ended, as the proxy on this machine saw them.
	health       map[string]*recentOutcomes
	version      uint64 // of everything in an update
	listsVersion uint64 // of workers, nodes, placements, stores and links
	waiting      map[chan struct{}]bool
	rows         []*wire.Worker
	decisions    []*wire.Decision // the latest decisions, oldest first
}

// Agent is the node agent of one machine.
type Agent struct {
	process  *daemon.Process
	actor    *queue.Actor[table]
	clock    clock.Clock
	clients  *daemon.Clients
	backends *contract.Backends
	member   *clustermembership.Member
}

// Start runs the node agent.
//
// Example: daemon.Main("runner", "the agent on an edge machine", need, nodeagent.Start)
func Start(process *daemon.Process) error {
	b := process.Settings.Bounds
	a := &Agent{process: process, clock: process.Clock, clients: daemon.NewClients(process), backends: contract.NewBackends(process.Dial)}
	process.OnStop(a.backends.Close)
	ms := controlclient.Members(0, process.Settings.Core)
	// Versions start at random, so that a client can't mistake a new incarnation's for the old one's.
	a.actor = queue.NewActor(&table{version: process.Seed(), listsVersion: process.Seed(), freshness: NewFreshnessProof(), workers: NewWorkerTable(b), placements: map[string]*wire.Document{},
		links: map[string]*wire.LinkThroughput{}, health: map[string]*recentOutcomes{}, waiting: map[chan struct{}]bool{}}, 1024)
	process.OnStop(a.actor.Stop)
	a.member = clustermembership.Start(process.Ctx, process.Settings, clustermembership.RoleNodeAgent, a.clock, process.Log, a.clients.Membership, func(v clustermembership.View) {
		a.actor.TrySend(func(t *table) { t.view = v; t.notifyListsChanged() })
	})
	for _, m := range ms {
		process.Go(func() { a.followConfig(m) })
	}
	process.Every(b.Leave(0.15), a.refreshWorkers)
	process.Every(b.Leave(0.15), a.probeWorkers)
	process.Every(b.Heal(1.0/12), a.followPlacements)
	process.Meter.Gauge("pebbleloom_workers_up", "workers that this machine sees up", func() (v float64) {
		a.actor.Ask(func(t *table) {
			for _, w := range t.rows {
				if w.State == updatestream.WorkerUp {
					v++
				}
			}
		})
		return v
	})
	process.Meter.Gauge("pebbleloom_nodes", "nodes that this machine doesn't see as gone", func() (v float64) {
		for _, n := range a.member.View().Nodes {
			if n.State != clustermembership.Dead {
				v++
			}
		}
		return v
	})
	mux := http.NewServeMux()
	mux.Handle(wire.NodeAgentPathPrefix, wire.NewNodeAgentServer(a))
	mux.Handle(wire.MembershipPathPrefix, wire.NewMembershipServer(a.member))
	if err := process.Serve(process.Settings.Listen, mux); err != nil {
		return err
	}
	view := func() clustermembership.View { return a.member.View() }
	if err := operatorapi.Serve(process, controlclient.New(process.Settings.Core, view, a.clients, b), view, a.clients); err != nil {
		return err
	}
	process.Ready.Store(true)
	return nil
}

func (t *table) notifyWaiting() {
	t.version++
	for c := range t.waiting {
		close(c)
	}
	clear(t.waiting)
}

// notifyListsChanged records that the lists have changed.
func (t *table) notifyListsChanged() {
	t.listsVersion++
	t.notifyWaiting()
}

// followConfig polls one member of the configuration's shard with the version it has.
func (a *Agent) followConfig(member string) {
	b := a.process.Settings.Bounds
	for a.process.Ctx.Err() == nil {
		var have uint64
		a.actor.Ask(func(t *table) { have = t.freshness.LatestVersion() })
		asked := a.clock.Now()
		var response *wire.WatchResponse
		if addr, ok := a.member.View().Addr(clustermembership.RoleControlNode + "/" + member); ok {
			ctx, end := context.WithTimeout(a.process.Ctx, b.Config(0.3))
			t, err := a.clients.ControlNode(addr).Watch(ctx, &wire.WatchRequest{Key: controlclient.ConfigKey, KnownVersion: have, MaxWaitNs: uint64(b.Config(0.15))})
			end()
			if err == nil {
				response = t
			}
		}
		if response == nil || response.Outcome == wire.OutcomeUnknown {
			clock.Sleep(a.process.Ctx, b.Config(0.05))
			if response == nil {
				continue
			}
		}
		a.actor.Ask(func(t *table) { a.applyResponse(t, member, have, asked, response) })
	}
}

func (a *Agent) applyResponse(t *table, member string, have uint64, asked time.Duration, response *wire.WatchResponse) {
	if t.freshness.HandleResponse(member, have, asked, response) {
		s, err := serviceconfig.Decode(t.freshness.Document().Body)
		if err != nil {
			// The control state holds checked configurations only; an older program can still
			// fail here. It runs without a configuration rather than with half of one.
			a.process.Log.Error("configuration can't be read", "version", t.freshness.Document().Version, "error", err)
		}
		t.config = s
		if s != nil && len(s.Seeds) == 3 {
			a.member.SetSeeds(s.Seeds)
		}
		a.process.Log.Info("configuration adopted", "version", t.freshness.Document().Version)
	}
	t.notifyWaiting()
}

func (a *Agent) refreshWorkers() {
	asked := a.clock.Now()
	ctx, end := context.WithTimeout(a.process.Ctx, a.process.Settings.Bounds.Leave(0.3))
	defer end()
	l, err := a.backends.List(ctx, a.process.Settings.WorkerList)
	if err != nil {
		a.process.Log.Debug("platform doesn't answer: the last list stays", "error", err)
		return
	}
	a.actor.TrySend(func(t *table) { t.workers.ApplyList(l, asked); a.publishWorkers(t) })
}

func (a *Agent) probeWorkers() {
	var l []contract.ListedWorker
	a.actor.Ask(func(t *table) { l = t.workers.StartProbes() })
	for _, x := range l {
		go func() {
			asked := a.clock.Now()
			ctx, end := context.WithTimeout(a.process.Ctx, a.process.Settings.Bounds.Leave(0.25))
			defer end()
			s, err := a.backends.State(ctx, x.Addr)
			a.actor.Ask(func(t *table) { t.workers.RecordProbe(x, s, err == nil, asked, a.clock.Now()) })
		}()
	}
	a.actor.TrySend(a.publishWorkers)
}

// publishWorkers wakes the waiting clients when the worker table has changed.
func (a *Agent) publishWorkers(t *table) {
	var drains map[string]bool
	if t.config != nil {
		drains = t.config.Draining
	}
	rows := t.workers.Rows(drains, a.clock.Now())
	for _, w := range rows { // published rows are never changed
		if h := t.health[w.Name]; h != nil {
			h.decay(a.clock.Now(), a.process.Settings.Bounds.Heal(1))
			w.Successes, w.Failures = h.succeeded, h.failed
		}
	}
	same := len(rows) == len(t.rows)
	for i := 0; same && i < len(rows); i++ {
		row, old := rows[i], t.rows[i]
		same = row.Name == old.Name && row.Addr == old.Addr && row.State == old.State && row.Weights == old.Weights && row.Incarnation == old.Incarnation && row.Model == old.Model && sameLoaded(row.LoadedModels, old.LoadedModels)
	}
	t.rows = rows
	t.listsVersion++ // a change of load alone wakes nobody
	if !same {
		t.notifyWaiting()
	}
}

// followPlacements polls for news of each service's placement.
func (a *Agent) followPlacements() {
	have := map[string]uint64{}
	a.actor.Ask(func(t *table) {
		if t.config == nil {
			return
		}
		for _, w := range t.rows { // the others have no placement
			if _, ok := t.config.Services[w.Service]; ok {
				have[w.Service] = t.placements[w.Service].GetVersion()
			}
		}
		for n := range t.placements {
			if _, ok := t.config.Services[n]; !ok {
				delete(t.placements, n)
			}
		}
	})
	for n, h := range have {
		shard := controlclient.ShardOf(n)
		ms := controlclient.Members(shard, a.process.Settings.Core)
		m := ms[int(a.clock.Now()/time.Second)%len(ms)]
		addr, ok := a.member.View().Addr(clustermembership.RoleControlNode + "/" + m)
		if !ok {
			continue
		}
		ctx, end := context.WithTimeout(a.process.Ctx, a.process.Settings.Bounds.Heal(1.0/24))
		response, err := a.clients.ControlNode(addr).Watch(ctx, &wire.WatchRequest{Shard: shard, Key: "placement/" + n, KnownVersion: h})
		end()
		if err == nil && response.Outcome == wire.OutcomeUpdated && response.Document.GetVersion() > h {
			a.actor.TrySend(func(t *table) {
				t.placements[n] = &wire.Document{Key: n, Body: response.Document.Body, Version: response.Document.Version}
				t.notifyListsChanged()
			})
		}
	}
}

const maxDecisions = 1024

// Explain returns what the proxy on this machine decided on a request.
//
// Example: wire.NewRunnerProtobufClient(url, h).Explain(ctx, &wire.ExplainRequest{Request: "r1"})
func (a *Agent) Explain(_ context.Context, request *wire.ExplainRequest) (*wire.ExplainResponse, error) {
	t := &wire.ExplainResponse{}
	a.actor.Ask(func(x *table) {
		for _, d := range x.decisions {
			if d.RequestId == request.RequestId {
				t.Decisions = append(t.Decisions, d)
			}
		}
	})
	return t, nil
}

// Feed responds to the processes on this machine: at once if there is news, else when the hold time is
// over.
//
// Example: wire.NewRunnerProtobufClient(url, h).Feed(ctx, &wire.FeedRequest{Have: 9, HoldNs: 2e8})
func (a *Agent) Feed(ctx context.Context, request *wire.FeedRequest) (*wire.FeedResponse, error) {
	end := time.NewTimer(time.Duration(min(request.MaxWaitNs, uint64(10*time.Second))))
	defer end.Stop()
	first := true
	for {
		var response *wire.FeedResponse
		c := make(chan struct{})
		over := false
		select {
		case <-end.C:
			over = true
		default:
		}
		ok := a.actor.Ask(func(t *table) {
			if first {
				a.recordAttempts(t, request.Attempts)
				t.decisions = append(t.decisions, request.Decisions...)
				t.decisions = t.decisions[max(0, len(t.decisions)-maxDecisions):]
			}
			if t.version != request.KnownVersion || over || request.MaxWaitNs == 0 || len(t.waiting) > 64 {
				response = a.newResponse(t, request)
				return
			}
			t.waiting[c] = true
		})
		if !ok || response != nil {
			if response == nil {
				response = &wire.FeedResponse{Version: request.KnownVersion}
			}
			return response, nil
		}
		first = false
		select {
		case <-c:
		case <-end.C:
			request.MaxWaitNs = 0
		case <-ctx.Done():
			request.MaxWaitNs = 0
		}
		a.actor.TrySend(func(t *table) { delete(t.waiting, c) })
	}
}

// recentOutcomes is how a worker's recent attempts ended, as the proxy on this machine saw them.
type recentOutcomes struct {
	succeeded, failed float64
	updatedAt         time.Duration
}

func (h *recentOutcomes) decay(now, window time.Duration) {
	f := math.Exp(-float64(now-h.updatedAt) / float64(window))
	h.succeeded, h.failed, h.updatedAt = h.succeeded*f, h.failed*f, now
}

func (a *Agent) recordAttempts(t *table, l []*wire.AttemptReport) {
	t.workers.RecordAttempts(l, a.clock.Now())
	for _, g := range l {
		if g.Successes+g.Failures > 0 && (t.health[g.Worker] != nil || len(t.health) < maxWorkers) {
			h := t.health[g.Worker]
			if h == nil {
				h = &recentOutcomes{}
				t.health[g.Worker] = h
			}
			h.decay(a.clock.Now(), a.process.Settings.Bounds.Heal(1))
			h.succeeded, h.failed = h.succeeded+float64(g.Successes), h.failed+float64(g.Failures)
		}
		if g.LinkNs <= 0 || len(t.links) > 8 && t.links[g.LinkClass] == nil {
			continue
		}
		s := t.links[g.LinkClass]
		if s == nil {
			s = &wire.LinkThroughput{Class: g.LinkClass}
			t.links[g.LinkClass] = s
		}
		s.Tokens, s.ElapsedNs = s.Tokens*0.98+g.LinkTokens, s.ElapsedNs*0.98+g.LinkNs // older fetches decay
	}
}

// newResponse makes an update. What the client has isn't sent again.
func (a *Agent) newResponse(t *table, request *wire.FeedRequest) *wire.FeedResponse {
	f := &wire.FeedResponse{Version: t.version, ListsVersion: t.listsVersion, ProofAtNs: uint64(t.freshness.FreshUntil()), Config: t.freshness.Document(), WorkersListedAtNs: uint64(t.workers.listedAt)}
	if t.config == nil {
		f.Config, f.ProofAtNs = nil, 0 // an unreadable configuration is none
	} else if f.Config.GetVersion() == request.KnownConfigVersion {
		f.Config = nil
	}
	if request.KnownListsVersion == t.listsVersion && t.listsVersion != 0 {
		return f
	}
	f.Nodes, f.Workers = t.view.Nodes, t.rows
	for _, n := range queue.Keys(t.placements) {
		f.Placements = append(f.Placements, t.placements[n])
	}
	for _, n := range queue.Keys(t.links) {
		s := t.links[n]
		f.Links = append(f.Links, &wire.LinkThroughput{Class: s.Class, Tokens: s.Tokens, ElapsedNs: s.ElapsedNs})
	}
	for _, w := range t.rows {
		if w.Kind == "store" && w.State < 2 {
			f.Stores = append(f.Stores, w.Addr)
		}
	}
	return f
}
