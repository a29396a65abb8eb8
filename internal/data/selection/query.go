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

// scorer is one selection among the workers of an engine's service.
type scorer struct {
	table           *table
	stats           *serviceStats
	snapshot        *fleet.Snapshot
	request         *Request
	group           *serviceGroup
	versions        *modelVersions
	model           string
	found           map[prefix.Key]*wire.LookupResult
	now             time.Duration
	usable          []int
	isRetry         bool
	targetMs        float64 // ms
	tokensUpTo      []float64
	ownTokens       float64 // tokens beside the parts
	meanLoad        float64 // load
	rereadCost      float64 // cost of reading a token again, in ms of a target
	requestHash     uint64  // of the request
	assignedVersion uint64  // version that the prompt is drawn to; 0: none
}

// newPromptState is a prompt under one version of the weights, with its holders.
type promptState struct {
	version      uint64
	salt         string
	keys         []prefix.Key
	sharedParts  int  // parts that other requests use too
	decidingPart int  // the part that decides on its home; -1: none
	cold         bool // that part has no known holder
	indexed      bool // the index answered for it
	hot          bool
	home         int
	sources      []source
	storeParts   []uint64
	knownParts   uint64 // parts that are known to be cached or being read
}

// source is a worker or store that caches some of the parts.
type source struct {
	stats          *workerStats
	candidate      int // -1: a store
	addr           string
	zone           string
	presumedParts  uint64
	confirmedParts uint64
	msPerToken     float64 // ms a token
}

func (r *Request) parts() []PromptPart { return r.Parts[:min(len(r.Parts), maxParts)] }

