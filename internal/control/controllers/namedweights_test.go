package controllers

import (
	"testing"
	"time"

	"pebbleloom/internal/fleet"
)

// The roll-out is due since the oldest naming that a worker hasn't got.
func TestSinceWhenARollOutIsDue(t *testing.T) {
	at := func(v uint64, s int) *fleet.Snapshot {
		return &fleet.Snapshot{Named: map[string]uint64{"daka": v}, NamedAt: map[string]time.Duration{"daka": time.Duration(s) * time.Second}}
	}
	leaves := worker("3", 1)
	leaves.Draining = true
	n := newNamedWeights()
	for _, c := range []struct {
		what   string
		s      *fleet.Snapshot
		has    uint64
		named  uint64
		sinceS int
	}{
		{"first", at(1, 10), 1, 1, 10},
		{"again, all had the one before", at(2, 20), 1, 2, 20},
		{"again meanwhile", at(3, 22), 1, 3, 20},
		{"an old snapshot", at(2, 20), 1, 3, 20},
		{"the middle is there, the newest isn't", at(4, 25), 2, 4, 20},
		{"all have it", at(5, 40), 4, 5, 40},
	} {
		n.update(c.s, []fleet.Worker{worker("1", c.has), worker("2", 9), leaves})
		if n.versions["daka"] != c.named || n.namedAt["daka"] != time.Duration(c.sinceS)*time.Second {
			t.Errorf("%s: %d since %v", c.what, n.versions["daka"], n.namedAt["daka"])
		}
	}
	n.update(&fleet.Snapshot{Named: map[string]uint64{"other": 1}}, nil)
	if _, ok := n.namedAt["other"]; ok || n.versions["other"] != 1 {
		t.Error("nobody knows since when")
	}
}
