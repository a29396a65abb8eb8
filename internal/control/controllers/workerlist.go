package controllers

import (
	"maps"
	"slices"

	"pebbleloom/internal/fleet"
	"pebbleloom/internal/queue"
)

// WorkerList is the site's list of workers, as its document holds it. It follows the platform's list,
// which lags: the weights of one incarnation of a worker never go back to an older version.
type WorkerList struct{ entries map[string]*listEntry }

type listEntry struct {
	worker      fleet.Worker
	missedReads int // consecutive reads of the list without it
}

// NewWorkerList starts from the stored document.
//
// Example: t := controllers.NewWorkerList(fleet.WorkerList{})
func NewWorkerList(doc fleet.WorkerList) *WorkerList {
	t := &WorkerList{entries: map[string]*listEntry{}}
	for _, w := range doc.Workers {
		w.Weights = maps.Clone(w.Weights)
		t.entries[w.ID] = &listEntry{worker: w}
	}
	return t
}

// Merge applies a read of the whole platform list and reports whether anything relevant changed. Pages
// are read one after another, and a worker may slip through between two of them: unless the read is
// sure, a worker is removed only after two consecutive reads without it.
//
// Example: changed := t.Merge(list, pages == 1)
func (t *WorkerList) Merge(list []fleet.Worker, sure bool) bool {
	changed, here := false, make(map[string]bool, len(list))
	for _, w := range list {
		if w.ID == "" || here[w.ID] {
			continue
		}
		here[w.ID] = true
		r := t.entries[w.ID]
		if r == nil {
			r = &listEntry{}
			t.entries[w.ID], changed = r, true
		}
		r.missedReads = 0
		w.Weights = mergeVersions(r.worker.Weights, w.Weights)
		changed = changed || !equalWorkers(r.worker, w)
		r.worker = w
	}
	for id, r := range t.entries {
		if here[id] {
			continue
		}
		if r.missedReads++; sure || r.missedReads > 1 {
			delete(t.entries, id)
			changed = true
		}
	}
	return changed
}

// HasUnconfirmedRemovals reports whether a worker was missing in the last read and is kept for now.
//
// Example: if t.Unsure() { readAgainSoon() }
func (t *WorkerList) HasUnconfirmedRemovals() bool {
	for _, r := range t.entries {
		if r.missedReads > 0 {
			return true
		}
	}
	return false
}

// SetWeights records that a worker serves a version of a model's weights, and reports whether that is
// new.
//
// Example: changed := t.SetWeights("i-7f3a", "daka", 2)
func (t *WorkerList) SetWeights(id, model string, version uint64) bool {
	r := t.entries[id]
	if r == nil || r.worker.Weights[model] >= version {
		return false
	}
	r.worker.Weights = mergeVersions(r.worker.Weights, map[string]uint64{model: version}) // a new map: the previous one is shared
	return true
}

// Document returns all workers, sorted by ID.
//
// Example: body, err := json.Marshal(t.Document())
func (t *WorkerList) Document() fleet.WorkerList {
	d := fleet.WorkerList{Workers: make([]fleet.Worker, 0, len(t.entries))}
	for _, id := range queue.Keys(t.entries) {
		d.Workers = append(d.Workers, t.entries[id].worker)
	}
	return d
}

// mergeVersions takes each model's higher version. A model that the list no longer names is dropped.
func mergeVersions(old, now map[string]uint64) map[string]uint64 {
	m := make(map[string]uint64, len(now))
	for k, v := range now {
		m[k] = max(v, old[k])
	}
	return m
}

func equalWorkers(a, b fleet.Worker) bool {
	return a.ID == b.ID && a.Service == b.Service && a.Addr == b.Addr && a.Zone == b.Zone &&
		a.Slots == b.Slots && a.Draining == b.Draining && maps.Equal(a.Weights, b.Weights)
}

// serviceWorkerIDs returns the sorted IDs of one service's workers that aren't draining.
func serviceWorkerIDs(ws []fleet.Worker, service string) []string {
	l := []string{}
	for _, w := range ws {
		if w.Service == service && !w.Draining {
			l = append(l, w.ID)
		}
	}
	slices.Sort(l)
	return l
}
