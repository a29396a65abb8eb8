package selection

import (
	"testing"
	"time"
)

// However many workers fail, at least two thirds of them can still be selected, and so can the only worker of
// a service.
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
				t.Errorf("%d of %d workers failed: %d workers are not ejected, want at least two thirds and at least 1", failing, workers, len(left))
			}
			if failing > 0 && failing <= workers/3 && len(left) != workers-failing {
				t.Errorf("%d of %d workers failed: %d workers are ejected, want %d", failing, workers, workers-len(left), failing)
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
		if duration := worker.ejectedUntil - edge.now; duration <= last {
			t.Errorf("failure %d of a worker: ejected for %v, want longer than the previous ejection of %v", i+1, duration, last)
		} else {
			last = duration
		}
		edge.now = worker.ejectedUntil
		if ratio := worker.slowStartRatio(edge.now); ratio <= 0 || worker.slowStartRatio(edge.now+worker.ejectionTime/2) >= ratio || worker.slowStartRatio(edge.now+worker.ejectionTime) != 0 {
			t.Errorf("fraction of the slow start cost charged to a worker whose ejection of %v ended: %v at the end of the ejection, %v half the ejection time later, %v the whole ejection time later; want the first above 0, the second below the first, the third 0", worker.ejectionTime, ratio, worker.slowStartRatio(edge.now+worker.ejectionTime/2), worker.slowStartRatio(edge.now+worker.ejectionTime))
		}
	}
	for range 9 {
		edge.recordFailure(worker, edge.now)
	}
	if worker.ejectedUntil-edge.now > edge.bounds.Recovery(ejectionTuning.maxTimeRatio) {
		t.Errorf("worker ejected for %v after 13 failures, want at most %v", worker.ejectedUntil-edge.now, edge.bounds.Recovery(ejectionTuning.maxTimeRatio))
	}
	edge.now = worker.ejectedUntil + time.Minute
	for range 20 {
		edge.recordSuccess(worker, edge.now)
	}
	if worker.recentFailures != 0 || worker.failureRatio > 0.05 {
		t.Errorf("worker after 13 failures and 20 successes: %d recent failures and failure ratio %.2f, want 0 and at most 0.05", worker.recentFailures, worker.failureRatio)
	}
}

func TestOutcomesDecideWhetherAWorkerIsAvoided(t *testing.T) {
	for outcome, avoided := range map[Outcome]bool{Completed: false, NoFreeSlot: true, NotReady: true, Misdirected: true, Failed: true, ClientGone: false, TimedOut: true} {
		outcomeName := [...]string{Completed: "Completed", NoFreeSlot: "NoFreeSlot", NotReady: "NotReady", Misdirected: "Misdirected", Failed: "Failed", ClientGone: "ClientGone", TimedOut: "TimedOut"}[outcome]
		edge := newEdge(newFleet(6))
		request := edge.newRequest("p", 13000)
		choice := edge.mustSelect(t, request)
		edge.recordSent(request, choice, edge.now)
		edge.recordOutcome(request, choice, outcome, nil, 0, edge.now)
		if next := edge.mustSelect(t, edge.newRequest("p", 13000)); (next.Worker.ID != choice.Worker.ID) != avoided {
			t.Errorf("after an attempt with outcome %s at worker %s: selected worker %s for the next request; want the worker of the attempt avoided: %t", outcomeName, choice.Worker.ID, next.Worker.ID, avoided)
		}
		if len(edge.inFlight) != 0 || edge.layout.groups["llm"].candidates[edge.layout.groups["llm"].index[choice.Worker.ID]].stats.inFlight != 0 {
			t.Errorf("after the only attempt ended with outcome %s: %d attempts in flight in the table and %d at its worker, want 0 and 0", outcomeName, len(edge.inFlight), edge.layout.groups["llm"].candidates[edge.layout.groups["llm"].index[choice.Worker.ID]].stats.inFlight)
		}
		// Recording the outcome of the same attempt again must have no effect.
		edge.recordOutcome(request, choice, outcome, nil, 0, edge.now)
		if edge.layout.groups["llm"].candidates[edge.layout.groups["llm"].index[choice.Worker.ID]].stats.inFlight != 0 {
			t.Errorf("after outcome %s of the only attempt was recorded twice: %d attempts in flight at its worker, want 0", outcomeName, edge.layout.groups["llm"].candidates[edge.layout.groups["llm"].index[choice.Worker.ID]].stats.inFlight)
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
		t.Errorf("number of selections by worker: %v; want w2, which is 6 times slower, at most a third as often as w1", selected)
	}
}
