package proxy

import (
	"bytes"
	"context"
	"io"
	"mime"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"time"

	"pebbleloom/internal/data/prefix"
	"pebbleloom/internal/data/selection"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/wire"
)

// outcome is what became of an attempt.
type outcome int

const (
	notSent     outcome = iota // proven: nothing of it left this machine
	notExecuted                // the worker has not run it, and says so
	interrupted                // it may have run, and there is no whole answer
	responded                  // an answer that may be handed on
	completed                  // it was handed on, whole
	clientGone                 // the client went away
)

// attempt is one worker's part in a request.
type attempt struct {
	request        *request
	choice         selection.Choice
	ctx            context.Context
	cancel         context.CancelFunc
	conn           *workerConn
	reused         bool          // the connection served before
	idleTime       time.Duration // and lay idle since
	staleConn      bool          // for too long
	response       *http.Response
	startedAt      time.Duration
	firstByteAfter time.Duration // until its first piece
	outcome        outcome
	ending         selection.Outcome
	definitive     bool // no other worker would say otherwise
	load           *selection.Load
}

// lookUpPrefixes asks the index for the prompt's parts.
func (d *server) lookUpPrefixes(q *request) map[prefix.Key]*wire.LookupResult {
	if len(q.selection.Parts) == 0 {
		return nil
	}
	return d.Selector.Lookup(q.ctx, d.Snapshot(), &q.selection)
}

// nonReplayableBody is a request's body as net/http can't repeat it.
type nonReplayableBody struct{ bytes.Reader }

// Close does nothing: the bytes stay for another attempt.
func (*nonReplayableBody) Close() error { return nil }

// sendTo carries the request to a worker and judges the head of what it answers.
func (q *request) sendTo(c selection.Choice) *attempt {
	a := &attempt{request: q, choice: c, startedAt: q.server.process.Clock.Now()}
	rt := q.selection.Route
	within := max(rt.LatencyTarget/2, q.server.process.Settings.Bounds.Leave(0.05))
	ctx := context.WithValue(q.ctx, dialLimitsKey{}, dialLimits{maxConns: q.maxConns, timeout: within})
	a.ctx, a.cancel = context.WithCancel(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: a.gotConn}))
	q.server.Selector.RecordSent(&q.selection, c)
	for n := 0; n < 4; n++ { // a kept connection may have ended before it was used; then nothing has happened
		a.roundTrip()
		if a.staleConn {
			n-- // in the end there is none left but a new one
		}
		if a.outcome != notSent || !a.reused || q.ctx.Err() != nil || q.timeRemaining() <= 0 {
			break
		}
	}
	if a.outcome == notSent {
		return a
	}
	if q.attemptsSent++; q.attemptsSent > 1 {
		q.server.retries.Add(1)
		if q.responseStarted {
			q.server.resumedStreams.Add(1)
		}
	}
	if a.outcome == responded {
		a.classifyResponse()
	}
	return a
}

// gotConn makes a connection the attempt's before a byte is written, or ends it where it can't be sure to
// carry this request and no other's answer: nothing of the request is on it then.
func (a *attempt) gotConn(i httptrace.GotConnInfo) {
	a.conn, a.reused, a.idleTime = i.Conn.(*workerConn), i.Reused, i.IdleTime
	if i.Reused {
		a.conn.awaitReader()
	}
	a.conn.acquire(a)
	switch {
	case a.request.timeRemaining() <= 0: // this machine stood still, or the connection took so long
		a.conn.discard(a)
	case i.Reused && !a.connIsReusable():
		a.staleConn = a.conn.discard(a) // another is taken
	}
}

// connIsReusable reports whether a connection that served before may carry the request. Without an id no answer can
// be told apart from another's, so such a request has a connection of its own.
func (a *attempt) connIsReusable() bool {
	q := a.request
	return q.selection.ID != "" && a.conn.withinKeepAlive(a.idleTime) && (q.isIdempotent() || q.server.conns.idleLimit.allows(a.idleTime) && !a.conn.hasUnreadData())
}

// roundTrip sends the request and waits for the head of an answer.
func (a *attempt) roundTrip() {
	a.conn, a.reused, a.staleConn = nil, false, false
	resp, err := a.request.server.conns.transport.RoundTrip(a.outgoingRequest())
	switch {
	case err == nil:
		a.response, a.outcome = resp, responded
		if a.reused {
			a.request.server.conns.idleLimit.recordReuse(a.idleTime)
		}
	case a.conn == nil || a.conn.discard(a):
		a.outcome, a.ending = notSent, selection.Failed
		if errs.KindOf(err) == errs.Overloaded { // this machine's share, not the worker's fault
			a.ending = selection.NoFreeSlot
		}
	default:
		a.outcome, a.ending = interrupted, selection.Failed
		if a.reused && a.ctx.Err() == nil {
			a.request.server.conns.idleLimit.recordDropped(a.idleTime)
		}
	}
}

// outgoingRequest is the request as it goes to the worker: the same in method, path, query and body.
func (a *attempt) outgoingRequest() *http.Request {
	q := a.request
	u := &url.URL{Scheme: "http", Host: a.choice.Worker.Addr}
	if strings.HasPrefix(q.incoming.RequestURI, "/") && !strings.HasPrefix(q.incoming.RequestURI, "//") {
		u.Opaque = q.incoming.RequestURI
	} else {
		u.Path, u.RawPath, u.RawQuery, u.ForceQuery = q.incoming.URL.Path, q.incoming.URL.RawPath, q.incoming.URL.RawQuery, q.incoming.URL.ForceQuery
	}
	m := &http.Request{Method: q.incoming.Method, URL: u, Host: q.incoming.Host, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1}
	m.Header = q.workerHeader(a.choice, max(q.timeRemaining(), time.Millisecond))
	if q.chunked {
		m.ContentLength, m.TransferEncoding = -1, []string{"chunked"}
	} else {
		m.ContentLength = int64(len(q.body))
	}
	if b := new(nonReplayableBody); q.chunked || len(q.body) > 0 || !declaresEmptyBody(q.incoming.Method) {
		// Without a body net/http would send some methods again by itself.
		b.Reset(q.body)
		m.Body = b
	}
	return m.WithContext(a.ctx)
}

