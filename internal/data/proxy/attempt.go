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

// fate is what became of an attempt.
type fate int

const (
	unsent fate = iota // proven: nothing of it left this machine
	notRun             // the worker has not run it, and says so
	broken             // it may have run, and there is no whole answer
	good               // an answer that may be handed on
	whole              // it was handed on, whole
	gone               // the client went away
)

// attempt is one worker's part in a request.
type attempt struct {
	q      *request
	c      selection.Choice
	ctx    context.Context
	cancel context.CancelFunc
	conn   *workerConn
	reused bool          // the connection served before
	age    time.Duration // and lay idle since
	aged   bool          // for too long
	resp   *http.Response
	began  time.Duration
	first  time.Duration // until its first piece
	fate   fate
	ending selection.Outcome
	final  bool // no other worker would say otherwise
	load   *selection.Load
}

// look asks the index for the prompt's parts.
func (d *server) look(q *request) map[prefix.Key]*wire.LookupResult {
	if len(q.ask.Parts) == 0 {
		return nil
	}
	return d.Selector.Lookup(q.ctx, d.Snapshot(), &q.ask)
}

// body is a request's body as net/http can't repeat it.
type body struct{ bytes.Reader }

// Close does nothing: the bytes stay for another attempt.
func (*body) Close() error { return nil }

// send carries the request to a worker and judges the head of what it answers.
func (q *request) send(c selection.Choice) *attempt {
	a := &attempt{q: q, c: c, began: q.d.l.Clock.Now()}
	rt := q.ask.Route
	within := max(rt.Target/2, q.d.l.Place.Bounds.Leave(0.05))
	ctx := context.WithValue(q.ctx, dialingKey{}, dialing{most: q.conns, within: within})
	a.ctx, a.cancel = context.WithCancel(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: a.take}))
	q.d.Selector.RecordSent(&q.ask, c)
	for n := 0; n < 4; n++ { // a kept connection may have ended before it was used; then nothing has happened
		a.exchange()
		if a.aged {
			n-- // in the end there is none left but a new one
		}
		if a.fate != unsent || !a.reused || q.ctx.Err() != nil || q.left() <= 0 {
			break
		}
	}
	if a.fate == unsent {
		return a
	}
	if q.sent++; q.sent > 1 {
		q.d.extras.Add(1)
		if q.begun {
			q.d.resumed.Add(1)
		}
	}
	if a.fate == good {
		a.judge()
	}
	return a
}

// take makes a connection the attempt's before a byte is written, or ends it where it can't be sure to
// carry this request and no other's answer: nothing of the request is on it then.
func (a *attempt) take(i httptrace.GotConnInfo) {
	a.conn, a.reused, a.age = i.Conn.(*workerConn), i.Reused, i.IdleTime
	if i.Reused {
		a.conn.settle()
	}
	a.conn.take(a)
	switch {
	case a.q.left() <= 0: // this machine stood still, or the connection took so long
		a.conn.stop(a)
	case i.Reused && !a.suits():
		a.aged = a.conn.stop(a) // another is taken
	}
}

// suits reports whether a connection that served before may carry the request. Without an id no answer can
// be told apart from another's, so such a request has a connection of its own.
func (a *attempt) suits() bool {
	q := a.q
	return q.ask.ID != "" && a.conn.kept(a.age) && (q.repeatable() || q.d.conns.idle.fit(a.age) && !a.conn.waiting())
}

// exchange sends the request and waits for the head of an answer.
func (a *attempt) exchange() {
	a.conn, a.reused, a.aged = nil, false, false
	resp, err := a.q.d.conns.t.RoundTrip(a.message())
	switch {
	case err == nil:
		a.resp, a.fate = resp, good
		if a.reused {
			a.q.d.conns.idle.stands(a.age)
		}
	case a.conn == nil || a.conn.stop(a):
		a.fate, a.ending = unsent, selection.Failed
		if errs.KindOf(err) == errs.Overloaded { // this machine's share, not the worker's fault
			a.ending = selection.NoFreeSlot
		}
	default:
		a.fate, a.ending = broken, selection.Failed
		if a.reused && a.ctx.Err() == nil {
			a.q.d.conns.idle.forgot(a.age)
		}
	}
}

// message is the request as it goes to the worker: the same in method, path, query and body.
func (a *attempt) message() *http.Request {
	q := a.q
	u := &url.URL{Scheme: "http", Host: a.c.Worker.Addr}
	if strings.HasPrefix(q.r.RequestURI, "/") && !strings.HasPrefix(q.r.RequestURI, "//") {
		u.Opaque = q.r.RequestURI
	} else {
		u.Path, u.RawPath, u.RawQuery, u.ForceQuery = q.r.URL.Path, q.r.URL.RawPath, q.r.URL.RawQuery, q.r.URL.ForceQuery
	}
	m := &http.Request{Method: q.r.Method, URL: u, Host: q.r.Host, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1}
	m.Header = q.towards(a.c, max(q.left(), time.Millisecond))
	if q.chunked {
		m.ContentLength, m.TransferEncoding = -1, []string{"chunked"}
	} else {
		m.ContentLength = int64(len(q.body))
	}
	if b := new(body); q.chunked || len(q.body) > 0 || !bodied(q.r.Method) {
		// Without a body net/http would send some methods again by itself.
		b.Reset(q.body)
		m.Body = b
	}
	return m.WithContext(a.ctx)
}

