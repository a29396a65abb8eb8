package controllers

import (
	"cmp"
	"math"
	"slices"
	"time"

	"pebbleloom/internal/fleet"
)

// How many of a service's workers load at once. More end the rollout sooner and leave fewer in service.
const (
	baseConcurrencyRatio = 1.0 / 5 // of a service's workers, while there is time
	maxConcurrencyRatio  = 1.0 / 3 // of a service's workers, when the bound is close

	// Ratios of the weights bound, from when the rollout became due.
	rolloutTailRatio = 0.2 // the last may load while older weights are no longer selected
	rolloutSpanRatio = 0.8 // all loads fit into it, after the tail
)

// serviceProgress is how far the rollout has come at one service.
type serviceProgress struct {
	behind     int            // workers to bring to a newer version, except those waiting for a retry
	loading    int            // workers whose load delays others
	finishing  int            // loading ones that are about to end
	cordoned   int            // workers that wait for their order
	candidates []fleet.Worker // workers that may be cordoned next
	model      string         // the model whose rollout became due first
	dueSince   time.Duration  // when it did; negative if unknown
}

// stepService advances one service's loads. There is at least one worker.
func (r *Rollout) stepService(inputs RolloutInputs, workers []fleet.Worker, actions *RolloutActions) {
	slices.SortFunc(workers, func(x, y fleet.Worker) int { return cmp.Compare(x.ID, y.ID) })
	service := workers[0].Service
	progress := r.assessService(inputs, workers)
	if progress.behind == 0 {
		delete(r.concurrency, service)
		return
	}
	// The limit never falls during a rollout: workers were cordoned ahead under it.
	limit := r.concurrencyLimit(inputs.Now, len(workers), progress.behind-progress.loading, r.spanStart(progress), progress.model)
	limit = max(limit, r.concurrency[service])
	r.concurrency[service] = limit
	r.orderCordoned(inputs, workers, &progress, limit, actions)
	r.cordonNext(inputs, progress, limit)
}

// assessService counts what a service's workers still need. A worker that may have received an order of
// a past holder becomes a load with an unknown outcome.
func (r *Rollout) assessService(inputs RolloutInputs, workers []fleet.Worker) serviceProgress {
	progress := serviceProgress{dueSince: -1}
	for _, worker := range workers {
		model, version := nextVersion(worker, inputs)
		if model == "" {
			continue
		}
		progress.behind++
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
			progress.behind--
		case r.possiblyOrdered[worker.ID]:
			r.loads[worker.ID] = &weightLoad{worker: worker, model: model, version: version, stage: stageUnknown,
				cordonedAt: notYet, startedAt: inputs.Now, nextReportAt: inputs.Now}
			progress.loading++
		case r.cordonDue(inputs, worker):
			progress.candidates = append(progress.candidates, worker)
		}
	}
	return progress
}

// countLoading counts a load in progress. One that takes too long no longer delays others.
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

// orderCordoned sends orders to workers that have been cordoned for long enough, up to the limit.
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

// orderDue reports whether a cordoned worker may get its order: proxies have had time to learn that it
// is cordoned, and no past holder's order can be in flight.
func (r *Rollout) orderDue(inputs RolloutInputs, worker fleet.Worker, load *weightLoad) bool {
	return load.stage == stageCordoned && load.cordonedAt >= 0 &&
		inputs.Now >= load.cordonedAt+r.bounds.Leave(cordonLeadRatio) &&
		inputs.Now >= r.earliestOrder(inputs, worker)
}

// cordonNext cordons as many candidates as can be ordered next.
func (r *Rollout) cordonNext(inputs RolloutInputs, progress serviceProgress, limit int) {
	free := limit - progress.loading - progress.cordoned + progress.finishing
	for _, worker := range progress.candidates[:max(0, min(len(progress.candidates), free))] {
		model, version := nextVersion(worker, inputs)
		r.loads[worker.ID] = &weightLoad{worker: worker, model: model, version: version, cordonedAt: notYet}
	}
}

// spanStart is when the span begins that all loads have to fit into; negative if unknown.
func (r *Rollout) spanStart(progress serviceProgress) time.Duration {
	if progress.dueSince < 0 {
		return progress.dueSince
	}
	return progress.dueSince + r.bounds.Weights(rolloutTailRatio)
}

// concurrencyLimit is how many of a service's workers load at once while so many wait for their load:
// more when the end of the span is close.
func (r *Rollout) concurrencyLimit(now time.Duration, workers, waiting int, spanStart time.Duration, model string) int {
	base := max(1, int(float64(workers)*baseConcurrencyRatio))
	if spanStart < 0 || waiting <= 0 {
		return base
	}
	loadTime := r.bounds.Weights(initialLoadRatio)
	if shortest := r.shortestLoad[model]; shortest > 0 {
		loadTime = shortest
	}
	left := spanStart + r.bounds.Weights(rolloutSpanRatio) - now
	perBatch := float64(loadTime + r.bounds.Leave(reportIntervalRatio))
	batches := max(1, (float64(left)-perBatch/2)/perBatch) // the running loads are half done
	required := int(math.Round(float64(waiting) / batches))
	return min(max(base, required), max(base, int(float64(workers)*maxConcurrencyRatio)))
}
