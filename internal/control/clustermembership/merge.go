package clustermembership

import (
	"time"

	"pebbleloom/internal/rendezvous"
	"pebbleloom/internal/wire"
)

// replacementAgeRatio is the age of a node, as a ratio of the leave bound and sleep included, from
// which a newer incarnation of its name elsewhere is its replacement and not its own past.
const replacementAgeRatio = 2

// A change of state is sent in a number of heartbeats that grows with the logarithm of the number of
// nodes, so that gossip reaches all of them.
const (
	minRetransmits         = 3
	retransmitsPerDoubling = 2 // of the number of nodes
)

// retransmitLimit is how many heartbeats carry a change of state.
func (c *Core) retransmitLimit() int {
	limit := minRetransmits
	for n := len(c.peers); n > 1; n /= 2 {
		limit += retransmitsPerDoubling
	}
	return limit
}

// isNewer reports whether a is a more recent state of a node than b.
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

// merge takes a report of a node's state into the view; direct says that the node itself sent it.
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

// mergeSelf refutes a report that this node is suspect or dead, or that remembers an older incarnation
// of it, by a higher heartbeat counter or incarnation.
func (c *Core) mergeSelf(report *wire.Node, now time.Duration) {
	switch {
	case report.State != Alive && report.Incarnation == c.self.Incarnation && report.Heartbeat >= c.self.Heartbeat:
		c.self.Heartbeat = report.Heartbeat + 1
	case report.Incarnation > c.self.Incarnation:
		if report.Addr != c.self.Addr && report.State == Alive && c.ticks > 0 && now-c.startedAt > c.bounds.Leave(replacementAgeRatio) {
			c.nameReused = true // another machine took this name while this one was suspended
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

// mergePeer merges a report into what is known of the node already.
func (c *Core) mergePeer(existing *peer, report *wire.Node, now time.Duration, direct bool) {
	known := existing.node
	if direct && report.Incarnation >= known.Incarnation {
		existing.lastContact = now
	}
	if !isNewer(report, known) {
		if report.State != Alive && known.State == Alive && known.Heartbeat > report.Heartbeat && report.Incarnation == known.Incarnation {
			existing.transmitsLeft = c.retransmitLimit() // a later heartbeat is known here: refute the report
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
