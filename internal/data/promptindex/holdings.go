package promptindex

import (
	"cmp"
	"slices"
	"time"

	"pebbleloom/internal/data/prefix"
	"pebbleloom/internal/wire"
)

// How certain the index is of a holder. The values are on the wire.
const (
	Presumed  uint32 = iota + 1 // a request was routed there, or a save was ordered
	Confirmed                   // the worker reported it
)

const (
	// presumedRatio is how long a presumed holding counts without confirmation, and maxReportAgeRatio how long a
	// confirmed one counts after its worker's last report. Ratios of the heal bound.
	presumedRatio     = 0.5
	maxReportAgeRatio = 2.5
	// minHolderRatio is the share of an entry's tokens below which a worker doesn't count as a holder.
	minHolderRatio = 0.9
	// blockTokens is the size of a worker's cache block: it caches whole blocks only.
	blockTokens = 16
)

// holding is what the index knows of one holder of an entry.
type holding struct {
	certainty    uint32
	updatedAt    time.Duration
	generation   uint32 // of the worker's holdings: those of older generations don't count
	cachedTokens uint32 // of the entry's; 0: all
}

// isPartial reports whether too little of an entry is cached to count.
func (h holding) isPartial(e *entry) bool {
	return h.cachedTokens > 0 && h.cachedTokens+blockTokens <= e.tokens && float64(h.cachedTokens) < minHolderRatio*float64(e.tokens)
}

// isValid reports whether a holding still counts: presumed ones lapse unless confirmed, and confirmed ones
// lapse when the worker hasn't reported for long.
func (c *Core) isValid(holder string, h holding, now time.Duration) bool {
	w := c.workers[holder]
	if w == nil || h.generation != w.generation {
		return false
	}
	if h.certainty == Presumed {
		return now-h.updatedAt < c.bounds.Heal(presumedRatio)
	}
	return now-max(w.respondedAt, h.updatedAt) < c.bounds.Heal(maxReportAgeRatio)
}

// Lookup looks a batch of keys up; the result has one element for each. Holders are sorted by name.
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

// validHolders lists the holders of an entry, and removes the holdings that no longer count.
func (c *Core) validHolders(e *entry, now time.Duration) (holders []*wire.Holder) {
	for holder, h := range e.holders {
		switch {
		case !c.isValid(holder, h, now):
			delete(e.holders, holder)
			c.Stats.Lapsed++
		case !h.isPartial(e):
			holders = append(holders, &wire.Holder{Worker: holder, State: h.certainty})
		}
	}
	slices.SortFunc(holders, func(a, b *wire.Holder) int { return cmp.Compare(a.Worker, b.Worker) })
	return holders
}
