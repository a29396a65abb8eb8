package daemon

import (
	"net/http"
	"time"

	"pebbleloom/internal/wire"
)

// Limits for the HTTP connections that a process keeps open to each address of another pebbleloom process.
const (
	maxIdleConnections = 8
	maxConnections     = 64
	idleTimeout        = time.Minute
)

// Clients creates clients for the RPC services of other processes. All of them share one connection pool.
type Clients struct {
	http *http.Client
}

// NewClients returns a Clients that opens connections with process.Dial. If process.Settings.Site is set, connection
// attempts without an answer are repeated. Idle connections are closed when the process stops.
//
// Example: clients := daemon.NewClients(process)
func NewClients(process *Process) *Clients {
	dial := process.Dial
	if process.Settings.Site != nil {
		dial = hedgedDial(dial, process.Settings.Bounds)
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnections, MaxConnsPerHost: maxConnections,
		IdleConnTimeout: idleTimeout, DialContext: dial}}
	process.OnStop(client.CloseIdleConnections)
	return &Clients{client}
}

// ControlNode returns a client for the control node at an address.
//
// Example: response, err := clients.ControlNode("127.10.1.1:7000").Read(ctx, request)
func (c *Clients) ControlNode(addr string) wire.ControlNode {
	return wire.NewControlNodeClient("http://"+addr, c.http)
}

// Membership returns a client for the cluster membership service of the node at an address.
//
// Example: response, err := clients.Membership(addr).Exchange(ctx, heartbeat)
func (c *Clients) Membership(addr string) wire.Membership {
	return wire.NewMembershipClient("http://"+addr, c.http)
}

// PromptIndex returns a client for the prompt index node at an address.
//
// Example: response, err := clients.PromptIndex(addr).Lookup(ctx, request)
func (c *Clients) PromptIndex(addr string) wire.PromptIndex {
	return wire.NewPromptIndexClient("http://"+addr, c.http)
}

// NodeAgent returns a client for the node agent at an address.
//
// Example: response, err := clients.NodeAgent("127.0.0.1:7001").Feed(ctx, request)
func (c *Clients) NodeAgent(addr string) wire.NodeAgent {
	return wire.NewNodeAgentClient("http://"+addr, c.http)
}
