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

// The constants of the choice, as ratios.
const (
	boundLoad   = 1.25     // a home is leaned to up to this multiple of the mean load, and one more
	slotRoom    = 1.0 / 16 // and this share of its places, where it has many
	leanCold    = 0.75     // of what reading it costs: that nobody else reads it too
	leanKept    = 0.3      // of the same, once it is kept: that no copy takes the room of another part
	leanHome    = 0.05     // of the same: that copies are made at the same worker
	rereadPart  = 1.0 / 12500
	movePart    = 0.011 // of what reading a token again costs, beside the time of its move
	risk        = 0.15  // that what is presumed to be kept isn't yet
	afarPart    = 0.01  // of a target, that a prompt as long as rereadPart's costs on its way to another district
	crowd       = 0.25  // of an attempt's time that a full worker takes longer
	shed        = 0.5   // targets that a prompt waits at the best worker: it is asked to come again
	noise       = 0.01  // of a target: equals aren't all crowded by all edges
	distant     = 2     // a move between districts takes as many times as long
	outShare    = 1.0 / 3
	backCost    = 0.5  // of a target that a worker costs on its first return
	olderPart   = 0.85 // of the weights' bound that an older version may be picked for
	inheritPart = 1.0 / 6
	freePart    = 0.8     // of the contact window: so long after its start a machine isn't in touch
	fewPart     = 1.0 / 7 // of the workers on the newest version before requests are drawn to it
	drawPart    = 1.3     // requests drawn there, for a share of the workers that is there
	drawCost    = 1.0     // of the time that reading the shared parts takes
	sources     = 12      // workers that are weighed as sources
	maxParts    = 60
	leastSaved  = 128 // tokens worth handing to the store
)

// Ratios of the heal bound, and shares by which the last word counts.
const (
	fadePart   = 1.0 / 24 // of a word on load
	forgetPart = 0.5      // of a worker's slowness
	fullPart   = 1.0 / 96
	soonPart   = 1.0 / 24 // a prompt sent is read by then
	loadPart   = 1.0 / 24
	movedPart  = 1.0 / 12
	outPart    = 1.0 / 48
	outMost    = 0.5
	freshPart  = 1.0 / 8 // what this edge saw itself needs no asking
	newsPart   = 1.0 / 8 // a worker's word of what it dropped has reached the index by then
	memoPart   = 2.0
	savedPart  = 1.0
	waitPart   = 1.0 / 8    // of a target, for the index
	waitLeast  = 1.0 / 2400 // of the heal bound
	waitMost   = 1.0 / 150
	basePart   = 1.0 / 400     // believed before a first piece was seen
	tokenPart  = 1.0 / 1200000 // the same, for each token read
	slowPart   = 0.2
	alike      = 0.02 // workers differ by less for no reason
	badPart    = 0.2
	meanPart   = 0.1
	keepPart   = 0.98
	believe    = 4.0
	nothing    = 1e-6
)

// The belief about first pieces counts as a few samples of a short and of a long prompt.
const (
	belief         = 3
	believedTokens = 10000
)

const (
	maxMemo   = 4096
	maxTicket = 4096
)

// ticket is one attempt at one worker.
type ticket struct{ id, worker string }

// promise is what a choice goes by and what its ending is told against.
type promise struct {
	read    float64 // tokens to be read
	moved   float64
	keys    []prefix.Key
	uses    []prefix.Entry // the shared ones
	st      *stat
	from    *stat
	store   string // handed to
	at      time.Duration
	reading time.Duration // of its worker's time
	kept    bool          // an engine, and a prompt to read
	begun   bool          // its first piece came
	due     time.Duration // it should have come by then
}

// table is one edge machine's memory for choices.
type table struct {
	b      settings.Bounds
	born   time.Duration
	free   time.Duration // until then no bound on weights binds
	v      *view
	stats  map[string]*stat
	memo   *recent[prefix.Key, memo]
	plans  *recent[ticket, promise]
	sent   map[ticket]promise
	down   map[string]bool   // stores that don't answer
	habits map[string]*habit // by service
	sweep  time.Duration
	sure   []uint64 // scratch, by seat: parts kept
	maybe  []uint64 // presumed as well
	soon   []uint64 // being read for this edge
	loads  []float64
	list   []int
	level  []int
}

