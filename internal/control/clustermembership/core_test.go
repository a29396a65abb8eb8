package clustermembership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

// simulatedSite is many cores on virtual time; a call takes up to 10 ms each way.
type simulatedSite struct {
	r     *rand.Rand
	now   time.Duration
	cores map[string]*Core // by address
	down  map[string]bool
	cut   func(a, b string) bool
	sent  int
	bytes int
	limit int // highest machine number
}

func newSite(n int, seed uint64) *simulatedSite {
	s := &simulatedSite{r: rand.New(rand.NewPCG(seed, 5)), cores: map[string]*Core{}, down: map[string]bool{}, cut: func(_, _ string) bool { return false }, limit: 400}
	for i := range n {
		s.add(i, 1)
	}
	return s
}

func addr(i int) string { return fmt.Sprintf("10.0.0.%d:1", i) }

func (s *simulatedSite) add(i int, inc uint64) {
	self := &wire.Node{Name: fmt.Sprintf("n-%d", i), Incarnation: inc, Role: "x", Zone: fmt.Sprint(i % 4), Addr: addr(i)}
	s.cores[addr(i)] = New(settings.DefaultBounds(), self, []string{addr(0), addr(1), addr(2)})
	delete(s.down, addr(i))
}

func (s *simulatedSite) run(d time.Duration) {
	beat := settings.DefaultBounds().Leave(0.1)
	for end := s.now + d; s.now < end; s.now += beat {
		for i := range s.limit {
			a := addr(i)
			c := s.cores[a]
			if c == nil || s.down[a] {
				continue
			}
			for _, x := range c.Tick(s.now) {
				to := s.cores[x.Address]
				s.sent++
				s.bytes += size(x.Heartbeat)
				if to == nil || s.down[x.Address] || s.cut(a, x.Address) {
					continue
				}
				t := to.HandleHeartbeat(x.Heartbeat, s.now)
				s.bytes += size(t)
				if !s.cut(x.Address, a) {
					c.HandleResponse(x.Address, t, s.now)
				}
			}
		}
	}
}

// states counts how many of the living see a node in each state.
func (s *simulatedSite) states(name string) map[uint32]int {
	m := map[uint32]int{}
	for a, c := range s.cores {
		if s.down[a] {
			continue
		}
		st := uint32(99)
		for _, n := range c.Nodes() {
			if n.Name == name {
				st = n.State
			}
		}
		m[st]++
	}
	return m
}

func TestNodesDiscoverEachOtherThroughSeeds(t *testing.T) {
	for _, n := range []int{13, 26, 104} {
		s := newSite(n, 1)
		s.run(3 * time.Second)
		for i := range n {
			if got := s.states(fmt.Sprintf("n-%d", i)); got[Alive] != n {
				t.Fatalf("%d nodes: n-%d is seen as %v", n, i, got)
			}
		}
	}
}

// A node that dies is gone for all within the bound; nobody else is, and the beats a node
// sends don't grow with the site.
func TestDeadNodeIsDetectedWithinLeaveBound(t *testing.T) {
	for _, n := range []int{13, 26, 104} {
		s := newSite(n, 2)
		s.run(4 * time.Second)
		s.sent = 0
		s.down[addr(5)] = true
		s.run(settings.DefaultBounds().Leave(1))
		if got := s.states("n-5"); got[Dead] != n-1 {
			t.Errorf("%d nodes: the dead one is seen as %v after the bound", n, got)
		}
		for i := range n {
			if got := s.states(fmt.Sprintf("n-%d", i)); i != 5 && got[Dead]+got[Suspect] > 0 {
				t.Errorf("%d nodes: living n-%d is seen as %v", n, i, got)
			}
		}
		if per := float64(s.sent) / float64(n) / 10; per > 3.6 {
			t.Errorf("%d nodes: %.2f beats a node and period", n, per)
		}
	}
}

// One broken link, either way or both, condemns nobody: another watcher has heard the node.
func TestOneBrokenLinkCausesNoFalseDetection(t *testing.T) {
	for from := range 13 {
		for to := range 13 {
			s := newSite(13, 3)
			s.run(3 * time.Second)
			s.cut = func(a, b string) bool { return a == addr(from) && b == addr(to) }
			s.run(6 * time.Second)
			for i := range 13 {
				if got := s.states(fmt.Sprintf("n-%d", i)); got[Dead] > 0 {
					t.Fatalf("link %d>%d cut: n-%d is seen as %v", from, to, i, got)
				}
			}
		}
	}
}

