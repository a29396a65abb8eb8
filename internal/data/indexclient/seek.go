// Package indexclient is how an edge machine asks the index who holds the parts of prompts, and tells it
// what was routed where. A late or missing answer is a miss: no request waits for the index.
package indexclient

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/data/prefix"
	"pebbleloom/internal/data/promptindex"
	"pebbleloom/internal/queue"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

// Ratios of the heal bound.
const (
	tellPart  = 1.0 / 60 // between two tellings of what was counted
	keepPart  = 1.0 / 48 // an answer is gone by
	latePart  = 1.0 / 12 // an index node that was late, or isn't warm, is asked last
	probePart = 1.0 / 96 // between two calls to one that was late
	landPart  = 1.0 / 24 // a telling may take
	pastPart  = 1.25     // half the window that is told again
	firstPart = 0.6      // of the wait, for the first holder asked
)

const (
	maxKept  = 4096 // answers kept
	joined   = 63   // questions that one batch takes beside its first
	underway = 4    // batches
)

type question struct {
	keys []prefix.Key
	wait time.Duration
	tell chan map[prefix.Key]*wire.Found
}

// Seeker asks the index in batches and feeds it the accesses that this edge has seen.
type Seeker struct {
	ring  *queue.Ring[question]
	desk  *queue.Actor[table]
	nodes func() []*wire.Node
	call  func(addr string) wire.Catalogue
	b     settings.Bounds
	clk   clock.Clock
	ctx   context.Context
	name  string
	inc   uint64
	home  string // district
	share atomic.Pointer[share]
	asked atomic.Uint64
}

// New makes an edge's link to the index; nodes gives the roster's view.
//
// Example: s := seek.New(life, func() []*wire.Node { return agent.Snapshot().Nodes })
func New(l *daemon.Process, nodes func() []*wire.Node) *Seeker {
	calls, links := daemon.NewClients(l), map[string]wire.Catalogue{}
	var mu sync.Mutex
	return start(l, nodes, func(addr string) wire.Catalogue {
		mu.Lock()
		defer mu.Unlock()
		c := links[addr]
		if c == nil {
			if len(links) > maxLinks {
				clear(links)
			}
			c = calls.PromptIndex(addr)
			links[addr] = c
		}
		return c
	})
}

const maxLinks = 64

func start(l *daemon.Process, nodes func() []*wire.Node, call func(string) wire.Catalogue) *Seeker {
	s := &Seeker{ring: queue.NewRing[question](l.Place.Bounds.Waiting), nodes: nodes, call: call, b: l.Place.Bounds,
		clk: l.Clock, ctx: l.Ctx, name: "edge/" + l.Place.Name, inc: uint64(l.Clock.Now()), home: l.Place.Zone}
	s.desk = queue.NewActor(newTable(s), 1024)
	l.OnStop(s.desk.Stop)
	l.Go(s.run)
	l.Every(l.Place.Bounds.Heal(tellPart), s.flush)
	l.Meter.Count("pebbleloom_seek_calls_total", "look-up calls to the index", func() float64 { return float64(s.asked.Load()) })
	return s
}

// Seek looks keys up and waits no longer than that; nil, or a key that isn't there, is a miss.
//
// Example: found := s.Seek(ctx, keys, 12*time.Millisecond)
func (s *Seeker) Seek(ctx context.Context, keys []prefix.Key, wait time.Duration) map[prefix.Key]*wire.Found {
	if len(keys) == 0 || wait <= 0 {
		return nil
	}
	var kept map[prefix.Key]*wire.Found
	s.desk.Ask(func(t *table) { kept = t.recall(keys, s.clk.Now()) })
	if len(kept) == len(keys) {
		return kept
	}
	q := question{keys, wait, make(chan map[prefix.Key]*wire.Found, 1)}
	if !s.ring.Offer(q) {
		return kept
	}
	e := time.NewTimer(wait)
	defer e.Stop()
	select {
	case m := <-q.tell:
		return m
	case <-e.C:
	case <-ctx.Done():
	}
	return kept
}

