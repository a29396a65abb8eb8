package clustermembership

import (
	"time"

	"pebbleloom/internal/wire"
)

// Nodes compare their views by checksum. If two views differ while updates are in flight, the updates are
// expected to make them equal; otherwise, or if they differ for too long, the full view is sent.
const (
	maxDivergenceRatio = 0.5 // time for which views may differ before the full view is sent although updates are in flight, as a ratio of the leave bound
	quiescenceRatio    = 0.3 // age of a state change from which its updates are assumed to have reached all nodes, as a ratio of the leave bound
	maxDiverged        = 64  // maximum number of entries in each of divergedAt and sendFull
)

// newHeartbeat returns a heartbeat with the recent state changes, or with the full view if full is true.
func (c *Core) newHeartbeat(full bool) *wire.Heartbeat {
	heartbeat := &wire.Heartbeat{Format: FormatVersion, From: clone(c.self), FullView: full, ViewChecksum: c.checksum}
	for _, p := range c.peers {
		if full || p.transmitsLeft > 0 {
			heartbeat.Updates = append(heartbeat.Updates, clone(p.node))
		}
	}
	return heartbeat
}

// HandleHeartbeat merges a heartbeat and returns the response to it. The response has the recent state
// changes, or the full view if the sender asked for it, is new, or has a view that differs.
//
// Example: response := c.HandleHeartbeat(heartbeat, clock.Now())
func (c *Core) HandleHeartbeat(heartbeat *wire.Heartbeat, now time.Duration) *wire.Heartbeat {
	if heartbeat.GetFormat() != FormatVersion {
		return &wire.Heartbeat{Format: FormatVersion, From: clone(c.self)}
	}
	if heartbeat.GetFrom() == nil {
		return c.newHeartbeat(true) // a client that is not a node and only reads the view
	}
	sender := heartbeat.From.Name
	known := c.peers[sender]
	isNew := known == nil || known.node.State == Dead
	c.mergeHeartbeat(heartbeat, now)
	response := c.newHeartbeat(heartbeat.FullView || isNew || c.needsFullView(heartbeat, now))
	if p := c.peers[sender]; p != nil && p.node.Incarnation > heartbeat.From.Incarnation {
		response.Updates = append(response.Updates, clone(p.node)) // informs the sender that another machine has joined under its name
	}
	return response
}

// HandleResponse merges the response to a heartbeat that was sent to an address. If the response has the
// other node's full view and the two views still differ, the next reconnect heartbeat to that address
// carries this node's full view.
//
// Example: c.HandleResponse(address, response, clock.Now())
func (c *Core) HandleResponse(address string, response *wire.Heartbeat, now time.Duration) {
	c.mergeHeartbeat(response, now)
	if response.GetFullView() && response.ViewChecksum != c.checksum && len(c.sendFull) < maxDiverged {
		c.sendFull[address] = true
	}
}

// mergeHeartbeat merges the state of the sender and its reports about other nodes, and updates the
// checksum if the view has changed.
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

// needsFullView reports whether the sender of a heartbeat has a view that differs from this one and must
// be sent the full view, because no updates are in flight or the views have differed for too long.
func (c *Core) needsFullView(heartbeat *wire.Heartbeat, now time.Duration) bool {
	sender := heartbeat.From.Name
	if heartbeat.ViewChecksum == c.checksum {
		delete(c.divergedAt, sender)
		return false
	}
	since, diverged := c.divergedAt[sender]
	if !diverged {
		if len(c.divergedAt) >= maxDiverged {
			clear(c.divergedAt) // keeps the map bounded; the divergence of the other senders is measured anew
		}
		c.divergedAt[sender] = now
	}
	if diverged && now-since > c.bounds.Leave(maxDivergenceRatio) {
		c.divergedAt[sender] = now // the full view is sent again only if the views still differ after the same time
		return true
	}
	return len(heartbeat.Updates) == 0 && c.isStable(now)
}

// isStable reports whether no updates are in flight in this view. Views that differ then stay different
// until a full view is sent.
func (c *Core) isStable(now time.Duration) bool {
	for _, p := range c.peers {
		if p.transmitsLeft > 0 || now-p.changedAt < c.bounds.Leave(quiescenceRatio) {
			return false
		}
	}
	return true
}
