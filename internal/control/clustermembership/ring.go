package clustermembership

import (
	"slices"
	"sort"

	"pebbleloom/internal/queue"
	"pebbleloom/internal/wire"
)

type ringNode struct {
	position uint64
	node     *wire.Node
}

// ring lists all nodes that aren't gone, by position.
func (c *Core) ring() []ringNode {
	l := make([]ringNode, 0, len(c.peers)+1)
	l = append(l, ringNode{queue.Hash(c.self.Name), c.self})
	for _, e := range c.peers {
		if e.node.State != Dead {
			l = append(l, ringNode{e.position, e.node})
		}
	}
	sort.Slice(l, func(i, j int) bool {
		return l[i].position < l[j].position || l[i].position == l[j].position && l[i].node.Name < l[j].node.Name
	})
	return l
}

// ringOffsets are the distances on the ring to a node's observers: the next, and two farther ones so
// that updates cross a large ring in few heartbeats.
func ringOffsets(n int) []int {
	if n < 2 {
		return nil
	}
	far := 1
	for far*far*far < n {
		far++
	}
	var l []int
	for _, d := range []int{1, far, far * far} {
		if d %= n; d != 0 && !slices.Contains(l, d) {
			l = append(l, d)
		}
	}
	return l
}

// computeChecksum adds up names, incarnations and states, independent of their order.
func (c *Core) computeChecksum() uint64 {
	t := uint64(0)
	add := func(n *wire.Node, place uint64) {
		t += (place ^ n.Incarnation*0x9e3779b97f4a7c15) * uint64(n.State*2+3)
	}
	add(c.self, queue.Hash(c.self.Name))
	for _, e := range c.peers {
		if e.node.State != Dead { // nodes that are gone are removed at different times
			add(e.node, e.position)
		}
	}
	return t
}