// A node that leaves is gone for all within a few beats, not after a silence; and what it
// hears of itself meanwhile doesn't bring it back.
func TestGracefulLeaveNeedsNoTimeout(t *testing.T) {
	s := newSite(26, 6)
	s.run(4 * time.Second)
	for _, x := range s.cores[addr(7)].Leave() {
		s.cores[x.Address].HandleHeartbeat(x.Heartbeat, s.now)
	}
	s.down[addr(7)] = true
	s.run(settings.DefaultBounds().Leave(0.4))
	if got := s.states("n-7"); got[Dead] != 25 {
		t.Fatalf("who left is seen as %v", got)
	}
}

// A machine freezes, another one is started under its name at another address, and the
// first one wakes: it steps back, and all see the new one.
func TestReplacedNodeStops(t *testing.T) {
	s := newSite(13, 8)
	s.run(2 * time.Second) // it was young when it froze: its sleep counts
	s.down[addr(3)] = true
	s.run(4 * time.Second)
	s.cores[addr(300)] = New(settings.DefaultBounds(), &wire.Node{Name: "n-3", Incarnation: 0, Role: "x", Addr: addr(300)}, []string{addr(0), addr(1), addr(2)})
	s.run(8 * time.Second)
	delete(s.down, addr(3))
	for range 30 {
		s.run(300 * time.Millisecond)
		if s.cores[addr(3)].Replaced() {
			s.down[addr(3)] = true // its member beats no more
		}
	}
	if !s.down[addr(3)] || s.cores[addr(300)].Replaced() {
		t.Fatalf("the old one stepped back: %v, the new one: %v", s.down[addr(3)], s.cores[addr(300)].Replaced())
	}
	for a, c := range s.cores {
		for _, n := range c.Nodes() {
			if !s.down[a] && n.Name == "n-3" && (n.Addr != addr(300) || n.State != Alive) {
				t.Fatalf("%s sees n-3 at %s in state %d", a, n.Addr, n.State)
			}
		}
	}
}

// Halves that were cut apart find each other again, and a machine that returns empty at
// a new address under its old name is taken for what it is.
func TestPartitionHealsAndNameMovesToNewAddress(t *testing.T) {
	s := newSite(13, 4)
	s.run(3 * time.Second)
	half := func(a string) bool { var i int; fmt.Sscanf(a, "10.0.0.%d", &i); return i < 6 }
	s.cut = func(a, b string) bool { return half(a) != half(b) }
	s.run(10 * time.Second)
	if got := s.states("n-12"); got[Dead] != 6 {
		t.Fatalf("cut apart: n-12 is seen as %v", got)
	}
	s.cut = func(_, _ string) bool { return false }
	s.run(settings.DefaultBounds().Heal(0.5))
	for i := range 13 {
		if got := s.states(fmt.Sprintf("n-%d", i)); got[Alive] != 13 {
			t.Fatalf("healed: n-%d is seen as %v", i, got)
		}
	}
	s.down[addr(3)] = true
	delete(s.cores, addr(3))
	s.run(4 * time.Second)
	self := &wire.Node{Name: "n-3", Incarnation: 0, Role: "x", Addr: addr(300)} // its clock began anew
	s.cores[addr(300)] = New(settings.DefaultBounds(), self, []string{addr(0), addr(1), addr(2)})
	s.run(4 * time.Second)
	for a, c := range s.cores {
		for _, n := range c.Nodes() {
			if n.Name == "n-3" && (n.Addr != addr(300) || n.State != Alive) {
				t.Fatalf("%s sees n-3 at %s in state %d", a, n.Addr, n.State)
			}
		}
	}
}

// A machine that is back before anybody saw it go gets the full view again: its peers call it
// before its own first beat, and have no news for it. Two of its
// programs begin anew at once, while others come and go.
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
			for a, c := range s.cores { // those who watch over it call first
				if a != addr(i) && a != addr(j) {
					for _, x := range c.Tick(s.now) {
						if x.Address == addr(i) || x.Address == addr(j) {
							s.cores[x.Address].HandleHeartbeat(x.Heartbeat, s.now)
						}
					}
				}
			}
			s.down[addr((i+13)%26)] = s.r.IntN(2) == 0 // news is under way for as long as it takes
			s.run(3 * time.Second)
			s.down[addr((i+13)%26)] = false
			s.run(3 * time.Second)
			for _, k := range []int{i, j} {
				n := 0
				for _, x := range s.cores[addr(k)].Nodes() {
					if x.State == Alive {
						n++
					}
				}
				if n != 26 {
					t.Fatalf("seed %d: n-%d sees %d of 26 six seconds after its restart", seed, k, n)
				}
			}
		}
	}
}
