package proxy

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"pebbleloom/internal/daemon"
	"pebbleloom/internal/errs"
)

// Settings of the HTTP transport, in bytes but for the number of connections.
const (
	maxIdleConnsPerWorker  = 1 << 10 // above any share of a worker's connections: idle ones end by their keep-alive time
	maxResponseHeaderBytes = 64 << 10
	connBufferBytes        = 4 << 10
)

// TCP keep-alive probes, as ratios of the bound on leaving workers (Bounds.LeaveMs).
const (
	tcpKeepAliveIdleRatio     = 2.0 / 3
	tcpKeepAliveIntervalRatio = 1.0 / 3
	tcpKeepAliveCount         = 2
)

// connPool holds the connections from this node to the workers.
type connPool struct {
	process   *daemon.Process
	transport *http.Transport
	idleLimit idleLimit
	mu        sync.Mutex
	openConns map[string]int // by the worker's address; also those being dialed
}

// dialLimits bounds a new connection. It is passed in the context of the attempt that needs one.
type dialLimits struct {
	maxConns int           // to one worker; 0: no limit
	timeout  time.Duration // of connecting; 0: that of the context
}

type dialLimitsKey struct{}

func newConnPool(process *daemon.Process) *connPool {
	p := &connPool{process: process, openConns: map[string]int{}}
	p.transport = &http.Transport{
		DialContext:            p.dial,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdleConnsPerWorker,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		ReadBufferSize:         connBufferBytes,
		WriteBufferSize:        connBufferBytes,
	}
	return p
}

// dial opens a connection to a worker. It fails with errs.Overloaded if this node's share of the worker's
// connections is in use.
func (p *connPool) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	limits, _ := ctx.Value(dialLimitsKey{}).(dialLimits)
	if !p.reserve(addr, limits.maxConns) {
		return nil, errs.New(errs.Overloaded, "%s: all %d connections that are this node's share are in use", addr, limits.maxConns)
	}
	if limits.timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, limits.timeout)
		defer cancel()
	}
	conn, err := p.process.Dial(ctx, network, addr)
	if err != nil {
		p.connClosed(addr)
		return nil, err
	}
	p.setKeepAlive(conn)
	return newWorkerConn(conn, p.process.Settings.Bounds.Leave(1), func() { p.connClosed(addr) }), nil
}

// reserve counts a connection to a worker; false if there are as many already as there may be.
func (p *connPool) reserve(addr string, maxConns int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if maxConns > 0 && p.openConns[addr] >= maxConns {
		return false
	}
	p.openConns[addr]++
	return true
}

func (p *connPool) connClosed(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.openConns[addr]--; p.openConns[addr] <= 0 {
		delete(p.openConns, addr)
	}
}

// setKeepAlive has the kernel probe the connection, so that a dead machine is noticed also while nothing is
// sent; for bytes that were sent and aren't acknowledged the dialer has set TCP_USER_TIMEOUT. Where keep-alive
// can't be set, the request's own deadline is the bound.
func (p *connPool) setKeepAlive(conn net.Conn) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	bounds := p.process.Settings.Bounds
	_ = tcp.SetKeepAliveConfig(net.KeepAliveConfig{
		Enable:   true,
		Idle:     bounds.Leave(tcpKeepAliveIdleRatio),
		Interval: bounds.Leave(tcpKeepAliveIntervalRatio),
		Count:    tcpKeepAliveCount,
	})
}
