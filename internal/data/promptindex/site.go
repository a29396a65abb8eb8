package promptindex

import (
	"context"
	"net/http"
	"time"

	"pebbleloom/internal/daemon"
	"pebbleloom/internal/data/backend"
	"pebbleloom/internal/data/prefix"
	"pebbleloom/internal/fleet"
	"pebbleloom/internal/queue"
	"pebbleloom/internal/wire"
)

// How a site's workers are followed, as ratios of the heal bound: each call has its price.
const (
	tickPart  = 1.0 / 48
	pacePart  = 1.0 / 24 // between two calls to one worker
	newPart   = 1.0 / 96 // within which those that are new are asked first
	waitPart  = 1.0 / 12 // that a worker may hold a call until something happens
	landPart  = 1.0 / 12 // beyond the wait that an answer may take
	keptPart  = 1.0 / 24 // between two whole lists of any workers: they hold the workers up
	againPart = 1.0      // between two whole lists of one worker
	sweepPart = 1.0
	untold    = 1.0 / 8 // of the workers: the index answers for the rest
)

// Serving picks the index nodes that a site's keys are laid out over: half of them, two at
// least, of different districts where there are such. The others stand by, and cost no calls.
//
// Example: s := catalogue.NewShards(catalogue.Serving(snapshot.Nodes))
func Serving(nodes []*wire.Node) []*wire.Node {
	by := map[string]*wire.Node{}
	var names []string
	for _, n := range nodes {
		if n.Role == "catalogue" && n.State < 2 && by[n.Name] == nil {
			by[n.Name] = n
			names = append(names, n.Name)
		}
	}
	want := max(2, (len(names)+1)/2)
	var l []*wire.Node
	taken, in := map[string]bool{}, map[string]bool{}
	for pass := range 2 {
		for _, name := range queue.Rendezvous("serving", names) {
			n := by[name]
			if len(l) == want || in[name] || pass == 0 && taken[n.District] {
				continue
			}
			l = append(l, n)
			taken[n.District], in[name] = true, true
		}
	}
	return l
}

// target is a worker or store whose changes are followed.
type target struct{ name, service, addr string }

func targets(s *fleet.Snapshot) (l []target) {
	engines := map[string]bool{}
	for _, v := range s.Plan.Services {
		engines[v.Name] = v.Engine != nil
		if v.Store != nil {
			l = append(l, target{v.Name, "", v.Store.Addr})
		}
	}
	for _, w := range s.Workers {
		if engines[w.Service] {
			l = append(l, target{w.ID, w.Service, w.Addr})
		}
	}
	return l
}

// site follows the workers of a snapshot; its tables are the desk's.
type site struct {
	n        *Node
	calls    backend.Calls
	snapshot func() *fleet.Snapshot
	next     map[string]time.Duration // when each is asked again
	lists    map[string]time.Duration // when each told its whole list
	listAt   time.Duration
	sweptAt  time.Duration
	serves   bool
}

// StartSite runs an index node that follows the workers and stores of a snapshot. The caller
// serves its Handler.
//
// Example: n, err := catalogue.StartSite(life, calls, agent.Snapshot)
func StartSite(l *daemon.Process, calls backend.Calls, snapshot func() *fleet.Snapshot) (*Node, error) {
	n := &Node{life: l, clk: l.Clock, name: "catalogue/" + l.Place.Name, busy: map[string]bool{}, seen: map[string]bool{}}
	c := New(l.Place.Bounds, func(prefix.Key) bool { return true }) // whoever takes over a shard has it
	c.slack = untold
	n.desk = queue.NewActor(c, 1024)
	l.OnStop(n.desk.Stop)
	s := newSite(n, calls, snapshot)
	l.Every(l.Place.Bounds.Heal(tickPart), s.tick)
	l.Meter.Gauge("pebbleloom_index_entries", "prefix entries held", s.count(func(c *Core) float64 { return float64(len(c.all)) }))
	l.Meter.Count("pebbleloom_index_gaps_total", "gaps seen in workers' reports", s.count(func(c *Core) float64 { return float64(c.Stats.Gaps) }))
	l.Meter.Count("pebbleloom_index_whole_reports_total", "full reports taken", s.count(func(c *Core) float64 { return float64(c.Stats.Wholes) }))
	return n, nil
}

