package promptindex

import (
	"time"

	"pebbleloom/internal/contract"
	"pebbleloom/internal/data/prefix"
)

// worker is the polling state of one worker or store.
type worker struct {
	// incarnation identifies the process that responded last; "" before the first response.
	incarnation string
	// generation is incremented to invalidate all holder records of the worker.
	generation uint32
	// lastSequence is the number of the last cache change that is known; the next request asks for later ones.
	lastSequence uint64
	// needsFullReport is true if the next request must ask for the complete cache of the worker, not only for changes.
	needsFullReport bool
	respondedAt     time.Duration
	// isPolled is true for workers that are polled, and false for workers that are known only as presumed holders.
	isPolled bool
	// isComplete is true once the worker has reported everything that it caches.
	isComplete bool
	// pollSequence is incremented by each applied response and each removal of the worker, so that responses to earlier
	// requests are recognized and discarded.
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

// ReportRequest is a request to a worker or store for its cache changes. The response is discarded if, in the
// meantime, the worker was removed or a response to another request was applied.
type ReportRequest struct {
	Name, Service string
	// After is the number of the last known cache change: later changes are requested.
	After uint64
	// Full requests the complete cache contents instead of the changes.
	Full bool
	// pollSequence is the worker's pollSequence at the time of the request. A response is discarded if the worker's
	// pollSequence has changed since.
	pollSequence uint64
}

// NextReport returns the next request for the cache reports of a worker.
//
// Example: request := c.NextReport("worker-3", "lectores"); reports := call(request.After, request.Full); c.ApplyReport(request, reports, now)
func (c *Core) NextReport(name, service string) ReportRequest {
	w := c.ensureWorker(name)
	w.isPolled = true
	return ReportRequest{name, service, w.lastSequence, w.needsFullReport, w.pollSequence}
}

// ApplyReport applies a worker's response to a request for its cache reports. If the numbers of its reports have a
// gap, a full report is requested next, and the known holder records stay until they expire. If the worker has a new
// incarnation, its holder records are invalidated and a full report is requested as well.
//
// Example: c.ApplyReport(request, response, now)
func (c *Core) ApplyReport(request ReportRequest, response contract.CacheReports, now time.Duration) {
	worker := c.ensureWorker(request.Name)
	if request.pollSequence != worker.pollSequence {
		return
	}
	worker.respondedAt = now
	// From now on, any other response to the same request is discarded.
	worker.pollSequence++
	if response.Incarnation != worker.incarnation {
		worker.incarnation, worker.lastSequence, worker.needsFullReport = response.Incarnation, 0, true
		// Invalidate the holder records of the worker's previous incarnation.
		worker.generation++
	}
	switch {
	case response.Complete:
		// Invalidate the holder records of prefixes that the worker no longer caches, as the full report lacks them.
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

// applyNumberedReports applies the cache reports that follow the last known one without a gap in their numbers. If
// this does not reach the last report of the worker, a full report is requested.
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

// addHolder records that a worker caches a prefix. It ignores keys that are not assigned to this index node.
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

// RemoveWorker invalidates the holder records of a worker that was removed from the deployment, and resets its
// polling state.
//
// Example: c.RemoveWorker("worker-3")
func (c *Core) RemoveWorker(name string) {
	if w := c.workers[name]; w != nil {
		w.generation++
		w.pollSequence++
		w.incarnation, w.lastSequence, w.needsFullReport, w.isPolled, w.isComplete = "", 0, true, false, false
	}
}

// MarkIncomplete records that this index has missed cache changes of all workers, as it didn't poll them. The index
// is not warm until the workers have responded again.
//
// Example: c.MarkIncomplete()
func (c *Core) MarkIncomplete() {
	for _, w := range c.workers {
		w.isComplete = false
	}
}
