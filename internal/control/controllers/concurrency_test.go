package controllers

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pebbleloom/internal/data/backend"
	"pebbleloom/internal/fleet"
)

func TestConcurrencyLimit(t *testing.T) {
	rollout, b := NewRollout(bounds(), nil), bounds()
	for _, test := range []struct {
		workers, waiting int
		spanStart        time.Duration // relative to now
		want             int
	}{
		{1, 1, 0, 1}, {3, 3, 0, 1}, {18, 18, 0, 3}, {112, 112, 0, 22}, // plenty of time
		{18, 18, -b.Weights(0.5), 6}, {18, 14, -b.Weights(0.2), 3}, {18, 2, -b.Weights(0.5), 3}, {112, 112, -b.Weights(0.6), 37}, // the deadline is near
		{18, 1, -b.Weights(2), 3}, {2, 2, -b.Weights(2), 1},
	} {
		if got := rollout.concurrencyLimit(time.Minute, test.workers, test.waiting, time.Minute+test.spanStart, "daka"); got != test.want {
			t.Errorf("concurrencyLimit for case %+v = %d", test, got)
		}
	}
	if got := rollout.concurrencyLimit(0, 18, 18, -1, "daka"); got != 3 {
		t.Errorf("concurrencyLimit for 18 workers with unknown span start = %d, want 3", got)
	}
}

// loadingWorkers simulates workers that take orders to load weights, and records when each load ends.
type loadingWorkers struct {
	workers    []fleet.Worker
	index      map[string]int  // index of each worker in workers, by ID
	doneAt     []time.Duration // when each worker's load ends; zero if it has not been ordered
	cordonedIn []time.Duration // total time for which each worker was cordoned
}

func newLoadingWorkers(n int) *loadingWorkers {
	l := &loadingWorkers{
		workers:    make([]fleet.Worker, n),
		index:      map[string]int{},
		doneAt:     make([]time.Duration, n),
		cordonedIn: make([]time.Duration, n),
	}
	for i := range l.workers {
		l.workers[i] = worker(fmt.Sprintf("%03d", i), 1)
		l.index[l.workers[i].ID] = i
	}
	return l
}

// inputs returns the inputs of a step when version 2 was named at time zero.
func (l *loadingWorkers) inputs(now time.Duration) RolloutInputs {
	return RolloutInputs{Now: now, Workers: l.workers, NamedVersions: map[string]uint64{"daka": 2},
		NamedAt: map[string]time.Duration{"daka": 0}, UpdatedServices: map[string]bool{"reading": true}}
}

func (l *loadingWorkers) countLoading(now time.Duration) int {
	loading := 0
	for _, doneAt := range l.doneAt {
		if doneAt > now {
			loading++
		}
	}
	return loading
}

// report returns the report that shows the state of a worker at the given time.
func (l *loadingWorkers) report(i int, then time.Duration) backend.Report {
	switch {
	case l.doneAt[i] == 0:
		return backend.Report{Weights: map[string]uint64{"daka": 1}}
	case then < l.doneAt[i]:
		return backend.Report{Busy: true, Weights: map[string]uint64{"daka": 1}}
	}
	return backend.Report{Weights: map[string]uint64{"daka": 2}}
}

// handleReport passes a report to the rollout and lists the worker with the version that it shows.
func (l *loadingWorkers) handleReport(rollout *Rollout, id string, report backend.Report, ok bool, now time.Duration) {
	if _, version := rollout.HandleReport(id, report, ok, now); version > 0 {
		l.workers[l.index[id]] = worker(id, version)
	}
}

