package promptindex

import (
	"time"

	"pebbleloom/internal/contract"
	"pebbleloom/internal/data/prefix"
)

// worker is what the index knows of one worker's reports.
type worker struct {
	incarnation string
	generation  uint32 // counts the times that all of its holdings became void
	lastNumber  uint64 // of its reports
	needsFull   bool   // a full report is needed
	respondedAt time.Duration
	isPolled    bool   // it is polled for reports
	isComplete  bool   // it has reported everything it caches
	sequence    uint64 // counts its removals and its responses
}

// worker returns what is known of a worker, or a new one.
func (c *Core) worker(name string) *worker {
	w := c.workers[name]
	if w == nil {
		w = &worker{needsFull: true}
		c.workers[name] = w
	}
	return w
}

// ReportRequest is a request to a worker. A response to one from before the worker was removed, or from
// before another response, is outdated.
type ReportRequest struct {
	Name, Service string
	After         uint64 // the number of the last report that is known
	Full          bool   // everything that the worker caches is requested
	sequence      uint64
}

// NextReport returns the next request to a worker.
//
// Example: request := c.NextReport("worker-3", "lectores"); reports := call(request.After, request.Full); c.ApplyReport(request, reports, now)
func (c *Core) NextReport(name, service string) ReportRequest {
	w := c.worker(name)
	w.isPolled = true
	return ReportRequest{name, service, w.lastNumber, w.needsFull, w.sequence}
}

// ApplyReport applies a worker's response. After a gap in the numbers or a new incarnation a full report is
// requested next; until then known holdings stay, and lapse as usual.
//
// Example: c.ApplyReport(request, response, now)
func (c *Core) ApplyReport(request ReportRequest, response contract.CacheReports, now time.Duration) {
	worker := c.worker(request.Name)
	if request.sequence != worker.sequence {
		return
	}
	worker.respondedAt = now
	worker.sequence++ // each request has one response
	if response.Incarnation != worker.incarnation {
		worker.incarnation, worker.lastNumber, worker.needsFull = response.Incarnation, 0, true
		worker.generation++ // the old incarnation's holdings are void
	}
	switch {
	case response.Complete:
		worker.generation++ // what isn't in the report isn't cached any more
		c.Stats.FullReports++
		for _, cached := range response.Cached {
			c.addHolding(request, worker, cached, now)
		}
		worker.lastNumber, worker.needsFull, worker.isComplete = response.Number, false, true
	case !worker.needsFull:
		c.applyNumberedReports(request, worker, response, now)
	}
}

// applyNumberedReports applies the reports that follow the last known one without a gap.
func (c *Core) applyNumberedReports(request ReportRequest, worker *worker, response contract.CacheReports, now time.Duration) {
	for _, report := range response.Reports {
		if report.Number <= worker.lastNumber {
			continue
		}
		if report.Number != worker.lastNumber+1 {
			break
		}
		for _, added := range report.Added {
			c.addHolding(request, worker, added, now)
		}
		for _, removed := range report.Removed {
			if key, ok := prefix.Parse(removed); ok && c.entries[key] != nil {
				delete(c.entries[key].holders, request.Name)
			}
		}
		worker.lastNumber = report.Number
	}
	if worker.lastNumber != response.Number {
		worker.needsFull = true
		c.Stats.Gaps++
	}
}

// addHolding records that a worker caches a prefix. Keys that aren't assigned to this node are ignored.
func (c *Core) addHolding(request ReportRequest, w *worker, cached contract.CachedPrefix, now time.Duration) {
	key, ok := prefix.Parse(cached.Key)
	if !ok || !c.isAssigned(key) {
		return
	}
	e := c.entry(key, now)
	if cached.Tokens > 0 {
		e.tokens = uint32(cached.Tokens)
	}
	if e.service == "" {
		e.service = request.Service
	}
	e.holders[request.Name] = holding{certainty: Confirmed, updatedAt: now, generation: w.generation}
}

// RemoveWorker makes the holdings of a worker that has left void.
//
// Example: c.RemoveWorker("worker-3")
func (c *Core) RemoveWorker(name string) {
	if w := c.workers[name]; w != nil {
		w.generation++
		w.sequence++
		w.incarnation, w.lastNumber, w.needsFull, w.isPolled, w.isComplete = "", 0, true, false, false
	}
}

// MarkIncomplete marks all workers as incomplete: the index hasn't followed them.
//
// Example: c.MarkIncomplete()
func (c *Core) MarkIncomplete() {
	for _, w := range c.workers {
		w.isComplete = false
	}
}
