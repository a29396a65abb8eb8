package controllers

import (
	"reflect"
	"testing"

	"pebbleloom/internal/fleet"
)

func worker(id string, version uint64) fleet.Worker {
	return fleet.Worker{ID: id, Service: "reading", Addr: "10.9.0." + id + ":80", Zone: "north", Slots: 8, Weights: map[string]uint64{"daka": version}}
}

func TestMergeReportsChanges(t *testing.T) {
	first, second := worker("1", 1), worker("2", 1)
	draining, moved, slots := first, first, first
	draining.Draining, moved.Addr, slots.Slots = true, "10.9.0.9:80", 9
	for _, test := range []struct {
		name     string
		list     []fleet.Worker
		complete bool
		changed  bool
		count    int
	}{
		{"same workers", []fleet.Worker{second, first}, true, false, 2},
		{"worker listed twice", []fleet.Worker{first, second, first}, true, false, 2},
		{"worker without an ID", []fleet.Worker{first, second, {}}, true, false, 2},
		{"worker is draining", []fleet.Worker{draining, second}, true, true, 2},
		{"worker has a new address", []fleet.Worker{moved, second}, true, true, 2},
		{"worker has more slots", []fleet.Worker{slots, second}, true, true, 2},
		{"worker has newer weights", []fleet.Worker{worker("1", 2), second}, true, true, 2},
		{"outdated list with older weights", []fleet.Worker{worker("1", 0), second}, true, false, 2},
		{"additional worker", []fleet.Worker{first, second, worker("3", 1)}, true, true, 3},
		{"worker missing from a complete read", []fleet.Worker{second}, true, true, 1},
		{"worker missing from an incomplete read", []fleet.Worker{second}, false, false, 2},
	} {
		list := NewWorkerList(fleet.WorkerList{Workers: []fleet.Worker{worker("1", 1), worker("2", 1)}})
		if got := list.Merge(test.list, test.complete); got != test.changed || len(list.Document().Workers) != test.count {
			t.Errorf("%s: changed = %v, want %v; %d workers, want %d", test.name, got, test.changed, len(list.Document().Workers), test.count)
		}
	}
}

func TestWorkerIsRemovedAfterTwoIncompleteReads(t *testing.T) {
	list := NewWorkerList(fleet.WorkerList{Workers: []fleet.Worker{worker("1", 1), worker("2", 1)}})
	if list.Merge([]fleet.Worker{worker("2", 1)}, false) {
		t.Error("worker was removed after one incomplete read without it")
	}
	if list.Merge([]fleet.Worker{worker("2", 1), worker("1", 1)}, false) {
		t.Error("a worker that is listed again after one missed read was reported as a change")
	}
	list.Merge([]fleet.Worker{worker("2", 1)}, false)
	if !list.Merge([]fleet.Worker{worker("2", 1)}, false) || len(list.Document().Workers) != 1 {
		t.Error("worker was not removed after two consecutive reads without it")
	}
}

// Regardless of the order of reports and reads of an outdated list, the recorded version of a worker never
// decreases, and documents returned earlier do not change.
func TestWeightsNeverDecrease(t *testing.T) {
	events := []func(*WorkerList){
		func(list *WorkerList) { list.SetWeights("1", "daka", 2) },
		func(list *WorkerList) { list.SetWeights("1", "daka", 3) },
		func(list *WorkerList) { list.Merge([]fleet.Worker{worker("1", 1)}, true) },
		func(list *WorkerList) { list.Merge([]fleet.Worker{worker("1", 2)}, true) },
		func(list *WorkerList) { list.SetWeights("2", "daka", 9) }, // unknown worker
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
				t.Fatalf("after events %v: document %+v, want one worker with version %d", done, document, highest)
			}
			if !reflect.DeepEqual(before, copied) {
				t.Fatalf("after events %v: a document returned earlier has changed", done)
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

func TestNewIncarnationHasItsOwnWeights(t *testing.T) {
	list := NewWorkerList(fleet.WorkerList{Workers: []fleet.Worker{worker("1", 5)}})
	successor := worker("1b", 4)
	successor.Addr = worker("1", 5).Addr
	list.Merge([]fleet.Worker{successor}, true)
	if document := list.Document(); len(document.Workers) != 1 || document.Workers[0].Weights["daka"] != 4 {
		t.Errorf("list after a restart under a new ID: %+v, want only the new worker with version 4", document)
	}
}
