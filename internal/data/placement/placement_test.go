package placement

import (
	"math"
	"testing"

	"pebbleloom/internal/data/prefix"
)

// The expected results of RMax, the largest fraction of a request's tokens that may be fetched from other workers,
// were computed by hand from α·t·B·(N−1) / (c·S·N).
func TestRMax(t *testing.T) {
	for _, test := range []struct {
		name                                           string
		alpha, prefillSeconds, bandwidth, sharedTokens float64
		workers                                        int
		want                                           float64
	}{
		{"typical values: a part of a request's tokens may be fetched", 0.5, 0.2, 4000, 1000, 4, 0.5 * 0.2 * 4000 * 3 / (1000 * 4)},
		{"one worker: no other worker to fetch from", 1, 1, 1e6, 10, 1, 0},
		{"no workers", 1, 1, 1e6, 10, 0, 0},
		{"bandwidth too high to limit fetching: all tokens of a request may be fetched", 1, 1, 1e6, 10, 18, 1},
		{"requests without a shared part: no tokens to fetch", 1, 1, 1e6, 0, 4, 0},
		{"negative prefill time counts as zero", 1, -0.1, 1e6, 10, 4, 0},
		{"fetching may take no part of the saved prefill time: no token may be fetched", 0, 1, 1e6, 10, 4, 0},
	} {
		if got := RMax(test.alpha, test.prefillSeconds, test.bandwidth, test.sharedTokens, test.workers); math.Abs(got-test.want) > 1e-12 {
			t.Errorf("largest fraction of a request's tokens to fetch from other workers (RMax), case %q: got %v, want %v", test.name, got, test.want)
		}
	}
}

func TestSelectReplicated(t *testing.T) {
	entries := func(frequencies ...float64) []EntryFrequency {
		var list []EntryFrequency
		for i, frequency := range frequencies {
			list = append(list, EntryFrequency{Key: string(rune('a' + i)), Frequency: frequency})
		}
		return list
	}
	for _, test := range []struct {
		name      string
		entries   []EntryFrequency
		rMax      float64
		want      int
		wantFirst string
	}{
		{"first entry accounts for the required 0.5 of all accesses", entries(5, 3, 2), 0.5, 1, "a"},
		{"two most frequent entries account for the required 0.8 of all accesses", entries(2, 5, 3), 0.2, 2, "b"},
		{"no tokens may be fetched from other workers: all entries are replicated", entries(2, 5, 3), 0, 3, "b"},
		{"all tokens may be fetched from other workers: the most frequent entry is still replicated", entries(2, 5, 3), 1, 1, "b"},
		{"up to 1.7 of a request's tokens may be fetched from other workers, more than all: the most frequent entry is still replicated", entries(2, 5, 3), 1.7, 1, "b"},
		{"up to -0.5 of a request's tokens may be fetched from other workers, less than none: all entries are replicated", entries(2, 5, 3), -0.5, 3, "b"},
		{"no accesses: no entry is replicated", entries(0, 0), 0.3, 0, "a"},
		{"no entries", nil, 0.3, 0, ""},
		{"ties are broken by key", entries(1, 1, 1, 1), 0.5, 2, "a"},
	} {
		sorted, n := SelectReplicated(test.entries, test.rMax)
		if n != test.want || len(sorted) > 0 && sorted[0].Key != test.wantFirst {
			t.Errorf("SelectReplicated, case %q: got the first %d of %v as replicated, want %d, with key %q first", test.name, n, sorted, test.want, test.wantFirst)
		}
	}
}

// When a worker leaves, only the keys whose hash ranking it headed (as their shard worker) move to other workers.
// The keys are distributed evenly over the workers.
func TestShardWorkersAreEvenAndStable(t *testing.T) {
	workers := []string{"a", "b", "c", "d", "e", "f"}
	keys := map[string]int{}
	for i := range 6000 {
		key := prefix.Chain("shared", "m", 1, []string{string(rune(i))})[0].Key
		before, after := RankShardWorkers(key, workers), RankShardWorkers(key, workers[:5])
		keys[before[0]]++
		if before[0] != "f" && after[0] != before[0] {
			t.Fatalf("after worker f left, key %s moved from worker %s to %s, want it to stay", key, before[0], after[0])
		}
	}
	for worker, n := range keys {
		if n < 850 || n > 1150 {
			t.Errorf("worker %s is the first in the hash ranking (the shard worker) of %d of 6000 keys, want 850 to 1150", worker, n)
		}
	}
}

// Fit recovers a known polynomial from exact samples and rejects samples of too few different lengths.
func TestFitRecoversKnownCurve(t *testing.T) {
	var samples []Sample
	for n := 100; n <= 4000; n += 100 {
		samples = append(samples, Sample{Tokens: n, Micros: 1500 + 38*float64(n) + 0.005*float64(n*n)})
	}
	curve, err := Fit(samples, 2)
	if err != nil || math.Abs(curve.Coefficients[0]-1500) > 0.01 || math.Abs(curve.Coefficients[1]-38) > 1e-6 || math.Abs(curve.Coefficients[2]-0.005) > 1e-9 || curve.RMSErrorMicros > 0.01 {
		t.Errorf("Fit of samples from 1500 + 38n + 0.005n²: got %+v, error %v; want these coefficients", curve, err)
	}
	if _, err := Fit([]Sample{{5, 1}, {5, 1}, {5, 1}, {5, 1}}, 2); err == nil {
		t.Error("Fit of samples that all have the same length: got no error, want one")
	}
	if d := Default(); d.Samples < 50 || d.At(3000) <= d.At(1000) || d.RMSErrorMicros > 0.2*d.At(1000) {
		t.Errorf("embedded prefill curve: got %+v, want at least 50 samples, longer durations for more tokens and an RMS error of at most 20%% at 1000 tokens", d)
	}
}

func TestChanged(t *testing.T) {
	old := Placement{Mode: ModeHRCS, Workers: []string{"a", "b"}, Replicated: []string{"k1", "k2"}, AdmissionFloor: 2}
	for _, test := range []struct {
		name   string
		change func(next *Placement)
		want   bool
	}{
		{"nothing", func(*Placement) {}, false},
		{"only the explanation for operators, the largest fetched fraction and the replicated fraction", func(next *Placement) { next.Reason, next.RMax, next.ReplicatedRatio = "x", 0.5, 0.1 }, false},
		{"the set of replicated prefixes", func(next *Placement) { next.Replicated = []string{"k1"} }, true},
		{"the order of the replicated prefixes", func(next *Placement) { next.Replicated = []string{"k2", "k1"} }, true},
		{"the workers", func(next *Placement) { next.Workers = []string{"a"} }, true},
		{"the mode", func(next *Placement) { next.Mode = ModeAllSharded }, true},
		{"the access frequency of the least used cached entry, within the tolerance", func(next *Placement) { next.AdmissionFloor = 2.5 }, false},
		{"the access frequency of the least used cached entry, beyond the tolerance", func(next *Placement) { next.AdmissionFloor = 2.6 }, true},
	} {
		next := old
		test.change(&next)
		if got := Changed(&old, &next); got != test.want {
			t.Errorf("Changed after a change of %s: got %v, want %v", test.name, got, test.want)
		}
	}
	if !Changed(nil, &old) {
		t.Error("Changed(nil, placement): got false, want true for the first placement")
	}
}
