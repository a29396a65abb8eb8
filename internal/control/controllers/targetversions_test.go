package controllers

import (
	"testing"
	"time"

	"pebbleloom/internal/fleet"
)

// A rollout starts when the target version increases and all workers serve the previous target. If the target increases
// again before all workers that are not draining serve it, the start of the rollout does not change.
func TestRolloutStartIsUnchangedUntilTargetIsServed(t *testing.T) {
	snapshot := func(version uint64, atSeconds int) *fleet.Snapshot {
		return &fleet.Snapshot{TargetVersions: map[string]uint64{"daka": version}, TargetSetAt: map[string]time.Duration{"daka": time.Duration(atSeconds) * time.Second}}
	}
	draining := worker("3", 1)
	draining.Draining = true
	weights := newTargetVersions()
	for _, test := range []struct {
		name          string
		snapshot      *fleet.Snapshot // snapshot that contains a target version and the time at which it was set
		workerVersion uint64          // version that worker 1 serves
		wantVersion   uint64          // wanted target version
		wantSeconds   int             // wanted start of the rollout, in seconds
	}{
		{"the first target is version 1", snapshot(1, 10), 1, 1, 10},
		{"the target becomes version 2 when all workers serve the previous target, version 1", snapshot(2, 20), 1, 2, 20},
		{"the target becomes version 3 while worker 1 still serves version 1", snapshot(3, 22), 1, 3, 20},
		{"an outdated snapshot has version 2 as the target", snapshot(2, 20), 1, 3, 20},
		{"the target becomes version 4 when worker 1 serves version 2 but not yet version 3", snapshot(4, 25), 2, 4, 20},
		{"the target becomes version 5 when all workers serve the previous target, version 4", snapshot(5, 40), 4, 5, 40},
	} {
		weights.update(test.snapshot, []fleet.Worker{worker("1", test.workerVersion), worker("2", 9), draining})
		if weights.versions["daka"] != test.wantVersion || weights.rolloutStart["daka"] != time.Duration(test.wantSeconds)*time.Second {
			t.Errorf("when %s: target version %d and rollout start %v, want target version %d and rollout start %ds", test.name, weights.versions["daka"], weights.rolloutStart["daka"], test.wantVersion, test.wantSeconds)
		}
	}
	weights.update(&fleet.Snapshot{TargetVersions: map[string]uint64{"other": 1}}, nil)
	if _, ok := weights.rolloutStart["other"]; ok || weights.versions["other"] != 1 {
		t.Errorf("snapshot with target version 1 but without the time at which it was set: target version %d, rollout start known = %v; want version 1, false", weights.versions["other"], ok)
	}
}
