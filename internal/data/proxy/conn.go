package proxy

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"pebbleloom/internal/daemon"
	"pebbleloom/internal/errs"
)

// connPool holds the connections from this machine to workers.
type connPool struct {
	process   *daemon.Process
	transport *http.Transport
	mu        sync.Mutex
	openConns map[string]int // by worker's address
	idleLimit idleLimit
}

// dialLimits is what a new connection is held to; it goes with the context of the attempt.
type dialLimits struct {
	maxConns int           // connections to one worker
	timeout  time.Duration // until the connection stands
}

type dialLimitsKey struct{}

func newConnPool(l *daemon.Process) *connPool {
	s := &connPool{process: l, openConns: map[string]int{}}
	s.transport = &http.Transport{DialContext: s.dial, DisableCompression: true, MaxIdleConnsPerHost: 1 << 10,
		MaxResponseHeaderBytes: 64 << 10, ReadBufferSize: 4 << 10, WriteBufferSize: 4 << 10}
	return s
}

// dial opens a connection, within this machine's share of what the worker takes.
func (p *connPool) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	d, _ := ctx.Value(dialLimitsKey{}).(dialLimits)
	p.mu.Lock()
	full := d.maxConns > 0 && p.openConns[addr] >= d.maxConns
	if !full {
		p.openConns[addr]++
	}
	p.mu.Unlock()
	if full {
		return nil, errs.New(errs.Overloaded, "%s: %d connections stand, no more are this machine's share", addr, d.maxConns)
	}
	if d.timeout > 0 {
		var stop context.CancelFunc
		ctx, stop = context.WithTimeout(ctx, d.timeout)
		defer stop()
	}
	c, err := p.process.Dial(ctx, network, addr)
	if err != nil {
		p.connClosed(addr)
		return nil, err
	}
	p.setKeepAlive(c)
	return newWorkerConn(c, p.process.Settings.Bounds.Leave(1), func() { p.connClosed(addr) }), nil
}

func (p *connPool) connClosed(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.openConns[addr]--; p.openConns[addr] <= 0 {
		delete(p.openConns, addr)
	}
}

// setKeepAlive sees to it that a machine that has gone dark is noticed while there is nothing to send, too;
// what was sent and isn't acknowledged ends a connection of this world by itself.
func (p *connPool) setKeepAlive(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		b := p.process.Settings.Bounds // where it can't be set, the request's own time is the bound
		_ = t.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: b.Leave(2.0 / 3), Interval: b.Leave(1.0 / 3), Count: 2})
	}
}

// workerConn is one connection to a worker, held by one attempt at a time. It knows whether anything of
// an attempt ever left this machine, and lets no attempt have bytes that came before its own left.
type workerConn struct {
	net.Conn
	onClose func()

	mu            sync.Mutex
	changed       sync.Cond // stopped or reading was set
	closed        bool
	reading       bool // a read is under way: all that came before it was looked at
	pendingWrites int  // writes under way
	wroteBytes    bool // the holder's bytes were taken by the kernel
	owner         any  // nil: none
	idleTimer     *time.Timer
	keepAlive     time.Duration // how long it may lie idle: the worker is sure to keep it so long
	closeOnce     sync.Once
}

func newWorkerConn(c net.Conn, keep time.Duration, shut func()) *workerConn {
	l := &workerConn{Conn: c, onClose: shut, keepAlive: keep}
	l.changed.L = &l.mu
	return l
}

// Write hands bytes to the kernel, unless the connection was stopped before.
func (c *workerConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	c.pendingWrites++
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	c.pendingWrites--
	c.wroteBytes = c.wroteBytes || n > 0
	c.mu.Unlock()
	return n, err
}

// Read takes what the worker sends. What comes while nobody holds the connection, or before a byte of the
// holder's request has left, belongs to no request: the connection ends with it.
func (c *workerConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	c.reading = true
	c.changed.Broadcast()
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	c.reading = false
	stray := n > 0 && (c.owner == nil || !c.wroteBytes && c.pendingWrites == 0)
	c.mu.Unlock()
	if stray {
		c.Close()
		return 0, io.EOF
	}
	return n, err
}

// Close ends the connection.
func (c *workerConn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.changed.Broadcast()
	if c.idleTimer != nil {
		c.idleTimer.Stop()
	}
	c.mu.Unlock()
	c.closeOnce.Do(c.onClose)
	return c.Conn.Close()
}

// acquire makes the connection an attempt's.
func (c *workerConn) acquire(by any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.owner, c.wroteBytes = by, false
	if c.idleTimer != nil {
		c.idleTimer.Stop()
	}
}

// awaitReader waits until a connection that served before is read from again, or has ended: then all that came
// with the answer before has been looked at. net/http hands a connection on while bytes behind that
// answer may still stand in its buffer; it finds them before it reads on, and ends the connection.
func (c *workerConn) awaitReader() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for !c.reading && !c.closed {
		c.changed.Wait()
	}
}

// withinKeepAlive reports whether the worker was sure to keep the connection idle for that long. Its timer may be late:
// the process may have stood still.
func (c *workerConn) withinKeepAlive(age time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return age <= c.keepAlive
}

// hasUnreadData reports whether something has come, bytes or the connection's end, that nobody has read: after a
// pause of the process it stands in the kernel. A connection that can't be asked has nothing.
func (c *workerConn) hasUnreadData() (came bool) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	err = raw.Control(func(fd uintptr) {
		n, _, err := unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		came = err == nil && n >= 0 || errors.Is(err, unix.ECONNRESET) // no byte and no error: its end
	})
	return came || err != nil
}

// release keeps the connection for the next attempt, but no longer than the worker is sure to. The next may
// hold it already.
func (c *workerConn) release(by any, keep time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.owner != by {
		return
	}
	c.owner, c.keepAlive = nil, keep
	if c.idleTimer == nil {
		c.idleTimer = time.AfterFunc(keep, c.closeIfIdle)
	} else {
		c.idleTimer.Reset(keep)
	}
}

func (c *workerConn) closeIfIdle() {
	c.mu.Lock()
	idle := c.owner == nil
	c.mu.Unlock()
	if idle { // taken this very moment: its holder can't send a byte, and takes another
		c.Close()
	}
}

// discard ends the connection for good and reports whether the attempt that held it is proven not to have
// left this machine: no byte was taken by the kernel, and none will be. A connection that another holds
// by now goes on.
func (c *workerConn) discard(by any) (untouched bool) {
	c.mu.Lock()
	if c.owner != by {
		c.mu.Unlock()
		return false
	}
	c.closed = true
	c.changed.Broadcast()
	untouched = !c.wroteBytes && c.pendingWrites == 0
	c.mu.Unlock()
	c.Close()
	return untouched
}

// parseKeepAlive reads how long a worker keeps an idle connection; or is what holds where it says nothing.
func parseKeepAlive(h http.Header, or time.Duration) time.Duration {
	for _, line := range h["Keep-Alive"] {
		for word := range strings.SplitSeq(line, ",") {
			k, v, _ := strings.Cut(strings.TrimSpace(word), "=")
			if n, err := strconv.Atoi(strings.TrimSpace(v)); err == nil && strings.EqualFold(strings.TrimSpace(k), "timeout") && n >= 0 {
				return time.Duration(n) * time.Second * 4 / 5
			}
		}
	}
	return or
}
