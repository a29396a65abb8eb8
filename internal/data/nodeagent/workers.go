package nodeagent

import (
	"context"
	"maps"
	"slices"
	"time"

	"pebbleloom/internal/contract"
	"pebbleloom/internal/data/updatestream"
	"pebbleloom/internal/maputil"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

const (
	// maxWorkers limits the number of workers in a WorkerTable; further workers in the platform's list are ignored.
	maxWorkers = 1024
	// maxProbeAgeRatio is the time since the start of the last successful probe of a worker after which the worker gets
	// no more requests, as a ratio of the bound on how long a removed worker still gets requests (Bounds.Leave).
	maxProbeAgeRatio = 0.6
)

// refreshWorkers requests the platform's list of workers and applies it to the worker table. If the request fails, the
// previous list stays in use.
func (a *Agent) refreshWorkers() {
	requestedAt := a.clock.Now()
	ctx, cancel := context.WithTimeout(a.process.Ctx, a.process.Settings.Bounds.Leave(listTimeoutRatio))
	defer cancel()
	list, err := a.backends.List(ctx, a.process.Settings.WorkerList)
	if err != nil {
		a.process.Log.Debug("cannot read the platform's worker list; keeping the previous list", "error", err)
		return
	}
	a.actor.TrySend(func(s *agentState) { s.workers.ApplyList(list, requestedAt); a.publishWorkers(s) })
}

// probeWorkers starts a health probe of each worker that has none in flight. A probe ends at its timeout at the latest,
// or when the process stops.
func (a *Agent) probeWorkers() {
	var due []contract.ListedWorker
	a.actor.Ask(func(s *agentState) { due = s.workers.StartProbes() })
	for _, worker := range due {
		go func() {
			startedAt := a.clock.Now()
			ctx, cancel := context.WithTimeout(a.process.Ctx, a.process.Settings.Bounds.Leave(probeTimeoutRatio))
			defer cancel()
			state, err := a.backends.State(ctx, worker.Addr)
			a.actor.Ask(func(s *agentState) { s.workers.RecordProbe(worker, state, err == nil, startedAt, a.clock.Now()) })
		}()
	}
	a.actor.TrySend(a.publishWorkers)
}

// publishWorkers replaces the rows that are sent in updates by the current state of the worker table. It wakes the
// requests that wait for an update, unless only the loads and recent outcomes of workers have changed.
func (a *Agent) publishWorkers(state *agentState) {
	var draining map[string]bool
	if state.config != nil {
		draining = state.config.Draining
	}
	rows := state.workers.Rows(draining, a.clock.Now())
	for _, row := range rows {
		if outcomes := state.outcomes[row.Name]; outcomes != nil {
			outcomes.decay(a.clock.Now(), a.process.Settings.Bounds.Recovery(outcomeDecayRatio))
			row.Successes, row.Failures = outcomes.succeeded, outcomes.failed
		}
	}
	isSame := slices.EqualFunc(rows, state.rows, isSameExceptLoad)
	state.rows = rows
	state.listsVersion++
	if !isSame {
		state.notifyWaiters()
	}
}

// isSameExceptLoad reports whether two rows have the same worker name, address, health state, incarnation, models and
// versions of the weights. It ignores the load and the recent outcomes of the worker.
func isSameExceptLoad(a, b *wire.Worker) bool {
	return a.Name == b.Name && a.Addr == b.Addr && a.State == b.State && a.Weights == b.Weights &&
		a.Incarnation == b.Incarnation && a.Model == b.Model && slices.EqualFunc(a.LoadedModels, b.LoadedModels, isSameLoadedModel)
}

// isSameLoadedModel reports whether two loaded models have the same name, version of weights and adapters.
func isSameLoadedModel(a, b *wire.LoadedModel) bool {
	return a.Model == b.Model && a.Weights == b.Weights && maps.Equal(a.Adapters, b.Adapters)
}

// WorkerTable tracks the health of the workers in the platform's list by health probes and by failed attempts of the
// proxy on this machine. It is not safe for concurrent use.
type WorkerTable struct {
	bounds settings.Bounds
	// workers has the state of each listed worker, by the name of the worker.
	workers map[string]*worker
	// listedAt is the time at which the platform's list that was applied last was requested.
	listedAt time.Duration
}

// worker is the state of one worker in the platform's list.
type worker struct {
	listed contract.ListedWorker
	// state is what the worker reported in response to its last successful probe.
	state contract.WorkerState
	// probedAt is the time at which the last successful probe of the worker was started; 0 if there was none.
	probedAt time.Duration
	// respondedAt is the time at which the worker's response to its last successful probe was received.
	respondedAt time.Duration
	// failedAt is the time of the last failed probe of the worker or failed attempt of the proxy at it.
	failedAt time.Duration
	// isProbing is true while a probe of the worker is in flight.
	isProbing bool
}

// NewWorkerTable returns a table without workers.
//
// Example: w := nodeagent.NewWorkerTable(bounds)
func NewWorkerTable(bounds settings.Bounds) *WorkerTable {
	return &WorkerTable{bounds: bounds, workers: map[string]*worker{}}
}

// ApplyList applies the platform's list of workers, which was requested at requestedAt. Workers that are not in the
// list are removed at once. A worker whose address has changed counts as a new one whose health is not known yet.
//
// Example: w.ApplyList(list, requestedAt)
func (workers *WorkerTable) ApplyList(list []contract.ListedWorker, requestedAt time.Duration) {
	workers.listedAt = requestedAt
	isListed := map[string]bool{}
	for _, listed := range list {
		if len(isListed) >= maxWorkers {
			break
		}
		isListed[listed.Name] = true
		known := workers.workers[listed.Name]
		if known == nil || known.listed.Addr != listed.Addr {
			known = &worker{}
			workers.workers[listed.Name] = known
		}
		known.listed = listed
	}
	for name := range workers.workers {
		if !isListed[name] {
			delete(workers.workers, name)
		}
	}
}

// StartProbes returns the workers that have no probe in flight, and records that the caller probes them now.
//
// Example: for _, worker := range w.StartProbes() { go probe(worker) }
func (workers *WorkerTable) StartProbes() (due []contract.ListedWorker) {
	for _, name := range maputil.SortedKeys(workers.workers) {
		if known := workers.workers[name]; !known.isProbing {
			known.isProbing = true
			due = append(due, known.listed)
		}
	}
	return due
}

// RecordProbe records the result of a health probe of a worker that was started at startedAt and ended now. A response
// from a different worker at the same address counts as a failure.
//
// Example: w.RecordProbe(worker, state, err == nil, startedAt, now)
func (workers *WorkerTable) RecordProbe(probed contract.ListedWorker, state contract.WorkerState, succeeded bool, startedAt, now time.Duration) {
	known := workers.workers[probed.Name]
	if known == nil || known.listed.Addr != probed.Addr {
		return
	}
	known.isProbing = false
	if succeeded && state.Name == probed.Name {
		known.state, known.probedAt, known.respondedAt = state, startedAt, now
		return
	}
	known.failedAt = now
}

// RecordAttempts records, as of now, the workers at which attempts of the proxy on this machine have failed.
//
// Example: w.RecordAttempts(reports, now)
func (workers *WorkerTable) RecordAttempts(reports []*wire.AttemptReport, now time.Duration) {
	for _, report := range reports {
		if known := workers.workers[report.Worker]; known != nil && report.Failures > 0 {
			known.failedAt = now
		}
	}
}

// Rows returns the workers as they are sent in updates to the processes on this machine, sorted by name. draining has
// the names of the workers that are marked as draining in the configuration.
//
// Example: rows := w.Rows(config.Draining, now)
func (workers *WorkerTable) Rows(draining map[string]bool, now time.Duration) (rows []*wire.Worker) {
	for _, name := range maputil.SortedKeys(workers.workers) {
		known := workers.workers[name]
		state := known.state
		rows = append(rows, &wire.Worker{Name: name, Addr: known.listed.Addr, Service: known.listed.Service, Model: state.Model, Zone: known.listed.Zone,
			Incarnation: state.Incarnation, State: workers.health(known, draining[name], now), Weights: state.Weights, Slots: uint32(state.Slots), Busy: uint32(state.Busy),
			Queued: uint32(state.Queued), Kind: known.listed.Kind, KvCapacity: uint64(state.KVCapacity),
			ClockNs: uint64(state.ClockUs) * 1000, ClockReadAt: uint64(known.respondedAt), LoadedModels: loadedModels(state)})
	}
	return rows
}

// health returns the health state of a worker that is sent in updates. A worker that was never probed successfully, or
// not within maxProbeAgeRatio, as in a network partition, is WorkerGone and gets no requests.
func (workers *WorkerTable) health(known *worker, isDrained bool, now time.Duration) uint32 {
	switch {
	case known.probedAt == 0 || now-known.probedAt > workers.bounds.Leave(maxProbeAgeRatio):
		return updatestream.WorkerGone
	case known.listed.Draining || known.state.Draining || isDrained:
		return updatestream.WorkerDraining
	case known.failedAt > known.probedAt:
		return updatestream.WorkerSuspect
	}
	return updatestream.WorkerUp
}

// loadedModels returns the list of models that a worker reports to have in memory; nil if the worker reports no such
// list, but only a single model.
func loadedModels(state contract.WorkerState) (models []*wire.LoadedModel) {
	for _, loaded := range state.Loaded {
		models = append(models, &wire.LoadedModel{Model: loaded.Model, Weights: loaded.Weights, Adapters: loaded.Adapters})
	}
	return models
}
