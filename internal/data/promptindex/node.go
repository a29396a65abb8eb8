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

// Node is an index node: one thread owns the tables; others poll workers and serve.
type Node struct {
	life *daemon.Process
	desk *queue.Actor[Core]
	clk  clock.Clock
	sh   atomic.Pointer[Shards]
	name string
	be   *contract.Backends
	fol  *updatestream.Follower
	busy map[string]bool // workers whose poll is under way; the desk's
	seen map[string]bool
}

// Start runs an index node.
//
// Example: daemon.Main("catalogue", "index node", need, catalogue.Start)
func Start(l *daemon.Process) error {
	n := &Node{life: l, clk: l.Clock, name: "catalogue/" + l.Place.Name, be: contract.NewBackends(l.Dial),
		busy: map[string]bool{}, seen: map[string]bool{}}
	n.desk = queue.NewActor(New(l.Place.Bounds, func(k prefix.Key) bool {
		s := n.sh.Load()
		return s != nil && s.Mine(n.name, k)
	}), 1024)
	l.OnStop(n.desk.Stop)
	l.OnStop(n.be.Close)
	calls := daemon.NewClients(l)
	ros := clustermembership.Start(l.Ctx, l.Place, "catalogue", n.clk, l.Log, calls.Membership, func(v clustermembership.View) { n.reshard(v.Nodes) })
	n.fol = updatestream.Follow(l.Ctx, n.clk, l.Log, func() wire.Runner { return calls.NodeAgent(l.Place.Runner) }, l.Place.Bounds.Heal(1.0/24), nil, updatestream.Seeds(ros.SetSeeds))
	l.Every(l.Place.Bounds.Heal(1.0/12), n.poll)
	count := func(f func(*Core) float64) func() float64 {
		return func() (v float64) { n.desk.Ask(func(c *Core) { v = f(c) }); return v }
	}
	l.Go(func() { <-l.Draining; ros.Leave() })
	l.Meter.Gauge("pebbleloom_index_entries", "prefix entries held", count(func(c *Core) float64 { return float64(len(c.all)) }))
	l.Meter.Count("pebbleloom_index_gaps_total", "gaps seen in workers' reports", count(func(c *Core) float64 { return float64(c.Stats.Gaps) }))
	l.Meter.Count("pebbleloom_index_whole_reports_total", "full reports taken", count(func(c *Core) float64 { return float64(c.Stats.Wholes) }))
	l.Meter.Count("pebbleloom_index_evicted_total", "entries dropped for room", count(func(c *Core) float64 { return float64(c.Stats.Evicted) }))
	l.Meter.Gauge("pebbleloom_index_warm", "1 once every worker has told all it holds", count(func(c *Core) float64 {
		if c.Warm() {
			return 1
		}
		return 0
	}))
	mux := http.NewServeMux()
	mux.Handle(wire.CataloguePathPrefix, wire.NewCatalogueServer(n))
	mux.Handle(wire.RosterPathPrefix, wire.NewRosterServer(ros))
	if err := l.Serve(l.Place.Listen, mux); err != nil {
		return err
	}
	l.Ready.Store(true)
	return nil
}

func (n *Node) reshard(nodes []*wire.Node) {
	s := NewShards(nodes)
	if old := n.sh.Swap(s); !s.Same(old, n.name) {
		n.desk.TrySend(func(c *Core) { c.Reshard() })
	}
}

// poll asks every listed worker, and the store, for what it has kept.
func (n *Node) poll() {
	s := n.fol.Now()
	if s == nil {
		return
	}
	n.desk.Ask(func(c *Core) {
		here := map[string]bool{}
		for _, w := range s.Workers {
			if w.State == updatestream.WorkerGone || w.Kind == "app" {
				continue
			}
			here[w.Name] = true
			if n.busy[w.Name] {
				continue
			}
			n.busy[w.Name] = true
			go n.ask(w.Addr, c.Want(w.Name, w.Service))
		}
		for name := range n.seen {
			if !here[name] {
				c.Leave(name)
			}
		}
		n.seen = here
	})
}

func (n *Node) ask(addr string, q Question) {
	ctx, end := context.WithTimeout(n.life.Ctx, n.life.Place.Bounds.Heal(1.0/6))
	defer end()
	r, err := n.be.Kept(ctx, addr, q.After, q.Whole)
	n.desk.Ask(func(c *Core) {
		delete(n.busy, q.Name)
		if err == nil {
			c.Report(q, r, n.clk.Now())
		}
	})
}

// Seek answers look-ups.
//
// Example: wire.NewCatalogueProtobufClient(url, h).Seek(ctx, ask)
func (n *Node) Seek(_ context.Context, a *wire.LookAsk) (*wire.LookTell, error) {
	t := &wire.LookTell{}
	ks := make([]prefix.Key, 0, len(a.Keys))
	for _, k := range a.Keys {
		if len(k) == len(prefix.Key{}) {
			ks = append(ks, prefix.Key(k))
		}
	}
	n.desk.Ask(func(c *Core) {
		now := n.clk.Now()
		t.Found, t.Warm = c.Seek(ks, now), c.Warm()
		if a.Loads != nil {
			c.loads.Hear(a.Teller, a.Loads, now)
			t.Loads = c.loads.Others(a.Teller, a.Loads.List, now)
		}
	})
	return t, nil
}

// Count takes accesses.
//
// Example: wire.NewCatalogueProtobufClient(url, h).Count(ctx, ask)
func (n *Node) Count(_ context.Context, a *wire.CountAsk) (*wire.CountTell, error) {
	t := &wire.CountTell{}
	n.desk.Ask(func(c *Core) {
		now := n.clk.Now()
		c.loads.Hear(a.Teller, a.Loads, now)
		t = c.Count(a, now)
	})
	return t, nil
}

// Hottest lists hot entries.
//
// Example: wire.NewCatalogueProtobufClient(url, h).Hottest(ctx, ask)
func (n *Node) Hottest(_ context.Context, a *wire.HotAsk) (*wire.HotTell, error) {
	t := &wire.HotTell{}
	n.desk.Ask(func(c *Core) { t = c.Hottest(a.Service, int(a.Limit), n.clk.Now()) })
	return t, nil
}
