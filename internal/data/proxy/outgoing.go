package proxy

import (
	"net/http"
	"net/url"
	"strings"
	"time"
)

// outgoingRequest returns the request to send to the worker. Method, request target, framing (length or
// chunked) and body are the client's, byte for byte.
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
		outgoing.ContentLength = req.body.length
	}
	// net/http would silently resend a request with an idempotent method and no body; a non-nil body that
	// can't be rewound prevents that.
	if req.chunked || req.body.length > 0 || !declaresEmptyBody(req.incoming.Method) {
		outgoing.Body = req.body.newReader()
	}
	return outgoing.WithContext(a.ctx)
}

// outgoingURL returns the worker's URL with the request target exactly as the client wrote it, if that starts
// with a single slash; otherwise the target is rebuilt from the parsed URL.
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

// declaresEmptyBody reports whether net/http sends "Content-Length: 0" if a request with this method has an empty
// body. net/http doesn't resend requests with such a method on its own.
func declaresEmptyBody(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return false
	}
	return true
}
