package indexclient

import (
	"maps"
	"slices"
	"time"

	"pebbleloom/internal/data/prefix"
	"pebbleloom/internal/wire"
)

const (
	maxPendingKeys     = 4096 // maximum number of keys with unsent accesses per index node; accesses to further keys are not counted
	maxPresumedHolders = 8    // maximum number of presumed holders (workers or stores presumed to cache a prompt part) per key in one batch; further ones are not reported
)

// AccessCounter accumulates accesses to prompt parts until the nodes of the prompt index have acknowledged
// them. Each index node has its own queue with at most one batch in flight. A batch keeps its sequence number
// until it is acknowledged, and the index applies each number once, so a lost response does not lead to
// double counting.
//
// The accesses of the current and the previous half window (halves of the time for which accesses are kept) are also
// kept after they were acknowledged. They are queued again for an index node that reports that it has lost its state.
//
// AccessCounter is used by both senders of accesses: Client and the prompt index client of package
// callerproxy. It does no I/O and isn't safe for concurrent use: the sender's actor serializes all calls,
// sends the batches that NextBatch returns and reports the result to Acknowledge or RecordFailure.
type AccessCounter struct {
	sender         string
	incarnation    uint64
	halfWindow     time.Duration         // half of the time for which accesses are kept for resending
	queues         map[string]*nodeQueue // unacknowledged accesses, by name of the index node
	window         map[prefix.Key]*wire.Access
	previousWindow map[prefix.Key]*wire.Access
	windowStart    time.Duration
}

// nodeQueue holds the accesses that one index node hasn't acknowledged yet.
type nodeQueue struct {
	lastNumber uint64
	pending    map[prefix.Key]*wire.Access
	inFlight   *wire.CountRequest // unacknowledged batch: sent again with the same sequence number
	sending    bool               // whether the call that sends inFlight is still in progress
}

// NewAccessCounter returns an empty counter for the batches of one sender. The incarnation distinguishes this
// process's sequence numbers from those of earlier processes with the same name. Accesses are kept for
// resending for at most twice halfWindow.
//
// Example: c := indexclient.NewAccessCounter("edge/edge-1", uint64(clock.Now()), bounds.Recovery(1.25))
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

// Add counts an access to a key for each of the index nodes that the key is assigned to ("": none). It does
// not modify or keep the access, and ignores access.Key.
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

// RotateWindow starts a new half window (half of the time for which accesses are kept for resending) if the current one
// is over, and discards the accesses of the one before that.
//
// Example: c.RotateWindow(clock.Now())
func (c *AccessCounter) RotateWindow(now time.Duration) {
	if now-c.windowStart > c.halfWindow {
		c.previousWindow, c.window, c.windowStart = c.window, map[prefix.Key]*wire.Access{}, now
	}
}

// Nodes returns the names of the index nodes that accesses were counted for, in no particular order.
//
// Example: for _, node := range c.Nodes() { send(node, c.NextBatch(node, nil)) }
func (c *AccessCounter) Nodes() []string { return slices.Collect(maps.Keys(c.queues)) }

// NextBatch returns the batch to send to an index node now: the unacknowledged one, or else a new one. It is nil while
// a batch to that node is being sent, and if there is nothing to send. The batch carries the given current loads of the
// workers (nil: none), also when it is sent again; loads are sent even if there are no accesses.
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

// Acknowledge records an index node's response to a batch. If the node has lost its state, the accesses to keys
// assigned to it that are kept for resending are queued again, without the workers presumed to cache the keys' parts.
//
// Example: c.Acknowledge(node, batch, response, func(k prefix.Key) bool { return shards.IsAssigned(node, k) })
func (c *AccessCounter) Acknowledge(node string, batch *wire.CountRequest, response *wire.CountResponse, isAssigned func(prefix.Key) bool) {
	queue := c.queues[node]
	if queue == nil {
		return
	}
	queue.sending = false
	if queue.inFlight != batch {
		return // DropPending has dropped the batch while it was being sent
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

// RecordFailure records that an index node didn't acknowledge the batch that was sent to it. NextBatch then returns the
// same batch again.
//
// Example: if err != nil { c.RecordFailure(node) }
func (c *AccessCounter) RecordFailure(node string) {
	if queue := c.queues[node]; queue != nil {
		queue.sending = false
	}
}

// DropPending discards the accesses queued for an index node that no longer serves. Sequence numbers are not
// reset, because the node would treat lower ones as duplicates if it serves again.
//
// Example: if shards.Addr(node) == "" { c.DropPending(node) }
func (c *AccessCounter) DropPending(node string) {
	if queue := c.queues[node]; queue != nil {
		queue.pending, queue.inFlight = map[prefix.Key]*wire.Access{}, nil
	}
}

// mergeAccess adds an access to a map of pending accesses. If the map already has maxPendingKeys keys, an access to
// another key is dropped.
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
