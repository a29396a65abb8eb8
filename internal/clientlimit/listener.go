// Package clientlimit bounds what the clients of a process may take of its machine. A Budget bounds the memory of the
// requests of all connections together, and a Listener the buffers of each connection in the kernel: what a request may take is taken into account before it is read, whoever the client
// is. If the budget is used up, requests whose clients stall give way first. A request that was read completely isn't ended
// for another one.
package clientlimit

import "net"

// Config holds what a Listener needs. All fields are required.
type Config struct {
	Budget *Budget // memory of the requests of all connections
}

// Listener accepts connections whose requests share a budget.
type Listener struct {
	net.Listener
	config Config
}

// NewListener returns a listener that accepts the connections of another one, with socket buffers of a limited size.
//
// Example: limited := clientlimit.NewListener(listener, config); go server.Serve(limited)
func NewListener(listener net.Listener, config Config) *Listener {
	limitSocketBuffers(listener)
	return &Listener{Listener: listener, config: config}
}

// Accept waits for the next connection. It returns a *Conn.
//
// Example: conn, err := listener.Accept()
func (l *Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newConn(conn, l.config.Budget), nil
}
