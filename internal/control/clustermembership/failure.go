package clustermembership

import "time"

// Failure detection. A node that fails is dead in all views within the leave bound: its observers
// suspect it, declare it dead, and gossip spreads that.
const (
	suspectRatio = 0.35 // of the leave bound: time without a heartbeat after which a node is suspect
	deadRatio    = 0.25 // of the leave bound: time as a suspect after which it is dead
	reapRatio    = 10   // of the heal bound: time after which a dead node is forgotten
)

// detectFailures moves the observed nodes that sent no heartbeat to suspect, suspects to dead, and
// forgets nodes that have been dead for long. observed holds the names of the nodes that this one
// observes.
func (c *Core) detectFailures(observed map[string]bool, now time.Duration) {
	for name, p := range c.peers {
		switch state := p.node.State; {
		case state == Alive && !observed[name]:
			p.lastContact = now // its timeout starts when this node becomes its observer
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
