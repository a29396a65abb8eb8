package controllers

import (
	"reflect"
	"testing"

	"pebbleloom/internal/fleet"
)

func worker(id string, version uint64) fleet.Worker {
	return fleet.Worker{ID: id, Service: "reading", Addr: "10.9.0." + id + ":80", Zone: "north", Slots: 8, Weights: map[string]uint64{"daka": version}}
}

func TestWhatChangesTheTable(t *testing.T) {
	a, b := worker("1", 1), worker("2", 1)
	drains, moved, slots := a, a, a
	drains.Draining, moved.Addr, slots.Slots = true, "10.9.0.9:80", 9
	for _, c := range []struct {
		name    string
		list    []fleet.Worker
		sure    bool
		changed bool
		left    int
	}{
		{"the same", []fleet.Worker{b, a}, true, false, 2},
		{"twice on the list", []fleet.Worker{a, b, a}, true, false, 2},
		{"no name", []fleet.Worker{a, b, {}}, true, false, 2},
		{"one leaves", []fleet.Worker{drains, b}, true, true, 2},
		{"one has moved", []fleet.Worker{moved, b}, true, true, 2},
		{"more places", []fleet.Worker{slots, b}, true, true, 2},
		{"newer weights", []fleet.Worker{worker("1", 2), b}, true, true, 2},
		{"older weights: the list lags", []fleet.Worker{worker("1", 0), b}, true, false, 2},
		{"one is new", []fleet.Worker{a, b, worker("3", 1)}, true, true, 3},
		{"one is gone", []fleet.Worker{b}, true, true, 1},
		{"one may have slipped between two pages", []fleet.Worker{b}, false, false, 2},
	} {
		x := NewWorkerList(fleet.WorkerList{Workers: []fleet.Worker{worker("1", 1), worker("2", 1)}})
		if got := x.Merge(c.list, c.sure); got != c.changed || len(x.Document().Workers) != c.left {
			t.Errorf("%s: changed %v, %d left", c.name, got, len(x.Document().Workers))
		}
	}
}

func TestGoneAfterTwoReadingsOfManyPages(t *testing.T) {
	x := NewWorkerList(fleet.WorkerList{Workers: []fleet.Worker{worker("1", 1), worker("2", 1)}})
	if x.Merge([]fleet.Worker{worker("2", 1)}, false) {
		t.Error("gone at the first")
	}
	if x.Merge([]fleet.Worker{worker("2", 1), worker("1", 1)}, false) {
		t.Error("back, and that is news")
	}
	x.Merge([]fleet.Worker{worker("2", 1)}, false)
	if !x.Merge([]fleet.Worker{worker("2", 1)}, false) || len(x.Document().Workers) != 1 {
		t.Error("not gone at the second in a row")
	}
}

// Whatever order reports and readings of a list that lags come in, a version never goes back,
// and what was handed out doesn't change.
func TestWeightsNeverGoBack(t *testing.T) {
	events := []func(*WorkerList){
		func(x *WorkerList) { x.SetWeights("1", "daka", 2) },
		func(x *WorkerList) { x.SetWeights("1", "daka", 3) },
		func(x *WorkerList) { x.Merge([]fleet.Worker{worker("1", 1)}, true) },
		func(x *WorkerList) { x.Merge([]fleet.Worker{worker("1", 2)}, true) },
		func(x *WorkerList) { x.SetWeights("2", "daka", 9) }, // not there
	}
	var run func(done []int)
	run = func(done []int) {
		x := NewWorkerList(fleet.WorkerList{Workers: []fleet.Worker{worker("1", 1)}})
		top := uint64(1)
		for _, i := range done {
			before := x.Document()
			was := NewWorkerList(before).Document()
			events[i](x)
			top = max(top, []uint64{2, 3, 1, 2, 1}[i])
			if d := x.Document(); len(d.Workers) != 1 || d.Workers[0].Weights["daka"] != top {
				t.Fatalf("order %v: %+v, want %d", done, d, top)
			}
			if !reflect.DeepEqual(before, was) {
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
	x := NewWorkerList(fleet.WorkerList{Workers: []fleet.Worker{worker("1", 5)}})
	y := worker("1b", 4)
	y.Addr = worker("1", 5).Addr
	x.Merge([]fleet.Worker{y}, true)
	if d := x.Document(); len(d.Workers) != 1 || d.Workers[0].Weights["daka"] != 4 {
		t.Errorf("%+v", d)
	}
}
