package controllers

import (
	"time"

	"pebbleloom/internal/data/backend"
	"pebbleloom/internal/fleet"
	"pebbleloom/internal/maputil"
	"pebbleloom/internal/settings"
)

// Timing of one worker's load.
const (
	// Ratios of the leave bound.
	cordonLeadRatio     = 1.0 / 15 // from cordoning a worker to its order: proxies learn of it in between
	reportIntervalRatio = 1.0 / 20 // between two reports of a worker
	maxReportAgeRatio   = 1.0 / 3  // a worker's report may be this old

	// Ratios of the weights bound.
	initialLoadRatio = 1.0 / 10 // assumed duration of a load until one was measured
	slowLoadRatio    = 1.0 / 4  // a longer load no longer delays others
	loadRetryRatio   = 1.0 / 8  // before a failed worker is retried

	firstReportRatio = 0.7 // of the shortest measured load: when the first report is requested
	maxMissedReports = 3   // consecutive reports without a response before the worker is retried later
)

// notYet is a cordonedAt before the written placement cordons the worker.
const notYet = time.Duration(-1)

// loadStage is how far a worker's load has come:
//
//	cordoned -> ordered: the order is sent
//	ordered  -> loading: accepted, or another order is running
//	ordered  -> unknown: no response; reports show whether the order was accepted
//	unknown  -> loading: a report shows a load in progress
//	loading, unknown -> cordoned: a report shows the version, or that the order was not accepted
//
// The load ends once the worker has the named version, or leaves. It also ends when the order is rejected or
// too many reports in a row are missed; then the worker is retried later.
type loadStage int

const (
	stageCordoned loadStage = iota // proxies are to send it no new requests
	stageOrdered                   // the order's call is in flight
	stageLoading                   // the order was accepted, or another one is running
	stageUnknown                   // whether the order was accepted is unknown
)

// weightLoad brings one worker to one version.
type weightLoad struct {
	worker            fleet.Worker
	model             string
	version           uint64
	stage             loadStage
	cordonedAt        time.Duration // when the written placement first cordoned it; notYet before
	startedAt         time.Duration // when the order was sent, or its outcome became unknown
	nextReportAt      time.Duration // when the next report is due
	reportRequestedAt time.Duration // when the report in flight was requested
	callInFlight      bool
	startConfirmed    bool // the worker confirmed the start: its duration can be measured
	missedReports     int
	reportedSequence  *uint64 // orders that the worker had accepted at its last report; nil: none was requested yet
}

// Order is an order to send to a worker.
type Order struct {
	Worker   fleet.Worker
	Model    string
	Version  uint64
	Sequence *uint64 // orders that the worker must have accepted so far; nil: any number
}

// RolloutActions are the actions that a step asks for. The caller performs them and passes their results
// to HandleOrderOutcome, HandleUnsentOrder, HandleReport and ConfirmCordoned.
type RolloutActions struct {
	Orders   []Order
	Reports  []fleet.Worker      // workers to request a report from
	Cordoned map[string][]string // by service: the IDs of the workers to cordon, sorted
}

// RolloutInputs are the inputs of a step. Instants are readings of the process's clock.
type RolloutInputs struct {
	Now             time.Duration
	Workers         []fleet.Worker
	NamedVersions   map[string]uint64        // by model: the desired version
	NamedAt         map[string]time.Duration // by model: when the rollout became due
	UpdatedServices map[string]bool          // the services whose workers are updated
	EarliestOrder   time.Duration            // for workers that a past holder may have sent an order lately
}

// Rollout brings workers to the named versions of their weights, several at once: each is first
// cordoned, so that proxies send it no new requests; then it gets an order, and is polled until it
// serves the weights. While some load, the next are cordoned. Rollout only decides; it makes no calls.
type Rollout struct {
	bounds             settings.Bounds
	loads              map[string]*weightLoad   // by worker
	retryAt            map[string]time.Duration // by failed worker: no earlier retry
	possiblyOrdered    map[string]bool          // workers that may have received an order
	previouslyCordoned map[string]bool          // workers that a past holder had cordoned
	shortestLoad       map[string]time.Duration // by model: the shortest measured load
	concurrency        map[string]int           // by service: concurrent loads in this rollout
}

// NewRollout returns a rollout that resumes from the workers that a past holder cordoned: each of those
// may have received an order.
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

// Idle reports whether no worker is out of service for a load.
//
// Example: if r.Idle() { slowDown() }
func (r *Rollout) Idle() bool { return len(r.loads) == 0 }

// nextVersion returns the model and version that a worker is to load next; "" if it is up to date.
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

// Step returns the actions that are due now.
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

// collectLoads adds the workers to cordon and the reports that are due.
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

