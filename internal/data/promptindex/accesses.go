package promptindex

import (
	"cmp"
	"slices"
	"time"

	"pebbleloom/internal/data/prefix"
	"pebbleloom/internal/wire"
)

const (
	maxReporters = 1024
	// reporterMemoryRatio is the silence after which a reporter may be forgotten for another one, as
	// a ratio of the heal bound: longer than any batch is retried.
	reporterMemoryRatio = 1.0
)

// reporter is a sender of accesses, and the last of its batches.
type reporter struct {
	incarnation, lastNumber uint64
	previousIncarnation     uint64 // its late batches aren't counted
	lastBatchAt             time.Duration
}

// RecordAccesses counts a reporter's batch of accesses once: a repeated number isn't counted again. A
// reporter that this index doesn't remember is asked to send its whole window again.
//
// Example: response := c.RecordAccesses(request, now)
func (c *Core) RecordAccesses(request *wire.CountRequest, now time.Duration) *wire.CountResponse {
	reporterState := c.reporters[request.Reporter]
	if reporterState == nil {
		if len(c.reporters) >= maxReporters && !c.dropOldestReporter(now) {
			return &wire.CountResponse{Sequence: request.Sequence} // not counted: undercounting is better than counting twice
		}
		reporterState = &reporter{}
		c.reporters[request.Reporter] = reporterState
	}
	reporterState.lastBatchAt = now
	if reporterState.incarnation != request.Incarnation && reporterState.previousIncarnation != request.Incarnation {
		reporterState.previousIncarnation, reporterState.incarnation, reporterState.lastNumber = reporterState.incarnation, request.Incarnation, 0
	}
	if request.Sequence <= reporterState.lastNumber || reporterState.incarnation != request.Incarnation {
		c.Stats.Duplicates++
		return &wire.CountResponse{Sequence: reporterState.lastNumber}
	}
	isUnremembered := reporterState.lastNumber == 0 && request.Sequence > 1
	reporterState.lastNumber = request.Sequence
	for _, access := range request.Accesses {
		c.recordAccess(access, now)
	}
	return &wire.CountResponse{Sequence: reporterState.lastNumber, ResendWindow: isUnremembered}
}

// recordAccess counts the accesses to one key, and records who is presumed to cache it now. Keys that
// aren't assigned to this node are ignored.
func (c *Core) recordAccess(access *wire.Access, now time.Duration) {
	if len(access.Key) != len(prefix.Key{}) {
		return
	}
	key := prefix.Key(access.Key)
	if !c.isAssigned(key) {
		return
	}
	e := c.entry(key, now)
	e.decay(now)
	e.hotness += float64(access.Count)
	e.service, e.isHead = access.Service, e.isHead || access.Head
	if access.Tokens > 0 {
		e.tokens = access.Tokens
	}
	for _, holder := range access.PresumedHolders {
		w := c.worker(holder)
		h, isKnown := e.holders[holder]
		if !isKnown || h.generation != w.generation || h.certainty == Presumed || h.isPartial(e) {
			e.holders[holder] = holding{certainty: Presumed, updatedAt: now, generation: w.generation}
		}
	}
}

// dropOldestReporter drops the reporter that was silent longest, if that is longer than any batch is retried.
// It reports whether it did.
func (c *Core) dropOldestReporter(now time.Duration) bool {
	oldest, oldestAt := "", now
	for name, r := range c.reporters {
		if r.lastBatchAt < oldestAt || r.lastBatchAt == oldestAt && name < oldest {
			oldest, oldestAt = name, r.lastBatchAt
		}
	}
	if now-oldestAt < c.bounds.Heal(reporterMemoryRatio) {
		return false
	}
	delete(c.reporters, oldest)
	return true
}

// Hottest lists a service's hottest entries, the hottest first, with the sum over all of them.
//
// Example: response := c.Hottest("appraisals", 1000, now)
func (c *Core) Hottest(service string, limit int, now time.Duration) *wire.HottestResponse {
	response := &wire.HottestResponse{Warm: c.Warm()}
	for key, e := range c.entries {
		if e.service != service {
			continue
		}
		e.decay(now)
		if e.hotness < minReportedHotness {
			continue
		}
		response.Entries++
		response.TotalHotness += e.hotness
		response.Prefixes = append(response.Prefixes, &wire.HotPrefix{Key: key[:], Hotness: e.hotness, Tokens: e.tokens, Holders: uint32(len(e.holders)), Head: e.isHead})
	}
	slices.SortFunc(response.Prefixes, func(a, b *wire.HotPrefix) int {
		return cmp.Or(cmp.Compare(b.Hotness, a.Hotness), cmp.Compare(string(a.Key), string(b.Key)))
	})
	response.Prefixes = response.Prefixes[:min(limit, len(response.Prefixes))]
	return response
}
