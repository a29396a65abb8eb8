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
		workers, waiting int           // numbers of a service's workers: all of them, and those that have yet to load
		spanStart        time.Duration // start of the rollout's time span relative to now; not positive
		want             int           // wanted limit on concurrent loads
	}{
		{1, 1, 0, 1}, {3, 3, 0, 1}, {18, 18, 0, 3}, {112, 112, 0, 22}, // cases in which the rollout's time span begins now
		{18, 18, -b.Weights(0.5), 6}, {18, 14, -b.Weights(0.2), 3}, {18, 2, -b.Weights(0.5), 3}, {112, 112, -b.Weights(0.6), 37}, // cases in which part of the rollout's time span has passed
		{18, 1, -b.Weights(2), 3}, {2, 2, -b.Weights(2), 1},
	} {
		if got := rollout.concurrencyLimit(time.Minute, test.workers, test.waiting, time.Minute+test.spanStart, "daka"); got != test.want {
			t.Errorf("concurrencyLimit for %d workers, of which %d have yet to load, with a time span that started %v before now: got %d, want %d", test.workers, test.waiting, -test.spanStart, got, test.want)
		}
	}
	if got := rollout.concurrencyLimit(0, 18, 18, -1, "daka"); got != 3 {
		t.Errorf("concurrencyLimit for 18 workers when the start of the rollout's time span is unknown: got %d, want 3", got)
	}
}

// loadingWorkers simulates the workers of one service, which accept orders to load version 2 of the model daka, and
// records when each load ends.
type loadingWorkers struct {
	workers     []fleet.Worker
	index       map[string]int  // index of each worker in the fields that are slices, by ID
	doneAt      []time.Duration // time at which each worker's load ends; zero if the worker has not accepted an order
	cordonedFor []time.Duration // total time for which each worker was cordoned
}

// newLoadingWorkers returns n workers that serve version 1.
func newLoadingWorkers(n int) *loadingWorkers {
	l := &loadingWorkers{
		workers:     make([]fleet.Worker, n),
		index:       map[string]int{},
		doneAt:      make([]time.Duration, n),
		cordonedFor: make([]time.Duration, n),
	}
	for i := range l.workers {
		l.workers[i] = worker(fmt.Sprintf("%03d", i), 1)
		l.index[l.workers[i].ID] = i
	}
	return l
}

// inputs returns the inputs of a rollout step at the given time, where version 2 became the target at time zero.
func (l *loadingWorkers) inputs(now time.Duration) RolloutInputs {
	return RolloutInputs{Now: now, Workers: l.workers, TargetVersions: map[string]uint64{"daka": 2},
		RolloutStart: map[string]time.Duration{"daka": 0}, UpdatedServices: map[string]bool{"reading": true}}
}

// countLoading returns the number of workers whose load has not ended at the given time.
func (l *loadingWorkers) countLoading(now time.Duration) int {
	loading := 0
	for _, doneAt := range l.doneAt {
		if doneAt > now {
			loading++
		}
	}
	return loading
}

// report returns a report that shows the state of the worker with index i at the given time.
func (l *loadingWorkers) report(i int, then time.Duration) backend.Report {
	switch {
	case l.doneAt[i] == 0:
		return backend.Report{Weights: map[string]uint64{"daka": 1}}
	case then < l.doneAt[i]:
		return backend.Report{Busy: true, Weights: map[string]uint64{"daka": 1}}
	}
	return backend.Report{Weights: map[string]uint64{"daka": 2}}
}

// handleReport passes a worker's report to the rollout and, if the rollout learns a new version from it, updates the
// worker list.
func (l *loadingWorkers) handleReport(rollout *Rollout, id string, report backend.Report, ok bool, now time.Duration) {
	if _, version := rollout.HandleReport(id, report, ok, now); version > 0 {
		l.workers[l.index[id]] = worker(id, version)
	}
}

