// Package indexclient is an edge machine's client of the prompt index: it looks up the holders of
// prompt parts and reports what was routed where. A late or missing response is a miss: no request
// waits for the index.
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
	flushRatio         = 1.0 / 60 // between two flushes of the counts
	cacheLifetimeRatio = 1.0 / 48 // lifetime of a cached answer
	lateNodeRatio      = 1.0 / 12 // how long an index node that was late, or isn't warm, is tried last
	lateProbeRatio     = 1.0 / 96 // between two calls to one that was late
	flushTimeoutRatio  = 1.0 / 24 // timeout of sending counts
	resendWindowRatio  = 1.25     // half the window that is sent again
	firstAttemptRatio  = 0.6      // of the wait, for the first holder
)

const (
	maxCachedAnswers     = 4096 // cached answers
	maxBatchedLookups    = 63   // lookups that one batch takes beside its first
	maxConcurrentBatches = 4    // batches
)

type pendingLookup struct {
	keys   []prefix.Key
	wait   time.Duration
	result chan map[prefix.Key]*wire.LookupResult
}

// Client looks up keys in batches and sends the accesses that this edge machine has seen.
type Client struct {
	ring        *queue.Ring[pendingLookup]
	actor       *queue.Actor[table]
	nodes       func() []*wire.Node
	client      func(addr string) wire.PromptIndex
	bounds      settings.Bounds
	clock       clock.Clock
	ctx         context.Context
	name        string
	incarnation uint64
	zone        string // zone
	loadSharing atomic.Pointer[loadSharing]
	lookups     atomic.Uint64
}

// New makes an edge machine's client of the index; nodes returns the cluster membership.
//
// Example: s := indexclient.New(process, func() []*wire.Node { return agent.Snapshot().Nodes })
func New(l *daemon.Process, nodes func() []*wire.Node) *Client {
	calls, links := daemon.NewClients(l), map[string]wire.PromptIndex{}
	var mu sync.Mutex
	return start(l, nodes, func(addr string) wire.PromptIndex {
		mu.Lock()
		defer mu.Unlock()
		c := links[addr]
		if c == nil {
			if len(links) > maxClients {
				clear(links)
			}
			c = calls.PromptIndex(addr)
			links[addr] = c
		}
		return c
	})
}

const maxClients = 64

func start(l *daemon.Process, nodes func() []*wire.Node, call func(string) wire.PromptIndex) *Client {
	s := &Client{ring: queue.NewRing[pendingLookup](l.Settings.Bounds.MaxConcurrentRequests), nodes: nodes, client: call, bounds: l.Settings.Bounds,
		clock: l.Clock, ctx: l.Ctx, name: "edge/" + l.Settings.Name, incarnation: uint64(l.Clock.Now()), zone: l.Settings.Zone}
	s.actor = queue.NewActor(newTable(s), 1024)
	l.OnStop(s.actor.Stop)
	l.Go(s.run)
	l.Every(l.Settings.Bounds.Heal(flushRatio), s.flush)
	l.Meter.Counter("pebbleloom_seek_calls_total", "lookup calls to the index", func() float64 { return float64(s.lookups.Load()) })
	return s
}

// Lookup looks keys up and waits no longer than wait; nil, or a missing key, is a miss.
//
// Example: found := s.Lookup(ctx, keys, 12*time.Millisecond)
func (s *Client) Lookup(ctx context.Context, keys []prefix.Key, wait time.Duration) map[prefix.Key]*wire.LookupResult {
	if len(keys) == 0 || wait <= 0 {
		return nil
	}
	var kept map[prefix.Key]*wire.LookupResult
	s.actor.Ask(func(t *table) { kept = t.lookUpCache(keys, s.clock.Now()) })
	if len(kept) == len(keys) {
		return kept
	}
	q := pendingLookup{keys, wait, make(chan map[prefix.Key]*wire.LookupResult, 1)}
	if !s.ring.Offer(q) {
		return kept
	}
	e := time.NewTimer(wait)
	defer e.Stop()
	select {
	case m := <-q.result:
		return m
	case <-e.C:
	case <-ctx.Done():
	}
	return kept
}

// run joins waiting lookups into batches; a few batches may be in flight at once.
func (s *Client) run() {
	room := make(chan struct{}, maxConcurrentBatches)
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
			qs := append([]pendingLookup{q}, s.ring.Drain(maxBatchedLookups)...)
			go func() {
				defer func() { <-room }()
				s.lookupBatch(qs)
			}()
		}
	}
}

// lookupBatch looks up the keys of all lookups: at the fewest index nodes that hold them all, then at
// the other holders of what wasn't answered or not for certain.
func (s *Client) lookupBatch(qs []pendingLookup) {
	got := map[prefix.Key]*wire.LookupResult{}
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
		var plan []nodeCall
		s.actor.Ask(func(t *table) { plan = t.planCalls(left, asked, s.clock.Now()) })
		one, stop := ctx, func() {}
		if try == 0 {
			one, stop = context.WithTimeout(ctx, time.Duration(float64(wait)*firstAttemptRatio))
		}
		s.callNodes(one, plan, got, sure, asked)
		stop()
	}
	s.actor.Ask(func(t *table) { t.cache(got, s.clock.Now()) })
	for _, q := range qs {
		if len(got) == 0 {
			q.result <- nil
			continue
		}
		q.result <- got // shared and read-only from here on
	}
}

type nodeResponse struct {
	call     nodeCall
	response *wire.LookupResponse
	err      error
}

func (s *Client) callNodes(ctx context.Context, plan []nodeCall, got map[prefix.Key]*wire.LookupResult, sure map[prefix.Key]bool, asked map[string]bool) {
	out := make(chan nodeResponse, len(plan))
	for _, l := range plan {
		asked[l.node] = true
		s.lookups.Add(1)
		go func() {
			a := &wire.LookupRequest{Reporter: s.name, Loads: s.loads()}
			for i := range l.keys {
				a.Keys = append(a.Keys, l.keys[i][:])
			}
			t, err := s.client(l.addr).Lookup(ctx, a)
			out <- nodeResponse{l, t, err}
		}()
	}
	for range plan {
		r := <-out
		ok := r.err == nil && r.response != nil && len(r.response.Results) == len(r.call.keys)
		s.actor.Ask(func(t *table) { t.recordResult(r.call.node, ok && r.response.Warm, s.clock.Now()) })
		if x := s.loadSharing.Load(); x != nil && r.err == nil && r.response.GetLoads() != nil {
			x.receiveLoads(r.response.Loads)
		}
		if !ok {
			continue // a miss
		}
		for i, k := range r.call.keys {
			if !r.response.Warm && len(r.response.Results[i].Holders) == 0 {
				continue // it can't know yet that nobody holds it
			}
			got[k], sure[k] = promptindex.MergeFound(got[k], r.response.Results[i]), r.response.Warm
		}
	}
}

// ShareLoads makes lookups carry this edge machine's loads at workers, and passes on those of the
// others.
//
// Example: s.ShareLoads(p.loads, p.receiveLoads)
func (s *Client) ShareLoads(give func() *wire.WorkerLoads, take func(*wire.WorkerLoads)) {
	s.loadSharing.Store(&loadSharing{give, take})
}

type loadSharing struct {
	localLoads   func() *wire.WorkerLoads
	receiveLoads func(*wire.WorkerLoads)
}

// loads is this edge machine's report on the workers' load; nil if none.
func (s *Client) loads() *wire.WorkerLoads {
	if x := s.loadSharing.Load(); x != nil {
		return x.localLoads()
	}
	return nil
}
