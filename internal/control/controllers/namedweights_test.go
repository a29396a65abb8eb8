package controllers

import (
	"testing"
	"time"

	"pebbleloom/internal/fleet"
)

// The rollout is due since the oldest naming whose version a worker lacks.
func TestRolloutIsDueSinceOldestMissingNaming(t *testing.T) {
	snapshot := func(version uint64, atSeconds int) *fleet.Snapshot {
		return &fleet.Snapshot{NamedVersions: map[string]uint64{"daka": version}, NamedAt: map[string]time.Duration{"daka": time.Duration(atSeconds) * time.Second}}
	}
	draining := worker("3", 1)
	draining.Draining = true
	weights := newNamedWeights()
	for _, test := range []struct {
		name          string
		snapshot      *fleet.Snapshot
		workerVersion uint64
		wantVersion   uint64
		wantSeconds   int
	}{
		{"first naming", snapshot(1, 10), 1, 1, 10},
		{"named again, all workers had the version before", snapshot(2, 20), 1, 2, 20},
		{"named again during the rollout", snapshot(3, 22), 1, 3, 20},
		{"an old snapshot", snapshot(2, 20), 1, 3, 20},
		{"named again while workers have the intermediate version", snapshot(4, 25), 2, 4, 20},
		{"named again once all have the newest", snapshot(5, 40), 4, 5, 40},
	} {
		weights.update(test.snapshot, []fleet.Worker{worker("1", test.workerVersion), worker("2", 9), draining})
		if weights.versions["daka"] != test.wantVersion || weights.namedAt["daka"] != time.Duration(test.wantSeconds)*time.Second {
			t.Errorf("%s: %d since %v", test.name, weights.versions["daka"], weights.namedAt["daka"])
		}
	}
	weights.update(&fleet.Snapshot{NamedVersions: map[string]uint64{"other": 1}}, nil)
	if _, ok := weights.namedAt["other"]; ok || weights.versions["other"] != 1 {
		t.Error("a version without a naming time has one")
	}
}