type picker struct {
	clk   clock.Clock
	b     settings.Bounds
	desk  *queue.Actor[table]
	index *indexclient.Seeker
}

// New makes an edge's picker over its link to the index.
//
// Example: p := pick.New(life, indexclient.New(life, nodes), place.Name)
func New(l *daemon.Process, c *indexclient.Seeker, self string) Picker {
	t := newTable(l.Place.Bounds, l.Clock.Now())
	if x := l.Place.Site; x != nil {
		t.free = t.born + settings.Of(x.ContactMs, freePart)
	}
	p := &picker{clk: l.Clock, b: l.Place.Bounds, index: c, desk: queue.NewActor(t, 1024)}
	l.OnStop(p.desk.Stop)
	c.Share(p.loads, p.heard)
	return p
}

func newTable(b settings.Bounds, now time.Duration) *table {
	t := &table{b: b, born: now, stats: map[string]*stat{}, memo: newRecent[prefix.Key, memo](maxMemo),
		plans: newRecent[ticket, promise](maxTicket), sent: map[ticket]promise{}, down: map[string]bool{}, habits: map[string]*habit{}}
	return t
}

// Look asks the index for a prompt's parts, unless this edge knows enough itself.
//
// Example: found := p.Look(ctx, snapshot, request)
func (p *picker) Look(ctx context.Context, s *fleet.Snapshot, r *Request) map[prefix.Key]*wire.Found {
	var keys []prefix.Key
	p.desk.Ask(func(t *table) { keys = t.ask(s, r, p.clk.Now()) })
	if len(keys) == 0 {
		return nil
	}
	wait := p.b.Heal(waitMost)
	if r.Route != nil && r.Route.Target > 0 {
		wait = time.Duration(float64(r.Route.Target) * waitPart)
	}
	return p.index.Seek(ctx, keys, min(max(wait, p.b.Heal(waitLeast)), p.b.Heal(waitMost)))
}

// Pick chooses a worker.
//
// Example: c, ok := p.Pick(snapshot, request, found, tried)
func (p *picker) Pick(s *fleet.Snapshot, r *Request, found map[prefix.Key]*wire.Found, tried map[string]bool) (c Choice, ok bool) {
	p.desk.Ask(func(t *table) { c, ok = t.pick(s, r, found, tried, p.clk.Now()) })
	return c, ok
}

// Sent notes an attempt under way.
//
// Example: p.Sent(request, choice)
func (p *picker) Sent(r *Request, c Choice) {
	var w promise
	p.desk.Ask(func(t *table) { w = t.send(r, c, p.clk.Now()) })
	p.index.Count(r.Service, w.uses, c.Worker.ID, w.store)
}

// Begun notes that its first piece came.
//
// Example: p.Begun(request, choice, &load, 80*time.Millisecond)
func (p *picker) Begun(r *Request, c Choice, l *Load, first time.Duration) {
	p.desk.Ask(func(t *table) { t.begin(r, c, l, first, p.clk.Now()) })
}

// Done notes how it ended.
//
// Example: p.Done(request, choice, pick.Served, &load, 80*time.Millisecond)
func (p *picker) Done(r *Request, c Choice, e Ending, l *Load, first time.Duration) {
	p.desk.Ask(func(t *table) { t.done(r, c, e, l, first, p.clk.Now()) })
}

func (t *table) pick(s *fleet.Snapshot, r *Request, found map[prefix.Key]*wire.Found, tried map[string]bool, now time.Duration) (Choice, bool) {
	g := t.lay(s).groups[r.Service]
	if g == nil || len(g.seats) == 0 {
		return Choice{}, false
	}
	model := g.model(r)
	m := g.serve(model)
	cs := t.usable(g, m, r, s, model, tried, now)
	if len(cs) == 0 {
		return Choice{}, false
	}
	if g.svc.Engine == nil {
		return t.plain(g, cs, r, s, now), true
	}
	q := &query{t: t, s: s, r: r, g: g, m: m, model: model, h: t.habits[r.Service], found: found, now: now, cs: cs, retry: len(tried) > 0}
	c := q.pick()
	if c.Again > 0 && len(tried) == 0 {
		t.plans.drop(ticket{r.ID, c.Worker.ID})
		return Choice{Again: c.Again}, false
	}
	return c, true
}

