package proxy

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"time"

	"pebbleloom/internal/data/selection"
	"pebbleloom/internal/errs"
)

// outcome is what became of an attempt, as far as this node has proof.
type outcome int

const (
	notSent     outcome = iota // proven: no byte of it left this node
	notExecuted                // the worker says that it didn't execute the request
	interrupted                // it may have been executed, and there is no complete response
	responded                  // a response that may be relayed has begun
	completed                  // the response was relayed completely
	clientGone                 // the client disconnected
)

// attempt is one try to have one worker execute a request.
type attempt struct {
	request *request
	choice  selection.Choice
	ctx     context.Context
	cancel  context.CancelFunc

	conn      *workerConn   // nil: none yet, or given back
	reused    bool          // conn has carried a request before
	idleTime  time.Duration // that conn was idle before this attempt
	staleConn bool          // conn was discarded unused, because it couldn't be reused safely

	response       *http.Response
	startedAt      time.Duration
	firstByteAfter time.Duration // from startedAt to the first byte of the body; 0: none came
	outcome        outcome
	reported       selection.Outcome // reported to the selector
	definitive     bool              // another worker would respond the same
	load           *selection.Load   // that the worker reported with its response; nil: none
}

const (
	// dialTimeoutDivisor of the route's latency target is how long connecting to a worker may take, so
	// that another worker can still respond within the target; but at least minDialTimeoutRatio of the
	// bound on leaving workers (Bounds.LeaveMs), where a target is very short or unset.
	dialTimeoutDivisor  = 2
	minDialTimeoutRatio = 0.05
	// maxConnsTried bounds how often an attempt goes to another connection because the worker had closed
	// the reused one. Stale connections don't count: each is discarded, and in the end a new one is dialed.
	maxConnsTried = 4
)

// sendTo sends the request to a worker, and waits for the header of its response.
func (req *request) sendTo(choice selection.Choice) *attempt {
	a := &attempt{request: req, choice: choice, startedAt: req.server.process.Clock.Now()}
	a.ctx, a.cancel = context.WithCancel(httptrace.WithClientTrace(a.dialContext(), &httptrace.ClientTrace{GotConn: a.gotConn}))
	req.server.Selector.RecordSent(&req.selection, choice)
	a.roundTripWithReconnects()
	if a.outcome == notSent {
		return a
	}
	req.countSent()
	if a.outcome == responded {
		a.classifyResponse()
	}
	return a
}

// dialContext is the request's context with the limits of a connection that is dialed for this attempt.
func (a *attempt) dialContext() context.Context {
	req := a.request
	timeout := max(req.selection.Route.LatencyTarget/dialTimeoutDivisor, req.server.process.Settings.Bounds.Leave(minDialTimeoutRatio))
	return context.WithValue(req.ctx, dialLimitsKey{}, dialLimits{maxConns: req.maxConns, timeout: timeout})
}

// countSent counts an attempt that may have reached a worker.
func (req *request) countSent() {
	req.attemptsSent++
	if req.attemptsSent == 1 {
		return
	}
	req.server.retries.Add(1)
	if req.responseStarted {
		req.server.resumedStreams.Add(1)
	}
}

// roundTripWithReconnects makes round trips until one was sent. A reused connection may have been closed by
// the worker, or be too old, before a byte was written: then another connection is tried.
func (a *attempt) roundTripWithReconnects() {
	req := a.request
	for tried := 0; tried < maxConnsTried; {
		a.roundTrip()
		if !a.staleConn {
			tried++
		}
		if a.outcome != notSent || !a.reused || req.ctx.Err() != nil || req.timeRemaining() <= 0 {
			return
		}
	}
}

// roundTrip sends the request on one connection and waits for the header of the response.
func (a *attempt) roundTrip() {
	a.conn, a.reused, a.staleConn = nil, false, false
	conns := a.request.server.conns
	response, err := conns.transport.RoundTrip(a.outgoingRequest())
	switch {
	case err == nil:
		a.response, a.outcome = response, responded
		if a.reused {
			conns.idleLimit.recordReuse(a.idleTime)
		}
	case a.conn == nil || a.conn.discard(a):
		a.outcome, a.reported = notSent, selection.Failed
		if errs.KindOf(err) == errs.Overloaded { // this node's share of the connections, not the worker's fault
			a.reported = selection.NoFreeSlot
		}
	default:
		a.outcome, a.reported = interrupted, selection.Failed
		if a.reused && a.ctx.Err() == nil {
			conns.idleLimit.recordDropped(a.idleTime)
		}
	}
}

// gotConn acquires the connection before a byte is written, as httptrace.ClientTrace.GotConn. It discards
// one that isn't sure to carry this request and only this request's response: nothing was sent on it then.
func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	a.conn, a.reused, a.idleTime = info.Conn.(*workerConn), info.Reused, info.IdleTime
	if info.Reused {
		a.conn.awaitReader()
	}
	a.conn.acquire(a)
	switch {
	case a.request.timeRemaining() <= 0: // connecting took too long, or this process was stopped
		a.conn.discard(a)
	case info.Reused && !a.connIsReusable():
		a.staleConn = a.conn.discard(a)
	}
}

// connIsReusable reports whether a connection that has carried a request before may carry this one. Without
// an ID its response couldn't be distinguished from another's, so such a request gets a new connection.
func (a *attempt) connIsReusable() bool {
	req := a.request
	if req.selection.ID == "" || !a.conn.withinKeepAlive(a.idleTime) {
		return false
	}
	return req.isIdempotent() || req.server.conns.idleLimit.allows(a.idleTime) && !a.conn.hasUnreadData()
}

// markInterrupted ends an attempt without a response that can be relayed.
func (a *attempt) markInterrupted() {
	a.outcome, a.reported = interrupted, selection.Failed
	a.conn.discard(a)
}

// markNotExecuted ends an attempt on the worker's word that it didn't execute the request.
func (a *attempt) markNotExecuted(reported selection.Outcome) {
	a.bufferResponse(false)
	a.outcome, a.reported = notExecuted, reported
}

// releaseConn keeps the connection for another attempt; that of a request without an ID is closed.
func (a *attempt) releaseConn() {
	_ = a.response.Body.Close()
	if a.request.selection.ID == "" {
		a.conn.discard(a)
		a.conn = nil
		return
	}
	defaultKeepAlive := a.request.server.process.Settings.Bounds.Leave(1)
	a.conn.release(a, parseKeepAlive(a.response.Header, defaultKeepAlive))
	a.conn = nil
}

// finish closes the connection if it wasn't released, and reports the attempt to the selector.
func (a *attempt) finish() {
	req := a.request
	switch {
	case a.outcome == clientGone || req.incoming.Context().Err() != nil && a.outcome != completed:
		a.reported = selection.ClientGone
	case req.ctx.Err() != nil && a.outcome != completed && a.outcome != notExecuted:
		a.reported = selection.TimedOut
	}
	if a.outcome != notSent && a.outcome != notExecuted {
		req.mayHaveExecuted = true
	}
	if a.conn != nil {
		a.conn.discard(a)
	}
	a.cancel()
	req.server.Selector.RecordOutcome(&req.selection, a.choice, a.reported, a.load, a.firstByteAfter)
}
