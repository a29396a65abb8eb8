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
	// Fractions of Bounds.Leave.
	cordonLeadRatio     = 1.0 / 15 // delay between cordoning a worker and its order, in which proxies learn that it is cordoned
	reportIntervalRatio = 1.0 / 20 // interval between report requests to a worker
	maxReportAgeRatio   = 1.0 / 3  // maximum age of the state that a worker's report shows

	// Fractions of Bounds.Weights.
	initialLoadRatio = 1.0 / 10 // assumed duration of a load before one has been measured
	slowLoadRatio    = 1.0 / 4  // a load that takes longer no longer counts toward the concurrency limit
	loadRetryRatio   = 1.0 / 8  // delay before a failed load is retried

	firstReportRatio = 0.7 // fraction of the shortest measured load after which the first report is requested
	maxMissedReports = 3   // consecutive report requests without a response after which the load is retried later
)

// notCordonedYet is the value of cordonedAt until a written placement cordons the worker.
const notCordonedYet = time.Duration(-1)

// loadStage is the state of a worker's load. The transitions are:
//
//	cordoned -> ordered: the order was sent
//	ordered  -> loading: the order was accepted, or the worker is executing another order
//	ordered  -> unknown: there was no response; reports will show whether the order was accepted
//	unknown  -> loading: a report shows a load in progress
//	loading, unknown -> cordoned: a report shows the new version, or that the order was not accepted
//
// The load ends when the worker serves the named version or leaves the worker list. It also ends when the
// order is rejected or too many consecutive reports are missed; it is then retried after a delay.
type loadStage int

const (
	stageCordoned loadStage = iota // the worker is, or is about to be, cordoned and waits for an order
	stageOrdered                   // the call that sends the order is in flight
	stageLoading                   // the worker accepted the order, or is executing another one
	stageUnknown                   // it is unknown whether the worker accepted the order
)

// weightLoad is the update of one worker to one version of a model's weights.
type weightLoad struct {
	worker            fleet.Worker
	model             string
	version           uint64
	stage             loadStage
	cordonedAt        time.Duration // when a written placement cordoned the worker, or notCordonedYet
	startedAt         time.Duration // when the order was sent, or its outcome became unknown
	nextReportAt      time.Duration // when the next report is due
	reportRequestedAt time.Duration // when the report in flight was requested
	callInFlight      bool          // an order or a report request is in flight
	startConfirmed    bool          // the worker confirmed the start of the load, so its duration can be measured
	missedReports     int           // consecutive report requests without a response
	reportedSequence  *uint64       // orders that the worker had accepted as of its last report; nil before the first report
}

// Order instructs a worker to load a version of a model's weights.
type Order struct {
	Worker   fleet.Worker
	Model    string
	Version  uint64
	Sequence *uint64 // the worker rejects the order unless it has accepted this many so far; nil: no check
}

// RolloutActions are the actions requested by Rollout.Step. The caller performs them and passes the results
// to HandleOrderOutcome, HandleUnsentOrder, HandleReport and ConfirmCordoned.
type RolloutActions struct {
	Orders   []Order
	Reports  []fleet.Worker      // workers to request a report from
	Cordoned map[string][]string // sorted IDs of the workers to cordon, by service
}

// RolloutInputs are the inputs of Rollout.Step. Points in time are readings of the process's clock.
type RolloutInputs struct {
	Now             time.Duration
	Workers         []fleet.Worker
	NamedVersions   map[string]uint64        // version that workers should serve, by model
	NamedAt         map[string]time.Duration // time since which the rollout is due, by model
	UpdatedServices map[string]bool          // services whose workers are to be updated
	EarliestOrder   time.Duration            // earliest order to a worker to which a previous lease holder may have sent one
}

// Rollout updates workers to the named versions of their weights, several at a time. Each worker is first
// cordoned, so that proxies send it no new requests, then ordered to load the weights, and polled until it
// serves them. While some workers load, the next ones are cordoned. Rollout makes no calls itself: Step
// returns the actions to perform.
type Rollout struct {
	bounds             settings.Bounds
	loads              map[string]*weightLoad   // by worker ID
	retryAt            map[string]time.Duration // earliest retry of a failed load, by worker ID
	possiblyOrdered    map[string]bool          // IDs of workers that may have received an order
	previouslyCordoned map[string]bool          // IDs of workers that a previous lease holder had cordoned
	shortestLoad       map[string]time.Duration // shortest measured duration of a load, by model
	concurrency        map[string]int           // highest limit on concurrent loads in this rollout, by service
}

// NewRollout returns a rollout. cordoned holds the IDs of the workers that a previous lease holder had cordoned;
// each of them may have received an order.
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

// Idle reports whether no worker is cordoned or loading.
//
// Example: if r.Idle() { slowDown() }
func (r *Rollout) Idle() bool { return len(r.loads) == 0 }

// nextVersion returns the model and version that a worker should load next; the model is empty if the worker
// needs no update.
func nextVersion(worker fleet.Worker, inputs RolloutInputs) (model string, version uint64) {
	if worker.Draining || !inputs.UpdatedServices[worker.Service] {
		return "", 0
	}
	for _, model := range maputil.SortedKeys(worker.Weights) {
		if named := inputs.NamedVersions[model]; named > worker.Weights[model] {
			return model, named
		}
	}
	return "", 0
}