// usable lists the seats that may be picked: those to be avoided only where nobody else is left.
func (t *table) usable(g *group, m *serving, r *Request, s *fleet.Snapshot, model string, tried map[string]bool, now time.Duration) []int {
	named, older := s.Named[model], t.olderAllowed(s, model, m, now)
	least := loadingNow
	l, level := t.list[:0], t.level[:0]
	for i, x := range g.seats {
		v := m.by[i]
		if x.w.Draining || m.listed && (v == 0 || v < named && !older) || tried[x.w.ID] {
			continue
		}
		at := welcome
		switch {
		case now < x.st.loading && x.st.loadingV == v:
			at = loadingNow
		case g.rolling[i] && v < named:
			at = aside
		case now < x.st.full:
			at = fullNow
		}
		least = min(least, at)
		l, level = append(l, i), append(level, at)
	}
	t.level = level
	in := l[:0]
	for j, i := range l {
		if level[j] <= least {
			in = append(in, i)
		}
	}
	t.list = l[:0]
	return t.eject(g, in, now)
}

// What speaks against a worker; the more it does, the later that is overlooked.
const (
	welcome = iota
	fullNow
	aside
	loadingNow
)

// eject leaves out those whose attempts broke lately: never more than a third, never all.
func (t *table) eject(g *group, l []int, now time.Duration) []int {
	n := 0
	for _, i := range l {
		if now < g.seats[i].st.outUntil {
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
			if u := g.seats[i].st.outUntil; u > now && u > until && (next == 0 || u < next) {
				next = u
			}
		}
		until = next
		n = 0
		for _, i := range l {
			if g.seats[i].st.outUntil > max(now, until) {
				n++
			}
		}
	}
	var in []int
	for _, i := range l {
		if g.seats[i].st.outUntil <= max(now, until) {
			in = append(in, i)
		}
	}
	return in
}

// plain picks for a service that keeps no parts: the less loaded of two, of this district while
// they have places.
func (t *table) plain(g *group, cs []int, r *Request, s *fleet.Snapshot, now time.Duration) Choice {
	var near []int
	for _, i := range cs {
		if g.seats[i].w.Zone == r.District {
			near = append(near, i)
		}
	}
	two := func(l []int) (int, float64) {
		h := queue.Hash(r.ID)
		a := l[h%uint64(len(l))]
		b := l[(h>>32)%uint64(len(l))]
		la, lb := t.strained(g.seats[a], s.Edges, now), t.strained(g.seats[b], s.Edges, now)
		if lb < la {
			return b, lb
		}
		return a, la
	}
	at, l := -1, 0.0
	if len(near) > 0 {
		at, l = two(near)
	}
	if at < 0 || l >= float64(max(1, g.seats[at].w.Slots)) {
		if b, lb := two(cs); at < 0 || lb < l {
			at = b
		}
	}
	w := g.seats[at].w
	t.plans.put(ticket{r.ID, w.ID}, promise{st: g.seats[at].st})
	return Choice{Worker: *w, Urgency: -1}
}

// strained is a worker's load, and more while its attempts broke lately.
func (t *table) strained(x seat, edges int, now time.Duration) float64 {
	return t.load(x.st, edges, now) + x.st.back(now)*float64(max(1, x.w.Slots))
}

// upKeys are looked up beside a prompt's parts: which stores answer.
func upKeys(g *group) (l []prefix.Key) {
	for _, x := range g.stores {
		l = append(l, promptindex.UpKey(x.svc.Name))
	}
	return l
}

// pipe is how long one token takes over the slower of two links, in ms.
func pipe(e *routingconfig.Engine, mbps float64) float64 {
	if e.LinkMbps <= 0 || mbps <= 0 {
		return 0
	}
	return float64(e.TokenBytes) * 8 / (min(e.LinkMbps, mbps) * 1e3)
}
