package clustermembership

import (
	"time"

	"pebbleloom/internal/rendezvous"
	"pebbleloom/internal/wire"
)

// replacementAgeRatio is the multiple of Bounds.LeaveMs for which a node must have run, including time in which its
// machine was suspended, before it accepts that a newer incarnation of its name at another address is its
// replacement. For a node that has run for less time, that incarnation may be a stale report of the node's own
// previous run.
const replacementAgeRatio = 2

// Parameters of gossip. A state change is sent in the heartbeats of a number of ticks that grows with the logarithm
// of the number of nodes, so that it reaches all of them.
const (
	minRetransmits         = 3
	retransmitsPerDoubling = 2 // additional ticks in which a state change is sent, for each doubling of the number of nodes
)

// retransmitLimit returns the number of ticks in which the heartbeats of this node carry a new state change.
func (c *Core) retransmitLimit() int {
	limit := minRetransmits
	for n := len(c.peers); n > 1; n /= 2 {
		limit += retransmitsPerDoubling
	}
	return limit
}

// isNewer reports whether report a about a node supersedes report b about the same node.
func isNewer(a, b *wire.Node) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	if a.Heartbeat != b.Heartbeat {
		return a.Heartbeat > b.Heartbeat
	}
	return a.State > b.State
}

func clone(n *wire.Node) *wire.Node {
	return &wire.Node{Name: n.Name, Incarnation: n.Incarnation, Role: n.Role, Zone: n.Zone,
		Addr: n.Addr, State: n.State, Heartbeat: n.Heartbeat, Operator: n.Operator}
}

// merge merges a report about a node into this node's view. direct is true if the report came from the reported node
// itself, and false if it came by gossip.
func (c *Core) merge(report *wire.Node, now time.Duration, direct bool) {
	switch {
	case report == nil || report.Name == "":
	case report.Name == c.self.Name:
		c.mergeSelf(report, now)
	case c.peers[report.Name] == nil:
		c.addPeer(report, now)
	default:
		c.mergePeer(c.peers[report.Name], report, now, direct)
	}
}

// mergeSelf handles a report about this node. If the report says that the node is suspect or dead, the node refutes
// it with a higher heartbeat counter. If the report has a higher incarnation, the node assumes that it is from its
// own earlier run and takes a still higher one, unless another machine has joined under its name.
func (c *Core) mergeSelf(report *wire.Node, now time.Duration) {
	switch {
	case report.State != Alive && report.Incarnation == c.self.Incarnation && report.Heartbeat >= c.self.Heartbeat:
		c.self.Heartbeat = report.Heartbeat + 1
	case report.Incarnation > c.self.Incarnation:
		if report.Addr != c.self.Addr && report.State == Alive && c.ticks > 0 && now-c.startedAt > c.bounds.Leave(replacementAgeRatio) {
			c.nameReused = true // another machine has joined under this node's name, for example while this machine was suspended
			return
		}
		c.self.Incarnation = report.Incarnation + 1
	}
}

func (c *Core) addPeer(report *wire.Node, now time.Duration) {
	if len(c.peers) >= maxNodes || report.State == Dead {
		return
	}
	c.peers[report.Name] = &peer{
		node:          clone(report),
		position:      rendezvous.Hash(report.Name),
		changedAt:     now,
		lastContact:   now,
		transmitsLeft: c.retransmitLimit(),
	}
	c.version++
}

// mergePeer merges a report about a node that this node's view already contains.
func (c *Core) mergePeer(existing *peer, report *wire.Node, now time.Duration, direct bool) {
	known := existing.node
	if direct && report.Incarnation >= known.Incarnation {
		existing.lastContact = now
	}
	if !isNewer(report, known) {
		if report.State != Alive && known.State == Alive && known.Heartbeat > report.Heartbeat && report.Incarnation == known.Incarnation {
			existing.transmitsLeft = c.retransmitLimit() // the view has a later heartbeat of the reported node, which is gossiped again to refute the report
		}
		return
	}
	existing.node = clone(report)
	if report.State == known.State && report.Incarnation == known.Incarnation && report.Addr == known.Addr {
		return
	}
	existing.changedAt, existing.transmitsLeft = now, c.retransmitLimit()
	if report.State == Alive {
		existing.lastContact = now
	}
	c.version++
}
