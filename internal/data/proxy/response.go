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

// bufferedResponse is a short error response of a worker, relayed if no other worker gives a usable response.
type bufferedResponse struct {
	status   int
	header   http.Header
	body     []byte
	executed bool // whether the worker executed the request; false: it reported that it didn't
}

// startResponse writes the header of a worker's response to the client. From then on, writes to the client fail once
// the request's context is done.
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

// respondWithFailure answers a request for which no worker's response was relayed completely. If a response has
// already started, or the client has disconnected, it aborts the connection, so that a partial response can't look
// complete.
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

// respondBuffered relays a buffered error response of a worker to the client.
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

// reject answers a request with an error response of the proxy itself. With a retryAfter of 0 it sets no Retry-After
// field.
func (req *request) reject(kind *errs.Kind, reason string, retryAfter time.Duration) {
	header := req.writer.Header()
	req.limitDiscard()
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

// copyHeader copies the header of a worker's response to the client's response. It keeps net/http from adding
// Date and Content-Type fields of its own.
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

// closeWhenDraining closes the client's connection after this response if the node is shutting down.
func (req *request) closeWhenDraining() {
	if req.server.draining.Load() {
		req.writer.Header().Set("Connection", "close")
	}
}
