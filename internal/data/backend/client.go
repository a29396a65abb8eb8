package backend

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"pebbleloom/internal/errs"
)

// Dial opens a network connection; it has the signature of net.Dialer.DialContext.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// notSentError marks the error of a call of which no byte was sent.
type notSentError struct{ error }

// Unwrap returns the underlying error.
//
// Example: errors.Is(err, net.ErrClosed)
func (e *notSentError) Unwrap() error { return e.error }

// NotSent reports whether a failed call certainly did not reach the server: no connection was established, or
// the call's guard (see WithGuard) prevented it from being sent.
//
// Example: if backend.NotSent(err) { tryElsewhere() }
func NotSent(err error) bool {
	var e *notSentError
	return errors.As(err, &e)
}

// guardKey is the context key under which WithGuard stores the guard.
type guardKey struct{}

// WithGuard returns a context for a call of a single-use client. The guard is called immediately before the
// first byte of the call is written; if it returns false, nothing is written and the call fails. Leases have to
// be checked at this point, because a process that was suspended may resume here before any of its timers fires.
//
// Example: ctx = backend.WithGuard(ctx, leaseHeld)
func WithGuard(ctx context.Context, guard func() bool) context.Context {
	return context.WithValue(ctx, guardKey{}, guard)
}

// idleTimeout is how long a connection is kept open without being used.
const idleTimeout = 30 * time.Second

// NewHTTPClient returns a client that opens at most maxConns connections per address (0: unlimited) and keeps
// at most maxIdle of them open for reuse. It does not follow redirects: they are returned to the caller like
// any other response.
//
// Example: reports := backend.NewHTTPClient(process.Dial, 2, 0)
func NewHTTPClient(dial Dial, maxIdle, maxConns int) *http.Client {
	return &http.Client{CheckRedirect: noRedirect, Transport: &http.Transport{
		DialContext:         markNotSent(dial),
		DisableCompression:  true,
		MaxIdleConnsPerHost: maxIdle,
		MaxConnsPerHost:     maxConns,
		IdleConnTimeout:     idleTimeout,
	}}
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// markNotSent wraps a dialer so that its errors are marked as notSentError: without a connection, nothing was sent.
func markNotSent(dial Dial) Dial {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, &notSentError{err}
		}
		return conn, nil
	}
}

// NewSingleUseHTTPClient returns a client for calls that must not take effect more than once and whose responses
// contain no request ID, such as orders. Each call uses a new connection. A late response to an earlier call can
// thus not be mistaken for its own, and net/http does not resend it, as it may on a reused connection. When a
// call is abandoned, data that the kernel has not yet delivered is discarded.
//
// Example: orders := backend.NewSingleUseHTTPClient(process.Dial)
func NewSingleUseHTTPClient(dial Dial) *http.Client {
	return &http.Client{CheckRedirect: noRedirect, Transport: singleUseTransport{&http.Transport{
		DialContext:        dialSingleUse(markNotSent(dial)),
		DisableKeepAlives:  true,
		DisableCompression: true,
	}}}
}

// dialSingleUse wraps a dialer so that each connection checks the guard of the call for which it was opened.
func dialSingleUse(dial Dial) Dial {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // on close, discards undelivered data; if this can't be set, only the worker's own validation rejects an order that arrives late
		}
		guard, _ := ctx.Value(guardKey{}).(func() bool)
		return &singleUseConn{Conn: conn, guard: guard}, nil
	}
}

// singleUseTransport is a transport that never resends a request.
type singleUseTransport struct{ *http.Transport }

// RoundTrip sends a request once. It clears GetBody, because net/http resends a request only if it can read the
// body again.
//
// Example: response, err := singleUseTransport{transport}.RoundTrip(request)
func (t singleUseTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	request = request.WithContext(request.Context())
	request.GetBody = nil
	return t.Transport.RoundTrip(request)
}

// singleUseConn is the connection of a single call. Only one goroutine may write to it.
type singleUseConn struct {
	net.Conn
	guard   func() bool // reports whether the call may still be sent; nil: it always may
	started bool        // whether data of the call may already have been written
}

// Write checks the guard of the call before it writes the first byte, and fails with a notSentError if the call may no
// longer be sent.
//
// Example: n, err := conn.Write(request)
func (c *singleUseConn) Write(p []byte) (int, error) {
	if !c.started && c.guard != nil && !c.guard() {
		return 0, &notSentError{errs.New(errs.NotExecuted, "call not sent: its guard no longer permits it (for example, the sender's lease has expired)")}
	}
	c.started = true
	return c.Conn.Write(p)
}
