package clustermembership

import (
	"slices"
	"sort"

	"pebbleloom/internal/rendezvous"
	"pebbleloom/internal/wire"
)

// ringNode is a node and its position on the hash ring.
type ringNode struct {
	position uint64
	node     *wire.Node
}

// ring returns all nodes of the view that are not dead, including this one, sorted by their positions on the hash ring.
func (c *Core) ring() []ringNode {
	ring := make([]ringNode, 0, len(c.peers)+1)
	ring = append(ring, ringNode{rendezvous.Hash(c.self.Name), c.self})
	for _, p := range c.peers {
		if p.node.State != Dead {
			ring = append(ring, ringNode{p.position, p.node})
		}
	}
	sort.Slice(ring, func(i, j int) bool {
		return ring[i].position < ring[j].position || ring[i].position == ring[j].position && ring[i].node.Name < ring[j].node.Name
	})
	return ring
}

// neighbors returns the nodes that observe this node, nearest on the ring first, and the set of names of the nodes
// that this node observes.
func (c *Core) neighbors() (observers []*wire.Node, observed map[string]bool) {
	ring := c.ring()
	self := slices.IndexFunc(ring, func(r ringNode) bool { return r.node == c.self })
	observed = map[string]bool{}
	for _, offset := range observerOffsets(len(ring)) {
		observers = append(observers, ring[(self+offset)%len(ring)].node)
		observed[ring[(self-offset+len(ring))%len(ring)].node.Name] = true
	}
	return observers, observed
}

// observerOffsets returns the distances on a ring of n nodes from a node to its observers. They are 1, about the
// cube root of n, and about the square of that root, so that gossip crosses a large ring in a few heartbeats.
func observerOffsets(n int) []int {
	if n < 2 {
		return nil
	}
	root := 1
	for root*root*root < n {
		root++
	}
	var offsets []int
	for _, offset := range []int{1, root, root * root} {
		if offset %= n; offset != 0 && !slices.Contains(offsets, offset) {
			offsets = append(offsets, offset)
		}
	}
	return offsets
}

// computeChecksum returns a checksum of the names, incarnations and states of all nodes in the view that are not
// dead. The checksum does not depend on the order of the nodes.
func (c *Core) computeChecksum() uint64 {
	const incarnationFactor = 0x9e3779b97f4a7c15 // factor of the checksum, 2^64 divided by the golden ratio; spreads small incarnations over all bits
	sum := uint64(0)
	add := func(n *wire.Node, position uint64) {
		sum += (position ^ n.Incarnation*incarnationFactor) * uint64(n.State*2+3)
	}
	add(c.self, rendezvous.Hash(c.self.Name))
	for _, p := range c.peers {
		if p.node.State != Dead { // dead nodes are left out of the checksum because nodes remove them from their views at different times
			add(p.node, p.position)
		}
	}
	return sum
}
