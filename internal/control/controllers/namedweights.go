package controllers

import (
	"time"

	"pebbleloom/internal/fleet"
)

// namedWeights tracks, for each model, the named version of its weights (the version that workers should
// serve) and the time since which its rollout has been due.
type namedWeights struct {
	versions map[string]uint64        // named version, by model
	namedAt  map[string]time.Duration // time since which the rollout is due, by model
}

func newNamedWeights() *namedWeights {
	return &namedWeights{versions: map[string]uint64{}, namedAt: map[string]time.Duration{}}
}

// update applies the named versions of a snapshot. If a newer version is named while a worker still has a
// version older than the previously named one, namedAt is kept: naming versions in quick succession must not
// extend the time that workers may stay on older weights.
func (n *namedWeights) update(snapshot *fleet.Snapshot, workers []fleet.Worker) {
	for model, version := range snapshot.NamedVersions {
		if version <= n.versions[model] {
			continue
		}
		if at, ok := snapshot.NamedAt[model]; ok && !n.anyWorkerLacks(model, workers) {
			n.namedAt[model] = at
		}
		n.versions[model] = version
	}
}

// anyWorkerLacks reports whether a worker that is not draining serves a version of the model older than the
// named one.
func (n *namedWeights) anyWorkerLacks(model string, workers []fleet.Worker) bool {
	for _, worker := range workers {
		if version, ok := worker.Weights[model]; ok && version < n.versions[model] && !worker.Draining {
			return true
		}
	}
	return false
}
