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
	LookupResults map[prefix.Key]*wire.LookupResult // what the prompt index knows of the entries
	Workers       []*wire.Worker                    // of the service
	Load          func(worker string) float64       // attempts in flight or waiting, as known here
	FailedWorkers map[string]bool                   // workers that have failed the request, by name
	NewestWeights uint64                            // version that the configuration names
	Placement     *placement.Placement              // nil: none yet
	StoreAddrs    map[string]string                 // addresses of the stores that are up, by name

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
	Replicated      bool           // the deciding entry is replicated
	SessionPrefix   bool           // the deciding entry is the session's prefix
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
type selectionView struct {
	holders   map[prefix.Key]map[string]bool // workers and stores that hold an entry, by name
	addr      map[string]string              // of workers and stores
	zone      map[string]string              // of workers
	upWorkers []string                       // workers
	meanLoad  float64                        // of the workers that are up
}

// Select selects the worker at which the request costs least: the wait for a slot, the prefill of what is
// missing, and the time to fetch what others hold. A replicated entry lets load decide; any other gives its
// shard worker a discount, as long as that isn't loaded far beyond the mean.
//
// Example: choice, ok := callerproxy.Select(query)
func Select(query Query) (Choice, bool) {
	view := query.newSelectionView()
	best, preferredWorker := query.lowestCost(view)
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
		PreferredWorker: preferredWorker,
	}
	query.planSaveTargets(&choice, view)
	return choice, true
}

// cheapest returns the candidate with the lowest cost, and the worker that its deciding entry prefers; nil if
// there is no candidate.
func (q *Query) lowestCost(view *selectionView) (best *candidate, preferredWorker string) {
	affinities := map[uint64]affinity{} // by version of the weights: the entries are the same for all workers of one
	for _, worker := range q.Workers {
		entries, ok := q.Entries[worker.Weights]
		if !ok || q.FailedWorkers[worker.Name] || worker.State != updatestream.WorkerUp || q.isCordoned(worker) {
			continue
		}
		estimate := q.estimateCost(worker, entries, view)
		preference, ok := affinities[worker.Weights]
		if !ok {
			preference = q.affinityFor(entries, view)
			affinities[worker.Weights] = preference
		}
		if preference.worker != "" && preference.worker != worker.Name {
			estimate.costUs += affinityPenaltyRatio * q.PrefillCurve.At(float64(preference.tokens))
		}
		if best == nil || estimate.costUs < best.costUs || estimate.costUs == best.costUs && q.ranksFirst(worker.Name, best.worker.Name) {
			best = estimate
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
func (q *Query) ranksFirst(first, second string) bool {
	return placement.RankShardWorkers(q.tieBreakKey(), []string{first, second})[0] == first
}

// tieKey is a key by which workers are ranked for this request alone.
func (q *Query) tieBreakKey() (key prefix.Key) {
	copy(key[:], q.ID)
	return key
}

// usesIndex reports whether the service's mode uses the prompt index.
func (q *Query) usesIndex() bool { return q.Mode != serviceconfig.PlacementNoIndex }

func (q *Query) newSelectionView() *selectionView {
	view := &selectionView{holders: q.holders(), addr: map[string]string{}, zone: map[string]string{}, upWorkers: []string{}}
	for _, worker := range q.Workers {
		view.addr[worker.Name], view.zone[worker.Name] = worker.Addr, worker.Zone
		if worker.State == updatestream.WorkerUp {
			view.upWorkers = append(view.upWorkers, worker.Name)
			view.meanLoad += q.Load(worker.Name)
		}
	}
	for name, addr := range q.StoreAddrs {
		view.addr[name] = addr
	}
	if len(view.upWorkers) > 0 {
		view.meanLoad /= float64(len(view.upWorkers))
	}
	return view
}

// holders returns who is known to hold each entry.
func (q *Query) holders() map[prefix.Key]map[string]bool {
	holders := map[prefix.Key]map[string]bool{}
	if !q.usesIndex() {
		return holders
	}
	for key, result := range q.LookupResults {
		names := map[string]bool{}
		for _, holder := range result.Holders {
			names[holder.Worker] = true
		}
		holders[key] = names
	}
	return holders
}
