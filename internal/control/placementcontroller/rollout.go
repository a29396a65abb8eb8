package placementcontroller

import (
	"sort"
	"time"

	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

// The pace of a roll-out, as ratios.
const (
	aside   = 0.125     // of the heal bound: how long a batch is set aside before it is ordered
	settle  = 0.25      // of the heal bound: how long an ordered batch may take
	span    = 0.6       // of the weights bound: all batches fit into it
	mostOut = 1.0 / 3.0 // of the workers that may be out at once
)

// Roll brings workers to named weights batch by batch. A batch is first set aside in the
// placement, so that dispatchers send it nothing new; then it is ordered; then the next
// one follows. It goes on from the placement in force when the duty changes hands.
type Roll struct {
	Batch []string
	At    time.Duration // when the batch was set aside
	Whole bool          // all at once, to compare with
}

// Step moves the roll-out on: it says whom to order now, and whether the batch has changed.
//
// since tells how long ago a worker's own weights were superseded: each epoch has its bound.
//
// Example: order, changed := r.Step(workers, 4, since, now, bounds)
func (r *Roll) Step(ws []*wire.Worker, want uint64, since func(uint64) time.Duration, now time.Duration, b settings.Bounds) (order []*wire.Worker, changed bool) {
	in := map[string]bool{}
	for _, n := range r.Batch {
		in[n] = true
	}
	var old, mine []*wire.Worker
	for _, w := range ws {
		if w.Weights == 0 || w.Weights >= want {
			continue
		}
		if old = append(old, w); in[w.Name] {
			mine = append(mine, w)
		}
	}
	if len(r.Batch) > 0 {
		if len(mine) > 0 && now-r.At < b.Heal(settle) {
			if now-r.At >= b.Heal(aside) {
				return mine, false
			}
			return nil, false
		}
		r.Batch, changed = nil, true // done, or it takes too long: it is ordered again with a later batch
	}
	if len(old) == 0 {
		return nil, changed
	}
	sort.Slice(old, func(i, j int) bool { // what was superseded first goes first
		return old[i].Weights < old[j].Weights || old[i].Weights == old[j].Weights && old[i].Name < old[j].Name
	})
	left := b.Weights(span) - since(old[0].Weights)
	rounds := max(1, int(left/b.Heal(settle)))
	n := min((len(old)+rounds-1)/rounds, max(1, int(float64(len(ws))*mostOut)))
	if r.Whole {
		n = len(old)
	}
	r.At = now
	for _, w := range old[:min(n, len(old))] {
		r.Batch = append(r.Batch, w.Name)
	}
	return nil, true
}