// bodied reports which methods say that there is no body with a length of 0; net/http never sends
// them twice.
func bodied(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return false
	}
	return true
}

// judge looks at the head of an answer: whose it is, and what it says of the request.
func (a *attempt) judge() {
	q, h := a.q, &a.q.d.Headers
	head, status := a.resp.Header, a.resp.StatusCode
	if l, ok := h.ReadLoad(head.Get(h.Load)); ok {
		a.load = &l
	}
	if status < 200 || !a.own() || head.Get("Content-Encoding") != "" || !a.framed() {
		a.unfit() // another request's answer, or none of the worker's
		return
	}
	said := len(head.Values(h.NotRun)) > 0
	switch {
	case status == http.StatusMisdirectedRequest:
		a.notRun(selection.Misdirected)
		if v := head.Get(h.Weights); a.c.Weights != 0 && v != "" && v != strconv.FormatUint(a.c.Weights, 10) {
			a.ending = selection.NotReady
		}
	case said && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests):
		a.notRun(selection.NoFreeSlot)
	case said && status == http.StatusBadRequest:
		a.final = true
		a.notRun(selection.Failed)
	case said || promise(status):
		a.unfit() // it promises what it may not, or contradicts what it says it didn't run: no proof
	case status < 300 && head.Get(h.Seal) == "":
		a.unfit()
	case q.begun && (status != http.StatusOK || !a.eventful() || a.resp.ContentLength >= 0):
		a.unfit() // nothing that a stream could go on with
	case status >= 500 && a.resp.ContentLength <= short:
		a.keep(true)
	default:
		a.ending = selection.Completed
	}
}

// own reports whether the answer names this request, and no other.
func (a *attempt) own() bool {
	ids := a.resp.Header.Values(a.q.d.Headers.ID)
	return len(ids) == 1 && ids[0] == a.q.ask.ID || len(ids) == 0 && a.q.ask.ID == ""
}

// promise reports which statuses say that a request has not run and never will.
func promise(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// framed reports whether the end of the answer can be seen.
func (a *attempt) framed() bool {
	s := a.resp.StatusCode
	return a.resp.ContentLength >= 0 || len(a.resp.TransferEncoding) > 0 || a.q.r.Method == http.MethodHead ||
		s == http.StatusNoContent || s == http.StatusNotModified
}

// eventful reports whether the answer is a series of events.
func (a *attempt) eventful() bool {
	t, _, err := mime.ParseMediaType(a.resp.Header.Get("Content-Type"))
	return err == nil && t == "text/event-stream"
}

// unfit ends an attempt with no answer of use: it may have run.
func (a *attempt) unfit() {
	a.fate, a.ending = broken, selection.Failed
	a.conn.stop(a)
}

// notRun takes a worker at its word that it has not run the request.
func (a *attempt) notRun(e selection.Outcome) {
	a.keep(false)
	a.fate, a.ending = notRun, e
}

// short is how long an answer may be that is kept.
const short = 64 << 10

// keep reads a worker's own short answer, for the case that nothing better comes.
func (a *attempt) keep(ran bool) {
	all, err := io.ReadAll(io.LimitReader(a.resp.Body, short+1))
	if err != nil || len(all) > short {
		a.unfit()
		return
	}
	a.rest()
	a.fate, a.ending = broken, selection.Failed
	a.final = a.final || a.resp.StatusCode == http.StatusGatewayTimeout
	if a.resp.StatusCode == http.StatusMisdirectedRequest || a.q.kept != nil && a.q.kept.ran && !ran {
		return // not the client's business, or worth less than what is kept
	}
	a.q.kept = &kept{a.resp.StatusCode, a.resp.Header, all, ran}
}

// rest keeps the connection for another attempt.
func (a *attempt) rest() {
	_ = a.resp.Body.Close()
	if a.q.ask.ID == "" {
		a.conn.stop(a)
		a.conn = nil
		return
	}
	a.conn.rest(a, keeps(a.resp.Header, a.q.d.l.Place.Bounds.Leave(1)))
	a.conn = nil
}

// done reports its end to the selector, and lets go of the worker.
func (a *attempt) done() {
	q := a.q
	switch {
	case a.fate == gone || q.r.Context().Err() != nil && a.fate != whole:
		a.ending = selection.ClientGone
	case q.ctx.Err() != nil && a.fate != whole && a.fate != notRun:
		a.ending = selection.TimedOut
	}
	if a.fate != unsent && a.fate != notRun {
		q.ran = true
	}
	if a.conn != nil {
		a.conn.stop(a)
	}
	a.cancel()
	q.d.Selector.RecordOutcome(&q.ask, a.c, a.ending, a.load, a.first)
}
