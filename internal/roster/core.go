// Package roster is how nodes know each other: heartbeats to a few watchers named by
// place on a ring, and news of who came and went. Core is a pure state machine.
package roster

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
	Gone
)

const maxNodes = 4096

type entry struct {
	n     *wire.Node
	at    time.Duration // when this state began, or the last beat heard
	heard time.Duration
	tell  int // how many more letters carry it
}

// Core is one node's view of all nodes.
type Core struct {
	b     settings.Bounds
	self  *wire.Node
	seeds []string
	all   map[string]*entry
	turn  int
	epoch uint64
}

// New makes a view that knows itself and its seeds.
//
// Example: c := roster.New(bounds, self, seeds)
func New(b settings.Bounds, self *wire.Node, seeds []string) *Core {
	return &Core{b: b, self: self, seeds: seeds, all: map[string]*entry{}, epoch: 1}
}

// Epoch grows whenever the view changes.
//
// Example: if c.Epoch() != seen { … }
func (c *Core) Epoch() uint64 { return c.epoch }

// SetSeeds changes the seeds at run time.
//
// Example: c.SetSeeds([]string{"127.10.1.1:7000"})
func (c *Core) SetSeeds(s []string) { c.seeds = s }

// newer tells whether a says more recent things of a node than b.
func newer(a, b *wire.Node) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	if a.Beat != b.Beat {
		return a.Beat > b.Beat
	}
	return a.State > b.State
}

func clone(n *wire.Node) *wire.Node {
	return &wire.Node{Name: n.Name, Incarnation: n.Incarnation, Role: n.Role, District: n.District,
		Addr: n.Addr, State: n.State, Beat: n.Beat, Operator: n.Operator}
}

func (c *Core) learn(n *wire.Node, now time.Duration, direct bool) {
	if n == nil || n.Name == "" {
		return
	}
	if n.Name == c.self.Name {
		// Someone says that this node is suspect or gone, or an older life of it is remembered:
		// speak up louder.
		if n.State != Alive && n.Incarnation == c.self.Incarnation && n.Beat >= c.self.Beat {
			c.self.Beat = n.Beat + 1
		} else if n.Incarnation > c.self.Incarnation {
			c.self.Incarnation = n.Incarnation + 1
		}
		return
	}
	e := c.all[n.Name]
	if e == nil {
		if len(c.all) >= maxNodes || n.State == Gone {
			return
		}
		c.all[n.Name] = &entry{n: clone(n), at: now, heard: now, tell: c.spread()}
		c.epoch++
		return
	}
	if direct && n.Incarnation >= e.n.Incarnation {
		e.heard = now
	}
	if !newer(n, e.n) {
		if n.State != Alive && e.n.State == Alive && e.n.Beat > n.Beat && n.Incarnation == e.n.Incarnation {
			e.tell = c.spread() // it was heard since: say so
		}
		return
	}
	changed := n.State != e.n.State || n.Incarnation != e.n.Incarnation || n.Addr != e.n.Addr
	e.n = clone(n)
	if changed {
		e.at, e.tell = now, c.spread()
		if n.State == Alive {
			e.heard = now
		}
		c.epoch++
	}
}

func (c *Core) spread() int {
	k := 3
	for n := len(c.all); n > 1; n /= 2 {
		k += 2
	}
	return k
}

// ring lists all that aren't gone, by place.
func (c *Core) ring() []*wire.Node {
	l := []*wire.Node{c.self}
	for _, e := range c.all {
		if e.n.State != Gone {
			l = append(l, e.n)
		}
	}
	sort.Slice(l, func(i, j int) bool {
		a, b := queue.Hash(l[i].Name), queue.Hash(l[j].Name)
		return a < b || a == b && l[i].Name < l[j].Name
	})
	return l
}

