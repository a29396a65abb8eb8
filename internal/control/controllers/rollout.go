package controllers

import (
	"time"

	"pebbleloom/internal/data/backend"
	"pebbleloom/internal/fleet"
	"pebbleloom/internal/maputil"
	"pebbleloom/internal/settings"
)

// Timing of a single worker's load of new weights.
const (
	// cordonLeadRatio is the delay between cordoning a worker and ordering it to load weights, as a fraction of
	// the worker removal bound Bounds.Leave. In this time, proxies learn that the worker is cordoned.
	cordonLeadRatio = 1.0 / 15
	// reportIntervalRatio is the interval between report requests to a worker, as a fraction of the worker removal
	// bound Bounds.Leave.
	reportIntervalRatio = 1.0 / 20
	// maxReportAgeRatio is the maximum age of the state that a worker's report shows, as a fraction of
	// the worker removal bound Bounds.Leave.
	maxReportAgeRatio = 1.0 / 3
	// initialLoadRatio is the assumed duration of a load of weights before one has been measured, as a fraction
	// of the rollout time bound Bounds.Weights.
	initialLoadRatio = 1.0 / 10
	// slowLoadRatio is the duration beyond which a load of weights no longer counts toward the limit on
	// concurrent loads, as a fraction of the rollout time bound Bounds.Weights.
	slowLoadRatio = 1.0 / 4
	// loadRetryRatio is the delay before a failed load of weights is retried, as a fraction of the rollout time
	// bound Bounds.Weights.
	loadRetryRatio = 1.0 / 8
	// firstReportRatio is the time after the start of a load at which the first report is requested, as a
	// fraction of the shortest measured load of the same model.
	firstReportRatio = 0.7
	// maxMissedReports is the number of consecutive report requests without a response after which a load is
	// considered failed.
	maxMissedReports = 3
)

// notCordonedYet is the value of weightLoad.cordonedAt until a written placement cordons the worker.
const notCordonedYet = time.Duration(-1)

// loadStage is the state of a weightLoad, which updates one worker to a version of a model's weights. The
// transitions are:
//
//	cordoned -> ordered: the order to load the weights was sent to the worker
//	ordered  -> loading: the worker accepted the order, or is executing another order
//	ordered  -> unknown: the order got no response; reports will show whether the worker accepted it
//	unknown  -> loading: a report shows that the worker is executing an order
//	loading, unknown -> cordoned: a report shows the new version, or that the worker did not accept the order
//
// The load ends when the worker serves the target version or leaves the worker list. It also ends when the
// worker rejects the order or does not respond to maxMissedReports consecutive report requests; it is then
// retried after a delay.
type loadStage int

const (
	stageCordoned loadStage = iota // the worker is cordoned, or will be once a placement is written, and has not been ordered to load yet
	stageOrdered                   // the call that orders the worker to load weights is in flight
	stageLoading                   // the worker accepted the order to load weights, or is executing another order
	stageUnknown                   // the order got no response, so the worker may or may not have accepted it
)

// weightLoad is the update of one worker to one version of a model's weights.
type weightLoad struct {
	worker            fleet.Worker
	model             string
	version           uint64 // version of the model's weights to load
	stage             loadStage
	cordonedAt        time.Duration // time at which a written placement cordoned the worker, or notCordonedYet
	startedAt         time.Duration // time at which the order was sent or, if the worker may be executing an earlier one, at which that was noticed
	nextReportAt      time.Duration // time from which the next report of the worker may be requested
	reportRequestedAt time.Duration // time at which the newest report of the worker was requested
	callInFlight      bool          // whether an order or a report request to the worker has not been answered yet
	startConfirmed    bool          // whether the worker confirmed that it started the load, so that its duration can be measured
	missedReports     int           // number of consecutive report requests to which the worker did not respond
	reportedSequence  *uint64       // number of orders that the worker had accepted as of its last report; nil before the first report
}

// Order is an order to a worker to load a version of a model's weights.
type Order struct {
	Worker   fleet.Worker
	Model    string
	Version  uint64
	Sequence *uint64 // number of orders that the worker must have accepted so far to accept this one; nil for any number
}