func newSite(n *Node, calls backend.Calls, snapshot func() *fleet.Snapshot) *site {
	return &site{n: n, calls: calls, snapshot: snapshot, next: map[string]time.Duration{}, lists: map[string]time.Duration{}}
}

func (s *site) count(f func(*Core) float64) func() float64 {
	return func() (v float64) { s.n.desk.Ask(func(c *Core) { v = f(c) }); return v }
}

// Handler answers what edges and placement ask of the index.
//
// Example: mux.Handle(wire.CataloguePathPrefix, n.Handler())
func (n *Node) Handler() http.Handler { return wire.NewCatalogueServer(n) }

// tick asks those whose turn it is, where this node serves any shard.
func (s *site) tick() {
	snap := s.snapshot()
	if snap == nil || snap.Plan == nil {
		return
	}
	serves := false
	for _, n := range Serving(snap.Nodes) {
		serves = serves || n.Name == s.n.name
	}
	l, now := targets(snap), s.n.clk.Now()
	s.n.desk.Ask(func(c *Core) {
		if s.serves != serves {
			s.serves = serves
			c.Cool()
		}
		if !serves {
			return
		}
		here := make(map[string]bool, len(l))
		for _, x := range l {
			here[x.name] = true
			s.turn(c, x, now)
		}
		for name := range s.n.seen {
			if !here[name] {
				c.Leave(name)
				delete(s.next, name)
				delete(s.lists, name)
			}
		}
		s.n.seen = here
		if now-s.sweptAt > s.n.life.Place.Bounds.Heal(sweepPart) {
			s.sweptAt = now
			c.Sweep(here, now)
		}
	})
}

// turn asks one worker, if it is time. Those that are new are asked soon.
func (s *site) turn(c *Core, x target, now time.Duration) {
	b := s.n.life.Place.Bounds
	at, known := s.next[x.name]
	if !known {
		at = now + time.Duration(queue.Hash(s.n.name+x.name)%uint64(b.Heal(newPart)))
		s.next[x.name] = at
	}
	if s.n.busy[x.name] || now < at {
		return
	}
	q := c.Next(x.name, x.service)
	q.Whole = q.Whole && s.mayList(x.name, now)
	if q.Whole {
		s.listAt, s.lists[x.name] = now, now
	}
	s.n.busy[x.name], s.next[x.name] = true, now+b.Heal(pacePart)
	go s.ask(x, q)
}

// mayList tells whether a whole list may be asked for now.
func (s *site) mayList(name string, now time.Duration) bool {
	b := s.n.life.Place.Bounds
	at, listed := s.lists[name]
	return (s.listAt == 0 || now-s.listAt >= b.Heal(keptPart)) && (!listed || now-at >= b.Heal(againPart))
}

func (s *site) ask(x target, q Question) {
	b := s.n.life.Place.Bounds
	ctx, end := context.WithTimeout(s.n.life.Ctx, b.Heal(waitPart+landPart))
	defer end()
	var e backend.Events
	var err error
	if q.Whole {
		e, err = s.calls.Kept(ctx, x.addr)
	} else {
		e, err = s.calls.Events(ctx, x.addr, q.After, b.Heal(waitPart))
	}
	s.n.desk.Ask(func(c *Core) {
		delete(s.n.busy, x.name)
		now := s.n.clk.Now()
		if err != nil || e.Full {
			s.next[x.name] = now + b.Heal(pacePart)
			if err != nil && x.service == "" {
				c.Down(x.name)
			}
			return
		}
		c.Changes(q, e, now)
		if x.service == "" {
			c.Up(x.name, now)
		}
	})
}
