package placementcontroller

import (
	"encoding/hex"
	"sort"
	"time"

	"pebbleloom/internal/data/placement"
	"pebbleloom/internal/wire"
)

// Hysteresis and limits of the replicated set. A wider hysteresis changes the set less often and follows
// the accesses less closely.
const (
	retainRatio             = 0.7 // an entry leaves the set only below this ratio of the threshold
	swapInRatio             = 1.3 // between full computations an entry swaps in only above this multiple of the coldest
	replicatedCapacityRatio = 0.5 // of a worker's cache capacity: what the set may use
	sharedHotness           = 1.5 // an entry this hot had more than one recent request: it is shared
)

// Prior of the fetch bandwidth, until fetches have been measured.
const (
	initialBandwidth        = 50000.0 // tokens per second
	initialBandwidthSeconds = 0.02    // weight of the prior, in seconds of fetching
)

// storeLinkClass is the class of links to stores: they aren't links between workers.
const storeLinkClass = "store"

// Inputs are what a placement is computed from.
type Inputs struct {
	Service        string
	Mode           placement.Mode
	FetchTolerance float64  // the paper's α: the part of the saved prefill time that fetching may take
	Workers        []string // names, sorted
	CapacityTokens int      // cache capacity of the smallest worker, in tokens
	HotEntries     []*wire.HotPrefix
	Links          []*wire.LinkThroughput
	PrefillCurve   placement.Curve
}

// Compute makes a placement: the ratio by the paper's Algorithm 1, the set of the hottest entries,
// with hysteresis for those that are in the old set already. old is nil if there is none.
//
// Example: next := placementcontroller.Compute(inputs, old)
func Compute(inputs Inputs, old *placement.Placement) *placement.Placement {
	next := &placement.Placement{
		Service:      inputs.Service,
		Mode:         inputs.Mode,
		Workers:      inputs.Workers,
		PrefillCurve: inputs.PrefillCurve,
		Replicated:   []string{},
	}
	entries, requests, sharedTokens := frequencies(inputs.HotEntries)
	next.Entries = len(entries)
	next.FetchBandwidth, next.AdmissionFloor = fetchBandwidth(inputs.Links), admissionFloor(inputs.HotEntries)
	if requests > 0 {
		next.MeanSharedTokens = sharedTokens / requests
	}
	prefillSeconds := inputs.PrefillCurve.At(next.MeanSharedTokens) / 1e6
	next.RMax = placement.RMax(inputs.FetchTolerance, prefillSeconds, next.FetchBandwidth, next.MeanSharedTokens, len(inputs.Workers))
	selectReplicated(next, entries, old, int(float64(inputs.CapacityTokens)*replicatedCapacityRatio))
	if len(entries) > 0 {
		next.ReplicatedRatio = float64(len(next.Replicated)) / float64(len(entries))
	}
	return next
}

// selectReplicated fills the replicated set with the hottest entries up to a capacity in tokens, and
// with those of the old set that are still hot enough.
func selectReplicated(next *placement.Placement, entries []placement.EntryFrequency, old *placement.Placement, capacity int) {
	sorted, selected := placement.SelectReplicated(entries, next.RMax)
	if selected == 0 {
		return
	}
	previous := map[string]bool{}
	if old != nil {
		for _, key := range old.Replicated {
			previous[key] = true
		}
	}
	threshold := sorted[selected-1].Frequency
	for i, entry := range sorted {
		if i >= selected && !(previous[entry.Key] && entry.Frequency >= retainRatio*threshold) {
			continue
		}
		if capacity -= entry.Tokens; capacity < 0 {
			next.Reason = "cut to the workers' room"
			return
		}
		next.Replicated = append(next.Replicated, entry.Key)
	}
}

// SwapInBurst replaces the coldest entries of the replicated set by ones that have become hot, between
// full computations. It returns the placement and whether anything changed.
//
// Example: next, changed := placementcontroller.SwapInBurst(old, hot)
func SwapInBurst(old *placement.Placement, hot []*wire.HotPrefix) (*placement.Placement, bool) {
	entries, _, _ := frequencies(hot)
	byKey := map[string]placement.EntryFrequency{}
	for _, entry := range entries {
		byKey[entry.Key] = entry
	}
	replicated := append([]string(nil), old.Replicated...)
	sort.SliceStable(replicated, func(i, j int) bool {
		return byKey[replicated[i]].Frequency > byKey[replicated[j]].Frequency
	})
	isReplicated := map[string]bool{}
	for _, key := range replicated {
		isReplicated[key] = true
	}
	sorted, _ := placement.SelectReplicated(entries, 0)
	changed := false
	for _, entry := range sorted {
		if len(replicated) == 0 || isReplicated[entry.Key] {
			continue
		}
		coldest := byKey[replicated[len(replicated)-1]]
		if entry.Frequency <= swapInRatio*coldest.Frequency || entry.Tokens > coldest.Tokens && coldest.Tokens > 0 {
			break
		}
		isReplicated[entry.Key], isReplicated[replicated[len(replicated)-1]] = true, false
		replicated = append([]string{entry.Key}, replicated[:len(replicated)-1]...)
		changed = true
	}
	next := *old
	next.Replicated, next.Reason = replicated, "burst swapped in"
	return &next, changed
}

// frequencies converts hot entries. It also returns the hotness of all first entries, which is that of
// all requests, and the tokens of all shared entries, weighted by hotness.
func frequencies(hot []*wire.HotPrefix) (entries []placement.EntryFrequency, requests, sharedTokens float64) {
	for _, prefix := range hot {
		entries = append(entries, placement.EntryFrequency{
			Key:       hex.EncodeToString(prefix.Key),
			Frequency: prefix.Hotness,
			Tokens:    int(prefix.Tokens),
		})
		if prefix.Head {
			requests += prefix.Hotness
		}
		if prefix.Hotness >= sharedHotness {
			sharedTokens += prefix.Hotness * float64(prefix.Tokens)
		}
	}
	return entries, requests, sharedTokens
}

// admissionFloor is the hotness of the coldest cached entry that no prompt begins with: a session's
// prefix has to be hotter to be admitted. Zero if there is none.
func admissionFloor(hot []*wire.HotPrefix) float64 {
	coldest := -1.0
	for _, prefix := range hot {
		if !prefix.Head && prefix.Holders > 0 && (coldest < 0 || prefix.Hotness < coldest) {
			coldest = prefix.Hotness
		}
	}
	return max(0, coldest)
}

// fetchBandwidth is the measured bandwidth of fetches from other workers, in tokens per second; the
// prior until there are any.
func fetchBandwidth(links []*wire.LinkThroughput) float64 {
	tokens, elapsedNs := initialBandwidth*initialBandwidthSeconds, initialBandwidthSeconds*float64(time.Second)
	for _, link := range links {
		if link.Class != storeLinkClass {
			tokens += link.Tokens
			elapsedNs += link.ElapsedNs
		}
	}
	return tokens / elapsedNs * float64(time.Second)
}
