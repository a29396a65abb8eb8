package placement

import (
	"math"
	"sort"
)

// cdfTolerance compensates for rounding errors in SelectReplicated when the entries summed so far account for exactly
// the required fraction of all accesses: 1 − rMax, where rMax is the largest fraction of a request's tokens that may be
// fetched from other workers.
const cdfTolerance = 1e-12

// RMax returns the largest fraction of a request's tokens that may be fetched from other workers such that
// fetching takes at most the fraction alpha of the prefill time that it saves:
// α·t·B·(N−1) / (c·S_item·N), limited to the range 0 to 1. Here t is prefillSeconds, B is bandwidth in tokens
// per second, c·S_item is sharedTokens (the number of tokens in a request's shared part), and N is the number
// of workers.
//
// Example: placement.RMax(1, 0.1, 20000, 1000, 4) == 1
func RMax(alpha, prefillSeconds, bandwidth, sharedTokens float64, workers int) float64 {
	if workers < 2 || sharedTokens <= 0 || prefillSeconds <= 0 || bandwidth <= 0 || alpha <= 0 {
		return 0 // fetching is impossible, as with a single worker, or can't save time
	}
	return math.Min(1, alpha*prefillSeconds*bandwidth*float64(workers-1)/(sharedTokens*float64(workers)))
}

// EntryFrequency is the access frequency of one prompt index entry in the period that a placement is computed from.
type EntryFrequency struct {
	Key       string
	Frequency float64 // in any unit, the same for all entries; the sum of all frequencies need not be 1
	Tokens    int
}

// SelectReplicated selects the most frequently accessed entries by the CDF scan of the BAT paper: frequencies
// are summed in descending order until the fraction 1 − rMax of all accesses is reached, where rMax is the largest
// fraction of a request's tokens that may be fetched from other workers. It returns the sorted entries and how many
// of them, from the start, are replicated. Ties are broken by key, so that the result is
// deterministic.
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
		return sorted, 0 // without any accesses, no entry is replicated
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
