package proxy

import (
	"context"
	"net/http"
	"strings"
	"time"

	"pebbleloom/internal/clientlimit"
	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/data/selection"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/settings"
)

// request is the state of one client request, from its header to the last byte of its response. It is used by the
// goroutine of its handler; only ctx and controller are used by other goroutines as well.
type request struct {
	server     *server
	writer     http.ResponseWriter
	controller *http.ResponseController
	incoming   *http.Request

	ctx               context.Context // done a short time after the deadline (see transitRatio), or when the client disconnects
	cancel            context.CancelFunc
	stopWriteDeadline func() bool // function that cancels the write deadline set when ctx is done; it returns false if that deadline was set already

	receivedAt time.Duration // when the request header was read, by the process clock
	deadline   time.Duration // the earlier of the client's and the route's deadline, by the process clock
	selection  selection.Request
	maxConns   int                      // maximum number of connections from this edge node to one worker; 0: no limit
	conn       *clientlimit.Conn        // connection that the request came on
	memory     *clientlimit.Reservation // memory that this request has reserved; its connection releases it
	body       requestBody
	bodyRead   bool            // whether the body was read completely
	chunked    bool            // whether the body came with chunked transfer encoding, and so is forwarded that way
	tried      map[string]bool // IDs of the workers that were selected for an attempt of this request

	attemptsSent       int               // number of attempts of which some bytes may have been sent to a worker
	attemptsNotSent    int               // number of attempts of which provably no byte was sent to a worker
	retriesGranted     int               // number of attempts beyond the first that the service's retry budget has permitted
	mayHaveExecuted    bool              // whether some worker may have executed the request
	capacityExpectedIn time.Duration     // estimated time until a worker has a free slot; 0: unknown
	fallback           *bufferedResponse // error response of a worker, relayed if no attempt completes; nil: none received
	responseStarted    bool              // whether the response header was written to the client
	events             *eventSplitter    // splitter of a resumable event stream; nil: the response can't be resumed
}

// pastTime is an I/O deadline in the past: setting it makes pending reads or writes fail at once.
var pastTime = time.Unix(1, 0)

const (
	// promptPartBytes is the memory that a part of a prompt takes while its holders are looked up and a worker is selected.
	promptPartBytes = 256
	// transitRatio is the fraction of settings.Site.TransitMs (the maximum time to forward an event of a stream) for
	// which the request's context lasts beyond its deadline, so that a response that the worker sent just in time
	// still reaches the client.
	transitRatio = 0.5
	// The default Retry-After value is the route's latency target divided by retryAfterDivisor: short enough that
	// the client's retry can still be served within the target.
	retryAfterDivisor = 4
)

// accept admits a request and reads its body. If it can't accept the request, it answers it with an error and returns
// nil.
func (s *server) accept(writer http.ResponseWriter, incoming *http.Request) *request {
	req := s.newRequest(writer, incoming)
	snapshot := s.Snapshot()
	if snapshot == nil || snapshot.Plan == nil {
		req.reject(errs.NotExecuted, "no plan is known here yet", s.planRetryAfter())
		return nil
	}
	if !req.admit(snapshot) || !req.readBody(snapshot.Plan) {
		req.release()
		return nil
	}
	// A routing plan that arrived while the body was read may have revoked the API key.
	if newest := s.Snapshot(); newest.Plan != snapshot.Plan && !req.admit(newest) {
		req.release()
		return nil
	}
	req.readPromptHeaders()
	timeout := req.deadline - req.receivedAt + settings.Fraction(s.siteSettings.TransitMs, transitRatio)
	req.ctx, req.cancel = context.WithTimeout(incoming.Context(), timeout)
	return req
}

func (s *server) newRequest(writer http.ResponseWriter, incoming *http.Request) *request {
	req := &request{
		server:            s,
		writer:            writer,
		controller:        http.NewResponseController(writer),
		incoming:          incoming,
		conn:              clientlimit.FromContext(incoming.Context()),
		receivedAt:        s.process.Clock.Now(),
		tried:             map[string]bool{},
		stopWriteDeadline: func() bool { return true },
	}
	req.memory = req.conn.Reservation()
	req.selection.ID, req.selection.Zone = incoming.Header.Get(s.Headers.ID), s.process.Settings.Zone
	return req
}

// release cancels the request's context.
func (req *request) release() {
	if req.cancel != nil {
		req.cancel()
	}
}

// readPromptHeaders parses the optional header fields that describe the prompt, and prepares resumable streams.
func (req *request) readPromptHeaders() {
	headers := &req.server.Headers
	req.selection.Model = req.incoming.Header.Get(headers.Model)
	if v := req.incoming.Header.Get(headers.TokenUsage); v != "" {
		req.selection.PromptTokens, req.selection.MaxOutputTokens = headers.ParseTokenUsage(v)
	}
	if v := req.incoming.Header.Get(headers.PromptParts); v != "" && req.reserveParts(v) {
		req.selection.Parts = headers.ParsePromptParts(v)
	}
	if route := req.selection.Route; route.Kind == routingconfig.EventStream && route.Resumable {
		req.events = &eventSplitter{lastID: req.incoming.Header.Get(headers.LastEventID), canResume: true}
	}
}

// reserveParts reserves the memory of the parts of a prompt. Without memory it returns false, and the request is forwarded
// to a worker that is selected without them.
func (req *request) reserveParts(value string) bool {
	parts := strings.Count(value, ",") + 1
	return req.memory.Grow(int64(parts)*promptPartBytes) == nil
}

// timeRemaining returns the time until the deadline; it is negative after the deadline.
func (req *request) timeRemaining() time.Duration {
	return req.deadline - req.server.process.Clock.Now()
}

// retryAfter returns how long a client should wait before it retries a rejected request.
func (req *request) retryAfter() time.Duration {
	if req.capacityExpectedIn > 0 {
		return req.capacityExpectedIn
	}
	if req.selection.Route == nil || req.selection.Route.LatencyTarget <= 0 {
		return req.server.planRetryAfter()
	}
	return req.selection.Route.LatencyTarget / retryAfterDivisor
}

// isIdempotent reports whether the request may be executed more than once, by its route's kind.
func (req *request) isIdempotent() bool {
	route := req.selection.Route
	return route.Kind == routingconfig.Idempotent || route.Kind == routingconfig.EventStream && route.Resumable
}
