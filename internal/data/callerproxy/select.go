package callerproxy

import (
	"fmt"
	"slices"
	"strings"

	"pebbleloom/internal/data/placement"
	"pebbleloom/internal/data/prefix"
	"pebbleloom/internal/data/updatestream"
	"pebbleloom/internal/wire"
)

// The constants of the choice, as ratios.
const (
	boundLoad  = 1.25 // a shard worker is leaned to up to this multiple of the mean load, and one more
	lean       = 0.75 // of the prefill that a tail entry would cost elsewhere again
	sharedPart = 0.25 // of the first part's use that makes a later part shared as well
	sharedHot  = 1.5  // accesses in the window that make an entry shared
)

// Query is all that a choice of worker is made from.
type Query struct {
	ID        string
	Mode      string
	Zone      string
	Entries   map[uint64][]prefix.Entry // by weights epoch
	Found     map[prefix.Key]*wire.LookupResult
	Workers   []*wire.Worker
	Load      func(name string) float64 // attempts under way or waiting, as known here
	Tried     map[string]bool
	Newest    uint64 // the weights that the configuration names
	Placement *placement.Placement
	Curve     placement.Curve
	NearB     float64 // tokens a second
	FarB      float64
	MeanUs    float64           // how long an attempt takes, lately
	Stores    map[string]string // name -> address
	StoreB    float64

	pressed bool // nobody else is left
}

// Choice is the worker selected and how the placement takes effect on the request.
type Choice struct {
	Worker   *wire.Worker
	Entries  []prefix.Entry
	Hit      int // tokens it should have
	Fetch    int // tokens it is told where to read
	Cost     float64
	Wait     float64 // microseconds until a slot is free
	Fetches  string
	Saves    string
	SaveTo   []string
	SaveUpto int
	Hot      bool
	Session  bool // the session's prefix decided
	Home     string
}

type option struct {
	w        *wire.Worker
	es       []prefix.Entry
	cost     float64
	wait     float64
	hit, got int
	from     []string
}

// Select chooses a worker: waiting, prefill of what is missing and fetch time, within the
// worker's slots. Hot entries let load decide; tail entries lean to their shard worker, with
// bounded load.
//
// Example: c, ok := proxy.Select(q)
func Select(q Query) (Choice, bool) {
	holders := q.holders()
	addr, zone, names := map[string]string{}, map[string]string{}, []string{}
	mean, n := 0.0, 0
	for _, w := range q.Workers {
		addr[w.Name], zone[w.Name] = w.Addr, w.Zone
		if w.State == updatestream.WorkerUp {
			names = append(names, w.Name)
			mean += q.Load(w.Name)
			n++
		}
	}
	for s, a := range q.Stores {
		addr[s] = a
	}
	if n > 0 {
		mean /= float64(n)
	}
	var best *option
	homes := map[uint64]leaning{} // what a prompt leans to is the same for all workers of one weights epoch
	for _, w := range q.Workers {
		es, ok := q.Entries[w.Weights]
		if !ok || q.Tried[w.Name] || w.State != updatestream.WorkerUp || q.aside(w) {
			continue
		}
		o := q.weigh(w, es, holders, addr, zone)
		h, ok := homes[w.Weights]
		if !ok {
			h = q.home(es, names, mean)
			homes[w.Weights] = h
		}
		if h.name != "" && h.name != w.Name {
			o.cost += lean * q.Curve.At(float64(h.upto))
		}
		if best == nil || o.cost < best.cost || o.cost == best.cost && less(q.ID, w.Name, best.w.Name) {
			best = o
		}
	}
	if best == nil && !q.pressed && q.Placement != nil && len(q.Placement.Rolling) > 0 {
		q.pressed = true // better one that is set aside than none
		return Select(q)
	}
	if best == nil {
		return Choice{}, false
	}
	c := Choice{Worker: best.w, Entries: best.es, Hit: best.hit, Fetch: best.got, Cost: best.cost, Wait: best.wait,
		Fetches: strings.Join(best.from, ","), Home: homes[best.w.Weights].name}
	q.save(&c, holders, addr, names)
	return c, true
}

// leaning is the worker that a prompt leans to, and how many tokens that is for.
type leaning struct {
	name string
	upto int
}

// home finds the first home of a tail entry that isn't loaded beyond the bound; a hot entry
// leans to nobody.
func (q *Query) home(es []prefix.Entry, names []string, mean float64) leaning {
	k, i, _ := q.deciding(es)
	if i < 0 || q.Placement.Hot(k) || q.Mode == "no-index" {
		return leaning{}
	}
	for _, h := range placement.Home(k, names) {
		if q.Load(h) <= boundLoad*mean+1 {
			return leaning{h, es[i].Upto}
		}
	}
	return leaning{}
}

// aside reports whether a worker is set aside: it is about to load newer weights.
func (q *Query) aside(w *wire.Worker) bool {
	return !q.pressed && q.Placement != nil && w.Weights < q.Newest && slices.Contains(q.Placement.Rolling, w.Name)
}

