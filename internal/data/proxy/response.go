package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"pebbleloom/internal/errs"
)

// bufferedResponse is a worker's own short response, kept in case no other worker gives a better one.
type bufferedResponse struct {
	status   int
	header   http.Header
	body     []byte
	executed bool // the worker executed the request; false: it says that it didn't
}

// startResponse writes the header of a worker's response to the client. From here on the end of the
// request's context ends writing, too.
func (req *request) startResponse(response *http.Response) {
	req.responseStarted = true
	req.copyHeader(response.Header)
	header := req.writer.Header()
	if response.ContentLength >= 0 {
		header.Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
	} else {
		header.Del("Content-Length")
	}
	req.stopWriteDeadline = context.AfterFunc(req.ctx, func() { _ = req.controller.SetWriteDeadline(pastTime) })
	req.writer.WriteHeader(response.StatusCode)
}

// respondWithFailure answers a request of which no attempt completed. A response that has started, and one
// that nobody waits for, is aborted: the client must see that it is incomplete.
func (req *request) respondWithFailure() {
	defer req.stopWriteDeadline()
	if req.responseStarted || req.incoming.Context().Err() != nil {
		panic(http.ErrAbortHandler)
	}
	fallback := req.fallback
	switch {
	case fallback != nil && (fallback.executed || !req.mayHaveExecuted):
		req.respondBuffered(fallback)
	case req.mayHaveExecuted && (errors.Is(req.ctx.Err(), context.DeadlineExceeded) || req.timeRemaining() <= 0):
		req.reject(errs.DeadlineExceeded, "the deadline passed while a worker may have been executing the request", 0)
	case req.mayHaveExecuted:
		req.reject(errs.MayHaveExecuted, "a worker accepted the request and gave no complete response", 0)
	default:
		req.reject(errs.NotExecuted, "no worker accepted the request", req.retryAfter())
	}
}

// respondBuffered relays a worker's response that was kept.
func (req *request) respondBuffered(response *bufferedResponse) {
	header := req.writer.Header()
	req.copyHeader(response.header)
	if header.Get("Retry-After") == "" && !response.executed && response.status != http.StatusBadRequest {
		header.Set("Retry-After", formatRetryAfter(req.retryAfter()))
	}
	if req.incoming.Method != http.MethodHead {
		header.Set("Content-Length", strconv.Itoa(len(response.body)))
	}
	req.writer.WriteHeader(response.status)
	_, _ = req.writer.Write(response.body)
}

// reject answers a request with an error of this node's own. A retryAfter of 0 sets no Retry-After.
func (req *request) reject(kind *errs.Kind, reason string, retryAfter time.Duration) {
	header := req.writer.Header()
	req.closeWhenDraining()
	header.Set("Content-Type", "text/plain; charset=utf-8")
	if req.selection.ID != "" {
		header.Set(req.server.Headers.ID, req.selection.ID)
	}
	if retryAfter > 0 && kind.HTTPStatus == http.StatusServiceUnavailable {
		header.Set("Retry-After", formatRetryAfter(retryAfter))
	}
	req.server.process.Meter.Rejected(kind)
	text := errs.Text(errs.New(kind, "%s", reason)) + "\n"
	header.Set("Content-Length", strconv.Itoa(len(text)))
	req.writer.WriteHeader(kind.HTTPStatus)
	_, _ = io.WriteString(req.writer, text)
}

// copyHeader replaces the fields of the client's response with those of the worker's, and keeps net/http
// from adding its own.
func (req *request) copyHeader(from http.Header) {
	header := req.writer.Header()
	for name, values := range req.server.Headers.withoutHopByHop(from) {
		header[name] = values
	}
	req.closeWhenDraining()
	for _, name := range []string{"Date", "Content-Type"} {
		if _, ok := header[name]; !ok {
			header[name] = nil
		}
	}
}

// closeWhenDraining ends the client's connection with this response if the node is shutting down.
func (req *request) closeWhenDraining() {
	if req.server.draining.Load() {
		req.writer.Header().Set("Connection", "close")
	}
}
