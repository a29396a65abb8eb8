// Package pipes connects the processes of a simulated site by in-memory pipes. Unlike sockets, these work inside a
// synctest bubble.
package pipes

import (
	"context"
	"net"
	"sync"
	"syscall"
)

// Network has the listeners of a site's machines, by address. All methods are safe for concurrent use.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
}

// NewNetwork returns a network without listeners.
//
// Example: environment.Listen = pipes.NewNetwork().Listen
func NewNetwork() *Network { return &Network{listeners: map[string]*listener{}} }

// listener accepts the connections to one address.
type listener struct {
	network *Network
	addr    string
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

// Listen accepts connections to an address. A listener of the same address that is still open gets no more of them.
//
// Example: listener, err := network.Listen("10.0.0.1:7360")
func (n *Network) Listen(addr string) (net.Listener, error) {
	opened := &listener{network: n, addr: addr, conns: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[addr] = opened
	return opened, nil
}

// Dial connects to an address. Without a listener there the connection is refused. The name of the network is ignored.
//
// Example: conn, err := network.Dial(ctx, "tcp", "10.0.0.1:7360")
func (n *Network) Dial(ctx context.Context, _, addr string) (net.Conn, error) {
	near, far := net.Pipe()
	if err := n.Deliver(ctx, addr, far); err != nil {
		return nil, err
	}
	return near, nil
}

// Deliver has the listener of an address accept the far end of a connection that the caller has made, such as one that
// loses data. Without a listener there it returns an error that says that the connection is refused.
//
// Example: err := network.Deliver(ctx, "10.0.0.1:7360", lossy(far))
func (n *Network) Deliver(ctx context.Context, addr string, far net.Conn) error {
	refused := &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	n.mu.Lock()
	found := n.listeners[addr]
	n.mu.Unlock()
	if found == nil {
		return refused
	}
	select {
	case found.conns <- far:
		return nil
	case <-found.closed:
		return refused
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Accept waits for the next connection.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close refuses all later connections.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		if l.network.listeners[l.addr] == l {
			delete(l.network.listeners, l.addr)
		}
	})
	return nil
}

// Addr returns an empty address, since pipes have none.
func (l *listener) Addr() net.Addr { return &net.TCPAddr{} }
