package proxy

import (
	"math/rand/v2"
	"testing"
)

// In every window, wherever it begins and ends, extra attempts are at most the share of the first
// ones plus the allowance.
func TestBudgetInEveryWindow(t *testing.T) {
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 1))
		share, allow := []float64{0, 0.2, 0.5}[r.IntN(3)], float64(r.IntN(8))
		b := budgets{share: share, whole: allow * 3, by: map[string]*tries{}}
		calm := true  // firsts alone, or extras alone
		var log []int // 1: a first, -1: an extra
		for range 400 {
			edges := 3 + r.IntN(3)
			if r.IntN(40) == 0 {
				calm = !calm
			}
			if calm {
				b.first("s", edges)
				log = append(log, 1)
			} else if b.extra("s", edges) {
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
				if float64(extras) > share*float64(firsts)+allow+tiny {
					t.Fatalf("seed %d: %d extras to %d firsts, share %v, allowance %v", seed, extras, firsts, share, allow)
				}
			}
		}
	}
}

// When more machines share the site's allowance, what was saved up beyond the smaller part is gone.
func TestBudgetOfASmallerPart(t *testing.T) {
	for _, x := range [][2]int{{1, 10}, {10, 1}} { // and a part that grows is empty beyond what was saved
		b := budgets{share: 1, whole: 20, by: map[string]*tries{}}
		for range 30 {
			b.first("s", x[0])
		}
		n := 0
		for b.extra("s", x[1]) {
			n++
		}
		if n != 2 {
			t.Errorf("%d extras of a part of 2", n)
		}
	}
}

// The budget is kept at the workers: what arrives there beyond the first of each request.
func TestArrivalsKeepTheBudget(t *testing.T) {
	full := says("HTTP/1.1 503 Full\r\nGo-Id: ID\r\nGo-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
	for _, first := range []script{full, cuts(""), nil} {
		open(t, []script{first, full, full, full}, func(s *site) {
			s.d.budgets.share, s.d.budgets.whole = 0.2, 5
			arrivals := func() (n int) {
				for _, w := range s.ws {
					n += w.runs()
				}
				return n
			}
			for i := 1; i <= 60; i++ {
				s.call(post("repeat", "a", "b"))
				if n := arrivals(); n > i+i/5+1 {
					t.Fatalf("%d arrivals of %d requests", n, i)
				}
			}
			if n := arrivals(); n < 60+60/5 {
				t.Errorf("%d arrivals of 60 requests: the budget isn't used", n)
			}
		})
	}
}

// A route's bound on workers holds whatever the budget has.
func TestAttemptsAreBounded(t *testing.T) {
	full := says("HTTP/1.1 503 Full\r\nGo-Id: ID\r\nGo-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
	open(t, []script{full, full, full, full, says(okay)}, func(s *site) {
		s.d.budgets.of("s").saved = 100
		if a := s.call(post("once", "a", "b")); a.status != 503 {
			t.Error(a)
		}
		for i, w := range s.ws {
			if want := map[bool]int{true: 1}[i < 3]; w.runs() != want {
				t.Errorf("worker %d got it %d times", i, w.runs())
			}
		}
	})
}
