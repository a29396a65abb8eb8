package proxy

import (
	"context"
	"net/http"
	"time"

	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/data/selection"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/settings"
)

// request is one request of a client, from its header to the last byte of its response. Its goroutine is
// the handler's; only ctx and the response controller are used from others.
type request struct {
	server     *server
	writer     http.ResponseWriter
	controller *http.ResponseController
	incoming   *http.Request

	ctx               context.Context // done at the deadline, or when the client disconnects
	cancel            context.CancelFunc
	stopWriteDeadline func() bool // undoes the end of writing that comes with the end of ctx; false: too late

	receivedAt     time.Duration // instant at which the header was read
	deadline       time.Duration // instant: the earlier of the client's and the route's
	selection      selection.Request
	maxConns       int // connections of this node to one worker; 0: no limit
	body           []byte
	chunked        bool            // the body came with chunked transfer encoding, and is forwarded so
	reservedMemory int64           // bytes of server.reservedMemory
	tried          map[string]bool // workers that an attempt was made at, by ID

	attemptsSent       int               // attempts of which some byte may have left this node
	attemptsNotSent    int               // attempts proven not to have left this node
	retriesGranted     int               // attempts beyond the first that the retry budget has granted
	mayHaveExecuted    bool              // some worker may have executed it
	capacityExpectedIn time.Duration     // when a worker may have a free slot, if none has one now; 0: unknown
	fallback           *bufferedResponse // the best error response of a worker so far; nil: none
	responseStarted    bool              // the response's header was written to the client
	events             *eventSplitter    // of a resumable stream; nil: not resumable
}

// pastTime is a deadline that has passed, whatever the clock says.
var pastTime = time.Unix(1, 0)

const (
	// transitRatio of settings.Site.TransitMs is by how much a request's context outlasts its deadline, so
	// that a response which the worker sent in time still reaches the client.
	transitRatio = 0.5
	// retryAfterDivisor of the route's latency target is the default Retry-After: short enough that the
	// next try can still be served within the target.
	retryAfterDivisor = 4
)

// accept admits a request and reads its body. A request that can't be accepted is answered at once; nil
// is returned then.
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
	// A plan that came while the body was read may have revoked the key.
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
		receivedAt:        s.process.Clock.Now(),
		tried:             map[string]bool{},
		stopWriteDeadline: func() bool { return true },
	}
	req.selection.ID, req.selection.Zone = incoming.Header.Get(s.Headers.ID), s.process.Settings.Zone
	return req
}

// release gives back what the request holds of the server.
func (req *request) release() {
	if req.cancel != nil {
		req.cancel()
	}
	req.server.reservedMemory.Add(-req.reservedMemory)
	req.reservedMemory = 0
}

// readPromptHeaders reads what the header says about the prompt; many requests say nothing.
func (req *request) readPromptHeaders() {
	headers := &req.server.Headers
	req.selection.Model = req.incoming.Header.Get(headers.Model)
	if v := req.incoming.Header.Get(headers.TokenUsage); v != "" {
		req.selection.PromptTokens, req.selection.MaxOutputTokens = headers.ParseTokenUsage(v)
	}
	if v := req.incoming.Header.Get(headers.PromptParts); v != "" {
		req.selection.Parts = headers.ParsePromptParts(v)
	}
	if route := req.selection.Route; route.Kind == routingconfig.EventStream && route.Resumable {
		req.events = &eventSplitter{lastID: req.incoming.Header.Get(headers.LastEventID), canResume: true}
	}
}

// timeRemaining is the time until the deadline; negative after it.
func (req *request) timeRemaining() time.Duration {
	return req.deadline - req.server.process.Clock.Now()
}

// retryAfter is when a client whose request was rejected may send it again.
func (req *request) retryAfter() time.Duration {
	if req.capacityExpectedIn > 0 {
		return req.capacityExpectedIn
	}
	if req.selection.Route == nil || req.selection.Route.LatencyTarget <= 0 {
		return req.server.planRetryAfter()
	}
	return req.selection.Route.LatencyTarget / retryAfterDivisor
}

// isIdempotent reports whether more than one worker may execute the request.
func (req *request) isIdempotent() bool {
	route := req.selection.Route
	return route.Kind == routingconfig.Idempotent || route.Kind == routingconfig.EventStream && route.Resumable
}