// All workers that respond are updated within Bounds.Weights, even if some workers do not respond. At most a third
// of the workers load at the same time, and each one is cordoned for at most 900 ms more than it loads.
func TestRolloutCompletesWithinBound(t *testing.T) {
	for _, test := range []struct {
		workers, unresponsive int           // numbers of workers: all of them, and those that respond to no call
		loadTime              time.Duration // duration of each load
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
						t.Fatalf("worker %s was ordered to load version 2 a second time, want one order", order.Worker.ID)
					}
					if i < test.unresponsive {
						rollout.HandleOrderOutcome(order, backend.OutcomeUnknown, now)
						continue
					}
					sim.doneAt[i] = now + 20*time.Millisecond + test.loadTime
					rollout.HandleOrderOutcome(order, backend.OutcomeStarted, now)
				}
				if loading := sim.countLoading(now); loading > max(1, test.workers/3) {
					t.Fatalf("%d of %d workers load weights at the same time, %v after version 2 became the target; want at most a third of them (at least 1)", loading, test.workers, now)
				}
				for _, w := range actions.Reports {
					i := sim.index[w.ID]
					sim.handleReport(rollout, w.ID, sim.report(i, now-reportAge), i >= test.unresponsive, now)
				}
				for _, id := range actions.Cordoned["reading"] {
					sim.cordonedFor[sim.index[id]] += step
				}
			}
			for i, w := range sim.workers[test.unresponsive:] {
				if w.Weights["daka"] != 2 {
					t.Errorf("worker %s serves version %d after Bounds.Weights, the time bound of a rollout to version 2; want version 2", w.ID, w.Weights["daka"])
				}
				if cordoned := sim.cordonedFor[test.unresponsive+i]; cordoned > test.loadTime+900*time.Millisecond {
					t.Errorf("worker %s was cordoned for %v, want at most the load time of %v plus 900 ms", w.ID, cordoned, test.loadTime)
				}
			}
			t.Logf("rollout to workers with the parameters %+v: the last load ended %v after version 2 became the target", test, slices.Max(sim.doneAt))
		})
	}
}

// Loads that take 2.6 s of a Bounds.Weights of 15 s raise the limit on concurrent loads only a little, because the last
// workers may load after proxies have stopped selecting workers with older weights. At most 5 of 18 workers load at the
// same time.
func TestSlowLoadsDontRaiseConcurrency(t *testing.T) {
	const (
		workers  = 18
		step     = 25 * time.Millisecond
		loadTime = 2600 * time.Millisecond
	)
	bounds := bounds()
	bounds.WeightsMs = 15000
	rollout, sim := NewRollout(bounds, nil), newLoadingWorkers(workers)
	notSelected := bounds.Weights(0.85) / step * step // time from which proxies no longer select workers with version 1
	for now := time.Duration(0); now < bounds.Weights(1.2); now += step {
		actions := rollout.Step(sim.inputs(now))
		rollout.ConfirmCordoned(actions.Cordoned["reading"], now)
		for _, order := range actions.Orders {
			sim.doneAt[sim.index[order.Worker.ID]] = now + loadTime
			rollout.HandleOrderOutcome(order, backend.OutcomeStarted, now)
		}
		if loading := sim.countLoading(now); loading > workers/4+1 {
			t.Fatalf("%d of 18 workers load weights at the same time, %v after version 2 became the target; want at most 5", loading, now)
		}
		outdated := 0
		for _, w := range sim.workers {
			if w.Weights["daka"] == 1 {
				outdated++
			}
		}
		if now == notSelected && outdated > workers/3 {
			t.Errorf("%d of 18 workers still serve version 1 when proxies stop selecting workers with it, want at most 6", outdated)
		}
		for _, w := range actions.Reports {
			sim.handleReport(rollout, w.ID, sim.report(sim.index[w.ID], now), true, now)
		}
	}
	for _, w := range sim.workers {
		if w.Weights["daka"] != 2 {
			t.Errorf("worker %s serves version %d after 1.2 times Bounds.Weights, the time bound of a rollout to version 2; want version 2", w.ID, w.Weights["daka"])
		}
	}
}
