package proxy

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"pebbleloom/internal/data/selection"
	"pebbleloom/internal/errs"
)

// bufferedResponse is an answer that a worker gave itself, whole.
type bufferedResponse struct {
	status   int
	header   http.Header
	body     []byte
	executed bool
}

// ServeHTTP is a request's whole way.
//
// Example: http.Server{Handler: d}
func (d *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.inFlight.Add(1)
	defer d.inFlight.Add(-1)
	q := d.accept(w, r)
	if q == nil {
		return
	}
	defer q.release()
	s := d.Snapshot()
	d.retryBudgets.first(q.selection.Service, s.Edges)
	d.misdirectedBudget.first(anyService, s.Edges)
	found := d.lookUpPrefixes(q)
	for q.ctx.Err() == nil && q.timeRemaining() > 0 {
		c, ok := d.Selector.Select(d.Snapshot(), &q.selection, found, q.tried)
		if !ok {
			q.capacityExpectedIn = c.RetryAfter
			break
		}
		q.tried[c.Worker.ID] = true
		a := q.sendTo(c)
		if a.outcome == responded {
			a.relayResponse()
		}
		a.finish()
		if a.outcome == completed {
			if q.stopWriteDeadline() {
				return
			}
			panic(http.ErrAbortHandler) // its time ended with its last bytes: nobody waits for them
		}
		if !q.mayRetry(a) {
			break
		}
	}
	q.respondWithFailure()
}

// mayRetry reports whether another worker may have the request.
func (q *request) mayRetry(a *attempt) bool {
	rt := q.selection.Route
	if a.outcome == clientGone || q.ctx.Err() != nil || q.timeRemaining() < max(rt.LatencyTarget/10, time.Millisecond) {
		return false
	}
	if a.outcome == notSent {
		q.attemptsNotSent++
		return q.attemptsNotSent <= max(1, rt.MaxAttempts) && q.spendRetryBudget()
	}
	q.mayHaveExecuted = q.mayHaveExecuted || a.outcome != notExecuted
	if q.attemptsSent >= rt.MaxAttempts || q.mayHaveExecuted && !q.isIdempotent() || a.definitive {
		return false
	}
	if q.responseStarted && (q.events == nil || !q.events.canResume) {
		return false
	}
	if a.outcome == notExecuted && a.ending == selection.Misdirected && !q.server.misdirectedBudget.extra(anyService, q.edgeNodes()) {
		return false
	}
	return q.spendRetryBudget()
}

// edgeNodes is the number of machines that share the budgets.
func (q *request) edgeNodes() int {
	if s := q.server.Snapshot(); s != nil {
		return s.Edges
	}
	return 1
}

// spendRetryBudget asks the budget for an attempt beyond the first, unless one is already paid for.
func (q *request) spendRetryBudget() bool {
	if q.attemptsSent <= q.retriesGranted {
		return true
	}
	if !q.server.retryBudgets.extra(q.selection.Service, q.edgeNodes()) {
		return false
	}
	q.retriesGranted++
	return true
}

// respondWithFailure gives the request its final answer, at once.
func (q *request) respondWithFailure() {
	defer q.stopWriteDeadline()
	if q.responseStarted || q.incoming.Context().Err() != nil {
		panic(http.ErrAbortHandler) // visibly broken
	}
	k := q.fallback
	switch {
	case k != nil && (k.executed || !q.mayHaveExecuted):
		q.respondBuffered(k)
	case q.mayHaveExecuted && (q.ctx.Err() == context.DeadlineExceeded || q.timeRemaining() <= 0):
		q.reject(errs.DeadlineExceeded, "time ran out while a worker may have been at work", 0)
	case q.mayHaveExecuted:
		q.reject(errs.MayHaveExecuted, "a worker took the request and gave no whole answer", 0)
	default:
		q.reject(errs.NotExecuted, "no worker took the request", q.retryAfter())
	}
}

// respondBuffered hands on an answer that was kept.
func (q *request) respondBuffered(k *bufferedResponse) {
	h := q.writer.Header()
	q.copyHeader(k.header)
	if h.Get("Retry-After") == "" && !k.executed && k.status != http.StatusBadRequest {
		h.Set("Retry-After", formatRetryAfter(q.retryAfter()))
	}
	if q.incoming.Method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(len(k.body)))
	}
	q.writer.WriteHeader(k.status)
	_, _ = q.writer.Write(k.body)
}

// closeWhenDraining ends the connection with this answer where the machine is leaving.
func (q *request) closeWhenDraining() {
	if q.server.draining.Load() {
		q.writer.Header().Set("Connection", "close")
	}
}

// copyHeader lays a worker's header over what stands, and keeps net/http from adding to it.
func (q *request) copyHeader(from http.Header) {
	h := q.writer.Header()
	for k, v := range q.server.Headers.withoutHopByHop(from) {
		h[k] = v
	}
	q.closeWhenDraining()
	for _, k := range []string{"Date", "Content-Type"} {
		if _, ok := h[k]; !ok {
			h[k] = nil
		}
	}
}
