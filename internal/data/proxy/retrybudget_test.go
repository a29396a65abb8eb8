package proxy

import (
	"testing"

	"pebbleloom/internal/data/retrybudget"
)

// Attempts that reach workers beyond the first of each request stay within the budget, and use it.
func TestAttemptsStayWithinTheRetryBudget(t *testing.T) {
	full := respondWith("HTTP/1.1 503 Full\r\nGo-Id: ID\r\nGo-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
	for _, first := range []workerScript{full, respondThenClose(""), nil} {
		withSite(t, []workerScript{first, full, full, full}, func(s *testSite) {
			s.server.retryBudgets = retrybudget.NewByService(0.2, 5)
			arrivals := func() (n int) {
				for _, worker := range s.workers {
					n += worker.runs()
				}
				return n
			}
			for i := 1; i <= 60; i++ {
				s.send(postRequest("repeat", "a", "b"))
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

// A route's bound on attempts holds however much budget is left.
func TestAttemptsAreBounded(t *testing.T) {
	full := respondWith("HTTP/1.1 503 Full\r\nGo-Id: ID\r\nGo-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
	withSite(t, []workerScript{full, full, full, full, respondWith(okResponse)}, func(s *testSite) {
		for range 100 {
			s.server.retryBudgets.Deposit("s", 1)
			s.server.misdirectedBudget.Deposit(1)
		}
		if response := s.send(postRequest("once", "a", "b")); response.status != 503 {
			t.Error(response)
		}
		for i, worker := range s.workers {
			if want := map[bool]int{true: 1}[i < 3]; worker.runs() != want {
				t.Errorf("worker %d got it %d times", i, worker.runs())
			}
		}
	})
}

// Workers whose addresses belong to another service now reject every request, and seem idle: attempts after
// such a response have a small budget of their own, however much is left of the service's.
func TestMisdirectedAttemptsAreFew(t *testing.T) {
	moved := respondWith("HTTP/1.1 421 Misdirected Request\r\nGo-Id: ID\r\nGo-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
	withSite(t, []workerScript{moved, moved, moved, moved}, func(s *testSite) {
		const share, allowance = 0.2, 8.0
		s.server.retryBudgets = retrybudget.NewByService(share, allowance)
		s.server.misdirectedBudget = retrybudget.New(share*misdirectedRatio, allowance*misdirectedAllowanceRatio)
		for range 1000 {
			s.server.retryBudgets.Deposit("s", 1)
			s.server.misdirectedBudget.Deposit(1)
		}
		const requests = 100
		for range requests {
			if response := s.send(postRequest("repeat", "a", "b")); response.status != 503 {
				t.Fatalf("%+v: want 503", response)
			}
		}
		arrivals := 0
		for _, worker := range s.workers {
			arrivals += worker.runs()
		}
		if extra, limit := arrivals-requests, int(allowance*misdirectedAllowanceRatio+requests*share*misdirectedRatio); extra < 1 || extra > limit {
			t.Errorf("%d attempts beyond the first of %d requests: at least 1, at most %d", extra, requests, limit)
		}
	})
}
