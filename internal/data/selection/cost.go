package selection

import (
	"math/bits"
	"time"

	"pebbleloom/internal/data/prefix"
	"pebbleloom/internal/queue"
)

// workerCost is the cost of a request on one worker, in ms of its target.
type workerCost struct {
	totalMs       float64
	prefillTokens float64 // tokens
	transferMs    float64 // ms of its links
	source        *source
}

// consecutiveParts is how many parts in a row are cached from one on.
func consecutiveParts(parts uint64, from int) int { return bits.TrailingZeros64(^(parts >> from)) }

// score adds up waiting, reading of missing parts, fetching of parts cached elsewhere, the slowdown by
// load, and the cost of reading again and of distance beside their time. It stops early for a worker
// that can't cost less than the least so far.
func (q *scorer) score(i int, o *promptState, least float64) workerCost {
	var opt workerCost
	t, x := q.table, &q.group.candidates[i]
	ps := len(q.tokensUpTo) - 1
	held := min(consecutiveParts(t.presumedParts[i], 0), ps)
	missing := q.tokensUpTo[ps] - q.tokensUpTo[held] + q.ownTokens
	slots := float64(max(1, x.worker.Slots))
	load := t.loads[i]
	c := crowd*q.stats.meanAttemptMs*load/slots + noise*q.targetMs*float64(mix(q.requestHash^x.hash)>>11)/(1<<53)
	if load >= slots {
		c += (load - slots + 1) / slots * q.stats.meanAttemptMs
	}
	if x.worker.Zone != q.request.Zone {
		c += afarPart * q.targetMs * rereadPart * float64(q.request.PromptTokens)
	}
	if o.decidingPart >= 0 && !o.hot {
		lean := 0.0
		if !o.cold && t.presumedParts[i]>>o.decidingPart&1 == 0 {
			lean += leanKept // a copy displaces another part
		}
		if o.home >= 0 && o.home != i && lean > 0 {
			lean += leanHome
		} else if o.home >= 0 && o.home != i && o.cold {
			lean += leanCold
		}
		c += lean * (q.rereadCost + q.stats.msPerToken) * q.tokensUpTo[o.decidingPart+1]
	}
	c += x.stats.slowStartRatio(q.now) * backCost * q.targetMs
	if o.version < q.assignedVersion {
		c += drawCost * q.stats.msPerToken * q.tokensUpTo[o.sharedParts]
	}
	slow := t.slowness(x.stats, q.now)
	c += slow * (q.stats.firstEventMs + t.backlog(x.stats, q.now))
	shared := max(0, q.tokensUpTo[min(o.sharedParts, ps)]-q.tokensUpTo[held])
	if could := c + slow*q.stats.msPerToken*(missing-shared); could >= least {
		return workerCost{totalMs: could}
	}
	if shared > 0 {
		opt = q.bestSource(i, o, held)
		missing, shared = missing-opt.prefillTokens, shared-opt.prefillTokens
	}
	c += slow*q.stats.msPerToken*missing + opt.totalMs
	if shared > 0 && o.knownParts>>held&1 == 1 {
		c += q.rereadCost * shared // it is cached elsewhere, and would be read once more
	}
	return workerCost{totalMs: c, prefillTokens: missing, transferMs: opt.transferMs, source: opt.source}
}

// bestSource finds the one source that saves a worker the most. Its read is what needn't be read.
func (q *scorer) bestSource(i int, o *promptState, held int) (best workerCost) {
	w := &q.group.candidates[i]
	gain := 0.0
	for j := range o.sources {
		s := &o.sources[j]
		if s.candidate == i {
			continue
		}
		n := min(consecutiveParts(s.presumedParts, held), o.sharedParts-held)
		if n <= 0 {
			continue
		}
		tokens := q.tokensUpTo[held+n] - q.tokensUpTo[held]
		ms := tokens * s.msPerToken
		if s.zone != w.worker.Zone {
			ms *= distant
		}
		cost := ms + max(0, max(s.stats.linkBusyUntil, w.stats.linkBusyUntil)-q.now).Seconds()*1e3 + tokens*q.rereadCost*movePart
		if sure := min(consecutiveParts(s.confirmedParts, held), n); sure < n {
			cost += risk * (q.rereadCost + q.stats.msPerToken) * (q.tokensUpTo[held+n] - q.tokensUpTo[held+sure])
		}
		if g := tokens*(q.stats.msPerToken+q.rereadCost) - cost; g > gain {
			gain, best = g, workerCost{totalMs: cost, prefillTokens: tokens, transferMs: ms, source: s}
		}
	}
	return best
}

