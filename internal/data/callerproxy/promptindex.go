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

// Time-outs and intervals, as ratios of the healing bound (Bounds.Heal).
const (
	lookupTimeoutRatio    = 1.0 / 400 // a late result isn't worth the wait: the prefix is computed again
	flushIntervalRatio    = 1.0 / 48
	flushTimeoutRatio     = 1.0 / 24
	resendHalfWindowRatio = 1.25 // half of the window of accesses that an index node has to be able to recover
)

const (
	counterQueueLength   = 1024 // commands to the access counter; more accesses aren't counted
	maxLookupsPerBatch   = 64   // requests whose keys are looked up in one call
	maxConcurrentLookups = 8    // calls
)

// reporterPrefix and the node's name are the sender by which index nodes number batches of accesses. It is on
// the wire, so it keeps the program's name of the first release.
const reporterPrefix = "dispatcher/"

// promptIndex looks up prefixes at the index nodes in batches, and reports to them the accesses that this
// proxy has made.
type promptIndex struct {
	clients        *daemon.Clients
	bounds         settings.Bounds
	clock          clock.Clock
	shards         atomic.Pointer[promptindex.Shards] // nil: no index nodes are known yet
	shardLayout    string                             // the index nodes that shards was made for
	pendingLookups *queue.Ring[lookupRequest]
	accesses       *queue.Actor[indexclient.AccessCounter]
	lookupBatches  atomic.Uint64 // calls
	lookupKeys     atomic.Uint64 // keys in these calls
}

// lookup is one request's keys, and the channel for the result.
type lookupRequest struct {
	keys   []prefix.Key
	result chan map[prefix.Key]*wire.LookupResult
}

func newPromptIndex(process *daemon.Process, processClock clock.Clock) *promptIndex {
	bounds := process.Settings.Bounds
	counter := indexclient.NewAccessCounter(reporterPrefix+process.Settings.Name, uint64(processClock.Now()), bounds.Heal(resendHalfWindowRatio))
	index := &promptIndex{
		clients:        daemon.NewClients(process),
		bounds:         bounds,
		clock:          processClock,
		pendingLookups: queue.NewRing[lookupRequest](bounds.MaxConcurrentRequests),
		accesses:       queue.NewActor(counter, counterQueueLength),
	}
	process.OnStop(index.accesses.Stop)
	process.Go(func() { index.sendLookups(process.Ctx) })
	process.Every(bounds.Heal(flushIntervalRatio), func() { index.flushAccesses(process.Ctx) })
	return index
}

// updateShards assigns the keys anew if the index nodes have changed.
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

// lookUp returns what the index knows of the keys; nil if nothing, or not in time.
func (idx *promptIndex) lookup(ctx context.Context, keys []prefix.Key) map[prefix.Key]*wire.LookupResult {
	request := lookupRequest{keys, make(chan map[prefix.Key]*wire.LookupResult, 1)} // buffered: the batch never waits for a request that has gone
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

// runLookups joins the lookups that wait into one batch, and has a few batches in flight at once.
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

func (idx *promptIndex) lookupBatch(ctx context.Context, batch []lookupRequest) {
	keys := distinctKeys(batch)
	var results map[prefix.Key]*wire.LookupResult
	if shards := idx.shards.Load(); shards != nil {
		idx.lookupBatches.Add(1)
		idx.lookupKeys.Add(uint64(len(keys)))
		results = shards.Lookup(ctx, keys, idx.clients.PromptIndex, idx.bounds.Heal(lookupTimeoutRatio))
	}
	for _, request := range batch {
		request.result <- results
	}
}

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

// recordAccesses counts a request's accesses: its entries, the worker that is presumed to hold them from now
// on, and the workers and stores that it saves the first savedEntries of them to. It doesn't wait.
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

// flushAccesses sends each index node the accesses that were counted for it.
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

// sendBatch sends one batch of accesses and records the result.
func (idx *promptIndex) sendBatch(ctx context.Context, node, addr string, batch *wire.CountRequest) {
	ctx, cancel := context.WithTimeout(ctx, idx.bounds.Heal(flushTimeoutRatio))
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
