package proxy

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// workerConn is a connection to a worker, held by one attempt at a time. Two invariants hold: it knows
// whether any byte of its holder may have left this node, and it passes on no byte that came before the
// first of them.
type workerConn struct {
	net.Conn
	raw     syscall.RawConn // of a socket; nil: the connection isn't one
	onClose func()          // called once

	mu            sync.Mutex
	changed       sync.Cond // closed or reading was set
	closed        bool
	reading       bool // a Read is in progress: everything that came before it was looked at
	pendingWrites int  // Writes in progress
	wroteBytes    bool // the kernel has accepted bytes of the holder
	holder        any  // the *attempt; nil: idle
	idleTimer     *time.Timer
	keepAlive     time.Duration // how long the worker is sure to keep it open while idle
	closeOnce     sync.Once
}

func newWorkerConn(conn net.Conn, keepAlive time.Duration, onClose func()) *workerConn {
	c := &workerConn{Conn: conn, onClose: onClose, keepAlive: keepAlive}
	c.changed.L = &c.mu
	if socket, ok := conn.(syscall.Conn); ok {
		c.raw, _ = socket.SyscallConn()
	}
	return c
}

// Write hands bytes to the kernel. After the connection was closed or discarded it writes none.
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

// Read reads what the worker sends. Bytes that come while the connection is idle, or before a byte of the
// holder's request has left, belong to no request: they end the connection.
func (c *workerConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	c.reading = true
	c.changed.Broadcast()
	c.mu.Unlock()
	if c.raw != nil {
		return c.readSocket(p)
	}
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	unsolicited := c.endRead(n)
	c.mu.Unlock()
	if unsolicited {
		c.Close()
		return 0, io.EOF
	}
	return n, err
}

// readSocket takes bytes from the kernel and decides whom they belong to in one critical section. Otherwise an
// attempt could acquire the connection and send its request between the two, and find neither the bytes in the
// kernel (hasUnreadData) nor the connection closed.
func (c *workerConn) readSocket(p []byte) (received int, err error) {
	unsolicited := false
	pollErr := c.raw.Read(func(fd uintptr) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		received, err = receive(int(fd), p)
		if errors.Is(err, unix.EAGAIN) {
			return false
		}
		unsolicited = c.endRead(received)
		return true
	})
	switch {
	case pollErr != nil: // closed, or past a deadline, before anything came
		c.mu.Lock()
		c.reading = false
		c.mu.Unlock()
		return 0, pollErr
	case unsolicited:
		c.Close()
		return 0, io.EOF
	case err != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError("recvfrom", err)}
	case received == 0:
		return 0, io.EOF
	}
	return received, nil
}

// receive reads from a socket without blocking, as often as a signal interrupts it.
func receive(socket int, p []byte) (int, error) {
	for {
		n, _, err := unix.Recvfrom(socket, p, unix.MSG_DONTWAIT)
		if !errors.Is(err, unix.EINTR) {
			return max(n, 0), err
		}
	}
}

// endRead notes that a Read has taken n bytes, and reports whether they belong to no request. Then the connection
// counts as closed at once: no later Write sends on it. The caller holds mu.
func (c *workerConn) endRead(n int) (unsolicited bool) {
	c.reading = false
	unsolicited = n > 0 && (c.holder == nil || !c.wroteBytes && c.pendingWrites == 0)
	c.closed = c.closed || unsolicited
	return unsolicited
}

// Close closes the connection, whoever holds it.
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

// acquire makes an attempt the connection's holder.
func (c *workerConn) acquire(holder any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holder, c.wroteBytes = holder, false
	if c.idleTimer != nil {
		c.idleTimer.Stop()
	}
}

// awaitReader waits until a reused connection is read from again or has been closed: then everything that
// came with the response before has been looked at. net/http may hand out a connection while its buffer
// still holds bytes behind that response; it finds them before it reads on, and closes the connection.
func (c *workerConn) awaitReader() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for !c.reading && !c.closed {
		c.changed.Wait()
	}
}

// withinKeepAlive reports whether the worker was sure to keep the connection open while it was idle so long.
// The idle timer alone doesn't ensure it: after a stop of the process it fires late.
func (c *workerConn) withinKeepAlive(idleTime time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return idleTime <= c.keepAlive
}

// hasUnreadData reports whether the kernel holds bytes, or the connection's end, that weren't read yet: after
// a stop of the process they may have come before any reader runs. Of a connection that isn't a socket it
// reports false.
func (c *workerConn) hasUnreadData() (unread bool) {
	if c.raw == nil {
		return false
	}
	err := c.raw.Control(func(fd uintptr) {
		n, _, err := unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		unread = err == nil && n >= 0 || errors.Is(err, unix.ECONNRESET) // no byte and no error: the end
	})
	return unread || err != nil
}

// release makes the connection idle, and closes it after keepAlive unless another attempt acquires it. It
// does nothing if the connection has another holder already.
func (c *workerConn) release(holder any, keepAlive time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.holder != holder {
		return
	}
	c.holder, c.keepAlive = nil, keepAlive
	if c.idleTimer == nil {
		c.idleTimer = time.AfterFunc(keepAlive, c.closeIfIdle)
	} else {
		c.idleTimer.Reset(keepAlive)
	}
}

func (c *workerConn) closeIfIdle() {
	c.mu.Lock()
	idle := c.holder == nil
	c.mu.Unlock()
	if idle { // if it is acquired just now, its holder can't write a byte, and takes another connection
		c.Close()
	}
}

// discard closes the connection, and reports whether the holder is proven not to have sent anything: the
// kernel accepted no byte, and will accept none. If another attempt holds the connection by now, it stays
// open, and nothing is proven.
func (c *workerConn) discard(holder any) (untouched bool) {
	c.mu.Lock()
	if c.holder != holder {
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

// parseKeepAlive returns how long a worker is sure to keep an idle connection open: four fifths of the
// time-out that its Keep-Alive field gives, or the default if that gives none.
func parseKeepAlive(header http.Header, defaultKeepAlive time.Duration) time.Duration {
	for _, line := range header["Keep-Alive"] {
		for parameter := range strings.SplitSeq(line, ",") {
			name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
			if !strings.EqualFold(strings.TrimSpace(name), "timeout") {
				continue
			}
			if seconds, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && seconds >= 0 {
				return time.Duration(seconds) * time.Second * 4 / 5
			}
		}
	}
	return defaultKeepAlive
}
