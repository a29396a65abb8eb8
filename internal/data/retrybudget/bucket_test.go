package retrybudget

import (
	"math/rand/v2"
	"testing"
)

// In every interval of a random sequence of requests and retries there are at most ratio × requests + allowance
// retries, while the number of nodes that share the allowance varies.
func TestBudgetHoldsInEveryWindow(t *testing.T) {
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 1))
		ratio, total := []float64{0, 0.2, 0.5}[r.IntN(3)], float64(r.IntN(8))
		b := newBucket(ratio)
		onlyRequests := true // whether the current phase consists of requests; otherwise it consists of retries
		var log []int        // sequence of events: 1 is a request, -1 a retry
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
			for _, event := range log[i:] {
				if event > 0 {
					requests++
				} else {
					retries++
				}
				if float64(retries) > ratio*float64(requests)+total+roundingSlack {
					t.Fatalf("seed %d: interval with %d retries and %d requests, want at most ratio %v × requests + allowance %v retries", seed, retries, requests, ratio, total)
				}
			}
		}
	}
}

// When the number of nodes that share a retry allowance increases, tokens of a node's bucket above the smaller share
// are lost. When it decreases, the larger share doesn't add tokens that were not deposited.
func TestTokensAreCappedWhenNodesAreAdded(t *testing.T) {
	for _, nodes := range [][2]int{{1, 10}, {10, 1}} {
		b := newBucket(1)
		for range 30 {
			b.deposit(PerNode(20, nodes[0]))
		}
		granted := 0
		for b.tryWithdraw(PerNode(20, nodes[1])) {
			granted++
		}
		if granted != 2 {
			t.Errorf("retries granted after a change from %d to %d nodes: got %d, want 2", nodes[0], nodes[1], granted)
		}
	}
}

// excess returns the maximum, over all intervals of the log, by which the number of retries exceeds
// ratio × requests + allowance. In the log, true is a retry and false is a request.
func excess(log []bool, ratio, allowance float64) float64 {
	worst, run := 0.0, 0.0 // run is the maximum of retries − ratio × requests over the intervals that end at the current event
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

// The limit of a bucket on retries also holds in every interval with bursts and pauses of traffic, with a node's share
// that varies as nodes are added and removed, and with restarts.
func TestRetriesInEveryWindow(t *testing.T) {
	if excess([]bool{false, true, true}, 0.2, 1) <= 0 || excess([]bool{true, false, false, false, false, false, true}, 0.2, 1) > roundingSlack {
		t.Fatal("excess: want a positive result for a sequence with one retry too many, and no positive result for one within the limit")
	}
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 5))
		budget, share := newBucket(0.2), PerNode(10, 1+int(seed%12))
		var log []bool
		granted, rejected := 0, 0
		for range 40 {
			requests, retries := r.IntN(60), r.IntN(60) // numbers of requests and retries in one phase of traffic, from none to a burst
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
			t.Fatalf("seed %d: limit exceeded by %g retries, %d granted, %d rejected; want no excess, and at least 20 granted and 20 rejected", seed, over, granted, rejected)
		}
	}
}
