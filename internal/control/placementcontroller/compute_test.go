package placementcontroller

import (
	"fmt"
	"testing"

	"pebbleloom/internal/data/placement"
	"pebbleloom/internal/wire"
)

// hotEntries returns entries of 1000 tokens each.
func hotEntries(hotness ...float64) []*wire.HotPrefix {
	var entries []*wire.HotPrefix
	for i, h := range hotness {
		entries = append(entries, &wire.HotPrefix{Key: []byte{byte(i)}, Hotness: h, Tokens: 1000, Head: true, Holders: 1})
	}
	return entries
}

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

// By hand: 1000 shared tokens per request take 40 ms; B is the initial 50000 tokens per second;
// α·t·B·(N−1)/(S·N) = 0.5·0.04·50000·3/(1000·4) = 0.75. The scan stops at 0.25.
func TestCompute(t *testing.T) {
	next := Compute(testInputs(50, 30, 20), nil)
	if next.RMax < 0.7499 || next.RMax > 0.7501 || len(next.Replicated) != 1 || next.Replicated[0] != "00" || next.MeanSharedTokens != 1000 {
		t.Errorf("%+v", next)
	}
	inputs := testInputs(50, 30, 20)
	inputs.Links = []*wire.LinkThroughput{{Class: "near", Tokens: 1e6, ElapsedNs: 1e12}, {Class: "store", Tokens: 1e12, ElapsedNs: 1}}
	if next = Compute(inputs, nil); next.RMax > 0.05 || len(next.Replicated) != 3 {
		t.Errorf("slow links, the store's left out: R_max %v, %d replicated", next.RMax, len(next.Replicated))
	}
	inputs = testInputs(50, 30, 20)
	inputs.FetchTolerance, inputs.CapacityTokens = 0.01, 4500
	if next = Compute(inputs, nil); len(next.Replicated) != 2 {
		t.Errorf("half of a capacity of 4500 tokens holds %d entries of 1000", len(next.Replicated))
	}
	inputs.Workers = []string{"a"}
	if next = Compute(inputs, nil); next.RMax != 0 {
		t.Errorf("one worker: R_max %v", next.RMax)
	}
	if next = Compute(testInputs(), nil); len(next.Replicated) != 0 || next.ReplicatedRatio != 0 {
		t.Errorf("no accesses: %+v", next)
	}
}

// Counts that oscillate around the threshold of the set don't make it flap.
func TestReplicatedSetDoesntFlap(t *testing.T) {
	inputs := testInputs(40, 30, 16, 14)
	inputs.FetchTolerance = 0.15 // R_max 0.225: three of four
	current := Compute(inputs, nil)
	if len(current.Replicated) != 3 {
		t.Fatalf("%+v", current)
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
		t.Errorf("%d changes over 50 oscillations", changes)
	}
}

func TestSwapInBurst(t *testing.T) {
	current := Compute(testInputs(40, 30, 16, 14), nil)
	next, changed := SwapInBurst(current, hotEntries(40, 30, 16, 90))
	if !changed || len(next.Replicated) != len(current.Replicated) || next.Replicated[0] != "03" {
		t.Errorf("%v after %v", next.Replicated, current.Replicated)
	}
	if _, changed = SwapInBurst(next, hotEntries(40, 30, 16, 90)); changed {
		t.Error("swapped again with nothing new")
	}
}
