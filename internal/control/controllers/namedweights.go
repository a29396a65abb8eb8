package controllers

import (
	"time"

	"pebbleloom/internal/fleet"
)

// namedWeights tracks the named version of each model's weights, and since when its rollout is due.
type namedWeights struct {
	versions map[string]uint64        // by model
	namedAt  map[string]time.Duration // by model
}

func newNamedWeights() *namedWeights {
	return &namedWeights{versions: map[string]uint64{}, namedAt: map[string]time.Duration{}}
}

// update applies a snapshot. While a worker still lacks the previously named version of a model, the
// rollout stays due since that one was named: naming another doesn't extend the bound.
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

// anyWorkerLacks reports whether a worker has a version of the model older than the named one.
func (n *namedWeights) anyWorkerLacks(model string, workers []fleet.Worker) bool {
	for _, worker := range workers {
		if version, ok := worker.Weights[model]; ok && version < n.versions[model] && !worker.Draining {
			return true
		}
	}
	return false
}
