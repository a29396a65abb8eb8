package proxy

import (
	"io"
	"mime"
	"net/http"
	"strconv"

	"pebbleloom/internal/data/selection"
)

// maxBufferedResponse is the longest body of an error response that is kept, in bytes. A response that
// declares a longer one is relayed as it comes; if one of undeclared length turns out longer, the attempt
// counts as interrupted.
const maxBufferedResponse = 64 << 10

// classifyResponse decides by the header of a response whether it is the worker's response to this request,
// and whether it may be relayed, is kept as a fallback, or proves that the request wasn't executed.
func (a *attempt) classifyResponse() {
	headers := &a.request.server.Headers
	header, status := a.response.Header, a.response.StatusCode
	if load, ok := headers.ParseLoad(header.Get(headers.Load)); ok {
		a.load = &load
	}
	if status < 200 || !a.matchesRequestID() || header.Get("Content-Encoding") != "" || !a.isSelfDelimited() {
		a.markInterrupted() // another request's response, or not one of a worker
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
		a.markInterrupted() // the claim contradicts the status, or is missing: no proof
	case status < 300 && header.Get(headers.Seal) == "":
		a.markInterrupted()
	case a.request.responseStarted && !a.isResumableStream():
		a.markInterrupted() // nothing that could continue the stream
	case status >= 500 && a.response.ContentLength <= maxBufferedResponse:
		a.bufferResponse(true)
	default:
		a.reported = selection.Completed
	}
}

// markMisdirected ends an attempt that the worker rejected with a 421: another instance has its address,
// or it serves another version of the weights.
func (a *attempt) markMisdirected() {
	a.markNotExecuted(selection.Misdirected)
	served := a.response.Header.Get(a.request.server.Headers.WeightVersions)
	if a.choice.Weights != 0 && served != "" && served != strconv.FormatUint(a.choice.Weights, 10) {
		a.reported = selection.NotReady
	}
}

// matchesRequestID reports whether the response names this request, and no other.
func (a *attempt) matchesRequestID() bool {
	ids := a.response.Header.Values(a.request.server.Headers.ID)
	return len(ids) == 1 && ids[0] == a.request.selection.ID || len(ids) == 0 && a.request.selection.ID == ""
}

// impliesNotExecuted reports whether a client may take a status to say that its request was not executed
// and never will be.
func impliesNotExecuted(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// isSelfDelimited reports whether the response marks its own end; otherwise a broken connection would look
// like the end.
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

// isResumableStream reports whether the response is a stream of events that another worker could continue,
// or that could continue another worker's.
func (a *attempt) isResumableStream() bool {
	return a.response.StatusCode == http.StatusOK && a.isEventStream() && a.response.ContentLength < 0
}

// bufferResponse reads a worker's own short response, and keeps it as the request's fallback unless there is
// a better one. Executed says whether the worker executed the request.
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
		return // it concerns this node, not the client
	}
	if req.fallback != nil && req.fallback.executed && !executed {
		return
	}
	req.fallback = &bufferedResponse{a.response.StatusCode, a.response.Header, body, executed}
}
