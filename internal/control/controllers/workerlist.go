package controllers

import (
	"maps"
	"slices"

	"pebbleloom/internal/fleet"
	"pebbleloom/internal/maputil"
)

// WorkerList is the site's list of workers, as published in the document fleet.WorkersKey. It follows the
// platform's list. Since that list may lag behind, the recorded version of a worker's weights never
// decreases while the worker keeps its ID.
type WorkerList struct{ entries map[string]*listEntry }

// listEntry is a worker of a WorkerList.
type listEntry struct {
	worker      fleet.Worker
	missedReads int // number of consecutive reads of the platform's list that did not contain the worker
}

// NewWorkerList returns a worker list with the workers of a stored document.
//
// Example: list := controllers.NewWorkerList(fleet.WorkerList{})
func NewWorkerList(document fleet.WorkerList) *WorkerList {
	l := &WorkerList{entries: map[string]*listEntry{}}
	for _, worker := range document.Workers {
		worker.Weights = maps.Clone(worker.Weights)
		l.entries[worker.ID] = &listEntry{worker: worker}
	}
	return l
}

// Merge updates the worker list from a read of the platform's list, and reports whether it changed. If the
// platform's list was read in several pages, a worker may be missing because it moved to another page
// between two of the calls. Unless complete is true, a worker is therefore removed only after two
// consecutive reads without it.
//
// Example: changed := list.Merge(workers, pages == 1)
func (l *WorkerList) Merge(workers []fleet.Worker, complete bool) bool {
	changed, listed := false, make(map[string]bool, len(workers))
	for _, worker := range workers {
		if worker.ID == "" || listed[worker.ID] {
			continue
		}
		listed[worker.ID] = true
		if l.mergeWorker(worker) {
			changed = true
		}
	}
	for id, entry := range l.entries {
		if listed[id] {
			continue
		}
		if entry.missedReads++; complete || entry.missedReads > 1 {
			delete(l.entries, id)
			changed = true
		}
	}
	return changed
}

// mergeWorker adds or updates one worker of the platform's list and reports whether its entry changed.
func (l *WorkerList) mergeWorker(worker fleet.Worker) bool {
	entry := l.entries[worker.ID]
	added := entry == nil
	if added {
		entry = &listEntry{}
		l.entries[worker.ID] = entry
	}
	entry.missedReads = 0
	worker.Weights = mergeVersions(entry.worker.Weights, worker.Weights)
	changed := added || !equalWorkers(entry.worker, worker)
	entry.worker = worker
	return changed
}

// HasUnconfirmedRemovals reports whether a worker of the list was missing from the last read of the
// platform's list, but has not been removed yet.
//
// Example: if list.HasUnconfirmedRemovals() { readAgainSoon() }
func (l *WorkerList) HasUnconfirmedRemovals() bool {
	for _, entry := range l.entries {
		if entry.missedReads > 0 {
			return true
		}
	}
	return false
}

// SetWeights records that a worker serves a version of a model's weights, and reports whether the worker
// list changed.
//
// Example: changed := list.SetWeights("i-7f3a", "daka", 2)
func (l *WorkerList) SetWeights(id, model string, version uint64) bool {
	entry := l.entries[id]
	if entry == nil || entry.worker.Weights[model] >= version {
		return false
	}
	// The map is replaced, not modified: documents returned by Document share the previous one.
	entry.worker.Weights = mergeVersions(entry.worker.Weights, map[string]uint64{model: version})
	return true
}

// Document returns the worker list, sorted by ID.
//
// Example: body, err := json.Marshal(list.Document())
func (l *WorkerList) Document() fleet.WorkerList {
	document := fleet.WorkerList{Workers: make([]fleet.Worker, 0, len(l.entries))}
	for _, id := range maputil.SortedKeys(l.entries) {
		document.Workers = append(document.Workers, l.entries[id].worker)
	}
	return document
}

// mergeVersions returns, for each model in listed, the higher of its versions in known and listed. Models
// that are only in known are dropped.
func mergeVersions(known, listed map[string]uint64) map[string]uint64 {
	merged := make(map[string]uint64, len(listed))
	for model, version := range listed {
		merged[model] = max(version, known[model])
	}
	return merged
}

func equalWorkers(a, b fleet.Worker) bool {
	return a.ID == b.ID && a.Service == b.Service && a.Addr == b.Addr && a.Zone == b.Zone &&
		a.Slots == b.Slots && a.Draining == b.Draining && maps.Equal(a.Weights, b.Weights)
}

// serviceWorkerIDs returns the sorted IDs of those workers of a service that are not draining.
func serviceWorkerIDs(workers []fleet.Worker, service string) []string {
	ids := []string{}
	for _, worker := range workers {
		if worker.Service == service && !worker.Draining {
			ids = append(ids, worker.ID)
		}
	}
	slices.Sort(ids)
	return ids
}
