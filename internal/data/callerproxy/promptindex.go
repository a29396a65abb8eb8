package callerproxy

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/control/clustermembership"
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/data/indexclient"
	"pebbleloom/internal/data/prefix"
	"pebbleloom/internal/data/promptindex"
	"pebbleloom/internal/queue"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

// Timeouts and intervals of the prompt index client, as fractions of Bounds.Recovery, the bound on recovery time.
const (
	lookupTimeoutRatio    = 1.0 / 400 // timeout of a lookup; waiting longer is not worthwhile, since the prefix can be recomputed
	flushIntervalRatio    = 1.0 / 48  // interval at which counted accesses are sent to the index nodes
	flushTimeoutRatio     = 1.0 / 24  // timeout of sending one batch of counted accesses to an index node
	resendHalfWindowRatio = 1.25      // half of the time window whose accesses are kept, to be resent to an index node that lost its state
)

const (
	counterQueueLength   = 1024 // capacity of the access counter's command queue; while it is full, accesses are not counted
	maxLookupsPerBatch   = 64   // maximum number of requests whose keys are combined into one lookup batch
	maxConcurrentLookups = 8    // maximum number of lookup batches in flight at the same time
)

// reporterPrefix and the node's name identify this proxy as the sender of access batches to the index nodes. The
// value is part of the wire protocol, so it keeps the program's name from the first release.
const reporterPrefix = "dispatcher/"

// promptIndex is the client of the prompt index. It looks up prefix entries at the index nodes in batches and reports
// to them which entries this proxy's requests have accessed.
type promptIndex struct {
	clients        *daemon.Clients
	bounds         settings.Bounds
	clock          clock.Clock
	shards         atomic.Pointer[promptindex.Shards]      // assignment of keys to index nodes; nil until index nodes are known
	shardLayout    string                                  // names, addresses and liveness of the index nodes that shards was computed from, to detect changes
	pendingLookups *queue.Ring[lookupRequest]              // lookups waiting to be batched
	accesses       *queue.Actor[indexclient.AccessCounter] // counted accesses to prefix entries that the index nodes have not yet acknowledged
	lookupBatches  atomic.Uint64                           // metric: number of lookup batches sent to the prompt index
	lookupKeys     atomic.Uint64                           // metric: number of keys in all lookup batches
}

// lookupRequest holds the keys that one client request looks up, and the channel that receives the result.
type lookupRequest struct {
	keys   []prefix.Key
	result chan map[prefix.Key]*wire.LookupResult
}

// newPromptIndex creates the client of the prompt index and starts its background lookups and flushes.
func newPromptIndex(process *daemon.Process, processClock clock.Clock) *promptIndex {
	bounds := process.Settings.Bounds
	counter := indexclient.NewAccessCounter(reporterPrefix+process.Settings.Name, uint64(processClock.Now()), bounds.Recovery(resendHalfWindowRatio))
	index := &promptIndex{
		clients:        daemon.NewClients(process),
		bounds:         bounds,
		clock:          processClock,
		pendingLookups: queue.NewRing[lookupRequest](bounds.MaxConcurrentRequests),
		accesses:       queue.NewActor(counter, counterQueueLength),
	}
	process.OnStop(index.accesses.Stop)
	process.Go(func() { index.sendLookups(process.Ctx) })
	process.Every(bounds.Recovery(flushIntervalRatio), func() { index.flushAccesses(process.Ctx) })
	return index
}

// updateShards recomputes the assignment of keys to index nodes if the index nodes have changed.
func (idx *promptIndex) updateShards(nodes []*wire.Node) {
	var indexNodes []string
	for _, node := range nodes {
		if node.Role == clustermembership.RolePromptIndex {
			indexNodes = append(indexNodes, fmt.Sprintf("%s %s %v", node.Name, node.Addr, node.State < clustermembership.Dead))
		}
	}
	if shardLayout := strings.Join(indexNodes, "\n"); shardLayout != idx.shardLayout {
		idx.shardLayout = shardLayout
		idx.shards.Store(promptindex.NewShards(nodes))
	}
}

