package nodeagent

import (
	"maps"
	"slices"
	"time"

	"pebbleloom/internal/contract"
	"pebbleloom/internal/data/updatestream"
	"pebbleloom/internal/queue"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

const maxWorkers = 1024

type worker struct {
	listed        contract.ListedWorker
	state         contract.WorkerState
	probedAt      time.Duration // start of the last successful probe
	firstListedAt time.Duration // when it was first listed
	failedAt      time.Duration // last failed attempt or probe
	respondedAt   time.Duration // end of the last successful probe
	probing       bool
}

// WorkerTable is the table that listing, probes and failed attempts feed.
type WorkerTable struct {
	bounds   settings.Bounds
	workers  map[string]*worker
	listedAt time.Duration
}

// NewWorkerTable returns an empty table.
//
// Example: w := nodeagent.NewWorkerTable(bounds)
func NewWorkerTable(b settings.Bounds) *WorkerTable {
	return &WorkerTable{bounds: b, workers: map[string]*worker{}}
}

// ApplyList applies the platform's list. A worker that isn't in it is removed at once.
//
// Example: w.Listed(list, askedAt)
func (w *WorkerTable) ApplyList(l []contract.ListedWorker, asked time.Duration) {
	w.listedAt = asked
	here := map[string]bool{}
	for _, x := range l {
		if len(here) >= maxWorkers {
			break
		}
		here[x.Name] = true
		o := w.workers[x.Name]
		if o == nil || o.listed.Addr != x.Addr {
			o = &worker{firstListedAt: asked} // another address is another incarnation
			w.workers[x.Name] = o
		}
		o.listed = x
	}
	for n := range w.workers {
		if !here[n] {
			delete(w.workers, n)
		}
	}
}

// StartProbes returns the workers to probe now; each has at most one probe in flight.
//
// Example: for _, l := range w.Probe() { go probe(l) }
func (w *WorkerTable) StartProbes() []contract.ListedWorker {
	var l []contract.ListedWorker
	for _, n := range w.names() {
		if x := w.workers[n]; !x.probing {
			x.probing = true
			l = append(l, x.listed)
		}
	}
	return l
}

func (w *WorkerTable) names() []string { return queue.Keys(w.workers) }

// RecordProbe records the result of a probe. Another worker at the address counts as a failure.
//
// Example: w.Probed(listed, state, err == nil, askedAt, now)
func (w *WorkerTable) RecordProbe(l contract.ListedWorker, s contract.WorkerState, ok bool, asked, now time.Duration) {
	x := w.workers[l.Name]
	if x == nil || x.listed.Addr != l.Addr {
		return
	}
	x.probing = false
	if ok && s.Name == l.Name {
		x.state, x.probedAt, x.respondedAt = s, asked, now
		return
	}
	x.failedAt = now
}

// RecordAttempts records how the proxy's attempts ended.
//
// Example: w.RecordAttempts(reports, now)
func (w *WorkerTable) RecordAttempts(l []*wire.AttemptReport, now time.Duration) {
	for _, g := range l {
		if x := w.workers[g.Worker]; x != nil && g.Failures > 0 {
			x.failedAt = now
		}
	}
}

// Rows returns the workers as proxies are to see them.
//
// Example: rows := w.Table(drains, now)
func (w *WorkerTable) Rows(drains map[string]bool, now time.Duration) []*wire.Worker {
	var l []*wire.Worker
	for _, n := range w.names() {
		x := w.workers[n]
		st := updatestream.WorkerUp
		switch {
		case x.probedAt == 0 || now-x.probedAt > w.bounds.Leave(0.6):
			st = updatestream.WorkerGone // never seen, or silent for too long, as in a partition
		case x.listed.Draining || x.state.Draining || drains[n]:
			st = updatestream.WorkerDraining
		case x.failedAt > x.probedAt:
			st = updatestream.WorkerSuspect
		}
		l = append(l, &wire.Worker{Name: n, Addr: x.listed.Addr, Service: x.listed.Service, Model: x.state.Model, Zone: x.listed.Zone,
			Incarnation: x.state.Incarnation, State: st, Weights: x.state.Weights, Slots: uint32(x.state.Slots), Busy: uint32(x.state.Busy),
			Queued: uint32(x.state.Queued), Kind: x.listed.Kind, KvCapacity: uint64(x.state.KVCapacity),
			ClockNs: uint64(x.state.ClockUs) * 1000, ClockReadAt: uint64(x.respondedAt), LoadedModels: loaded(x.state)})
	}
	return l
}

// loaded is what a worker says it has in memory beside its one model.
func loaded(s contract.WorkerState) []*wire.LoadedModel {
	var l []*wire.LoadedModel
	for _, x := range s.Loaded {
		l = append(l, &wire.LoadedModel{Model: x.Model, Weights: x.Weights, Adapters: x.Adapters})
	}
	return l
}

func sameLoaded(a, b []*wire.LoadedModel) bool {
	return slices.EqualFunc(a, b, func(x, y *wire.LoadedModel) bool {
		return x.Model == y.Model && x.Weights == y.Weights && maps.Equal(x.Adapters, y.Adapters)
	})
}
