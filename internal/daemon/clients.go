package daemon

import (
	"net/http"
	"time"

	"pebbleloom/internal/wire"
)

// Limits of the connections to one address.
const (
	maxIdleConnections = 8
	maxConnections     = 64
	idleTimeout        = time.Minute
)

// Clients makes the clients of other processes' services. They share one pool of connections.
type Clients struct {
	http *http.Client
}

// NewClients returns clients whose connections the process opens, and closes when it stops.
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

// ControlNode returns the client of a control node.
//
// Example: response, err := clients.ControlNode("127.10.1.1:7000").Read(ctx, request)
func (c *Clients) ControlNode(addr string) wire.ControlNode {
	return wire.NewControlNodeClient("http://"+addr, c.http)
}

// Membership returns the client of a node's cluster membership.
//
// Example: response, err := clients.Membership(addr).Exchange(ctx, heartbeat)
func (c *Clients) Membership(addr string) wire.Membership {
	return wire.NewMembershipClient("http://"+addr, c.http)
}

// PromptIndex returns the client of a node of the prompt index.
//
// Example: response, err := clients.PromptIndex(addr).Lookup(ctx, request)
func (c *Clients) PromptIndex(addr string) wire.PromptIndex {
	return wire.NewPromptIndexClient("http://"+addr, c.http)
}

// NodeAgent returns the client of a node agent.
//
// Example: response, err := clients.NodeAgent("127.0.0.1:7001").Feed(ctx, request)
func (c *Clients) NodeAgent(addr string) wire.NodeAgent {
	return wire.NewNodeAgentClient("http://"+addr, c.http)
}
