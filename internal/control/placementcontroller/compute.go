// Package placementcontroller decides a service's placement under a lease, and brings named weights
// to its workers one by one.
package placementcontroller

import (
	"encoding/hex"
	"sort"
	"time"

	"pebbleloom/internal/data/placement"
	"pebbleloom/internal/wire"
)

// The constants of the placement, as ratios.
const (
	retainRatio             = 0.7     // an entry leaves the replicated set only below this share of the threshold
	swapInRatio             = 1.3     // an entry swaps in between recomputations only above this multiple of the coldest
	replicatedCapacityRatio = 0.5     // of a worker's room the replicated set may take
	initialBandwidth        = 50000.0 // tokens a second, assumed until fetches were measured
	initialBandwidthSeconds = 0.02    // weight of that assumption, in seconds of fetching
)

// Inputs are what a placement is computed from.
type Inputs struct {
	Service        string
	Mode           placement.Mode
	FetchTolerance float64
	Workers        []string
	CapacityTokens int // tokens, of the smallest worker
	HotEntries     []*wire.HotPrefix
	Links          []*wire.LinkThroughput
	PrefillCurve   placement.Curve
}

// Compute makes a placement: the ratio by the paper's Algorithm 1, the set of the hottest entries,
// with hysteresis for those that are in it already.
//
// Example: p := placementcontroller.Compute(inputs, old)
func Compute(f Inputs, old *placement.Placement) *placement.Placement {
	p := &placement.Placement{Service: f.Service, Mode: f.Mode, Workers: f.Workers, PrefillCurve: f.PrefillCurve, Replicated: []string{}}
	fs, requests, tokens := frequencies(f.HotEntries)
	p.Entries = len(fs)
	p.FetchBandwidth, p.AdmissionFloor = fetchBandwidth(f.Links), admissionFloor(f.HotEntries)
	if requests > 0 {
		p.MeanSharedTokens = tokens / requests
	}
	t := f.PrefillCurve.At(p.MeanSharedTokens) / 1e6
	p.RMax = placement.RMax(f.FetchTolerance, t, p.FetchBandwidth, p.MeanSharedTokens, len(f.Workers))
	sorted, n := placement.SelectReplicated(fs, p.RMax)
	if n > 0 {
		was := map[string]bool{}
		if old != nil {
			for _, k := range old.Replicated {
				was[k] = true
			}
		}
		edge := sorted[n-1].Frequency
		room := int(float64(f.CapacityTokens) * replicatedCapacityRatio)
		var in []placement.EntryFrequency
		for i, x := range sorted {
			if i < n || was[x.Key] && x.Frequency >= retainRatio*edge {
				in = append(in, x)
			}
		}
		for _, x := range in {
			if room -= x.Tokens; room < 0 {
				p.Reason = "cut to the workers' room"
				break
			}
			p.Replicated = append(p.Replicated, x.Key)
		}
	}
	if len(fs) > 0 {
		p.ReplicatedRatio = float64(len(p.Replicated)) / float64(len(fs))
	}
	return p
}

// SwapInBurst replaces the coldest entries by bursting ones, between full computations. It reports whether
// anything changed.
//
// Example: next, changed := placementcontroller.Swap(old, hot)
func SwapInBurst(old *placement.Placement, hot []*wire.HotPrefix) (*placement.Placement, bool) {
	fs, _, _ := frequencies(hot)
	at := map[string]placement.EntryFrequency{}
	for _, x := range fs {
		at[x.Key] = x
	}
	in := append([]string(nil), old.Replicated...)
	sort.SliceStable(in, func(i, j int) bool { return at[in[i]].Frequency > at[in[j]].Frequency })
	has := map[string]bool{}
	for _, k := range in {
		has[k] = true
	}
	sorted, _ := placement.SelectReplicated(fs, 0)
	changed := false
	for _, x := range sorted {
		if len(in) == 0 || has[x.Key] {
			continue
		}
		last := in[len(in)-1]
		if x.Frequency <= swapInRatio*at[last].Frequency || x.Tokens > at[last].Tokens && at[last].Tokens > 0 {
			break
		}
		in = append([]string{x.Key}, in[:len(in)-1]...)
		has[x.Key], has[last], changed = true, false, true
	}
	n := *old
	n.Replicated, n.Reason = in, "burst swapped in"
	return &n, changed
}

func frequencies(hot []*wire.HotPrefix) (fs []placement.EntryFrequency, requests, tokens float64) {
	for _, h := range hot {
		fs = append(fs, placement.EntryFrequency{Key: hex.EncodeToString(h.Key), Frequency: h.Hotness, Tokens: int(h.Tokens)})
		if h.Head {
			requests += h.Hotness
		}
		if h.Hotness >= 1.5 { // more than one recent request: shared
			tokens += h.Hotness * float64(h.Tokens)
		}
	}
	return fs, requests, tokens
}

// admissionFloor is the hotness of the coldest cached entry that no prompt begins with: a session's
// prefix has to be hotter to be admitted.
func admissionFloor(hot []*wire.HotPrefix) float64 {
	least := -1.0
	for _, h := range hot {
		if !h.Head && h.Holders > 0 && (least < 0 || h.Hotness < least) {
			least = h.Hotness
		}
	}
	return max(0, least)
}

// fetchBandwidth is the measured rate of fetches from other workers, in tokens a second; an initial value
// until there are any.
func fetchBandwidth(l []*wire.LinkThroughput) float64 {
	tok, ns := initialBandwidth*initialBandwidthSeconds, initialBandwidthSeconds*float64(time.Second)
	for _, x := range l {
		if x.Class != "store" {
			tok, ns = tok+x.Tokens, ns+x.ElapsedNs
		}
	}
	return tok / ns * float64(time.Second)
}
