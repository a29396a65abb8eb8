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
	// baseConcurrencyRatio is the fraction of a service's workers that may load weights at the same time while
	// the end of the rollout's time span is far.
	baseConcurrencyRatio = 1.0 / 5
	// maxConcurrencyRatio is the maximum fraction of a service's workers that may load weights at the same time
	// when the end of the rollout's time span is near.
	maxConcurrencyRatio = 1.0 / 3
	// rolloutTailRatio is the delay between the start of a rollout and the start of the time span into which all
	// its loads must fit, as a fraction of the rollout time bound Bounds.Weights. It allows the last loads to run
	// after proxies have stopped selecting workers with older weights.
	rolloutTailRatio = 0.2
	// rolloutSpanRatio is the length of the time span into which all loads of a rollout must fit, as a fraction
	// of the rollout time bound Bounds.Weights. The limit on concurrent loads is chosen accordingly.
	rolloutSpanRatio = 0.8
)

// serviceProgress counts the workers of one service by how far the rollout of new weights has got with them.
type serviceProgress struct {
	outdated     int            // number of workers that need a newer version, without those that wait for a retry
	loading      int            // number of workers that load weights and count toward the limit on concurrent loads
	finishing    int            // number of loading workers that are expected to finish within the delay between cordoning a worker and ordering it to load
	cordoned     int            // number of workers that are cordoned and have not been ordered to load weights yet
	candidates   []fleet.Worker // outdated workers that may be cordoned next
	model        string         // model whose rollout started first, among those that outdated workers need
	rolloutStart time.Duration  // time at which the rollout of model started; negative if unknown
}

// stepService advances the rollout to the workers of one service: it adds orders for cordoned workers to actions
// and cordons the next workers. workers must not be empty.
func (r *Rollout) stepService(inputs RolloutInputs, workers []fleet.Worker, actions *RolloutActions) {
	slices.SortFunc(workers, func(x, y fleet.Worker) int { return cmp.Compare(x.ID, y.ID) })
	service := workers[0].Service
	progress := r.assessService(inputs, workers)
	if progress.outdated == 0 {
		delete(r.concurrency, service)
		return
	}
	// The limit on concurrent loads never decreases during a rollout, since workers are cordoned in advance to
	// reach it.
	limit := r.concurrencyLimit(inputs.Now, len(workers), progress.outdated-progress.loading, r.spanStart(progress), progress.model)
	limit = max(limit, r.concurrency[service])
	r.concurrency[service] = limit
	r.orderCordoned(inputs, workers, &progress, limit, actions)
	r.cordonNext(inputs, progress, limit)
}

// assessService counts a service's workers by the state of their load. For a worker that has no load but may have
// accepted an order, for example from a previous lease holder, it creates a load in stageUnknown.
func (r *Rollout) assessService(inputs RolloutInputs, workers []fleet.Worker) serviceProgress {
	progress := serviceProgress{rolloutStart: -1}
	for _, worker := range workers {
		model, version := nextVersion(worker, inputs)
		if model == "" {
			continue
		}
		progress.outdated++
		if at, ok := inputs.RolloutStart[model]; ok && (progress.rolloutStart < 0 || at < progress.rolloutStart) {
			progress.rolloutStart, progress.model = at, model
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

// countLoading adds a load whose order has been sent to the counts of progress. A load that takes longer than
// slowLoadRatio allows is left out, so that it does not delay the update of other workers.
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

// orderCordoned adds an order to actions for each worker that has been cordoned for long enough, up to the limit on
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

// orderDue reports whether a worker may be ordered to load weights now: it is cordoned, proxies have had time to
// learn that, and no order to it from a previous lease holder can still be in flight.
func (r *Rollout) orderDue(inputs RolloutInputs, worker fleet.Worker, load *weightLoad) bool {
	return load.stage == stageCordoned && load.cordonedAt >= 0 &&
		inputs.Now >= load.cordonedAt+r.bounds.Leave(cordonLeadRatio) &&
		inputs.Now >= r.earliestOrder(inputs, worker)
}

// cordonNext cordons as many candidates as the limit on concurrent loads will soon leave room for, taking into account
// loads that are about to finish.
func (r *Rollout) cordonNext(inputs RolloutInputs, progress serviceProgress, limit int) {
	free := limit - progress.loading - progress.cordoned + progress.finishing
	for _, worker := range progress.candidates[:max(0, min(len(progress.candidates), free))] {
		model, version := nextVersion(worker, inputs)
		r.loads[worker.ID] = &weightLoad{worker: worker, model: model, version: version, cordonedAt: notCordonedYet}
	}
}

// spanStart returns the start of the time span into which all loads of a service's rollout must fit; negative if the
// start of the rollout is unknown.
func (r *Rollout) spanStart(progress serviceProgress) time.Duration {
	if progress.rolloutStart < 0 {
		return progress.rolloutStart
	}
	return progress.rolloutStart + r.bounds.Weights(rolloutTailRatio)
}

// concurrencyLimit returns how many of a service's workers may load weights at the same time. waiting is the number of
// workers that have yet to load. The limit exceeds the base limit when the base limit would not complete the rollout in
// the time that remains of its span.
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
	batches := max(1, (float64(remaining)-perBatch/2)/perBatch) // loads in progress are half done on average
	required := int(math.Round(float64(waiting) / batches))
	return min(max(base, required), max(base, int(float64(workers)*maxConcurrencyRatio)))
}