// RolloutActions are the actions that Rollout.Step requests. The caller performs them and passes the results
// to the Rollout's methods HandleOrderOutcome, HandleUnsentOrder, HandleReport and ConfirmCordoned.
type RolloutActions struct {
	Orders   []Order             // orders to send to workers
	Reports  []fleet.Worker      // workers from which to request a report of their state
	Cordoned map[string][]string // sorted IDs of all workers that should be cordoned, by service
}

// RolloutInputs are the inputs of Rollout.Step. Points in time are readings of the process's clock. The rollout of
// a model starts when its target version increases after all workers have reached the previous one.
type RolloutInputs struct {
	Now             time.Duration            // time of the step
	Workers         []fleet.Worker           // all workers of the site
	TargetVersions  map[string]uint64        // version of the weights that workers should serve, by model
	RolloutStart    map[string]time.Duration // time at which the current rollout of a model started, by model
	UpdatedServices map[string]bool          // names of the services whose workers the rollout updates
	EarliestOrder   time.Duration            // earliest time for an order to a worker that may have received one from a previous lease holder
}

// Rollout updates workers to the target versions of their models' weights, several workers at a time. Each
// worker is first cordoned, so that proxies send it no new requests, then ordered to load the weights, and
// polled until it serves them. While some workers load, the next ones are cordoned. Rollout makes no calls
// itself: Step returns the actions to perform.
type Rollout struct {
	bounds             settings.Bounds
	loads              map[string]*weightLoad   // loads that have not ended, by worker ID
	retryAt            map[string]time.Duration // earliest time to retry a worker's failed load, by worker ID
	possiblyOrdered    map[string]bool          // IDs of workers that may have accepted an order and may still execute it
	previouslyCordoned map[string]bool          // IDs of workers that the stored placements cordoned when this session began
	shortestLoad       map[string]time.Duration // shortest measured duration of a load of weights, by model
	concurrency        map[string]int           // highest limit on concurrent loads used since the service's workers were last all up to date, by service
}

// NewRollout returns a Rollout that has made no step. cordoned holds the IDs of the workers that a previous lease
// holder had cordoned; each of them may have received an order from it.
//
// Example: r := controllers.NewRollout(bounds, placement.Cordoned)
func NewRollout(bounds settings.Bounds, cordoned []string) *Rollout {
	r := &Rollout{
		bounds:             bounds,
		loads:              map[string]*weightLoad{},
		retryAt:            map[string]time.Duration{},
		possiblyOrdered:    map[string]bool{},
		previouslyCordoned: map[string]bool{},
		shortestLoad:       map[string]time.Duration{},
		concurrency:        map[string]int{},
	}
	for _, id := range cordoned {
		r.possiblyOrdered[id], r.previouslyCordoned[id] = true, true
	}
	return r
}

// Idle reports whether the rollout has no worker cordoned or loading weights.
//
// Example: if r.Idle() { slowDown() }
func (r *Rollout) Idle() bool { return len(r.loads) == 0 }

// nextVersion returns the model whose weights a worker should load next, and the target version of that model. The
// model is empty if the worker needs no update.
func nextVersion(worker fleet.Worker, inputs RolloutInputs) (model string, version uint64) {
	if worker.Draining || !inputs.UpdatedServices[worker.Service] {
		return "", 0
	}
	for _, model := range maputil.SortedKeys(worker.Weights) {
		if target := inputs.TargetVersions[model]; target > worker.Weights[model] {
			return model, target
		}
	}
	return "", 0
}

// Step advances the rollout and returns the calls to make and the workers to cordon now.
//
// Example: actions := r.Step(inputs)
func (r *Rollout) Step(inputs RolloutInputs) RolloutActions {
	actions := RolloutActions{Cordoned: map[string][]string{}}
	listed := make(map[string]fleet.Worker, len(inputs.Workers))
	byService := map[string][]fleet.Worker{}
	for _, worker := range inputs.Workers {
		listed[worker.ID] = worker
		if inputs.UpdatedServices[worker.Service] && !worker.Draining && len(worker.Weights) > 0 {
			byService[worker.Service] = append(byService[worker.Service], worker)
		}
	}
	r.pruneLoads(inputs, listed)
	for _, service := range maputil.SortedKeys(byService) {
		r.stepService(inputs, byService[service], &actions)
	}
	r.collectLoads(inputs.Now, &actions)
	return actions
}

