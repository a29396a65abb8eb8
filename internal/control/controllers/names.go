package controllers

import (
	"time"

	"pebbleloom/internal/fleet"
)

// names are which weights are named, and since when a roll-out is due.
type names struct {
	named map[string]uint64
	since map[string]time.Duration
}

func newNames() *names { return &names{map[string]uint64{}, map[string]time.Duration{}} }

// take follows what a snapshot names. While a worker hasn't got what was named of a model before,
// that bounds the roll-out still, whatever is named after it.
func (n *names) take(s *fleet.Snapshot, ws []fleet.Worker) {
	for m, v := range s.Named {
		if v <= n.named[m] {
			continue
		}
		if at, ok := s.NamedAt[m]; ok && !n.lacks(m, ws) {
			n.since[m] = at
		}
		n.named[m] = v
	}
}

func (n *names) lacks(model string, ws []fleet.Worker) bool {
	for _, w := range ws {
		if v, ok := w.Weights[model]; ok && v < n.named[model] && !w.Draining {
			return true
		}
	}
	return false
}
