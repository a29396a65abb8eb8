package clustermembership

import "time"

// Failure detection timeouts. suspectRatio and deadRatio leave enough of the leave bound for gossip, so that
// a failed node is dead in all views within the leave bound.
const (
	suspectRatio = 0.35 // time without a heartbeat after which a node is suspect, as a ratio of the leave bound
	deadRatio    = 0.25 // time after which a suspect node is dead, as a ratio of the leave bound
	reapRatio    = 10   // time after which a dead node is removed from the view, as a ratio of the heal bound
)

// detectFailures marks observed nodes suspect if their heartbeats are missing, marks suspect nodes dead
// after a timeout, and removes nodes that have been dead for long. observed is the set of names of the
// nodes that this one observes.
func (c *Core) detectFailures(observed map[string]bool, now time.Duration) {
	for name, p := range c.peers {
		switch state := p.node.State; {
		case state == Alive && !observed[name]:
			p.lastContact = now // the heartbeat timeout of an unobserved node starts when this node becomes its observer
		case state == Alive && now-p.lastContact > c.bounds.Leave(suspectRatio):
			c.setState(p, Suspect, now)
		case state == Suspect && now-p.changedAt > c.bounds.Leave(deadRatio):
			c.setState(p, Dead, now)
		case state == Dead && now-p.changedAt > c.bounds.Heal(reapRatio):
			delete(c.peers, name)
			c.version++
		}
	}
}

func (c *Core) setState(p *peer, state uint32, now time.Duration) {
	p.node.State, p.changedAt, p.transmitsLeft = state, now, c.retransmitLimit()
	c.version++
}
