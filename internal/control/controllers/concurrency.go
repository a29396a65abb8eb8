package controllers

import (
	"cmp"
	"math"
	"slices"
	"time"

	"pebbleloom/internal/fleet"
)

// Limits on how many workers of one service load weights at the same time. A higher limit completes the
// rollout sooner but leaves fewer workers to serve requests.
const (
	baseConcurrencyRatio = 1.0 / 5 // fraction of the service's workers, while the deadline is far
	maxConcurrencyRatio  = 1.0 / 3 // fraction of the service's workers, when the deadline is near

	// Fractions of Bounds.Weights. The limit is chosen such that all loads fit into a span of
	// rolloutSpanRatio that begins rolloutTailRatio after the rollout became due. The delayed start allows
	// the last loads to run after proxies have stopped selecting workers with older weights.
	rolloutTailRatio = 0.2
	rolloutSpanRatio = 0.8
)

// serviceProgress summarizes the state of the rollout for one service.
type serviceProgress struct {
	outdated   int            // workers that need a newer version, without those waiting for a retry
	loading    int            // workers that load and count toward the concurrency limit
	finishing  int            // loading workers that are expected to finish soon
	cordoned   int            // cordoned workers that wait for an order
	candidates []fleet.Worker // workers that may be cordoned next
	model      string         // model whose rollout became due first
	dueSince   time.Duration  // when the rollout of model became due; negative if unknown
}

// stepService advances the rollout of one service: it sends orders to cordoned workers and cordons the
// next ones. workers must not be empty.
func (r *Rollout) stepService(inputs RolloutInputs, workers []fleet.Worker, actions *RolloutActions) {
	slices.SortFunc(workers, func(x, y fleet.Worker) int { return cmp.Compare(x.ID, y.ID) })
	service := workers[0].Service
	progress := r.assessService(inputs, workers)
	if progress.outdated == 0 {
		delete(r.concurrency, service)
		return
	}
	// The limit never decreases during a rollout, since workers have been cordoned in advance on its basis.
	limit := r.concurrencyLimit(inputs.Now, len(workers), progress.outdated-progress.loading, r.spanStart(progress), progress.model)
	limit = max(limit, r.concurrency[service])
	r.concurrency[service] = limit
	r.orderCordoned(inputs, workers, &progress, limit, actions)
	r.cordonNext(inputs, progress, limit)
}

// assessService counts a service's workers by the state of their load. For a worker that may have received
// an order from a previous lease holder, it adds a load with unknown outcome.
func (r *Rollout) assessService(inputs RolloutInputs, workers []fleet.Worker) serviceProgress {
	progress := serviceProgress{dueSince: -1}
	for _, worker := range workers {
		model, version := nextVersion(worker, inputs)
		if model == "" {
			continue
		}
		progress.outdated++
		if at, ok := inputs.NamedAt[model]; ok && (progress.dueSince < 0 || at < progress.dueSince) {
			progress.dueSince, progress.model = at, model
		}
		load := r.loads[worker.ID]
		switch {
		case load != nil && load.stage == stageCordoned:
			progress.cordoned++
		case load != nil:
			r.countLoading(load, inputs.Now, &progress)
		case inputs.Now < r.retryAt[worker.ID]:
			progress.outdated--
		case r.possiblyOrdered[worker.ID]:
			r.loads[worker.ID] = &weightLoad{worker: worker, model: model, version: version, stage: stageUnknown,
				cordonedAt: notCordonedYet, startedAt: inputs.Now, nextReportAt: inputs.Now}
			progress.loading++
		case r.cordonDue(inputs, worker):
			progress.candidates = append(progress.candidates, worker)
		}
	}
	return progress
}

// countLoading adds a load in progress to the counts. A load that exceeds slowLoadRatio is left out, so
// that it does not delay other workers.
func (r *Rollout) countLoading(load *weightLoad, now time.Duration, progress *serviceProgress) {
	elapsed := now - load.startedAt
	if elapsed >= r.bounds.Weights(slowLoadRatio) {
		return
	}
	progress.loading++
	shortest := r.shortestLoad[load.model]
	if load.stage == stageLoading && shortest > 0 && elapsed >= shortest-r.bounds.Leave(cordonLeadRatio) {
		progress.finishing++
	}
}

// orderCordoned adds an order for each worker that has been cordoned for long enough, up to the limit on
// concurrent loads.
func (r *Rollout) orderCordoned(inputs RolloutInputs, workers []fleet.Worker, progress *serviceProgress, limit int, actions *RolloutActions) {
	for _, worker := range workers {
		load := r.loads[worker.ID]
		if load == nil || progress.loading >= limit || !r.orderDue(inputs, worker, load) {
			continue
		}
		progress.loading++
		progress.cordoned--
		load.stage, load.startedAt, load.callInFlight = stageOrdered, inputs.Now, true
		load.startConfirmed, load.missedReports = false, 0
		r.possiblyOrdered[worker.ID] = true
		actions.Orders = append(actions.Orders, Order{worker, load.model, load.version, load.reportedSequence})
	}
}

// orderDue reports whether an order may be sent to a cordoned worker: proxies have had time to learn that
// it is cordoned, and no order from a previous lease holder can still be in flight.
func (r *Rollout) orderDue(inputs RolloutInputs, worker fleet.Worker, load *weightLoad) bool {
	return load.stage == stageCordoned && load.cordonedAt >= 0 &&
		inputs.Now >= load.cordonedAt+r.bounds.Leave(cordonLeadRatio) &&
		inputs.Now >= r.earliestOrder(inputs, worker)
}

// cordonNext cordons as many candidates as there will be free load slots, counting loads that are about to
// finish.
func (r *Rollout) cordonNext(inputs RolloutInputs, progress serviceProgress, limit int) {
	free := limit - progress.loading - progress.cordoned + progress.finishing
	for _, worker := range progress.candidates[:max(0, min(len(progress.candidates), free))] {
		model, version := nextVersion(worker, inputs)
		r.loads[worker.ID] = &weightLoad{worker: worker, model: model, version: version, cordonedAt: notCordonedYet}
	}
}

// spanStart returns the start of the time span that all loads must fit into; negative if unknown.
func (r *Rollout) spanStart(progress serviceProgress) time.Duration {
	if progress.dueSince < 0 {
		return progress.dueSince
	}
	return progress.dueSince + r.bounds.Weights(rolloutTailRatio)
}

// concurrencyLimit returns how many of a service's workers may load at the same time, given how many are
// still waiting to load. The limit rises when the remaining time is too short for the base limit.
func (r *Rollout) concurrencyLimit(now time.Duration, workers, waiting int, spanStart time.Duration, model string) int {
	base := max(1, int(float64(workers)*baseConcurrencyRatio))
	if spanStart < 0 || waiting <= 0 {
		return base
	}
	loadTime := r.bounds.Weights(initialLoadRatio)
	if shortest := r.shortestLoad[model]; shortest > 0 {
		loadTime = shortest
	}
	remaining := spanStart + r.bounds.Weights(rolloutSpanRatio) - now
	perBatch := float64(loadTime + r.bounds.Leave(reportIntervalRatio))
	batches := max(1, (float64(remaining)-perBatch/2)/perBatch) // running loads are half done on average
	required := int(math.Round(float64(waiting) / batches))
	return min(max(base, required), max(base, int(float64(workers)*maxConcurrencyRatio)))
}
