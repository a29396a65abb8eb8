package clientlimit

import (
	"context"
	"io"
	"net"
	"sync"
	"time"
)

// pastTime is a deadline in the past: setting it makes pending reads fail at once.
var pastTime = time.Unix(1, 0)

// Conn is a connection that a Listener has accepted. Its reading can be
// ended if others need the memory of its request.
type Conn struct {
	net.Conn
	reservation *Reservation

	mu          sync.Mutex // guards the fields below
	handlerRuns bool       // whether a handler runs, which releases the memory of its request itself
	aborted     bool       // whether reading was ended for good
}

func newConn(conn net.Conn, budget *Budget) *Conn {
	c := &Conn{Conn: conn}
	c.reservation = budget.NewReservation(c.abort)
	return c
}

type connKey struct{}

// FromContext returns the connection of a request from the request's context; nil if the request's server has no Listener.
//
// Example: conn := clientlimit.FromContext(request.Context())
func FromContext(ctx context.Context) *Conn {
	conn, _ := ctx.Value(connKey{}).(*Conn)
	return conn
}

// Reservation returns the memory that the present request has reserved. It is released when the request's handler returns.
//
// Example: err := conn.Reservation().Grow(bytes)
func (c *Conn) Reservation() *Reservation { return c.reservation }

// Read reads from the client. If the reading was aborted, it returns io.EOF.
//
// Example: n, err := conn.Read(buffer)
func (c *Conn) Read(buffer []byte) (n int, err error) {
	if c.isAborted() {
		return 0, io.EOF
	}
	n, err = c.Conn.Read(buffer)
	if n > 0 {
		c.reservation.Received(n)
	}
	return n, err
}

func (c *Conn) isAborted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.aborted
}

// startRequest records that the handler runs, which reads the body.
func (c *Conn) startRequest() {
	c.mu.Lock()
	c.handlerRuns = true
	c.mu.Unlock()
	c.reservation.StartReading()
}

// endRequest releases the memory of a request whose handler has returned.
func (c *Conn) endRequest() {
	c.mu.Lock()
	c.handlerRuns = false
	c.mu.Unlock()
	c.reservation.Release()
}

// FinishReading records that the request was read completely, so that it isn't ended for others any more. It returns false
// if that has happened already.
//
// Example: if !conn.FinishReading() { reject() }
func (c *Conn) FinishReading() bool {
	return c.reservation.FinishReading()
}

// abort ends the reading of the present request, whose memory others need.
func (c *Conn) abort() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.aborted = true
	_ = c.Conn.SetReadDeadline(pastTime)
}

// SetReadDeadline sets the read deadline, unless the reading was aborted.
//
// Example: err := conn.SetReadDeadline(deadline)
func (c *Conn) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.aborted {
		return nil
	}
	return c.Conn.SetReadDeadline(deadline)
}

// CloseWrite closes the sending direction, if the connection has separate directions.
//
// Example: err := conn.CloseWrite()
func (c *Conn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}

// Close closes the connection. Unless a handler runs, it releases what the request has reserved.
//
// Example: defer conn.Close()
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.mu.Lock()
	handlerRuns := c.handlerRuns
	c.mu.Unlock()
	if !handlerRuns {
		c.reservation.Release()
	}
	return err
}
