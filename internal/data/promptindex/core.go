// Package promptindex is an index node: for every part of a prompt that is assigned to it, it knows which
// workers and stores cache the part, and how often it was used lately. It caches no data itself and has no
// disk.
//
// Core is a pure state machine. Node serves it and feeds it with the workers' numbered reports; StartSite
// does the same with the events of a site's workers. Shards assigns keys to index nodes.
package promptindex

import (
	"math"
	"time"

	"pebbleloom/internal/data/prefix"
	"pebbleloom/internal/settings"
)

const (
	// hotnessWindow is the time in which an access decays to 1/e.
	hotnessWindow = 30 * time.Second
	// evictionSample is the number of entries of which the coldest one is evicted.
	evictionSample = 16
	// minEntryHotness is the hotness below which an entry without holders is dropped.
	minEntryHotness = 0.05
	// minReportedHotness is the hotness from which an entry is listed among the hottest.
	minReportedHotness = 0.01
)

// Core is one index node's tables. It isn't safe for concurrent use: an actor guards it. Instants are those
// of the process's clock.
type Core struct {
	bounds             settings.Bounds
	entries            map[prefix.Key]*entry
	workers            map[string]*worker
	reporters          map[string]*reporter
	isAssigned         func(prefix.Key) bool
	maxIncompleteRatio float64 // of the polled workers: the index is warm without their reports
	loads              *LoadAggregator
	// Stats counts what the index has done.
	Stats Stats
}

// Stats counts what an index has done since it started.
type Stats struct {
	Lapsed      uint64 // holdings that weren't confirmed, or whose worker fell silent
	Gaps        uint64 // gaps in workers' reports
	FullReports uint64
	Evicted     uint64 // entries that gave way to others
	Duplicates  uint64 // batches of accesses that were counted already
}

// entry is what the index knows of one key.
type entry struct {
	tokens    uint32
	hotness   float64 // accesses, each of which decays
	decayedAt time.Duration
	service   string
	isHead    bool // a prompt begins with it
	holders   map[string]holding
}

// NewCore makes an empty index; isAssigned reports which keys this node is responsible for.
//
// Example: c := promptindex.NewCore(bounds, func(k prefix.Key) bool { return shards.IsAssigned(name, k) })
func NewCore(bounds settings.Bounds, isAssigned func(prefix.Key) bool) *Core {
	return &Core{
		bounds:     bounds,
		entries:    map[prefix.Key]*entry{},
		workers:    map[string]*worker{},
		reporters:  map[string]*reporter{},
		isAssigned: isAssigned,
		loads:      NewLoadAggregator(bounds),
	}
}

// decay lets an entry's hotness decay to an instant.
func (e *entry) decay(now time.Duration) {
	if age := now - e.decayedAt; age > 0 {
		e.hotness *= math.Exp(-float64(age) / float64(hotnessWindow))
		e.decayedAt = now
	}
}

// entry returns the entry of a key, a new one if there is none.
func (c *Core) entry(key prefix.Key, now time.Duration) *entry {
	e := c.entries[key]
	if e == nil {
		if len(c.entries) >= c.bounds.MaxIndexEntries {
			c.evict(now)
		}
		e = &entry{decayedAt: now, holders: map[string]holding{}}
		c.entries[key] = e
	}
	return e
}

// evict drops the coldest one of a small random sample, so that the table stays within its bound.
func (c *Core) evict(now time.Duration) {
	var evicted prefix.Key
	lowest, sampled := math.Inf(1), 0
	for key, e := range c.entries {
		e.decay(now)
		if e.hotness < lowest {
			lowest, evicted = e.hotness, key
		}
		if sampled++; sampled >= evictionSample {
			break
		}
	}
	delete(c.entries, evicted)
	c.Stats.Evicted++
}

// dropIfUnused removes an entry without holders and accesses.
func (c *Core) dropIfUnused(key prefix.Key, e *entry, now time.Duration) {
	e.decay(now)
	if len(e.holders) == 0 && e.hotness < minEntryHotness {
		delete(c.entries, key)
	}
}

// Sweep removes holdings that no longer count, entries without any, and workers that left.
//
// Example: c.Sweep(listed, now)
func (c *Core) Sweep(listed map[string]bool, now time.Duration) {
	for key, e := range c.entries {
		for holder, h := range e.holders {
			if !c.isValid(holder, h, now) {
				delete(e.holders, holder)
				c.Stats.Lapsed++
			}
		}
		c.dropIfUnused(key, e, now)
	}
	for name, w := range c.workers {
		if !listed[name] && now-w.respondedAt > c.bounds.Heal(maxReportAgeRatio) {
			delete(c.workers, name)
		}
	}
}

// Reshard requests full reports from all workers, after this node's shards have changed, and drops the
// entries that aren't assigned to it any more.
//
// Example: c.Reshard()
func (c *Core) Reshard() {
	for _, w := range c.workers {
		w.needsFull, w.isComplete = true, false
	}
	for key := range c.entries {
		if !c.isAssigned(key) {
			delete(c.entries, key)
		}
	}
}

// Warm reports whether every worker, or all but a few, has reported everything it caches since this index
// started: an index that isn't warm can't know that no worker caches a part.
//
// Example: if c.Warm() { … }
func (c *Core) Warm() bool {
	complete, incomplete := 0, 0
	for _, w := range c.workers {
		if w.isPolled && !w.isComplete {
			incomplete++
		}
		if w.isComplete {
			complete++
		}
	}
	return complete > 0 && float64(incomplete) <= c.maxIncompleteRatio*float64(complete+incomplete)
}
