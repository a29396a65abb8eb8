package clientlimit

import (
	"bytes"
	"container/list"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"pebbleloom/internal/clock"
)

// Memory of a request's header beyond net/http's read buffer: the values, their copies while they are parsed, and the tables
// of fields that are received and forwarded.
const (
	headerByteCost  = 3
	headerFieldCost = 384
)

// readBufferBytes is the size of net/http's read buffer: as many bytes behind a header may be read with it.
const readBufferBytes = 4 << 10

// backgroundReadBytes is the size of the reads by which net/http notices that a client has left while a handler runs. Such a
// read may begin before the handler does, and mustn't be taken for one of a header: the request is complete, and a refusal
// would be a false promise.
const backgroundReadBytes = 1

// refusalWriteTimeout bounds the writing of a refusal. It is short because the send buffer of the connection is empty.
const refusalWriteTimeout = 100 * time.Millisecond

// pastTime is a deadline in the past: setting it makes pending reads fail at once.
var pastTime = time.Unix(1, 0)

// phase is what a connection does at present.
type phase int

const (
	awaitingRequest phase = iota // no byte of the next request has come
	readingHeader                // a new connection, or the header of a request is being read
	readingBody                  // the handler runs, and the body isn't read completely
	serving                      // the request was read completely
)

// Conn is a connection that a Listener has accepted. It applies the listener's limits to what its client sends and how long
// that takes, and bounds the time for which a client may take none of the bytes that are sent to it.
type Conn struct {
	net.Conn
	listener    *Listener
	reservation *Reservation
	position    *list.Element // position in Listener.waiting, guarded by Listener.mu; nil if the connection doesn't wait for its client

	mu               sync.Mutex // guards the fields below
	phase            phase
	phaseStart       time.Duration // by the process clock
	headerBytes      int           // bytes read in the phase readingHeader
	handlerRuns      bool          // whether a handler runs, which releases the memory of its request itself
	aborted          bool          // whether reading was ended for good
	hasWriteDeadline bool          // whether the handler or net/http has set a write deadline
	writeStart       time.Duration // when the write in progress began, by the process clock
	isWriting        bool
}

