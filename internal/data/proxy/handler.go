package proxy

import (
	"net/http"
	"time"

	"pebbleloom/internal/data/prefix"
	"pebbleloom/internal/data/selection"
	"pebbleloom/internal/wire"
)

// minRetryDivisor is the divisor of the route's latency target that gives the least time until the request's
// deadline at which a retry is still permitted: a later retry could hardly succeed and would only add load.
const minRetryDivisor = 10

// ServeHTTP forwards one request to a worker and relays its response.
//
// Example: http.Server{Handler: server}
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	req := s.accept(w, r)
	if req == nil {
		return
	}
	defer req.release()
	req.depositRetryTokens()
	if !req.forward() {
		req.respondWithFailure()
	}
}

// forward sends the request to one worker after another, each at most once, until a response was relayed completely
// or no retry is permitted. It reports whether a response was relayed completely.
func (req *request) forward() (ok bool) {
	s := req.server
	found := req.lookUpPrefixes()
	for req.ctx.Err() == nil && req.timeRemaining() > 0 {
		choice, selected := s.Selector.Select(s.Snapshot(), &req.selection, found, req.tried)
		if !selected {
			req.capacityExpectedIn = choice.RetryAfter
			return false
		}
		req.tried[choice.Worker.ID] = true
		attempt := req.makeAttempt(choice)
		if attempt.outcome == completed {
			req.endResponse()
			return true
		}
		if !req.mayRetry(attempt) {
			return false
		}
	}
	return false
}

// makeAttempt sends the request to the selected worker and relays its response, if that can be relayed.
func (req *request) makeAttempt(choice selection.Choice) *attempt {
	a := req.sendTo(choice)
	if a.outcome == responded {
		a.relayResponse()
	}
	a.finish()
	return a
}

// lookUpPrefixes asks the prompt index which workers have cached parts of the prompt. It returns nil if the
// request names no prompt parts.
func (req *request) lookUpPrefixes() map[prefix.Key]*wire.LookupResult {
	if len(req.selection.Parts) == 0 {
		return nil
	}
	s := req.server
	return s.Selector.Lookup(req.ctx, s.Snapshot(), &req.selection)
}

// endResponse finishes a completely relayed response. If the write deadline passed before the last bytes were
// written, it aborts the client connection.
func (req *request) endResponse() {
	if !req.stopWriteDeadline() {
		panic(http.ErrAbortHandler) // the write deadline is already set, so the last bytes may not reach the client
	}
}

// mayRetry reports whether the request may be retried on another worker after a failed attempt. If so, it counts the
// retry against the retry budgets.
func (req *request) mayRetry(failed *attempt) bool {
	route := req.selection.Route
	if failed.outcome == clientGone || req.ctx.Err() != nil || req.timeRemaining() < max(route.LatencyTarget/minRetryDivisor, time.Millisecond) {
		return false
	}
	if failed.outcome == notSent {
		req.attemptsNotSent++
		return req.attemptsNotSent <= max(1, route.MaxAttempts) && req.spendRetryBudget()
	}
	req.mayHaveExecuted = req.mayHaveExecuted || failed.outcome != notExecuted
	if req.attemptsSent >= route.MaxAttempts || req.mayHaveExecuted && !req.isIdempotent() || failed.definitive {
		return false
	}
	if req.responseStarted && (req.events == nil || !req.events.canResume) {
		return false
	}
	misdirected := failed.outcome == notExecuted && failed.reported == selection.Misdirected
	if misdirected && !req.server.misdirectedBudget.TryWithdraw(req.edgeNodes()) {
		return false
	}
	return req.spendRetryBudget()
}

// depositRetryTokens credits the request to the retry budgets, which limit retries to a fraction of the requests.
func (req *request) depositRetryTokens() {
	edges := req.server.Snapshot().EdgeCount
	req.server.retryBudgets.Deposit(req.selection.Service, edges)
	req.server.misdirectedBudget.Deposit(edges)
}

// spendRetryBudget reports whether the service's retry budget permits another attempt, and takes a token from the
// budget. A token taken for an attempt that was never sent is kept for the request's next attempt.
func (req *request) spendRetryBudget() bool {
	if req.attemptsSent <= req.retriesGranted {
		return true
	}
	if !req.server.retryBudgets.TryWithdraw(req.selection.Service, req.edgeNodes()) {
		return false
	}
	req.retriesGranted++
	return true
}

// edgeNodes returns the number of edge nodes among which the retry budgets are divided.
func (req *request) edgeNodes() int {
	if snapshot := req.server.Snapshot(); snapshot != nil {
		return snapshot.EdgeCount
	}
	return 1
}
