package indexclient

import (
	"context"
	"time"

	"pebbleloom/internal/data/prefix"
	"pebbleloom/internal/data/promptindex"
	"pebbleloom/internal/wire"
)

// run combines waiting lookups into batches until the process stops. At most maxConcurrentBatches are in
// flight at the same time.
func (c *Client) run() {
	inFlight := make(chan struct{}, maxConcurrentBatches)
	for {
		select {
		case <-c.ctx.Done():
			return
		case first := <-c.lookups.Out():
			select {
			case inFlight <- struct{}{}:
			case <-c.ctx.Done():
				return
			}
			lookups := append([]pendingLookup{first}, c.lookups.Drain(maxBatchedLookups)...)
			go func() {
				defer func() { <-inFlight }()
				c.lookUpBatch(lookups)
			}()
		}
	}
}

// batchResult accumulates the responses of index nodes to a batch of lookups.
type batchResult struct {
	found   map[prefix.Key]*wire.LookupResult
	isFinal map[prefix.Key]bool // by key of the batch: whether a warm index node (one that knows the contents of the workers' caches) has responded
	asked   map[string]bool     // names of the index nodes that were called
}

// lookUpBatch resolves a batch of lookups. The first attempt calls as few index nodes as possible to cover all keys.
// The second one calls the other nodes assigned to the keys for which no warm node (one that knows the contents of the
// workers' caches) has responded.
func (c *Client) lookUpBatch(lookups []pendingLookup) {
	result := &batchResult{found: map[prefix.Key]*wire.LookupResult{}, isFinal: map[prefix.Key]bool{}, asked: map[string]bool{}}
	keys, wait := joinKeys(lookups, result.isFinal)
	ctx, cancel := context.WithTimeout(c.ctx, wait)
	defer cancel()
	for attempt := range 2 {
		missing := result.missing(keys)
		if len(missing) == 0 || ctx.Err() != nil {
			break
		}
		var calls []nodeCall
		c.actor.Ask(func(t *table) { calls = t.planCalls(missing, result.asked, c.clock.Now()) })
		attemptCtx, cancelAttempt := ctx, func() {}
		if attempt == 0 {
			attemptCtx, cancelAttempt = context.WithTimeout(ctx, time.Duration(float64(wait)*firstAttemptRatio))
		}
		c.callNodes(attemptCtx, calls, result)
		cancelAttempt()
	}
	c.actor.Ask(func(t *table) { t.cacheAnswers(result.found, c.clock.Now()) })
	for _, lookup := range lookups {
		if len(result.found) == 0 {
			lookup.result <- nil
			continue
		}
		lookup.result <- result.found // the callers of Lookup share this map, so it must not be modified any more
	}
}

// joinKeys returns the distinct keys of all lookups and the longest of the lookups' maximum waits. It also adds each
// key, with the value false, to isFinal, which records for which keys an index node that knows the contents of the
// workers' caches has responded.
func joinKeys(lookups []pendingLookup, isFinal map[prefix.Key]bool) (keys []prefix.Key, wait time.Duration) {
	for _, lookup := range lookups {
		wait = max(wait, lookup.wait)
		for _, key := range lookup.keys {
			if _, isDuplicate := isFinal[key]; !isDuplicate {
				isFinal[key] = false
				keys = append(keys, key)
			}
		}
	}
	return keys, wait
}

// missing returns the keys for which no warm index node (one that knows the contents of the workers' caches) has
// responded.
func (r *batchResult) missing(keys []prefix.Key) (missing []prefix.Key) {
	for _, key := range keys {
		if !r.isFinal[key] {
			missing = append(missing, key)
		}
	}
	return missing
}

// merge adds an index node's response, which has one result per key. A node that isn't warm (has not yet
// collected the contents of the workers' caches) can't know that a key has no holder, so such results of it
// are ignored.
func (r *batchResult) merge(keys []prefix.Key, response *wire.LookupResponse) {
	for i, key := range keys {
		if !response.Warm && len(response.Results[i].Holders) == 0 {
			continue
		}
		r.found[key], r.isFinal[key] = promptindex.MergeLookupResults(r.found[key], response.Results[i]), response.Warm
	}
}

// nodeResponse is the result of one call to an index node.
type nodeResponse struct {
	call     nodeCall
	response *wire.LookupResponse
	err      error
}

// callNodes makes all planned lookup calls to index nodes concurrently and merges the responses into result.
func (c *Client) callNodes(ctx context.Context, calls []nodeCall, result *batchResult) {
	responses := make(chan nodeResponse, len(calls))
	for _, call := range calls {
		result.asked[call.node] = true
		c.lookupCalls.Add(1)
		go func() {
			request := &wire.LookupRequest{Reporter: c.name, Loads: c.loads()}
			for i := range call.keys {
				request.Keys = append(request.Keys, call.keys[i][:])
			}
			response, err := c.connect(call.addr).Lookup(ctx, request)
			responses <- nodeResponse{call, response, err}
		}()
	}
	for range calls {
		r := <-responses
		isComplete := r.err == nil && r.response != nil && len(r.response.Results) == len(r.call.keys)
		c.actor.Ask(func(t *table) { t.recordResult(r.call.node, isComplete && r.response.Warm, c.clock.Now()) })
		if sharing := c.loadSharing.Load(); sharing != nil && r.err == nil && r.response.GetLoads() != nil {
			sharing.receiveLoads(r.response.Loads)
		}
		if isComplete { // an error or a response with missing results counts as a miss for all keys of the call
			result.merge(r.call.keys, r.response)
		}
	}
}
