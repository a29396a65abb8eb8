package callerproxy

import (
	"testing"

	"pebbleloom/api/caller"
	"pebbleloom/internal/control/serviceconfig"
	"pebbleloom/internal/data/updatestream"
	"pebbleloom/internal/wire"
)

// A worker gets a request only if it has loaded what answers it: the base model, and that build of the adapter.
// One that reports no adapters gets none of their requests.
func TestWorkerForTarget(t *testing.T) {
	singleModel := &wire.Worker{Name: "old", Model: "lector", Weights: 4}
	twoModels := &wire.Worker{Name: "both", Model: "lector", Weights: 4, Slots: 4, LoadedModels: []*wire.LoadedModel{
		{Model: "lector", Weights: 4, Adapters: map[string]uint64{"rare": 1}}, {Model: "lector-2", Weights: 2, Adapters: map[string]uint64{"rare-2": 7}}}}
	for name, test := range map[string]struct {
		worker *wire.Worker
		target serviceconfig.Target
		want   uint64 // version of the weights; 0: it can't serve the target
	}{
		"its one model":                   {singleModel, serviceconfig.Target{Model: "lector"}, 4},
		"another model":                   {singleModel, serviceconfig.Target{Model: "lector-2"}, 0},
		"an adapter it says nothing of":   {singleModel, serviceconfig.Target{Model: "lector", Adapter: "rare", Build: 1}, 0},
		"the first of two":                {twoModels, serviceconfig.Target{Model: "lector"}, 4},
		"the second of two":               {twoModels, serviceconfig.Target{Model: "lector-2"}, 2},
		"an adapter on the first":         {twoModels, serviceconfig.Target{Model: "lector", Adapter: "rare", Build: 1}, 4},
		"an adapter on the second":        {twoModels, serviceconfig.Target{Model: "lector-2", Adapter: "rare-2", Build: 7}, 2},
		"another build of it":             {twoModels, serviceconfig.Target{Model: "lector-2", Adapter: "rare-2", Build: 8}, 0},
		"an adapter on the other base":    {twoModels, serviceconfig.Target{Model: "lector", Adapter: "rare-2", Build: 7}, 0},
		"no build at all":                 {twoModels, serviceconfig.Target{Model: "lector", Adapter: "none"}, 0},
		"a worker that isn't known yet":   {&wire.Worker{}, serviceconfig.Target{Model: "lector"}, 0},
		"an adapter on an unknown worker": {&wire.Worker{}, serviceconfig.Target{Model: "lector", Adapter: "rare", Build: 1}, 0},
	} {
		got := uint64(0)
		if view := workerForTarget(test.worker, test.target); view != nil {
			if got = view.Weights; view.Name != test.worker.Name || view.Slots != test.worker.Slots || test.worker.Model != "" && view.Model != test.target.Model {
				t.Errorf("%s: %+v", name, view)
			}
		}
		if got != test.want {
			t.Errorf("%s: weights %d, want %d", name, got, test.want)
		}
	}
	if twoModels.Weights != 4 || twoModels.Model != "lector" {
		t.Error("a worker that others share was changed")
	}
}

// A route's requests are split by share, each ID always the same way, and the keys of different weights are
// different.
func TestRequestsAreSplitByShare(t *testing.T) {
	snapshot := &updatestream.Snapshot{Config: (&serviceconfig.Config{Models: map[string]serviceconfig.Model{"a": {Weights: 1}, "b": {Weights: 1}},
		Adapters: map[string]serviceconfig.Adapter{"r": {BaseModel: "a", Build: 1}, "r2": {BaseModel: "b", Build: 1}},
		Routes:   map[string]serviceconfig.Route{"r": {Service: "s", MoveTo: "r2", MovedPercent: 30}}}).BuildIndex()}
	moved := 0
	for i := range 1000 {
		body := &caller.Ask{Model: "r", RequestID: string(rune(i + 32))}
		first, second := targetFor(snapshot, body), targetFor(snapshot, body)
		if first != second {
			t.Fatalf("%+v and %+v", first, second)
		}
		if first.Model == "b" {
			moved++
		}
	}
	if moved < 250 || moved > 350 {
		t.Errorf("%d of 1000 moved, 300 are due", moved)
	}
	seenKeys := map[string]bool{}
	for _, target := range []serviceconfig.Target{{Model: "a"}, {Model: "b"}, {Model: "a", Adapter: "r", Build: 1}, {Model: "a", Adapter: "r", Build: 2}, {Model: "b", Adapter: "r", Build: 1}} {
		key := prefixChain(snapshot, target, "t", 1, []string{"p"})[0].Key.String()
		if seenKeys[key] {
			t.Errorf("%+v has another's key", target)
		}
		seenKeys[key] = true
	}
	if target := targetFor(snapshot, &caller.Ask{Model: "none"}); target.Model != "none" {
		t.Errorf("%+v", target)
	}
}
