package controlstate

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// network carries the connections of a ground's machines, and can be cut in one direction or both.
// As with TCP, what is sent into a cut waits in the sender's buffer and arrives after it; nobody is
// told that it doesn't arrive; and a new connection needs both directions.
type network struct {
	mu      sync.Mutex
	cut     map[[2]string]bool // from, to
	changed chan struct{}      // closed whenever a cut begins or ends
}

// dialTimeout ends a try to connect, as that of a place's dialer does.
const dialTimeout = time.Second

func newNetwork() *network {
	return &network{cut: map[[2]string]bool{}, changed: make(chan struct{})}
}

func (n *network) set(f func(cut map[[2]string]bool)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f(n.cut)
	close(n.changed)
	n.changed = make(chan struct{})
}

// open tells whether packets get from one address to another, and gives the channel to wait on.
func (n *network) open(from, to string) (bool, chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.cut[[2]string{from, to}], n.changed
}

func (n *network) dial(ctx context.Context, g *ground, from, to string) (net.Conn, error) {
	ctx, end := context.WithTimeout(ctx, dialTimeout)
	defer end()
	for {
		out, changed := n.open(from, to)
		back, _ := n.open(to, from)
		if out && back {
			break
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	g.mu.Lock()
	p := g.doors[to]
	g.mu.Unlock()
	if p == nil {
		return nil, errors.New("connection refused")
	}
	there, back := newHalf(n, from, to), newHalf(n, to, from)
	select {
	case p.c <- &netConn{in: there, out: back}:
		return &netConn{in: back, out: there}, nil
	case <-p.end:
		return nil, errors.New("connection refused")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// half is one direction of a connection.
type half struct {
	net      *network
	from, to string
	mu       sync.Mutex
	bytes    []byte
	ended    bool // the sender has closed it
	left     bool // the receiver has closed it
	deadline time.Time
	changed  chan struct{}
}

func newHalf(n *network, from, to string) *half {
	return &half{net: n, from: from, to: to, changed: make(chan struct{})}
}

func (h *half) change(f func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f()
	close(h.changed)
	h.changed = make(chan struct{})
}

func (h *half) read(b []byte) (int, error) {
	for {
		open, healed := h.net.open(h.from, h.to)
		h.mu.Lock()
		changed, deadline := h.changed, h.deadline
		switch {
		case h.left:
			h.mu.Unlock()
			return 0, net.ErrClosed
		case open && len(h.bytes) > 0:
			n := copy(b, h.bytes)
			h.bytes = h.bytes[n:]
			h.mu.Unlock()
			return n, nil
		case open && h.ended:
			h.mu.Unlock()
			return 0, io.EOF
		}
		h.mu.Unlock()
		var over <-chan time.Time
		if !deadline.IsZero() {
			if !time.Now().Before(deadline) {
				return 0, os.ErrDeadlineExceeded
			}
			t := time.NewTimer(time.Until(deadline))
			defer t.Stop()
			over = t.C
		}
		select {
		case <-changed:
		case <-healed:
		case <-over:
		}
	}
}

func (h *half) write(b []byte) (int, error) {
	open, _ := h.net.open(h.from, h.to)
	err := error(nil)
	h.change(func() {
		if h.ended || h.left && open {
			err = net.ErrClosed
			return
		}
		h.bytes = append(h.bytes, b...)
	})
	if err != nil {
		return 0, err
	}
	return len(b), nil
}

// netConn is one end of a connection.
type netConn struct{ in, out *half }

func (c *netConn) Read(b []byte) (int, error)  { return c.in.read(b) }
func (c *netConn) Write(b []byte) (int, error) { return c.out.write(b) }
func (c *netConn) Close() error {
	c.in.change(func() { c.in.left = true })
	c.out.change(func() { c.out.ended = true })
	return nil
}
func (c *netConn) LocalAddr() net.Addr              { return &net.TCPAddr{} }
func (c *netConn) RemoteAddr() net.Addr             { return &net.TCPAddr{} }
func (c *netConn) SetWriteDeadline(time.Time) error { return nil }
func (c *netConn) SetDeadline(t time.Time) error    { return c.SetReadDeadline(t) }
func (c *netConn) SetReadDeadline(t time.Time) error {
	c.in.change(func() { c.in.deadline = t })
	return nil
}
