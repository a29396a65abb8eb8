package callerproxy

import (
	"slices"
	"strings"

	"pebbleloom/internal/control/serviceconfig"
	"pebbleloom/internal/data/placement"
	"pebbleloom/internal/data/prefix"
	"pebbleloom/internal/data/updatestream"
	"pebbleloom/internal/wire"
)

// Query is the input of a selection.
type Query struct {
	ID            string // of the request: it breaks ties
	Mode          string // of the service's placement (serviceconfig.PlacementHRCS and others)
	Entries       map[uint64][]prefix.Entry
	Found         map[prefix.Key]*wire.LookupResult // what the prompt index knows of the entries
	Workers       []*wire.Worker                    // of the service
	Load          func(worker string) float64       // attempts in flight or waiting, as known here
	Tried         map[string]bool                   // workers that have failed the request, by name
	NewestWeights uint64                            // version that the configuration names
	Placement     *placement.Placement              // nil: none yet
	Stores        map[string]string                 // addresses of the stores that are up, by name

	PrefillCurve   placement.Curve // microseconds to prefill by tokens
	MeanAttemptUs  float64         // mean duration of an attempt
	NearBandwidth  float64         // within a zone, in tokens per second
	FarBandwidth   float64         // between zones, in tokens per second
	StoreBandwidth float64         // from a store, in tokens per second

	includeCordoned bool // no other worker is left
}

// Choice is the selected worker, and how the placement applies to the request.
type Choice struct {
	Worker          *wire.Worker
	Entries         []prefix.Entry // under the worker's weights
	HitTokens       int            // of the prompt that the worker should have cached
	FetchTokens     int            // of the prompt that it should fetch
	CostUs          float64        // estimated time until the first token, with the affinity's discount
	WaitUs          float64        // of it: until a slot is free
	FetchFrom       string         // "entry=address" for each entry to fetch, with commas between
	SaveAddrs       string         // addresses to save to, with commas between
	SaveNames       []string       // the names of these
	SaveEntries     int            // how many of the first entries to save
	Hot             bool           // the deciding entry is replicated
	Session         bool           // the deciding entry is the session's prefix
	PreferredWorker string         // that the deciding entry has an affinity to; "": none
}

// candidate is a worker with the estimated cost of the request there.
type candidate struct {
	worker                 *wire.Worker
	entries                []prefix.Entry
	costUs                 float64
	waitUs                 float64
	hitTokens, fetchTokens int
	fetchFrom              []string // "entry=address"
}

// siteView is what a selection derives from its query once for all workers.
type siteView struct {
	holders  map[prefix.Key]map[string]bool // workers and stores that hold an entry, by name
	addr     map[string]string              // of workers and stores
	zone     map[string]string              // of workers
	up       []string                       // workers
	meanLoad float64                        // of the workers that are up
}

// Select selects the worker at which the request costs least: the wait for a slot, the prefill of what is
// missing, and the time to fetch what others hold. A replicated entry lets load decide; any other gives its
// shard worker a discount, as long as that isn't loaded far beyond the mean.
//
// Example: choice, ok := callerproxy.Select(query)
func Select(query Query) (Choice, bool) {
	view := query.newView()
	best, preferred := query.cheapest(view)
	if best == nil && !query.includeCordoned && query.Placement != nil && len(query.Placement.Cordoned) > 0 {
		query.includeCordoned = true // better a cordoned worker than none
		return Select(query)
	}
	if best == nil {
		return Choice{}, false
	}
	choice := Choice{
		Worker:          best.worker,
		Entries:         best.entries,
		HitTokens:       best.hitTokens,
		FetchTokens:     best.fetchTokens,
		CostUs:          best.costUs,
		WaitUs:          best.waitUs,
		FetchFrom:       strings.Join(best.fetchFrom, ","),
		PreferredWorker: preferred,
	}
	query.planSaves(&choice, view)
	return choice, true
}

// cheapest returns the candidate with the lowest cost, and the worker that its deciding entry prefers; nil if
// there is no candidate.
func (q *Query) cheapest(view *siteView) (best *candidate, preferred string) {
	affinities := map[uint64]affinity{} // by version of the weights: the entries are the same for all workers of one
	for _, worker := range q.Workers {
		entries, ok := q.Entries[worker.Weights]
		if !ok || q.Tried[worker.Name] || worker.State != updatestream.WorkerUp || q.isCordoned(worker) {
			continue
		}
		current := q.estimateCost(worker, entries, view)
		bias, ok := affinities[worker.Weights]
		if !ok {
			bias = q.affinityOf(entries, view)
			affinities[worker.Weights] = bias
		}
		if bias.worker != "" && bias.worker != worker.Name {
			current.costUs += affinityRatio * q.PrefillCurve.At(float64(bias.tokens))
		}
		if best == nil || current.costUs < best.costUs || current.costUs == best.costUs && q.winsTie(worker.Name, best.worker.Name) {
			best = current
		}
	}
	if best == nil {
		return nil, ""
	}
	return best, affinities[best.worker.Weights].worker
}

// isCordoned reports whether a worker gets no new requests because it is about to load newer weights.
func (q *Query) isCordoned(worker *wire.Worker) bool {
	return !q.includeCordoned && q.Placement != nil && worker.Weights < q.NewestWeights && slices.Contains(q.Placement.Cordoned, worker.Name)
}

// winsTie ranks two workers of equal cost, differently for each request.
func (q *Query) winsTie(a, b string) bool {
	return placement.RankShardWorkers(q.tieKey(), []string{a, b})[0] == a
}

// tieKey is a key by which workers are ranked for this request alone.
func (q *Query) tieKey() (key prefix.Key) {
	copy(key[:], q.ID)
	return key
}

// usesIndex reports whether the service's mode uses the prompt index.
func (q *Query) usesIndex() bool { return q.Mode != serviceconfig.PlacementNoIndex }

func (q *Query) newView() *siteView {
	view := &siteView{holders: q.holders(), addr: map[string]string{}, zone: map[string]string{}, up: []string{}}
	for _, worker := range q.Workers {
		view.addr[worker.Name], view.zone[worker.Name] = worker.Addr, worker.Zone
		if worker.State == updatestream.WorkerUp {
			view.up = append(view.up, worker.Name)
			view.meanLoad += q.Load(worker.Name)
		}
	}
	for name, addr := range q.Stores {
		view.addr[name] = addr
	}
	if len(view.up) > 0 {
		view.meanLoad /= float64(len(view.up))
	}
	return view
}

// holders returns who is known to hold each entry.
func (q *Query) holders() map[prefix.Key]map[string]bool {
	holders := map[prefix.Key]map[string]bool{}
	if !q.usesIndex() {
		return holders
	}
	for key, found := range q.Found {
		names := map[string]bool{}
		for _, holder := range found.Holders {
			names[holder.Worker] = true
		}
		holders[key] = names
	}
	return holders
}
