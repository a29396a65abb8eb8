package promptindex

import (
	"cmp"
	"slices"
	"time"

	"pebbleloom/internal/data/prefix"
	"pebbleloom/internal/wire"
)

// The certainty that a worker or store caches a prefix. The values are sent in wire.Holder.State.
const (
	// Presumed means that a request with the prefix was routed to the worker, or that the store was ordered to save the
	// prefix, but that the worker or store has not reported yet that it caches the prefix.
	Presumed uint32 = iota + 1
	// Confirmed means that the worker or store has reported that it caches the prefix.
	Confirmed
)

const (
	// presumedLifetimeRatio is how long the record that a worker or store is presumed to cache a prefix is valid without
	// a report that confirms it, as a ratio of the recovery time bound (Bounds.Recovery).
	presumedLifetimeRatio = 0.5
	// maxReportAgeRatio is how long the record that a worker or store has reported to cache a prefix is valid after its
	// last response to a poll, as a ratio of the recovery time bound (Bounds.Recovery).
	maxReportAgeRatio = 2.5
	// minCachedRatio is the share of the tokens of a prompt part that a worker or store must cache to be listed as a
	// holder. One that lacks fewer than blockTokens tokens is listed in any case.
	minCachedRatio = 0.9
	// blockTokens is the number of tokens in a block of a worker's KV cache. Workers cache complete blocks only, so the
	// last tokens of a prefix may be missing.
	blockTokens = 16
)

// holderRecord records that a worker or store caches the prefix of an index entry, or is presumed to cache it.
type holderRecord struct {
	certainty uint32
	updatedAt time.Duration
	// generation is the generation of the worker or store when the record was made. The record is invalid once
	// worker.generation has been incremented.
	generation uint32
	// cachedTokens is how many of the entry's tokens the worker or store caches; 0 means all of them.
	cachedTokens uint32
}

// isPartial reports whether the worker or store caches too few of the entry's tokens (see minCachedRatio) to be listed
// as a holder.
func (h holderRecord) isPartial(e *entry) bool {
	return h.cachedTokens > 0 && h.cachedTokens+blockTokens <= e.tokens && float64(h.cachedTokens) < minCachedRatio*float64(e.tokens)
}

// isValid reports whether a holder record is still valid. A presumed record expires unless it is confirmed within
// presumedLifetimeRatio. A confirmed one expires when its worker or store has not responded to a poll for
// maxReportAgeRatio.
func (c *Core) isValid(holder string, h holderRecord, now time.Duration) bool {
	w := c.workers[holder]
	if w == nil || h.generation != w.generation {
		return false
	}
	if h.certainty == Presumed {
		return now-h.updatedAt < c.bounds.Recovery(presumedLifetimeRatio)
	}
	return now-max(w.respondedAt, h.updatedAt) < c.bounds.Recovery(maxReportAgeRatio)
}

// Lookup returns for each key the hotness (decayed number of accesses) of its prefix and the workers and stores that
// cache the prefix, sorted by name. The results are in the order of keys.
//
// Example: results := c.Lookup(keys, now)
func (c *Core) Lookup(keys []prefix.Key, now time.Duration) []*wire.LookupResult {
	results := make([]*wire.LookupResult, 0, len(keys))
	for _, key := range keys {
		result := &wire.LookupResult{}
		if e := c.entries[key]; e != nil {
			e.decay(now)
			result.Hotness, result.Holders = e.hotness, c.validHolders(e, now)
		}
		results = append(results, result)
	}
	return results
}

// validHolders returns the workers and stores that cache the prefix of an entry, sorted by name, and removes expired
// holder records. Those that cache too few of the entry's tokens are left out.
func (c *Core) validHolders(e *entry, now time.Duration) (holders []*wire.Holder) {
	for holder, h := range e.holders {
		switch {
		case !c.isValid(holder, h, now):
			delete(e.holders, holder)
			c.Stats.ExpiredHolders++
		case !h.isPartial(e):
			holders = append(holders, &wire.Holder{Worker: holder, State: h.certainty})
		}
	}
	slices.SortFunc(holders, func(a, b *wire.Holder) int { return cmp.Compare(a.Worker, b.Worker) })
	return holders
}
