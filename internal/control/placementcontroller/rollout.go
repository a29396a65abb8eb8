package placementcontroller

import (
	"sort"
	"time"

	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

// Timing and concurrency of a rollout, as ratios.
const (
	cordonRatio         = 0.125     // of the heal bound: from setting a batch aside to its orders
	batchTimeoutRatio   = 0.25      // of the heal bound: how long an ordered batch may take
	rolloutSpanRatio    = 0.6       // of the weights bound: all batches fit into it
	maxConcurrencyRatio = 1.0 / 3.0 // of the workers that may be out at once
)

// Rollout brings workers to named weights batch by batch. A batch is first set aside in the placement,
// so that proxies send it no new requests; then it gets its orders; then the next one follows. It
// resumes from the stored placement when the lease changes hands.
type Rollout struct {
	Batch      []string
	CordonedAt time.Duration // when the batch was set aside
	AllAtOnce  bool          // all at once, for comparison
}

// Step advances the rollout: it returns the workers to order now, and whether the batch has changed.
// since returns how long ago a worker's own weights were superseded: each version has its bound.
//
// Example: order, changed := r.Step(workers, 4, since, now, bounds)
func (r *Rollout) Step(ws []*wire.Worker, want uint64, since func(uint64) time.Duration, now time.Duration, b settings.Bounds) (order []*wire.Worker, changed bool) {
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
		if len(mine) > 0 && now-r.CordonedAt < b.Heal(batchTimeoutRatio) {
			if now-r.CordonedAt >= b.Heal(cordonRatio) {
				return mine, false
			}
			return nil, false
		}
		r.Batch, changed = nil, true // done, or too slow: the rest is ordered again with a later batch
	}
	if len(old) == 0 {
		return nil, changed
	}
	sort.Slice(old, func(i, j int) bool { // the oldest weights first
		return old[i].Weights < old[j].Weights || old[i].Weights == old[j].Weights && old[i].Name < old[j].Name
	})
	left := b.Weights(rolloutSpanRatio) - since(old[0].Weights)
	rounds := max(1, int(left/b.Heal(batchTimeoutRatio)))
	n := min((len(old)+rounds-1)/rounds, max(1, int(float64(len(ws))*maxConcurrencyRatio)))
	if r.AllAtOnce {
		n = len(old)
	}
	r.CordonedAt = now
	for _, w := range old[:min(n, len(old))] {
		r.Batch = append(r.Batch, w.Name)
	}
	return nil, true
}