func less(id, a, b string) bool { return placement.Home(prefixKey(id), []string{a, b})[0] == a }

func prefixKey(id string) (k prefix.Key) { copy(k[:], id); return k }

// holders reports who is known to hold each entry.
func (q *Query) holders() map[prefix.Key]map[string]bool {
	m := map[prefix.Key]map[string]bool{}
	if q.Mode == "no-index" {
		return m
	}
	for k, f := range q.Found {
		s := map[string]bool{}
		for _, h := range f.Holders {
			s[h.Worker] = true
		}
		m[k] = s
	}
	return m
}

// shared is the longest opening that other requests use too: used more than once lately,
// and about as much as the prompt's first part. The last part is the request's own.
func (q *Query) shared(es []prefix.Entry) int {
	at := 0
	hot := func(i int) float64 { return q.Found[es[i].Key].GetHotness() }
	for i := 1; i < len(es)-1; i++ {
		if hot(i) >= sharedHot && hot(i) >= sharedPart*hot(0) {
			at = i
		}
	}
	return at
}

// deciding is the entry that decides where a request goes: its shared opening, or its
// session's prefix where that is admitted. Admission is the paper's rule for user prefixes:
// at least as long as the shared part, and used more often than the coldest that is cached.
// A worker evicts by itself, so admission here means: lean to its home and hand it there.
func (q *Query) deciding(es []prefix.Entry) (k prefix.Key, at int, session bool) {
	if len(es) == 0 {
		return k, -1, false
	}
	at = q.shared(es)
	own := len(es) - 2
	if own > at && q.Placement != nil && es[own].Upto-es[at].Upto >= es[at].Upto &&
		q.Found[es[own].Key].GetHotness() > q.Placement.Floor {
		return es[own].Key, own, true
	}
	return es[at].Key, at, false
}

// weigh adds up what a request would cost on a worker. Holdings count as long as they run
// on from the front; a fetch is planned only where it is cheaper than the prefill it saves.
func (q *Query) weigh(w *wire.Worker, es []prefix.Entry, holders map[prefix.Key]map[string]bool, addr, zone map[string]string) *option {
	o := &option{w: w, es: es}
	total := 0
	if len(es) > 0 {
		total = es[len(es)-1].Upto
	}
	fetchUs := 0.0
	rest := total
	for i, e := range es {
		if holders[e.Key][w.Name] {
			o.hit += e.Tokens
			rest -= e.Tokens
			continue
		}
		from, b := "", 0.0
		for h := range holders[e.Key] {
			hb := q.FarB
			if _, store := q.Stores[h]; store {
				hb = q.StoreB
			} else if zone[h] == w.Zone {
				hb = q.NearB
			}
			if a := addr[h]; a != "" && (hb > b || hb == b && a < from) {
				from, b = a, hb
			}
		}
		if from == "" || b <= 0 {
			break
		}
		us := float64(e.Tokens) / b * 1e6
		if us >= q.Curve.At(float64(rest))-q.Curve.At(float64(rest-e.Tokens)) {
			break
		}
		fetchUs += us
		rest -= e.Tokens
		o.got += e.Tokens
		o.from = append(o.from, fmt.Sprintf("%d=%s", i, from))
	}
	slots := float64(max(1, w.Slots))
	if l := q.Load(w.Name); l >= slots {
		o.wait = (l - slots + 1) / slots * q.MeanUs
	} else {
		o.wait = l / slots * q.MeanUs * 0.25 // others' prefill is in the way even when a slot is free
	}
	o.cost = o.wait + fetchUs
	if rest > 0 {
		o.cost += q.Curve.At(float64(rest))
	}
	return o
}

// save decides whom the worker hands what to: a hot entry goes to one more worker that
// lacks it; a tail entry computed away from home goes home. Both go to the store, the tail once
// it is used again: its one worker may have to drop it, and then reading beats prefilling.
func (q *Query) save(c *Choice, holders map[prefix.Key]map[string]bool, addr map[string]string, names []string) {
	k, at, session := q.deciding(c.Entries)
	if at < 0 || q.Mode == "no-index" {
		return
	}
	to := func(name string) {
		if a := addr[name]; a != "" && name != c.Worker.Name {
			c.SaveTo = append(c.SaveTo, name)
			if c.Saves != "" {
				c.Saves += ","
			}
			c.Saves += a
		}
	}
	c.Session = session
	again := session || q.Found[k].GetHotness() >= sharedHot // it is worth its way
	if c.Hot = q.Placement.Hot(k); c.Hot {
		for _, n := range placement.Home(prefixKey(q.ID), names) {
			if !holders[k][n] && n != c.Worker.Name {
				to(n)
				break
			}
		}
	} else if c.Home != "" && c.Home != c.Worker.Name && !holders[k][c.Home] && again {
		to(c.Home)
	}
	for s := range q.Stores {
		if (c.Hot || again) && !holders[k][s] {
			to(s)
		}
	}
	if len(c.SaveTo) > 0 {
		c.SaveUpto = at + 1
	}
}
