package promptindex

import (
	"strconv"
	"time"

	"pebbleloom/internal/data/backend"
)

// NextEvents returns the next request for the cache events of a worker or store. The first request asks for the
// events since the worker started, which usually cover everything that it caches.
//
// Example: request := c.NextEvents(w.ID, w.Service); events, err := client.CacheEvents(ctx, w.Addr, request.After, wait)
func (c *Core) NextEvents(name, service string) ReportRequest {
	request := c.NextReport(name, service)
	request.Full = request.Full && c.ensureWorker(name).incarnation != ""
	return request
}

// ApplyEvents applies a response of a worker or store: the cache changes since request.After, or the complete cache if
// request.Full. If changes are missing from the response (events.Gap), the known holder records stay and the complete
// cache is requested later. If the boot ID in the response has changed, the worker has restarted with an empty cache,
// and its holder records are invalidated.
//
// Example: c.ApplyEvents(request, events, now)
func (c *Core) ApplyEvents(request ReportRequest, events backend.CacheEvents, now time.Duration) {
	worker := c.ensureWorker(request.Name)
	if request.pollSequence != worker.pollSequence || events.Throttled {
		return
	}
	worker.respondedAt = now
	// Any other response to the same request now has an outdated pollSequence and is discarded.
	worker.pollSequence++
	if bootID := strconv.FormatUint(events.BootID, 10); bootID != worker.incarnation && !worker.applyBootID(request, bootID) {
		return
	}
	if request.Full {
		// Invalidate the holder records of parts that the worker no longer caches, as the list of its complete cache does
		// not have them.
		worker.generation++
		c.Stats.FullReports++
	} else if events.Gap {
		worker.needsFullReport = true
		c.Stats.Gaps++
	}
	for _, change := range events.Changes {
		c.applyChange(request, worker, change, now)
	}
	worker.lastSequence = events.NextSequence
	if request.Full {
		worker.needsFullReport = false
	}
	worker.isComplete = worker.isComplete || !events.Gap || request.Full
}

// applyBootID records the new boot ID of a worker that has restarted, or that responds for the first time. It reports
// whether the response to request can be applied. If the worker has restarted and request.After is a sequence number
// of its old process, the response is not applied, and the next request asks for all events since the start of the new
// process.
func (w *worker) applyBootID(request ReportRequest, bootID string) (isUsable bool) {
	isFirst := w.incarnation == ""
	w.incarnation, w.needsFullReport = bootID, false
	if isFirst {
		return true
	}
	// Invalidate the worker's holder records from before its restart.
	w.generation++
	if request.Full || request.After == 0 {
		return true
	}
	w.lastSequence, w.isComplete = 0, false
	return false
}

// applyChange records that a worker or store now caches a prompt part, or has evicted it.
func (c *Core) applyChange(request ReportRequest, worker *worker, change backend.CacheChange, now time.Duration) {
	key := PartKey(change.Salt, change.Part)
	if !c.isAssigned(key) {
		return
	}
	if change.Tokens <= 0 {
		if e := c.entries[key]; e != nil {
			delete(e.holders, request.Name)
			c.removeIfUnused(key, e, now)
		}
		return
	}
	e := c.ensureEntry(key, now)
	e.tokens = max(e.tokens, uint32(change.Tokens))
	if e.service == "" {
		e.service = request.Service
	}
	e.holders[request.Name] = holderRecord{Confirmed, now, worker.generation, uint32(change.Tokens)}
}

// RecordStoreUp records at the health key of a store (StoreHealthKey) that the store has responded to a poll.
//
// Example: c.RecordStoreUp("cartons", now)
func (c *Core) RecordStoreUp(store string, now time.Duration) {
	c.ensureEntry(StoreHealthKey(store), now).holders[store] = holderRecord{certainty: Presumed, updatedAt: now, generation: c.ensureWorker(store).generation}
}

// RecordStoreDown removes the entry of a store's health key (StoreHealthKey), because the store has not responded to a
// poll. The holder records of the prefixes that the store caches stay, since only the network path to it may have
// failed.
//
// Example: c.RecordStoreDown("cartons")
func (c *Core) RecordStoreDown(store string) { delete(c.entries, StoreHealthKey(store)) }
