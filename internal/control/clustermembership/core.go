// Package clustermembership detects which nodes of a site are running. It is a gossip protocol: each
// node sends heartbeats to a few observers, its successors on a hash ring. Heartbeats and responses
// carry recent changes of state, and the full view where two nodes' views differ. An observer that
// misses a node's heartbeats marks it suspect, then dead; a node that is alive refutes that with a
// higher heartbeat counter, a restarted one with a higher incarnation.
//
// Core is the protocol as a pure state machine; Member runs it over the network.
package clustermembership

import (
	"sort"
	"time"

	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

// The states of a node, as they are sent on the wire. Of two reports of the same incarnation and
// heartbeat counter, the one with the higher state wins.
const (
	Alive uint32 = iota
	Suspect
	Dead // detected as failed, or left gracefully
)

// The roles of nodes in the cluster membership. A node's name is its role, a slash and the name of its
// machine. The values are shared with earlier releases and must not change.
const (
	RoleControlNode         = "archive"
	RolePromptIndex         = "catalogue"
	RolePlacementController = "appraiser"
	RoleNodeAgent           = "runner"
)

// FormatVersion is the version of the heartbeat format that this release sends and reads.
const FormatVersion = 1

// maxNodes bounds the view; nodes beyond it are ignored.
const maxNodes = 4096

// joiningHeartbeats is how many heartbeats a new node asks for full views in: others may not have
// noticed that it was away, and have no reason to send it everything. They are all sent within the
// first period, so that nodes that start together discover each other soon.
const joiningHeartbeats = 8

// reconnectTicks is the number of ticks between heartbeats to a seed or a dead node.
const reconnectTicks = 4

// maxLeaveAnnouncements bounds how many nodes a leaving node notifies; gossip reaches the others.
const maxLeaveAnnouncements = 8

// peer is another node as this one knows it.
type peer struct {
	node          *wire.Node
	position      uint64        // on the ring
	changedAt     time.Duration // when this state began
	lastContact   time.Duration // when the node itself was last heard; kept current while it isn't observed
	transmitsLeft int           // how many more heartbeats carry this state
}

// Core is one node's view of all nodes. It isn't safe for concurrent use. All instants are readings
// of one monotonic clock that counts sleep.
type Core struct {
	bounds     settings.Bounds
	self       *wire.Node
	seeds      []string
	peers      map[string]*peer // by name
	ticks      int
	version    uint64
	checksum   uint64 // of the view, as of the last tick or merge
	nameReused bool
	startedAt  time.Duration            // the first tick
	sendFull   map[string]bool          // addresses whose view differs: the next reconnect heartbeat carries the full view
	divergedAt map[string]time.Duration // by a sender's name: since when its view differs from this one
}

// New returns a view that holds this node alone. Seeds are addresses of other nodes, by which it
// joins them.
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

// Replaced reports whether another machine has taken this node's name: the node has to stop.
//
// Example: if c.Replaced() { stop() }
func (c *Core) Replaced() bool { return c.nameReused }

// Version returns a number that grows whenever the view changes.
//
// Example: if c.Version() != seen { … }
func (c *Core) Version() uint64 { return c.version }

// SetSeeds changes the seeds at run time.
//
// Example: c.SetSeeds([]string{"127.10.1.1:7000"})
func (c *Core) SetSeeds(seeds []string) { c.seeds = seeds }

// Nodes lists the view by name, including this node.
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

// OutgoingHeartbeat is a heartbeat to send to an address.
type OutgoingHeartbeat struct {
	Address   string
	Heartbeat *wire.Heartbeat
}

// Tick runs one heartbeat period: it checks the observed nodes for failures, then returns the
// heartbeats to send.
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
		if observer.State != Dead { // it may have been declared dead in this very tick
			heartbeats = append(heartbeats, OutgoingHeartbeat{observer.Addr, c.newHeartbeat(c.ticks <= joiningHeartbeats)})
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

// reconnectHeartbeats returns a heartbeat to a seed or a dead node every fourth period, so that
// partitions heal; a node that is alone sends two of them in every period.
func (c *Core) reconnectHeartbeats(alone bool) []OutgoingHeartbeat {
	if !alone && c.ticks%reconnectTicks != 0 {
		return nil
	}
	addresses := c.reconnectAddresses()
	if len(addresses) == 0 {
		return nil
	}
	address := addresses[c.ticks/reconnectTicks%len(addresses)]
	heartbeats := []OutgoingHeartbeat{{address, c.newHeartbeat(alone || c.sendFull[address])}}
	delete(c.sendFull, address)
	if alone && len(addresses) > 1 {
		heartbeats = append(heartbeats, OutgoingHeartbeat{addresses[(c.ticks+1)%len(addresses)], c.newHeartbeat(true)})
	}
	return heartbeats
}

// reconnectAddresses lists the seeds and the dead nodes.
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

// Leave returns the heartbeats that announce that this node stops, so that its observers needn't
// detect it by a timeout.
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
