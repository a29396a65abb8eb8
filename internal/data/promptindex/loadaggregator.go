package promptindex

import (
	"slices"
	"time"

	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

// loadReportLifetimeRatio is how long a proxy's report of worker loads is valid, as a ratio of the recovery time
// bound (Bounds.Recovery). It is four times the interval at which proxies report.
const loadReportLifetimeRatio = 1.0 / 15

// LoadAggregator adds up the worker loads that proxies report. Each proxy handles only a small share of the traffic,
// from which it can't determine how loaded or unhealthy a worker is. A LoadAggregator is not safe for concurrent use.
type LoadAggregator struct {
	bounds settings.Bounds
	// reports has the last load report of each proxy, by the name of the proxy.
	reports map[string]*loadReport
	// uninterruptedSince is the time since which at least one proxy's report has been valid at every moment.
	uninterruptedSince time.Duration
	lastReportAt       time.Duration
}

// loadReport is the last report of worker loads that one proxy has sent.
type loadReport struct {
	loads      *wire.WorkerLoads
	receivedAt time.Duration
}

// NewLoadAggregator returns an aggregator that has no reports of worker loads yet.
//
// Example: a := promptindex.NewLoadAggregator(bounds)
func NewLoadAggregator(bounds settings.Bounds) *LoadAggregator {
	return &LoadAggregator{bounds: bounds, reports: map[string]*loadReport{}}
}

// lifetime returns how long a proxy's report of worker loads is valid after it was received.
func (a *LoadAggregator) lifetime() time.Duration { return a.bounds.Recovery(loadReportLifetimeRatio) }

// IsValidReport reports whether loads is not nil and all of its per-worker arrays have the same length.
//
// Example: if !promptindex.IsValidReport(response.Loads) { return }
func IsValidReport(loads *wire.WorkerLoads) bool {
	count := len(loads.GetWorkerIndexes())
	return loads != nil && len(loads.InFlight) == count && len(loads.PendingPrefill) == count && len(loads.Successes) == count && len(loads.Failures) == count
}

// Record replaces the stored load report of a proxy by a new one. It ignores reports with arrays of different lengths,
// and reports of further proxies while the number of proxies with valid reports is at its limit (maxReporters).
//
// Example: a.Record("edge/edge-1", request.Loads, now)
func (a *LoadAggregator) Record(reporter string, loads *wire.WorkerLoads, now time.Duration) {
	if !IsValidReport(loads) {
		return
	}
	if a.reports[reporter] == nil && len(a.reports) >= maxReporters {
		a.dropExpired(now)
		if len(a.reports) >= maxReporters {
			return
		}
	}
	if len(a.reports) == 0 || now-a.lastReportAt > a.lifetime() {
		a.uninterruptedSince = now
	}
	a.lastReportAt = now
	a.reports[reporter] = &loadReport{loads, now}
}

// dropExpired removes the load reports that were received longer ago than loadReportLifetimeRatio allows.
func (a *LoadAggregator) dropExpired(now time.Duration) {
	for reporter, report := range a.reports {
		if now-report.receivedAt > a.lifetime() {
			delete(a.reports, reporter)
		}
	}
}

// workerLoad is the load of one worker, summed over the reports of several proxies.
type workerLoad struct{ inFlight, pendingPrefill, successes, failures uint32 }

// Others returns the sum of the valid reports of all proxies except reporter, so far as they refer to the list of
// workers with the hash workerListHash. It returns no loads until reports have arrived for one report lifetime: before
// that, some proxies may not have sent a report yet, and a partial sum is worse than none.
//
// Example: response.Loads = a.Others("edge/edge-1", request.Loads.WorkerListHash, now)
func (a *LoadAggregator) Others(reporter string, workerListHash uint64, now time.Duration) *wire.WorkerLoads {
	total := &wire.WorkerLoads{WorkerListHash: workerListHash}
	if now-a.uninterruptedSince < a.lifetime() {
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
