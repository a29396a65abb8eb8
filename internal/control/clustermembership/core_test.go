package clustermembership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

// notInView is the key under which simulatedSite.states counts the nodes whose views do not contain a given node.
const notInView uint32 = 99

// simulatedSite runs the cores of many nodes on virtual time. Heartbeats and responses are delivered
// without delay.
type simulatedSite struct {
	random      *rand.Rand
	now         time.Duration
	cores       map[string]*Core           // nodes of the simulated site, by address
	down        map[string]bool            // addresses of nodes that neither send nor receive messages
	linkDown    func(from, to string) bool // function that reports whether messages from one address to another are lost
	heartbeats  int                        // number of heartbeats that all nodes have sent
	bytes       int                        // total size in bytes of all heartbeats and responses sent
	numberLimit int                        // nodes with a number at or above this limit are not ticked by run
}

func newSite(n int, seed uint64) *simulatedSite {
	s := &simulatedSite{
		random:      rand.New(rand.NewPCG(seed, 5)),
		cores:       map[string]*Core{},
		down:        map[string]bool{},
		linkDown:    noPartition,
		numberLimit: 400,
	}
	for i := range n {
		s.add(i, 1)
	}
	return s
}

func noPartition(_, _ string) bool { return false }

func addr(i int) string { return fmt.Sprintf("10.0.0.%d:1", i) }

func nodeName(i int) string { return fmt.Sprintf("n-%d", i) }

func seedAddrs() []string { return []string{addr(0), addr(1), addr(2)} }

// add starts node i of the simulated site with an incarnation. If the node runs already, it is replaced by the new
// run.
func (s *simulatedSite) add(i int, incarnation uint64) {
	self := &wire.Node{Name: nodeName(i), Incarnation: incarnation, Role: "x", Zone: fmt.Sprint(i % 4), Addr: addr(i)}
	s.cores[addr(i)] = New(settings.DefaultBounds(), self, seedAddrs())
	delete(s.down, addr(i))
}

// addReplacement starts another machine under the name of node i, at the address that belongs to the given node
// number. The clock of that machine has restarted, so its incarnation is 0.
func (s *simulatedSite) addReplacement(i, number int) {
	self := &wire.Node{Name: nodeName(i), Incarnation: 0, Role: "x", Addr: addr(number)}
	s.cores[addr(number)] = New(settings.DefaultBounds(), self, seedAddrs())
}

// run simulates a site for a duration of virtual time, ticking all nodes once per heartbeat period.
func (s *simulatedSite) run(d time.Duration) {
	period := settings.DefaultBounds().Leave(0.1)
	for end := s.now + d; s.now < end; s.now += period {
		for i := range s.numberLimit {
			s.tick(addr(i))
		}
	}
}

// tick runs one heartbeat period of the node at address from, and delivers its heartbeats and their responses.
func (s *simulatedSite) tick(from string) {
	core := s.cores[from]
	if core == nil || s.down[from] {
		return
	}
	for _, outgoing := range core.Tick(s.now) {
		s.heartbeats++
		s.bytes += size(outgoing.Heartbeat)
		receiver := s.cores[outgoing.Address]
		if receiver == nil || s.down[outgoing.Address] || s.linkDown(from, outgoing.Address) {
			continue
		}
		response := receiver.HandleHeartbeat(outgoing.Heartbeat, s.now)
		s.bytes += size(response)
		if !s.linkDown(outgoing.Address, from) {
			core.HandleResponse(outgoing.Address, response, s.now)
		}
	}
}

// states returns how many running nodes see the node with a name in each state.
func (s *simulatedSite) states(name string) map[uint32]int {
	counts := map[uint32]int{}
	for address, core := range s.cores {
		if s.down[address] {
			continue
		}
		state := notInView
		for _, n := range core.Nodes() {
			if n.Name == name {
				state = n.State
			}
		}
		counts[state]++
	}
	return counts
}

