package retrybudget

import (
	"math/rand/v2"
	"testing"
)

// In every window, wherever it begins and ends, there are at most ratio × requests + allowance retries.
func TestBudgetHoldsInEveryWindow(t *testing.T) {
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 1))
		ratio, total := []float64{0, 0.2, 0.5}[r.IntN(3)], float64(r.IntN(8))
		b := newBucket(ratio)
		onlyRequests := true // else retries alone
		var log []int        // 1: a request, -1: a retry
		for range 400 {
			allowance := PerNode(total*3, 3+r.IntN(3))
			if r.IntN(40) == 0 {
				onlyRequests = !onlyRequests
			}
			if onlyRequests {
				b.deposit(allowance)
				log = append(log, 1)
			} else if b.tryWithdraw(allowance) {
				log = append(log, -1)
			}
		}
		for i := range log {
			requests, retries := 0, 0
			for _, x := range log[i:] {
				if x > 0 {
					requests++
				} else {
					retries++
				}
				if float64(retries) > ratio*float64(requests)+total+roundingSlack {
					t.Fatalf("seed %d: %d retries of %d requests, ratio %v, allowance %v", seed, retries, requests, ratio, total)
				}
			}
		}
	}
}

// When more nodes share the site's allowance, tokens beyond the smaller share are lost; when fewer do, tokens
// that weren't saved up aren't granted.
func TestTokensAreCappedWhenNodesAreAdded(t *testing.T) {
	for _, nodes := range [][2]int{{1, 10}, {10, 1}} {
		b := newBucket(1)
		for range 30 {
			b.deposit(PerNode(20, nodes[0]))
		}
		n := 0
		for b.tryWithdraw(PerNode(20, nodes[1])) {
			n++
		}
		if n != 2 {
			t.Errorf("%d retries of a share of 2", n)
		}
	}
}

// excess returns by how much the retries of some window exceed ratio × requests + allowance: the maximum
// over all windows, wherever they begin and end. Of the log, true is a retry.
func excess(log []bool, ratio, allowance float64) float64 {
	worst, run := 0.0, 0.0 // run: the maximum over the windows that end here
	for _, retry := range log {
		if retry {
			run++
		} else {
			run = max(0, run-ratio)
		}
		worst = max(worst, run)
	}
	return worst - allowance
}

// The bound holds in every window also with traffic that falls, bursts and stops, with a node's share that
// shrinks as nodes are added, and with restarts.
func TestRetriesInEveryWindow(t *testing.T) {
	if excess([]bool{false, true, true}, 0.2, 1) <= 0 || excess([]bool{true, false, false, false, false, false, true}, 0.2, 1) > roundingSlack {
		t.Fatal("the check itself can't distinguish one retry too many")
	}
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 5))
		budget, share := newBucket(0.2), PerNode(10, 1+int(seed%12))
		var log []bool
		granted, rejected := 0, 0
		for range 40 {
			requests, retries := r.IntN(60), r.IntN(60) // a phase of traffic, from none to a burst
			allowance := share / float64(1+r.IntN(2))
			if r.IntN(10) == 0 {
				budget = newBucket(0.2)
			}
			for requests+retries > 0 {
				if requests > 0 && r.IntN(requests+retries) < requests {
					requests--
					budget.deposit(max(1, allowance))
					log = append(log, false)
				} else if retries--; budget.tryWithdraw(max(1, allowance)) {
					granted++
					log = append(log, true)
				} else {
					rejected++
				}
			}
		}
		if over := excess(log, 0.2, share); over > 1e-6 || granted < 20 || rejected < 20 {
			t.Fatalf("seed %d: over by %g; granted %d, rejected %d", seed, over, granted, rejected)
		}
	}
}
