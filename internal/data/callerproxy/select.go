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
	affinityLoadRatio = 1.25 // a shard worker is leaned to up to this multiple of the mean load, and one more
	affinityRatio     = 0.75 // of the prefill that a tail entry would cost elsewhere again
	sharedUseRatio    = 0.25 // of the first part's use that makes a later part shared as well
	sharedMinAccesses = 1.5  // accesses in the window that make an entry shared
)

// Query is all that a choice of worker is made from.
type Query struct {
	ID             string
	Mode           string
	Zone           string
	Entries        map[uint64][]prefix.Entry // by weights epoch
	Found          map[prefix.Key]*wire.LookupResult
	Workers        []*wire.Worker
	Load           func(name string) float64 // attempts under way or waiting, as known here
	Tried          map[string]bool
	NewestWeights  uint64 // the weights that the configuration names
	Placement      *placement.Placement
	PrefillCurve   placement.Curve
	NearBandwidth  float64 // tokens a second
	FarBandwidth   float64
	MeanAttemptUs  float64           // how long an attempt takes, lately
	Stores         map[string]string // name -> address
	StoreBandwidth float64

	includeRolling bool // nobody else is left
}

// Choice is the worker selected and how the placement takes effect on the request.
type Choice struct {
	Worker          *wire.Worker
	Entries         []prefix.Entry
	HitTokens       int // tokens it should have
	FetchTokens     int // tokens it is told where to read
	CostUs          float64
	WaitUs          float64 // microseconds until a slot is free
	FetchFrom       string
	SaveAddrs       string
	SaveNames       []string
	SaveEntries     int
	Hot             bool
	Session         bool // the session's prefix decided
	PreferredWorker string
}

type candidate struct {
	worker                 *wire.Worker
	entries                []prefix.Entry
	costUs                 float64
	waitUs                 float64
	hitTokens, fetchTokens int
	fetchFrom              []string
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
	var best *candidate
	homes := map[uint64]affinity{} // what a prompt leans to is the same for all workers of one weights epoch
	for _, w := range q.Workers {
		es, ok := q.Entries[w.Weights]
		if !ok || q.Tried[w.Name] || w.State != updatestream.WorkerUp || q.isSetAside(w) {
			continue
		}
		o := q.estimateCost(w, es, holders, addr, zone)
		h, ok := homes[w.Weights]
		if !ok {
			h = q.preferredWorker(es, names, mean)
			homes[w.Weights] = h
		}
		if h.worker != "" && h.worker != w.Name {
			o.costUs += affinityRatio * q.PrefillCurve.At(float64(h.tokens))
		}
		if best == nil || o.costUs < best.costUs || o.costUs == best.costUs && winsTie(q.ID, w.Name, best.worker.Name) {
			best = o
		}
	}
	if best == nil && !q.includeRolling && q.Placement != nil && len(q.Placement.Cordoned) > 0 {
		q.includeRolling = true // better one that is set aside than none
		return Select(q)
	}
	if best == nil {
		return Choice{}, false
	}
	c := Choice{Worker: best.worker, Entries: best.entries, HitTokens: best.hitTokens, FetchTokens: best.fetchTokens, CostUs: best.costUs, WaitUs: best.waitUs,
		FetchFrom: strings.Join(best.fetchFrom, ","), PreferredWorker: homes[best.worker.Weights].worker}
	q.planSaves(&c, holders, addr, names)
	return c, true
}

// affinity is the worker that a prompt leans to, and how many tokens that is for.
type affinity struct {
	worker string
	tokens int
}

// preferredWorker finds the first home of a tail entry that isn't loaded beyond the bound; a hot entry
// leans to nobody.
func (q *Query) preferredWorker(es []prefix.Entry, names []string, mean float64) affinity {
	k, i, _ := q.decidingEntry(es)
	if i < 0 || q.Placement.IsReplicated(k) || q.Mode == "no-index" {
		return affinity{}
	}
	for _, h := range placement.RankShardWorkers(k, names) {
		if q.Load(h) <= affinityLoadRatio*mean+1 {
			return affinity{h, es[i].CumulativeTokens}
		}
	}
	return affinity{}
}

// isSetAside reports whether a worker is set aside: it is about to load newer weights.
func (q *Query) isSetAside(w *wire.Worker) bool {
	return !q.includeRolling && q.Placement != nil && w.Weights < q.NewestWeights && slices.Contains(q.Placement.Cordoned, w.Name)
}

func winsTie(id, a, b string) bool {
	return placement.RankShardWorkers(keyFromID(id), []string{a, b})[0] == a
}

func keyFromID(id string) (k prefix.Key) { copy(k[:], id); return k }

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

