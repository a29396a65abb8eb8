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

// workerConn is a connection to a worker that one attempt, its holder, uses at a time. It guarantees two things:
// it knows whether any byte of the holder's request may have been sent, and Read never returns a byte that came
// before the first byte of the holder's request was sent.
type workerConn struct {
	net.Conn
	raw     syscall.RawConn // raw access to the socket; nil if Conn isn't a socket
	onClose func()          // function that is called once, at the first Close

	mu            sync.Mutex
	changed       sync.Cond // signaled when closed or reading is set
	closed        bool
	reading       bool // whether a Read is in progress; if so, all bytes received before it have been consumed
	pendingWrites int  // number of Write calls in progress
	wroteBytes    bool // whether the kernel has accepted bytes of the request of the attempt in holder
	holder        any  // the *attempt that uses the connection; nil: idle
	idleTimer     *time.Timer
	keepAlive     time.Duration // how long the worker keeps the connection open while idle
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

// Write writes to the socket and tracks whether the kernel accepted any byte. Once the connection is closed or
// discarded, it fails with net.ErrClosed.
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

// Read reads bytes that the worker sent. Bytes that come while the connection is idle, or before any byte of the
// holder's request was written, are unsolicited: they are dropped and the connection is closed.
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

// readSocket receives bytes and decides in the same critical section whether they are unsolicited. If the two
// steps were separate, an attempt could acquire the connection between them and send its request: it would find
// the socket's receive buffer empty (hasUnreadData) and the connection still open.
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
	case pollErr != nil: // the connection was closed, or its read deadline passed, before any byte came
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

// receive reads from a socket without blocking, and repeats the call if a signal interrupts it (EINTR).
func receive(socket int, p []byte) (int, error) {
	for {
		n, _, err := unix.Recvfrom(socket, p, unix.MSG_DONTWAIT)
		if !errors.Is(err, unix.EINTR) {
			return max(n, 0), err
		}
	}
}

// endRead records that a Read received n bytes, and reports whether they are unsolicited. If so, it marks the
// connection as closed at once, so that no later Write sends anything. The caller holds mu.
func (c *workerConn) endRead(n int) (unsolicited bool) {
	c.reading = false
	unsolicited = n > 0 && (c.holder == nil || !c.wroteBytes && c.pendingWrites == 0)
	c.closed = c.closed || unsolicited
	return unsolicited
}

// Close closes the connection even if an attempt holds it.
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

// acquire makes the given attempt the connection's holder, the only one that may use it.
func (c *workerConn) acquire(holder any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holder, c.wroteBytes = holder, false
	if c.idleTimer != nil {
		c.idleTimer.Stop()
	}
}

// awaitReader waits until net/http reads from a reused connection again or has closed it. net/http may hand out a
// connection while its read buffer still holds surplus bytes after the previous response. It checks the buffer
// before it reads on, and closes the connection if it finds such bytes.
func (c *workerConn) awaitReader() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for !c.reading && !c.closed {
		c.changed.Wait()
	}
}

// withinKeepAlive reports whether the idle time is within the worker's keep-alive time-out. The idle timer alone
// doesn't ensure that: it fires late if the process was suspended (SIGSTOP).
func (c *workerConn) withinKeepAlive(idleTime time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return idleTime <= c.keepAlive
}

// hasUnreadData reports whether the socket has unread bytes, a FIN or a reset pending. After the process was
// suspended (SIGSTOP), these may have come before any reader goroutine runs. For a connection that isn't a
// socket it returns false.
func (c *workerConn) hasUnreadData() (unread bool) {
	if c.raw == nil {
		return false
	}
	err := c.raw.Control(func(fd uintptr) {
		n, _, err := unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		unread = err == nil && n >= 0 || errors.Is(err, unix.ECONNRESET) // n is 0 without an error at the end of the stream
	})
	return unread || err != nil
}

// release makes the connection idle and closes it after keepAlive, unless another attempt acquires it before. If
// another attempt than the given holder already uses the connection, it does nothing.
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
	if idle { // an attempt that acquires the connection at this moment can't write to it any more, and uses another one
		c.Close()
	}
}

// discard closes the connection, and reports whether provably nothing of the holder's request was sent: the kernel
// accepted no byte and will accept none. If another attempt holds the connection by now, discard
// leaves it open and returns false.
func (c *workerConn) discard(holder any) (nothingSent bool) {
	c.mu.Lock()
	if c.holder != holder {
		c.mu.Unlock()
		return false
	}
	c.closed = true
	c.changed.Broadcast()
	nothingSent = !c.wroteBytes && c.pendingWrites == 0
	c.mu.Unlock()
	c.Close()
	return nothingSent
}

// parseKeepAlive returns how long an idle connection may be reused: four fifths of the time-out in the worker's
// Keep-Alive field, so that this node closes it first, or the default if the field gives no time-out.
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