// watchers names the few that a node's beats go to: the next on the ring, and two
// further off so that news crosses a long ring in few beats.
func watchers(ring []*wire.Node, name string) []*wire.Node {
	n, at := len(ring), -1
	for i, x := range ring {
		if x.Name == name {
			at = i
		}
	}
	if at < 0 || n < 2 {
		return nil
	}
	far := 1
	for far*far*far < n {
		far++
	}
	var l []*wire.Node
	seen := map[int]bool{at: true}
	for _, d := range []int{1, far, far * far} {
		if i := (at + d) % n; !seen[i] {
			seen[i] = true
			l = append(l, ring[i])
		}
	}
	return l
}

// Call is a beat to send to an address.
type Call struct {
	To   string
	Beat *wire.Beat
}

// Step is one period: judge whom this node watches, then say who to call.
//
// Example: for _, x := range c.Step(clk.Now()) { send(x) }
func (c *Core) Step(now time.Duration) []Call {
	c.self.Beat++
	c.turn++
	ring := c.ring()
	for _, e := range c.all {
		mine := false
		for _, w := range watchers(ring, e.n.Name) {
			mine = mine || w.Name == c.self.Name
		}
		switch {
		case e.n.State == Alive && !mine:
			e.heard = now // judged from when this node becomes its watcher
		case e.n.State == Alive && now-e.heard > c.b.Leave(0.35):
			e.n.State, e.at, e.tell = Suspect, now, c.spread()
			c.epoch++
		case e.n.State == Suspect && now-e.at > c.b.Leave(0.25):
			e.n.State, e.at, e.tell = Gone, now, c.spread()
			c.epoch++
		case e.n.State == Gone && now-e.at > c.b.Heal(10):
			delete(c.all, e.n.Name)
			c.epoch++
		}
	}
	var l []Call
	for _, w := range watchers(c.ring(), c.self.Name) {
		l = append(l, Call{w.Addr, c.beat(false)})
	}
	// Now and then a seed or someone gone is called, so that cut halves find each other.
	alone := len(l) == 0
	if alone || c.turn%4 == 0 {
		var far []string
		for _, s := range c.seeds {
			if s != c.self.Addr {
				far = append(far, s)
			}
		}
		for _, n := range c.Nodes() {
			if n.State == Gone {
				far = append(far, n.Addr)
			}
		}
		if len(far) > 0 {
			l = append(l, Call{far[c.turn/4%len(far)], c.beat(true)})
			if alone && len(far) > 1 {
				l = append(l, Call{far[(c.turn+1)%len(far)], c.beat(true)})
			}
		}
	}
	for _, e := range c.all {
		if e.tell > 0 {
			e.tell--
		}
	}
	return l
}

func (c *Core) beat(whole bool) *wire.Beat {
	b := &wire.Beat{Epoch: 1, From: clone(c.self), Whole: whole}
	for _, e := range c.all {
		if whole || e.tell > 0 {
			b.News = append(b.News, clone(e.n))
		}
	}
	return b
}

// Hear takes a beat and gives the answer to it.
//
// Example: answer := c.Hear(beat, clk.Now())
func (c *Core) Hear(b *wire.Beat, now time.Duration) *wire.Beat {
	if b.GetFrom() != nil {
		old := c.all[b.From.Name]
		fresh := old == nil || old.n.State == Gone
		c.learn(b.From, now, true)
		for _, n := range b.News {
			c.learn(n, now, false)
		}
		return c.beat(b.Whole || fresh)
	}
	return c.beat(true)
}

// Answer takes the answer to an own beat.
//
// Example: c.Answer(tell, clk.Now())
func (c *Core) Answer(b *wire.Beat, now time.Duration) {
	c.learn(b.GetFrom(), now, true)
	for _, n := range b.GetNews() {
		c.learn(n, now, false)
	}
}

// Nodes lists the view by name, this node too.
//
// Example: for _, n := range c.Nodes() { fmt.Println(n.Name, n.State) }
func (c *Core) Nodes() []*wire.Node {
	l := []*wire.Node{clone(c.self)}
	for _, e := range c.all {
		l = append(l, clone(e.n))
	}
	sort.Slice(l, func(i, j int) bool { return l[i].Name < l[j].Name })
	return l
}
