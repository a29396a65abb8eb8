package promptindex

import (
	"time"

	"pebbleloom/internal/contract"
	"pebbleloom/internal/data/prefix"
)

// worker is the state of one worker or store that an index node polls for cache changes.
type worker struct {
	// incarnation identifies the process of the worker that responded to a poll last; "" before the first response.
	incarnation string
	// generation is incremented to invalidate all holder records of the worker.
	generation uint32
	// lastSequence is the number of the worker's last known cache report or, in an index that is fed by cache events, the
	// sequence number up to which the worker's events are known. The next request asks for later ones.
	lastSequence uint64
	// needsFullReport is true if the next request to the worker must ask for the complete cache of the worker, not only
	// for changes.
	needsFullReport bool
	respondedAt     time.Duration
	// isPolled is true for workers that are polled, and false for workers that are known only as presumed holders.
	isPolled bool
	// isComplete is true once the worker has reported its complete cache to this index node, by a full report or by all
	// cache events since it started.
	isComplete bool
	// pollSequence is incremented by each applied response and each removal of the worker, so that responses to requests
	// from before that are recognized and discarded.
	pollSequence uint64
}

// ensureWorker returns the polling state of a worker or store, and creates it if there is none.
func (c *Core) ensureWorker(name string) *worker {
	w := c.workers[name]
	if w == nil {
		w = &worker{needsFullReport: true}
		c.workers[name] = w
	}
	return w
}

// ReportRequest is a request to a worker or store for its cache changes. The response is discarded if the worker was
// removed, or another response of the worker was applied, after the request was made.
type ReportRequest struct {
	Name, Service string
	// After is the number of the last cache report, or the sequence number of the cache events, up to which the index
	// node knows the cache changes. The request asks for later ones.
	After uint64
	// Full is true if the request asks for the complete cache contents instead of the changes.
	Full bool
	// pollSequence is the worker's pollSequence when the request was made. The response is discarded if
	// worker.pollSequence has changed since then.
	pollSequence uint64
}

// NextReport returns the next request for the cache reports of a worker or store.
//
// Example: request := c.NextReport("worker-3", "lectores"); reports := call(request.After, request.Full); c.ApplyReport(request, reports, now)
func (c *Core) NextReport(name, service string) ReportRequest {
	w := c.ensureWorker(name)
	w.isPolled = true
	return ReportRequest{name, service, w.lastSequence, w.needsFullReport, w.pollSequence}
}

// ApplyReport applies a worker's response to a request for its cache reports. If the numbers of the worker's reports
// have a gap, a report of its complete cache is requested next, and the known holder records stay until they expire.
// If the response comes from a new incarnation of the worker, the worker's holder records are invalidated and the
// complete cache is requested as well.
//
// Example: c.ApplyReport(request, response, now)
func (c *Core) ApplyReport(request ReportRequest, response contract.CacheReports, now time.Duration) {
	worker := c.ensureWorker(request.Name)
	if request.pollSequence != worker.pollSequence {
		return
	}
	worker.respondedAt = now
	// Any other response to the same request now has an outdated pollSequence and is discarded.
	worker.pollSequence++
	if response.Incarnation != worker.incarnation {
		worker.incarnation, worker.lastSequence, worker.needsFullReport = response.Incarnation, 0, true
		// Invalidate the holder records of the worker's previous incarnation.
		worker.generation++
	}
	switch {
	case response.Complete:
		// Invalidate the holder records of prefixes that the worker no longer caches, as the report of its complete cache
		// does not have them.
		worker.generation++
		c.Stats.FullReports++
		for _, cached := range response.Cached {
			c.addHolder(request, worker, cached, now)
		}
		worker.lastSequence, worker.needsFullReport, worker.isComplete = response.Number, false, true
	case !worker.needsFullReport:
		c.applyNumberedReports(request, worker, response, now)
	}
}

// applyNumberedReports applies those cache reports in a worker's response that follow the worker's last known report
// without a gap in their numbers. If they do not reach the worker's latest report (response.Number), a report of its
// complete cache is requested next.
func (c *Core) applyNumberedReports(request ReportRequest, worker *worker, response contract.CacheReports, now time.Duration) {
	for _, report := range response.Reports {
		if report.Number <= worker.lastSequence {
			continue
		}
		if report.Number != worker.lastSequence+1 {
			break
		}
		for _, added := range report.Added {
			c.addHolder(request, worker, added, now)
		}
		for _, removed := range report.Removed {
			if key, ok := prefix.Parse(removed); ok && c.entries[key] != nil {
				delete(c.entries[key].holders, request.Name)
			}
		}
		worker.lastSequence = report.Number
	}
	if worker.lastSequence != response.Number {
		worker.needsFullReport = true
		c.Stats.Gaps++
	}
}

// addHolder records that a worker or store has reported a prefix as cached. It ignores keys that are not assigned to
// this index node.
func (c *Core) addHolder(request ReportRequest, w *worker, cached contract.CachedPrefix, now time.Duration) {
	key, ok := prefix.Parse(cached.Key)
	if !ok || !c.isAssigned(key) {
		return
	}
	e := c.ensureEntry(key, now)
	if cached.Tokens > 0 {
		e.tokens = uint32(cached.Tokens)
	}
	if e.service == "" {
		e.service = request.Service
	}
	e.holders[request.Name] = holderRecord{certainty: Confirmed, updatedAt: now, generation: w.generation}
}

// RemoveWorker invalidates the holder records of a worker or store that is not listed any more, and resets its polling
// state.
//
// Example: c.RemoveWorker("worker-3")
func (c *Core) RemoveWorker(name string) {
	if w := c.workers[name]; w != nil {
		w.generation++
		w.pollSequence++
		w.incarnation, w.lastSequence, w.needsFullReport, w.isPolled, w.isComplete = "", 0, true, false, false
	}
}

// MarkIncomplete records that this index may have missed cache changes of all workers and stores, as it did not poll
// them while it was on standby. Warm returns false until they have responded again.
//
// Example: c.MarkIncomplete()
func (c *Core) MarkIncomplete() {
	for _, w := range c.workers {
		w.isComplete = false
	}
}