// collectLoads adds every worker that has a load to the cordoned workers in actions, and adds the report requests that
// are due.
func (r *Rollout) collectLoads(now time.Duration, actions *RolloutActions) {
	for _, id := range maputil.SortedKeys(r.loads) {
		load := r.loads[id]
		service := load.worker.Service
		actions.Cordoned[service] = append(actions.Cordoned[service], id)
		if (load.stage == stageLoading || load.stage == stageUnknown) && !load.callInFlight && now >= load.nextReportAt {
			load.callInFlight, load.reportRequestedAt = true, now
			actions.Reports = append(actions.Reports, load.worker)
		}
	}
}

// pruneLoads removes loads that have ended or become obsolete, as well as the state kept for workers that have
// left or need no update.
func (r *Rollout) pruneLoads(inputs RolloutInputs, listed map[string]fleet.Worker) {
	for id, load := range r.loads {
		worker, ok := listed[id]
		model, version := nextVersion(worker, inputs)
		switch {
		case !ok || model == "":
			r.dropLoad(id)
		case load.stage == stageCordoned && !r.cordonDue(inputs, worker):
			delete(r.loads, id) // uncordons the worker, which can serve requests until shortly before it may be ordered to load weights
		case load.stage == stageCordoned:
			load.worker, load.model, load.version = worker, model, version // the target version may have increased since the load was created
		default:
			load.worker = worker
		}
	}
	for id := range r.retryAt {
		if _, ok := listed[id]; !ok {
			delete(r.retryAt, id)
		}
	}
	for id := range r.possiblyOrdered {
		// The entry of a worker that is missing from the worker list is kept, since the worker may be listed again.
		if worker, ok := listed[id]; ok {
			if model, _ := nextVersion(worker, inputs); model == "" {
				delete(r.possiblyOrdered, id)
			}
		}
	}
}

// earliestOrder returns the earliest time at which this lease holder may send its first order to a worker. A
// worker may be ordered immediately if it cannot have received an order from a previous holder. That is the case
// if it serves only version 1 of its models, so that no order has been executed, and is not cordoned in the
// stored placement that was read on takeover, since a holder cordons each worker there before ordering it.
func (r *Rollout) earliestOrder(inputs RolloutInputs, worker fleet.Worker) time.Duration {
	if r.previouslyCordoned[worker.ID] {
		return inputs.EarliestOrder
	}
	for _, version := range worker.Weights {
		if version > 1 {
			return inputs.EarliestOrder
		}
	}
	return 0
}

// cordonDue reports whether a worker may be cordoned now. That is from the time of its earliest order, less the time
// that proxies need to learn that it is cordoned (cordonLeadRatio).
func (r *Rollout) cordonDue(inputs RolloutInputs, worker fleet.Worker) bool {
	return inputs.Now >= r.earliestOrder(inputs, worker)-r.bounds.Leave(cordonLeadRatio)
}

// ConfirmCordoned records that a written placement cordons the workers with the given IDs.
//
// Example: r.ConfirmCordoned(ids, now)
func (r *Rollout) ConfirmCordoned(ids []string, now time.Duration) {
	for _, id := range ids {
		if load := r.loads[id]; load != nil && load.cordonedAt < 0 {
			load.cordonedAt = now
		}
	}
}

