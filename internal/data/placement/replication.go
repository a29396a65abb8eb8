package placement

import (
	"math"
	"sort"
)

// cdfTolerance absorbs rounding where the summed frequencies reach the threshold exactly.
const cdfTolerance = 1e-12

// RMax is the largest share of a request's tokens that may be fetched from other workers, so that
// fetching takes at most the part alpha of the prefill time that it saves:
// α·t·B·(N−1) / (c·S_item·N), limited to 0…1. Here t is prefillSeconds, B the bandwidth in tokens per
// second, c·S_item sharedTokens, the tokens of a request's shared part, and N the number of workers.
//
// Example: placement.RMax(1, 0.1, 20000, 1000, 4) == 1
func RMax(alpha, prefillSeconds, bandwidth, sharedTokens float64, workers int) float64 {
	if workers < 2 || sharedTokens <= 0 || prefillSeconds <= 0 || bandwidth <= 0 || alpha <= 0 {
		return 0 // a single worker has no other to fetch from
	}
	return math.Min(1, alpha*prefillSeconds*bandwidth*float64(workers-1)/(sharedTokens*float64(workers)))
}

// EntryFrequency is one entry's part in the accesses of the past period.
type EntryFrequency struct {
	Key       string
	Frequency float64 // any unit: need not be normalized
	Tokens    int
}

// SelectReplicated is the paper's CDF scan: entries are summed by descending frequency until 1 − rMax of
// all accesses is reached. It returns the sorted entries and how many of them are replicated. Ties are
// broken by key, so that every scan of the same counts selects the same set.
//
// Example: sorted, n := placement.SelectReplicated(entries, 0.3)
func SelectReplicated(entries []EntryFrequency, rMax float64) (sorted []EntryFrequency, n int) {
	sorted = append([]EntryFrequency(nil), entries...)
	sort.Slice(sorted, func(i, j int) bool {
		if sorted[i].Frequency != sorted[j].Frequency {
			return sorted[i].Frequency > sorted[j].Frequency
		}
		return sorted[i].Key < sorted[j].Key
	})
	total := 0.0
	for _, entry := range sorted {
		total += entry.Frequency
	}
	if total <= 0 {
		return sorted, 0 // nothing was accessed: nothing is hot
	}
	cdf := 0.0
	for i, entry := range sorted {
		cdf += entry.Frequency / total
		if cdf >= 1-rMax-cdfTolerance {
			return sorted, i + 1
		}
	}
	return sorted, len(sorted)
}
