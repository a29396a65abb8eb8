package proxy

import (
	"io"
	"mime"
	"net/http"
	"strconv"

	"pebbleloom/internal/data/selection"
)

// maxBufferedResponse is the maximum body size of an error response that is buffered, in bytes. A response with a
// larger Content-Length is relayed as it comes. If a response without a Content-Length turns out to be larger,
// the attempt counts as interrupted.
const maxBufferedResponse = 64 << 10

// classifyResponse checks by its header that a response belongs to this request, and decides whether it is
// relayed, buffered as a fallback, or taken as proof that the request wasn't executed.
func (a *attempt) classifyResponse() {
	headers := &a.request.server.Headers
	header, status := a.response.Header, a.response.StatusCode
	if load, ok := headers.ParseLoad(header.Get(headers.Load)); ok {
		a.load = &load
	}
	if status < 200 || !a.matchesRequestID() || header.Get("Content-Encoding") != "" || !a.isSelfDelimited() {
		a.markInterrupted() // the response belongs to another request, or has a form that no conforming worker sends
		return
	}
	claimsNotExecuted := len(header.Values(headers.NotExecuted)) > 0
	switch {
	case status == http.StatusMisdirectedRequest:
		a.markMisdirected()
	case claimsNotExecuted && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests):
		a.markNotExecuted(selection.NoFreeSlot)
	case claimsNotExecuted && status == http.StatusBadRequest:
		a.definitive = true
		a.markNotExecuted(selection.Failed)
	case claimsNotExecuted || impliesNotExecuted(status):
		a.markInterrupted() // the NotExecuted field contradicts the status or is missing, so it isn't proven that the request wasn't executed
	case status < 300 && header.Get(headers.Seal) == "":
		a.markInterrupted()
	case a.request.responseStarted && !a.isResumableStream():
		a.markInterrupted() // part of another worker's stream was relayed, and this response can't continue it
	case status >= 500 && a.response.ContentLength <= maxBufferedResponse:
		a.bufferResponse(true)
	default:
		a.reported = selection.Completed
	}
}

// markMisdirected ends an attempt that was rejected with a 421 (Misdirected Request): the worker's address now
// belongs to another worker instance, or the worker serves another version of the model weights.
func (a *attempt) markMisdirected() {
	a.markNotExecuted(selection.Misdirected)
	served := a.response.Header.Get(a.request.server.Headers.WeightVersions)
	if a.choice.Weights != 0 && served != "" && served != strconv.FormatUint(a.choice.Weights, 10) {
		a.reported = selection.NotReady
	}
}

// matchesRequestID reports whether the response carries exactly the ID of this request, or none if it has none.
func (a *attempt) matchesRequestID() bool {
	ids := a.response.Header.Values(a.request.server.Headers.ID)
	return len(ids) == 1 && ids[0] == a.request.selection.ID || len(ids) == 0 && a.request.selection.ID == ""
}

// impliesNotExecuted reports whether clients may conclude from a status code that their request was not executed
// and won't be.
func impliesNotExecuted(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// isSelfDelimited reports whether the end of the response body can be distinguished from a broken connection: by a
// Content-Length, by chunked encoding, or because the response has no body.
func (a *attempt) isSelfDelimited() bool {
	status := a.response.StatusCode
	return a.response.ContentLength >= 0 || len(a.response.TransferEncoding) > 0 || a.request.incoming.Method == http.MethodHead ||
		status == http.StatusNoContent || status == http.StatusNotModified
}

// isEventStream reports whether the response is a stream of server-sent events.
func (a *attempt) isEventStream() bool {
	mediaType, _, err := mime.ParseMediaType(a.response.Header.Get("Content-Type"))
	return err == nil && mediaType == "text/event-stream"
}

// isResumableStream reports whether the response is an event stream that another worker can continue, or that
// can itself continue the stream of another worker.
func (a *attempt) isResumableStream() bool {
	return a.response.StatusCode == http.StatusOK && a.isEventStream() && a.response.ContentLength < 0
}

// bufferResponse reads a short error response of a worker and stores it as the request's fallback, which the client
// gets if no other attempt succeeds. executed reports whether the worker executed the request. A stored response of
// a worker that executed the request isn't replaced by one of a worker that didn't.
func (a *attempt) bufferResponse(executed bool) {
	req := a.request
	body, err := io.ReadAll(io.LimitReader(a.response.Body, maxBufferedResponse+1))
	if err != nil || len(body) > maxBufferedResponse {
		a.markInterrupted()
		return
	}
	a.releaseConn()
	a.outcome, a.reported = interrupted, selection.Failed
	a.definitive = a.definitive || a.response.StatusCode == http.StatusGatewayTimeout
	if a.response.StatusCode == http.StatusMisdirectedRequest {
		return // a 421 concerns this node's choice of a worker and isn't passed on to the client
	}
	if req.fallback != nil && req.fallback.executed && !executed {
		return
	}
	req.fallback = &bufferedResponse{a.response.StatusCode, a.response.Header, body, executed}
}
