package callerproxy

import (
	"testing"

	"pebbleloom/api/caller"
	"pebbleloom/internal/control/serviceconfig"
	"pebbleloom/internal/data/updatestream"
	"pebbleloom/internal/wire"
)

// A worker serves a target only if it has loaded the target's base model and, if the target has an adapter, that build
// of the adapter. A worker that does not report its loaded models serves no adapters.
func TestWorkerForTarget(t *testing.T) {
	singleModel := &wire.Worker{Name: "single-model", Model: "lector", Weights: 4}
	twoModels := &wire.Worker{Name: "two-models", Model: "lector", Weights: 4, Slots: 4, LoadedModels: []*wire.LoadedModel{
		{Model: "lector", Weights: 4, Adapters: map[string]uint64{"rare": 1}}, {Model: "lector-2", Weights: 2, Adapters: map[string]uint64{"rare-2": 7}}}}
	for name, test := range map[string]struct {
		worker *wire.Worker
		target serviceconfig.Target
		want   uint64 // expected version of the weights; 0 if the worker cannot serve the target
	}{
		"the only loaded model":                             {singleModel, serviceconfig.Target{Model: "lector"}, 4},
		"model that is not loaded":                          {singleModel, serviceconfig.Target{Model: "lector-2"}, 0},
		"adapter on a worker that reports no loaded models": {singleModel, serviceconfig.Target{Model: "lector", Adapter: "rare", Build: 1}, 0},
		"the first of two loaded models":                    {twoModels, serviceconfig.Target{Model: "lector"}, 4},
		"the second of two loaded models":                   {twoModels, serviceconfig.Target{Model: "lector-2"}, 2},
		"adapter on the first loaded model":                 {twoModels, serviceconfig.Target{Model: "lector", Adapter: "rare", Build: 1}, 4},
		"adapter on the second loaded model":                {twoModels, serviceconfig.Target{Model: "lector-2", Adapter: "rare-2", Build: 7}, 2},
		"adapter build that is not loaded":                  {twoModels, serviceconfig.Target{Model: "lector-2", Adapter: "rare-2", Build: 8}, 0},
		"adapter with the wrong base model":                 {twoModels, serviceconfig.Target{Model: "lector", Adapter: "rare-2", Build: 7}, 0},
		"adapter without a build":                           {twoModels, serviceconfig.Target{Model: "lector", Adapter: "none"}, 0},
		"model on a worker that has reported nothing yet":   {&wire.Worker{}, serviceconfig.Target{Model: "lector"}, 0},
		"adapter on a worker that has reported nothing yet": {&wire.Worker{}, serviceconfig.Target{Model: "lector", Adapter: "rare", Build: 1}, 0},
	} {
		got := uint64(0)
		if view := workerForTarget(test.worker, test.target); view != nil {
			if got = view.Weights; view.Name != test.worker.Name || view.Slots != test.worker.Slots || test.worker.Model != "" && view.Model != test.target.Model {
				t.Errorf("target: %s: got worker %+v, want its original name and slots, and the target's model", name, view)
			}
		}
		if got != test.want {
			t.Errorf("target: %s: got weights version %d, want %d (0: the worker cannot serve the target)", name, got, test.want)
		}
	}
	if twoModels.Weights != 4 || twoModels.Model != "lector" {
		t.Error("workerForTarget changed the worker that was passed to it")
	}
}

// Requests of a route that is being moved are split by the moved percentage, and the same request ID always gets the same
// target. Prefix keys of different targets differ, so that they never share cache entries.
func TestRequestsAreSplitByShare(t *testing.T) {
	snapshot := &updatestream.Snapshot{Config: (&serviceconfig.Config{Models: map[string]serviceconfig.Model{"a": {Weights: 1}, "b": {Weights: 1}},
		Adapters: map[string]serviceconfig.Adapter{"r": {BaseModel: "a", Build: 1}, "r2": {BaseModel: "b", Build: 1}},
		Routes:   map[string]serviceconfig.Route{"r": {Service: "s", MoveTo: "r2", MovedPercent: 30}}}).BuildIndex()}
	moved := 0
	for i := range 1000 {
		body := &caller.Ask{Model: "r", RequestID: string(rune(i + 32))}
		first, second := targetFor(snapshot, body), targetFor(snapshot, body)
		if first != second {
			t.Fatalf("the same request got two different targets: %+v and %+v", first, second)
		}
		if first.Model == "b" {
			moved++
		}
	}
	if moved < 250 || moved > 350 {
		t.Errorf("%d of 1000 requests were moved to the new adapter, want 250 to 350", moved)
	}
	seenKeys := map[string]bool{}
	for _, target := range []serviceconfig.Target{{Model: "a"}, {Model: "b"}, {Model: "a", Adapter: "r", Build: 1}, {Model: "a", Adapter: "r", Build: 2}, {Model: "b", Adapter: "r", Build: 1}} {
		key := prefixChain(snapshot, target, "t", 1, []string{"p"})[0].Key.String()
		if seenKeys[key] {
			t.Errorf("prefix key of target %+v is also the key of another target", target)
		}
		seenKeys[key] = true
	}
	if target := targetFor(snapshot, &caller.Ask{Model: "none"}); target.Model != "none" {
		t.Errorf("request for model \"none\", which has no route: target %+v, want that model", target)
	}
}