// lookup returns the prompt index's results for the keys. It returns nil if the lookup queue is full, no index node
// is known or responds in time, or ctx is canceled.
func (idx *promptIndex) lookup(ctx context.Context, keys []prefix.Key) map[prefix.Key]*wire.LookupResult {
	request := lookupRequest{keys, make(chan map[prefix.Key]*wire.LookupResult, 1)} // buffered, so that a batch never blocks on a request that has stopped waiting
	if !idx.pendingLookups.Offer(request) {
		return nil
	}
	select {
	case results := <-request.result:
		return results
	case <-ctx.Done():
		return nil
	}
}

// sendLookups combines pending lookups into batches and keeps at most maxConcurrentLookups batches in flight.
func (idx *promptIndex) sendLookups(ctx context.Context) {
	slots := make(chan struct{}, maxConcurrentLookups)
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-idx.pendingLookups.Out():
			slots <- struct{}{}
			batch := append([]lookupRequest{first}, idx.pendingLookups.Drain(maxLookupsPerBatch-1)...)
			go func() {
				defer func() { <-slots }()
				idx.lookupBatch(ctx, batch)
			}()
		}
	}
}

// lookupBatch looks up the distinct keys of a batch and passes the results to every request in it.
func (idx *promptIndex) lookupBatch(ctx context.Context, batch []lookupRequest) {
	keys := distinctKeys(batch)
	var results map[prefix.Key]*wire.LookupResult
	if shards := idx.shards.Load(); shards != nil {
		idx.lookupBatches.Add(1)
		idx.lookupKeys.Add(uint64(len(keys)))
		results = shards.Lookup(ctx, keys, idx.clients.PromptIndex, idx.bounds.Recovery(lookupTimeoutRatio))
	}
	for _, request := range batch {
		request.result <- results
	}
}

// distinctKeys returns the keys of all lookups in a batch without duplicates.
func distinctKeys(batch []lookupRequest) (keys []prefix.Key) {
	seen := map[prefix.Key]bool{}
	for _, request := range batch {
		for _, key := range request.keys {
			if !seen[key] {
				seen[key] = true
				keys = append(keys, key)
			}
		}
	}
	return keys
}

// recordAccesses counts accesses to a request's prefix entries for the next flush. The holder is the worker presumed
// to cache all of them from now on; saveTargets are the workers and stores that the first saveEntries entries are
// copied to. It does not block.
func (idx *promptIndex) recordAccesses(service string, entries []prefix.Entry, holder string, saveTargets []string, saveEntries int) {
	shards := idx.shards.Load()
	if shards == nil {
		return
	}
	idx.accesses.TrySend(func(counter *indexclient.AccessCounter) {
		for i, entry := range entries {
			access := &wire.Access{Count: 1, Tokens: uint32(entry.Tokens), Service: service, Head: i == 0, PresumedHolders: []string{holder}}
			if i < saveEntries {
				access.PresumedHolders = append(access.PresumedHolders, saveTargets...)
			}
			counter.Add(entry.Key, shards.NodesOf(entry.Key), access)
		}
		counter.RotateWindow(idx.clock.Now())
	})
}

// flushAccesses sends to each index node the accesses that were counted for its keys.
func (idx *promptIndex) flushAccesses(ctx context.Context) {
	shards := idx.shards.Load()
	if shards == nil {
		return
	}
	idx.accesses.Ask(func(counter *indexclient.AccessCounter) {
		for _, node := range counter.Nodes() {
			addr := shards.Addr(node)
			if addr == "" {
				counter.DropPending(node)
				continue
			}
			if batch := counter.NextBatch(node, nil); batch != nil {
				go idx.sendBatch(ctx, node, addr, batch)
			}
		}
	})
}

// sendBatch sends one batch of accesses to an index node and records whether the node has acknowledged it.
func (idx *promptIndex) sendBatch(ctx context.Context, node, addr string, batch *wire.CountRequest) {
	ctx, cancel := context.WithTimeout(ctx, idx.bounds.Recovery(flushTimeoutRatio))
	defer cancel()
	response, err := idx.clients.PromptIndex(addr).Count(ctx, batch)
	idx.accesses.Ask(func(counter *indexclient.AccessCounter) {
		if err != nil {
			counter.RecordFailure(node)
			return
		}
		shards := idx.shards.Load()
		counter.Acknowledge(node, batch, response, func(key prefix.Key) bool { return shards.IsAssigned(node, key) })
	})
}
