package indexclient

import (
	"maps"
	"slices"
	"time"

	"pebbleloom/internal/data/prefix"
	"pebbleloom/internal/wire"
)

const (
	maxPendingKeys     = 4096 // keys whose accesses are pending for one index node
	maxPresumedHolders = 8    // presumed holders of one key in one batch
)

// AccessCounter collects accesses to prompt parts until the index nodes have acknowledged them. Each
// index node has a queue of its own with at most one batch in flight. A batch keeps its number until it
// is acknowledged, and the index applies each number once, so a lost response can't make it count twice.
//
// The accesses of the last one to two half windows are kept beside the queues: they are queued again
// for an index node that reports that it has lost its memory.
//
// It serves both senders of accesses: Client here, and the prompt index client of package callerproxy.
// It does no I/O and isn't safe for concurrent use: the sender's actor guards it, sends what NextBatch
// returns and passes the result on to Acknowledge or RecordFailure.
type AccessCounter struct {
	sender         string
	incarnation    uint64
	halfWindow     time.Duration
	queues         map[string]*nodeQueue // by index node
	window         map[prefix.Key]*wire.Access
	previousWindow map[prefix.Key]*wire.Access
	windowStart    time.Duration
}

// nodeQueue is what one index node hasn't acknowledged yet.
type nodeQueue struct {
	lastNumber uint64
	pending    map[prefix.Key]*wire.Access
	inFlight   *wire.CountRequest // not acknowledged yet: it is sent again under the same number
	sending    bool
}

// NewAccessCounter makes an empty counter for the batches of one sender. The incarnation distinguishes this
// process's batch numbers from those of its predecessors; accesses are kept for two half windows at the
// most.
//
// Example: c := indexclient.NewAccessCounter("edge/edge-1", uint64(clock.Now()), bounds.Heal(1.25))
func NewAccessCounter(sender string, incarnation uint64, halfWindow time.Duration) *AccessCounter {
	return &AccessCounter{
		sender:         sender,
		incarnation:    incarnation,
		halfWindow:     halfWindow,
		queues:         map[string]*nodeQueue{},
		window:         map[prefix.Key]*wire.Access{},
		previousWindow: map[prefix.Key]*wire.Access{},
	}
}

// Add counts an access to a key, for each of the index nodes that the key is assigned to ("": none). The
// access is only read; its Key is ignored.
//
// Example: c.Add(entry.Key, shards.NodesOf(entry.Key), &wire.Access{Count: 1, Service: "lectores"})
func (c *AccessCounter) Add(key prefix.Key, nodes [2]string, access *wire.Access) {
	for i, node := range nodes {
		if node == "" || i == 1 && node == nodes[0] {
			continue
		}
		queue := c.queues[node]
		if queue == nil {
			queue = &nodeQueue{pending: map[prefix.Key]*wire.Access{}}
			c.queues[node] = queue
		}
		mergeAccess(queue.pending, key, access)
	}
	mergeAccess(c.window, key, access)
}

// RotateWindow starts a new half window if the current one is over.
//
// Example: c.RotateWindow(clock.Now())
func (c *AccessCounter) RotateWindow(now time.Duration) {
	if now-c.windowStart > c.halfWindow {
		c.previousWindow, c.window, c.windowStart = c.window, map[prefix.Key]*wire.Access{}, now
	}
}

// Nodes lists the index nodes that accesses were counted for, in no order.
//
// Example: for _, node := range c.Nodes() { send(node, c.NextBatch(node, nil)) }
func (c *AccessCounter) Nodes() []string { return slices.Collect(maps.Keys(c.queues)) }

// NextBatch returns the batch to send to an index node now: the one that wasn't acknowledged, or a new
// one. It is nil while one is being sent, and if there is nothing to send. The loads (nil: none) are
// those of this instant, also in a batch that is sent again; they are sent without accesses as well.
//
// Example: if batch := c.NextBatch(node, loads); batch != nil { go send(node, batch) }
func (c *AccessCounter) NextBatch(node string, loads *wire.WorkerLoads) *wire.CountRequest {
	queue := c.queues[node]
	if queue == nil || queue.sending {
		return nil
	}
	if queue.inFlight == nil && len(queue.pending) == 0 && len(loads.GetWorkerIndexes()) == 0 {
		return nil
	}
	if queue.inFlight == nil {
		queue.lastNumber++
		queue.inFlight = &wire.CountRequest{Reporter: c.sender, Incarnation: c.incarnation, Sequence: queue.lastNumber}
		for _, access := range queue.pending {
			queue.inFlight.Accesses = append(queue.inFlight.Accesses, access)
		}
		queue.pending = map[prefix.Key]*wire.Access{}
	}
	queue.sending, queue.inFlight.Loads = true, loads
	return queue.inFlight
}

// Acknowledge records an index node's response to a batch. If the node has lost its memory, the window
// is queued again: the keys that are assigned to it, without presumed holders.
//
// Example: c.Acknowledge(node, batch, response, func(k prefix.Key) bool { return shards.IsAssigned(node, k) })
func (c *AccessCounter) Acknowledge(node string, batch *wire.CountRequest, response *wire.CountResponse, isAssigned func(prefix.Key) bool) {
	queue := c.queues[node]
	if queue == nil {
		return
	}
	queue.sending = false
	if queue.inFlight != batch {
		return // its accesses were dropped meanwhile
	}
	queue.inFlight = nil
	if !response.ResendWindow {
		return
	}
	for _, window := range []map[prefix.Key]*wire.Access{c.previousWindow, c.window} {
		for key, access := range window {
			if isAssigned(key) {
				mergeAccess(queue.pending, key, &wire.Access{Count: access.Count, Tokens: access.Tokens, Service: access.Service, Head: access.Head})
			}
		}
	}
}

// RecordFailure records that a batch wasn't acknowledged: it will be sent again.
//
// Example: if err != nil { c.RecordFailure(node) }
func (c *AccessCounter) RecordFailure(node string) {
	if queue := c.queues[node]; queue != nil {
		queue.sending = false
	}
}

// DropPending drops what is queued for an index node that no longer serves. Its batch numbers go on
// when it serves again: it would take lower ones for duplicates.
//
// Example: if shards.Addr(node) == "" { c.DropPending(node) }
func (c *AccessCounter) DropPending(node string) {
	if queue := c.queues[node]; queue != nil {
		queue.pending, queue.inFlight = map[prefix.Key]*wire.Access{}, nil
	}
}

// mergeAccess adds an access to a table of pending ones.
func mergeAccess(pending map[prefix.Key]*wire.Access, key prefix.Key, access *wire.Access) {
	merged := pending[key]
	if merged == nil {
		if len(pending) < maxPendingKeys {
			pending[key] = &wire.Access{Key: key[:], Count: access.Count, Tokens: access.Tokens, Service: access.Service,
				Head: access.Head, PresumedHolders: slices.Clone(access.PresumedHolders)}
		}
		return
	}
	merged.Count += access.Count
	for _, holder := range access.PresumedHolders {
		if !slices.Contains(merged.PresumedHolders, holder) && len(merged.PresumedHolders) < maxPresumedHolders {
			merged.PresumedHolders = append(merged.PresumedHolders, holder)
		}
	}
}
