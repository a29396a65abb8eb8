package backend

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"pebbleloom/internal/errs"
)

// Dial opens a connection, as net.Dialer does.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// notSentError marks the error of a call of which no byte has left.
type notSentError struct{ error }

func (e *notSentError) Unwrap() error { return e.error }

// NotSent tells whether a failed call surely never reached the other side: it had no connection, or
// its guard let no byte of it leave.
//
// Example: if backend.NotSent(err) { tryElsewhere() }
func NotSent(err error) bool {
	var e *notSentError
	return errors.As(err, &e)
}

// guardKey finds a call's guard in its context.
type guardKey struct{}

// WithGuard gives a context for a call of a single-use client: right before its first byte leaves the
// guard is asked, and where it says no, none does. A process that stood still comes there late,
// before any of its timers has run.
//
// Example: ctx = backend.WithGuard(ctx, leaseHeld)
func WithGuard(ctx context.Context, guard func() bool) context.Context {
	return context.WithValue(ctx, guardKey{}, guard)
}

// NewHTTPClient makes a client that has at most so many connections to one address (0: any number), and
// keeps as many idle ones for later calls. It follows no redirect: an answer that names another
// address is an answer like any other.
//
// Example: reports := backend.NewHTTPClient(life.Dial, 2, 0)
func NewHTTPClient(dial Dial, idle, most int) *http.Client {
	return &http.Client{CheckRedirect: noRedirect, Transport: &http.Transport{DialContext: markNotSent(dial), DisableCompression: true,
		MaxIdleConnsPerHost: idle, MaxConnsPerHost: most, IdleConnTimeout: idleTimeout}}
}

// idleTimeout ends a connection that no call has taken up again for so long.
const idleTimeout = 30 * time.Second

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

func markNotSent(dial Dial) Dial {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, &notSentError{err}
		}
		return c, nil
	}
}

// NewSingleUseHTTPClient makes a client for calls whose answers bear no id and that may take effect only
// once: orders. Each call has a connection of its own, so that no answer of an earlier call can be
// taken for this one's, and net/http has no reused connection on which it would send a call again.
// What the kernel hasn't delivered when a call is given up is discarded.
//
// Example: orders := backend.NewSingleUseHTTPClient(life.Dial)
func NewSingleUseHTTPClient(dial Dial) *http.Client {
	dial = markNotSent(dial)
	return &http.Client{CheckRedirect: noRedirect, Transport: singleUse{&http.Transport{
		DisableKeepAlives: true, DisableCompression: true,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := dial(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			if t, ok := c.(*net.TCPConn); ok {
				_ = t.SetLinger(0) // where it can't be set, the receiver's own check of the order has to do
			}
			guard, _ := ctx.Value(guardKey{}).(func() bool)
			return &singleUseConn{Conn: c, guard: guard}, nil
		}}}}
}

type singleUse struct{ *http.Transport }

// RoundTrip makes one call. Without a body that can be read again net/http never sends it twice.
//
// Example: resp, err := singleUse{transport}.RoundTrip(request)
func (s singleUse) RoundTrip(q *http.Request) (*http.Response, error) {
	q = q.WithContext(q.Context())
	q.GetBody = nil
	return s.Transport.RoundTrip(q)
}

// singleUseConn is one call's connection. One thread writes to it.
type singleUseConn struct {
	net.Conn
	guard   func() bool // nil: none
	started bool
}

// Write asks the guard before the first byte.
//
// Example: n, err := c.Write(request)
func (c *singleUseConn) Write(p []byte) (int, error) {
	if !c.started && c.guard != nil && !c.guard() {
		return 0, &notSentError{errs.New(errs.NotExecuted, "its sender may not send it any more")}
	}
	c.started = true
	return c.Conn.Write(p)
}
