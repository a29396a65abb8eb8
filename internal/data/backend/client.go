package backend

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"pebbleloom/internal/errs"
)

// Dial opens a connection, as net.Dialer.DialContext does.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// notSentError marks the error of a call of which no byte has left this node.
type notSentError struct{ error }

// Unwrap returns the marked error.
//
// Example: errors.Is(err, net.ErrClosed)
func (e *notSentError) Unwrap() error { return e.error }

// NotSent reports whether a failed call is proven not to have reached the other side: it had no connection,
// or its guard let no byte of it leave.
//
// Example: if backend.NotSent(err) { tryElsewhere() }
func NotSent(err error) bool {
	var e *notSentError
	return errors.As(err, &e)
}

// guardKey is the context key of a call's guard.
type guardKey struct{}

// WithGuard returns a context for a call of a single-use client. The guard is asked right before the call's
// first byte is written; if it returns false, none is. A process that was stopped comes to that point late,
// before any of its timers has fired, so a lease has to be checked there.
//
// Example: ctx = backend.WithGuard(ctx, leaseHeld)
func WithGuard(ctx context.Context, guard func() bool) context.Context {
	return context.WithValue(ctx, guardKey{}, guard)
}

// idleTimeout closes a connection that no call has used for so long.
const idleTimeout = 30 * time.Second

// NewHTTPClient returns a client that opens at most maxConns connections to one address (0: any number), and
// keeps maxIdle of them for later calls. It follows no redirect: a response that names another address is
// a response like any other.
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

// markNotSent marks the errors of a dialer: without a connection nothing was sent.
func markNotSent(dial Dial) Dial {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, &notSentError{err}
		}
		return conn, nil
	}
}

// NewSingleUseHTTPClient returns a client for calls that may take effect only once and whose responses bear
// no ID: orders. Each call has a connection of its own, so that no response to an earlier call can be taken
// for this one's, and net/http has no reused connection on which it would send a call again. What the kernel
// hasn't delivered when a call is abandoned is discarded.
//
// Example: orders := backend.NewSingleUseHTTPClient(process.Dial)
func NewSingleUseHTTPClient(dial Dial) *http.Client {
	return &http.Client{CheckRedirect: noRedirect, Transport: singleUseTransport{&http.Transport{
		DialContext:        dialSingleUse(markNotSent(dial)),
		DisableKeepAlives:  true,
		DisableCompression: true,
	}}}
}

// dialSingleUse makes connections that ask the guard of the call that opens them.
func dialSingleUse(dial Dial) Dial {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // where it can't be set, the receiver's own check of the order has to do
		}
		guard, _ := ctx.Value(guardKey{}).(func() bool)
		return &singleUseConn{Conn: conn, guard: guard}, nil
	}
}

// singleUseTransport sends each call once.
type singleUseTransport struct{ *http.Transport }

// RoundTrip makes one call. net/http sends a call again only if it can read the body again.
//
// Example: response, err := singleUseTransport{transport}.RoundTrip(request)
func (t singleUseTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	request = request.WithContext(request.Context())
	request.GetBody = nil
	return t.Transport.RoundTrip(request)
}

// singleUseConn is one call's connection. Only one goroutine writes to it.
type singleUseConn struct {
	net.Conn
	guard   func() bool // nil: none
	started bool        // a byte may have been written
}

// Write asks the guard before the first byte.
//
// Example: n, err := conn.Write(request)
func (c *singleUseConn) Write(p []byte) (int, error) {
	if !c.started && c.guard != nil && !c.guard() {
		return 0, &notSentError{errs.New(errs.NotExecuted, "its sender may not send it any more")}
	}
	c.started = true
	return c.Conn.Write(p)
}