// HandleOrderOutcome applies the outcome of an order. It returns the version of the order if the worker responded
// that it already serves it, and else zero.
//
// Example: version := r.HandleOrderOutcome(order, backend.OutcomeStarted, now)
func (r *Rollout) HandleOrderOutcome(order Order, outcome backend.Outcome, now time.Duration) uint64 {
	load := r.loads[order.Worker.ID]
	if load == nil || load.stage != stageOrdered || load.version != order.Version || load.model != order.Model {
		return 0 // the worker has left the list, or its load has been dropped or replaced
	}
	reportInterval := r.bounds.Leave(reportIntervalRatio)
	load.callInFlight = false
	switch outcome {
	case backend.OutcomeStarted:
		expected := time.Duration(float64(r.shortestLoad[load.model]) * firstReportRatio)
		load.stage, load.startConfirmed = stageLoading, true
		load.nextReportAt = load.startedAt + max(reportInterval, expected)
	case backend.OutcomeBusy: // the worker is executing another order, or has accepted one that order.Sequence does not count
		load.stage, load.startedAt, load.nextReportAt = stageLoading, now, now+reportInterval
	case backend.OutcomeUnknown: // the worker may have accepted the order
		load.stage, load.nextReportAt = stageUnknown, now+reportInterval
	case backend.OutcomeAlreadyDone:
		r.dropLoad(order.Worker.ID)
		return order.Version
	default: // the worker rejected the order
		r.scheduleRetry(load, now)
		delete(r.possiblyOrdered, order.Worker.ID)
	}
	return 0
}

// HandleUnsentOrder ends the load of an order that Step returned but the caller did not send.
//
// Example: r.HandleUnsentOrder(order)
func (r *Rollout) HandleUnsentOrder(order Order) {
	if load := r.loads[order.Worker.ID]; load != nil && load.stage == stageOrdered && load.version == order.Version {
		r.dropLoad(order.Worker.ID)
	}
}

// dropLoad ends the load of a worker, and removes the worker from those that may still execute an order.
func (r *Rollout) dropLoad(id string) {
	delete(r.loads, id)
	delete(r.possiblyOrdered, id)
}

// scheduleRetry ends a failed load and sets the time from which a new load of the same worker may begin.
func (r *Rollout) scheduleRetry(load *weightLoad, now time.Duration) {
	delete(r.loads, load.worker.ID)
	r.retryAt[load.worker.ID] = now + r.bounds.Weights(loadRetryRatio)
}

// HandleReport applies a worker's response to a report request; ok is false if there was no response. If the
// report shows that the worker has loaded the version it was ordered to load, or a newer one, HandleReport
// returns the model and that version, and else version zero.
//
// Example: model, version := r.HandleReport("i-7f3a", report, err == nil, now)
func (r *Rollout) HandleReport(id string, report backend.Report, ok bool, now time.Duration) (model string, version uint64) {
	load := r.loads[id]
	if load == nil || !load.callInFlight || load.stage != stageLoading && load.stage != stageUnknown {
		return "", 0
	}
	load.callInFlight, load.nextReportAt = false, now+r.bounds.Leave(reportIntervalRatio)
	if !ok {
		if load.missedReports++; load.missedReports >= maxMissedReports {
			r.scheduleRetry(load, now) // the worker stays in possiblyOrdered, because its order may still take effect
		}
		return "", 0
	}
	load.missedReports, load.reportedSequence = 0, &report.Sequence
	reported := report.Weights[load.model]
	switch {
	case reported >= load.version:
		r.measureLoad(load, now)
		delete(r.possiblyOrdered, id)
		load.stage = stageCordoned // the next step ends the load or orders the worker to load a newer version
		return load.model, reported
	case report.Busy:
		load.stage = stageLoading
	case load.reportRequestedAt-load.startedAt >= r.bounds.Leave(maxReportAgeRatio):
		// The report shows a worker that is not loading weights. It is recent enough that it would show a load started
		// by the order, so the worker did not accept the order.
		delete(r.possiblyOrdered, id)
		load.stage = stageCordoned
	}
	return "", 0
}

// measureLoad updates shortestLoad with the duration of a load that ended now, if the worker confirmed its start.
func (r *Rollout) measureLoad(load *weightLoad, now time.Duration) {
	shortest := r.shortestLoad[load.model]
	if duration := now - load.startedAt; load.startConfirmed && (shortest == 0 || duration < shortest) {
		r.shortestLoad[load.model] = duration
	}
}
