// Package promptindex is an index node: for every prefix of its shards, which workers hold it and how
// hot it is. It holds no data and has no disk. Core is a pure state machine.
package promptindex

import (
	"math"
	"sort"
	"time"

	"pebbleloom/internal/contract"
	"pebbleloom/internal/data/prefix"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

// How certain the index is of a holder.
const (
	Presumed  uint32 = iota + 1 // a request was routed there, or a save was ordered
	Confirmed                   // the worker reported it
)

type holding struct {
	certainty    uint32
	updatedAt    time.Duration
	generation   uint32
	cachedTokens uint32 // cached of the entry's, if reported; 0: all
}

type entry struct {
	tokens    uint32
	hotness   float64
	decayedAt time.Duration
	service   string
	isHead    bool // a prompt begins with it
	holders   map[string]holding
}

type worker struct {
	incarnation string
	generation  uint32
	lastNumber  uint64
	needsFull   bool // a full report is needed
	lastHeardAt time.Duration
	polled      bool   // it is polled for reports
	complete    bool   // it has reported everything it holds
	sequence    uint64 // counts its removals and its reports
}

type reporter struct {
	incarnation, lastNumber uint64
	previous                uint64 // the previous incarnation: its late batches aren't counted
	lastHeardAt             time.Duration
}

// Core is one index node's tables.
type Core struct {
	bounds             settings.Bounds
	hotnessWindow      time.Duration
	entries            map[prefix.Key]*entry
	workers            map[string]*worker
	reporters          map[string]*reporter
	isAssigned         func(prefix.Key) bool
	maxIncompleteRatio float64 // share of polled workers that may be incomplete while the index is warm
	loads              *LoadAggregator
	// Stats counts what the index has done.
	Stats Stats
}

// Stats counts what the index has done.
type Stats struct{ Lapsed, Gaps, FullReports, Evicted, Duplicates uint64 }

// NewCore makes an empty index; isAssigned reports which keys are this node's.
//
// Example: c := promptindex.New(bounds, func(k prefix.Key) bool { return shards.Holds(name, k) })
func NewCore(b settings.Bounds, mine func(prefix.Key) bool) *Core {
	return &Core{bounds: b, hotnessWindow: 30 * time.Second, entries: map[prefix.Key]*entry{}, workers: map[string]*worker{},
		reporters: map[string]*reporter{}, isAssigned: mine, loads: NewLoadAggregator(b)}
}

func (c *Core) decay(e *entry, now time.Duration) {
	if dt := now - e.decayedAt; dt > 0 {
		e.hotness *= math.Exp(-float64(dt) / float64(c.hotnessWindow))
		e.decayedAt = now
	}
}

func (c *Core) entry(k prefix.Key, now time.Duration) *entry {
	e := c.entries[k]
	if e == nil {
		if len(c.entries) >= c.bounds.MaxIndexEntries {
			c.evict(now)
		}
		e = &entry{decayedAt: now, holders: map[string]holding{}}
		c.entries[k] = e
	}
	return e
}

// evict drops the coldest of a small sample, so that the table stays within its bound.
func (c *Core) evict(now time.Duration) {
	var cold prefix.Key
	best, n := math.Inf(1), 0
	for k, e := range c.entries {
		c.decay(e, now)
		if e.hotness < best {
			best, cold = e.hotness, k
		}
		if n++; n >= 16 {
			break
		}
	}
	delete(c.entries, cold)
	c.Stats.Evicted++
}

func (c *Core) worker(name string) *worker {
	w := c.workers[name]
	if w == nil {
		w = &worker{needsFull: true}
		c.workers[name] = w
	}
	return w
}

// NextReport returns the next request to a worker.
//
// Example: q := c.NextReport("worker-3", "lectores"); reports := call(q.After, q.Whole); c.ApplyReport(q, reports, now)
func (c *Core) NextReport(name, service string) ReportRequest {
	w := c.worker(name)
	w.polled = true
	return ReportRequest{name, service, w.lastNumber, w.needsFull, w.sequence}
}

// ReportRequest is a request to a worker. A response to one from before the worker was removed, or
// from before another response, is outdated.
type ReportRequest struct {
	Name, Service string
	After         uint64
	Full          bool
	sequence      uint64
}

// ApplyReport applies a worker's response. After a gap in the numbers or a new incarnation a full
// report is requested next; until then known holdings stay, and lapse as usual.
//
// Example: c.ApplyReport(request, response, now)
func (c *Core) ApplyReport(q ReportRequest, r contract.CacheReports, now time.Duration) {
	name, service, w := q.Name, q.Service, c.worker(q.Name)
	if q.sequence != w.sequence {
		return
	}
	w.lastHeardAt = now
	w.sequence++ // each request is answered once
	if r.Incarnation != w.incarnation {
		w.incarnation, w.lastNumber, w.needsFull = r.Incarnation, 0, true
		w.generation++ // the old incarnation's holdings are gone
	}
	if r.Complete {
		w.generation++
		c.Stats.FullReports++
		for _, h := range r.Cached {
			c.addHolding(name, service, w, h, now)
		}
		w.lastNumber, w.needsFull, w.complete = r.Number, false, true
		return
	}
	if w.needsFull {
		return
	}
	for _, p := range r.Reports {
		if p.Number <= w.lastNumber {
			continue
		}
		if p.Number != w.lastNumber+1 {
			break
		}
		for _, h := range p.Added {
			c.addHolding(name, service, w, h, now)
		}
		for _, g := range p.Removed {
			if k, ok := prefix.Parse(g); ok && c.entries[k] != nil {
				delete(c.entries[k].holders, name)
			}
		}
		w.lastNumber = p.Number
	}
	if w.lastNumber != r.Number {
		w.needsFull = true
		c.Stats.Gaps++
	}
}

func (c *Core) addHolding(name, service string, w *worker, h contract.CachedPrefix, now time.Duration) {
	k, ok := prefix.Parse(h.Key)
	if !ok || !c.isAssigned(k) {
		return
	}
	e := c.entry(k, now)
	if h.Tokens > 0 {
		e.tokens = uint32(h.Tokens)
	}
	if e.service == "" {
		e.service = service
	}
	e.holders[name] = holding{certainty: Confirmed, updatedAt: now, generation: w.generation}
}

// RemoveWorker forgets a worker that has left.
//
// Example: c.RemoveWorker("worker-3")
func (c *Core) RemoveWorker(name string) {
	if w := c.workers[name]; w != nil {
		w.generation++
		w.sequence++
		w.incarnation, w.lastNumber, w.needsFull, w.polled, w.complete = "", 0, true, false, false
	}
}

// Reshard requests full reports from all workers, after this node's shards have changed.
//
// Example: c.Reshard()
func (c *Core) Reshard() {
	for _, w := range c.workers {
		w.needsFull, w.complete = true, false
	}
	for k := range c.entries {
		if !c.isAssigned(k) {
			delete(c.entries, k)
		}
	}
}

// isValid reports whether a holding still counts: presumed ones lapse unless confirmed, and confirmed
// ones lapse when the worker hasn't reported for long.
func (c *Core) isValid(name string, h holding, now time.Duration) bool {
	w := c.workers[name]
	if w == nil || h.generation != w.generation {
		return false
	}
	if h.certainty == Presumed {
		return now-h.updatedAt < c.bounds.Heal(0.5)
	}
	return now-max(w.lastHeardAt, h.updatedAt) < c.bounds.Heal(2.5)
}

// Lookup answers a batch of keys.
//
// Example: found := c.Lookup(keys, now)
func (c *Core) Lookup(keys []prefix.Key, now time.Duration) []*wire.LookupResult {
	l := make([]*wire.LookupResult, 0, len(keys))
	for _, k := range keys {
		f := &wire.LookupResult{}
		if e := c.entries[k]; e != nil {
			c.decay(e, now)
			f.Hotness = e.hotness
			for n, h := range e.holders {
				if c.isValid(n, h, now) {
					if h.isPartial(e) {
						continue
					}
					f.Holders = append(f.Holders, &wire.Holder{Worker: n, State: h.certainty})
				} else {
					delete(e.holders, n)
					c.Stats.Lapsed++
				}
			}
			sort.Slice(f.Holders, func(i, j int) bool { return f.Holders[i].Worker < f.Holders[j].Worker })
		}
		l = append(l, f)
	}
	return l
}

// RecordAccesses applies a reporter's batch of accesses once: a repeated number isn't counted again. A reporter
// that this index doesn't remember is asked to send its whole window again.
//
// Example: t := c.Count(ask, now)
func (c *Core) RecordAccesses(a *wire.CountRequest, now time.Duration) *wire.CountResponse {
	t := c.reporters[a.Reporter]
	if t == nil {
		if len(c.reporters) >= maxReporters && !c.dropOldestReporter(now) {
			return &wire.CountResponse{Sequence: a.Sequence} // not counted: undercounting is better than counting twice
		}
		t = &reporter{}
		c.reporters[a.Reporter] = t
	}
	t.lastHeardAt = now
	if t.incarnation != a.Incarnation && t.previous != a.Incarnation {
		t.previous, t.incarnation, t.lastNumber = t.incarnation, a.Incarnation, 0
	}
	if a.Sequence <= t.lastNumber || t.incarnation != a.Incarnation {
		c.Stats.Duplicates++
		return &wire.CountResponse{Sequence: t.lastNumber}
	}
	again := t.lastNumber == 0 && a.Sequence > 1
	t.lastNumber = a.Sequence
	for _, x := range a.Accesses {
		if len(x.Key) != len(prefix.Key{}) {
			continue
		}
		k := prefix.Key(x.Key)
		if !c.isAssigned(k) {
			continue
		}
		e := c.entry(k, now)
		c.decay(e, now)
		e.hotness += float64(x.Count)
		e.service, e.isHead = x.Service, e.isHead || x.Head
		if x.Tokens > 0 {
			e.tokens = x.Tokens
		}
		for _, p := range x.PresumedHolders {
			w := c.worker(p)
			if h, ok := e.holders[p]; !ok || h.generation != w.generation || h.certainty == Presumed || h.isPartial(e) {
				e.holders[p] = holding{certainty: Presumed, updatedAt: now, generation: w.generation}
			}
		}
	}
	return &wire.CountResponse{Sequence: t.lastNumber, ResendWindow: again}
}

const maxReporters = 1024

// dropOldestReporter makes room by dropping the reporter that was silent longest, if that is longer
// than any batch is retried.
func (c *Core) dropOldestReporter(now time.Duration) bool {
	name, at := "", now
	for n, t := range c.reporters {
		if t.lastHeardAt < at || t.lastHeardAt == at && n < name {
			name, at = n, t.lastHeardAt
		}
	}
	if now-at < c.bounds.Heal(1) {
		return false
	}
	delete(c.reporters, name)
	return true
}

// Hottest lists a service's hottest entries with the sum over all of them.
//
// Example: t := c.Hottest("appraisals", 1000, now)
func (c *Core) Hottest(service string, limit int, now time.Duration) *wire.HottestResponse {
	t := &wire.HottestResponse{Warm: c.Warm()}
	for k, e := range c.entries {
		if e.service != service {
			continue
		}
		c.decay(e, now)
		if e.hotness < 0.01 {
			continue
		}
		t.Entries++
		t.TotalHotness += e.hotness
		t.Prefixes = append(t.Prefixes, &wire.HotPrefix{Key: k[:], Hotness: e.hotness, Tokens: e.tokens, Holders: uint32(len(e.holders)), Head: e.isHead})
	}
	sort.Slice(t.Prefixes, func(i, j int) bool {
		if t.Prefixes[i].Hotness != t.Prefixes[j].Hotness {
			return t.Prefixes[i].Hotness > t.Prefixes[j].Hotness
		}
		return string(t.Prefixes[i].Key) < string(t.Prefixes[j].Key)
	})
	if len(t.Prefixes) > limit {
		t.Prefixes = t.Prefixes[:limit]
	}
	return t
}

// Warm reports whether every worker, or all but a few, has reported everything it holds since this
// index started.
//
// Example: if c.Warm() { … }
func (c *Core) Warm() bool {
	n, untold := 0, 0
	for _, w := range c.workers {
		if w.polled && !w.complete {
			untold++
		}
		if w.complete {
			n++
		}
	}
	return n > 0 && float64(untold) <= c.maxIncompleteRatio*float64(n+untold)
}
