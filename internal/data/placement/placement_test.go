package placement

import (
	"math"
	"testing"

	"pebbleloom/internal/data/prefix"
)

// Computed by hand from R_max = α·t·B·(N−1) / (c·S·N).
func TestRMaxByHand(t *testing.T) {
	for _, c := range []struct {
		name               string
		alpha, t, b, share float64
		n                  int
		want               float64
	}{
		{"paper's shape", 0.5, 0.2, 4000, 1000, 4, 0.5 * 0.2 * 4000 * 3 / (1000 * 4)},
		{"one worker has nobody to fetch from", 1, 1, 1e6, 10, 1, 0},
		{"no workers", 1, 1, 1e6, 10, 0, 0},
		{"links fast enough for all: cut to 1", 1, 1, 1e6, 10, 18, 1},
		{"no shared part", 1, 1, 1e6, 0, 4, 0},
		{"a fit below zero is no time", 1, -0.1, 1e6, 10, 4, 0},
		{"alpha 0 tolerates no fetch", 0, 1, 1e6, 10, 4, 0},
	} {
		if got := RMax(c.alpha, c.t, c.b, c.share, c.n); math.Abs(got-c.want) > 1e-12 {
			t.Errorf("%s: %v, by hand %v", c.name, got, c.want)
		}
	}
}

func TestScanByHand(t *testing.T) {
	f := func(v ...float64) []EntryFrequency {
		var l []EntryFrequency
		for i, x := range v {
			l = append(l, EntryFrequency{Key: string(rune('a' + i)), Frequency: x})
		}
		return l
	}
	for _, c := range []struct {
		name string
		fs   []EntryFrequency
		r    float64
		want int
		top  string
	}{
		{"0.5 reached by the first", f(5, 3, 2), 0.5, 1, "a"},
		{"0.8 reached by two, in descending order", f(2, 5, 3), 0.2, 2, "b"},
		{"R_max 0 replicates all", f(2, 5, 3), 0, 3, "b"},
		{"R_max 1: the scan as written stops at the first", f(2, 5, 3), 1, 1, "b"},
		{"R_max above 1 does so too", f(2, 5, 3), 1.7, 1, "b"},
		{"R_max below 0 replicates all", f(2, 5, 3), -0.5, 3, "b"},
		{"no accesses: nothing is hot", f(0, 0), 0.3, 0, "a"},
		{"no entries", nil, 0.3, 0, ""},
		{"ties go by key", f(1, 1, 1, 1), 0.5, 2, "a"},
	} {
		l, n := SelectReplicated(c.fs, c.r)
		if n != c.want || len(l) > 0 && l[0].Key != c.top {
			t.Errorf("%s: %d of %v, by hand %d", c.name, n, l, c.want)
		}
	}
}

// A worker that leaves moves its own keys alone, and the tail is spread evenly.
func TestHomesAreEvenAndSteady(t *testing.T) {
	ws := []string{"a", "b", "c", "d", "e", "f"}
	n := map[string]int{}
	for i := range 6000 {
		k := prefix.Chain("shared", "m", 1, []string{string(rune(i))})[0].Key
		h := RankShardWorkers(k, ws)
		n[h[0]]++
		left := RankShardWorkers(k, ws[:5])
		if h[0] != "f" && left[0] != h[0] {
			t.Fatalf("key %s moved from %s to %s though only f left", k, h[0], left[0])
		}
	}
	for w, x := range n {
		if x < 850 || x > 1150 {
			t.Errorf("worker %s is home to %d of 6000", w, x)
		}
	}
}

// A known polynomial is found again; too few lengths are refused.
func TestFitFindsAKnownCurve(t *testing.T) {
	var l []Sample
	for n := 100; n <= 4000; n += 100 {
		l = append(l, Sample{n, 1500 + 38*float64(n) + 0.005*float64(n*n)})
	}
	c, err := Fit(l, 2)
	if err != nil || math.Abs(c.Coefficients[0]-1500) > 0.01 || math.Abs(c.Coefficients[1]-38) > 1e-6 || math.Abs(c.Coefficients[2]-0.005) > 1e-9 || c.RMSErrorMicros > 0.01 {
		t.Errorf("%+v, %v", c, err)
	}
	if _, err := Fit([]Sample{{5, 1}, {5, 1}, {5, 1}, {5, 1}}, 2); err == nil {
		t.Error("one length gave a curve")
	}
	if d := Default(); d.Samples < 50 || d.At(3000) <= d.At(1000) || d.RMSErrorMicros > 0.2*d.At(1000) {
		t.Errorf("the curve that is kept: %+v", d)
	}
}
