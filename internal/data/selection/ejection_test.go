package selection

import (
	"testing"
	"time"
)

// However many workers fail, two thirds stay selectable, and a single one always does.
func TestEjectionKeepsTwoThirds(t *testing.T) {
	for _, workers := range []int{1, 2, 3, 7, 18} {
		for failing := range workers + 1 {
			edge := newEdge(newFleet(workers))
			group := edge.layoutFor(edge.snapshot).groups["llm"]
			var all []int
			for i := range workers {
				all = append(all, i)
				if i < failing {
					for range i%3 + 1 {
						edge.recordFailure(group.candidates[i].stats, edge.now)
					}
				}
			}
			left := withoutEjected(group, all, edge.now)
			if len(left) == 0 || workers-len(left) > workers/3 {
				t.Errorf("%d of %d failed: %d are left", failing, workers, len(left))
			}
			if failing > 0 && failing <= workers/3 && len(left) != workers-failing {
				t.Errorf("%d of %d failed, and %d are ejected", failing, workers, workers-len(left))
			}
		}
	}
}

func TestEjectionTimeGrowsWithFailures(t *testing.T) {
	edge := newEdge(newFleet(9))
	worker := edge.layoutFor(edge.snapshot).groups["llm"].candidates[0].stats
	last := time.Duration(0)
	for i := range 4 {
		edge.recordFailure(worker, edge.now)
		if d := worker.ejectedUntil - edge.now; d <= last {
			t.Errorf("failure %d: ejected for %v after %v", i, d, last)
		} else {
			last = d
		}
		edge.now = worker.ejectedUntil
		if b := worker.slowStartRatio(edge.now); b <= 0 || worker.slowStartRatio(edge.now+worker.ejectionTime/2) >= b || worker.slowStartRatio(edge.now+worker.ejectionTime) != 0 {
			t.Error("there is no slow start")
		}
	}
	for range 9 {
		edge.recordFailure(worker, edge.now)
	}
	if worker.ejectedUntil-edge.now > edge.bounds.Heal(ejectionTuning.maxTimeRatio) {
		t.Errorf("ejected for %v", worker.ejectedUntil-edge.now)
	}
	edge.now = worker.ejectedUntil + time.Minute
	for range 20 {
		edge.recordSuccess(worker, edge.now)
	}
	if worker.recentFailures != 0 || worker.failureRatio > 0.05 {
		t.Errorf("%d failures, a ratio of %.2f after twenty successes", worker.recentFailures, worker.failureRatio)
	}
}

func TestOutcomesDecideWhetherAWorkerIsAvoided(t *testing.T) {
	for outcome, avoided := range map[Outcome]bool{Completed: false, NoFreeSlot: true, NotReady: true, Misdirected: true, Failed: true, ClientGone: false, TimedOut: true} {
		edge := newEdge(newFleet(6))
		request := edge.newRequest("p", 13000)
		choice := edge.mustSelect(t, request)
		edge.recordSent(request, choice, edge.now)
		edge.recordOutcome(request, choice, outcome, nil, 0, edge.now)
		if next := edge.mustSelect(t, edge.newRequest("p", 13000)); (next.Worker.ID != choice.Worker.ID) != avoided {
			t.Errorf("outcome %d: then %s after %s", outcome, next.Worker.ID, choice.Worker.ID)
		}
		if len(edge.inFlight) != 0 || edge.layout.groups["llm"].candidates[edge.layout.groups["llm"].index[choice.Worker.ID]].stats.inFlight != 0 {
			t.Errorf("outcome %d leaves an attempt in flight", outcome)
		}
		edge.recordOutcome(request, choice, outcome, nil, 0, edge.now) // recorded twice
		if edge.layout.groups["llm"].candidates[edge.layout.groups["llm"].index[choice.Worker.ID]].stats.inFlight != 0 {
			t.Errorf("outcome %d counts twice", outcome)
		}
	}
}

func TestSlowWorkersAreSelectedLess(t *testing.T) {
	edge := newEdge(newFleet(4))
	selected := map[string]int{}
	for range 400 {
		request := edge.newRequest("", 0)
		choice := edge.mustSelect(t, request)
		selected[choice.Worker.ID]++
		first := 40 * time.Millisecond
		if choice.Worker.ID == "w2" {
			first *= 6
		}
		edge.serve(request, choice, first)
	}
	if selected["w2"]*3 > selected["w1"] {
		t.Errorf("selected: %v", selected)
	}
}
