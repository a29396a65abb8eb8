package controllers

import (
	"time"

	"pebbleloom/internal/fleet"
)

// targetVersions tracks, for each model, the target version of its weights (the version that workers should serve)
// and the start of the current rollout. Within Bounds.Weights from that start, the last workers should leave older
// versions.
type targetVersions struct {
	versions     map[string]uint64        // target version by model
	rolloutStart map[string]time.Duration // time on the process's clock at which the current rollout of a model started, by model
}

func newTargetVersions() *targetVersions {
	return &targetVersions{versions: map[string]uint64{}, rolloutStart: map[string]time.Duration{}}
}

// update applies the target versions of a snapshot. If a newer version becomes the target while a worker still
// serves a version older than the previous target, the rollout continues and its start is kept: a quick succession of
// new targets must not extend the time that workers may stay on older weights.
func (t *targetVersions) update(snapshot *fleet.Snapshot, workers []fleet.Worker) {
	for model, version := range snapshot.TargetVersions {
		if version <= t.versions[model] {
			continue
		}
		if at, ok := snapshot.TargetSetAt[model]; ok && !t.anyWorkerLacks(model, workers) {
			t.rolloutStart[model] = at
		}
		t.versions[model] = version
	}
}

// anyWorkerLacks reports whether any worker that is not draining serves a version of the model's weights older than
// the target version.
func (t *targetVersions) anyWorkerLacks(model string, workers []fleet.Worker) bool {
	for _, worker := range workers {
		if version, ok := worker.Weights[model]; ok && version < t.versions[model] && !worker.Draining {
			return true
		}
	}
	return false
}
