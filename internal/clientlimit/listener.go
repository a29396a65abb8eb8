// Package clientlimit bounds what the clients of a process may take of its machine. A Listener bounds the number of
// connections, the buffers of each in the kernel, and the time and size of request headers. A Budget bounds the memory of
// the requests of all connections together. Both take into account what a connection or a request may take before it is
// accepted or read, whoever the client is.
//
// If a bound is reached, connections and requests whose clients make the process wait give way first: idle connections,
// clients that stall in the middle of a request, and clients that don't read. A request that was read completely and whose
// client reads its response isn't ended for another one.
package clientlimit

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"pebbleloom/internal/clock"
)

// Memory that each connection may take beside its requests.
const (
	kernelBufferBytes = 2 * 2 * socketBufferBytes // receive and send buffers in the kernel, with its overhead
	// processBufferBytes is the memory of a connection's goroutines and of net/http's buffers.
	processBufferBytes = 16 << 10

	// ConnectionBytes is the memory that one connection may take beside its requests.
	ConnectionBytes = kernelBufferBytes + processBufferBytes
)

// minConnections is the least limit on connections that MaxConnections returns.
const minConnections = 16

// MaxConnections returns the number of connections for which both a part of the process's memory, in bytes, and a number of
// descriptors are enough. With descriptors of 0, only the memory limits the connections.
//
// Example: limit := clientlimit.MaxConnections(memoryLimit/4, descriptors/2)
func MaxConnections(memory int64, descriptors int) int {
	connections := int(memory / ConnectionBytes)
	if descriptors > 0 {
		connections = min(connections, descriptors)
	}
	return max(connections, minConnections)
}

// HeaderLimits bound the header of a request and the time between requests on one connection.
type HeaderLimits struct {
	Bytes       int           // largest header
	Timeout     time.Duration // longest time from the first byte of a header to its end
	IdleTimeout time.Duration // longest time between two requests, and longest time in which a client takes none of the bytes that are sent to it
}

// Config holds the limits of a Listener. All fields but BodyTimeout are required.
type Config struct {
	Clock          clock.Clock
	MaxConnections int
	Header         func() HeaderLimits // function that returns the limits in force
	Budget         *Budget             // memory of the requests of all connections
	BodyTimeout    time.Duration       // longest time in which the body of a request may come; 0: the handler limits that time
}

// Listener accepts connections up to a limit. At the limit, the connection that has waited longest for its client is closed
// for a new one. If no connection waits for its client, the new one is refused with status 503.
type Listener struct {
	net.Listener
	config  Config
	refused atomic.Int64 // number of connections and headers that were refused
	evicted atomic.Int64 // number of connections that were closed for a new one

	mu      sync.Mutex
	open    map[*Conn]struct{}
	waiting list.List // *Conn of each open connection that waits for its client, longest waiting first
}

// NewListener returns a listener that accepts the connections of another one within limits.
//
// Example: limited := clientlimit.NewListener(listener, config); go server.Serve(limited)
func NewListener(listener net.Listener, config Config) *Listener {
	limitSocketBuffers(listener)
	return &Listener{Listener: listener, config: config, open: map[*Conn]struct{}{}}
}

// Connections returns the number of open connections.
//
// Example: meter.Gauge(name, help, func() float64 { return float64(listener.Connections()) })
func (l *Listener) Connections() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}

// Refused returns how many connections and request headers were refused.
//
// Example: meter.Counter(name, help, func() float64 { return float64(listener.Refused()) })
func (l *Listener) Refused() int64 { return l.refused.Load() }

// Evicted returns how many connections were closed for new ones.
//
// Example: meter.Counter(name, help, func() float64 { return float64(listener.Evicted()) })
func (l *Listener) Evicted() int64 { return l.evicted.Load() }

// Accept waits for the next connection that is within the limits. It returns a *Conn.
//
// Example: conn, err := listener.Accept()
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if accepted := l.admit(conn); accepted != nil {
			return accepted, nil
		}
		l.refused.Add(1)
		writeRefusal(conn, http.StatusServiceUnavailable)
		_ = conn.Close()
	}
}

// admit adds a connection to the open ones, and closes another one for it if that is necessary. It returns nil if there is
// none to close.
func (l *Listener) admit(conn net.Conn) *Conn {
	accepted := newConn(conn, l)
	l.mu.Lock()
	var victim *Conn
	if len(l.open) >= l.config.MaxConnections {
		if victim = l.victim(); victim == nil {
			l.mu.Unlock()
			return nil
		}
		l.removeLocked(victim)
	}
	l.open[accepted] = struct{}{}
	accepted.position = l.waiting.PushBack(accepted)
	l.mu.Unlock()
	if victim != nil {
		l.evicted.Add(1)
		_ = victim.Close()
	}
	return accepted
}

// victim returns the connection that has waited longest for its client to send or, if none waits for that, to read. It
// returns nil if no client makes the process wait. Listener.mu must be locked.
func (l *Listener) victim() *Conn {
	if longest := l.waiting.Front(); longest != nil {
		return longest.Value.(*Conn)
	}
	var victim *Conn
	longest := stallTime
	for conn := range l.open {
		if blocked := conn.writeBlocked(); blocked > longest {
			victim, longest = conn, blocked
		}
	}
	return victim
}

// startWaiting records that a connection waits for its client from now on.
func (l *Listener) startWaiting(conn *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, isOpen := l.open[conn]; !isOpen {
		return
	}
	if conn.position == nil {
		conn.position = l.waiting.PushBack(conn)
		return
	}
	l.waiting.MoveToBack(conn.position)
}

// stopWaiting records that a connection doesn't wait for its client any more. It returns false if the connection was closed
// for another one.
func (l *Listener) stopWaiting(conn *Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forgetWaiting(conn)
	_, isOpen := l.open[conn]
	return isOpen
}

// forgetWaiting removes a connection from those that wait. Listener.mu must be locked.
func (l *Listener) forgetWaiting(conn *Conn) {
	if conn.position != nil {
		l.waiting.Remove(conn.position)
		conn.position = nil
	}
}

// remove removes a closed connection.
func (l *Listener) remove(conn *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removeLocked(conn)
}

func (l *Listener) removeLocked(conn *Conn) {
	delete(l.open, conn)
	l.forgetWaiting(conn)
}