// requireNodeAt fails the test unless every running node sees the node with a name alive at the address want.
func (s *simulatedSite) requireNodeAt(t *testing.T, name, want string) {
	t.Helper()
	for address, core := range s.cores {
		for _, n := range core.Nodes() {
			if !s.down[address] && n.Name == name && (n.Addr != want || n.State != Alive) {
				t.Fatalf("node at %s sees node %s at address %s in state %d, want address %s and state alive (%d)", address, name, n.Addr, n.State, want, Alive)
			}
		}
	}
}

func TestNodesDiscoverEachOtherThroughSeeds(t *testing.T) {
	for _, n := range []int{13, 26, 104} {
		s := newSite(n, 1)
		s.run(3 * time.Second)
		for i := range n {
			if got := s.states(nodeName(i)); got[Alive] != n {
				t.Fatalf("site of %d nodes: counts of nodes by the state in which they see n-%d: %v, want all of them alive (%d)", n, i, got, Alive)
			}
		}
	}
}

// A failed node is dead in all views within the time limit Bounds.LeaveMs, and no running node is suspect or dead in
// any view. The number of heartbeats that a node sends does not grow with the size of the site.
func TestDeadNodeIsDetectedWithinLeaveBound(t *testing.T) {
	for _, n := range []int{13, 26, 104} {
		s := newSite(n, 2)
		s.run(4 * time.Second)
		s.heartbeats = 0
		s.down[addr(5)] = true
		s.run(settings.DefaultBounds().Leave(1))
		if got := s.states(nodeName(5)); got[Dead] != n-1 {
			t.Errorf("site of %d nodes: counts of nodes by the state in which they see the failed node after the time limit LeaveMs: %v, want %d dead (%d)", n, got, n-1, Dead)
		}
		for i := range n {
			if got := s.states(nodeName(i)); i != 5 && got[Dead]+got[Suspect] > 0 {
				t.Errorf("site of %d nodes: counts of nodes by the state in which they see running n-%d: %v, want none suspect (%d) or dead (%d)", n, i, got, Suspect, Dead)
			}
		}
		if perPeriod := float64(s.heartbeats) / float64(n) / 10; perPeriod > 3.6 {
			t.Errorf("site of %d nodes: each node sent %.2f heartbeats per period, want at most 3.6", n, perPeriod)
		}
	}
}

// If messages are lost on one link between two nodes in one direction, no node is declared dead: the other observers
// of the sending node still receive its heartbeats.
func TestOneBrokenLinkCausesNoFalseDetection(t *testing.T) {
	for from := range 13 {
		for to := range 13 {
			s := newSite(13, 3)
			s.run(3 * time.Second)
			s.linkDown = func(a, b string) bool { return a == addr(from) && b == addr(to) }
			s.run(6 * time.Second)
			for i := range 13 {
				if got := s.states(nodeName(i)); got[Dead] > 0 {
					t.Fatalf("link from n-%d to n-%d broken: counts of nodes by the state in which they see running n-%d: %v, want none dead (%d)", from, to, i, got, Dead)
				}
			}
		}
	}
}

// A node that leaves gracefully is dead in all views within a few heartbeat periods, before any timeout expires.
// Late reports that the node is alive do not revive it in any view.
func TestGracefulLeaveNeedsNoTimeout(t *testing.T) {
	s := newSite(26, 6)
	s.run(4 * time.Second)
	for _, outgoing := range s.cores[addr(7)].Leave() {
		s.cores[outgoing.Address].HandleHeartbeat(outgoing.Heartbeat, s.now)
	}
	s.down[addr(7)] = true
	s.run(settings.DefaultBounds().Leave(0.4))
	if got := s.states(nodeName(7)); got[Dead] != 25 {
		t.Fatalf("counts of nodes by the state in which they see the node that left: %v, want 25 dead (%d)", got, Dead)
	}
}