func newConn(conn net.Conn, listener *Listener) *Conn {
	c := &Conn{Conn: conn, listener: listener, phase: readingHeader, phaseStart: listener.config.Clock.Now()}
	c.reservation = listener.config.Budget.NewReservation(c.abort)
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

// Read reads from the client. Between requests and during a header it applies the limits of the listener; if one is
// exceeded, it answers with a refusal and returns io.EOF.
//
// Example: n, err := conn.Read(buffer)
func (c *Conn) Read(buffer []byte) (received int, err error) {
	if len(buffer) == backgroundReadBytes {
		return c.Conn.Read(buffer)
	}
	if !c.prepareRead() {
		return 0, io.EOF
	}
	received, err = c.Conn.Read(buffer)
	if received == 0 {
		c.refuseAbortedHeader()
		return received, err
	}
	if status := c.account(buffer[:received]); status != 0 {
		c.listener.refused.Add(1)
		writeRefusal(c.Conn, status)
		return 0, io.EOF
	}
	return received, err
}

// refuseAbortedHeader answers a client whose header was aborted.
func (c *Conn) refuseAbortedHeader() {
	c.mu.Lock()
	refuse := c.aborted && c.phase == readingHeader && c.headerBytes > 0
	c.mu.Unlock()
	if refuse {
		writeRefusal(c.Conn, http.StatusServiceUnavailable)
	}
}

// prepareRead sets the read deadline of the present phase. It returns false if the reading was aborted.
func (c *Conn) prepareRead() bool {
	limits := c.listener.config.Header()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.aborted {
		return false
	}
	timeout := limits.Timeout
	switch c.phase {
	case awaitingRequest:
		timeout = limits.IdleTimeout
	case readingBody, serving:
		return true
	}
	elapsed := c.listener.config.Clock.Now() - c.phaseStart
	_ = c.Conn.SetReadDeadline(clock.Deadline(timeout - elapsed))
	return true
}

// account takes bytes into account that were read into net/http's buffer, before they are passed on to be parsed. It returns
// the status of the refusal if they exceed a limit, else 0.
func (c *Conn) account(received []byte) (status int) {
	c.mu.Lock()
	current := c.phase
	isFirst := current == awaitingRequest || current == readingHeader && c.headerBytes == 0
	if isFirst {
		c.phase, c.phaseStart, c.headerBytes = readingHeader, c.listener.config.Clock.Now(), 0
	}
	if c.phase == readingHeader {
		c.headerBytes += len(received)
	}
	headerBytes := c.headerBytes
	c.mu.Unlock()
	switch {
	case current == serving:
		return 0
	case current == readingBody:
		c.reservation.Received(len(received))
		return 0
	case isFirst:
		c.listener.startWaiting(c)
		c.reservation.StartReading()
	default:
		c.reservation.Received(len(received))
	}
	if headerBytes > c.listener.config.Header().Bytes+readBufferBytes {
		return http.StatusRequestHeaderFieldsTooLarge
	}
	fields := bytes.Count(received, []byte{'\n'})
	if c.reservation.Grow(int64(headerByteCost*len(received)+headerFieldCost*fields)) != nil {
		return http.StatusServiceUnavailable
	}
	return 0
}

// startRequest begins the phase in which the handler runs.
func (c *Conn) startRequest() {
	c.mu.Lock()
	c.phase, c.handlerRuns = readingBody, true
	if !c.aborted {
		_ = c.Conn.SetReadDeadline(c.bodyDeadline())
	}
	c.mu.Unlock()
	c.reservation.StartReading() // again, because a pipelined header may have been read together with the request before it
}

// bodyDeadline returns the deadline for the body of a request whose header has just come; the zero time if there is none.
func (c *Conn) bodyDeadline() time.Time {
	if timeout := c.listener.config.BodyTimeout; timeout > 0 {
		return clock.Deadline(timeout)
	}
	return time.Time{}
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
	if !c.listener.stopWaiting(c) || !c.reservation.FinishReading() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = serving
	if c.listener.config.BodyTimeout > 0 && !c.aborted {
		_ = c.Conn.SetReadDeadline(time.Time{})
	}
	return true
}

// becomeIdle begins the wait for the next request.
func (c *Conn) becomeIdle() {
	c.mu.Lock()
	c.phase, c.phaseStart, c.headerBytes = awaitingRequest, c.listener.config.Clock.Now(), 0
	c.mu.Unlock()
	c.listener.startWaiting(c)
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
// Example: err := conn.SetReadDeadline(clock.Deadline(time.Second))
func (c *Conn) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.aborted {
		return nil
	}
	return c.Conn.SetReadDeadline(deadline)
}

// SetWriteDeadline sets the write deadline. The zero time restores the default, by which a client has to take each write
// within HeaderLimits.IdleTimeout.
//
// Example: err := conn.SetWriteDeadline(time.Time{})
func (c *Conn) SetWriteDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hasWriteDeadline = !deadline.IsZero()
	return c.Conn.SetWriteDeadline(deadline)
}

// Write sends bytes to the client.
//
// Example: n, err := conn.Write(response)
func (c *Conn) Write(response []byte) (int, error) {
	timeout := c.listener.config.Header().IdleTimeout
	c.mu.Lock()
	if !c.hasWriteDeadline {
		_ = c.Conn.SetWriteDeadline(clock.Deadline(timeout))
	}
	c.isWriting, c.writeStart = true, c.listener.config.Clock.Now()
	c.mu.Unlock()
	n, err := c.Conn.Write(response)
	c.mu.Lock()
	c.isWriting = false
	c.mu.Unlock()
	return n, err
}

// writeBlocked returns for how long a write has been in progress.
func (c *Conn) writeBlocked() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isWriting {
		return 0
	}
	return c.listener.config.Clock.Now() - c.writeStart
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

// Close closes the connection. Unless a handler runs, it releases what the request has reserved. net/http calls it again
// after the last read, so that nothing stays reserved if the listener has closed the connection for another one.
//
// Example: defer conn.Close()
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.listener.remove(c)
	c.mu.Lock()
	handlerRuns := c.handlerRuns
	c.mu.Unlock()
	if !handlerRuns {
		c.reservation.Release()
	}
	return err
}

// refuse answers the present request, whose handler has not answered it yet, with status 503, and ends the connection's
// reading. What the handler answers doesn't reach the client any more.
func (c *Conn) refuse() {
	c.listener.refused.Add(1)
	writeRefusal(c.Conn, http.StatusServiceUnavailable)
	_ = c.CloseWrite()
	c.abort()
}

// writeRefusal answers a client whose request isn't read. The request has not run.
func writeRefusal(conn net.Conn, status int) {
	reason, retryAfter := http.StatusText(status), ""
	if status == http.StatusServiceUnavailable {
		retryAfter = "Retry-After: 1\r\n"
	}
	response := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\n%sConnection: close\r\n\r\n%s\n",
		status, reason, len(reason)+1, retryAfter, reason)
	_ = conn.SetWriteDeadline(clock.Deadline(refusalWriteTimeout))
	_, _ = io.WriteString(conn, response)
}
