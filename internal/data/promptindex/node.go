package promptindex

import (
	"context"
	"net/http"
	"sync/atomic"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/contract"
	"pebbleloom/internal/control/clustermembership"
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/data/prefix"
	"pebbleloom/internal/data/updatestream"
	"pebbleloom/internal/queue"
	"pebbleloom/internal/wire"
)

// Node is an index node: one actor holds the tables; others poll workers and serve.
type Node struct {
	process  *daemon.Process
	actor    *queue.Actor[Core]
	clock    clock.Clock
	shards   atomic.Pointer[Shards]
	name     string
	backends *contract.Backends
	updates  *updatestream.Follower
	polling  map[string]bool // workers with a poll in flight; owned by the actor
	listed   map[string]bool
}

// Start runs an index node.
//
// Example: daemon.Main("catalogue", "index node", need, promptindex.Start)
func Start(l *daemon.Process) error {
	n := &Node{process: l, clock: l.Clock, name: clustermembership.RolePromptIndex + "/" + l.Settings.Name, backends: contract.NewBackends(l.Dial),
		polling: map[string]bool{}, listed: map[string]bool{}}
	n.actor = queue.NewActor(NewCore(l.Settings.Bounds, func(k prefix.Key) bool {
		s := n.shards.Load()
		return s != nil && s.IsAssigned(n.name, k)
	}), 1024)
	l.OnStop(n.actor.Stop)
	l.OnStop(n.backends.Close)
	calls := daemon.NewClients(l)
	ros := clustermembership.Start(l.Ctx, clustermembership.Config{
		Process:  l.Settings,
		Role:     clustermembership.RolePromptIndex,
		Clock:    n.clock,
		Log:      l.Log,
		Client:   calls.Membership,
		OnChange: func(v clustermembership.View) { n.reshard(v.Nodes) },
	})
	n.updates = updatestream.Follow(l.Ctx, n.clock, l.Log, func() wire.NodeAgent { return calls.NodeAgent(l.Settings.NodeAgent) }, l.Settings.Bounds.Heal(1.0/24), nil, updatestream.OnSeedsChanged(ros.SetSeeds))
	l.Every(l.Settings.Bounds.Heal(1.0/12), n.poll)
	count := func(f func(*Core) float64) func() float64 {
		return func() (v float64) { n.actor.Ask(func(c *Core) { v = f(c) }); return v }
	}
	l.Go(func() { <-l.Draining; ros.Leave() })
	l.Meter.Gauge("pebbleloom_index_entries", "prefix entries held", count(func(c *Core) float64 { return float64(len(c.entries)) }))
	l.Meter.Counter("pebbleloom_index_gaps_total", "gaps seen in workers' reports", count(func(c *Core) float64 { return float64(c.Stats.Gaps) }))
	l.Meter.Counter("pebbleloom_index_whole_reports_total", "full reports received", count(func(c *Core) float64 { return float64(c.Stats.FullReports) }))
	l.Meter.Counter("pebbleloom_index_evicted_total", "entries dropped for room", count(func(c *Core) float64 { return float64(c.Stats.Evicted) }))
	l.Meter.Gauge("pebbleloom_index_warm", "1 once every worker has reported everything it holds", count(func(c *Core) float64 {
		if c.Warm() {
			return 1
		}
		return 0
	}))
	mux := http.NewServeMux()
	mux.Handle(wire.PromptIndexPathPrefix, wire.NewPromptIndexServer(n))
	mux.Handle(wire.MembershipPathPrefix, wire.NewMembershipServer(ros))
	if err := l.Serve(l.Settings.Listen, mux); err != nil {
		return err
	}
	l.Ready.Store(true)
	return nil
}

func (n *Node) reshard(nodes []*wire.Node) {
	s := NewShards(nodes)
	if old := n.shards.Swap(s); !s.SameAssignment(old, n.name) {
		n.actor.TrySend(func(c *Core) { c.Reshard() })
	}
}

// poll polls every listed worker, and the store, for what it caches.
func (n *Node) poll() {
	s := n.updates.Snapshot()
	if s == nil {
		return
	}
	n.actor.Ask(func(c *Core) {
		here := map[string]bool{}
		for _, w := range s.Workers {
			if w.State == updatestream.WorkerGone || w.Kind == "app" {
				continue
			}
			here[w.Name] = true
			if n.polling[w.Name] {
				continue
			}
			n.polling[w.Name] = true
			go n.pollWorker(w.Addr, c.NextReport(w.Name, w.Service))
		}
		for name := range n.listed {
			if !here[name] {
				c.RemoveWorker(name)
			}
		}
		n.listed = here
	})
}

func (n *Node) pollWorker(addr string, q ReportRequest) {
	ctx, end := context.WithTimeout(n.process.Ctx, n.process.Settings.Bounds.Heal(1.0/6))
	defer end()
	r, err := n.backends.CachedPrefixes(ctx, addr, q.After, q.Full)
	n.actor.Ask(func(c *Core) {
		delete(n.polling, q.Name)
		if err == nil {
			c.ApplyReport(q, r, n.clock.Now())
		}
	})
}

// Lookup serves lookups.
//
// Example: wire.NewCatalogueProtobufClient(url, h).Seek(ctx, ask)
func (n *Node) Lookup(_ context.Context, a *wire.LookupRequest) (*wire.LookupResponse, error) {
	t := &wire.LookupResponse{}
	ks := make([]prefix.Key, 0, len(a.Keys))
	for _, k := range a.Keys {
		if len(k) == len(prefix.Key{}) {
			ks = append(ks, prefix.Key(k))
		}
	}
	n.actor.Ask(func(c *Core) {
		now := n.clock.Now()
		t.Results, t.Warm = c.Lookup(ks, now), c.Warm()
		if a.Loads != nil {
			c.loads.Record(a.Reporter, a.Loads, now)
			t.Loads = c.loads.Others(a.Reporter, a.Loads.WorkerListHash, now)
		}
	})
	return t, nil
}

// Count serves reports of accesses.
//
// Example: wire.NewCatalogueProtobufClient(url, h).Count(ctx, ask)
func (n *Node) Count(_ context.Context, a *wire.CountRequest) (*wire.CountResponse, error) {
	t := &wire.CountResponse{}
	n.actor.Ask(func(c *Core) {
		now := n.clock.Now()
		c.loads.Record(a.Reporter, a.Loads, now)
		t = c.RecordAccesses(a, now)
	})
	return t, nil
}

// Hottest serves the hottest entries.
//
// Example: wire.NewCatalogueProtobufClient(url, h).Hottest(ctx, ask)
func (n *Node) Hottest(_ context.Context, a *wire.HottestRequest) (*wire.HottestResponse, error) {
	t := &wire.HottestResponse{}
	n.actor.Ask(func(c *Core) { t = c.Hottest(a.Service, int(a.Limit), n.clock.Now()) })
	return t, nil
}
