package selection

import (
	"math/bits"
	"time"

	"pebbleloom/internal/data/prefix"
	"pebbleloom/internal/queue"
)

// option is what a request would cost on one worker, in ms of its target.
type option struct {
	cost  float64
	read  float64 // tokens
	moved float64 // ms of its links
	from  *source
}

// run is how many parts in a row are kept from one on.
func run(parts uint64, from int) int { return bits.TrailingZeros64(^(parts >> from)) }

// weigh adds up waiting, reading of what is missing, the move of what another keeps, the crowd's
// slowdown, and what reading again and distance cost beside their time. A worker that can't cost
// less than the least so far is left at that.
func (q *query) weigh(i int, o *opening, least float64) option {
	var opt option
	t, x := q.t, &q.g.seats[i]
	ps := len(q.upto) - 1
	held := min(run(t.maybe[i], 0), ps)
	missing := q.upto[ps] - q.upto[held] + q.own
	slots := float64(max(1, x.w.Slots))
	load := t.loads[i]
	c := crowd*q.h.span*load/slots + noise*q.target*float64(mix(q.hash^x.hash)>>11)/(1<<53)
	if load >= slots {
		c += (load - slots + 1) / slots * q.h.span
	}
	if x.w.Zone != q.r.District {
		c += afarPart * q.target * rereadPart * float64(q.r.In)
	}
	if o.at >= 0 && !o.hot {
		lean := 0.0
		if !o.cold && t.maybe[i]>>o.at&1 == 0 {
			lean += leanKept // a copy takes the room of another part
		}
		if o.home >= 0 && o.home != i && lean > 0 {
			lean += leanHome
		} else if o.home >= 0 && o.home != i && o.cold {
			lean += leanCold
		}
		c += lean * (q.read + q.h.b) * q.upto[o.at+1]
	}
	c += x.st.back(q.now) * backCost * q.target
	if o.weights < q.drawn {
		c += drawCost * q.h.b * q.upto[o.shared]
	}
	slow := t.slowness(x.st, q.now)
	c += slow * (q.h.a + t.backlog(x.st, q.now))
	shared := max(0, q.upto[min(o.shared, ps)]-q.upto[held])
	if could := c + slow*q.h.b*(missing-shared); could >= least {
		return option{cost: could}
	}
	if shared > 0 {
		opt = q.fetch(i, o, held)
		missing, shared = missing-opt.read, shared-opt.read
	}
	c += slow*q.h.b*missing + opt.cost
	if shared > 0 && o.kept>>held&1 == 1 {
		c += q.read * shared // somebody keeps it, and it would be read once more
	}
	return option{cost: c, read: missing, moved: opt.moved, from: opt.from}
}

// fetch finds the one source that spares a worker the most. Its read is what it needn't read.
func (q *query) fetch(i int, o *opening, held int) (best option) {
	w := &q.g.seats[i]
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
		if s.district != w.w.Zone {
			ms *= distant
		}
		cost := ms + max(0, max(s.st.moves, w.st.moves)-q.now).Seconds()*1e3 + tokens*q.read*movePart
		if sure := min(run(s.sure, held), n); sure < n {
			cost += risk * (q.read + q.h.b) * (q.upto[held+n] - q.upto[held+sure])
		}
		if g := tokens*(q.h.b+q.read) - cost; g > gain {
			gain, best = g, option{cost: cost, read: tokens, moved: ms, from: s}
		}
	}
	return best
}

// backlog is about how long a prompt waits at a worker until it is read, in ms: by this edge's own
// prompts there, by what others have waiting, by how late the last first piece was, and by how
// late the next one is already.
func (t *table) backlog(x *stat, now time.Duration) float64 {
	ms := max(0, x.busy-now).Seconds() * 1e3
	if x.spoke {
		ms = max(ms, fade(now-x.headAt, t.b.Heal(fadePart))*x.headUnread*x.h.b)
	}
	ms = max(ms, fade(now-x.lateAt, t.b.Heal(fadePart))*x.late)
	for _, p := range x.unread {
		ms = max(ms, (now-p.at).Seconds()*1e3-p.want)
	}
	return ms
}

// choice says how the placement takes effect on the worker picked.
func (q *query) choice(o *opening, i int, x option) Choice {
	t, w := q.t, q.g.seats[i]
	c := Choice{Worker: *w.w, Weights: o.weights, Salt: o.text, Urgency: t.v.rank(urgency(q.r), q.size(x.read))}
	p := promise{st: w.st, read: x.read, keys: o.keys, kept: q.r.In > 0}
	if x.from != nil {
		c.Fetch, p.from, p.moved = x.from.addr, x.from.st, x.moved
	}
	for j, k := range o.keys[:o.shared] {
		p.uses = append(p.uses, prefix.Entry{Key: k, Tokens: int(q.upto[j+1] - q.upto[j]), Upto: int(q.upto[j+1])})
	}
	if at := q.store(o); at >= 0 {
		s := q.g.stores[at].svc
		if q.upto[o.shared] >= leastSaved && !q.stored(o) {
			c.Save, p.store = s.Store.Addr, s.Name
		}
		if held := run(t.maybe[i], 0); c.Fetch == "" && held < o.shared && (!o.told || q.used(o)) && q.upto[o.shared]-q.upto[held] >= 2*leastSaved {
			c.Fetch = s.Store.Addr // it may well have it: a miss costs next to nothing
		}
	}
	t.plans.put(ticket{q.r.ID, w.w.ID}, p)
	return c
}

// used tells whether somebody used the deciding part lately, though nobody is known to keep it.
func (q *query) used(o *opening) bool { return o.at >= 0 && q.found[o.keys[o.at]].GetHotness() > 0 }

// store is the one that a prompt's shared parts belong into, of those that answer; -1: none, or
// nothing is shared. Each part has one, so that together they keep as much as they can.
func (q *query) store(o *opening) int {
	if o.shared == 0 {
		return -1
	}
	at, top, h := -1, uint64(0), number(o.keys[max(0, o.at)])
	for i, x := range q.g.stores {
		if w := mix(h ^ queue.Hash(x.svc.Name)); !q.t.down[x.svc.Name] && (at < 0 || w > top) {
			at, top = i, w
		}
	}
	return at
}

// size is 0 for a prompt that is read in a small part of its target, 1 in some of it, 2 in more.
func (q *query) size(read float64) int {
	switch part := read * q.h.b / q.target; {
	case part < 1.0/16:
		return 0
	case part < 3.0/16:
		return 1
	}
	return 2
}

// stored tells whether a store that answers has all that is shared.
func (q *query) stored(o *opening) bool {
	all := uint64(1)<<o.shared - 1
	for i, x := range q.g.stores {
		if o.stores[i]&all == all && !q.t.down[x.svc.Name] {
			return true
		}
	}
	return false
}
