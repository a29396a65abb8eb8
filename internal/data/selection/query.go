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

// query is one selection among the workers of an engine's service.
type query struct {
	table    *table
	service  *serviceStats
	snapshot *fleet.Snapshot
	request  *Request
	group    *group
	serving  *serving
	model    string
	found    map[prefix.Key]*wire.Found
	now      time.Duration
	usable   []int
	retry    bool
	target   float64 // ms
	upto     []float64
	own      float64 // tokens beside the parts
	mean     float64 // load
	read     float64 // cost of reading a token again, in ms of a target
	hash     uint64  // of the request
	drawn    uint64  // version that the prompt is drawn to; 0: none
}

// promptState is a prompt under one version of the weights, with its holders.
type promptState struct {
	weights uint64
	text    string
	keys    []prefix.Key
	shared  int  // parts that other requests use too
	at      int  // the part that decides on its home; -1: none
	cold    bool // that part has no known holder
	indexed bool // the index answered for it
	hot     bool
	home    int
	from    []source
	stores  []uint64
	kept    uint64 // parts that are known to be cached or being read
}

// source is a worker or store that caches some of the parts.
type source struct {
	st    *workerStats
	seat  int // -1: a store
	addr  string
	zone  string
	parts uint64
	sure  uint64
	pipe  float64 // ms a token
}

func (r *Request) parts() []Part { return r.Parts[:min(len(r.Parts), maxParts)] }

// draw assigns the request to the workers on the newest version, for as large a share of prompts as
// they can take: so the older ones drain. All edge machines draw the same prompts.
func (q *query) draw() {
	newest, n := uint64(0), 0
	for _, i := range q.usable {
		switch v := q.serving.versions[i]; {
		case v > newest:
			newest, n = v, 1
		case v == newest:
			n++
		}
	}
	f := float64(n) / float64(max(1, len(q.usable)))
	if n == len(q.usable) || n < 2 && f < fewPart || f < fewPart {
		return
	}
	id := q.request.ID
	if p := q.request.parts(); len(p) > 0 {
		id = p[max(0, len(p)-2)].ID
	}
	if float64(queue.Hash(id)>>11)/(1<<53) >= f*drawPart {
		return
	}
	q.drawn = newest
}

// weights lists the versions that the usable candidates serve, newest first.
func (q *query) weights() (l []uint64) {
	for _, v := range q.serving.distinct {
		for _, i := range q.usable {
			if q.serving.versions[i] == v {
				l = append(l, v)
				break
			}
		}
	}
	return l
}

