package placementcontroller

import (
	"fmt"
	"testing"
	"time"

	"pebbleloom/internal/data/placement"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

func hotEntries(f ...float64) []*wire.HotPrefix {
	var l []*wire.HotPrefix
	for i, x := range f {
		l = append(l, &wire.HotPrefix{Key: []byte{byte(i)}, Hotness: x, Tokens: 1000, Head: true, Holders: 1})
	}
	return l
}

func testInputs(f ...float64) Inputs {
	return Inputs{Service: "s", Mode: "hrcs", FetchTolerance: 0.5, Workers: []string{"a", "b", "c", "d"}, CapacityTokens: 1 << 20, HotEntries: hotEntries(f...), PrefillCurve: placement.Curve{Coefficients: []float64{0, 40}}}
}

// By hand: 1000 shared tokens a request take 40 ms; B is the starting 50000 tokens a
// second; α·t·B·(N−1)/(S·N) = 0.5·0.04·50000·3/(1000·4) = 0.75. The scan stops at 0.25.
func TestComputeByHand(t *testing.T) {
	p := Compute(testInputs(50, 30, 20), nil)
	if p.RMax < 0.7499 || p.RMax > 0.7501 || len(p.Replicated) != 1 || p.Replicated[0] != "00" || p.MeanSharedTokens != 1000 {
		t.Errorf("%+v", p)
	}
	f := testInputs(50, 30, 20)
	f.Links = []*wire.LinkThroughput{{Class: "near", Tokens: 1e6, ElapsedNs: 1e12}, {Class: "store", Tokens: 1e12, ElapsedNs: 1}}
	if p = Compute(f, nil); p.RMax > 0.05 || len(p.Replicated) != 3 {
		t.Errorf("links seen to be slow, the store's left out: R_max %v, %d replicated", p.RMax, len(p.Replicated))
	}
	f = testInputs(50, 30, 20)
	f.FetchTolerance, f.CapacityTokens = 0.01, 4500
	if p = Compute(f, nil); len(p.Replicated) != 2 {
		t.Errorf("half of 4500 tokens of room hold %d entries of 1000", len(p.Replicated))
	}
	f.Workers = []string{"a"}
	if p = Compute(f, nil); p.RMax != 0 {
		t.Errorf("one worker: R_max %v", p.RMax)
	}
	if p = Compute(testInputs(), nil); len(p.Replicated) != 0 || p.ReplicatedRatio != 0 {
		t.Errorf("no accesses: %+v", p)
	}
}

// Counts that swing round the edge of the set don't make it flap.
func TestReplicatedSetDoesntFlap(t *testing.T) {
	f := testInputs(40, 30, 16, 14)
	f.FetchTolerance = 0.15 // R_max 0.225: three of four
	p := Compute(f, nil)
	if len(p.Replicated) != 3 {
		t.Fatalf("%+v", p)
	}
	changes := 0
	for i := range 50 {
		x, y := 16.0, 14.0
		if i%2 == 0 {
			x, y = 14, 16
		}
		g := f
		g.HotEntries = hotEntries(40, 30, x, y)
		n := Compute(g, p)
		if fmt.Sprint(len(n.Replicated)) != fmt.Sprint(len(p.Replicated)) {
			changes++
		}
		if _, swapped := SwapInBurst(n, g.HotEntries); swapped {
			changes++
		}
		p = n
	}
	if changes > 1 {
		t.Errorf("%d changes over 50 swings", changes)
	}
}

func TestABurstSwapsIn(t *testing.T) {
	p := Compute(testInputs(40, 30, 16, 14), nil)
	n := len(p.Replicated)
	q, changed := SwapInBurst(p, hotEntries(40, 30, 16, 90))
	if !changed || len(q.Replicated) != n || q.Replicated[0] != "03" {
		t.Errorf("%v after %v", q.Replicated, p.Replicated)
	}
	if _, changed = SwapInBurst(q, hotEntries(40, 30, 16, 90)); changed {
		t.Error("swapped again with nothing new")
	}
}

// A roll-out sets a batch aside before it orders it, keeps two thirds serving, and is
// through within the bound: also when the lease changes hands in the middle, when some
// workers don't obey the first order, and on both sites' bounds.
func TestRolloutIsPaced(t *testing.T) {
	for _, bound := range []int{20000, 25000} {
		b := settings.DefaultBounds()
		b.WeightsMs = bound
		var ws []*wire.Worker
		for i := range 18 {
			ws = append(ws, &wire.Worker{Name: fmt.Sprintf("w%02d", i), Weights: 1})
		}
		r, orders, most, done := &Rollout{}, map[string]int{}, 0, time.Duration(0)
		asideAt := map[string]time.Duration{}
		for at := time.Duration(0); at < 30*time.Second; at += 500 * time.Millisecond {
			if at == 4*time.Second {
				r = &Rollout{Batch: r.Batch, CordonedAt: at} // another holder goes on from the placement in force
			}
			l, changed := r.Step(ws, 2, func(uint64) time.Duration { return at }, at, b)
			if changed {
				for _, n := range r.Batch {
					asideAt[n] = at
				}
			}
			most = max(most, len(r.Batch))
			for _, w := range l {
				if at-asideAt[w.Name] < b.Heal(cordonRatio) {
					t.Fatalf("%s was ordered %v after it was set aside", w.Name, at-asideAt[w.Name])
				}
				if orders[w.Name]++; w.Name != "w03" || orders[w.Name] > 2 {
					w.Weights = 2
				}
			}
			left := 0
			for _, w := range ws {
				if w.Weights < 2 {
					left++
				}
			}
			if left == 0 && done == 0 {
				done = at
			}
		}
		if limit := time.Duration(bound) * time.Millisecond * 8 / 10; done == 0 || done > limit {
			t.Errorf("bound %d ms: through after %v, %v at most", bound, done, limit)
		}
		if most > 6 || len(r.Batch) > 0 {
			t.Errorf("%d out at once, %v still set aside", most, r.Batch)
		}
	}
}

// Weights named again in quick succession: the workers on the oldest go first, and are through
// within the bound from when those were superseded, not from the latest naming.
func TestRolloutOfWeightsNamedAgain(t *testing.T) {
	b := settings.DefaultBounds()
	var ws []*wire.Worker
	for i := range 18 {
		ws = append(ws, &wire.Worker{Name: fmt.Sprintf("w%02d", i), Weights: 1})
	}
	r, want := &Rollout{}, uint64(2)
	for at := time.Duration(0); at < 30*time.Second; at += 500 * time.Millisecond {
		if at == 6*time.Second {
			want = 3
		}
		since := func(w uint64) time.Duration { return at - 6*time.Second*time.Duration(w-1) }
		l, _ := r.Step(ws, want, since, at, b)
		for _, w := range l {
			w.Weights = want
		}
		for _, w := range ws {
			if limit := b.Weights(0.8) + 6*time.Second*time.Duration(w.Weights-1); w.Weights < want && at > limit {
				t.Fatalf("%s is on weights %d at %v", w.Name, w.Weights, at)
			}
		}
	}
}
