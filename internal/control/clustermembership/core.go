// Package clustermembership tracks which nodes of a site are running, by a gossip protocol. Each node sends
// heartbeats to a few observers, which are its successors on a hash ring. Heartbeats and their responses carry
// recent state changes, or the sender's full view if the views of the two nodes differ. An observer that misses a
// node's heartbeats marks that node suspect and later dead. A running node refutes a report that it is suspect or
// dead with a higher heartbeat counter, or with a higher incarnation if it has restarted.
//
// Core is the protocol as a state machine without I/O; Member runs it over the network.
package clustermembership

import (
	"sort"
	"time"

	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

// Node states, as sent in heartbeats. If two reports about a node have the same incarnation and heartbeat counter,
// the report with the higher state wins.
const (
	Alive uint32 = iota
	Suspect
	Dead // state of a node whose failure was detected, or that left gracefully
)

// Node roles, as sent in heartbeats. A node's name is its role, a slash and the name of its machine. Nodes of
// earlier releases send and expect the same values, so they must not change.
const (
	RoleControlNode         = "archive"
	RolePromptIndex         = "catalogue"
	RolePlacementController = "appraiser"
	RoleNodeAgent           = "runner"
)

// FormatVersion is the version of the heartbeat message format that this release sends and accepts.
const FormatVersion = 1

// maxNodes is the maximum number of other nodes in one node's view. Reports about nodes beyond this number are
// ignored.
const maxNodes = 4096

// joinTicks is the number of ticks after its start in which a node exchanges full views with its observers. This is
// needed after a downtime too short for the other nodes to notice, because they then have no state changes to send
// to the restarted node. All of these ticks run within the first heartbeat period, so that nodes that start together
// discover each other quickly.
const joinTicks = 8

// reconnectIntervalTicks is the number of ticks from one heartbeat that a node sends to a seed or dead node to the
// next.
const reconnectIntervalTicks = 4

// maxLeaveAnnouncements is the maximum number of nodes that a leaving node notifies directly; the others learn of it
// by gossip.
const maxLeaveAnnouncements = 8

// peer is the information that one node holds about another.
type peer struct {
	node          *wire.Node
	position      uint64        // position of the peer on the hash ring
	changedAt     time.Duration // time at which this node last changed the peer's state, incarnation or address
	lastContact   time.Duration // time from which the peer's heartbeat timeout runs: its last message or a gossiped change to Alive; set on every tick while it is not observed
	transmitsLeft int           // number of further ticks in which this node's heartbeats carry the peer's state
}

// Core is one node's view of all nodes of the site. It is not safe for concurrent use. All times that
// are passed to it are readings of one monotonic clock that keeps running while the machine is suspended.
type Core struct {
	bounds     settings.Bounds
	self       *wire.Node
	seeds      []string
	peers      map[string]*peer // all nodes of the view except this one, by name
	ticks      int
	version    uint64
	checksum   uint64 // checksum of this node's view, updated by every tick and merge
	nameReused bool
	startedAt  time.Duration            // time of the first call of Tick
	sendFull   map[string]bool          // addresses of nodes whose views differ from this one; the next reconnect heartbeat to each carries the full view
	divergedAt map[string]time.Duration // time since which another node's view has differed from this one, by that node's name
}

// New returns a Core whose view contains only the node itself. The Core joins the other nodes of its site by sending
// heartbeats to the seeds, which are addresses of other nodes.
//
// Example: c := clustermembership.New(bounds, self, seeds)
func New(bounds settings.Bounds, self *wire.Node, seeds []string) *Core {
	return &Core{
		bounds:     bounds,
		self:       self,
		seeds:      seeds,
		peers:      map[string]*peer{},
		version:    1,
		sendFull:   map[string]bool{},
		divergedAt: map[string]time.Duration{},
	}
}

// Replaced reports whether another machine has joined the site under this node's name. This node must then stop.
//
// Example: if c.Replaced() { stop() }
func (c *Core) Replaced() bool { return c.nameReused }

// Version returns a number that increases with every change of the node's view.
//
// Example: if c.Version() != seen { … }
func (c *Core) Version() uint64 { return c.version }

// SetSeeds replaces the addresses of the nodes through which this node joins its site.
//
// Example: c.SetSeeds([]string{"127.10.1.1:7000"})
func (c *Core) SetSeeds(seeds []string) { c.seeds = seeds }

// Nodes returns copies of all nodes in the view, including this one, sorted by name.
//
// Example: for _, n := range c.Nodes() { fmt.Println(n.Name, n.State) }
func (c *Core) Nodes() []*wire.Node {
	nodes := []*wire.Node{clone(c.self)}
	for _, p := range c.peers {
		nodes = append(nodes, clone(p.node))
	}
	sort.Slice(nodes, func(i, j int) bool { return nodes[i].Name < nodes[j].Name })
	return nodes
}

// OutgoingHeartbeat is a heartbeat with the address of the node that it must be sent to.
type OutgoingHeartbeat struct {
	Address   string
	Heartbeat *wire.Heartbeat
}

// Tick must be called once per heartbeat period. It checks the nodes that this node observes for failures and
// returns the heartbeats to send.
//
// Example: for _, outgoing := range c.Tick(clock.Now()) { send(outgoing) }
func (c *Core) Tick(now time.Duration) []OutgoingHeartbeat {
	if c.ticks++; c.ticks == 1 {
		c.startedAt = now
	}
	c.self.Heartbeat++
	observers, observed := c.neighbors()
	c.detectFailures(observed, now)
	c.checksum = c.computeChecksum()

	var heartbeats []OutgoingHeartbeat
	for _, observer := range observers {
		if observer.State != Dead { // skips an observer that detectFailures has declared dead since the observers were selected
			heartbeats = append(heartbeats, OutgoingHeartbeat{observer.Addr, c.newHeartbeat(c.ticks <= joinTicks)})
		}
	}
	heartbeats = append(heartbeats, c.reconnectHeartbeats(len(heartbeats) == 0)...)
	for _, p := range c.peers {
		if p.transmitsLeft > 0 {
			p.transmitsLeft--
		}
	}
	return heartbeats
}

// reconnectHeartbeats returns one heartbeat to a seed or a dead node on every tick whose number is a multiple of
// reconnectIntervalTicks, so that the sides of a former partition find each other again. If alone is true, because
// this node knows no other running node, it returns up to two such heartbeats on every tick.
func (c *Core) reconnectHeartbeats(alone bool) []OutgoingHeartbeat {
	if !alone && c.ticks%reconnectIntervalTicks != 0 {
		return nil
	}
	addresses := c.reconnectAddresses()
	if len(addresses) == 0 {
		return nil
	}
	address := addresses[c.ticks/reconnectIntervalTicks%len(addresses)]
	heartbeats := []OutgoingHeartbeat{{address, c.newHeartbeat(alone || c.sendFull[address])}}
	delete(c.sendFull, address)
	if alone && len(addresses) > 1 {
		heartbeats = append(heartbeats, OutgoingHeartbeat{addresses[(c.ticks+1)%len(addresses)], c.newHeartbeat(true)})
	}
	return heartbeats
}

// reconnectAddresses returns the addresses of the dead nodes and of the seeds, except this node's own address.
func (c *Core) reconnectAddresses() []string {
	var addresses []string
	for _, seed := range c.seeds {
		if seed != c.self.Addr {
			addresses = append(addresses, seed)
		}
	}
	for _, node := range c.Nodes() {
		if node.State == Dead {
			addresses = append(addresses, node.Addr)
		}
	}
	return addresses
}

// Leave marks this node dead in its own view and returns the heartbeats that announce this to other
// nodes, so that they need not wait for a timeout to detect that it has stopped.
//
// Example: for _, outgoing := range c.Leave() { send(outgoing) }
func (c *Core) Leave() []OutgoingHeartbeat {
	c.self.Heartbeat++
	c.self.State = Dead
	var heartbeats []OutgoingHeartbeat
	for _, p := range c.peers {
		if p.node.State == Alive && len(heartbeats) < maxLeaveAnnouncements {
			heartbeats = append(heartbeats, OutgoingHeartbeat{p.node.Addr, &wire.Heartbeat{Format: FormatVersion, From: clone(c.self)}})
		}
	}
	return heartbeats
}