// pruneLoads drops the loads that have ended or become obsolete, and what is remembered of workers that
// have left or need no load.
func (r *Rollout) pruneLoads(inputs RolloutInputs, listed map[string]fleet.Worker) {
	for id, load := range r.loads {
		worker, ok := listed[id]
		model, version := nextVersion(worker, inputs)
		switch {
		case !ok || model == "":
			r.forgetLoad(id)
		case load.stage == stageCordoned && !r.cordonDue(inputs, worker):
			delete(r.loads, id) // it keeps serving until an order may be sent
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
		// A worker that isn't listed keeps its entry: it may be listed again.
		if worker, ok := listed[id]; ok {
			if model, _ := nextVersion(worker, inputs); model == "" {
				delete(r.possiblyOrdered, id)
			}
		}
	}
}

// earliestOrder is the earliest instant for this holder's first order to a worker. A past holder
// cordoned each worker before it sent an order, in a document that is read on takeover: a worker that
// isn't in it, and never had weights newer than its first, had no order lately and needn't wait.
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

// cordonDue reports whether a worker may be cordoned: shortly before its order may be sent.
func (r *Rollout) cordonDue(inputs RolloutInputs, worker fleet.Worker) bool {
	return inputs.Now >= r.earliestOrder(inputs, worker)-r.bounds.Leave(cordonLeadRatio)
}

// ConfirmCordoned records that the written placement cordons these workers.
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
// have; zero if unknown.
//
// Example: version := r.HandleOrderOutcome(order, backend.OutcomeStarted, now)
func (r *Rollout) HandleOrderOutcome(order Order, outcome backend.Outcome, now time.Duration) uint64 {
	load := r.loads[order.Worker.ID]
	if load == nil || load.stage != stageOrdered || load.version != order.Version || load.model != order.Model {
		return 0 // the worker left, or the load became obsolete
	}
	reportInterval := r.bounds.Leave(reportIntervalRatio)
	load.callInFlight = false
	switch outcome {
	case backend.OutcomeStarted:
		expected := time.Duration(float64(r.shortestLoad[load.model]) * firstReportRatio)
		load.stage, load.startConfirmed = stageLoading, true
		load.nextReportAt = load.startedAt + max(reportInterval, expected)
	case backend.OutcomeBusy: // another order of this holder or a past one is running
		load.stage, load.startedAt, load.nextReportAt = stageLoading, now, now+reportInterval
	case backend.OutcomeUnknown: // it may have been accepted
		load.stage, load.nextReportAt = stageUnknown, now+reportInterval
	case backend.OutcomeAlreadyDone:
		r.forgetLoad(order.Worker.ID)
		return order.Version
	default: // it was not accepted
		r.scheduleRetry(load, now)
		delete(r.possiblyOrdered, order.Worker.ID)
	}
	return 0
}

// HandleUnsentOrder cancels an order that was never sent.
//
// Example: r.HandleUnsentOrder(order)
func (r *Rollout) HandleUnsentOrder(order Order) {
	if load := r.loads[order.Worker.ID]; load != nil && load.stage == stageOrdered && load.version == order.Version {
		r.forgetLoad(order.Worker.ID)
	}
}

// forgetLoad ends a load of a worker that has certainly no order left to carry out.
func (r *Rollout) forgetLoad(id string) {
	delete(r.loads, id)
	delete(r.possiblyOrdered, id)
}

// scheduleRetry ends a load that has failed; the worker gets another one later.
func (r *Rollout) scheduleRetry(load *weightLoad, now time.Duration) {
	delete(r.loads, load.worker.ID)
	r.retryAt[load.worker.ID] = now + r.bounds.Weights(loadRetryRatio)
}

// HandleReport applies a worker's report; ok is false if there was none. It returns the model and the
// version that the worker is known to have; zero if nothing is new.
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
			r.scheduleRetry(load, now) // its order's outcome stays unknown
		}
		return "", 0
	}
	load.missedReports, load.reportedSequence = 0, &report.Sequence
	reported := report.Weights[load.model]
	switch {
	case reported >= load.version:
		r.measureLoad(load, now)
		delete(r.possiblyOrdered, id)
		load.stage = stageCordoned // the next step drops it, or orders a newer version
		return load.model, reported
	case report.Busy:
		load.stage = stageLoading
	case load.reportRequestedAt-load.startedAt >= r.bounds.Leave(maxReportAgeRatio):
		// A started load would show by now: the order was not accepted.
		delete(r.possiblyOrdered, id)
		load.stage = stageCordoned
	}
	return "", 0
}

// measureLoad records the duration of a load whose start was confirmed.
func (r *Rollout) measureLoad(load *weightLoad, now time.Duration) {
	shortest := r.shortestLoad[load.model]
	if duration := now - load.startedAt; load.startConfirmed && (shortest == 0 || duration < shortest) {
		r.shortestLoad[load.model] = duration
	}
}
