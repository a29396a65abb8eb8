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
		left     int
	}{
		{"the same", []fleet.Worker{second, first}, true, false, 2},
		{"twice on the list", []fleet.Worker{first, second, first}, true, false, 2},
		{"no name", []fleet.Worker{first, second, {}}, true, false, 2},
		{"one drains", []fleet.Worker{draining, second}, true, true, 2},
		{"one has moved", []fleet.Worker{moved, second}, true, true, 2},
		{"more slots", []fleet.Worker{slots, second}, true, true, 2},
		{"newer weights", []fleet.Worker{worker("1", 2), second}, true, true, 2},
		{"older weights: the list lags", []fleet.Worker{worker("1", 0), second}, true, false, 2},
		{"one is new", []fleet.Worker{first, second, worker("3", 1)}, true, true, 3},
		{"one is removed", []fleet.Worker{second}, true, true, 1},
		{"one may have slipped between two pages", []fleet.Worker{second}, false, false, 2},
	} {
		list := NewWorkerList(fleet.WorkerList{Workers: []fleet.Worker{worker("1", 1), worker("2", 1)}})
		if got := list.Merge(test.list, test.complete); got != test.changed || len(list.Document().Workers) != test.left {
			t.Errorf("%s: changed %v, %d left", test.name, got, len(list.Document().Workers))
		}
	}
}

func TestWorkerIsRemovedAfterTwoIncompleteReads(t *testing.T) {
	list := NewWorkerList(fleet.WorkerList{Workers: []fleet.Worker{worker("1", 1), worker("2", 1)}})
	if list.Merge([]fleet.Worker{worker("2", 1)}, false) {
		t.Error("removed after the first read")
	}
	if list.Merge([]fleet.Worker{worker("2", 1), worker("1", 1)}, false) {
		t.Error("listed again, and reported as a change")
	}
	list.Merge([]fleet.Worker{worker("2", 1)}, false)
	if !list.Merge([]fleet.Worker{worker("2", 1)}, false) || len(list.Document().Workers) != 1 {
		t.Error("not removed after the second read in a row")
	}
}

// In whatever order reports and reads of a lagging list arrive, a version never decreases, and documents
// that were handed out don't change.
func TestWeightsNeverDecrease(t *testing.T) {
	events := []func(*WorkerList){
		func(list *WorkerList) { list.SetWeights("1", "daka", 2) },
		func(list *WorkerList) { list.SetWeights("1", "daka", 3) },
		func(list *WorkerList) { list.Merge([]fleet.Worker{worker("1", 1)}, true) },
		func(list *WorkerList) { list.Merge([]fleet.Worker{worker("1", 2)}, true) },
		func(list *WorkerList) { list.SetWeights("2", "daka", 9) }, // unknown
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
				t.Fatalf("order %v: %+v, want %d", done, document, highest)
			}
			if !reflect.DeepEqual(before, copied) {
				t.Fatalf("order %v: a document that was handed out has changed", done)
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
		t.Errorf("%+v", document)
	}
}
