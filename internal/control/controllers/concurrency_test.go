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
		all, left int
		since     time.Duration
		want      int
	}{
		{1, 1, 0, 1}, {3, 3, 0, 1}, {18, 18, 0, 3}, {112, 112, 0, 22}, // in time
		{18, 18, -b.Weights(0.5), 6}, {18, 14, -b.Weights(0.2), 3}, {18, 2, -b.Weights(0.5), 3}, {112, 112, -b.Weights(0.6), 37}, // the bound is close
		{18, 1, -b.Weights(2), 3}, {2, 2, -b.Weights(2), 1},
	} {
		if got := rollout.concurrencyLimit(time.Minute, test.all, test.left, time.Minute+test.since, "daka"); got != test.want {
			t.Errorf("%+v: %d", test, got)
		}
	}
	if got := rollout.concurrencyLimit(0, 18, 18, -1, "daka"); got != 3 {
		t.Errorf("unknown since when: %d", got)
	}
}

// loadingWorkers are simulated workers that load the weights that they are ordered to.
type loadingWorkers struct {
	workers    []fleet.Worker
	index      map[string]int  // of each worker, by ID
	doneAt     []time.Duration // when each worker's load ends; zero: it wasn't ordered
	cordonedIn []time.Duration // how long each worker was cordoned
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

// inputs are a step's inputs while version 2 is named since the start.
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

// report responds with the state that the worker had at an instant.
func (l *loadingWorkers) report(i int, then time.Duration) backend.Report {
	switch {
	case l.doneAt[i] == 0:
		return backend.Report{Weights: map[string]uint64{"daka": 1}}
	case then < l.doneAt[i]:
		return backend.Report{Busy: true, Weights: map[string]uint64{"daka": 1}}
	}
	return backend.Report{Weights: map[string]uint64{"daka": 2}}
}

// handleReport passes a report to the rollout and lists the version that it shows.
func (l *loadingWorkers) handleReport(rollout *Rollout, id string, report backend.Report, ok bool, now time.Duration) {
	if _, version := rollout.HandleReport(id, report, ok, now); version > 0 {
		l.workers[l.index[id]] = worker(id, version)
	}
}

// Of many workers, some silent, the others are updated within the bound, never more at once than the
// limit allows, each cordoned for a short while.
func TestRolloutCompletesWithinBound(t *testing.T) {
	for _, test := range []struct {
		workers, silent int
		loadTime        time.Duration
	}{
		{1, 0, 1800 * time.Millisecond}, {4, 0, 1100 * time.Millisecond}, {18, 0, 1100 * time.Millisecond},
		{18, 2, 1100 * time.Millisecond}, {18, 0, 1800 * time.Millisecond}, {112, 5, 1800 * time.Millisecond},
	} {
		t.Run(fmt.Sprint(test), func(t *testing.T) {
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
						t.Fatalf("%s is ordered twice", order.Worker.ID)
					}
					if i < test.silent {
						rollout.HandleOrderOutcome(order, backend.OutcomeUnknown, now)
						continue
					}
					sim.doneAt[i] = now + 20*time.Millisecond + test.loadTime
					rollout.HandleOrderOutcome(order, backend.OutcomeStarted, now)
				}
				if loading := sim.countLoading(now); loading > max(1, test.workers/3) {
					t.Fatalf("%d at once at %v", loading, now)
				}
				for _, w := range actions.Reports {
					i := sim.index[w.ID]
					sim.handleReport(rollout, w.ID, sim.report(i, now-reportAge), i >= test.silent, now)
				}
				for _, id := range actions.Cordoned["reading"] {
					sim.cordonedIn[sim.index[id]] += step
				}
			}
			for i, w := range sim.workers[test.silent:] {
				if w.Weights["daka"] != 2 {
					t.Errorf("%s has old weights at the bound", w.ID)
				}
				if cordoned := sim.cordonedIn[test.silent+i]; cordoned > test.loadTime+900*time.Millisecond {
					t.Errorf("%s was out of service for %v", w.ID, cordoned)
				}
			}
			t.Logf("%+v: the last after %v", test, slices.Max(sim.doneAt))
		})
	}
}

// A load that takes a fifth of the bound doesn't raise the concurrency: the last workers may load while
// the older weights are no longer selected. Until then a quarter of the workers is cordoned at most.
func TestSlowLoadsDontRaiseConcurrency(t *testing.T) {
	const (
		workers  = 18
		step     = 25 * time.Millisecond
		loadTime = 2600 * time.Millisecond
	)
	bounds := bounds()
	bounds.WeightsMs = 15000
	rollout, sim := NewRollout(bounds, nil), newLoadingWorkers(workers)
	notSelected := bounds.Weights(0.85) / step * step // from when on the older weights aren't selected
	for now := time.Duration(0); now < bounds.Weights(1.2); now += step {
		actions := rollout.Step(sim.inputs(now))
		rollout.ConfirmCordoned(actions.Cordoned["reading"], now)
		for _, order := range actions.Orders {
			sim.doneAt[sim.index[order.Worker.ID]] = now + loadTime
			rollout.HandleOrderOutcome(order, backend.OutcomeStarted, now)
		}
		if loading := sim.countLoading(now); loading > workers/4+1 {
			t.Fatalf("%d load at %v", loading, now)
		}
		outdated := 0
		for _, w := range sim.workers {
			if w.Weights["daka"] == 1 {
				outdated++
			}
		}
		if now == notSelected && outdated > workers/3 {
			t.Errorf("%d have old weights when those are no longer selected", outdated)
		}
		for _, w := range actions.Reports {
			sim.handleReport(rollout, w.ID, sim.report(sim.index[w.ID], now), true, now)
		}
	}
	for _, w := range sim.workers {
		if w.Weights["daka"] != 2 {
			t.Errorf("%s has old weights", w.ID)
		}
	}
}
