package promptindex

import (
	"crypto/sha256"
	"strconv"
	"time"

	"pebbleloom/internal/data/backend"
	"pebbleloom/internal/data/prefix"
)

const (
	minHolderRatio = 0.9 // of a part's tokens: a worker with fewer doesn't count as a holder
	blockTokens    = 16  // tokens of a worker's cache block: it caches whole blocks
	minHotness     = 0.05
	keyBuffer      = 256 // bytes of a salt and part that are hashed without an allocation
)

// PartKey is the key of one part as it is cached under a salt. A part's ID stands for the whole prefix
// up to it; the salt for isolation, model and version.
//
// Example: k := promptindex.PartKey("1.2.m0", "5c1e07a2")
func PartKey(salt, part string) (k prefix.Key) {
	var a [keyBuffer]byte
	b := strconv.AppendInt(a[:0], int64(len(salt)), 10)
	b = append(append(append(b, ' '), salt...), part...)
	sum := sha256.Sum256(b)
	copy(k[:], sum[:])
	return k
}

// StoreHealthKey is held by a store for as long as it answers.
//
// Example: up := len(found[promptindex.StoreHealthKey("cartons")].GetHolders()) > 0
func StoreHealthKey(store string) prefix.Key { return PartKey("\x00up", store) }

// isPartial reports whether too little of an entry is held to count.
func (h holding) isPartial(e *entry) bool {
	return h.cachedTokens > 0 && h.cachedTokens+blockTokens <= e.tokens && float64(h.cachedTokens) < minHolderRatio*float64(e.tokens)
}

// NextEvents returns the next request to a worker or store of a site. One that never answered is asked
// from its start: usually that is everything.
//
// Example: q := c.NextEvents(w.ID, w.Service); e, err := calls.Events(ctx, w.Addr, q.After, wait)
func (c *Core) NextEvents(name, service string) ReportRequest {
	q := c.NextReport(name, service)
	q.Full = q.Full && c.worker(name).incarnation != ""
	return q
}

// ApplyEvents applies a worker's response: changes since q.After, or everything it caches if q.Whole.
// After a gap known holdings stay, and a full list is requested later; another boot has dropped the
// whole cache.
//
// Example: c.ApplyEvents(q, events, now)
func (c *Core) ApplyEvents(q ReportRequest, e backend.CacheEvents, now time.Duration) {
	w := c.worker(q.Name)
	if q.sequence != w.sequence || e.Throttled {
		return
	}
	w.lastHeardAt = now
	w.sequence++ // each request is answered once
	if boot := strconv.FormatUint(e.BootID, 10); boot != w.incarnation {
		old := w.incarnation
		w.incarnation, w.needsFull = boot, false
		if old != "" {
			w.generation++ // the old boot's holdings are gone
		}
		if !q.Full && q.After > 0 && old != "" {
			w.lastNumber, w.complete = 0, false
			return // requested with another boot's number: start again
		}
	}
	if q.Full {
		w.generation++
		c.Stats.FullReports++
	} else if e.Gap {
		w.needsFull = true
		c.Stats.Gaps++
	}
	for _, x := range e.Changes {
		c.applyChange(q, w, x, now)
	}
	w.lastNumber = e.NextSequence
	if q.Full {
		w.needsFull = false
	}
	w.complete = w.complete || !e.Gap || q.Full
}

func (c *Core) applyChange(q ReportRequest, w *worker, x backend.CacheChange, now time.Duration) {
	k := PartKey(x.Salt, x.Part)
	if !c.isAssigned(k) {
		return
	}
	if x.Tokens <= 0 {
		if e := c.entries[k]; e != nil {
			delete(e.holders, q.Name)
			c.dropIfUnused(k, e, now)
		}
		return
	}
	e := c.entry(k, now)
	e.tokens = max(e.tokens, uint32(x.Tokens))
	if e.service == "" {
		e.service = q.Service
	}
	e.holders[q.Name] = holding{Confirmed, now, w.generation, uint32(x.Tokens)}
}

// StoreUp records that a store answers.
//
// Example: c.StoreUp("cartons", now)
func (c *Core) StoreUp(store string, now time.Duration) {
	c.entry(StoreHealthKey(store), now).holders[store] = holding{certainty: Presumed, updatedAt: now, generation: c.worker(store).generation}
}

// StoreDown records that a store doesn't answer. Its holdings stay known: only the path to it may be
// broken.
//
// Example: c.StoreDown("cartons")
func (c *Core) StoreDown(store string) { delete(c.entries, StoreHealthKey(store)) }

// dropIfUnused removes an entry without holders and requests.
func (c *Core) dropIfUnused(k prefix.Key, e *entry, now time.Duration) bool {
	c.decay(e, now)
	if len(e.holders) > 0 || e.hotness >= minHotness {
		return false
	}
	delete(c.entries, k)
	return true
}

// Sweep removes holdings that no longer count, entries without any, and workers that left.
//
// Example: c.Sweep(listed, now)
func (c *Core) Sweep(listed map[string]bool, now time.Duration) {
	for k, e := range c.entries {
		for n, h := range e.holders {
			if !c.isValid(n, h, now) {
				delete(e.holders, n)
				c.Stats.Lapsed++
			}
		}
		c.dropIfUnused(k, e, now)
	}
	for n, w := range c.workers {
		if !listed[n] && now-w.lastHeardAt > c.bounds.Heal(2.5) {
			delete(c.workers, n)
		}
	}
}

// MarkIncomplete marks all workers as incomplete: the index hasn't followed them.
//
// Example: c.MarkIncomplete()
func (c *Core) MarkIncomplete() {
	for _, w := range c.workers {
		w.complete = false
	}
}
