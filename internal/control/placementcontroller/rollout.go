package placementcontroller

import (
	"cmp"
	"slices"
	"time"

	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

// Timing and concurrency of a rollout. Larger batches end it sooner and leave fewer workers in service.
const (
	// Ratios of the heal bound.
	cordonRatio       = 0.125 // from cordoning a batch to its orders: proxies learn of it in between
	batchTimeoutRatio = 0.25  // how long an ordered batch may take

	rolloutSpanRatio    = 0.6       // of the weights bound: all batches fit into it
	maxConcurrencyRatio = 1.0 / 3.0 // of the workers that may be out of service at once
)

// Rollout brings workers to named weights batch by batch. A batch is first cordoned in the placement,
// so that proxies send it no new requests; then it gets its orders; then the next one follows. It
// resumes from the stored placement when the lease changes hands.
type Rollout struct {
	Batch      []string      // names of the cordoned workers
	CordonedAt time.Duration // when the batch was cordoned, by the process's clock
	AllAtOnce  bool          // one batch of all workers, for comparison
}

// Step advances the rollout: it returns the workers to order now, and whether the batch has changed and
// is to be published. since returns how long ago a worker's own weights were superseded: each version
// has its own bound.
//
// Example: order, changed := r.Step(workers, 4, since, now, bounds)
func (r *Rollout) Step(workers []*wire.Worker, want uint64, since func(uint64) time.Duration, now time.Duration,
	bounds settings.Bounds) (order []*wire.Worker, changed bool) {
	behind, batch := r.workersBehind(workers, want)
	if len(r.Batch) > 0 {
		elapsed := now - r.CordonedAt
		if len(batch) > 0 && elapsed < bounds.Heal(batchTimeoutRatio) {
			if elapsed >= bounds.Heal(cordonRatio) {
				return batch, false
			}
			return nil, false
		}
		r.Batch, changed = nil, true // done, or too slow: the others are ordered again with a later batch
	}
	if len(behind) == 0 {
		return nil, changed
	}
	slices.SortFunc(behind, func(x, y *wire.Worker) int { // the oldest weights first
		return cmp.Or(cmp.Compare(x.Weights, y.Weights), cmp.Compare(x.Name, y.Name))
	})
	left := bounds.Weights(rolloutSpanRatio) - since(behind[0].Weights)
	size := r.batchSize(len(workers), len(behind), left, bounds)
	r.CordonedAt = now
	for _, worker := range behind[:min(size, len(behind))] {
		r.Batch = append(r.Batch, worker.Name)
	}
	return nil, true
}

// workersBehind returns the workers with weights older than the wanted ones, and those of them in the
// batch. A worker that hasn't reported its weights isn't among them.
func (r *Rollout) workersBehind(workers []*wire.Worker, want uint64) (behind, batch []*wire.Worker) {
	inBatch := map[string]bool{}
	for _, name := range r.Batch {
		inBatch[name] = true
	}
	for _, worker := range workers {
		if worker.Weights == 0 || worker.Weights >= want {
			continue
		}
		behind = append(behind, worker)
		if inBatch[worker.Name] {
			batch = append(batch, worker)
		}
	}
	return behind, batch
}

// batchSize is how many of the workers that are behind make up the next batch, so that all are done
// within the time that is left.
func (r *Rollout) batchSize(workers, behind int, left time.Duration, bounds settings.Bounds) int {
	if r.AllAtOnce {
		return behind
	}
	batches := max(1, int(left/bounds.Heal(batchTimeoutRatio)))
	return min((behind+batches-1)/batches, max(1, int(float64(workers)*maxConcurrencyRatio)))
}
