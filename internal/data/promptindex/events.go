package promptindex

import (
	"strconv"
	"time"

	"pebbleloom/internal/data/backend"
)

// NextEvents returns the next request to a worker or store of a site. One that never responded is asked
// for its events from its start on: usually that is everything it caches.
//
// Example: request := c.NextEvents(w.ID, w.Service); events, err := client.CacheEvents(ctx, w.Addr, request.After, wait)
func (c *Core) NextEvents(name, service string) ReportRequest {
	request := c.NextReport(name, service)
	request.Full = request.Full && c.worker(name).incarnation != ""
	return request
}

// ApplyEvents applies a worker's response: changes since request.After, or everything it caches if
// request.Full. After a gap known holdings stay, and a full list is requested later; another boot has
// dropped the whole cache.
//
// Example: c.ApplyEvents(request, events, now)
func (c *Core) ApplyEvents(request ReportRequest, events backend.CacheEvents, now time.Duration) {
	worker := c.worker(request.Name)
	if request.sequence != worker.sequence || events.Throttled {
		return
	}
	worker.respondedAt = now
	worker.sequence++ // each request has one response
	if boot := strconv.FormatUint(events.BootID, 10); boot != worker.incarnation && !worker.applyBoot(request, boot) {
		return
	}
	if request.Full {
		worker.generation++ // what isn't in the list isn't cached any more
		c.Stats.FullReports++
	} else if events.Gap {
		worker.needsFull = true
		c.Stats.Gaps++
	}
	for _, change := range events.Changes {
		c.applyChange(request, worker, change, now)
	}
	worker.lastNumber = events.NextSequence
	if request.Full {
		worker.needsFull = false
	}
	worker.isComplete = worker.isComplete || !events.Gap || request.Full
}

// applyBoot records another boot of a worker. It reports whether the response can be used: one to a request
// with another boot's number can't, and the events of the new boot are requested from their start on.
func (w *worker) applyBoot(request ReportRequest, boot string) (isUsable bool) {
	isFirst := w.incarnation == ""
	w.incarnation, w.needsFull = boot, false
	if isFirst {
		return true
	}
	w.generation++ // the old boot's holdings are void
	if request.Full || request.After == 0 {
		return true
	}
	w.lastNumber, w.isComplete = 0, false
	return false
}

// applyChange records that a worker or store caches a part now, or has dropped it.
func (c *Core) applyChange(request ReportRequest, worker *worker, change backend.CacheChange, now time.Duration) {
	key := PartKey(change.Salt, change.Part)
	if !c.isAssigned(key) {
		return
	}
	if change.Tokens <= 0 {
		if e := c.entries[key]; e != nil {
			delete(e.holders, request.Name)
			c.dropIfUnused(key, e, now)
		}
		return
	}
	e := c.entry(key, now)
	e.tokens = max(e.tokens, uint32(change.Tokens))
	if e.service == "" {
		e.service = request.Service
	}
	e.holders[request.Name] = holding{Confirmed, now, worker.generation, uint32(change.Tokens)}
}

// StoreUp records that a store responds.
//
// Example: c.StoreUp("cartons", now)
func (c *Core) StoreUp(store string, now time.Duration) {
	c.entry(StoreHealthKey(store), now).holders[store] = holding{certainty: Presumed, updatedAt: now, generation: c.worker(store).generation}
}

// StoreDown records that a store doesn't respond. Its holdings stay known: only the path to it may be
// broken.
//
// Example: c.StoreDown("cartons")
func (c *Core) StoreDown(store string) { delete(c.entries, StoreHealthKey(store)) }
