package clustersim

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// maxInFlight is the number of sent but unread bytes beyond which a write to a pipe blocks, as with full socket
// buffers.
const maxInFlight = 256 << 10

// pipe carries the bytes of one direction of a connection. While the link is cut, bytes in flight are held back, as
// with TCP retransmission; none are lost or reordered.
type pipe struct {
	cluster  *Cluster
	from, to string // names of the sending and the receiving machine
	delay    time.Duration
	mu       sync.Mutex
	changed  chan struct{} // closed and replaced when the pipe's state changes
	segments []segment
	size     int
	last     time.Time // arrival time of the last segment sent
	fin, rst bool
	closedAt time.Time // arrival time of the FIN or RST
}

// segment holds the bytes of one write and the time at which they reach the receiver.
type segment struct {
	arrival time.Time // time at which the receiver can read data
	data    []byte
}

func (p *pipe) notify() { close(p.changed); p.changed = make(chan struct{}) }

// write sends b. If more than maxInFlight bytes are unread, it sends nothing and returns false and a channel that is
// closed at the next change of the pipe.
func (p *pipe) write(b []byte) (bool, <-chan struct{}) {
	rule, _ := p.cluster.linkRule(p.from, p.to)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.size > maxInFlight {
		return false, p.changed
	}
	at := time.Now().Add(p.delay + rule.Delay)
	if at.Before(p.last) {
		at = p.last
	}
	if rule.BytesPerSecond > 0 {
		at = at.Add(time.Duration(float64(len(b)) / rule.BytesPerSecond * float64(time.Second)))
	}
	p.last = at
	p.segments = append(p.segments, segment{at, append([]byte(nil), b...)})
	p.size += len(b)
	p.notify()
	return true, nil
}

// closeWrite closes the sending side of a pipe: with a FIN, which arrives after the bytes in flight, or with an RST,
// which overtakes them.
func (p *pipe) closeWrite(reset bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.rst || p.fin && !reset {
		return
	}
	p.closedAt = time.Now().Add(p.delay)
	if reset {
		p.rst = true
	} else {
		p.fin = true
		if p.closedAt.Before(p.last) {
			p.closedAt = p.last
		}
	}
	p.notify()
}

// read copies bytes that have arrived to b. If there are none, it returns how long to wait (0: no limit) and the
// channels that are closed when the pipe or the link rules change.
func (p *pipe) read(b []byte) (count int, wait time.Duration, pipeChanged, rulesChanged <-chan struct{}, err error) {
	rule, rules := p.cluster.linkRule(p.from, p.to)
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if rule.Partitioned {
		return 0, 0, p.changed, rules, nil
	}
	if p.rst && !now.Before(p.closedAt) {
		return 0, 0, nil, nil, syscall.ECONNRESET
	}
	if len(p.segments) > 0 {
		first := &p.segments[0]
		if now.Before(first.arrival) {
			return 0, first.arrival.Sub(now), p.changed, rules, nil
		}
		count = copy(b, first.data)
		if first.data = first.data[count:]; len(first.data) == 0 {
			p.segments = p.segments[1:]
		}
		p.size -= count
		p.notify()
		return count, 0, nil, nil, nil
	}
	if p.fin && !now.Before(p.closedAt) {
		return 0, 0, nil, nil, io.EOF
	}
	if p.fin || p.rst {
		wait = p.closedAt.Sub(now)
	}
	return 0, wait, p.changed, rules, nil
}

func (p *pipe) isReset() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rst && !time.Now().Before(p.closedAt)
}

func (p *pipe) hasUnreadData() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.segments) > 0
}

// deadline is a connection's read or write deadline. The channel passed is closed when the deadline expires.
type deadline struct {
	mu     sync.Mutex
	timer  *time.Timer
	passed chan struct{}
}

func (d *deadline) set(until time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.timer != nil {
		d.timer.Stop()
		d.timer = nil
	}
	select {
	case <-d.passed:
		d.passed = make(chan struct{})
	default:
	}
	if until.IsZero() {
		return
	}
	c := d.passed
	closePassed := func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.passed == c { // the deadline was not set again
			select {
			case <-c:
			default:
				close(c)
			}
		}
	}
	if remaining := time.Until(until); remaining > 0 {
		d.timer = time.AfterFunc(remaining, closePassed)
	} else {
		close(c)
	}
}

func (d *deadline) expired() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.passed
}

// conn is one end of a simulated TCP connection.
type conn struct {
	proc                        *proc // process that this end belongs to
	in, out                     *pipe
	local, remote               net.Addr
	readDeadline, writeDeadline deadline
	once                        sync.Once
	closed                      chan struct{}
}

