package clustermembership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

// unknownState is how a view is counted that doesn't hold the node.
const unknownState uint32 = 99

// simulatedSite is many cores on virtual time; a heartbeat and its response take none.
type simulatedSite struct {
	random     *rand.Rand
	now        time.Duration
	cores      map[string]*Core // by address
	down       map[string]bool
	linkDown   func(from, to string) bool // whether messages from one address to another are lost
	heartbeats int
	bytes      int // of heartbeats and responses
	maxNumber  int // of a machine
}

func newSite(n int, seed uint64) *simulatedSite {
	s := &simulatedSite{
		random:    rand.New(rand.NewPCG(seed, 5)),
		cores:     map[string]*Core{},
		down:      map[string]bool{},
		linkDown:  noPartition,
		maxNumber: 400,
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

// add starts machine i with a new incarnation.
func (s *simulatedSite) add(i int, incarnation uint64) {
	self := &wire.Node{Name: nodeName(i), Incarnation: incarnation, Role: "x", Zone: fmt.Sprint(i % 4), Addr: addr(i)}
	s.cores[addr(i)] = New(settings.DefaultBounds(), self, seedAddrs())
	delete(s.down, addr(i))
}

// addElsewhere starts a machine under the name of machine i at another address. Its clock began anew,
// so its incarnation is 0.
func (s *simulatedSite) addElsewhere(i, number int) {
	self := &wire.Node{Name: nodeName(i), Incarnation: 0, Role: "x", Addr: addr(number)}
	s.cores[addr(number)] = New(settings.DefaultBounds(), self, seedAddrs())
}

func (s *simulatedSite) run(d time.Duration) {
	period := settings.DefaultBounds().Leave(0.1)
	for end := s.now + d; s.now < end; s.now += period {
		for i := range s.maxNumber {
			s.tick(addr(i))
		}
	}
}

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

// states counts in how many views of running nodes a node has each state.
func (s *simulatedSite) states(name string) map[uint32]int {
	counts := map[uint32]int{}
	for address, core := range s.cores {
		if s.down[address] {
			continue
		}
		state := unknownState
		for _, n := range core.Nodes() {
			if n.Name == name {
				state = n.State
			}
		}
		counts[state]++
	}
	return counts
}

// requireNodeAt checks that all running nodes see a node alive at an address.
func (s *simulatedSite) requireNodeAt(t *testing.T, name, want string) {
	t.Helper()
	for address, core := range s.cores {
		for _, n := range core.Nodes() {
			if !s.down[address] && n.Name == name && (n.Addr != want || n.State != Alive) {
				t.Fatalf("%s sees %s at %s in state %d", address, name, n.Addr, n.State)
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
				t.Fatalf("%d nodes: n-%d is seen as %v", n, i, got)
			}
		}
	}
}

// A node that fails is dead in all views within the leave bound, and no other is; the heartbeats that
// a node sends don't grow with the site.
func TestDeadNodeIsDetectedWithinLeaveBound(t *testing.T) {
	for _, n := range []int{13, 26, 104} {
		s := newSite(n, 2)
		s.run(4 * time.Second)
		s.heartbeats = 0
		s.down[addr(5)] = true
		s.run(settings.DefaultBounds().Leave(1))
		if got := s.states(nodeName(5)); got[Dead] != n-1 {
			t.Errorf("%d nodes: the dead one is seen as %v after the bound", n, got)
		}
		for i := range n {
			if got := s.states(nodeName(i)); i != 5 && got[Dead]+got[Suspect] > 0 {
				t.Errorf("%d nodes: running n-%d is seen as %v", n, i, got)
			}
		}
		if perPeriod := float64(s.heartbeats) / float64(n) / 10; perPeriod > 3.6 {
			t.Errorf("%d nodes: %.2f heartbeats per node and period", n, perPeriod)
		}
	}
}

// One broken link in one direction causes no false detection: another observer has heard the node.
func TestOneBrokenLinkCausesNoFalseDetection(t *testing.T) {
	for from := range 13 {
		for to := range 13 {
			s := newSite(13, 3)
			s.run(3 * time.Second)
			s.linkDown = func(a, b string) bool { return a == addr(from) && b == addr(to) }
			s.run(6 * time.Second)
			for i := range 13 {
				if got := s.states(nodeName(i)); got[Dead] > 0 {
					t.Fatalf("link %d>%d cut: n-%d is seen as %v", from, to, i, got)
				}
			}
		}
	}
}

// A node that leaves is dead in all views within a few periods, without a timeout; late reports that
// it is alive don't bring it back.
func TestGracefulLeaveNeedsNoTimeout(t *testing.T) {
	s := newSite(26, 6)
	s.run(4 * time.Second)
	for _, outgoing := range s.cores[addr(7)].Leave() {
		s.cores[outgoing.Address].HandleHeartbeat(outgoing.Heartbeat, s.now)
	}
	s.down[addr(7)] = true
	s.run(settings.DefaultBounds().Leave(0.4))
	if got := s.states(nodeName(7)); got[Dead] != 25 {
		t.Fatalf("the node that left is seen as %v", got)
	}
}

// A machine is suspended, another one is started under its name at another address, and the first one
// resumes: it stops, and all see the new one.
func TestReplacedNodeStops(t *testing.T) {
	site := newSite(13, 8)
	site.run(2 * time.Second) // it was young when it was suspended: the suspension counts as age
	site.down[addr(3)] = true
	site.run(4 * time.Second)
	site.addElsewhere(3, 300)
	site.run(8 * time.Second)
	delete(site.down, addr(3))
	for range 30 {
		site.run(300 * time.Millisecond)
		if site.cores[addr(3)].Replaced() {
			site.down[addr(3)] = true // its member sends no more heartbeats
		}
	}
	if !site.down[addr(3)] || site.cores[addr(300)].Replaced() {
		t.Fatalf("the old one stopped: %v, the new one: %v", site.down[addr(3)], site.cores[addr(300)].Replaced())
	}
	site.requireNodeAt(t, nodeName(3), addr(300))
}

// The halves of a partition find each other again, and a machine that returns without its state at a
// new address under its old name is seen there.
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
		t.Fatalf("partitioned: n-12 is seen as %v", got)
	}
	site.linkDown = noPartition
	site.run(settings.DefaultBounds().Heal(0.5))
	for i := range 13 {
		if got := site.states(nodeName(i)); got[Alive] != 13 {
			t.Fatalf("healed: n-%d is seen as %v", i, got)
		}
	}
	site.down[addr(3)] = true
	delete(site.cores, addr(3))
	site.run(4 * time.Second)
	site.addElsewhere(3, 300)
	site.run(4 * time.Second)
	site.requireNodeAt(t, nodeName(3), addr(300))
}

// A machine that is back before its failure was detected receives the full view: its peers send
// heartbeats to it before its own first one, and have no updates for it. Two machines restart at once,
// while others come and go.
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
			s.observeFirst(addr(i), addr(j))
			s.down[addr((i+13)%26)] = s.random.IntN(2) == 0 // so that updates are in flight meanwhile
			s.run(3 * time.Second)
			s.down[addr((i+13)%26)] = false
			s.run(3 * time.Second)
			for _, restarted := range []int{i, j} {
				if n := s.countAlive(addr(restarted)); n != 26 {
					t.Fatalf("seed %d: n-%d sees %d of 26 six seconds after its restart", seed, restarted, n)
				}
			}
		}
	}
}

// observeFirst delivers the heartbeats of all other nodes to two that were just restarted.
func (s *simulatedSite) observeFirst(first, second string) {
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

// countAlive counts the nodes that the one at an address sees alive.
func (s *simulatedSite) countAlive(address string) int {
	alive := 0
	for _, n := range s.cores[address].Nodes() {
		if n.State == Alive {
			alive++
		}
	}
	return alive
}
