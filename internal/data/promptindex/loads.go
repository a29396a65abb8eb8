package promptindex

import (
	"sort"
	"time"

	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

// reportLifetimeRatio is how long an edge machine's report on workers' load counts, as a ratio of the heal bound.
const reportLifetimeRatio = 1.0 / 15

// LoadAggregator adds up the loads that edge machines report: each sees a small share of the traffic, and can't
// see from its own how loaded or how unhealthy a worker is.
type LoadAggregator struct {
	bounds        settings.Bounds
	reports       map[string]*loadReport
	completeSince time.Duration // reports have come without a break since then
	lastReport    time.Duration // the last report
}

// loadReport is the last report of an edge machine.
type loadReport struct {
	loads *wire.WorkerLoads
	at    time.Duration
}

// NewLoadAggregator starts without reports.
//
// Example: l := promptindex.NewLoadAggregator(bounds)
func NewLoadAggregator(b settings.Bounds) *LoadAggregator {
	return &LoadAggregator{bounds: b, reports: map[string]*loadReport{}}
}

// Record replaces an edge machine's last report. Reports with arrays of unequal length are ignored.
//
// Example: l.Record("edge/edge-1", request.Loads, now)
func (l *LoadAggregator) Record(teller string, w *wire.WorkerLoads, now time.Duration) {
	if n := len(w.GetWorkerIndexes()); w == nil || len(w.InFlight) != n || len(w.PendingPrefill) != n || len(w.Successes) != n || len(w.Failures) != n {
		return
	}
	if l.reports[teller] == nil && len(l.reports) >= maxReporters {
		for n, x := range l.reports {
			if now-x.at > l.bounds.Heal(reportLifetimeRatio) {
				delete(l.reports, n)
			}
		}
		if len(l.reports) >= maxReporters {
			return
		}
	}
	if len(l.reports) == 0 || now-l.lastReport > l.bounds.Heal(reportLifetimeRatio) {
		l.completeSince = now
	}
	l.lastReport = now
	l.reports[teller] = &loadReport{w, now}
}

// Others adds up the recent reports of all edge machines but one, on the same list of workers. While
// some of them may not have reported yet it returns nothing: half of the load is worse than none.
//
// Example: response.Loads = l.Others("edge/edge-1", request.Loads.List, now)
func (l *LoadAggregator) Others(teller string, list uint64, now time.Duration) *wire.WorkerLoads {
	type row struct{ active, unread, ok, bad uint32 }
	sum := map[uint32]*row{}
	t := &wire.WorkerLoads{WorkerListHash: list}
	if now-l.completeSince < l.bounds.Heal(reportLifetimeRatio) {
		return t
	}
	for name, x := range l.reports {
		if name == teller || x.loads.WorkerListHash != list || now-x.at > l.bounds.Heal(reportLifetimeRatio) {
			continue
		}
		t.Reporters++
		for i, at := range x.loads.WorkerIndexes {
			r := sum[at]
			if r == nil {
				r = &row{}
				sum[at] = r
				t.WorkerIndexes = append(t.WorkerIndexes, at)
			}
			r.active += x.loads.InFlight[i]
			r.unread += x.loads.PendingPrefill[i]
			r.ok += x.loads.Successes[i]
			r.bad += x.loads.Failures[i]
		}
	}
	sort.Slice(t.WorkerIndexes, func(i, j int) bool { return t.WorkerIndexes[i] < t.WorkerIndexes[j] })
	for _, at := range t.WorkerIndexes {
		r := sum[at]
		t.InFlight, t.PendingPrefill = append(t.InFlight, r.active), append(t.PendingPrefill, r.unread)
		t.Successes, t.Failures = append(t.Successes, r.ok), append(t.Failures, r.bad)
	}
	return t
}