// Step advances the rollout and returns the actions to perform now.
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

// collectLoads adds the workers to cordon and the report requests that are due to actions.
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
			delete(r.loads, id) // the worker continues to serve until shortly before an order may be sent
		case load.stage == stageCordoned:
			load.worker, load.model, load.version = worker, model, version // a newer version may have been named
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
		// The entry of a worker that is not listed is kept, since the worker may be listed again.
		if worker, ok := listed[id]; ok {
			if model, _ := nextVersion(worker, inputs); model == "" {
				delete(r.possiblyOrdered, id)
			}
		}
	}
}

// earliestOrder returns the earliest time at which this lease holder may send its first order to a worker.
// Previous holders cordoned each worker in the stored placement, which is read on takeover, before they sent
// it an order. A worker that is not cordoned there and serves only first versions has not received an order
// from them, and may be ordered immediately.
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

// cordonDue reports whether a worker may be cordoned, which is the case cordonLeadRatio before its earliest
// order.
func (r *Rollout) cordonDue(inputs RolloutInputs, worker fleet.Worker) bool {
	return inputs.Now >= r.earliestOrder(inputs, worker)-r.bounds.Leave(cordonLeadRatio)
}

// ConfirmCordoned records that a written placement cordons the workers with these IDs.
//
// Example: r.ConfirmCordoned(ids, now)
func (r *Rollout) ConfirmCordoned(ids []string, now time.Duration) {
	for _, id := range ids {
		if load := r.loads[id]; load != nil && load.cordonedAt < 0 {
			load.cordonedAt = now
		}
	}
}

// HandleOrderOutcome applies the outcome of an order. It returns the version that the worker is known to
// serve as a result; zero if unknown.
//
// Example: version := r.HandleOrderOutcome(order, backend.OutcomeStarted, now)
func (r *Rollout) HandleOrderOutcome(order Order, outcome backend.Outcome, now time.Duration) uint64 {
	load := r.loads[order.Worker.ID]
	if load == nil || load.stage != stageOrdered || load.version != order.Version || load.model != order.Model {
		return 0 // the worker has left, or the load has become obsolete
	}
	reportInterval := r.bounds.Leave(reportIntervalRatio)
	load.callInFlight = false
	switch outcome {
	case backend.OutcomeStarted:
		expected := time.Duration(float64(r.shortestLoad[load.model]) * firstReportRatio)
		load.stage, load.startConfirmed = stageLoading, true
		load.nextReportAt = load.startedAt + max(reportInterval, expected)
	case backend.OutcomeBusy: // the worker is executing another order, of this or a previous holder
		load.stage, load.startedAt, load.nextReportAt = stageLoading, now, now+reportInterval
	case backend.OutcomeUnknown: // the worker may have accepted the order
		load.stage, load.nextReportAt = stageUnknown, now+reportInterval
	case backend.OutcomeAlreadyDone:
		r.dropLoad(order.Worker.ID)
		return order.Version
	default: // the worker did not accept the order
		r.scheduleRetry(load, now)
		delete(r.possiblyOrdered, order.Worker.ID)
	}
	return 0
}

// HandleUnsentOrder ends the load of an order that was never sent.
//
// Example: r.HandleUnsentOrder(order)
func (r *Rollout) HandleUnsentOrder(order Order) {
	if load := r.loads[order.Worker.ID]; load != nil && load.stage == stageOrdered && load.version == order.Version {
		r.dropLoad(order.Worker.ID)
	}
}

// dropLoad ends a load whose worker has no order left to execute.
func (r *Rollout) dropLoad(id string) {
	delete(r.loads, id)
	delete(r.possiblyOrdered, id)
}

// scheduleRetry ends a failed load and sets the time after which the worker is tried again.
func (r *Rollout) scheduleRetry(load *weightLoad, now time.Duration) {
	delete(r.loads, load.worker.ID)
	r.retryAt[load.worker.ID] = now + r.bounds.Weights(loadRetryRatio)
}

// HandleReport applies a worker's response to a report request; ok is false if there was no response. It
// returns the model and the version that the worker newly serves; the version is zero if nothing changed.
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
			r.scheduleRetry(load, now) // the outcome of its order remains unknown
		}
		return "", 0
	}
	load.missedReports, load.reportedSequence = 0, &report.Sequence
	reported := report.Weights[load.model]
	switch {
	case reported >= load.version:
		r.measureLoad(load, now)
		delete(r.possiblyOrdered, id)
		load.stage = stageCordoned // the next step ends the load or orders a newer version
		return load.model, reported
	case report.Busy:
		load.stage = stageLoading
	case load.reportRequestedAt-load.startedAt >= r.bounds.Leave(maxReportAgeRatio):
		// A load in progress would be visible in the report by now, so the order was not accepted.
		delete(r.possiblyOrdered, id)
		load.stage = stageCordoned
	}
	return "", 0
}

// measureLoad updates shortestLoad with the duration of a load, if its start was confirmed.
func (r *Rollout) measureLoad(load *weightLoad, now time.Duration) {
	shortest := r.shortestLoad[load.model]
	if duration := now - load.startedAt; load.startConfirmed && (shortest == 0 || duration < shortest) {
		r.shortestLoad[load.model] = duration
	}
}
