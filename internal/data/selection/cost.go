package selection

import (
	"math/bits"
	"time"

	"pebbleloom/internal/data/prefix"
	"pebbleloom/internal/queue"
)

// workerCost is the cost of a request on one worker, in ms of its target.
type workerCost struct {
	cost  float64
	read  float64 // tokens
	moved float64 // ms of its links
	from  *source
}

// run is how many parts in a row are cached from one on.
func run(parts uint64, from int) int { return bits.TrailingZeros64(^(parts >> from)) }

// weigh adds up waiting, reading of missing parts, fetching of parts cached elsewhere, the slowdown by
// load, and the cost of reading again and of distance beside their time. It stops early for a worker
// that can't cost less than the least so far.
func (q *query) weigh(i int, o *promptState, least float64) workerCost {
	var opt workerCost
	t, x := q.table, &q.group.candidates[i]
	ps := len(q.upto) - 1
	held := min(run(t.maybe[i], 0), ps)
	missing := q.upto[ps] - q.upto[held] + q.own
	slots := float64(max(1, x.worker.Slots))
	load := t.loads[i]
	c := crowd*q.service.attemptMs*load/slots + noise*q.target*float64(mix(q.hash^x.hash)>>11)/(1<<53)
	if load >= slots {
		c += (load - slots + 1) / slots * q.service.attemptMs
	}
	if x.worker.Zone != q.request.Zone {
		c += afarPart * q.target * rereadPart * float64(q.request.In)
	}
	if o.at >= 0 && !o.hot {
		lean := 0.0
		if !o.cold && t.maybe[i]>>o.at&1 == 0 {
			lean += leanKept // a copy displaces another part
		}
		if o.home >= 0 && o.home != i && lean > 0 {
			lean += leanHome
		} else if o.home >= 0 && o.home != i && o.cold {
			lean += leanCold
		}
		c += lean * (q.read + q.service.b) * q.upto[o.at+1]
	}
	c += x.stats.distrust(q.now) * backCost * q.target
	if o.weights < q.drawn {
		c += drawCost * q.service.b * q.upto[o.shared]
	}
	slow := t.slowness(x.stats, q.now)
	c += slow * (q.service.a + t.backlog(x.stats, q.now))
	shared := max(0, q.upto[min(o.shared, ps)]-q.upto[held])
	if could := c + slow*q.service.b*(missing-shared); could >= least {
		return workerCost{cost: could}
	}
	if shared > 0 {
		opt = q.fetch(i, o, held)
		missing, shared = missing-opt.read, shared-opt.read
	}
	c += slow*q.service.b*missing + opt.cost
	if shared > 0 && o.kept>>held&1 == 1 {
		c += q.read * shared // it is cached elsewhere, and would be read once more
	}
	return workerCost{cost: c, read: missing, moved: opt.moved, from: opt.from}
}

// fetch finds the one source that saves a worker the most. Its read is what needn't be read.
func (q *query) fetch(i int, o *promptState, held int) (best workerCost) {
	w := &q.group.candidates[i]
	gain := 0.0
	for j := range o.from {
		s := &o.from[j]
		if s.seat == i {
			continue
		}
		n := min(run(s.parts, held), o.shared-held)
		if n <= 0 {
			continue
		}
		tokens := q.upto[held+n] - q.upto[held]
		ms := tokens * s.pipe
		if s.zone != w.worker.Zone {
			ms *= distant
		}
		cost := ms + max(0, max(s.st.linkBusyUntil, w.stats.linkBusyUntil)-q.now).Seconds()*1e3 + tokens*q.read*movePart
		if sure := min(run(s.sure, held), n); sure < n {
			cost += risk * (q.read + q.service.b) * (q.upto[held+n] - q.upto[held+sure])
		}
		if g := tokens*(q.service.b+q.read) - cost; g > gain {
			gain, best = g, workerCost{cost: cost, read: tokens, moved: ms, from: s}
		}
	}
	return best
}

// backlog estimates how long a prompt waits at a worker until it is read, in ms: by this edge
// machine's own prompts there, by those of others, by how late the last first event was, and by how
// late the next one is already.
func (t *table) backlog(x *workerStats, now time.Duration) float64 {
	ms := max(0, x.readingUntil-now).Seconds() * 1e3
	if x.reported {
		ms = max(ms, fade(now-x.reportedAt, t.bounds.Heal(fadePart))*x.othersUnread*x.service.b)
	}
	ms = max(ms, fade(now-x.latenessAt, t.bounds.Heal(fadePart))*x.lateness)
	for _, p := range x.unread {
		ms = max(ms, (now-p.at).Seconds()*1e3-p.want)
	}
	return ms
}

// newChoice applies the placement to the selected worker.
func (q *query) newChoice(o *promptState, i int, x workerCost) Choice {
	t, w := q.table, q.group.candidates[i]
	c := Choice{Worker: *w.worker, Weights: o.weights, Salt: o.text, Urgency: t.view.rank(urgency(q.request), q.size(x.read))}
	p := attempt{stats: w.stats, read: x.read, keys: o.keys, kept: q.request.In > 0}
	if x.from != nil {
		c.Fetch, p.from, p.moved = x.from.addr, x.from.st, x.moved
	}
	for j, k := range o.keys[:o.shared] {
		p.uses = append(p.uses, prefix.Entry{Key: k, Tokens: int(q.upto[j+1] - q.upto[j]), Upto: int(q.upto[j+1])})
	}
	if at := q.store(o); at >= 0 {
		s := q.group.stores[at].service
		if q.upto[o.shared] >= leastSaved && !q.stored(o) {
			c.Save, p.store = s.Store.Addr, s.Name
		}
		if held := run(t.maybe[i], 0); c.Fetch == "" && held < o.shared && (!o.indexed || q.used(o)) && q.upto[o.shared]-q.upto[held] >= 2*leastSaved {
			c.Fetch = s.Store.Addr // it probably has it: a miss costs next to nothing
		}
	}
	t.chosen.put(attemptKey{q.request.ID, w.worker.ID}, p)
	return c
}

// used reports whether the deciding part was used recently, though no holder is known.
func (q *query) used(o *promptState) bool { return o.at >= 0 && q.found[o.keys[o.at]].GetHotness() > 0 }

// store is the store that a prompt's shared parts belong to, of those that answer; -1 if there is
// none, or nothing is shared. Each part has one store, so that together they cache as much as
// possible.
func (q *query) store(o *promptState) int {
	if o.shared == 0 {
		return -1
	}
	at, top, h := -1, uint64(0), number(o.keys[max(0, o.at)])
	for i, x := range q.group.stores {
		if w := mix(h ^ queue.Hash(x.service.Name)); !q.table.storesDown[x.service.Name] && (at < 0 || w > top) {
			at, top = i, w
		}
	}
	return at
}

// size is 0 for a prompt that is read in a small share of its target, 1 in some of it, 2 in more.
func (q *query) size(read float64) int {
	switch part := read * q.service.b / q.target; {
	case part < 1.0/16:
		return 0
	case part < 3.0/16:
		return 1
	}
	return 2
}

// stored reports whether a store that answers has all shared parts.
func (q *query) stored(o *promptState) bool {
	all := uint64(1)<<o.shared - 1
	for i, x := range q.group.stores {
		if o.stores[i]&all == all && !q.table.storesDown[x.service.Name] {
			return true
		}
	}
	return false
}
