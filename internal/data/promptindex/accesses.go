package promptindex

import (
	"cmp"
	"slices"
	"time"

	"pebbleloom/internal/data/prefix"
	"pebbleloom/internal/wire"
)

const (
	// maxReporters limits the number of senders of access counts for which deduplication state is kept, and the number of
	// proxies whose load reports are stored.
	maxReporters = 1024
	// reporterRetentionRatio is how long a sender of access counts must have sent no batch before its deduplication state
	// may be dropped in favor of a new sender, as a ratio of the recovery time bound (Bounds.Recovery). Senders stop retrying
	// a batch earlier than that.
	reporterRetentionRatio = 1.0
)

// reporter is the state by which duplicate batches of one sender of access counts are detected.
type reporter struct {
	// incarnation identifies the sender's current process. lastSequence is the sequence number of the last batch of that
	// process that was counted; 0 if there is none.
	incarnation, lastSequence uint64
	// previousIncarnation identifies the sender's process before its last restart. Batches of that process that arrive
	// late are not counted.
	previousIncarnation uint64
	lastBatchAt         time.Duration
}

// RecordAccesses counts each batch of accesses at most once: a batch whose sequence number was counted before is
// ignored. If the index has counted no batch of the sender's current process although this batch is not its first, as
// after a restart of the index node, the response asks the sender to resend the recent batches that it keeps.
//
// Example: response := c.RecordAccesses(request, now)
func (c *Core) RecordAccesses(request *wire.CountRequest, now time.Duration) *wire.CountResponse {
	reporterState := c.reporters[request.Reporter]
	if reporterState == nil {
		if len(c.reporters) >= maxReporters && !c.dropOldestReporter(now) {
			// Without deduplication state for this sender a retried batch would be counted twice. Acknowledging the batch
			// without counting it makes the hotness of its prefixes too low, which does less harm than too high a hotness.
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

// recordAccess counts the accesses to the prefix with one key, and records the workers and stores that are presumed to
// cache it. It ignores keys that are not assigned to this index node.
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

// dropOldestReporter drops the deduplication state of the sender whose last batch is the oldest, unless that sender
// may still retry a batch (reporterRetentionRatio). It reports whether state was dropped.
func (c *Core) dropOldestReporter(now time.Duration) bool {
	oldest, oldestAt := "", now
	for name, r := range c.reporters {
		if r.lastBatchAt < oldestAt || r.lastBatchAt == oldestAt && name < oldest {
			oldest, oldestAt = name, r.lastBatchAt
		}
	}
	if now-oldestAt < c.bounds.Recovery(reporterRetentionRatio) {
		return false
	}
	delete(c.reporters, oldest)
	return true
}

// Hottest returns at most limit entries of a service, in descending order of hotness, and the number and total hotness
// of all entries of the service. Entries with a hotness below minReportedHotness are left out and not counted.
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