// While a machine is suspended, another machine joins under its name at another address. When the suspended machine
// resumes, it must stop, and all nodes must keep seeing the replacement.
func TestReplacedNodeStops(t *testing.T) {
	site := newSite(13, 8)
	site.run(2 * time.Second) // shorter than the time that a node must have run to accept a replacement, so the test passes only if suspended time counts as well
	site.down[addr(3)] = true
	site.run(4 * time.Second)
	site.addReplacement(3, 300)
	site.run(8 * time.Second)
	delete(site.down, addr(3))
	for range 30 {
		site.run(300 * time.Millisecond)
		if site.cores[addr(3)].Replaced() {
			site.down[addr(3)] = true // a replaced node sends no more heartbeats, as in Member.tick
		}
	}
	if !site.down[addr(3)] || site.cores[addr(300)].Replaced() {
		t.Fatalf("Replaced after the suspended machine resumed: %v, want true; Replaced of the machine that took its name: %v, want false", site.down[addr(3)], site.cores[addr(300)].Replaced())
	}
	site.requireNodeAt(t, nodeName(3), addr(300))
}

// The two sides of a partition see each other again after it has healed. A machine that loses its state and restarts
// under the same name at a new address is seen at the new address.
func TestPartitionHealsAndNameMovesToNewAddress(t *testing.T) {
	site := newSite(13, 4)
	site.run(3 * time.Second)
	inFirstHalf := func(address string) bool {
		var i int
		if _, err := fmt.Sscanf(address, "10.0.0.%d", &i); err != nil {
			t.Fatal(err)
		}
		return i < 6
	}
	site.linkDown = func(from, to string) bool { return inFirstHalf(from) != inFirstHalf(to) }
	site.run(10 * time.Second)
	if got := site.states(nodeName(12)); got[Dead] != 6 {
		t.Fatalf("during the partition: counts of nodes by the state in which they see n-12: %v, want 6 dead (%d)", got, Dead)
	}
	site.linkDown = noPartition
	site.run(settings.DefaultBounds().Recovery(0.5))
	for i := range 13 {
		if got := site.states(nodeName(i)); got[Alive] != 13 {
			t.Fatalf("after the partition healed: counts of nodes by the state in which they see n-%d: %v, want 13 alive (%d)", i, got, Alive)
		}
	}
	site.down[addr(3)] = true
	delete(site.cores, addr(3))
	site.run(4 * time.Second)
	site.addReplacement(3, 300)
	site.run(4 * time.Second)
	site.requireNodeAt(t, nodeName(3), addr(300))
}

// A node that restarts before its failure is detected must still learn the full view, although the other nodes have
// no state changes to send to it and their heartbeats reach it before it has sent its first one. In this test two
// nodes restart at once, while other nodes fail and return.
func TestQuickRestartReceivesFullView(t *testing.T) {
	for seed := range uint64(3) {
		s := newSite(26, seed)
		s.run(6 * time.Second)
		for i := int(seed); i < 26; i += 5 {
			j := (i + 1) % 26
			s.down[addr(i)], s.down[addr(j)] = true, true
			s.run(300 * time.Millisecond)
			s.add(i, uint64(100+i))
			s.add(j, uint64(200+i))
			s.deliverHeartbeatsTo(addr(i), addr(j))
			s.down[addr((i+13)%26)] = s.random.IntN(2) == 0 // a third node may fail, so that state changes are being gossiped during the restarts
			s.run(3 * time.Second)
			s.down[addr((i+13)%26)] = false
			s.run(3 * time.Second)
			for _, restarted := range []int{i, j} {
				if n := s.countAlive(addr(restarted)); n != 26 {
					t.Fatalf("seed %d: node n-%d sees %d nodes alive six seconds after its restart, want 26", seed, restarted, n)
				}
			}
		}
	}
}

// deliverHeartbeatsTo ticks all nodes except those at two addresses, and delivers only heartbeats to these two.
func (s *simulatedSite) deliverHeartbeatsTo(first, second string) {
	for address, core := range s.cores {
		if address == first || address == second {
			continue
		}
		for _, outgoing := range core.Tick(s.now) {
			if outgoing.Address == first || outgoing.Address == second {
				s.cores[outgoing.Address].HandleHeartbeat(outgoing.Heartbeat, s.now)
			}
		}
	}
}

// countAlive returns the number of nodes that the node at an address sees alive, including itself.
func (s *simulatedSite) countAlive(address string) int {
	alive := 0
	for _, n := range s.cores[address].Nodes() {
		if n.State == Alive {
			alive++
		}
	}
	return alive
}
