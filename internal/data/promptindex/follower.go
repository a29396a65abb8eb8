package promptindex

import (
	"context"
	"net/http"
	"time"

	"pebbleloom/internal/control/clustermembership"
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/data/backend"
	"pebbleloom/internal/data/prefix"
	"pebbleloom/internal/fleet"
	"pebbleloom/internal/queue"
	"pebbleloom/internal/wire"
)

// Timing of the polls of a site's workers, as ratios of the heal bound: each call costs the worker.
const (
	tickRatio           = 1.0 / 48
	pollRatio           = 1.0 / 24 // between two calls to one worker
	firstPollRatio      = 1.0 / 96 // within which new workers are first polled
	longPollRatio       = 1.0 / 12 // how long a worker may hold a call until an event
	responseGraceRatio  = 1.0 / 12 // timeout beyond the hold time
	fullListRatio       = 1.0 / 24 // between two full lists of any workers: they slow the workers down
	workerFullListRatio = 1.0      // between two full lists of one worker
	sweepRatio          = 1.0
	maxIncompleteRatio  = 1.0 / 8 // of the workers: the index serves without them
)

// ServingNodes selects the index nodes that a site's keys are assigned to: half of them, two at least, in
// different zones if possible. The others stand by, and cost no calls.
//
// Example: s := promptindex.NewShards(promptindex.Serving(snapshot.Nodes))
func ServingNodes(nodes []*wire.Node) []*wire.Node {
	by := map[string]*wire.Node{}
	var names []string
	for _, n := range nodes {
		if n.Role == clustermembership.RolePromptIndex && n.State < 2 && by[n.Name] == nil {
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
			if len(l) == want || in[name] || pass == 0 && taken[n.Zone] {
				continue
			}
			l = append(l, n)
			taken[n.Zone], in[name] = true, true
		}
	}
	return l
}

// pollTarget is a worker or store whose events are followed.
type pollTarget struct{ name, service, addr string }

func pollTargets(s *fleet.Snapshot) (l []pollTarget) {
	engines := map[string]bool{}
	for _, v := range s.Plan.Services {
		engines[v.Name] = v.Engine != nil
		if v.Store != nil {
			l = append(l, pollTarget{v.Name, "", v.Store.Addr})
		}
	}
	for _, w := range s.Workers {
		if engines[w.Service] {
			l = append(l, pollTarget{w.ID, w.Service, w.Addr})
		}
	}
	return l
}

// eventFollower follows the workers of a snapshot; its tables are owned by the actor.
type eventFollower struct {
	node         *Node
	calls        backend.Client
	snapshot     func() *fleet.Snapshot
	nextPoll     map[string]time.Duration // by worker: the next poll
	fullListAt   map[string]time.Duration // by worker: the last full list
	lastFullList time.Duration
	sweptAt      time.Duration
	isServing    bool
}

// StartSite runs an index node that follows the workers and stores of a snapshot. The caller serves
// its Handler.
//
// Example: n, err := promptindex.StartSite(process, calls, agent.Now)
func StartSite(l *daemon.Process, calls backend.Client, snapshot func() *fleet.Snapshot) (*Node, error) {
	n := &Node{process: l, clock: l.Clock, name: clustermembership.RolePromptIndex + "/" + l.Settings.Name, polling: map[string]bool{}, listed: map[string]bool{}}
	c := NewCore(l.Settings.Bounds, func(prefix.Key) bool { return true }) // a node that takes over a shard has its keys already
	c.maxIncompleteRatio = maxIncompleteRatio
	n.actor = queue.NewActor(c, 1024)
	l.OnStop(n.actor.Stop)
	s := newEventFollower(n, calls, snapshot)
	l.Every(l.Settings.Bounds.Heal(tickRatio), s.tick)
	l.Meter.Gauge("pebbleloom_index_entries", "prefix entries held", s.coreMetric(func(c *Core) float64 { return float64(len(c.entries)) }))
	l.Meter.Counter("pebbleloom_index_gaps_total", "gaps seen in workers' reports", s.coreMetric(func(c *Core) float64 { return float64(c.Stats.Gaps) }))
	l.Meter.Counter("pebbleloom_index_whole_reports_total", "full reports received", s.coreMetric(func(c *Core) float64 { return float64(c.Stats.FullReports) }))
	return n, nil
}

