package proxy

import "testing"

// The budget is kept at the workers: what arrives there beyond the first of each request.
func TestArrivalsKeepTheBudget(t *testing.T) {
	full := says("HTTP/1.1 503 Full\r\nGo-Id: ID\r\nGo-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
	for _, first := range []script{full, cuts(""), nil} {
		open(t, []script{first, full, full, full}, func(s *site) {
			s.d.budgets = newBudgets(0.2, 5)
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
		for range 100 {
			s.d.budgets.first("s", 1)
		}
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
