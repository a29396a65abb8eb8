package promptindex

import (
	"cmp"
	"slices"
	"time"

	"pebbleloom/internal/data/prefix"
	"pebbleloom/internal/wire"
)

const (
	// maxReporters limits the number of senders of access counts, and of load reports, that are remembered.
	maxReporters = 1024
	// reporterRetentionRatio is the time without batches after which a reporter may be dropped to make room for a
	// new one, as a ratio of the recovery time bound (Bounds.Heal). No batch is retried for that long.
	reporterRetentionRatio = 1.0
)

// reporter is the state by which duplicate batches of one sender of access counts are detected.
type reporter struct {
	// lastSequence is the sequence number of the last batch that was counted in the current incarnation.
	incarnation, lastSequence uint64
	// previousIncarnation is the incarnation before the current one. Batches of it that arrive late are not counted.
	previousIncarnation uint64
	lastBatchAt         time.Duration
}

// RecordAccesses counts each batch of accesses at most once: a batch whose sequence number was counted before is
// ignored. If the index does not know the reporter, as after a restart of the index node, the response asks the
// reporter to resend its window of recent batches.
//
// Example: response := c.RecordAccesses(request, now)
func (c *Core) RecordAccesses(request *wire.CountRequest, now time.Duration) *wire.CountResponse {
	reporterState := c.reporters[request.Reporter]
	if reporterState == nil {
		if len(c.reporters) >= maxReporters && !c.dropOldestReporter(now) {
			// Without state for this reporter a retried batch would be counted twice. Acknowledging the batch
			// without counting it gives too low a hotness, which does less harm than too high a one.
			return &wire.CountResponse{Sequence: request.Sequence}
		}
		reporterState = &reporter{}
		c.reporters[request.Reporter] = reporterState
	}
	reporterState.lastBatchAt = now
	if reporterState.incarnation != request.Incarnation && reporterState.previousIncarnation != request.Incarnation {
		reporterState.previousIncarnation, reporterState.incarnation, reporterState.lastSequence = reporterState.incarnation, request.Incarnation, 0
	}
	if request.Sequence <= reporterState.lastSequence || reporterState.incarnation != request.Incarnation {
		c.Stats.DuplicateBatches++
		return &wire.CountResponse{Sequence: reporterState.lastSequence}
	}
	hasMissedBatches := reporterState.lastSequence == 0 && request.Sequence > 1
	reporterState.lastSequence = request.Sequence
	for _, access := range request.Accesses {
		c.recordAccess(access, now)
	}
	return &wire.CountResponse{Sequence: reporterState.lastSequence, ResendWindow: hasMissedBatches}
}

// recordAccess counts the accesses to one key, and records its presumed holders. It ignores keys that are not
// assigned to this index node.
func (c *Core) recordAccess(access *wire.Access, now time.Duration) {
	if len(access.Key) != len(prefix.Key{}) {
		return
	}
	key := prefix.Key(access.Key)
	if !c.isAssigned(key) {
		return
	}
	e := c.ensureEntry(key, now)
	e.decay(now)
	e.hotness += float64(access.Count)
	e.service, e.isHead = access.Service, e.isHead || access.Head
	if access.Tokens > 0 {
		e.tokens = access.Tokens
	}
	for _, holder := range access.PresumedHolders {
		w := c.ensureWorker(holder)
		h, isKnown := e.holders[holder]
		if !isKnown || h.generation != w.generation || h.certainty == Presumed || h.isPartial(e) {
			e.holders[holder] = holderRecord{certainty: Presumed, updatedAt: now, generation: w.generation}
		}
	}
}

// dropOldestReporter drops the reporter whose last batch is the oldest, unless that reporter may still retry a
// batch. It reports whether a reporter was dropped.
func (c *Core) dropOldestReporter(now time.Duration) bool {
	oldest, oldestAt := "", now
	for name, r := range c.reporters {
		if r.lastBatchAt < oldestAt || r.lastBatchAt == oldestAt && name < oldest {
			oldest, oldestAt = name, r.lastBatchAt
		}
	}
	if now-oldestAt < c.bounds.Heal(reporterRetentionRatio) {
		return false
	}
	delete(c.reporters, oldest)
	return true
}

// Hottest returns at most limit entries of a service, in descending order of hotness, and the number and total
// hotness of all entries of the service.
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
