package controlstate

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// simNetwork carries the connections between the nodes of a testCluster. Its links can be partitioned in one direction
// or in both. It behaves like TCP: data sent into a partition stays in the sender's buffer and arrives after the
// partition has ended, neither end gets an error, and a connection can be established only if both directions are open.
type simNetwork struct {
	mu          sync.Mutex
	partitioned map[[2]string]bool // partitioned links, by sender and receiver
	changed     chan struct{}      // channel that is closed, and replaced, whenever a partition begins or ends
}

// dialTimeout limits an attempt to connect, like the dial time-out of a process.
const dialTimeout = time.Second

// newSimNetwork returns a network without partitions.
func newSimNetwork() *simNetwork {
	return &simNetwork{partitioned: map[[2]string]bool{}, changed: make(chan struct{})}
}

// update changes the set of partitioned links and wakes the connections that wait for a link.
func (n *simNetwork) update(f func(partitioned map[[2]string]bool)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f(n.partitioned)
	close(n.changed)
	n.changed = make(chan struct{})
}

// heal ends all partitions of the simulated network.
func (n *simNetwork) heal() {
	n.update(func(partitioned map[[2]string]bool) { clear(partitioned) })
}

// isOpen reports whether the link from one address to another is open. The returned channel is closed at the next
// change of any link.
func (n *simNetwork) isOpen(from, to string) (bool, chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.partitioned[[2]string{from, to}], n.changed
}

// dial connects two addresses. It waits until the links in both directions are open.
func (n *simNetwork) dial(ctx context.Context, cluster *testCluster, source, target string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	for {
		outward, changed := n.isOpen(source, target)
		inward, _ := n.isOpen(target, source)
		if outward && inward {
			break
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	outward, inward := newHalfConn(n, source, target), newHalfConn(n, target, source)
	if err := cluster.pipes.Deliver(ctx, target, &netConn{in: outward, out: inward}); err != nil {
		return nil, err
	}
	return &netConn{in: inward, out: outward}, nil
}

// halfConn is one direction of a simulated network connection.
type halfConn struct {
	network        *simNetwork
	from, to       string
	mu             sync.Mutex
	buffer         []byte // data that was sent over the connection and not yet read
	senderClosed   bool
	receiverClosed bool
	deadline       time.Time     // time at which a pending read of the connection fails; zero: never
	changed        chan struct{} // channel that is closed at the next change of the buffer, the deadline or the end of the connection
}

// newHalfConn returns one direction of a new connection.
func newHalfConn(network *simNetwork, from, to string) *halfConn {
	return &halfConn{network: network, from: from, to: to, changed: make(chan struct{})}
}

// update changes the state of one direction of a connection and wakes its readers.
func (h *halfConn) update(f func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f()
	close(h.changed)
	h.changed = make(chan struct{})
}

// read waits until the link is open and there is data, or until the connection ends or the deadline passes.
func (h *halfConn) read(b []byte) (int, error) {
	for {
		open, linksChanged := h.network.isOpen(h.from, h.to)
		h.mu.Lock()
		changed, deadline := h.changed, h.deadline
		switch {
		case h.receiverClosed:
			h.mu.Unlock()
			return 0, net.ErrClosed
		case open && len(h.buffer) > 0:
			n := copy(b, h.buffer)
			h.buffer = h.buffer[n:]
			h.mu.Unlock()
			return n, nil
		case open && h.senderClosed:
			h.mu.Unlock()
			return 0, io.EOF
		}
		h.mu.Unlock()
		var timeout <-chan time.Time
		if !deadline.IsZero() {
			if !time.Now().Before(deadline) {
				return 0, os.ErrDeadlineExceeded
			}
			t := time.NewTimer(time.Until(deadline))
			defer t.Stop()
			timeout = t.C
		}
		select {
		case <-changed:
		case <-linksChanged:
		case <-timeout:
		}
	}
}

// write appends to the buffer of sent and unread data, also while the link is partitioned.
func (h *halfConn) write(b []byte) (int, error) {
	open, _ := h.network.isOpen(h.from, h.to)
	err := error(nil)
	h.update(func() {
		if h.senderClosed || h.receiverClosed && open {
			err = net.ErrClosed
			return
		}
		h.buffer = append(h.buffer, b...)
	})
	if err != nil {
		return 0, err
	}
	return len(b), nil
}

// netConn is one end of a simulated network connection.
type netConn struct{ in, out *halfConn }

func (c *netConn) Read(b []byte) (int, error)  { return c.in.read(b) }
func (c *netConn) Write(b []byte) (int, error) { return c.out.write(b) }
func (c *netConn) Close() error {
	c.in.update(func() { c.in.receiverClosed = true })
	c.out.update(func() { c.out.senderClosed = true })
	return nil
}
func (c *netConn) LocalAddr() net.Addr                  { return &net.TCPAddr{} }
func (c *netConn) RemoteAddr() net.Addr                 { return &net.TCPAddr{} }
func (c *netConn) SetWriteDeadline(time.Time) error     { return nil }
func (c *netConn) SetDeadline(deadline time.Time) error { return c.SetReadDeadline(deadline) }
func (c *netConn) SetReadDeadline(deadline time.Time) error {
	c.in.update(func() { c.in.deadline = deadline })
	return nil
}