// sharedPrefix is the longest opening that other requests use too: used more than once lately,
// and about as much as the prompt's first part. The last part is the request's own.
func (q *Query) sharedPrefix(es []prefix.Entry) int {
	at := 0
	hot := func(i int) float64 { return q.Found[es[i].Key].GetHotness() }
	for i := 1; i < len(es)-1; i++ {
		if hot(i) >= sharedMinAccesses && hot(i) >= sharedUseRatio*hot(0) {
			at = i
		}
	}
	return at
}

// decidingEntry is the entry that decides where a request goes: its shared opening, or its
// session's prefix where that is admitted. Admission is the paper's rule for user prefixes:
// at least as long as the shared part, and used more often than the coldest that is cached.
// A worker evicts by itself, so admission here means: lean to its home and hand it there.
func (q *Query) decidingEntry(es []prefix.Entry) (k prefix.Key, at int, session bool) {
	if len(es) == 0 {
		return k, -1, false
	}
	at = q.sharedPrefix(es)
	own := len(es) - 2
	if own > at && q.Placement != nil && es[own].CumulativeTokens-es[at].CumulativeTokens >= es[at].CumulativeTokens &&
		q.Found[es[own].Key].GetHotness() > q.Placement.AdmissionFloor {
		return es[own].Key, own, true
	}
	return es[at].Key, at, false
}

// estimateCost adds up what a request would cost on a worker. Holdings count as long as they run
// on from the front; a fetch is planned only where it is cheaper than the prefill it saves.
func (q *Query) estimateCost(w *wire.Worker, es []prefix.Entry, holders map[prefix.Key]map[string]bool, addr, zone map[string]string) *candidate {
	o := &candidate{worker: w, entries: es}
	total := 0
	if len(es) > 0 {
		total = es[len(es)-1].CumulativeTokens
	}
	fetchUs := 0.0
	rest := total
	for i, e := range es {
		if holders[e.Key][w.Name] {
			o.hitTokens += e.Tokens
			rest -= e.Tokens
			continue
		}
		from, b := "", 0.0
		for h := range holders[e.Key] {
			hb := q.FarBandwidth
			if _, store := q.Stores[h]; store {
				hb = q.StoreBandwidth
			} else if zone[h] == w.Zone {
				hb = q.NearBandwidth
			}
			if a := addr[h]; a != "" && (hb > b || hb == b && a < from) {
				from, b = a, hb
			}
		}
		if from == "" || b <= 0 {
			break
		}
		us := float64(e.Tokens) / b * 1e6
		if us >= q.PrefillCurve.At(float64(rest))-q.PrefillCurve.At(float64(rest-e.Tokens)) {
			break
		}
		fetchUs += us
		rest -= e.Tokens
		o.fetchTokens += e.Tokens
		o.fetchFrom = append(o.fetchFrom, fmt.Sprintf("%d=%s", i, from))
	}
	slots := float64(max(1, w.Slots))
	if l := q.Load(w.Name); l >= slots {
		o.waitUs = (l - slots + 1) / slots * q.MeanAttemptUs
	} else {
		o.waitUs = l / slots * q.MeanAttemptUs * 0.25 // others' prefill is in the way even when a slot is free
	}
	o.costUs = o.waitUs + fetchUs
	if rest > 0 {
		o.costUs += q.PrefillCurve.At(float64(rest))
	}
	return o
}

// planSaves decides whom the worker hands what to: a hot entry goes to one more worker that
// lacks it; a tail entry computed away from home goes home. Both go to the store, the tail once
// it is used again: its one worker may have to drop it, and then reading beats prefilling.
func (q *Query) planSaves(c *Choice, holders map[prefix.Key]map[string]bool, addr map[string]string, names []string) {
	k, at, session := q.decidingEntry(c.Entries)
	if at < 0 || q.Mode == "no-index" {
		return
	}
	to := func(name string) {
		if a := addr[name]; a != "" && name != c.Worker.Name {
			c.SaveNames = append(c.SaveNames, name)
			if c.SaveAddrs != "" {
				c.SaveAddrs += ","
			}
			c.SaveAddrs += a
		}
	}
	c.Session = session
	again := session || q.Found[k].GetHotness() >= sharedMinAccesses // it is worth its way
	if c.Hot = q.Placement.IsReplicated(k); c.Hot {
		for _, n := range placement.RankShardWorkers(keyFromID(q.ID), names) {
			if !holders[k][n] && n != c.Worker.Name {
				to(n)
				break
			}
		}
	} else if c.PreferredWorker != "" && c.PreferredWorker != c.Worker.Name && !holders[k][c.PreferredWorker] && again {
		to(c.PreferredWorker)
	}
	for s := range q.Stores {
		if (c.Hot || again) && !holders[k][s] {
			to(s)
		}
	}
	if len(c.SaveNames) > 0 {
		c.SaveEntries = at + 1
	}
}
