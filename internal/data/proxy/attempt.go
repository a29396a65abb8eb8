package proxy

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"time"

	"pebbleloom/internal/data/selection"
	"pebbleloom/internal/errs"
)

// outcome is the result of sending a request to a worker, as far as this edge node can prove it.
type outcome int

const (
	notSent     outcome = iota // proven: no byte of the request was sent to the worker
	notExecuted                // the worker reported that it didn't execute the request
	interrupted                // the worker may have executed the request, but gave no usable, complete response
	responded                  // the header of a response that may be relayed has come
	completed                  // the response was relayed completely
	clientGone                 // the client disconnected
)

// attempt is one try to have a request executed by one worker.
type attempt struct {
	request *request
	choice  selection.Choice
	ctx     context.Context
	cancel  context.CancelFunc

	conn      *workerConn   // connection that carries this attempt; nil: none was acquired yet, or it was already released
	reused    bool          // whether conn has carried an earlier request
	idleTime  time.Duration // how long conn was idle before this attempt
	staleConn bool          // whether conn was closed before anything was sent, because it wasn't safe to reuse

	response       *http.Response
	startedAt      time.Duration
	firstByteAfter time.Duration // time from startedAt to the first byte of the response body; 0: no byte received
	outcome        outcome
	reported       selection.Outcome // the outcome that is reported to the selector of workers
	definitive     bool              // whether a retry is pointless because any worker would respond the same
	load           *selection.Load   // the load that the worker reported in its response; nil: it reported none
}

const (
	// The dial time-out is the route's latency target divided by dialTimeoutDivisor, so that another worker can
	// still respond within the target. It is at least minDialTimeoutRatio of Bounds.LeaveMs (the time within which
	// a worker that left stops getting requests), in case the target is very short or unset.
	dialTimeoutDivisor  = 2
	minDialTimeoutRatio = 0.05
	// maxConnsTried is the maximum number of connections that an attempt tries if the worker turns out to have
	// closed each reused one. Connections that this node closes as unsafe to reuse (staleConn) don't count: once
	// none of them is left, a new connection is dialed.
	maxConnsTried = 4
)

// sendTo sends the request to a worker, waits for the header of its response and classifies it.
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

// dialContext returns the request's context with the limits (dialLimits) for dialing a connection to the worker.
func (a *attempt) dialContext() context.Context {
	req := a.request
	timeout := max(req.selection.Route.LatencyTarget/dialTimeoutDivisor, req.server.process.Settings.Bounds.Leave(minDialTimeoutRatio))
	return context.WithValue(req.ctx, dialLimitsKey{}, dialLimits{maxConns: req.maxConns, timeout: timeout})
}

// countSent counts an attempt of which some bytes may have reached a worker.
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

// roundTripWithReconnects repeats the round trip on another connection as long as nothing was sent because a
// reused connection had been closed by the worker or wasn't safe to reuse.
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
		if errs.KindOf(err) == errs.Overloaded { // this edge node already has its share of the worker's connections open; the worker didn't fail
			a.reported = selection.NoFreeSlot
		}
	default:
		a.outcome, a.reported = interrupted, selection.Failed
		if a.reused && a.ctx.Err() == nil {
			conns.idleLimit.recordDropped(a.idleTime)
		}
	}
}

// gotConn is the httptrace.ClientTrace.GotConn hook: it acquires the connection before net/http writes the request
// to it. A connection that may be broken, or may deliver bytes of another response, is closed with nothing sent.
func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	a.conn, a.reused, a.idleTime = info.Conn.(*workerConn), info.Reused, info.IdleTime
	if info.Reused {
		a.conn.awaitReader()
	}
	a.conn.acquire(a)
	switch {
	case a.request.timeRemaining() <= 0: // connecting took too long, or the process was suspended (SIGSTOP)
		a.conn.discard(a)
	case info.Reused && !a.connIsReusable():
		a.staleConn = a.conn.discard(a)
	}
}

// connIsReusable reports whether a connection that carried an earlier request may carry this one. A request
// without an ID always gets a new connection, because its response can't be matched to it by ID.
func (a *attempt) connIsReusable() bool {
	req := a.request
	if req.selection.ID == "" || !a.conn.withinKeepAlive(a.idleTime) {
		return false
	}
	return req.isIdempotent() || req.server.conns.idleLimit.allows(a.idleTime) && !a.conn.hasUnreadData()
}

// markInterrupted ends an attempt that the worker may have executed but for which no response can be relayed.
func (a *attempt) markInterrupted() {
	a.outcome, a.reported = interrupted, selection.Failed
	a.conn.discard(a)
}

// markNotExecuted ends an attempt for which the worker reported that it didn't execute the request.
func (a *attempt) markNotExecuted(reported selection.Outcome) {
	a.bufferResponse(false)
	a.outcome, a.reported = notExecuted, reported
}

// releaseConn returns the connection to the pool. It closes the connection instead if the client sent no request ID
// (Headers.ID), because responses can be matched to their request only by that ID.
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

// finish closes the connection unless it was released, and reports the attempt's outcome to the selector.
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
