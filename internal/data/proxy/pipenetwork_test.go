package proxy

import (
	"context"
	"net"
	"sync"

	"pebbleloom/internal/sim/pipes"
)

// pipeNetwork connects the proxy under test to its clients and workers by pipes, and counts the connections that are
// dialed to each address.
type pipeNetwork struct {
	*pipes.Network
	mu    sync.Mutex
	dials map[string]int
}

func newPipeNetwork() *pipeNetwork {
	return &pipeNetwork{Network: pipes.NewNetwork(), dials: map[string]int{}}
}

func (n *pipeNetwork) Dial(ctx context.Context, network, addr string) (net.Conn, error) {
	n.mu.Lock()
	n.dials[addr]++
	n.mu.Unlock()
	return n.Network.Dial(ctx, network, addr)
}
