package clustermembership

import (
	"time"

	"pebbleloom/internal/wire"
)

// Limits of the comparison of views. Nodes compare their views by checksum. If two views differ while state changes
// are being gossiped, gossip is expected to make them equal; otherwise, or if they differ for too long, a node sends
// its full view.
const (
	maxDivergenceRatio = 0.5 // fraction of Bounds.LeaveMs for which two views may differ before a full view is sent even while state changes are being gossiped
	quiescenceRatio    = 0.3 // fraction of Bounds.LeaveMs after which a state change is assumed to have reached all nodes
	maxDiverged        = 64  // maximum number of entries in each of Core.divergedAt and Core.sendFull
)

// newHeartbeat returns a heartbeat that carries recent state changes, or the full view if full is true.
func (c *Core) newHeartbeat(full bool) *wire.Heartbeat {
	heartbeat := &wire.Heartbeat{Format: FormatVersion, From: clone(c.self), FullView: full, ViewChecksum: c.checksum}
	for _, p := range c.peers {
		if full || p.transmitsLeft > 0 {
			heartbeat.Updates = append(heartbeat.Updates, clone(p.node))
		}
	}
	return heartbeat
}

// HandleHeartbeat merges a heartbeat into this node's view and returns the response. The response carries recent
// state changes, or this node's full view if the sender asked for it, is unknown or dead in this view, or has a view
// that differs.
//
// Example: response := c.HandleHeartbeat(heartbeat, clock.Now())
func (c *Core) HandleHeartbeat(heartbeat *wire.Heartbeat, now time.Duration) *wire.Heartbeat {
	if heartbeat.GetFormat() != FormatVersion {
		return &wire.Heartbeat{Format: FormatVersion, From: clone(c.self)}
	}
	if heartbeat.GetFrom() == nil {
		return c.newHeartbeat(true) // a heartbeat without a sender comes from a client that is not a node and only reads the view
	}
	sender := heartbeat.From.Name
	known := c.peers[sender]
	isNew := known == nil || known.node.State == Dead
	c.mergeHeartbeat(heartbeat, now)
	response := c.newHeartbeat(heartbeat.FullView || isNew || c.needsFullView(heartbeat, now))
	if p := c.peers[sender]; p != nil && p.node.Incarnation > heartbeat.From.Incarnation {
		response.Updates = append(response.Updates, clone(p.node)) // informs the sender that a newer incarnation of its name is known, possibly on another machine
	}
	return response
}

// HandleResponse merges the response to a heartbeat that this node sent to an address. If the response carries the
// full view of the other node and the two views still differ, the next reconnect heartbeat to that address carries
// this node's full view.
//
// Example: c.HandleResponse(address, response, clock.Now())
func (c *Core) HandleResponse(address string, response *wire.Heartbeat, now time.Duration) {
	c.mergeHeartbeat(response, now)
	if response.GetFullView() && response.ViewChecksum != c.checksum && len(c.sendFull) < maxDiverged {
		c.sendFull[address] = true
	}
}

// mergeHeartbeat merges the state of a heartbeat's sender and the sender's reports about other nodes into this
// node's view. It updates the checksum if the view has changed.
func (c *Core) mergeHeartbeat(heartbeat *wire.Heartbeat, now time.Duration) {
	version := c.version
	c.merge(heartbeat.GetFrom(), now, true)
	for _, report := range heartbeat.GetUpdates() {
		c.merge(report, now, false)
	}
	if c.version != version {
		c.checksum = c.computeChecksum()
	}
}

// needsFullView reports whether the sender of a heartbeat must be sent this node's full view: the views of the two
// nodes differ, and either no state changes are being gossiped or the views have differed for too long.
func (c *Core) needsFullView(heartbeat *wire.Heartbeat, now time.Duration) bool {
	sender := heartbeat.From.Name
	if heartbeat.ViewChecksum == c.checksum {
		delete(c.divergedAt, sender)
		return false
	}
	since, diverged := c.divergedAt[sender]
	if !diverged {
		if len(c.divergedAt) >= maxDiverged {
			clear(c.divergedAt) // bounds the size of the map; for the removed senders, the time for which their views have differed starts again
		}
		c.divergedAt[sender] = now
	}
	if diverged && now-since > c.bounds.Leave(maxDivergenceRatio) {
		c.divergedAt[sender] = now // limits how often the full view is sent to a sender whose view keeps differing
		return true
	}
	return len(heartbeat.Updates) == 0 && c.isStable(now)
}

// isStable reports whether this node has no recent state changes to gossip. If two nodes without such changes have
// different views, the views stay different until a full view is sent.
func (c *Core) isStable(now time.Duration) bool {
	for _, p := range c.peers {
		if p.transmitsLeft > 0 || now-p.changedAt < c.bounds.Leave(quiescenceRatio) {
			return false
		}
	}
	return true
}