func newEventFollower(n *Node, calls backend.Client, snapshot func() *fleet.Snapshot) *eventFollower {
	return &eventFollower{node: n, calls: calls, snapshot: snapshot, nextPoll: map[string]time.Duration{}, fullListAt: map[string]time.Duration{}}
}

func (s *eventFollower) coreMetric(f func(*Core) float64) func() float64 {
	return func() (v float64) { s.node.actor.Ask(func(c *Core) { v = f(c) }); return v }
}

// Handler serves the calls of edge machines and the placement controller.
//
// Example: mux.Handle(wire.PromptIndexPathPrefix, n.Handler())
func (n *Node) Handler() http.Handler { return wire.NewPromptIndexServer(n) }

// tick polls the workers that are due, if this node serves any shard.
func (s *eventFollower) tick() {
	snap := s.snapshot()
	if snap == nil || snap.Plan == nil {
		return
	}
	serves := false
	for _, n := range ServingNodes(snap.Nodes) {
		serves = serves || n.Name == s.node.name
	}
	l, now := pollTargets(snap), s.node.clock.Now()
	s.node.actor.Ask(func(c *Core) {
		if s.isServing != serves {
			s.isServing = serves
			c.MarkIncomplete()
		}
		if !serves {
			return
		}
		here := make(map[string]bool, len(l))
		for _, x := range l {
			here[x.name] = true
			s.poll(c, x, now)
		}
		for name := range s.node.listed {
			if !here[name] {
				c.RemoveWorker(name)
				delete(s.nextPoll, name)
				delete(s.fullListAt, name)
			}
		}
		s.node.listed = here
		if now-s.sweptAt > s.node.process.Settings.Bounds.Heal(sweepRatio) {
			s.sweptAt = now
			c.Sweep(here, now)
		}
	})
}

// poll polls one worker if it is due. New workers are polled soon.
func (s *eventFollower) poll(c *Core, x pollTarget, now time.Duration) {
	b := s.node.process.Settings.Bounds
	at, known := s.nextPoll[x.name]
	if !known {
		at = now + time.Duration(queue.Hash(s.node.name+x.name)%uint64(b.Heal(firstPollRatio)))
		s.nextPoll[x.name] = at
	}
	if s.node.polling[x.name] || now < at {
		return
	}
	q := c.NextEvents(x.name, x.service)
	q.Full = q.Full && s.mayRequestFullList(x.name, now)
	if q.Full {
		s.lastFullList, s.fullListAt[x.name] = now, now
	}
	s.node.polling[x.name], s.nextPoll[x.name] = true, now+b.Heal(pollRatio)
	go s.call(x, q)
}

// mayRequestFullList reports whether a full list may be requested now.
func (s *eventFollower) mayRequestFullList(name string, now time.Duration) bool {
	b := s.node.process.Settings.Bounds
	at, listed := s.fullListAt[name]
	return (s.lastFullList == 0 || now-s.lastFullList >= b.Heal(fullListRatio)) && (!listed || now-at >= b.Heal(workerFullListRatio))
}

func (s *eventFollower) call(x pollTarget, q ReportRequest) {
	b := s.node.process.Settings.Bounds
	ctx, end := context.WithTimeout(s.node.process.Ctx, b.Heal(longPollRatio+responseGraceRatio))
	defer end()
	var e backend.CacheEvents
	var err error
	if q.Full {
		e, err = s.calls.CachedPrefixes(ctx, x.addr)
	} else {
		e, err = s.calls.CacheEvents(ctx, x.addr, q.After, b.Heal(longPollRatio))
	}
	s.node.actor.Ask(func(c *Core) {
		delete(s.node.polling, x.name)
		now := s.node.clock.Now()
		if err != nil || e.Throttled {
			s.nextPoll[x.name] = now + b.Heal(pollRatio)
			if err != nil && x.service == "" {
				c.StoreDown(x.name)
			}
			return
		}
		c.ApplyEvents(q, e, now)
		if x.service == "" {
			c.StoreUp(x.name, now)
		}
	})
}
