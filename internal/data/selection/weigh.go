package selection

import (
	"encoding/binary"
	"math"
	"math/bits"
	"net/url"
	"time"

	"pebbleloom/internal/data/prefix"
	"pebbleloom/internal/data/promptindex"
	"pebbleloom/internal/fleet"
	"pebbleloom/internal/queue"
	"pebbleloom/internal/wire"
)

// query is one choice among the workers of an engine's service.
type query struct {
	t      *table
	h      *habit
	s      *fleet.Snapshot
	r      *Request
	g      *group
	m      *serving
	model  string
	found  map[prefix.Key]*wire.Found
	now    time.Duration
	cs     []int
	retry  bool
	target float64 // ms
	upto   []float64
	own    float64 // tokens beside the parts
	mean   float64 // load
	read   float64 // what reading a token again costs, in ms of a target
	hash   uint64  // of the request
	drawn  uint64  // version that the prompt is drawn to; 0: none
}

// opening is a prompt under one version of the weights.
type opening struct {
	weights uint64
	text    string
	keys    []prefix.Key
	shared  int  // parts that other requests use too
	at      int  // the part that decides where it is at home; -1: none
	cold    bool // nobody is known to keep that part
	told    bool // the index answered for it
	hot     bool
	home    int
	from    []source
	stores  []uint64
	kept    uint64 // parts that somebody is known to keep, or to read right now
}

// source is a worker or store that keeps some of the parts.
type source struct {
	st       *stat
	seat     int // -1: a store
	addr     string
	district string
	parts    uint64
	sure     uint64
	pipe     float64 // ms a token
}

func (r *Request) parts() []Part { return r.Parts[:min(len(r.Parts), maxParts)] }

// draw leaves the request to the workers on the newest version for as large a share of prompts
// as they can take: so the older ones drain. All edges draw the same prompts.
func (q *query) draw() {
	newest, n := uint64(0), 0
	for _, i := range q.cs {
		switch v := q.m.by[i]; {
		case v > newest:
			newest, n = v, 1
		case v == newest:
			n++
		}
	}
	f := float64(n) / float64(max(1, len(q.cs)))
	if n == len(q.cs) || n < 2 && f < fewPart || f < fewPart {
		return
	}
	id := q.r.ID
	if p := q.r.parts(); len(p) > 0 {
		id = p[max(0, len(p)-2)].ID
	}
	if float64(queue.Hash(id)>>11)/(1<<53) >= f*drawPart {
		return
	}
	q.drawn = newest
}

// weights lists the versions that the seats left serve, newest first.
func (q *query) weights() (l []uint64) {
	for _, v := range q.m.all {
		for _, i := range q.cs {
			if q.m.by[i] == v {
				l = append(l, v)
				break
			}
		}
	}
	return l
}

func (q *query) pick() Choice {
	q.draw()
	q.target = q.t.b.Heal(1.0/30).Seconds() * 1e3
	if q.r.Route != nil && q.r.Route.Target > 0 {
		q.target = q.r.Route.Target.Seconds() * 1e3
	}
	q.read = q.target * rereadPart
	ps := q.r.parts()
	q.upto = make([]float64, len(ps)+1)
	for i, p := range ps {
		q.upto[i+1] = q.upto[i] + float64(max(0, p.Tokens))
	}
	q.own = max(0, float64(q.r.In)-q.upto[len(ps)])
	q.stores()
	t := q.t
	t.sure, t.maybe, t.soon = scratch(t.sure, len(q.g.seats)), scratch(t.maybe, len(q.g.seats)), scratch(t.soon, len(q.g.seats))
	t.loads = scratch(t.loads, len(q.g.seats))
	for _, i := range q.cs {
		t.loads[i] = t.load(q.g.seats[i].st, q.s.Edges, q.now)
		q.mean += t.loads[i] / float64(len(q.cs))
	}
	var os []*opening
	by := map[uint64]*opening{}
	for _, v := range q.weights() {
		o := q.open(v)
		os, by[v] = append(os, o), o
	}
	best, at := option{cost: math.Inf(1)}, -1
	q.hash = queue.Hash(q.r.ID)
	try := func(i int) {
		if x := q.weigh(i, by[q.m.by[i]], best.cost); x.cost < best.cost {
			best, at = x, i
		}
	}
	for _, o := range os { // the likely ones first: most others needn't be weighed to the end
		if o.home >= 0 {
			try(o.home)
		}
	}
	for _, i := range q.cs {
		try(i)
	}
	c := q.choice(by[q.m.by[at]], at, best)
	if wait := t.backlog(q.g.seats[at].st, q.now); wait > shed*q.target {
		c.Again = time.Duration(wait * float64(time.Millisecond))
	}
	return c
}

func scratch[T any](l []T, n int) []T {
	if cap(l) < n {
		return make([]T, n)
	}
	l = l[:n]
	clear(l)
	return l
}

// stores learns from the index which stores answer.
func (q *query) stores() {
	for _, x := range q.g.stores {
		if f, ok := q.found[promptindex.UpKey(x.svc.Name)]; ok {
			q.t.down[x.svc.Name] = len(f.GetHolders()) == 0
		}
	}
}