// declaresEmptyBody reports which methods say that there is no body with a length of 0; net/http never sends
// them twice.
func declaresEmptyBody(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return false
	}
	return true
}

// classifyResponse looks at the head of an answer: whose it is, and what it says of the request.
func (a *attempt) classifyResponse() {
	q, h := a.request, &a.request.server.Headers
	head, status := a.response.Header, a.response.StatusCode
	if l, ok := h.ParseLoad(head.Get(h.Load)); ok {
		a.load = &l
	}
	if status < 200 || !a.matchesRequestID() || head.Get("Content-Encoding") != "" || !a.isSelfDelimited() {
		a.markInterrupted() // another request's answer, or none of the worker's
		return
	}
	said := len(head.Values(h.NotExecuted)) > 0
	switch {
	case status == http.StatusMisdirectedRequest:
		a.markNotExecuted(selection.Misdirected)
		if v := head.Get(h.WeightVersions); a.choice.Weights != 0 && v != "" && v != strconv.FormatUint(a.choice.Weights, 10) {
			a.ending = selection.NotReady
		}
	case said && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests):
		a.markNotExecuted(selection.NoFreeSlot)
	case said && status == http.StatusBadRequest:
		a.definitive = true
		a.markNotExecuted(selection.Failed)
	case said || impliesNotExecuted(status):
		a.markInterrupted() // it promises what it may not, or contradicts what it says it didn't run: no proof
	case status < 300 && head.Get(h.Seal) == "":
		a.markInterrupted()
	case q.responseStarted && (status != http.StatusOK || !a.isEventStream() || a.response.ContentLength >= 0):
		a.markInterrupted() // nothing that a stream could go on with
	case status >= 500 && a.response.ContentLength <= maxBufferedResponse:
		a.bufferResponse(true)
	default:
		a.ending = selection.Completed
	}
}

// matchesRequestID reports whether the answer names this request, and no other.
func (a *attempt) matchesRequestID() bool {
	ids := a.response.Header.Values(a.request.server.Headers.ID)
	return len(ids) == 1 && ids[0] == a.request.selection.ID || len(ids) == 0 && a.request.selection.ID == ""
}

// impliesNotExecuted reports which statuses say that a request has not run and never will.
func impliesNotExecuted(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// isSelfDelimited reports whether the end of the answer can be seen.
func (a *attempt) isSelfDelimited() bool {
	s := a.response.StatusCode
	return a.response.ContentLength >= 0 || len(a.response.TransferEncoding) > 0 || a.request.incoming.Method == http.MethodHead ||
		s == http.StatusNoContent || s == http.StatusNotModified
}

// isEventStream reports whether the answer is a series of events.
func (a *attempt) isEventStream() bool {
	t, _, err := mime.ParseMediaType(a.response.Header.Get("Content-Type"))
	return err == nil && t == "text/event-stream"
}

// markInterrupted ends an attempt with no answer of use: it may have run.
func (a *attempt) markInterrupted() {
	a.outcome, a.ending = interrupted, selection.Failed
	a.conn.discard(a)
}

// markNotExecuted takes a worker at its word that it has not run the request.
func (a *attempt) markNotExecuted(e selection.Outcome) {
	a.bufferResponse(false)
	a.outcome, a.ending = notExecuted, e
}

// maxBufferedResponse is how long an answer may be that is kept.
const maxBufferedResponse = 64 << 10

// bufferResponse reads a worker's own short answer, for the case that nothing better comes.
func (a *attempt) bufferResponse(ran bool) {
	all, err := io.ReadAll(io.LimitReader(a.response.Body, maxBufferedResponse+1))
	if err != nil || len(all) > maxBufferedResponse {
		a.markInterrupted()
		return
	}
	a.releaseConn()
	a.outcome, a.ending = interrupted, selection.Failed
	a.definitive = a.definitive || a.response.StatusCode == http.StatusGatewayTimeout
	if a.response.StatusCode == http.StatusMisdirectedRequest || a.request.fallback != nil && a.request.fallback.executed && !ran {
		return // not the client's business, or worth less than what is kept
	}
	a.request.fallback = &bufferedResponse{a.response.StatusCode, a.response.Header, all, ran}
}

// releaseConn keeps the connection for another attempt.
func (a *attempt) releaseConn() {
	_ = a.response.Body.Close()
	if a.request.selection.ID == "" {
		a.conn.discard(a)
		a.conn = nil
		return
	}
	a.conn.release(a, parseKeepAlive(a.response.Header, a.request.server.process.Settings.Bounds.Leave(1)))
	a.conn = nil
}

// finish reports its end to the selector, and lets go of the worker.
func (a *attempt) finish() {
	q := a.request
	switch {
	case a.outcome == clientGone || q.incoming.Context().Err() != nil && a.outcome != completed:
		a.ending = selection.ClientGone
	case q.ctx.Err() != nil && a.outcome != completed && a.outcome != notExecuted:
		a.ending = selection.TimedOut
	}
	if a.outcome != notSent && a.outcome != notExecuted {
		q.mayHaveExecuted = true
	}
	if a.conn != nil {
		a.conn.discard(a)
	}
	a.cancel()
	q.server.Selector.RecordOutcome(&q.selection, a.choice, a.ending, a.load, a.firstByteAfter)
}
