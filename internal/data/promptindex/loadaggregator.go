package promptindex

import (
	"slices"
	"time"

	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

// reportLifetimeRatio is how long an edge machine's report of workers' load counts, as a ratio of the heal
// bound: four reports, at the pace at which they come.
const reportLifetimeRatio = 1.0 / 15

// LoadAggregator adds up the loads that edge machines report: each sees a small share of the traffic, and
// can't see from its own how loaded or how unhealthy a worker is. It isn't safe for concurrent use.
type LoadAggregator struct {
	bounds        settings.Bounds
	reports       map[string]*loadReport // by edge machine: the last one
	completeSince time.Duration          // reports have come without a break since then
	lastReportAt  time.Duration
}

// loadReport is the last report of an edge machine.
type loadReport struct {
	loads      *wire.WorkerLoads
	receivedAt time.Duration
}

// NewLoadAggregator makes an aggregator without reports.
//
// Example: a := promptindex.NewLoadAggregator(bounds)
func NewLoadAggregator(bounds settings.Bounds) *LoadAggregator {
	return &LoadAggregator{bounds: bounds, reports: map[string]*loadReport{}}
}

// lifetime is how long a report counts.
func (a *LoadAggregator) lifetime() time.Duration { return a.bounds.Heal(reportLifetimeRatio) }

// IsValidReport reports whether a report of loads has one element for each worker in all its arrays.
//
// Example: if !promptindex.IsValidReport(response.Loads) { return }
func IsValidReport(loads *wire.WorkerLoads) bool {
	count := len(loads.GetWorkerIndexes())
	return loads != nil && len(loads.InFlight) == count && len(loads.PendingPrefill) == count && len(loads.Successes) == count && len(loads.Failures) == count
}

// Record replaces an edge machine's last report. Reports with arrays of unequal length are ignored, and
// those of further edge machines while there are too many.
//
// Example: a.Record("edge/edge-1", request.Loads, now)
func (a *LoadAggregator) Record(reporter string, loads *wire.WorkerLoads, now time.Duration) {
	if !IsValidReport(loads) {
		return
	}
	if a.reports[reporter] == nil && len(a.reports) >= maxReporters {
		a.dropOutdated(now)
		if len(a.reports) >= maxReporters {
			return
		}
	}
	if len(a.reports) == 0 || now-a.lastReportAt > a.lifetime() {
		a.completeSince = now
	}
	a.lastReportAt = now
	a.reports[reporter] = &loadReport{loads, now}
}

// dropOutdated drops the reports that count no more.
func (a *LoadAggregator) dropOutdated(now time.Duration) {
	for reporter, report := range a.reports {
		if now-report.receivedAt > a.lifetime() {
			delete(a.reports, reporter)
		}
	}
}

// workerLoad is the load of one worker, added up.
type workerLoad struct{ inFlight, pendingPrefill, successes, failures uint32 }

// Others adds up the recent reports of all edge machines but one, on the same list of workers. While some
// of them may not have reported yet it returns none: half of the load is worse than none.
//
// Example: response.Loads = a.Others("edge/edge-1", request.Loads.WorkerListHash, now)
func (a *LoadAggregator) Others(reporter string, workerListHash uint64, now time.Duration) *wire.WorkerLoads {
	total := &wire.WorkerLoads{WorkerListHash: workerListHash}
	if now-a.completeSince < a.lifetime() {
		return total
	}
	byWorker := map[uint32]*workerLoad{}
	for name, report := range a.reports {
		if name == reporter || report.loads.WorkerListHash != workerListHash || now-report.receivedAt > a.lifetime() {
			continue
		}
		total.Reporters++
		for i, worker := range report.loads.WorkerIndexes {
			load := byWorker[worker]
			if load == nil {
				load = &workerLoad{}
				byWorker[worker] = load
				total.WorkerIndexes = append(total.WorkerIndexes, worker)
			}
			load.inFlight += report.loads.InFlight[i]
			load.pendingPrefill += report.loads.PendingPrefill[i]
			load.successes += report.loads.Successes[i]
			load.failures += report.loads.Failures[i]
		}
	}
	slices.Sort(total.WorkerIndexes)
	for _, worker := range total.WorkerIndexes {
		load := byWorker[worker]
		total.InFlight = append(total.InFlight, load.inFlight)
		total.PendingPrefill = append(total.PendingPrefill, load.pendingPrefill)
		total.Successes = append(total.Successes, load.successes)
		total.Failures = append(total.Failures, load.failures)
	}
	return total
}