// open lays out who keeps what of the prompt under one version.
func (q *query) open(v uint64) *opening {
	t, ps := q.t, q.r.parts()
	o := &opening{weights: v, text: q.text(v), keys: make([]prefix.Key, len(ps)), home: -1, at: -1,
		stores: make([]uint64, len(q.g.stores))}
	storesSure, storesSoon := make([]uint64, len(q.g.stores)), make([]uint64, len(q.g.stores))
	note := func(id string, bit uint64, sure, soon bool) {
		if i, ok := q.g.at[id]; ok {
			if q.m.by[i] != v {
				return
			}
			t.maybe[i] |= bit
			o.kept |= bit
			if sure {
				t.sure[i] |= bit
			}
			if soon {
				t.soon[i] |= bit
			}
			return
		}
		for i, x := range q.g.stores {
			if x.svc.Name == id {
				o.stores[i] |= bit
				o.kept |= bit
				if sure {
					storesSure[i] |= bit
				}
				if soon {
					storesSoon[i] |= bit
				}
			}
		}
	}
	o.shared = max(0, len(ps)-1)
	for i, p := range ps {
		k := promptindex.KeyOf(o.text, p.ID)
		o.keys[i] = k
		bit := uint64(1) << i
		f, told := q.found[k]
		o.told = o.told || told
		for _, h := range f.GetHolders() {
			note(h.Worker, bit, h.State == promptindex.Confirmed, false)
		}
		m, mine := t.memo.get(k)
		trust := t.b.Heal(memoPart)
		if f.GetHotness() > 0 {
			trust = t.b.Heal(newsPart) // what is older the index knows better
		}
		for _, h := range m.holders {
			if h.id != "" && q.now-h.at < trust {
				note(h.id, bit, h.sure, !h.sure && q.now-h.at < t.b.Heal(soonPart))
			}
		}
		if m.saved > 0 && q.now-m.saved < t.b.Heal(savedPart) {
			note(m.store, bit, false, q.now-m.saved < t.b.Heal(soonPart))
		}
		if i == len(ps)-1 && (mine && m.by != q.r.ID || m.again || !q.retry && len(f.GetHolders()) > 0 || f.GetHotness() > 0) {
			o.shared = len(ps) // a session's, or asked once more
		}
	}
	o.at = len(ps) - 2
	if o.at < 0 && o.shared > 0 {
		o.at = 0
	}
	q.sources(o, storesSure, storesSoon)
	if o.at >= 0 {
		o.hot = q.s.Placements[q.g.svc.Name].Hot(o.keys[o.at])
		need := uint64(1) << o.at
		o.cold = o.kept&need == 0
		q.settle(o)
	}
	return o
}

// text is what parts are kept under. Workers that don't tell which of the named weights they
// serve can't share any: each request has a text of its own.
func (q *query) text(v uint64) string {
	s := salt(q.model, v, q.r.Tenant)
	if !q.m.listed && q.s.Named[q.model] > 0 {
		s += "/" + url.QueryEscape(q.r.ID)
	}
	return s
}

// sources lists those that keep any of the prompt, few enough to weigh all against all.
func (q *query) sources(o *opening, sure, soon []uint64) {
	t, e := q.t, q.g.svc.Engine
	for i, x := range q.g.seats {
		parts := t.maybe[i] &^ (t.soon[i] &^ t.sure[i]) // what it is reading it can't give yet
		if parts == 0 || q.m.by[i] != o.weights || q.now < x.st.outUntil {
			continue
		}
		s := source{st: x.st, seat: i, addr: x.w.Addr, district: x.w.Zone, parts: parts, sure: t.sure[i], pipe: pipe(e, e.LinkMbps)}
		if len(o.from) < sources {
			o.from = append(o.from, s)
			continue
		}
		worst := 0
		for j := range o.from {
			if q.better(o.from[worst], o.from[j]) {
				worst = j
			}
		}
		if q.better(s, o.from[worst]) {
			o.from[worst] = s
		}
	}
	for i, x := range q.g.stores {
		if parts := o.stores[i] &^ (soon[i] &^ sure[i]); parts != 0 && !t.down[x.svc.Name] {
			o.from = append(o.from, source{st: x.st, seat: -1, addr: x.svc.Store.Addr, district: x.svc.Store.Zone,
				parts: parts, sure: sure[i], pipe: pipe(e, x.svc.Store.LinkMbps)})
		}
	}
}

func (q *query) better(a, b source) bool {
	if x, y := bits.TrailingZeros64(^a.parts), bits.TrailingZeros64(^b.parts); x != y {
		return x > y
	}
	if x, y := a.district == q.r.District, b.district == q.r.District; x != y {
		return x
	}
	return a.st.moves < b.st.moves
}

// settle finds the home of the deciding part: the first by rendezvous that isn't loaded beyond
// the bound.
func (q *query) settle(o *opening) {
	h := number(o.keys[o.at])
	top := uint64(0)
	for _, i := range q.cs {
		x := q.g.seats[i]
		if q.m.by[i] != o.weights || q.t.loads[i] > boundLoad*q.mean+1+slotRoom*float64(x.w.Slots) {
			continue
		}
		if w := mix(h ^ x.hash); o.home < 0 || w > top {
			o.home, top = i, w
		}
	}
}

// number is a key's first bytes: keys are hashes.
func number(k prefix.Key) uint64 { return binary.BigEndian.Uint64(k[:]) }

func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
