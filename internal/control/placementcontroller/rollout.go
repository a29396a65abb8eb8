package placementcontroller

import (
	"cmp"
	"slices"
	"time"

	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

// Timing and concurrency of a rollout. With larger batches a rollout ends sooner, but fewer workers stay in
// service.
const (
	// Durations as ratios of the recovery time bound (settings.Bounds.RecoveryMs).
	cordonRatio       = 0.125 // time between cordoning a batch and ordering it, in which proxies learn of the cordon
	batchTimeoutRatio = 0.25  // time after which a cordoned batch is abandoned and the next one begins

	rolloutSpanRatio    = 0.6       // ratio of the weights bound (settings.Bounds.WeightsMs) within which all batches must have loaded the new weights
	maxConcurrencyRatio = 1.0 / 3.0 // maximum ratio of a service's workers that are out of service at the same time
)

// Rollout loads new weights on the workers of a service batch by batch. Each batch is first cordoned in the
// placement, so that proxies send it no new requests, and then ordered to load the weights. A new lease holder
// resumes the rollout from the stored placement.
type Rollout struct {
	Batch      []string      // names of the workers in the current batch, which are cordoned
	CordonedAt time.Duration // when the batch was cordoned, by the clock of this process
	AllAtOnce  bool          // put all workers into one batch, for comparison with rollouts in batches
}

// Step advances the rollout. It returns the workers that are to be ordered now to load the weights, and
// whether the batch has changed and must be published in the placement. since returns how long ago a version
// of the weights was superseded; the time that is left for the rollout counts from when the oldest weights in
// use were superseded.
//
// Example: order, changed := r.Step(workers, 4, since, now, bounds)
func (r *Rollout) Step(workers []*wire.Worker, want uint64, since func(uint64) time.Duration, now time.Duration,
	bounds settings.Bounds) (order []*wire.Worker, changed bool) {
	outdated, batch := r.outdatedWorkers(workers, want)
	if len(r.Batch) > 0 {
		elapsed := now - r.CordonedAt
		if len(batch) > 0 && elapsed < bounds.Recovery(batchTimeoutRatio) {
			if elapsed >= bounds.Recovery(cordonRatio) {
				return batch, false
			}
			return nil, false
		}
		r.Batch, changed = nil, true // the batch is done or timed out; its outdated workers are ordered again in a later batch
	}
	if len(outdated) == 0 {
		return nil, changed
	}
	slices.SortFunc(outdated, func(x, y *wire.Worker) int { // workers with the oldest weights come first
		return cmp.Or(cmp.Compare(x.Weights, y.Weights), cmp.Compare(x.Name, y.Name))
	})
	left := bounds.Weights(rolloutSpanRatio) - since(outdated[0].Weights)
	size := r.batchSize(len(workers), len(outdated), left, bounds)
	r.CordonedAt = now
	for _, worker := range outdated[:min(size, len(outdated))] {
		r.Batch = append(r.Batch, worker.Name)
	}
	return nil, true
}

// outdatedWorkers returns the workers with weights older than the wanted version, and those of them that are
// in the current batch. Workers that have not reported their weights are left out.
func (r *Rollout) outdatedWorkers(workers []*wire.Worker, want uint64) (outdated, batch []*wire.Worker) {
	inBatch := map[string]bool{}
	for _, name := range r.Batch {
		inBatch[name] = true
	}
	for _, worker := range workers {
		if worker.Weights == 0 || worker.Weights >= want {
			continue
		}
		outdated = append(outdated, worker)
		if inBatch[worker.Name] {
			batch = append(batch, worker)
		}
	}
	return outdated, batch
}

// batchSize returns how many outdated workers make up the next batch, so that all of them are done within the
// time that is left. It is limited by maxConcurrencyRatio, unless AllAtOnce is set.
func (r *Rollout) batchSize(workers, outdated int, left time.Duration, bounds settings.Bounds) int {
	if r.AllAtOnce {
		return outdated
	}
	batches := max(1, int(left/bounds.Recovery(batchTimeoutRatio)))
	return min((outdated+batches-1)/batches, max(1, int(float64(workers)*maxConcurrencyRatio)))
}
