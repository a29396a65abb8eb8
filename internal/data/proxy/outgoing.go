package proxy

import (
	"bytes"
	"net/http"
	"net/url"
	"strings"
	"time"
)

// outgoingRequest is the request as it is sent to the worker: method, target, framing and body are the
// client's, byte for byte.
func (a *attempt) outgoingRequest() *http.Request {
	req := a.request
	outgoing := &http.Request{
		Method:     req.incoming.Method,
		URL:        a.outgoingURL(),
		Host:       req.incoming.Host,
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
		Header:     req.workerHeader(a.choice, max(req.timeRemaining(), time.Millisecond)),
	}
	if req.chunked {
		outgoing.ContentLength, outgoing.TransferEncoding = -1, []string{"chunked"}
	} else {
		outgoing.ContentLength = int64(len(req.body))
	}
	// Without a body net/http would silently send idempotent methods again.
	if body := new(nonReplayableBody); req.chunked || len(req.body) > 0 || !declaresEmptyBody(req.incoming.Method) {
		body.Reset(req.body)
		outgoing.Body = body
	}
	return outgoing.WithContext(a.ctx)
}

// outgoingURL keeps the request target as the client wrote it, where that has the usual form.
func (a *attempt) outgoingURL() *url.URL {
	incoming := a.request.incoming
	target := &url.URL{Scheme: "http", Host: a.choice.Worker.Addr}
	if strings.HasPrefix(incoming.RequestURI, "/") && !strings.HasPrefix(incoming.RequestURI, "//") {
		target.Opaque = incoming.RequestURI
		return target
	}
	target.Path, target.RawPath = incoming.URL.Path, incoming.URL.RawPath
	target.RawQuery, target.ForceQuery = incoming.URL.RawQuery, incoming.URL.ForceQuery
	return target
}

// nonReplayableBody is a request body that net/http can't rewind: it has no way to send the request again
// by itself.
type nonReplayableBody struct{ bytes.Reader }

// Close does nothing: the bytes belong to the request, which may make another attempt.
func (*nonReplayableBody) Close() error { return nil }

// declaresEmptyBody reports whether net/http sends "Content-Length: 0" with a method if there is no body;
// it never sends these methods again by itself.
func declaresEmptyBody(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return false
	}
	return true
}
