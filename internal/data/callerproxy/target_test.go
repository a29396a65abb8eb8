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
func TestViewForTarget(t *testing.T) {
	old := &wire.Worker{Name: "old", Model: "lector", Weights: 4}
	both := &wire.Worker{Name: "both", Model: "lector", Weights: 4, Slots: 4, LoadedModels: []*wire.LoadedModel{
		{Model: "lector", Weights: 4, Adapters: map[string]uint64{"rare": 1}}, {Model: "lector-2", Weights: 2, Adapters: map[string]uint64{"rare-2": 7}}}}
	for name, test := range map[string]struct {
		w    *wire.Worker
		t    serviceconfig.Target
		want uint64 // version of the weights; 0: it can't serve the target
	}{
		"its one model":                   {old, serviceconfig.Target{Model: "lector"}, 4},
		"another model":                   {old, serviceconfig.Target{Model: "lector-2"}, 0},
		"an adapter it says nothing of":   {old, serviceconfig.Target{Model: "lector", Adapter: "rare", Build: 1}, 0},
		"the first of two":                {both, serviceconfig.Target{Model: "lector"}, 4},
		"the second of two":               {both, serviceconfig.Target{Model: "lector-2"}, 2},
		"an adapter on the first":         {both, serviceconfig.Target{Model: "lector", Adapter: "rare", Build: 1}, 4},
		"an adapter on the second":        {both, serviceconfig.Target{Model: "lector-2", Adapter: "rare-2", Build: 7}, 2},
		"another build of it":             {both, serviceconfig.Target{Model: "lector-2", Adapter: "rare-2", Build: 8}, 0},
		"an adapter on the other base":    {both, serviceconfig.Target{Model: "lector", Adapter: "rare-2", Build: 7}, 0},
		"no build at all":                 {both, serviceconfig.Target{Model: "lector", Adapter: "none"}, 0},
		"a worker that isn't known yet":   {&wire.Worker{}, serviceconfig.Target{Model: "lector"}, 0},
		"an adapter on an unknown worker": {&wire.Worker{}, serviceconfig.Target{Model: "lector", Adapter: "rare", Build: 1}, 0},
	} {
		got := uint64(0)
		if view := workerForTarget(test.w, test.t); view != nil {
			if got = view.Weights; view.Name != test.w.Name || view.Slots != test.w.Slots || test.w.Model != "" && view.Model != test.t.Model {
				t.Errorf("%s: %+v", name, view)
			}
		}
		if got != test.want {
			t.Errorf("%s: weights %d, want %d", name, got, test.want)
		}
	}
	if both.Weights != 4 || both.Model != "lector" {
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
		q := &caller.Ask{Model: "r", RequestID: string(rune(i + 32))}
		a, b := targetFor(snapshot, q), targetFor(snapshot, q)
		if a != b {
			t.Fatalf("%+v and %+v", a, b)
		}
		if a.Model == "b" {
			moved++
		}
	}
	if moved < 250 || moved > 350 {
		t.Errorf("%d of 1000 moved, 300 are due", moved)
	}
	seen := map[string]bool{}
	for _, x := range []serviceconfig.Target{{Model: "a"}, {Model: "b"}, {Model: "a", Adapter: "r", Build: 1}, {Model: "a", Adapter: "r", Build: 2}, {Model: "b", Adapter: "r", Build: 1}} {
		k := prefixChain(snapshot, x, "t", 1, []string{"p"})[0].Key.String()
		if seen[k] {
			t.Errorf("%+v has another's key", x)
		}
		seen[k] = true
	}
	if x := targetFor(snapshot, &caller.Ask{Model: "none"}); x.Model != "none" {
		t.Errorf("%+v", x)
	}
}
