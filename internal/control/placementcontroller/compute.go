package placementcontroller

import (
	"encoding/hex"
	"sort"
	"time"

	"pebbleloom/internal/data/placement"
	"pebbleloom/internal/wire"
)

// Hysteresis and limits of the set of replicated entries, which every worker caches. With a wider hysteresis
// the set changes less often, but follows the access frequencies less closely.
const (
	retainRatio             = 0.7 // a replicated entry is removed only if its access frequency falls below this ratio of the threshold for being added
	swapInRatio             = 1.3 // between full computations, an entry is added only if its hotness exceeds this multiple of the coldest replicated entry's
	replicatedCapacityRatio = 0.5 // ratio of the smallest worker's cache capacity that the replicated entries may use
	sharedHotness           = 1.5 // minimum hotness of an entry that counts as shared by requests: it had more than one recent access
)

// Initial estimate of the bandwidth of cache fetches between workers, which measured fetches gradually
// outweigh.
const (
	initialBandwidth        = 50000.0 // initial estimate, in tokens per second
	initialBandwidthSeconds = 0.02    // weight of initialBandwidth against measured fetches, in seconds of fetch time
)

// storeLinkClass is the class of links to cache stores. They do not count for the bandwidth between workers.
const storeLinkClass = "store"

// Inputs are the values from which Compute makes a placement.
type Inputs struct {
	Service        string
	Mode           placement.Mode
	FetchTolerance float64  // ratio of the saved prefill time that fetching may take; α in the BAT paper
	Workers        []string // sorted names of the service's workers
	CapacityTokens int      // cache capacity of the smallest worker, in tokens
	HotEntries     []*wire.HotPrefix
	Links          []*wire.LinkThroughput
	PrefillCurve   placement.Curve
}

// Compute makes a placement: the replication ratio by Algorithm 1 of the BAT paper, and the set of the hottest
// entries, with hysteresis for entries that are replicated in the old placement. old is nil if there is none.
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

// selectReplicated fills the replicated set of a placement, up to a capacity in tokens, with the hottest
// entries and with entries of the old set that are still hot enough to be retained.
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

// SwapInBurst replaces the least frequently accessed replicated entries by entries that have become hot since
// the last full computation of the placement. It returns the new placement and whether the set changed.
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

// frequencies converts hot prefixes to access frequencies of entries. It also returns the total hotness of
// prefixes at the beginning of a prompt, which estimates the number of requests, and the total tokens of
// shared entries weighted by hotness.
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

// admissionFloor returns the hotness of the coldest cached entry that is not at the beginning of a prompt, or
// zero if there is none. The prefix of a session must be hotter than that to be admitted to a cache.
func admissionFloor(hot []*wire.HotPrefix) float64 {
	coldest := -1.0
	for _, prefix := range hot {
		if !prefix.Head && prefix.Holders > 0 && (coldest < 0 || prefix.Hotness < coldest) {
			coldest = prefix.Hotness
		}
	}
	return max(0, coldest)
}

// fetchBandwidth returns the bandwidth of fetches from other workers in tokens per second: the measured
// fetches combined with initialBandwidth.
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
