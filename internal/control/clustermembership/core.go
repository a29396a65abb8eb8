// Package clustermembership is how nodes know each other: heartbeats to a few watchers named by
// place on a ring, and news of who came and went. Core is a pure state machine.
package clustermembership

import (
	"sort"
	"time"

	"pebbleloom/internal/queue"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

// The states of a node, in the order that breaks ties.
const (
	Alive uint32 = iota
	Suspect
	Dead
)

// The roles of nodes, as they stand in the cluster membership. A node's name is its role, a slash and the
// name of its machine. Mixed releases share them, so they keep their first names.
const (
	RoleControlNode         = "archive"
	RolePromptIndex         = "catalogue"
	RolePlacementController = "appraiser"
	RoleNodeAgent           = "runner"
)

const maxNodes = 4096

// joiningHeartbeats is how many heartbeats a node asks for full views: others may not have noticed that it
// was away, and have no reason to send it everything. These heartbeats fill the first period, so that
// nodes that start together find each other soon.
const joiningHeartbeats = 8

// divergenceRatio is how long views may differ, as a ratio of the leave bound, before a full view is
// sent although updates are still in flight.
const divergenceRatio = 0.5

// replacementAgeRatio is the age of a node, as a ratio of the leave bound and sleep included, from which a
// newer incarnation of its name elsewhere is its successor and not its own past.
const replacementAgeRatio = 2

type peer struct {
	node          *wire.Node
	position      uint64        // on the ring
	changedAt     time.Duration // when this state began
	lastContact   time.Duration
	transmitsLeft int // how many more heartbeats carry it
}

// Core is one node's view of all nodes.
type Core struct {
	bounds     settings.Bounds
	self       *wire.Node
	seeds      []string
	peers      map[string]*peer
	ticks      int
	version    uint64
	checksum   uint64 // checksum of the view
	nameReused bool
	startedAt  time.Duration            // its first tick
	sendFull   map[string]bool          // addresses whose view differs: they get a full view
	divergedAt map[string]time.Duration // by caller: since when its view differs from this one
}

// New makes a view that holds this node and its seeds.
//
// Example: c := clustermembership.New(bounds, self, seeds)
func New(b settings.Bounds, self *wire.Node, seeds []string) *Core {
	return &Core{bounds: b, self: self, seeds: seeds, peers: map[string]*peer{}, version: 1, sendFull: map[string]bool{}, divergedAt: map[string]time.Duration{}}
}

// Replaced reports whether another machine has taken this node's name: the node has to stop.
//
// Example: if c.Replaced() { stop() }
func (c *Core) Replaced() bool { return c.nameReused }

// Version grows whenever the view changes.
//
// Example: if c.Version() != seen { … }
func (c *Core) Version() uint64 { return c.version }

// SetSeeds changes the seeds at run time.
//
// Example: c.SetSeeds([]string{"127.10.1.1:7000"})
func (c *Core) SetSeeds(s []string) { c.seeds = s }

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

func (c *Core) merge(n *wire.Node, now time.Duration, direct bool) {
	if n == nil || n.Name == "" {
		return
	}
	if n.Name == c.self.Name {
		// Another node considers this one suspect or gone, or remembers an older incarnation of it:
		// refute that with a higher beat or incarnation.
		if n.State != Alive && n.Incarnation == c.self.Incarnation && n.Heartbeat >= c.self.Heartbeat {
			c.self.Heartbeat = n.Heartbeat + 1
		} else if n.Incarnation > c.self.Incarnation {
			if n.Addr != c.self.Addr && n.State == Alive && c.ticks > 0 && now-c.startedAt > c.bounds.Leave(replacementAgeRatio) {
				c.nameReused = true // another machine took this name while this one was suspended
				return
			}
			c.self.Incarnation = n.Incarnation + 1
		}
		return
	}
	e := c.peers[n.Name]
	if e == nil {
		if len(c.peers) >= maxNodes || n.State == Dead {
			return
		}
		c.peers[n.Name] = &peer{node: clone(n), position: queue.Hash(n.Name), changedAt: now, lastContact: now, transmitsLeft: c.retransmitLimit()}
		c.version++
		return
	}
	if direct && n.Incarnation >= e.node.Incarnation {
		e.lastContact = now
	}
	if !isNewer(n, e.node) {
		if n.State != Alive && e.node.State == Alive && e.node.Heartbeat > n.Heartbeat && n.Incarnation == e.node.Incarnation {
			e.transmitsLeft = c.retransmitLimit() // it was heard since: refute that
		}
		return
	}
	changed := n.State != e.node.State || n.Incarnation != e.node.Incarnation || n.Addr != e.node.Addr
	e.node = clone(n)
	if changed {
		e.changedAt, e.transmitsLeft = now, c.retransmitLimit()
		if n.State == Alive {
			e.lastContact = now
		}
		c.version++
	}
}

func (c *Core) retransmitLimit() int {
	k := 3
	for n := len(c.peers); n > 1; n /= 2 {
		k += 2
	}
	return k
}

// OutgoingHeartbeat is a heartbeat to send to an address.
type OutgoingHeartbeat struct {
	Address   string
	Heartbeat *wire.Heartbeat
}

// Tick is one period: judge the observed nodes, then return the heartbeats to send.
//
// Example: for _, x := range c.Tick(clock.Now()) { send(x) }
func (c *Core) Tick(now time.Duration) []OutgoingHeartbeat {
	if c.ticks++; c.ticks == 1 {
		c.startedAt = now
	}
	c.self.Heartbeat++
	ring := c.ring()
	at, offsets := 0, ringOffsets(len(ring))
	for i, x := range ring {
		if x.node == c.self {
			at = i
		}
	}
	watched := map[string]bool{}
	for _, d := range offsets {
		watched[ring[(at-d+len(ring))%len(ring)].node.Name] = true
	}
	c.detectFailures(watched, now)
	c.checksum = c.computeChecksum()
	var calls []OutgoingHeartbeat
	for _, d := range offsets {
		if w := ring[(at+d)%len(ring)].node; w.State != Dead {
			calls = append(calls, OutgoingHeartbeat{w.Addr, c.newHeartbeat(c.ticks <= joiningHeartbeats)})
		}
	}
	calls = append(calls, c.reconnectHeartbeats(len(calls) == 0)...)
	for _, e := range c.peers {
		if e.transmitsLeft > 0 {
			e.transmitsLeft--
		}
	}
	return calls
}

// detectFailures suspects the watched nodes that were silent, and removes those that stayed silent.
func (c *Core) detectFailures(watched map[string]bool, now time.Duration) {
	for _, e := range c.peers {
		switch {
		case e.node.State == Alive && !watched[e.node.Name]:
			e.lastContact = now // its timeout starts when this node becomes its observer
		case e.node.State == Alive && now-e.lastContact > c.bounds.Leave(0.35):
			e.node.State, e.changedAt, e.transmitsLeft = Suspect, now, c.retransmitLimit()
			c.version++
		case e.node.State == Suspect && now-e.changedAt > c.bounds.Leave(0.25):
			e.node.State, e.changedAt, e.transmitsLeft = Dead, now, c.retransmitLimit()
			c.version++
		case e.node.State == Dead && now-e.changedAt > c.bounds.Heal(10):
			delete(c.peers, e.node.Name)
			c.version++
		}
	}
}

// reconnectHeartbeats calls a seed or a gone node every fourth period, so that partitions heal; a node that is
// alone calls two of them in every period.
func (c *Core) reconnectHeartbeats(alone bool) []OutgoingHeartbeat {
	if !alone && c.ticks%4 != 0 {
		return nil
	}
	var addresses []string
	for _, s := range c.seeds {
		if s != c.self.Addr {
			addresses = append(addresses, s)
		}
	}
	for _, n := range c.Nodes() {
		if n.State == Dead {
			addresses = append(addresses, n.Addr)
		}
	}
	if len(addresses) == 0 {
		return nil
	}
	x := addresses[c.ticks/4%len(addresses)]
	calls := []OutgoingHeartbeat{{x, c.newHeartbeat(alone || c.sendFull[x])}}
	delete(c.sendFull, x)
	if alone && len(addresses) > 1 {
		calls = append(calls, OutgoingHeartbeat{addresses[(c.ticks+1)%len(addresses)], c.newHeartbeat(true)})
	}
	return calls
}

func (c *Core) newHeartbeat(whole bool) *wire.Heartbeat {
	b := &wire.Heartbeat{Format: 1, From: clone(c.self), FullView: whole, ViewChecksum: c.checksum}
	for _, e := range c.peers {
		if whole || e.transmitsLeft > 0 {
			b.Updates = append(b.Updates, clone(e.node))
		}
	}
	return b
}

// Leave returns the heartbeats that announce that this node stops, so that nobody has to detect it by
// its silence.
//
// Example: for _, x := range c.Leave() { send(x) }
func (c *Core) Leave() []OutgoingHeartbeat {
	c.self.Heartbeat++
	c.self.State = Dead
	var l []OutgoingHeartbeat
	for _, e := range c.peers {
		if e.node.State == Alive && len(l) < 8 {
			l = append(l, OutgoingHeartbeat{e.node.Addr, &wire.Heartbeat{Format: 1, From: clone(c.self)}})
		}
	}
	return l
}

// HandleHeartbeat takes a heartbeat and returns the response: the updates, or the full view if the two
// differ.
//
// Example: response := c.HandleHeartbeat(beat, clock.Now())
func (c *Core) HandleHeartbeat(b *wire.Heartbeat, now time.Duration) *wire.Heartbeat {
	if b.GetFormat() != 1 {
		return &wire.Heartbeat{Format: 1, From: clone(c.self)} // an unknown format
	}
	if b.GetFrom() == nil {
		return c.newHeartbeat(true) // an observer without a node of its own
	}
	old := c.peers[b.From.Name]
	fresh := old == nil || old.node.State == Dead
	was := c.version
	c.merge(b.From, now, true)
	for _, n := range b.Updates {
		c.merge(n, now, false)
	}
	if c.version != was {
		c.checksum = c.computeChecksum()
	}
	t := c.newHeartbeat(b.FullView || fresh || c.needsFullView(b, now))
	if e := c.peers[b.From.Name]; e != nil && e.node.Incarnation > b.From.Incarnation {
		t.Updates = append(t.Updates, clone(e.node)) // a newer incarnation of that name is known here
	}
	return t
}

// needsFullView reports whether a caller's view differs from this one and no update in flight will fix
// that: there is none, or the views have differed for long.
func (c *Core) needsFullView(b *wire.Heartbeat, now time.Duration) bool {
	if b.ViewChecksum == c.checksum {
		delete(c.divergedAt, b.From.Name)
		return false
	}
	since, ok := c.divergedAt[b.From.Name]
	if !ok {
		if len(c.divergedAt) >= 64 {
			clear(c.divergedAt) // measured again from now
		}
		c.divergedAt[b.From.Name] = now
	}
	if ok && now-since > c.bounds.Leave(divergenceRatio) {
		c.divergedAt[b.From.Name] = now // sent once, and again if that didn't help
		return true
	}
	return len(b.Updates) == 0 && c.isStable(now)
}

// isStable reports whether no update is in flight here: views that differ then will not converge by
// themselves.
func (c *Core) isStable(now time.Duration) bool {
	for _, e := range c.peers {
		if e.transmitsLeft > 0 || now-e.changedAt < c.bounds.Leave(0.3) {
			return false
		}
	}
	return true
}

// HandleResponse takes the response to an own heartbeat. If the other node sent its full view and the
// views still differ, the next call to it carries the full view.
//
// Example: c.HandleResponse(addr, response, clock.Now())
func (c *Core) HandleResponse(from string, b *wire.Heartbeat, now time.Duration) {
	was := c.version
	c.merge(b.GetFrom(), now, true)
	for _, n := range b.GetUpdates() {
		c.merge(n, now, false)
	}
	if c.version != was {
		c.checksum = c.computeChecksum()
	}
	if b.GetFullView() && b.ViewChecksum != c.checksum && len(c.sendFull) < 64 {
		c.sendFull[from] = true
	}
}

// Nodes lists the view by name, including this node.
//
// Example: for _, n := range c.Nodes() { fmt.Println(n.Name, n.State) }
func (c *Core) Nodes() []*wire.Node {
	l := []*wire.Node{clone(c.self)}
	for _, e := range c.peers {
		l = append(l, clone(e.node))
	}
	sort.Slice(l, func(i, j int) bool { return l[i].Name < l[j].Name })
	return l
}
