// Package indexclient is an edge machine's client of the prompt index. It looks up which workers hold the
// KV cache of prompt parts, and reports accesses to the parts. A late or missing response counts as a miss, so
// that no request waits for the index longer than its lookup timeout.
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

// Timing, as fractions of the recovery time bound (the time within which service is restored after a failure) unless
// the comment says otherwise.
const (
	// flushRatio is the interval at which counted accesses are sent to the index, as a fraction of the recovery time bound (the time
	// within which service is restored after a failure). A longer interval saves calls; a shorter one lets other edge
	// machines find newly cached parts sooner.
	flushRatio = 1.0 / 60
	// flushTimeoutRatio is the timeout of the call that sends one batch of accesses, as a fraction of the recovery time bound (the
	// time within which service is restored after a failure).
	flushTimeoutRatio = 1.0 / 24
	// resendWindowRatio is half of the time for which accesses are kept, to be resent to an index node that has lost
	// its state, as a multiple of the recovery time bound (the time within which service is restored after a failure).
	resendWindowRatio = 1.25
	// cacheLifetimeRatio is the lifetime of a cached lookup result, as a fraction of the recovery time bound (the time within which
	// service is restored after a failure). A longer lifetime saves calls; with a shorter one it is noticed sooner that
	// a worker has evicted a part.
	cacheLifetimeRatio = 1.0 / 48
	// lateNodeRatio is how long an index node is only called as a last resort after it responded late, or before it had
	// collected the contents of the workers' caches, as a fraction of the recovery time bound (the time within which service is
	// restored after a failure).
	lateNodeRatio = 1.0 / 12
	// lateProbeRatio is the minimum time between two calls to an index node that responded late, as a fraction of the
	// recovery time bound (the time within which service is restored after a failure).
	lateProbeRatio = 1.0 / 96
	// firstAttemptRatio is the fraction of a lookup's timeout (not of the recovery time bound) after which the first
	// attempt is abandoned, so that time is left to call the other nodes assigned to the keys.
	firstAttemptRatio = 0.6
)

// Limits on memory and on concurrent calls.
const (
	maxCachedAnswers     = 4096
	maxBatchedLookups    = 63 // maximum number of lookups in a batch in addition to the first one
	maxConcurrentBatches = 4
	maxConnections       = 64 // cached connections to index nodes; if there are more when another one is opened, all are dropped from the cache
)

// Client looks up keys in batches and reports the accesses made by requests of this edge machine. All methods
// are safe for concurrent use.
type Client struct {
	lookups     *queue.Ring[pendingLookup]
	actor       *queue.Actor[table]
	nodes       func() []*wire.Node                // returns the current cluster membership
	connect     func(addr string) wire.PromptIndex // returns a client of the index node at an address
	bounds      settings.Bounds
	clock       clock.Clock
	ctx         context.Context // canceled when the process stops
	name        string
	zone        string
	loadSharing atomic.Pointer[loadSharing]
	lookupCalls atomic.Uint64
}

// pendingLookup is a call of Lookup that waits for the result of its batch.
type pendingLookup struct {
	keys   []prefix.Key
	wait   time.Duration
	result chan map[prefix.Key]*wire.LookupResult // receives the result of the lookup; buffered, so that a caller that timed out doesn't block the batch
}

// New returns an edge machine's client of the prompt index; nodes must return the current cluster membership.
//
// Example: c := indexclient.New(process, func() []*wire.Node { return agent.Snapshot().Nodes })
func New(process *daemon.Process, nodes func() []*wire.Node) *Client {
	clients := daemon.NewClients(process)
	connections := map[string]wire.PromptIndex{}
	var mu sync.Mutex // guards the map connections
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

// start returns a client that uses connect to reach index nodes, and starts its goroutines. The goroutines end when the
// process stops; stopping waits for them.
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
	process.Every(bounds.Recovery(flushRatio), client.flush)
	process.Meter.Counter("pebbleloom_seek_calls_total", "lookup calls to the index", func() float64 { return float64(client.lookupCalls.Load()) })
	return client
}

// Lookup returns the holders of keys, after at most the time wait. A key that is missing from the result, or a
// nil result, is a miss. The result is shared and must not be modified.
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

// ShareLoads makes lookups and reports of accesses carry the load that this edge machine puts on the workers, as
// returned by localLoads. The loads of the other edge machines, which the index returns, go to receiveLoads.
//
// Example: c.ShareLoads(selector.loads, selector.receiveLoads)
func (c *Client) ShareLoads(localLoads func() *wire.WorkerLoads, receiveLoads func(*wire.WorkerLoads)) {
	c.loadSharing.Store(&loadSharing{localLoads, receiveLoads})
}

// loadSharing holds the callbacks passed to ShareLoads.
type loadSharing struct {
	localLoads   func() *wire.WorkerLoads
	receiveLoads func(*wire.WorkerLoads)
}

// loads returns the load that this edge machine puts on the workers; nil if ShareLoads was not called.
func (c *Client) loads() *wire.WorkerLoads {
	if sharing := c.loadSharing.Load(); sharing != nil {
		return sharing.localLoads()
	}
	return nil
}
