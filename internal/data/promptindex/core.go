// Package promptindex is an index node: for every prefix of its shards, who holds it and how
// hot it is. It holds no data and has no disk. Core is a pure state machine.
package promptindex

import (
	"math"
	"sort"
	"time"

	"pebbleloom/internal/contract"
	"pebbleloom/internal/data/prefix"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

// How sure the index is of a holder.
const (
	Presumed  uint32 = iota + 1 // a request was routed there, or a save was ordered
	Confirmed                   // the worker's own report says so
)

type hold struct {
	state  uint32
	at     time.Duration
	gen    uint32
	tokens uint32 // kept of the entry's, where that was told; 0: all
}

type entry struct {
	tokens  uint32
	hot     float64
	at      time.Duration
	service string
	head    bool // a prompt begins with it
	holders map[string]hold
}

type worker struct {
	inc    string
	gen    uint32
	number uint64
	whole  bool // a full report is needed
	heard  time.Duration
	asked  bool   // it is one that reports are asked of
	told   bool   // it has told all it holds
	turn   uint64 // counts its leavings and its answers
}

type teller struct {
	inc, number uint64
	past        uint64 // the life before: its late batches aren't counted
	heard       time.Duration
}

// Core is one index node's tables.
type Core struct {
	b       settings.Bounds
	window  time.Duration
	all     map[prefix.Key]*entry
	workers map[string]*worker
	tellers map[string]*teller
	mine    func(prefix.Key) bool
	slack   float64 // the share of those asked that may not have told all while the index is warm
	loads   *Loads
	Stats   Stats
}

// Stats counts what the index has done.
type Stats struct{ Lapsed, Gaps, Wholes, Evicted, Repeats uint64 }

// New makes an empty index; mine tells which keys are this node's.
//
// Example: c := catalogue.New(bounds, func(k prefix.Key) bool { return shards.Mine(k) })
func New(b settings.Bounds, mine func(prefix.Key) bool) *Core {
	return &Core{b: b, window: 30 * time.Second, all: map[prefix.Key]*entry{}, workers: map[string]*worker{},
		tellers: map[string]*teller{}, mine: mine, loads: NewLoads(b)}
}

func (c *Core) decay(e *entry, now time.Duration) {
	if dt := now - e.at; dt > 0 {
		e.hot *= math.Exp(-float64(dt) / float64(c.window))
		e.at = now
	}
}

func (c *Core) entry(k prefix.Key, now time.Duration) *entry {
	e := c.all[k]
	if e == nil {
		if len(c.all) >= c.b.Entries {
			c.evict(now)
		}
		e = &entry{at: now, holders: map[string]hold{}}
		c.all[k] = e
	}
	return e
}

// evict drops the coldest of a few: the table stays within its bound.
func (c *Core) evict(now time.Duration) {
	var cold prefix.Key
	best, n := math.Inf(1), 0
	for k, e := range c.all {
		c.decay(e, now)
		if e.hot < best {
			best, cold = e.hot, k
		}
		if n++; n >= 16 {
			break
		}
	}
	delete(c.all, cold)
	c.Stats.Evicted++
}

func (c *Core) worker(name string) *worker {
	w := c.workers[name]
	if w == nil {
		w = &worker{whole: true}
		c.workers[name] = w
	}
	return w
}

// Want tells what to ask a worker for next.
//
// Example: q := c.Want("cab-3"); reports := ask(q.After, q.Whole); c.Report(q, reports, now)
func (c *Core) Want(name, service string) Question {
	w := c.worker(name)
	w.asked = true
	return Question{name, service, w.number, w.whole, w.turn}
}

// Question is what a worker is asked for. An answer to one from before the worker left, or from
// before another answer, tells of what may be gone.
type Question struct {
	Name, Service string
	After         uint64
	Whole         bool
	turn          uint64
}

// Report takes a worker's answer. A gap in the numbers or another incarnation means that a
// full report is asked for next; until then what is known stays, and lapses as it would.
//
// Example: c.Report(question, r, now)
func (c *Core) Report(q Question, r contract.Reports, now time.Duration) {
	name, service, w := q.Name, q.Service, c.worker(q.Name)
	if q.turn != w.turn {
		return
	}
	w.heard = now
	w.turn++ // each question is answered once
	if r.Incarnation != w.inc {
		w.inc, w.number, w.whole = r.Incarnation, 0, true
		w.gen++ // whatever the old life held is gone
	}
	if r.Whole {
		w.gen++
		c.Stats.Wholes++
		for _, h := range r.Held {
			c.add(name, service, w, h, now)
		}
		w.number, w.whole, w.told = r.Number, false, true
		return
	}
	if w.whole {
		return
	}
	for _, p := range r.List {
		if p.Number <= w.number {
			continue
		}
		if p.Number != w.number+1 {
			break
		}
		for _, h := range p.Added {
			c.add(name, service, w, h, now)
		}
		for _, g := range p.Gone {
			if k, ok := prefix.Parse(g); ok && c.all[k] != nil {
				delete(c.all[k].holders, name)
			}
		}
		w.number = p.Number
	}
	if w.number != r.Number {
		w.whole = true
		c.Stats.Gaps++
	}
}

func (c *Core) add(name, service string, w *worker, h contract.Kept, now time.Duration) {
	k, ok := prefix.Parse(h.Key)
	if !ok || !c.mine(k) {
		return
	}
	e := c.entry(k, now)
	if h.Tokens > 0 {
		e.tokens = uint32(h.Tokens)
	}
	if e.service == "" {
		e.service = service
	}
	e.holders[name] = hold{state: Confirmed, at: now, gen: w.gen}
}

// Leave forgets a worker that has gone.
//
// Example: c.Leave("cab-3")
func (c *Core) Leave(name string) {
	if w := c.workers[name]; w != nil {
		w.gen++
		w.turn++
		w.inc, w.number, w.whole, w.asked, w.told = "", 0, true, false, false
	}
}

// Reshard asks all workers for full reports, after this node's shards have changed.
//
// Example: c.Reshard()
func (c *Core) Reshard() {
	for _, w := range c.workers {
		w.whole, w.told = true, false
	}
	for k := range c.all {
		if !c.mine(k) {
			delete(c.all, k)
		}
	}
}

// holds tells whether a holding still counts: presumed ones lapse unless confirmed, and
// confirmed ones lapse when the worker hasn't reported for long.
func (c *Core) holds(name string, h hold, now time.Duration) bool {
	w := c.workers[name]
	if w == nil || h.gen != w.gen {
		return false
	}
	if h.state == Presumed {
		return now-h.at < c.b.Heal(0.5)
	}
	return now-max(w.heard, h.at) < c.b.Heal(2.5)
}

// Seek answers a batch of look-ups.
//
// Example: t := c.Seek(keys, now)
func (c *Core) Seek(keys []prefix.Key, now time.Duration) []*wire.Found {
	l := make([]*wire.Found, 0, len(keys))
	for _, k := range keys {
		f := &wire.Found{}
		if e := c.all[k]; e != nil {
			c.decay(e, now)
			f.Hotness = e.hot
			for n, h := range e.holders {
				if c.holds(n, h, now) {
					if h.partial(e) {
						continue
					}
					f.Holders = append(f.Holders, &wire.Holding{Worker: n, State: h.state})
				} else {
					delete(e.holders, n)
					c.Stats.Lapsed++
				}
			}
			sort.Slice(f.Holders, func(i, j int) bool { return f.Holders[i].Worker < f.Holders[j].Worker })
		}
		l = append(l, f)
	}
	return l
}

// Count takes a teller's batch of accesses once: a repeated number isn't counted again. A
// teller that this index has no memory of is asked to tell its whole window again.
//
// Example: t := c.Count(ask, now)
func (c *Core) Count(a *wire.CountAsk, now time.Duration) *wire.CountTell {
	t := c.tellers[a.Teller]
	if t == nil {
		if len(c.tellers) >= maxTellers && !c.forget(now) {
			return &wire.CountTell{Number: a.Number} // not counted: better too cold than counted twice
		}
		t = &teller{}
		c.tellers[a.Teller] = t
	}
	t.heard = now
	if t.inc != a.Incarnation && t.past != a.Incarnation {
		t.past, t.inc, t.number = t.inc, a.Incarnation, 0
	}
	if a.Number <= t.number || t.inc != a.Incarnation {
		c.Stats.Repeats++
		return &wire.CountTell{Number: t.number}
	}
	again := t.number == 0 && a.Number > 1
	t.number = a.Number
	for _, x := range a.Accesses {
		if len(x.Key) != len(prefix.Key{}) {
			continue
		}
		k := prefix.Key(x.Key)
		if !c.mine(k) {
			continue
		}
		e := c.entry(k, now)
		c.decay(e, now)
		e.hot += float64(x.Count)
		e.service, e.head = x.Service, e.head || x.Head
		if x.Tokens > 0 {
			e.tokens = x.Tokens
		}
		for _, p := range x.Presumed {
			w := c.worker(p)
			if h, ok := e.holders[p]; !ok || h.gen != w.gen || h.state == Presumed || h.partial(e) {
				e.holders[p] = hold{state: Presumed, at: now, gen: w.gen}
			}
		}
	}
	return &wire.CountTell{Number: t.number, Again: again}
}

const maxTellers = 1024

// forget makes room by the teller that was silent longest, if that is longer than any batch is
// sent again.
func (c *Core) forget(now time.Duration) bool {
	name, at := "", now
	for n, t := range c.tellers {
		if t.heard < at || t.heard == at && n < name {
			name, at = n, t.heard
		}
	}
	if now-at < c.b.Heal(1) {
		return false
	}
	delete(c.tellers, name)
	return true
}

// Hottest lists a service's hottest entries with the sum over all of them.
//
// Example: t := c.Hottest("appraisals", 1000, now)
func (c *Core) Hottest(service string, limit int, now time.Duration) *wire.HotTell {
	t := &wire.HotTell{Warm: c.Warm()}
	for k, e := range c.all {
		if e.service != service {
			continue
		}
		c.decay(e, now)
		if e.hot < 0.01 {
			continue
		}
		t.Entries++
		t.Total += e.hot
		t.Hot = append(t.Hot, &wire.Hot{Key: k[:], Hotness: e.hot, Tokens: e.tokens, Holders: uint32(len(e.holders)), Head: e.head})
	}
	sort.Slice(t.Hot, func(i, j int) bool {
		if t.Hot[i].Hotness != t.Hot[j].Hotness {
			return t.Hot[i].Hotness > t.Hot[j].Hotness
		}
		return string(t.Hot[i].Key) < string(t.Hot[j].Key)
	})
	if len(t.Hot) > limit {
		t.Hot = t.Hot[:limit]
	}
	return t
}

// Warm tells whether every worker, or all but a few, has told all it holds since this index began.
//
// Example: if c.Warm() { … }
func (c *Core) Warm() bool {
	n, untold := 0, 0
	for _, w := range c.workers {
		if w.asked && !w.told {
			untold++
		}
		if w.told {
			n++
		}
	}
	return n > 0 && float64(untold) <= c.slack*float64(n+untold)
}
