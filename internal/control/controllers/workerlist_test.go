package controllers

import (
	"reflect"
	"testing"

	"pebbleloom/internal/fleet"
)

// worker returns a worker of the service reading that serves a version of the model daka.
func worker(id string, version uint64) fleet.Worker {
	return fleet.Worker{ID: id, Service: "reading", Addr: "10.9.0." + id + ":80", Zone: "north", Slots: 8, Weights: map[string]uint64{"daka": version}}
}

// Merge reports a change if a worker was added, removed or modified. A worker that the platform lists twice, without an
// ID or with older weights than recorded is no change.
func TestMergeReportsChanges(t *testing.T) {
	first, second := worker("1", 1), worker("2", 1)
	draining, moved, slots := first, first, first
	draining.Draining, moved.Addr, slots.Slots = true, "10.9.0.9:80", 9
	for _, test := range []struct {
		name     string
		list     []fleet.Worker // list read from the platform
		complete bool           // whether the platform's list was read in one page
		changed  bool           // whether Merge should report a change
		count    int            // wanted number of workers after the merge
	}{
		{"platform lists the same workers in another order", []fleet.Worker{second, first}, true, false, 2},
		{"platform lists a worker twice", []fleet.Worker{first, second, first}, true, false, 2},
		{"platform lists a worker without an ID", []fleet.Worker{first, second, {}}, true, false, 2},
		{"listed worker has begun to drain", []fleet.Worker{draining, second}, true, true, 2},
		{"listed worker has a new address", []fleet.Worker{moved, second}, true, true, 2},
		{"listed worker has more slots", []fleet.Worker{slots, second}, true, true, 2},
		{"listed worker has newer weights", []fleet.Worker{worker("1", 2), second}, true, true, 2},
		{"platform's list is outdated and shows older weights", []fleet.Worker{worker("1", 0), second}, true, false, 2},
		{"platform lists an additional worker", []fleet.Worker{first, second, worker("3", 1)}, true, true, 3},
		{"worker is missing from a complete read of the platform's list", []fleet.Worker{second}, true, true, 1},
		{"worker is missing from an incomplete read of the platform's list", []fleet.Worker{second}, false, false, 2},
	} {
		list := NewWorkerList(fleet.WorkerList{Workers: []fleet.Worker{worker("1", 1), worker("2", 1)}})
		if got := list.Merge(test.list, test.complete); got != test.changed || len(list.Document().Workers) != test.count {
			t.Errorf("Merge when %q: changed = %v, want %v; %d workers after it, want %d", test.name, got, test.changed, len(list.Document().Workers), test.count)
		}
	}
}

func TestWorkerIsRemovedAfterTwoIncompleteReads(t *testing.T) {
	list := NewWorkerList(fleet.WorkerList{Workers: []fleet.Worker{worker("1", 1), worker("2", 1)}})
	if list.Merge([]fleet.Worker{worker("2", 1)}, false) {
		t.Error("Merge reported a change for a worker missing from one incomplete read of the platform's list, want it kept")
	}
	if list.Merge([]fleet.Worker{worker("2", 1), worker("1", 1)}, false) {
		t.Error("Merge reported a change for a worker listed again after it was missing from one read, want none")
	}
	list.Merge([]fleet.Worker{worker("2", 1)}, false)
	if !list.Merge([]fleet.Worker{worker("2", 1)}, false) || len(list.Document().Workers) != 1 {
		t.Errorf("after two consecutive incomplete reads without worker 1: workers %+v, want Merge to report a change and only worker 2", list.Document().Workers)
	}
}

// In whatever order reports of a worker and reads of an outdated platform list arrive, the version recorded for
// the worker never decreases, and documents that were returned earlier do not change.
func TestWeightsNeverDecrease(t *testing.T) {
	events := []func(*WorkerList){
		func(list *WorkerList) { list.SetWeights("1", "daka", 2) },
		func(list *WorkerList) { list.SetWeights("1", "daka", 3) },
		func(list *WorkerList) { list.Merge([]fleet.Worker{worker("1", 1)}, true) },
		func(list *WorkerList) { list.Merge([]fleet.Worker{worker("1", 2)}, true) },
		func(list *WorkerList) { list.SetWeights("2", "daka", 9) }, // worker 2 is not in the list
	}
	var run func(done []int)
	run = func(done []int) {
		list := NewWorkerList(fleet.WorkerList{Workers: []fleet.Worker{worker("1", 1)}})
		highest := uint64(1)
		for _, i := range done {
			before := list.Document()
			copied := NewWorkerList(before).Document()
			events[i](list)
			highest = max(highest, []uint64{2, 3, 1, 2, 1}[i])
			if document := list.Document(); len(document.Workers) != 1 || document.Workers[0].Weights["daka"] != highest {
				t.Fatalf("worker list after the reports and list reads numbered %v in the test's list: %+v, want one worker with version %d", done, document, highest)
			}
			if !reflect.DeepEqual(before, copied) {
				t.Fatalf("after the reports and list reads numbered %v in the test's list: the worker list returned before the last event is now %+v, want it unchanged: %+v", done, before, copied)
			}
		}
		if len(done) == 4 {
			return
		}
		for i := range events {
			run(append(done[:len(done):len(done)], i))
		}
	}
	run(nil)
}

// A worker that restarts gets a new ID, under which its recorded version starts anew.
func TestNewIncarnationHasItsOwnWeights(t *testing.T) {
	list := NewWorkerList(fleet.WorkerList{Workers: []fleet.Worker{worker("1", 5)}})
	successor := worker("1b", 4)
	successor.Addr = worker("1", 5).Addr
	list.Merge([]fleet.Worker{successor}, true)
	if document := list.Document(); len(document.Workers) != 1 || document.Workers[0].Weights["daka"] != 4 {
		t.Errorf("worker list after worker 1 restarted as 1b with older weights: %+v, want only worker 1b with version 4", document)
	}
}