// run joins what waits into one batch; a handful of batches may be under way at once.
func (s *Seeker) run() {
	room := make(chan struct{}, underway)
	for {
		select {
		case <-s.ctx.Done():
			return
		case q := <-s.ring.Out():
			select {
			case room <- struct{}{}:
			case <-s.ctx.Done():
				return
			}
			qs := append([]question{q}, s.ring.Drain(joined)...)
			go func() {
				defer func() { <-room }()
				s.batch(qs)
			}()
		}
	}
}

// batch asks for the keys of all questions: the fewest index nodes that hold them all, then the
// other holders of what wasn't answered or not for sure.
func (s *Seeker) batch(qs []question) {
	got := map[prefix.Key]*wire.Found{}
	sure := map[prefix.Key]bool{}
	var all []prefix.Key
	wait := time.Duration(0)
	for _, q := range qs {
		wait = max(wait, q.wait)
		for _, k := range q.keys {
			if _, dup := sure[k]; !dup {
				sure[k] = false
				all = append(all, k)
			}
		}
	}
	ctx, end := context.WithTimeout(s.ctx, wait)
	defer end()
	asked := map[string]bool{}
	for try := range 2 {
		var left []prefix.Key
		for _, k := range all {
			if !sure[k] {
				left = append(left, k)
			}
		}
		if len(left) == 0 || ctx.Err() != nil {
			break
		}
		var plan []leg
		s.desk.Ask(func(t *table) { plan = t.legs(left, asked, s.clk.Now()) })
		one, stop := ctx, func() {}
		if try == 0 {
			one, stop = context.WithTimeout(ctx, time.Duration(float64(wait)*firstPart))
		}
		s.ask(one, plan, got, sure, asked)
		stop()
	}
	s.desk.Ask(func(t *table) { t.keep(got, s.clk.Now()) })
	for _, q := range qs {
		if len(got) == 0 {
			q.tell <- nil
			continue
		}
		q.tell <- got // read by all, changed by none from here on
	}
}

type reply struct {
	leg leg
	t   *wire.LookTell
	err error
}

func (s *Seeker) ask(ctx context.Context, plan []leg, got map[prefix.Key]*wire.Found, sure map[prefix.Key]bool, asked map[string]bool) {
	out := make(chan reply, len(plan))
	for _, l := range plan {
		asked[l.node] = true
		s.asked.Add(1)
		go func() {
			a := &wire.LookAsk{Teller: s.name, Loads: s.loads()}
			for i := range l.keys {
				a.Keys = append(a.Keys, l.keys[i][:])
			}
			t, err := s.call(l.addr).Seek(ctx, a)
			out <- reply{l, t, err}
		}()
	}
	for range plan {
		r := <-out
		ok := r.err == nil && r.t != nil && len(r.t.Found) == len(r.leg.keys)
		s.desk.Ask(func(t *table) { t.mark(r.leg.node, ok && r.t.Warm, s.clk.Now()) })
		if x := s.share.Load(); x != nil && r.err == nil && r.t.GetLoads() != nil {
			x.take(r.t.Loads)
		}
		if !ok {
			continue // a miss
		}
		for i, k := range r.leg.keys {
			if !r.t.Warm && len(r.t.Found[i].Holders) == 0 {
				continue // it can't say yet that nobody holds it
			}
			got[k], sure[k] = promptindex.Join(got[k], r.t.Found[i]), r.t.Warm
		}
	}
}

// Share has look-ups carry what this edge has at workers, and hands on what the others have there.
//
// Example: s.Share(p.loads, p.heard)
func (s *Seeker) Share(give func() *wire.Loads, take func(*wire.Loads)) {
	s.share.Store(&share{give, take})
}

type share struct {
	give func() *wire.Loads
	take func(*wire.Loads)
}

// loads is this edge's word on workers' load; nil: none.
func (s *Seeker) loads() *wire.Loads {
	if x := s.share.Load(); x != nil {
		return x.give()
	}
	return nil
}
