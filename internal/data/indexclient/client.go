// Package indexclient is an edge machine's client of the prompt index: it looks up the holders of
// prompt parts and reports the accesses to them. A late or missing response is a miss: no request
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
	"pebbleloom/internal/queue"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

// Timing, as ratios of the heal bound unless the comment says otherwise. Chosen, not measured.
const (
	// flushRatio is the time between two flushes of counted accesses. Longer saves calls; shorter lets
	// the other edge machines learn sooner where a part is cached.
	flushRatio = 1.0 / 60
	// flushTimeoutRatio is the timeout of sending one batch of accesses.
	flushTimeoutRatio = 1.0 / 24
	// resendWindowRatio is one half window of accesses that a node which lost its memory gets again.
	resendWindowRatio = 1.25
	// cacheLifetimeRatio is the lifetime of a cached answer. Longer saves calls; shorter notices sooner
	// that a worker dropped a part.
	cacheLifetimeRatio = 1.0 / 48
	// lateNodeRatio is how long an index node that was late, or isn't warm, is asked last.
	lateNodeRatio = 1.0 / 12
	// lateProbeRatio is the least time between two calls to an index node that was late.
	lateProbeRatio = 1.0 / 96
	// firstAttemptRatio is the share of a lookup's wait that the first holder has to respond.
	firstAttemptRatio = 0.6
)

// Bounds of memory and of calls in flight.
const (
	maxCachedAnswers     = 4096
	maxBatchedLookups    = 63 // lookups that join the first one of a batch
	maxConcurrentBatches = 4
	maxConnections       = 64 // index nodes whose clients are kept
)

// Client looks up keys in batches and sends the accesses that this edge machine has seen. All methods
// are safe for concurrent use.
type Client struct {
	lookups     *queue.Ring[pendingLookup]
	actor       *queue.Actor[table]
	nodes       func() []*wire.Node                // the cluster membership
	connect     func(addr string) wire.PromptIndex // the index node at an address
	bounds      settings.Bounds
	clock       clock.Clock
	ctx         context.Context // canceled when the process stops
	name        string
	zone        string
	loadSharing atomic.Pointer[loadSharing]
	lookupCalls atomic.Uint64
}

// pendingLookup is a caller of Lookup that waits for a batch.
type pendingLookup struct {
	keys   []prefix.Key
	wait   time.Duration
	result chan map[prefix.Key]*wire.LookupResult // buffered: a caller that stopped waiting doesn't block the batch
}

// New makes an edge machine's client of the index; nodes returns the cluster membership.
//
// Example: c := indexclient.New(process, func() []*wire.Node { return agent.Snapshot().Nodes })
func New(process *daemon.Process, nodes func() []*wire.Node) *Client {
	clients := daemon.NewClients(process)
	connections := map[string]wire.PromptIndex{}
	var mu sync.Mutex // guards connections
	return start(process, nodes, func(addr string) wire.PromptIndex {
		mu.Lock()
		defer mu.Unlock()
		connection := connections[addr]
		if connection == nil {
			if len(connections) > maxConnections {
				clear(connections)
			}
			connection = clients.PromptIndex(addr)
			connections[addr] = connection
		}
		return connection
	})
}

// start makes a client that reaches index nodes by connect, and starts its goroutines: the process ends
// and waits for them.
func start(process *daemon.Process, nodes func() []*wire.Node, connect func(addr string) wire.PromptIndex) *Client {
	bounds := process.Settings.Bounds
	client := &Client{
		lookups: queue.NewRing[pendingLookup](bounds.MaxConcurrentRequests),
		nodes:   nodes,
		connect: connect,
		bounds:  bounds,
		clock:   process.Clock,
		ctx:     process.Ctx,
		name:    "edge/" + process.Settings.Name,
		zone:    process.Settings.Zone,
	}
	incarnation := uint64(process.Clock.Now())
	client.actor = queue.NewActor(newTable(client, incarnation), 1024)
	process.OnStop(client.actor.Stop)
	process.Go(client.run)
	process.Every(bounds.Heal(flushRatio), client.flush)
	process.Meter.Counter("pebbleloom_seek_calls_total", "lookup calls to the index", func() float64 { return float64(client.lookupCalls.Load()) })
	return client
}

// Lookup looks keys up and waits no longer than wait; nil, or a missing key, is a miss. The result is
// shared: it must not be changed.
//
// Example: found := c.Lookup(ctx, keys, 12*time.Millisecond)
func (c *Client) Lookup(ctx context.Context, keys []prefix.Key, wait time.Duration) map[prefix.Key]*wire.LookupResult {
	if len(keys) == 0 || wait <= 0 {
		return nil
	}
	var cached map[prefix.Key]*wire.LookupResult
	c.actor.Ask(func(t *table) { cached = t.cachedAnswers(keys, c.clock.Now()) })
	if len(cached) == len(keys) {
		return cached
	}
	lookup := pendingLookup{keys, wait, make(chan map[prefix.Key]*wire.LookupResult, 1)}
	if !c.lookups.Offer(lookup) {
		return cached
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case found := <-lookup.result:
		return found
	case <-timer.C:
	case <-ctx.Done():
	}
	return cached
}

// ShareLoads makes lookups and flushes carry this edge machine's load at the workers (localLoads), and
// passes on what the index reports of the other edge machines (receiveLoads).
//
// Example: c.ShareLoads(selector.loads, selector.receiveLoads)
func (c *Client) ShareLoads(localLoads func() *wire.WorkerLoads, receiveLoads func(*wire.WorkerLoads)) {
	c.loadSharing.Store(&loadSharing{localLoads, receiveLoads})
}

// loadSharing is how a Client exchanges loads.
type loadSharing struct {
	localLoads   func() *wire.WorkerLoads
	receiveLoads func(*wire.WorkerLoads)
}

// loads is this edge machine's load at the workers; nil if it isn't shared.
func (c *Client) loads() *wire.WorkerLoads {
	if sharing := c.loadSharing.Load(); sharing != nil {
		return sharing.localLoads()
	}
	return nil
}
