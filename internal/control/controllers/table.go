package controllers

import (
	"maps"
	"slices"

	"pebbleloom/internal/fleet"
	"pebbleloom/internal/queue"
)

// Table is which workers there are, as the site's document tells it. It follows the platform's
// list, which lags: the weights of one life of a worker never go back to an older version.
type Table struct{ all map[string]*row }

type row struct {
	w      fleet.Worker
	missed int // readings of the list in a row that lacked it
}

// NewTable makes a table from the document in force.
//
// Example: t := duty.NewTable(fleet.Table{})
func NewTable(doc fleet.Table) *Table {
	t := &Table{all: map[string]*row{}}
	for _, w := range doc.Workers {
		w.Weights = maps.Clone(w.Weights)
		t.all[w.ID] = &row{w: w}
	}
	return t
}

// Take lays a reading of the whole list over the table and says whether anything that matters
// changed. Pages are read one after another, and a worker may slip through between two of them:
// where the reading isn't sure of that, a worker is gone once two in a row lack it.
//
// Example: changed := t.Take(list, pages == 1)
func (t *Table) Take(list []fleet.Worker, sure bool) bool {
	changed, here := false, make(map[string]bool, len(list))
	for _, w := range list {
		if w.ID == "" || here[w.ID] {
			continue
		}
		here[w.ID] = true
		r := t.all[w.ID]
		if r == nil {
			r = &row{}
			t.all[w.ID], changed = r, true
		}
		r.missed = 0
		w.Weights = newest(r.w.Weights, w.Weights)
		changed = changed || !same(r.w, w)
		r.w = w
	}
	for id, r := range t.all {
		if here[id] {
			continue
		}
		if r.missed++; sure || r.missed > 1 {
			delete(t.all, id)
			changed = true
		}
	}
	return changed
}

// Unsure tells whether a worker lacked in the last reading and is kept all the same.
//
// Example: if t.Unsure() { readAgainSoon() }
func (t *Table) Unsure() bool {
	for _, r := range t.all {
		if r.missed > 0 {
			return true
		}
	}
	return false
}

// Has notes that a worker serves a version of a model's weights, and says whether that is news.
//
// Example: changed := t.Has("i-7f3a", "daka", 2)
func (t *Table) Has(id, model string, version uint64) bool {
	r := t.all[id]
	if r == nil || r.w.Weights[model] >= version {
		return false
	}
	r.w.Weights = newest(r.w.Weights, map[string]uint64{model: version}) // a new map: the old one is shared
	return true
}

// Doc is the document: all workers by their ID.
//
// Example: body, err := json.Marshal(t.Doc())
func (t *Table) Doc() fleet.Table {
	d := fleet.Table{Workers: make([]fleet.Worker, 0, len(t.all))}
	for _, id := range queue.Keys(t.all) {
		d.Workers = append(d.Workers, t.all[id].w)
	}
	return d
}

// newest takes each model's higher version. A model that the list doesn't name any more is gone.
func newest(old, now map[string]uint64) map[string]uint64 {
	m := make(map[string]uint64, len(now))
	for k, v := range now {
		m[k] = max(v, old[k])
	}
	return m
}

func same(a, b fleet.Worker) bool {
	return a.ID == b.ID && a.Service == b.Service && a.Addr == b.Addr && a.District == b.District &&
		a.Slots == b.Slots && a.Draining == b.Draining && maps.Equal(a.Weights, b.Weights)
}

// ids are the workers' IDs of one service, in order.
func ids(ws []fleet.Worker, service string) []string {
	l := []string{}
	for _, w := range ws {
		if w.Service == service && !w.Draining {
			l = append(l, w.ID)
		}
	}
	slices.Sort(l)
	return l
}
