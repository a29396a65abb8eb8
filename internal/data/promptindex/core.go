// Package promptindex implements a node of the prompt index. For each prompt prefix assigned to it, an index
// node knows which workers and stores have the prefix in their KV caches, and how often the prefix was accessed
// recently. It caches no KV data itself and writes nothing to disk.
//
// Core is the state machine, which performs no I/O. Node serves it over RPC. Start feeds it from the numbered
// cache reports of workers, StartWithCacheEvents from the cache events of workers and stores. Shards assigns keys to index
// nodes.
package promptindex

import (
	"math"
	"time"

	"pebbleloom/internal/data/prefix"
	"pebbleloom/internal/settings"
)

const (
	// hotnessTimeConstant is the time in which the weight of an access to a prefix in the prefix's hotness decays to 1/e.
	hotnessTimeConstant = 30 * time.Second
	// evictionSampleSize is the number of index entries that are sampled when the index is full. The sampled entry with
	// the lowest hotness (decayed number of accesses) is evicted.
	evictionSampleSize = 16
	// minRetainedHotness is the hotness (decayed number of accesses) below which an index entry that no worker or store
	// is known to cache is removed.
	minRetainedHotness = 0.05
	// minReportedHotness is the hotness (decayed number of accesses) below which an index entry is left out of the
	// response to Hottest.
	minReportedHotness = 0.01
)

// Core holds the tables of one prompt index node. It is not safe for concurrent use: Node accesses it through an
// actor. All points in time are readings of the clock of the index node's process (daemon.Process.Clock).
type Core struct {
	bounds  settings.Bounds
	entries map[prefix.Key]*entry
	// workers has the polling state of each worker and store, by name.
	workers map[string]*worker
	// reporters has the deduplication state of each sender of access counts, by name.
	reporters map[string]*reporter
	// isAssigned reports whether a key is assigned to this index node.
	isAssigned func(prefix.Key) bool
	// maxIncompleteRatio is the largest share of the polled workers and stores that may not have reported their complete
	// caches yet for Warm to return true.
	maxIncompleteRatio float64
	loads              *LoadAggregator
	// Stats counts events since the index node started.
	Stats Stats
}

// Stats counts events on an index node since it started.
type Stats struct {
	// ExpiredHolders counts holder records that were removed because they were not confirmed in time, because their
	// worker or store stopped responding to polls, or because they were invalidated, as by a restart of the worker.
	ExpiredHolders uint64
	// Gaps counts responses of workers and stores in which cache changes were missing.
	Gaps uint64
	// FullReports counts the responses of workers and stores with their complete caches.
	FullReports uint64
	// Evicted counts entries that were removed to keep the number of entries within Bounds.MaxIndexEntries.
	Evicted uint64
	// DuplicateBatches counts batches of accesses that were ignored because they had been counted before, or because they
	// came from a previous incarnation of their sender.
	DuplicateBatches uint64
}

// entry is the index entry of one prompt prefix.
type entry struct {
	// tokens is the number of tokens in the last part of the prefix; the shorter prefixes have entries of their own.
	tokens uint32
	// hotness is the number of accesses to the prefix, each weighted by exponential decay over its age.
	hotness float64
	// decayedAt is the time up to which the exponential decay has been applied to hotness.
	decayedAt time.Duration
	// service is the service with the last access to the prefix or, before any access, the service whose worker first
	// reported the prefix as cached.
	service string
	// isHead is true if the prefix consists of only the first part of a prompt, so that there is no shorter prefix.
	isHead bool
	// holders has a record for each worker and store that is known or presumed to cache the prefix, by its name.
	holders map[string]holderRecord
}

// NewCore returns an empty index. isAssigned reports which keys are assigned to this index node.
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

// decay applies the exponential decay of the entry's hotness up to now.
func (e *entry) decay(now time.Duration) {
	if age := now - e.decayedAt; age > 0 {
		e.hotness *= math.Exp(-float64(age) / float64(hotnessTimeConstant))
		e.decayedAt = now
	}
}

// ensureEntry returns the entry of a key. If there is none it creates one, and first evicts another entry if the index
// has Bounds.MaxIndexEntries entries.
func (c *Core) ensureEntry(key prefix.Key, now time.Duration) *entry {
	e := c.entries[key]
	if e == nil {
		if len(c.entries) >= c.bounds.MaxIndexEntries {
			c.evict(now)
		}
		e = &entry{decayedAt: now, holders: map[string]holderRecord{}}
		c.entries[key] = e
	}
	return e
}

// evict removes one entry, so that a new one fits within Bounds.MaxIndexEntries. It samples evictionSampleSize entries
// in Go's random map iteration order, and removes the one with the lowest hotness.
func (c *Core) evict(now time.Duration) {
	var evicted prefix.Key
	lowest, sampled := math.Inf(1), 0
	for key, e := range c.entries {
		e.decay(now)
		if e.hotness < lowest {
			lowest, evicted = e.hotness, key
		}
		if sampled++; sampled >= evictionSampleSize {
			break
		}
	}
	delete(c.entries, evicted)
	c.Stats.Evicted++
}

// removeIfUnused removes an entry that has no holder records and a hotness below minRetainedHotness.
func (c *Core) removeIfUnused(key prefix.Key, e *entry, now time.Duration) {
	e.decay(now)
	if len(e.holders) == 0 && e.hotness < minRetainedHotness {
		delete(c.entries, key)
	}
}

// Sweep removes expired holder records, unused entries, and the polling state of workers and stores that are not
// listed any more and have stopped responding. listed has the names of all current workers and stores.
//
// Example: c.Sweep(listed, now)
func (c *Core) Sweep(listed map[string]bool, now time.Duration) {
	for key, e := range c.entries {
		for holder, h := range e.holders {
			if !c.isValid(holder, h, now) {
				delete(e.holders, holder)
				c.Stats.ExpiredHolders++
			}
		}
		c.removeIfUnused(key, e, now)
	}
	for name, w := range c.workers {
		if !listed[name] && now-w.respondedAt > c.bounds.Recovery(maxReportAgeRatio) {
			delete(c.workers, name)
		}
	}
}

// Reshard must be called after the assignment of keys to this index node has changed. It removes the entries whose
// keys are no longer assigned to the node, and has the next poll of each worker and store ask for its complete cache.
//
// Example: c.Reshard()
func (c *Core) Reshard() {
	for _, w := range c.workers {
		w.needsFullReport, w.isComplete = true, false
	}
	for key := range c.entries {
		if !c.isAssigned(key) {
			delete(c.entries, key)
		}
	}
}

// Warm reports whether enough of the polled workers and stores have reported their complete caches to this index: at
// least one, and all but the share maxIncompleteRatio. While an index is not warm, an entry without holders does not
// mean that no worker or store caches the prefix.
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
