package placementcontroller

import (
	"fmt"
	"testing"

	"pebbleloom/internal/data/placement"
	"pebbleloom/internal/wire"
)

// hotEntries returns entries of 1000 tokens each, with the given hotness.
func hotEntries(hotness ...float64) []*wire.HotPrefix {
	var entries []*wire.HotPrefix
	for i, h := range hotness {
		entries = append(entries, &wire.HotPrefix{Key: []byte{byte(i)}, Hotness: h, Tokens: 1000, Head: true, Holders: 1})
	}
	return entries
}

// testInputs returns the inputs of a service with four workers and entries of the given hotness.
func testInputs(hotness ...float64) Inputs {
	return Inputs{
		Service:        "s",
		Mode:           placement.ModeHRCS,
		FetchTolerance: 0.5,
		Workers:        []string{"a", "b", "c", "d"},
		CapacityTokens: 1 << 20,
		HotEntries:     hotEntries(hotness...),
		PrefillCurve:   placement.Curve{Coefficients: []float64{0, 40}},
	}
}

// The expected values of the placement are calculated by hand: 1000 shared tokens per request take 40 ms of
// prefill, the initial bandwidth B is 50000 tokens per second, and the largest fraction of a request's tokens to
// fetch from other workers is R_max = α·t·B·(N−1)/(S·N) = 0.5·0.04·50000·3/(1000·4) = 0.75. The scan selects
// entries until they cover 1 − 0.75 = 0.25 of all accesses, which the first one does alone. Slow links, a small
// cache, a single worker and no accesses are checked too.
func TestCompute(t *testing.T) {
	next := Compute(testInputs(50, 30, 20), nil)
	if next.RMax < 0.7499 || next.RMax > 0.7501 || len(next.Replicated) != 1 || next.Replicated[0] != "00" || next.MeanSharedTokens != 1000 {
		t.Errorf("placement with four workers at the initial bandwidth: %+v, want at most 0.75 of a request's tokens fetched from other workers (RMax), only entry 00 replicated, 1000 shared tokens per request", next)
	}
	inputs := testInputs(50, 30, 20)
	inputs.Links = []*wire.LinkThroughput{{Class: "near", Tokens: 1e6, ElapsedNs: 1e12}, {Class: "store", Tokens: 1e12, ElapsedNs: 1}}
	if next = Compute(inputs, nil); next.RMax > 0.05 || len(next.Replicated) != 3 {
		t.Errorf("placement with slow links between workers and a fast link to the store: largest fraction of a request's tokens to fetch from other workers %v with %d entries replicated, want at most 0.05 with 3", next.RMax, len(next.Replicated))
	}
	inputs = testInputs(50, 30, 20)
	inputs.FetchTolerance, inputs.CapacityTokens = 0.01, 4500
	if next = Compute(inputs, nil); len(next.Replicated) != 2 {
		t.Errorf("placement for workers with a cache capacity of 4500 tokens: %d entries of 1000 tokens replicated, want 2, which fit into half of the capacity", len(next.Replicated))
	}
	inputs.Workers = []string{"a"}
	if next = Compute(inputs, nil); next.RMax != 0 {
		t.Errorf("placement with one worker: largest fraction of a request's tokens to fetch from other workers %v, want 0", next.RMax)
	}
	if next = Compute(testInputs(), nil); len(next.Replicated) != 0 || next.ReplicatedRatio != 0 {
		t.Errorf("placement without hot entries: %+v, want none replicated and ratio 0", next)
	}
}

// If the access counts of two entries oscillate around the threshold of the replicated set, the hysteresis
// keeps the set stable.
func TestReplicatedSetDoesntFlap(t *testing.T) {
	inputs := testInputs(40, 30, 16, 14)
	inputs.FetchTolerance = 0.15 // at most 0.225 of a request's tokens may then be fetched from other workers, so that three of four entries are replicated
	current := Compute(inputs, nil)
	if len(current.Replicated) != 3 {
		t.Fatalf("placement if fetching may take 0.15 of the saved prefill time: %+v, want three entries replicated", current)
	}
	changes := 0
	for i := range 50 {
		x, y := 16.0, 14.0
		if i%2 == 0 {
			x, y = 14, 16
		}
		changed := inputs
		changed.HotEntries = hotEntries(40, 30, x, y)
		next := Compute(changed, current)
		if fmt.Sprint(len(next.Replicated)) != fmt.Sprint(len(current.Replicated)) {
			changes++
		}
		if _, swapped := SwapInBurst(next, changed.HotEntries); swapped {
			changes++
		}
		current = next
	}
	if changes > 1 {
		t.Errorf("the replicated set changed %d times while two entries exchanged their access counts 50 times, want at most 1", changes)
	}
}

// An entry that becomes hot between full computations replaces the coldest replicated entry. A second call
// with the same input changes nothing.
func TestSwapInBurst(t *testing.T) {
	current := Compute(testInputs(40, 30, 16, 14), nil)
	next, changed := SwapInBurst(current, hotEntries(40, 30, 16, 90))
	if !changed || len(next.Replicated) != len(current.Replicated) || next.Replicated[0] != "03" {
		t.Errorf("replicated entries %v after a burst on entry 03, before %v: want 03 first and as many entries", next.Replicated, current.Replicated)
	}
	if _, changed = SwapInBurst(next, hotEntries(40, 30, 16, 90)); changed {
		t.Error("second replacement of cold replicated entries by hot ones (SwapInBurst), with unchanged access counts: the placement changed, want no change")
	}
}
