package clustermembership

import (
	"time"

	"pebbleloom/internal/wire"
)

// Views are compared by their checksums. Two that differ converge by themselves while updates are in
// flight; otherwise the full view is sent.
const (
	divergenceRatio = 0.5 // of the leave bound: how long views may differ before the full view is sent although updates are in flight
	stableRatio     = 0.3 // of the leave bound: age from which no update of a change is in flight any more
	maxDiverged     = 64  // nodes, or addresses, whose differing views are remembered
)

// newHeartbeat returns a heartbeat with the recent changes of state, or with the full view.
func (c *Core) newHeartbeat(full bool) *wire.Heartbeat {
	heartbeat := &wire.Heartbeat{Format: FormatVersion, From: clone(c.self), FullView: full, ViewChecksum: c.checksum}
	for _, p := range c.peers {
		if full || p.transmitsLeft > 0 {
			heartbeat.Updates = append(heartbeat.Updates, clone(p.node))
		}
	}
	return heartbeat
}

// HandleHeartbeat merges a heartbeat and returns the response: the recent changes of state, or the
// full view if the two views differ.
//
// Example: response := c.HandleHeartbeat(heartbeat, clock.Now())
func (c *Core) HandleHeartbeat(heartbeat *wire.Heartbeat, now time.Duration) *wire.Heartbeat {
	if heartbeat.GetFormat() != FormatVersion {
		return &wire.Heartbeat{Format: FormatVersion, From: clone(c.self)}
	}
	if heartbeat.GetFrom() == nil {
		return c.newHeartbeat(true) // the sender only reads the view; it is no node itself
	}
	sender := heartbeat.From.Name
	known := c.peers[sender]
	isNew := known == nil || known.node.State == Dead
	c.mergeHeartbeat(heartbeat, now)
	response := c.newHeartbeat(heartbeat.FullView || isNew || c.needsFullView(heartbeat, now))
	if p := c.peers[sender]; p != nil && p.node.Incarnation > heartbeat.From.Incarnation {
		response.Updates = append(response.Updates, clone(p.node)) // the sender learns that its name was reused
	}
	return response
}

// HandleResponse merges the response to a heartbeat that was sent to an address. If the other node
// sent its full view and the views still differ, the next reconnect heartbeat to it carries this
// node's full view.
//
// Example: c.HandleResponse(address, response, clock.Now())
func (c *Core) HandleResponse(address string, response *wire.Heartbeat, now time.Duration) {
	c.mergeHeartbeat(response, now)
	if response.GetFullView() && response.ViewChecksum != c.checksum && len(c.sendFull) < maxDiverged {
		c.sendFull[address] = true
	}
}

// mergeHeartbeat merges the sender's own state and the changes that it reports.
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

// needsFullView reports whether a sender's view differs from this one and no update in flight will
// fix that: there is none, or the views have differed for long.
func (c *Core) needsFullView(heartbeat *wire.Heartbeat, now time.Duration) bool {
	sender := heartbeat.From.Name
	if heartbeat.ViewChecksum == c.checksum {
		delete(c.divergedAt, sender)
		return false
	}
	since, diverged := c.divergedAt[sender]
	if !diverged {
		if len(c.divergedAt) >= maxDiverged {
			clear(c.divergedAt) // measured again from now
		}
		c.divergedAt[sender] = now
	}
	if diverged && now-since > c.bounds.Leave(divergenceRatio) {
		c.divergedAt[sender] = now // sent once, and again if that didn't help
		return true
	}
	return len(heartbeat.Updates) == 0 && c.isStable(now)
}

// isStable reports whether no update is in flight here: views that differ then will not converge by
// themselves.
func (c *Core) isStable(now time.Duration) bool {
	for _, p := range c.peers {
		if p.transmitsLeft > 0 || now-p.changedAt < c.bounds.Leave(stableRatio) {
			return false
		}
	}
	return true
}