func (q *query) run() Choice {
	q.draw()
	q.target = q.table.bounds.Heal(1.0/30).Seconds() * 1e3
	if q.request.Route != nil && q.request.Route.Target > 0 {
		q.target = q.request.Route.Target.Seconds() * 1e3
	}
	q.read = q.target * rereadPart
	ps := q.request.parts()
	q.upto = make([]float64, len(ps)+1)
	for i, p := range ps {
		q.upto[i+1] = q.upto[i] + float64(max(0, p.Tokens))
	}
	q.own = max(0, float64(q.request.In)-q.upto[len(ps)])
	q.stores()
	t := q.table
	t.sure, t.maybe, t.soon = scratch(t.sure, len(q.group.candidates)), scratch(t.maybe, len(q.group.candidates)), scratch(t.soon, len(q.group.candidates))
	t.loads = scratch(t.loads, len(q.group.candidates))
	for _, i := range q.usable {
		t.loads[i] = t.load(q.group.candidates[i].stats, q.snapshot.Edges, q.now)
		q.mean += t.loads[i] / float64(len(q.usable))
	}
	var os []*promptState
	by := map[uint64]*promptState{}
	for _, v := range q.weights() {
		o := q.promptState(v)
		os, by[v] = append(os, o), o
	}
	best, at := workerCost{cost: math.Inf(1)}, -1
	q.hash = queue.Hash(q.request.ID)
	try := func(i int) {
		if x := q.weigh(i, by[q.serving.versions[i]], best.cost); x.cost < best.cost {
			best, at = x, i
		}
	}
	for _, o := range os { // the likely ones first: most others then stop early
		if o.home >= 0 {
			try(o.home)
		}
	}
	for _, i := range q.usable {
		try(i)
	}
	c := q.newChoice(by[q.serving.versions[at]], at, best)
	if wait := t.backlog(q.group.candidates[at].stats, q.now); wait > shed*q.target {
		c.RetryAfter = time.Duration(wait * float64(time.Millisecond))
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

// stores updates which stores answer, from the index.
func (q *query) stores() {
	for _, x := range q.group.stores {
		if f, ok := q.found[promptindex.UpKey(x.service.Name)]; ok {
			q.table.storesDown[x.service.Name] = len(f.GetHolders()) == 0
		}
	}
}

// storeHolders marks, by store, the parts that it holds for certain, and those that are on their way.
type storeHolders struct{ sure, soon []uint64 }

// promptState collects the holders of the prompt's parts under one version.
func (q *query) promptState(v uint64) *promptState {
	ps := q.request.parts()
	o := &promptState{weights: v, text: q.text(v), keys: make([]prefix.Key, len(ps)), home: -1, at: -1,
		stores: make([]uint64, len(q.group.stores))}
	stores := storeHolders{make([]uint64, len(q.group.stores)), make([]uint64, len(q.group.stores))}
	o.shared = max(0, len(ps)-1)
	for i := range ps {
		if q.collectHolders(o, stores, i) {
			o.shared = len(ps)
		}
	}
	o.at = len(ps) - 2
	if o.at < 0 && o.shared > 0 {
		o.at = 0
	}
	q.sources(o, stores.sure, stores.soon)
	if o.at >= 0 {
		o.hot = q.snapshot.Placements[q.group.service.Name].Hot(o.keys[o.at])
		need := uint64(1) << o.at
		o.cold = o.kept&need == 0
		q.findHome(o)
	}
	return o
}

// collectHolders notes the holders of one part, from the index and from this edge machine's memory. It
// reports whether the part is the prompt's last and shared all the same: a session's, or a repeated request.
func (q *query) collectHolders(o *promptState, stores storeHolders, i int) (lastIsShared bool) {
	t, ps := q.table, q.request.parts()
	k := promptindex.KeyOf(o.text, ps[i].ID)
	o.keys[i] = k
	bit := uint64(1) << i
	f, found := q.found[k]
	o.indexed = o.indexed || found
	for _, h := range f.GetHolders() {
		q.addHolder(o, stores, h.Worker, bit, h.State == promptindex.Confirmed, false)
	}
	m, mine := t.parts.get(k)
	trust := t.bounds.Heal(memoPart)
	if f.GetHotness() > 0 {
		trust = t.bounds.Heal(newsPart) // the index knows older holdings better
	}
	for _, h := range m.holders {
		if h.id != "" && q.now-h.at < trust {
			q.addHolder(o, stores, h.id, bit, h.sure, !h.sure && q.now-h.at < t.bounds.Heal(soonPart))
		}
	}
	if m.saved > 0 && q.now-m.saved < t.bounds.Heal(savedPart) {
		q.addHolder(o, stores, m.store, bit, false, q.now-m.saved < t.bounds.Heal(soonPart))
	}
	return i == len(ps)-1 && (mine && m.by != q.request.ID || m.again || !q.retry && len(f.GetHolders()) > 0 || f.GetHotness() > 0)
}

// addHolder marks a part as held by a worker that serves the state's version, or by a store.
func (q *query) addHolder(o *promptState, stores storeHolders, id string, bit uint64, sure, soon bool) {
	t := q.table
	if i, ok := q.group.index[id]; ok {
		if q.serving.versions[i] != o.weights {
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
	for i, x := range q.group.stores {
		if x.service.Name == id {
			o.stores[i] |= bit
			o.kept |= bit
			if sure {
				stores.sure[i] |= bit
			}
			if soon {
				stores.soon[i] |= bit
			}
		}
	}
}

// text is the salt of the parts. Workers that don't report which of the named weights they serve can't
// share any: each request has a salt of its own.
func (q *query) text(v uint64) string {
	s := salt(q.model, v, q.request.Tenant)
	if !q.serving.reported && q.snapshot.Named[q.model] > 0 {
		s += "/" + url.QueryEscape(q.request.ID)
	}
	return s
}

// sources lists the holders of any part, few enough to compare all with all.
func (q *query) sources(o *promptState, sure, soon []uint64) {
	t, e := q.table, q.group.service.Engine
	for i, x := range q.group.candidates {
		parts := t.maybe[i] &^ (t.soon[i] &^ t.sure[i]) // parts that are still being read can't be fetched
		if parts == 0 || q.serving.versions[i] != o.weights || q.now < x.stats.outUntil {
			continue
		}
		s := source{st: x.stats, seat: i, addr: x.worker.Addr, zone: x.worker.Zone, parts: parts, sure: t.sure[i], pipe: pipe(e, e.LinkMbps)}
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
	for i, x := range q.group.stores {
		if parts := o.stores[i] &^ (soon[i] &^ sure[i]); parts != 0 && !t.storesDown[x.service.Name] {
			o.from = append(o.from, source{st: x.stats, seat: -1, addr: x.service.Store.Addr, zone: x.service.Store.Zone,
				parts: parts, sure: sure[i], pipe: pipe(e, x.service.Store.LinkMbps)})
		}
	}
}

func (q *query) better(a, b source) bool {
	if x, y := bits.TrailingZeros64(^a.parts), bits.TrailingZeros64(^b.parts); x != y {
		return x > y
	}
	if x, y := a.zone == q.request.Zone, b.zone == q.request.Zone; x != y {
		return x
	}
	return a.st.linkBusyUntil < b.st.linkBusyUntil
}

// findHome finds the home of the deciding part: the first candidate by rendezvous hashing that isn't
// loaded beyond the bound.
func (q *query) findHome(o *promptState) {
	h := number(o.keys[o.at])
	top := uint64(0)
	for _, i := range q.usable {
		x := q.group.candidates[i]
		if q.serving.versions[i] != o.weights || q.table.loads[i] > boundLoad*q.mean+1+slotRoom*float64(x.worker.Slots) {
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
