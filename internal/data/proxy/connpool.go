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

// Settings of the http.Transport for connections to the workers.
const (
	maxIdleConnsPerWorker  = 1 << 10 // limit on idle connections to one worker; more than an edge node may open, so that only the keep-alive time-out closes them
	maxResponseHeaderBytes = 64 << 10
	connBufferBytes        = 4 << 10
)

// TCP keep-alive settings of connections to workers. The times are fractions of Bounds.LeaveMs, the time within which
// a worker that left stops getting requests.
const (
	tcpKeepAliveIdleRatio     = 2.0 / 3
	tcpKeepAliveIntervalRatio = 1.0 / 3
	tcpKeepAliveCount         = 2
)

// connPool manages the connections from this edge node to the workers, and limits their number per worker.
type connPool struct {
	process   *daemon.Process
	transport *http.Transport
	idleLimit idleLimit
	maxOpen   int // limit on connections to all workers together; 0: not limited
	mu        sync.Mutex
	openConns map[string]int // number of connections by worker address, including those being dialed
	open      int            // sum of openConns
}

// dialLimits limits the dialing of a new connection. It is passed to the dialer in the attempt's context.
type dialLimits struct {
	maxConns int           // maximum number of connections from this edge node to the worker; 0: no limit
	timeout  time.Duration // time-out of the dial; 0: only the context's deadline applies
}

type dialLimitsKey struct{}

func newConnPool(process *daemon.Process) *connPool {
	p := &connPool{process: process, maxOpen: process.Settings.Site.Descriptors(workerDescriptorRatio), openConns: map[string]int{}}
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

// dial opens a connection to a worker. It fails with errs.Overloaded if this edge node already has its share of the
// worker's connections (dialLimits.maxConns) open, or the connections to all workers that its descriptors allow even
// without idle ones.
func (p *connPool) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	limits, _ := ctx.Value(dialLimitsKey{}).(dialLimits)
	if p.isFull() {
		p.transport.CloseIdleConnections()
	}
	if !p.reserve(addr, limits.maxConns) {
		return nil, errs.New(errs.Overloaded, "dial worker %s: this edge node already has its share of the worker's %d connections, or of its own descriptors, open", addr, limits.maxConns)
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

// isFull reports whether the limit on connections to all workers is reached.
func (p *connPool) isFull() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.maxOpen > 0 && p.open >= p.maxOpen
}

// reserve counts a new connection to a worker. If maxConns connections to it, or the limit of all workers, are open already,
// it returns false.
func (p *connPool) reserve(addr string, maxConns int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if maxConns > 0 && p.openConns[addr] >= maxConns || p.maxOpen > 0 && p.open >= p.maxOpen {
		return false
	}
	p.openConns[addr]++
	p.open++
	return true
}

func (p *connPool) connClosed(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	if p.openConns[addr]--; p.openConns[addr] <= 0 {
		delete(p.openConns, addr)
	}
}

// setKeepAlive enables TCP keep-alive probes, which detect a dead machine while nothing is being sent. For sent
// but unacknowledged bytes the dialer has set TCP_USER_TIMEOUT. If keep-alive can't be enabled, the request's
// deadline still bounds the wait.
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