// All workers that respond are updated within Bounds.Weights, even if some workers do not respond. At most a
// third of the workers load at the same time, and each one is cordoned only briefly.
func TestRolloutCompletesWithinBound(t *testing.T) {
	for _, test := range []struct {
		workers, unresponsive int
		loadTime              time.Duration
	}{
		{1, 0, 1800 * time.Millisecond}, {4, 0, 1100 * time.Millisecond}, {18, 0, 1100 * time.Millisecond},
		{18, 2, 1100 * time.Millisecond}, {18, 0, 1800 * time.Millisecond}, {112, 5, 1800 * time.Millisecond},
	} {
		t.Run(fmt.Sprintf("%+v", test), func(t *testing.T) {
			const step = 25 * time.Millisecond
			bounds := bounds()
			bounds.WeightsMs = 15000
			rollout, sim := NewRollout(bounds, nil), newLoadingWorkers(test.workers)
			for now := time.Duration(0); now < bounds.Weights(1); now += step {
				actions := rollout.Step(sim.inputs(now))
				rollout.ConfirmCordoned(actions.Cordoned["reading"], now)
				for _, order := range actions.Orders {
					i := sim.index[order.Worker.ID]
					if sim.doneAt[i] != 0 {
						t.Fatalf("worker %s was ordered to load weights twice", order.Worker.ID)
					}
					if i < test.unresponsive {
						rollout.HandleOrderOutcome(order, backend.OutcomeUnknown, now)
						continue
					}
					sim.doneAt[i] = now + 20*time.Millisecond + test.loadTime
					rollout.HandleOrderOutcome(order, backend.OutcomeStarted, now)
				}
				if loading := sim.countLoading(now); loading > max(1, test.workers/3) {
					t.Fatalf("%d workers load at the same time at %v, want at most a third of them", loading, now)
				}
				for _, w := range actions.Reports {
					i := sim.index[w.ID]
					sim.handleReport(rollout, w.ID, sim.report(i, now-reportAge), i >= test.unresponsive, now)
				}
				for _, id := range actions.Cordoned["reading"] {
					sim.cordonedIn[sim.index[id]] += step
				}
			}
			for i, w := range sim.workers[test.unresponsive:] {
				if w.Weights["daka"] != 2 {
					t.Errorf("worker %s does not serve version 2 at the end of Bounds.Weights", w.ID)
				}
				if cordoned := sim.cordonedIn[test.unresponsive+i]; cordoned > test.loadTime+900*time.Millisecond {
					t.Errorf("worker %s was cordoned for %v, want at most the load time plus 900 ms", w.ID, cordoned)
				}
			}
			t.Logf("%+v: the last load ended after %v", test, slices.Max(sim.doneAt))
		})
	}
}

// Loads that take a fifth of Bounds.Weights do not raise the concurrency limit, because the last workers may
// load after proxies stop selecting workers with older weights. At most about a quarter of the workers load at
// the same time.
func TestSlowLoadsDontRaiseConcurrency(t *testing.T) {
	const (
		workers  = 18
		step     = 25 * time.Millisecond
		loadTime = 2600 * time.Millisecond
	)
	bounds := bounds()
	bounds.WeightsMs = 15000
	rollout, sim := NewRollout(bounds, nil), newLoadingWorkers(workers)
	notSelected := bounds.Weights(0.85) / step * step // from this time on, proxies do not select workers with older weights
	for now := time.Duration(0); now < bounds.Weights(1.2); now += step {
		actions := rollout.Step(sim.inputs(now))
		rollout.ConfirmCordoned(actions.Cordoned["reading"], now)
		for _, order := range actions.Orders {
			sim.doneAt[sim.index[order.Worker.ID]] = now + loadTime
			rollout.HandleOrderOutcome(order, backend.OutcomeStarted, now)
		}
		if loading := sim.countLoading(now); loading > workers/4+1 {
			t.Fatalf("%d of 18 workers load at the same time at %v, want at most 5", loading, now)
		}
		outdated := 0
		for _, w := range sim.workers {
			if w.Weights["daka"] == 1 {
				outdated++
			}
		}
		if now == notSelected && outdated > workers/3 {
			t.Errorf("%d of 18 workers have version 1 when proxies stop selecting it, want at most 6", outdated)
		}
		for _, w := range actions.Reports {
			sim.handleReport(rollout, w.ID, sim.report(sim.index[w.ID], now), true, now)
		}
	}
	for _, w := range sim.workers {
		if w.Weights["daka"] != 2 {
			t.Errorf("worker %s does not serve version 2 after 1.2 times Bounds.Weights", w.ID)
		}
	}
}
