package indexclient

import (
	"context"

	"pebbleloom/internal/data/prefix"
	"pebbleloom/internal/wire"
)

// RecordAccesses counts one access to each prompt part of a request. holder is the worker that is presumed to cache the
// parts from now on, and store the KV cache store that they were sent to ("" if none). RecordAccesses doesn't block;
// the accesses are dropped if the queue of the client's actor is full.
//
// Example: c.RecordAccesses("lectores", parts, worker.ID, "")
func (c *Client) RecordAccesses(service string, parts []prefix.Entry, holder, store string) {
	if len(parts) == 0 {
		return
	}
	c.actor.TrySend(func(t *table) {
		shards := t.currentShards()
		for i, part := range parts {
			access := &wire.Access{Count: 1, Tokens: uint32(part.Tokens), Service: service, Head: i == 0, PresumedHolders: []string{holder}}
			if store != "" {
				access.PresumedHolders = append(access.PresumedHolders, store)
			}
			t.accesses.Add(part.Key, shards.NodesOf(part.Key), access)
		}
		t.accesses.RotateWindow(c.clock.Now())
	})
}

// flush starts the calls that send each index node the accesses counted for it.
func (c *Client) flush() {
	loads := c.loads()
	c.actor.Ask(func(t *table) {
		shards := t.currentShards()
		for _, node := range t.accesses.Nodes() {
			addr := shards.Addr(node)
			if addr == "" {
				t.accesses.DropPending(node)
				continue
			}
			if batch := t.accesses.NextBatch(node, loads); batch != nil {
				go c.sendBatch(node, addr, batch)
			}
		}
	})
}

// sendBatch sends one batch of accesses to an index node and records whether it was acknowledged.
func (c *Client) sendBatch(node, addr string, batch *wire.CountRequest) {
	ctx, cancel := context.WithTimeout(c.ctx, c.bounds.Recovery(flushTimeoutRatio))
	defer cancel()
	response, err := c.connect(addr).Count(ctx, batch)
	c.actor.Ask(func(t *table) {
		if err != nil {
			t.accesses.RecordFailure(node)
			return
		}
		t.accesses.Acknowledge(node, batch, response, func(key prefix.Key) bool { return t.currentShards().IsAssigned(node, key) })
	})
}
