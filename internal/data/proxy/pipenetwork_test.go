package proxy

import (
	"context"
	"net"
	"sync"
	"syscall"
)

// pipeNetwork connects the proxy under test to its clients and workers by in-memory pipes: unlike sockets, these work
// inside a synctest bubble.
type pipeNetwork struct {
	mu        sync.Mutex
	listeners map[string]*pipeListener
	dials     map[string]int
}

type pipeListener struct {
	network *pipeNetwork
	addr    string
	accepts chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepts:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() {
		l.network.mu.Lock()
		delete(l.network.listeners, l.addr)
		l.network.mu.Unlock()
		close(l.closed)
	})
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (n *pipeNetwork) Listen(addr string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := &pipeListener{network: n, addr: addr, accepts: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[addr] = s
	return s, nil
}

func (n *pipeNetwork) Dial(ctx context.Context, _, addr string) (net.Conn, error) {
	n.mu.Lock()
	s := n.listeners[addr]
	n.dials[addr]++
	n.mu.Unlock()
	if s == nil {
		return nil, syscall.ECONNREFUSED
	}
	near, far := net.Pipe()
	select {
	case s.accepts <- far:
		return near, nil
	case <-s.closed:
		return nil, syscall.ECONNREFUSED
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
