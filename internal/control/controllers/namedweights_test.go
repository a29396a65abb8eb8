package controllers

import (
	"testing"
	"time"

	"pebbleloom/internal/fleet"
)

// A rollout is due since the oldest naming of a version that some worker does not serve yet.
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
		{"first version named", snapshot(1, 10), 1, 1, 10},
		{"newer version named after all workers served the previous one", snapshot(2, 20), 1, 2, 20},
		{"newer version named during the rollout", snapshot(3, 22), 1, 3, 20},
		{"outdated snapshot with an older version", snapshot(2, 20), 1, 3, 20},
		{"newer version named while workers serve an intermediate one", snapshot(4, 25), 2, 4, 20},
		{"newer version named after all workers served the newest", snapshot(5, 40), 4, 5, 40},
	} {
		weights.update(test.snapshot, []fleet.Worker{worker("1", test.workerVersion), worker("2", 9), draining})
		if weights.versions["daka"] != test.wantVersion || weights.namedAt["daka"] != time.Duration(test.wantSeconds)*time.Second {
			t.Errorf("%s: version %d is due since %v, want version %d since %d s", test.name, weights.versions["daka"], weights.namedAt["daka"], test.wantVersion, test.wantSeconds)
		}
	}
	weights.update(&fleet.Snapshot{NamedVersions: map[string]uint64{"other": 1}}, nil)
	if _, ok := weights.namedAt["other"]; ok || weights.versions["other"] != 1 {
		t.Error("model named without a time: want version 1 and no entry in namedAt")
	}
}