// assignToNewestVersion assigns the request to the workers on the newest version, for as large a share of prompts as
// they can take: so the older ones drain. All edge machines draw the same prompts.
func (q *scorer) assignToNewestVersion() {
	newest, n := uint64(0), 0
	for _, i := range q.usable {
		switch v := q.versions.versions[i]; {
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
	q.assignedVersion = newest
}

// servedVersions lists the versions that the usable candidates serve, newest first.
func (q *scorer) servedVersions() (l []uint64) {
	for _, v := range q.versions.distinct {
		for _, i := range q.usable {
			if q.versions.versions[i] == v {
				l = append(l, v)
				break
			}
		}
	}
	return l
}

func (q *scorer) selectBest() Choice {
	q.assignToNewestVersion()
	q.targetMs = q.table.bounds.Heal(1.0/30).Seconds() * 1e3
	if q.request.Route != nil && q.request.Route.LatencyTarget > 0 {
		q.targetMs = q.request.Route.LatencyTarget.Seconds() * 1e3
	}
	q.rereadCost = q.targetMs * rereadPart
	ps := q.request.parts()
	q.tokensUpTo = make([]float64, len(ps)+1)
	for i, p := range ps {
		q.tokensUpTo[i+1] = q.tokensUpTo[i] + float64(max(0, p.Tokens))
	}
	q.ownTokens = max(0, float64(q.request.PromptTokens)-q.tokensUpTo[len(ps)])
	q.updateStoreHealth()
	t := q.table
	t.confirmedParts, t.presumedParts, t.prefillingParts = scratch(t.confirmedParts, len(q.group.candidates)), scratch(t.presumedParts, len(q.group.candidates)), scratch(t.prefillingParts, len(q.group.candidates))
	t.loads = scratch(t.loads, len(q.group.candidates))
	for _, i := range q.usable {
		t.loads[i] = t.estimatedLoad(q.group.candidates[i].stats, q.snapshot.Edges, q.now)
		q.meanLoad += t.loads[i] / float64(len(q.usable))
	}
	var os []*promptState
	by := map[uint64]*promptState{}
	for _, v := range q.servedVersions() {
		o := q.newPromptState(v)
		os, by[v] = append(os, o), o
	}
	best, at := workerCost{totalMs: math.Inf(1)}, -1
	q.requestHash = queue.Hash(q.request.ID)
	try := func(i int) {
		if x := q.score(i, by[q.versions.versions[i]], best.totalMs); x.totalMs < best.totalMs {
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
	c := q.newChoice(by[q.versions.versions[at]], at, best)
	if wait := t.backlog(q.group.candidates[at].stats, q.now); wait > shed*q.targetMs {
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

// updateStoreHealth updates which stores answer, from the index.
func (q *scorer) updateStoreHealth() {
	for _, x := range q.group.stores {
		if f, ok := q.found[promptindex.StoreHealthKey(x.service.Name)]; ok {
			q.table.unavailableStores[x.service.Name] = len(f.GetHolders()) == 0
		}
	}
}

// storeHolders marks, by store, the parts that it holds for certain, and those that are on their way.
type storeHolders struct{ confirmed, prefilling []uint64 }

// newPromptState collects the holders of the prompt's parts under one version.
func (q *scorer) newPromptState(v uint64) *promptState {
	ps := q.request.parts()
	o := &promptState{version: v, salt: q.cacheSalt(v), keys: make([]prefix.Key, len(ps)), home: -1, decidingPart: -1,
		storeParts: make([]uint64, len(q.group.stores))}
	stores := storeHolders{make([]uint64, len(q.group.stores)), make([]uint64, len(q.group.stores))}
	o.sharedParts = max(0, len(ps)-1)
	for i := range ps {
		if q.collectHolders(o, stores, i) {
			o.sharedParts = len(ps)
		}
	}
	o.decidingPart = len(ps) - 2
	if o.decidingPart < 0 && o.sharedParts > 0 {
		o.decidingPart = 0
	}
	q.collectSources(o, stores.confirmed, stores.prefilling)
	if o.decidingPart >= 0 {
		o.hot = q.snapshot.Placements[q.group.service.Name].IsReplicated(o.keys[o.decidingPart])
		need := uint64(1) << o.decidingPart
		o.cold = o.knownParts&need == 0
		q.findHome(o)
	}
	return o
}

// collectHolders notes the holders of one part, from the index and from this edge machine's memory. It
// reports whether the part is the prompt's last and shared all the same: a session's, or a repeated request.
func (q *scorer) collectHolders(o *promptState, stores storeHolders, i int) (lastIsShared bool) {
	t, ps := q.table, q.request.parts()
	k := promptindex.PartKey(o.salt, ps[i].ID)
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
		if h.worker != "" && q.now-h.recordedAt < trust {
			q.addHolder(o, stores, h.worker, bit, h.confirmed, !h.confirmed && q.now-h.recordedAt < t.bounds.Heal(soonPart))
		}
	}
	if m.savedAt > 0 && q.now-m.savedAt < t.bounds.Heal(savedPart) {
		q.addHolder(o, stores, m.savedIn, bit, false, q.now-m.savedAt < t.bounds.Heal(soonPart))
	}
	return i == len(ps)-1 && (mine && m.lastRequest != q.request.ID || m.isReused || !q.isRetry && len(f.GetHolders()) > 0 || f.GetHotness() > 0)
}

// addHolder marks a part as held by a worker that serves the state's version, or by a store.
func (q *scorer) addHolder(o *promptState, stores storeHolders, id string, bit uint64, sure, soon bool) {
	t := q.table
	if i, ok := q.group.index[id]; ok {
		if q.versions.versions[i] != o.version {
			return
		}
		t.presumedParts[i] |= bit
		o.knownParts |= bit
		if sure {
			t.confirmedParts[i] |= bit
		}
		if soon {
			t.prefillingParts[i] |= bit
		}
		return
	}
	for i, x := range q.group.stores {
		if x.service.Name == id {
			o.storeParts[i] |= bit
			o.knownParts |= bit
			if sure {
				stores.confirmed[i] |= bit
			}
			if soon {
				stores.prefilling[i] |= bit
			}
		}
	}
}

// cacheSalt is the salt of the parts. Workers that don't report which of the named weights they serve can't
// share any: each request has a salt of its own.
func (q *scorer) cacheSalt(v uint64) string {
	s := salt(q.model, v, q.request.Tenant)
	if !q.versions.reported && q.snapshot.Named[q.model] > 0 {
		s += "/" + url.QueryEscape(q.request.ID)
	}
	return s
}

// collectSources lists the holders of any part, few enough to compare all with all.
func (q *scorer) collectSources(o *promptState, sure, soon []uint64) {
	t, e := q.table, q.group.service.Engine
	for i, x := range q.group.candidates {
		parts := t.presumedParts[i] &^ (t.prefillingParts[i] &^ t.confirmedParts[i]) // parts that are still being read can't be fetched
		if parts == 0 || q.versions.versions[i] != o.version || q.now < x.stats.ejectedUntil {
			continue
		}
		s := source{stats: x.stats, candidate: i, addr: x.worker.Addr, zone: x.worker.Zone, presumedParts: parts, confirmedParts: t.confirmedParts[i], msPerToken: transferMsPerToken(e, e.LinkMbps)}
		if len(o.sources) < sources {
			o.sources = append(o.sources, s)
			continue
		}
		worst := 0
		for j := range o.sources {
			if q.isBetterSource(o.sources[worst], o.sources[j]) {
				worst = j
			}
		}
		if q.isBetterSource(s, o.sources[worst]) {
			o.sources[worst] = s
		}
	}
	for i, x := range q.group.stores {
		if parts := o.storeParts[i] &^ (soon[i] &^ sure[i]); parts != 0 && !t.unavailableStores[x.service.Name] {
			o.sources = append(o.sources, source{stats: x.stats, candidate: -1, addr: x.service.Store.Addr, zone: x.service.Store.Zone,
				presumedParts: parts, confirmedParts: sure[i], msPerToken: transferMsPerToken(e, x.service.Store.LinkMbps)})
		}
	}
}

func (q *scorer) isBetterSource(a, b source) bool {
	if x, y := bits.TrailingZeros64(^a.presumedParts), bits.TrailingZeros64(^b.presumedParts); x != y {
		return x > y
	}
	if x, y := a.zone == q.request.Zone, b.zone == q.request.Zone; x != y {
		return x
	}
	return a.stats.linkBusyUntil < b.stats.linkBusyUntil
}

// findHome finds the home of the deciding part: the first candidate by rendezvous hashing that isn't
// loaded beyond the bound.
func (q *scorer) findHome(o *promptState) {
	h := hashPrefix(o.keys[o.decidingPart])
	top := uint64(0)
	for _, i := range q.usable {
		x := q.group.candidates[i]
		if q.versions.versions[i] != o.version || q.table.loads[i] > boundLoad*q.meanLoad+1+slotRoom*float64(x.worker.Slots) {
			continue
		}
		if w := mix(h ^ x.hash); o.home < 0 || w > top {
			o.home, top = i, w
		}
	}
}

// hashPrefix is a key's first bytes: keys are hashes.
func hashPrefix(k prefix.Key) uint64 { return binary.BigEndian.Uint64(k[:]) }

func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