// Read implements net.Conn.
//
// Example: n, err := conn.Read(b)
func (c *conn) Read(b []byte) (int, error) {
	for {
		expired := c.readDeadline.expired()
		if !c.proc.awaitRunning() || isClosed(c.closed) {
			return 0, net.ErrClosed
		}
		if isClosed(expired) {
			return 0, os.ErrDeadlineExceeded
		}
		if len(b) == 0 {
			return 0, nil
		}
		n, wait, changed, rulesChanged, err := c.in.read(b)
		if n > 0 && c.proc == c.proc.cluster.outsideProcess && c.proc.cluster.tamperWithReads != nil {
			n = copy(b, c.proc.cluster.tamperWithReads(b[:n]))
		}
		if n > 0 || err != nil {
			return n, err
		}
		var arrived <-chan time.Time
		var timer *time.Timer
		if wait > 0 {
			timer = time.NewTimer(wait)
			arrived = timer.C
		}
		select {
		case <-changed:
		case <-rulesChanged:
		case <-arrived:
		case <-expired:
		case <-c.closed:
		case <-c.proc.dead:
		}
		if timer != nil {
			timer.Stop()
		}
	}
}

// Write implements net.Conn. It blocks while more than maxInFlight bytes are in flight.
//
// Example: n, err := conn.Write(b)
func (c *conn) Write(b []byte) (int, error) {
	sent := 0
	for sent < len(b) {
		expired := c.writeDeadline.expired()
		switch {
		case !c.proc.awaitRunning() || isClosed(c.closed):
			return sent, net.ErrClosed
		case isClosed(expired):
			return sent, os.ErrDeadlineExceeded
		case c.in.isReset():
			return sent, syscall.EPIPE
		}
		part := b[sent:min(len(b), sent+maxInFlight/4)]
		ok, changed := c.out.write(part)
		if ok {
			sent += len(part)
			continue
		}
		select {
		case <-changed:
		case <-expired:
		case <-c.closed:
		case <-c.proc.dead:
		}
	}
	return sent, nil
}

// Close implements net.Conn. As with TCP, closing a connection with unread bytes resets it.
//
// Example: defer conn.Close()
func (c *conn) Close() error {
	if !c.proc.awaitRunning() {
		return net.ErrClosed
	}
	c.closeWith(c.in.hasUnreadData())
	return nil
}

func (c *conn) closeWith(reset bool) {
	c.once.Do(func() {
		c.proc.removeConn(c)
		close(c.closed)
		c.out.closeWrite(reset)
		c.readDeadline.set(time.Time{})
		c.writeDeadline.set(time.Time{})
	})
}

// LocalAddr implements net.Conn.
//
// Example: conn.LocalAddr().String()
func (c *conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr implements net.Conn.
//
// Example: conn.RemoteAddr().String()
func (c *conn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline implements net.Conn.
//
// Example: conn.SetDeadline(time.Now().Add(time.Second))
func (c *conn) SetDeadline(t time.Time) error {
	c.readDeadline.set(t)
	c.writeDeadline.set(t)
	return nil
}

// SetReadDeadline implements net.Conn.
//
// Example: conn.SetReadDeadline(time.Time{})
func (c *conn) SetReadDeadline(t time.Time) error { c.readDeadline.set(t); return nil }

// SetWriteDeadline implements net.Conn.
//
// Example: conn.SetWriteDeadline(time.Time{})
func (c *conn) SetWriteDeadline(t time.Time) error { c.writeDeadline.set(t); return nil }

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// listener is a simulated TCP listening socket of a process.
type listener struct {
	proc     *proc
	addr     net.Addr
	incoming chan *conn
	once     sync.Once
	closed   chan struct{}
}

// Accept implements net.Listener.
//
// Example: conn, err := listener.Accept()
func (l *listener) Accept() (net.Conn, error) {
	for {
		if !l.proc.awaitRunning() || isClosed(l.closed) {
			return nil, net.ErrClosed
		}
		select {
		case c := <-l.incoming:
			if !l.proc.awaitRunning() {
				return nil, net.ErrClosed
			}
			return c, nil
		case <-l.closed:
		case <-l.proc.dead:
		}
	}
}

// Close implements net.Listener. Connections that were not accepted yet are reset.
//
// Example: defer listener.Close()
func (l *listener) Close() error {
	l.once.Do(func() {
		l.proc.cluster.unlisten(l)
		close(l.closed)
		for {
			select {
			case c := <-l.incoming:
				c.closeWith(true)
			default:
				return
			}
		}
	})
	return nil
}

// Addr implements net.Listener.
//
// Example: listener.Addr().String()
func (l *listener) Addr() net.Addr { return l.addr }
