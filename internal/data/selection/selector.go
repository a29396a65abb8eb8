package selection

import (
	"context"
	"time"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/data/indexclient"
	"pebbleloom/internal/data/prefix"
	"pebbleloom/internal/data/promptindex"
	"pebbleloom/internal/fleet"
	"pebbleloom/internal/queue"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

// The constants of the selection, as ratios.
const (
	boundLoad   = 1.25     // a home is preferred up to this multiple of the mean load, plus one
	slotRoom    = 1.0 / 16 // and this share of its slots, if it has many
	leanCold    = 0.75     // of the cost of reading: so that no other worker reads it too
	leanKept    = 0.3      // of the same, once it is cached: so that no copy displaces another part
	leanHome    = 0.05     // of the same: so that copies are made at the same worker
	rereadPart  = 1.0 / 12500
	movePart    = 0.011 // of the cost of reading a token again, beside the transfer time
	risk        = 0.15  // that a presumed part isn't cached yet
	afarPart    = 0.01  // of a target: cost of sending a prompt as long as rereadPart's to another zone
	crowd       = 0.25  // of an attempt's time: slowdown of a full worker
	shed        = 0.5   // targets of waiting at the best worker: from there on the client is asked to retry
	noise       = 0.01  // of a target: so that edge machines don't all select the same of equal workers
	distant     = 2     // a transfer between zones takes this many times as long
	outShare    = 1.0 / 3
	backCost    = 0.5  // of a target: cost of a worker that just recovered
	olderPart   = 0.85 // of the weights' bound during which an older version may be selected
	inheritPart = 1.0 / 6
	freePart    = 0.8     // of the contact window: how long after its start a machine isn't in contact
	fewPart     = 1.0 / 7 // of the workers on the newest version before requests are drawn to it
	drawPart    = 1.3     // requests drawn there, for a share of the workers that is there
	drawCost    = 1.0     // of the time of reading the shared parts
	sources     = 12      // workers that are considered as sources
	maxParts    = 60
	leastSaved  = 128 // tokens worth saving in the store
)

// Ratios of the heal bound, and weights of the latest sample.
const (
	fadePart   = 1.0 / 24 // of a report on load
	forgetPart = 0.5      // of a worker's slowness
	fullPart   = 1.0 / 96
	soonPart   = 1.0 / 24 // a sent prompt is read by then
	loadPart   = 1.0 / 24
	movedPart  = 1.0 / 12
	outPart    = 1.0 / 48
	outMost    = 0.5
	freshPart  = 1.0 / 8 // what this edge machine saw itself needs no lookup
	newsPart   = 1.0 / 8 // a worker's report of what it dropped has reached the index by then
	memoPart   = 2.0
	savedPart  = 1.0
	waitPart   = 1.0 / 8    // of a target, for the index
	waitLeast  = 1.0 / 2400 // of the heal bound
	waitMost   = 1.0 / 150
	basePart   = 1.0 / 400     // assumed before a first event was measured
	tokenPart  = 1.0 / 1200000 // the same, for each token read
	slowPart   = 0.2
	alike      = 0.02 // smaller differences between workers are noise
	badPart    = 0.2
	meanPart   = 0.1
	keepPart   = 0.98
	believe    = 4.0
	nothing    = 1e-6
)

// The prior about first events counts as a few samples of a short and of a long prompt.
const (
	belief         = 3
	believedTokens = 10000
)

const (
	maxMemo   = 4096
	maxTicket = 4096
)

// attemptKey identifies one attempt at one worker.
type attemptKey struct{ request, worker string }

// attempt is what a selection expected, and its ending is judged against.
type attempt struct {
	prefillTokens  float64 // tokens to be read
	transferMs     float64
	keys           []prefix.Key
	sharedParts    []prefix.Entry // the shared parts
	stats          *workerStats
	source         *workerStats
	store          string // the store that gets the parts
	sentAt         time.Duration
	prefillTime    time.Duration // of its worker's time
	usesCache      bool          // an engine, and a prompt to read
	firstEventSeen bool          // its first event came
	firstEventDue  time.Duration // deadline of the first event
}

// table is one edge machine's memory for selections.
type table struct {
	bounds            settings.Bounds
	startedAt         time.Duration
	unboundUntil      time.Duration // until then the bound on weights doesn't apply
	layout            *layout
	workers           map[string]*workerStats
	parts             *recentMap[prefix.Key, partRecord]
	selected          *recentMap[attemptKey, attempt]
	inFlight          map[attemptKey]attempt
	unavailableStores map[string]bool          // stores that don't answer
	services          map[string]*serviceStats // by service
	lastSweep         time.Duration
	confirmedParts    []uint64 // scratch, by candidate: cached parts
	presumedParts     []uint64 // presumed ones included
	prefillingParts   []uint64 // being read for this edge machine
	loads             []float64
	usableScratch     []int
	avoidanceScratch  []int
}

type selector struct {
	clock  clock.Clock
	bounds settings.Bounds
	actor  *queue.Actor[table]
	index  *indexclient.Client
}

// New makes an edge machine's selector over its client of the index.
//
// Example: p := selection.New(process, indexclient.New(process, nodes), place.Name)
func New(l *daemon.Process, c *indexclient.Client, self string) Selector {
	t := newTable(l.Settings.Bounds, l.Clock.Now())
	if x := l.Settings.Site; x != nil {
		t.unboundUntil = t.startedAt + settings.Fraction(x.ContactWindowMs, freePart)
	}
	p := &selector{clock: l.Clock, bounds: l.Settings.Bounds, index: c, actor: queue.NewActor(t, 1024)}
	l.OnStop(p.actor.Stop)
	c.ShareLoads(p.loads, p.receiveLoads)
	return p
}

func newTable(b settings.Bounds, now time.Duration) *table {
	t := &table{bounds: b, startedAt: now, workers: map[string]*workerStats{}, parts: newRecentMap[prefix.Key, partRecord](maxMemo),
		selected: newRecentMap[attemptKey, attempt](maxTicket), inFlight: map[attemptKey]attempt{}, unavailableStores: map[string]bool{}, services: map[string]*serviceStats{}}
	return t
}

// Lookup asks the index for a prompt's parts, unless this edge machine knows enough itself.
//
// Example: found := p.Lookup(ctx, snapshot, request)
func (p *selector) Lookup(ctx context.Context, s *fleet.Snapshot, r *Request) map[prefix.Key]*wire.LookupResult {
	var keys []prefix.Key
	p.actor.Ask(func(t *table) { keys = t.lookupKeys(s, r, p.clock.Now()) })
	if len(keys) == 0 {
		return nil
	}
	wait := p.bounds.Heal(waitMost)
	if r.Route != nil && r.Route.LatencyTarget > 0 {
		wait = time.Duration(float64(r.Route.LatencyTarget) * waitPart)
	}
	return p.index.Lookup(ctx, keys, min(max(wait, p.bounds.Heal(waitLeast)), p.bounds.Heal(waitMost)))
}

// Select selects a worker.
//
// Example: c, ok := p.Select(snapshot, request, found, tried)
func (p *selector) Select(s *fleet.Snapshot, r *Request, found map[prefix.Key]*wire.LookupResult, tried map[string]bool) (c Choice, ok bool) {
	p.actor.Ask(func(t *table) { c, ok = t.selectWorker(s, r, found, tried, p.clock.Now()) })
	return c, ok
}

// RecordSent records an attempt in flight.
//
// Example: p.Sent(request, choice)
func (p *selector) RecordSent(r *Request, c Choice) {
	var w attempt
	p.actor.Ask(func(t *table) { w = t.recordSent(r, c, p.clock.Now()) })
	p.index.RecordAccesses(r.Service, w.sharedParts, c.Worker.ID, w.store)
}

// RecordFirstEvent records its first event.
//
// Example: p.Begun(request, choice, &load, 80*time.Millisecond)
func (p *selector) RecordFirstEvent(r *Request, c Choice, l *Load, first time.Duration) {
	p.actor.Ask(func(t *table) { t.recordFirstEvent(r, c, l, first, p.clock.Now()) })
}

// RecordOutcome records how it ended.
//
// Example: p.Done(request, choice, selection.Completed, &load, 80*time.Millisecond)
func (p *selector) RecordOutcome(r *Request, c Choice, e Outcome, l *Load, first time.Duration) {
	p.actor.Ask(func(t *table) { t.recordOutcome(r, c, e, l, first, p.clock.Now()) })
}

func (t *table) selectWorker(s *fleet.Snapshot, r *Request, found map[prefix.Key]*wire.LookupResult, tried map[string]bool, now time.Duration) (Choice, bool) {
	g := t.layoutFor(s).groups[r.Service]
	if g == nil || len(g.candidates) == 0 {
		return Choice{}, false
	}
	model := g.modelOf(r)
	m := g.versionsOf(model)
	cs := t.usable(g, m, r, s, model, tried, now)
	if len(cs) == 0 {
		return Choice{}, false
	}
	if g.service.Engine == nil {
		return t.selectLeastLoaded(g, cs, r, s, now), true
	}
	q := &scorer{table: t, snapshot: s, request: r, group: g, versions: m, model: model, stats: t.services[r.Service], found: found, now: now, usable: cs, isRetry: len(tried) > 0}
	c := q.selectBest()
	if c.RetryAfter > 0 && len(tried) == 0 {
		t.selected.remove(attemptKey{r.ID, c.Worker.ID})
		return Choice{RetryAfter: c.RetryAfter}, false
	}
	return c, true
}

// usable lists the candidates that may be selected: those to be avoided only if no other is left.
func (t *table) usable(g *serviceGroup, m *modelVersions, r *Request, s *fleet.Snapshot, model string, tried map[string]bool, now time.Duration) []int {
	named, oldest := s.Named[model], t.oldestAllowed(s, model, m, now)
	least := avoidNotReady
	l, level := t.usableScratch[:0], t.avoidanceScratch[:0]
	for i, x := range g.candidates {
		v := m.versions[i]
		if x.worker.Draining || m.reported && (v == 0 || v < oldest) || tried[x.worker.ID] {
			continue
		}
		at := notAvoided
		switch {
		case now < x.stats.notReadyUntil && x.stats.notReadyVersion == v:
			at = avoidNotReady
		case g.rolling[i] && v < named:
			at = avoidRolling
		case now < x.stats.noFreeSlotUntil:
			at = avoidNoFreeSlot
		}
		least = min(least, at)
		l, level = append(l, i), append(level, at)
	}
	t.avoidanceScratch = level
	in := l[:0]
	for j, i := range l {
		if level[j] <= least {
			in = append(in, i)
		}
	}
	t.usableScratch = l[:0]
	return t.eject(g, in, now)
}

// Reasons to avoid a worker, from the weakest to the strongest.
const (
	notAvoided = iota
	avoidNoFreeSlot
	avoidRolling
	avoidNotReady
)

// eject leaves out workers with recent failures: never more than a third, never all.
func (t *table) eject(g *serviceGroup, l []int, now time.Duration) []int {
	n := 0
	for _, i := range l {
		if now < g.candidates[i].stats.ejectedUntil {
			n++
		}
	}
	most := int(float64(len(l)) * outShare)
	if n == 0 || most == 0 {
		return l
	}
	var until time.Duration // those that are out longer than this stay out
	for n > most {
		next := time.Duration(0)
		for _, i := range l {
			if u := g.candidates[i].stats.ejectedUntil; u > now && u > until && (next == 0 || u < next) {
				next = u
			}
		}
		until = next
		n = 0
		for _, i := range l {
			if g.candidates[i].stats.ejectedUntil > max(now, until) {
				n++
			}
		}
	}
	var in []int
	for _, i := range l {
		if g.candidates[i].stats.ejectedUntil <= max(now, until) {
			in = append(in, i)
		}
	}
	return in
}

// selectLeastLoaded selects for a service without a prompt cache: the less loaded of two, of this zone while
// they have free slots.
func (t *table) selectLeastLoaded(g *serviceGroup, cs []int, r *Request, s *fleet.Snapshot, now time.Duration) Choice {
	var near []int
	for _, i := range cs {
		if g.candidates[i].worker.Zone == r.Zone {
			near = append(near, i)
		}
	}
	two := func(l []int) (int, float64) {
		h := queue.Hash(r.ID)
		a := l[h%uint64(len(l))]
		b := l[(h>>32)%uint64(len(l))]
		la, lb := t.effectiveLoad(g.candidates[a], s.Edges, now), t.effectiveLoad(g.candidates[b], s.Edges, now)
		if lb < la {
			return b, lb
		}
		return a, la
	}
	at, l := -1, 0.0
	if len(near) > 0 {
		at, l = two(near)
	}
	if at < 0 || l >= float64(max(1, g.candidates[at].worker.Slots)) {
		if b, lb := two(cs); at < 0 || lb < l {
			at = b
		}
	}
	w := g.candidates[at].worker
	t.selected.put(attemptKey{r.ID, w.ID}, attempt{stats: g.candidates[at].stats})
	return Choice{Worker: *w, Urgency: -1}
}

// effectiveLoad is a worker's load, increased after recent failures.
func (t *table) effectiveLoad(x candidate, edges int, now time.Duration) float64 {
	return t.estimatedLoad(x.stats, edges, now) + x.stats.slowStartRatio(now)*float64(max(1, x.worker.Slots))
}

// storeHealthKeys are looked up beside a prompt's parts: they show which stores answer.
func storeHealthKeys(g *serviceGroup) (l []prefix.Key) {
	for _, x := range g.stores {
		l = append(l, promptindex.StoreHealthKey(x.service.Name))
	}
	return l
}

// transferMsPerToken is how long one token takes over the slower of two links, in ms.
func transferMsPerToken(e *routingconfig.Engine, mbps float64) float64 {
	if e.LinkMbps <= 0 || mbps <= 0 {
		return 0
	}
	return float64(e.TokenBytes) * 8 / (min(e.LinkMbps, mbps) * 1e3)
}
