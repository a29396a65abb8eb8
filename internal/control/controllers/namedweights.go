package controllers

import (
	"time"

	"pebbleloom/internal/fleet"
)

// namedWeights tracks which weights are named, and since when a rollout is due.
type namedWeights struct {
	versions map[string]uint64
	namedAt  map[string]time.Duration
}

func newNamedWeights() *namedWeights {
	return &namedWeights{map[string]uint64{}, map[string]time.Duration{}}
}

// update applies a snapshot. While a worker still lacks the previously named version of a model, that
// one's time stays the start of the rollout bound.
func (n *namedWeights) update(s *fleet.Snapshot, ws []fleet.Worker) {
	for m, v := range s.Named {
		if v <= n.versions[m] {
			continue
		}
		if at, ok := s.NamedAt[m]; ok && !n.anyWorkerLacks(m, ws) {
			n.namedAt[m] = at
		}
		n.versions[m] = v
	}
}

func (n *namedWeights) anyWorkerLacks(model string, ws []fleet.Worker) bool {
	for _, w := range ws {
		if v, ok := w.Weights[model]; ok && v < n.versions[model] && !w.Draining {
			return true
		}
	}
	return false
}
