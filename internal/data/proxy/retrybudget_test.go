package proxy

import (
	"testing"

	"pebbleloom/internal/data/retrybudget"
)

// Attempts beyond the first of each request must stay within the retry budget, and must be able to use all of it.
func TestAttemptsStayWithinTheRetryBudget(t *testing.T) {
	rejecting := respondWith("HTTP/1.1 503 Full\r\nGo-Id: ID\r\nGo-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
	for _, first := range []workerScript{rejecting, respondThenClose(""), nil} {
		withSite(t, []workerScript{first, rejecting, rejecting, rejecting}, func(s *testSite) {
			s.server.retryBudgets = retrybudget.NewByService(0.2, 5)
			arrivals := func() (n int) {
				for _, worker := range s.workers {
					n += worker.requestCount()
				}
				return n
			}
			for i := 1; i <= 60; i++ {
				s.send(postRequest("repeat", "a", "b"))
				if n := arrivals(); n > i+i/5+1 {
					t.Fatalf("workers received %d attempts for %d requests, want at most %d with a retry ratio of 0.2", n, i, i+i/5+1)
				}
			}
			if n := arrivals(); n < 60+60/5 {
				t.Errorf("workers received %d attempts for 60 requests, want at least %d: the retry budget isn't used up", n, 60+60/5)
			}
		})
	}
}

// A route's MaxAttempts must hold even if the retry budgets would permit more attempts.
func TestAttemptsAreBounded(t *testing.T) {
	rejecting := respondWith("HTTP/1.1 503 Full\r\nGo-Id: ID\r\nGo-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
	withSite(t, []workerScript{rejecting, rejecting, rejecting, rejecting, respondWith(okResponse)}, func(s *testSite) {
		for range 100 {
			s.server.retryBudgets.Deposit("s", 1)
			s.server.misdirectedBudget.Deposit(1)
		}
		if response := s.send(postRequest("once", "a", "b")); response.status != 503 {
			t.Errorf("workers reject every attempt that MaxAttempts permits: got response %+v, want status 503", response)
		}
		for i, worker := range s.workers {
			if want := map[bool]int{true: 1}[i < 3]; worker.requestCount() != want {
				t.Errorf("workers reject all attempts of a route with MaxAttempts 3: worker %d received %d requests, want %d", i, worker.requestCount(), want)
			}
		}
	})
}

// Retries after 421 responses must stay within their own budget (misdirectedBudget) even if the service's own
// budget permits more. The addresses belong to workers of another service, which reject each request and look idle,
// so that unlimited retries would load that service.
func TestMisdirectedAttemptsAreFew(t *testing.T) {
	misdirected := respondWith("HTTP/1.1 421 Misdirected Request\r\nGo-Id: ID\r\nGo-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
	withSite(t, []workerScript{misdirected, misdirected, misdirected, misdirected}, func(s *testSite) {
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
				t.Fatalf("all workers respond 421: got response %+v, want status 503", response)
			}
		}
		arrivals := 0
		for _, worker := range s.workers {
			arrivals += worker.requestCount()
		}
		if extra, limit := arrivals-requests, int(allowance*misdirectedAllowanceRatio+requests*share*misdirectedRatio); extra < 1 || extra > limit {
			t.Errorf("all workers respond 421: %d retries of %d requests, want 1 to %d", extra, requests, limit)
		}
	})
}
