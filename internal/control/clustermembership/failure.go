package clustermembership

import "time"

// Timeouts of failure detection. suspectRatio and deadRatio add up to less than 1, so that enough of Bounds.LeaveMs
// is left for gossip and a failed node is dead in all views within that time limit.
const (
	suspectRatio = 0.35 // fraction of Bounds.LeaveMs without a heartbeat after which an observer marks a node suspect
	deadRatio    = 0.25 // fraction of Bounds.LeaveMs after which a suspect node is marked dead
	reapRatio    = 10   // multiple of Bounds.RecoveryMs after which a dead node is removed from the view
)

// detectFailures marks observed nodes suspect if their heartbeats are missing, marks suspect nodes dead after a
// timeout, and removes nodes that have been dead for longer than reapRatio allows. The set observed holds the names
// of the nodes that this node observes.
func (c *Core) detectFailures(observed map[string]bool, now time.Duration) {
	for name, p := range c.peers {
		switch state := p.node.State; {
		case state == Alive && !observed[name]:
			p.lastContact = now // while this node does not observe the peer, the heartbeat timeout of the peer does not run
		case state == Alive && now-p.lastContact > c.bounds.Leave(suspectRatio):
			c.setState(p, Suspect, now)
		case state == Suspect && now-p.changedAt > c.bounds.Leave(deadRatio):
			c.setState(p, Dead, now)
		case state == Dead && now-p.changedAt > c.bounds.Recovery(reapRatio):
			delete(c.peers, name)
			c.version++
		}
	}
}

func (c *Core) setState(p *peer, state uint32, now time.Duration) {
	p.node.State, p.changedAt, p.transmitsLeft = state, now, c.retransmitLimit()
	c.version++
}
