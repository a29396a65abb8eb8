package retrybudget

import (
	"math/rand/v2"
	"testing"
)

// In every window, wherever it begins and ends, extra attempts are at most the share of the first
// ones plus the allowance.
func TestBudgetHoldsInEveryWindow(t *testing.T) {
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 1))
		share, allow := []float64{0, 0.2, 0.5}[r.IntN(3)], float64(r.IntN(8))
		b := New(share)
		calm := true  // firsts alone, or extras alone
		var log []int // 1: a first, -1: an extra
		for range 400 {
			allowance := PerNode(allow*3, 3+r.IntN(3))
			if r.IntN(40) == 0 {
				calm = !calm
			}
			if calm {
				b.Deposit(allowance)
				log = append(log, 1)
			} else if b.TryWithdraw(allowance) {
				log = append(log, -1)
			}
		}
		for i := range log {
			firsts, extras := 0, 0
			for _, x := range log[i:] {
				if x > 0 {
					firsts++
				} else {
					extras++
				}
				if float64(extras) > share*float64(firsts)+allow+roundingSlack {
					t.Fatalf("seed %d: %d extras to %d firsts, share %v, allowance %v", seed, extras, firsts, share, allow)
				}
			}
		}
	}
}

// When more machines share the site's allowance, what was saved up beyond the smaller share is gone.
func TestTokensAreCappedWhenNodesAreAdded(t *testing.T) {
	for _, x := range [][2]int{{1, 10}, {10, 1}} { // and a share that grows is empty beyond what was saved
		b := New(1)
		for range 30 {
			b.Deposit(PerNode(20, x[0]))
		}
		n := 0
		for b.TryWithdraw(PerNode(20, x[1])) {
			n++
		}
		if n != 2 {
			t.Errorf("%d extras of a share of 2", n)
		}
	}
}

// excess is by how much the extra goes of some window are over the share of its first goes
// and an allowance: the most over all windows, wherever they begin and end.
func excess(log []bool, share, allowance float64) float64 {
	worst, run := 0.0, 0.0 // the heaviest run that ends here: first goes take, extra ones add
	for _, extra := range log {
		if extra {
			run++
		} else {
			run = max(0, run-share)
		}
		worst = max(worst, run)
	}
	return worst - allowance
}

// In any window whatever, extra attempts stay within the share of its first ones plus the
// allowance: with traffic that falls, bursts and stops, many services' worth of seeds, a share
// that shrinks as edges come, and restarts in the middle.
func TestRetriesInEveryWindow(t *testing.T) {
	if excess([]bool{false, true, true}, 0.2, 1) <= 0 || excess([]bool{true, false, false, false, false, false, true}, 0.2, 1) > roundingSlack {
		t.Fatal("the check itself can't distinguish one extra attempt too many")
	}
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 5))
		x, most := New(0.2), PerNode(10, 1+int(seed%12))
		var log []bool
		granted, rejected := 0, 0
		for range 40 {
			firsts, tries := r.IntN(60), r.IntN(60) // a phase of traffic, from none to a burst
			allowance := most / float64(1+r.IntN(2))
			if r.IntN(10) == 0 {
				x = New(0.2)
			}
			for firsts+tries > 0 {
				if firsts > 0 && r.IntN(firsts+tries) < firsts {
					firsts--
					x.Deposit(max(1, allowance))
					log = append(log, false)
				} else if tries--; x.TryWithdraw(max(1, allowance)) {
					granted++
					log = append(log, true)
				} else {
					rejected++
				}
			}
		}
		if e := excess(log, 0.2, most); e > 1e-6 || granted < 20 || rejected < 20 {
			t.Fatalf("seed %d: over by %g; granted %d, rejected %d", seed, e, granted, rejected)
		}
	}
}
