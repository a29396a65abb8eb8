package proxy

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"pebbleloom/internal/data/selection"
	"pebbleloom/internal/errs"
)

// kept is an answer that a worker gave itself, whole.
type kept struct {
	status int
	head   http.Header
	body   []byte
	ran    bool
}

// ServeHTTP is a request's whole way.
//
// Example: http.Server{Handler: d}
func (d *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.running.Add(1)
	defer d.running.Add(-1)
	q := d.take(w, r)
	if q == nil {
		return
	}
	defer q.leave()
	s := d.Snapshot()
	d.budgets.first(q.ask.Service, s.Edges)
	d.misdirected.first(anyService, s.Edges)
	found := d.look(q)
	for q.ctx.Err() == nil && q.left() > 0 {
		c, ok := d.Selector.Select(d.Snapshot(), &q.ask, found, q.tried)
		if !ok {
			q.later = c.RetryAfter
			break
		}
		q.tried[c.Worker.ID] = true
		a := q.send(c)
		if a.fate == good {
			a.pass()
		}
		a.done()
		if a.fate == whole {
			if q.unwrite() {
				return
			}
			panic(http.ErrAbortHandler) // its time ended with its last bytes: nobody waits for them
		}
		if !q.again(a) {
			break
		}
	}
	q.giveUp()
}

// again reports whether another worker may have the request.
func (q *request) again(a *attempt) bool {
	rt := q.ask.Route
	if a.fate == gone || q.ctx.Err() != nil || q.left() < max(rt.LatencyTarget/10, time.Millisecond) {
		return false
	}
	if a.fate == unsent {
		q.missed++
		return q.missed <= max(1, rt.MaxAttempts) && q.allowed()
	}
	q.ran = q.ran || a.fate != notRun
	if q.sent >= rt.MaxAttempts || q.ran && !q.repeatable() || a.final {
		return false
	}
	if q.begun && (q.events == nil || !q.events.exact) {
		return false
	}
	if a.fate == notRun && a.ending == selection.Misdirected && !q.d.misdirected.extra(anyService, q.edges()) {
		return false
	}
	return q.allowed()
}

// edges is the number of machines that share the budgets.
func (q *request) edges() int {
	if s := q.d.Snapshot(); s != nil {
		return s.Edges
	}
	return 1
}

// allowed asks the budget for an attempt beyond the first, unless one is already paid for.
func (q *request) allowed() bool {
	if q.sent <= q.paid {
		return true
	}
	if !q.d.budgets.extra(q.ask.Service, q.edges()) {
		return false
	}
	q.paid++
	return true
}

// giveUp gives the request its final answer, at once.
func (q *request) giveUp() {
	defer q.unwrite()
	if q.begun || q.r.Context().Err() != nil {
		panic(http.ErrAbortHandler) // visibly broken
	}
	k := q.kept
	switch {
	case k != nil && (k.ran || !q.ran):
		q.respond(k)
	case q.ran && (q.ctx.Err() == context.DeadlineExceeded || q.left() <= 0):
		q.reject(errs.Expired, "time ran out while a worker may have been at work", 0)
	case q.ran:
		q.reject(errs.MayHaveRun, "a worker took the request and gave no whole answer", 0)
	default:
		q.reject(errs.NotRun, "no worker took the request", q.wait())
	}
}

// respond hands on an answer that was kept.
func (q *request) respond(k *kept) {
	h := q.w.Header()
	q.copyHead(k.head)
	if h.Get("Retry-After") == "" && !k.ran && k.status != http.StatusBadRequest {
		h.Set("Retry-After", retryAfter(q.wait()))
	}
	if q.r.Method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(len(k.body)))
	}
	q.w.WriteHeader(k.status)
	_, _ = q.w.Write(k.body)
}

// parting ends the connection with this answer where the machine is leaving.
func (q *request) parting() {
	if q.d.leaving.Load() {
		q.w.Header().Set("Connection", "close")
	}
}

// copyHead lays a worker's header over what stands, and keeps net/http from adding to it.
func (q *request) copyHead(from http.Header) {
	h := q.w.Header()
	for k, v := range q.d.Headers.carried(from) {
		h[k] = v
	}
	q.parting()
	for _, k := range []string{"Date", "Content-Type"} {
		if _, ok := h[k]; !ok {
			h[k] = nil
		}
	}
}
