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

// Query is the input of worker selection (Select) for one attempt of a request.
type Query struct {
	ID            string                            // request ID; breaks ties between workers of equal cost
	Mode          string                            // the service's placement mode, such as serviceconfig.PlacementHRCS
	Entries       map[uint64][]prefix.Entry         // the prompt's prefix entries, by version of the model weights
	LookupResults map[prefix.Key]*wire.LookupResult // the prompt index's lookup results for the prefix entries
	Workers       []*wire.Worker                    // candidate workers of the service
	Load          func(worker string) float64       // number of attempts running or queued at a worker, as far as known
	FailedWorkers map[string]bool                   // names of workers at which an attempt of this request has failed
	NewestWeights uint64                            // latest version of the weights according to the configuration
	Placement     *placement.Placement              // placement of the service; nil if none has been computed yet
	StoreAddrs    map[string]string                 // addresses of the cache stores that are up, by name

	PrefillCurve   placement.Curve // prefill time in microseconds as a function of the number of tokens
	MeanAttemptUs  float64         // mean duration of an attempt in microseconds
	NearBandwidth  float64         // fetch bandwidth between workers in the same zone, in tokens per second
	FarBandwidth   float64         // fetch bandwidth between workers in different zones, in tokens per second
	StoreBandwidth float64         // fetch bandwidth from a cache store, in tokens per second

	includeCordoned bool // whether cordoned workers (see isCordoned) may be selected; set if no other worker is available
}

// Choice is the result of worker selection: the worker, the expected cost, and which cached prefixes the worker
// fetches and copies.
type Choice struct {
	Worker          *wire.Worker
	Entries         []prefix.Entry // prefix entries of the prompt under the worker's version of the weights
	HitTokens       int            // prompt tokens that the worker is expected to have in its cache
	FetchTokens     int            // prompt tokens that the worker is to fetch from other workers or cache stores
	CostUs          float64        // estimated time to first token in microseconds, including the penalty if another worker is preferred
	WaitUs          float64        // part of CostUs: estimated time in microseconds until the worker has a free slot
	FetchFrom       string         // comma-separated list of "index=address": index of a prefix entry to fetch, and where to fetch it from
	SaveAddrs       string         // comma-separated addresses that the worker copies the prefix to
	SaveNames       []string       // names of the workers and cache stores whose addresses are in SaveAddrs
	SaveEntries     int            // number of leading prefix entries that are copied to SaveAddrs
	Replicated      bool           // whether the prefix that determines the preferred worker is replicated on all workers
	SessionPrefix   bool           // whether the session's prefix, not the prefix shared with other requests, determines the preferred worker
	PreferredWorker string         // worker preferred by prefix affinity; empty if there is none
}

// candidate is a worker with the estimated cost of running the request on it.
type candidate struct {
	worker                 *wire.Worker
	entries                []prefix.Entry
	costUs                 float64  // estimated time to first token in microseconds, including the penalty if another worker is preferred
	waitUs                 float64  // part of costUs: estimated time in microseconds until the worker has a free slot
	hitTokens, fetchTokens int      // prompt tokens in the worker's cache, and prompt tokens to fetch from other workers or cache stores
	fetchFrom              []string // "index=address" items: index of a prefix entry to fetch, and where to fetch it from
}

// selectionView holds the data that a selection derives from its query once and uses for every worker.
type selectionView struct {
	holders   map[prefix.Key]map[string]bool // names of the workers and stores that hold a prefix entry, by its key
	addr      map[string]string              // addresses of workers and stores, by name
	zone      map[string]string              // zones of workers, by name
	upWorkers []string                       // names of the workers that are up
	meanLoad  float64                        // mean load of the workers that are up
}

// Select selects the worker with the lowest estimated time to first token: the wait for a slot, the fetch of
// prefixes that other holders have cached, and the prefill of the rest. If the prefix that
// determines affinity is replicated on all workers, none of them is preferred. Otherwise the prefix's shard worker
// (the worker it is assigned to by hashing) is preferred, and all others get a penalty; an overloaded shard worker
// is replaced by the next one in the hash ranking.
//
// Example: choice, ok := callerproxy.Select(query)
func Select(query Query) (Choice, bool) {
	view := query.newSelectionView()
	best, preferredWorker := query.lowestCost(view)
	if best == nil && !query.includeCordoned && query.Placement != nil && len(query.Placement.Cordoned) > 0 {
		query.includeCordoned = true // no other worker is available, and a cordoned worker is better than none
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

// lowestCost returns the candidate with the lowest cost, and the worker that prefix affinity prefers. The candidate
// is nil if no worker can be selected.
func (q *Query) lowestCost(view *selectionView) (best *candidate, preferredWorker string) {
	affinities := map[uint64]affinity{} // by version of the model weights: workers with the same version have the same prefix entries
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

// isCordoned reports whether the placement keeps new requests away from a worker that is about to load newer
// weights.
func (q *Query) isCordoned(worker *wire.Worker) bool {
	return !q.includeCordoned && q.Placement != nil && worker.Weights < q.NewestWeights && slices.Contains(q.Placement.Cordoned, worker.Name)
}

// ranksFirst reports whether the first of two workers of equal cost is selected. The ranking depends on the
// request ID, so that ties are spread over the workers.
func (q *Query) ranksFirst(first, second string) bool {
	return placement.RankShardWorkers(q.tieBreakKey(), []string{first, second})[0] == first
}

// tieBreakKey returns the key for ranking workers of equal cost: the beginning of the request ID, as long as a
// prefix.Key.
func (q *Query) tieBreakKey() (key prefix.Key) {
	copy(key[:], q.ID)
	return key
}

// usesIndex reports whether the service's placement mode uses the prompt index.
func (q *Query) usesIndex() bool { return q.Mode != serviceconfig.PlacementNoIndex }

// newSelectionView derives the data that all cost estimates of this selection share.
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

// holders returns the names of the workers and cache stores that hold each prefix entry, according to the prompt
// index. The map is empty if the placement mode does not use the index.
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
