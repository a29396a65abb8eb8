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
	maxWorkers = 1024
	// maxProbeAgeRatio is the time since its last successful probe from which a worker gets no requests, as a
	// ratio of the leave bound.
	maxProbeAgeRatio = 0.6
)

// refreshWorkers applies the platform's list of workers; without a response the last list stays.
func (a *Agent) refreshWorkers() {
	requestedAt := a.clock.Now()
	ctx, cancel := context.WithTimeout(a.process.Ctx, a.process.Settings.Bounds.Leave(listTimeoutRatio))
	defer cancel()
	list, err := a.backends.List(ctx, a.process.Settings.WorkerList)
	if err != nil {
		a.process.Log.Debug("platform doesn't respond: the last list stays", "error", err)
		return
	}
	a.actor.TrySend(func(t *table) { t.workers.ApplyList(list, requestedAt); a.publishWorkers(t) })
}

// probeWorkers starts a health check of each worker without one in flight. A probe ends with its timeout,
// which the process's end cuts short.
func (a *Agent) probeWorkers() {
	var due []contract.ListedWorker
	a.actor.Ask(func(t *table) { due = t.workers.StartProbes() })
	for _, worker := range due {
		go func() {
			startedAt := a.clock.Now()
			ctx, cancel := context.WithTimeout(a.process.Ctx, a.process.Settings.Bounds.Leave(probeTimeoutRatio))
			defer cancel()
			state, err := a.backends.State(ctx, worker.Addr)
			a.actor.Ask(func(t *table) { t.workers.RecordProbe(worker, state, err == nil, startedAt, a.clock.Now()) })
		}()
	}
	a.actor.TrySend(a.publishWorkers)
}

// publishWorkers makes new rows of the worker table, and wakes the waiting requests unless only loads have
// changed.
func (a *Agent) publishWorkers(t *table) {
	var draining map[string]bool
	if t.config != nil {
		draining = t.config.Draining
	}
	rows := t.workers.Rows(draining, a.clock.Now())
	for _, row := range rows {
		if outcomes := t.outcomes[row.Name]; outcomes != nil {
			outcomes.decay(a.clock.Now(), a.process.Settings.Bounds.Heal(outcomeWindowRatio))
			row.Successes, row.Failures = outcomes.succeeded, outcomes.failed
		}
	}
	isSame := slices.EqualFunc(rows, t.rows, isSameButForLoad)
	t.rows = rows
	t.listsVersion++
	if !isSame {
		t.notifyWaiting()
	}
}

// isSameButForLoad reports whether two rows differ in nothing but load and recent outcomes.
func isSameButForLoad(a, b *wire.Worker) bool {
	return a.Name == b.Name && a.Addr == b.Addr && a.State == b.State && a.Weights == b.Weights &&
		a.Incarnation == b.Incarnation && a.Model == b.Model && slices.EqualFunc(a.LoadedModels, b.LoadedModels, isSameLoadedModel)
}

func isSameLoadedModel(a, b *wire.LoadedModel) bool {
	return a.Model == b.Model && a.Weights == b.Weights && maps.Equal(a.Adapters, b.Adapters)
}

// WorkerTable is the health of the workers: lists, probes and failed attempts feed it. It isn't safe for
// concurrent use.
type WorkerTable struct {
	bounds   settings.Bounds
	workers  map[string]*worker
	listedAt time.Duration // when the last list was requested
}

// worker is one listed worker.
type worker struct {
	listed      contract.ListedWorker
	state       contract.WorkerState // by the last successful probe
	probedAt    time.Duration        // start of the last successful probe; 0: none
	respondedAt time.Duration        // end of it
	failedAt    time.Duration        // the last failed attempt or probe
	isProbing   bool                 // a probe is in flight
}

// NewWorkerTable makes an empty table.
//
// Example: w := nodeagent.NewWorkerTable(bounds)
func NewWorkerTable(bounds settings.Bounds) *WorkerTable {
	return &WorkerTable{bounds: bounds, workers: map[string]*worker{}}
}

// ApplyList applies the platform's list, which was requested at an instant. A worker that isn't in it is
// removed at once; another address is another incarnation.
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

// StartProbes returns the workers to probe now; each has at most one probe in flight.
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

// RecordProbe records the result of a probe. Another worker at the address counts as a failure.
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

// RecordAttempts records how the proxy's attempts ended.
//
// Example: w.RecordAttempts(reports, now)
func (workers *WorkerTable) RecordAttempts(reports []*wire.AttemptReport, now time.Duration) {
	for _, report := range reports {
		if known := workers.workers[report.Worker]; known != nil && report.Failures > 0 {
			known.failedAt = now
		}
	}
}

// Rows returns the workers as proxies are to see them, by name. draining are those that the configuration
// drains.
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

// health is a worker's state on the wire. One that was never probed successfully, or is silent for too long,
// as in a partition, gets no requests.
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

// loadedModels is what a worker reports to have in memory beside its one model.
func loadedModels(state contract.WorkerState) (models []*wire.LoadedModel) {
	for _, loaded := range state.Loaded {
		models = append(models, &wire.LoadedModel{Model: loaded.Model, Weights: loaded.Weights, Adapters: loaded.Adapters})
	}
	return models
}