// backlog estimates how long a prompt waits at a worker until it is read, in ms: by this edge
// machine's own prompts there, by those of others, by how late the last first event was, and by how
// late the next one is already.
func (t *table) backlog(x *workerStats, now time.Duration) float64 {
	ms := max(0, x.prefillUntil-now).Seconds() * 1e3
	if x.reported {
		ms = max(ms, decayWeight(now-x.reportedAt, t.bounds.Heal(fadePart))*x.othersPendingTokens*x.service.msPerToken)
	}
	ms = max(ms, decayWeight(now-x.latenessAt, t.bounds.Heal(fadePart))*x.latenessMs)
	for _, p := range x.pendingPrefills {
		ms = max(ms, (now-p.sentAt).Seconds()*1e3-p.expectedMs)
	}
	return ms
}

// newChoice applies the placement to the selected worker.
func (q *scorer) newChoice(o *promptState, i int, x workerCost) Choice {
	t, w := q.table, q.group.candidates[i]
	c := Choice{Worker: *w.worker, Weights: o.version, Salt: o.salt, Urgency: t.layout.priorityLevel(urgency(q.request), q.promptSizeClass(x.prefillTokens))}
	p := attempt{stats: w.stats, prefillTokens: x.prefillTokens, keys: o.keys, usesCache: q.request.PromptTokens > 0}
	if x.source != nil {
		c.Fetch, p.source, p.transferMs = x.source.addr, x.source.stats, x.transferMs
	}
	for j, k := range o.keys[:o.sharedParts] {
		p.sharedParts = append(p.sharedParts, prefix.Entry{Key: k, Tokens: int(q.tokensUpTo[j+1] - q.tokensUpTo[j]), CumulativeTokens: int(q.tokensUpTo[j+1])})
	}
	if at := q.storeFor(o); at >= 0 {
		s := q.group.stores[at].service
		if q.tokensUpTo[o.sharedParts] >= leastSaved && !q.storedCompletely(o) {
			c.Save, p.store = s.Store.Addr, s.Name
		}
		if held := consecutiveParts(t.presumedParts[i], 0); c.Fetch == "" && held < o.sharedParts && (!o.indexed || q.recentlyUsed(o)) && q.tokensUpTo[o.sharedParts]-q.tokensUpTo[held] >= 2*leastSaved {
			c.Fetch = s.Store.Addr // it probably has it: a miss costs next to nothing
		}
	}
	t.selected.put(attemptKey{q.request.ID, w.worker.ID}, p)
	return c
}

// recentlyUsed reports whether the deciding part was used recently, though no holder is known.
func (q *scorer) recentlyUsed(o *promptState) bool {
	return o.decidingPart >= 0 && q.found[o.keys[o.decidingPart]].GetHotness() > 0
}

// storeFor is the store that a prompt's shared parts belong to, of those that answer; -1 if there is
// none, or nothing is shared. Each part has one store, so that together they cache as much as
// possible.
func (q *scorer) storeFor(o *promptState) int {
	if o.sharedParts == 0 {
		return -1
	}
	at, top, h := -1, uint64(0), hashPrefix(o.keys[max(0, o.decidingPart)])
	for i, x := range q.group.stores {
		if w := mix(h ^ queue.Hash(x.service.Name)); !q.table.unavailableStores[x.service.Name] && (at < 0 || w > top) {
			at, top = i, w
		}
	}
	return at
}

// promptSizeClass is 0 for a prompt that is read in a small share of its target, 1 in some of it, 2 in more.
func (q *scorer) promptSizeClass(read float64) int {
	switch part := read * q.stats.msPerToken / q.targetMs; {
	case part < 1.0/16:
		return 0
	case part < 3.0/16:
		return 1
	}
	return 2
}

// storedCompletely reports whether a store that answers has all shared parts.
func (q *scorer) storedCompletely(o *promptState) bool {
	all := uint64(1)<<o.sharedParts - 1
	for i, x := range q.group.stores {
		if o.storeParts[i]&all == all && !q.table.unavailableStores[x.service.Name] {
			return true
		}
	}
	return false
}
