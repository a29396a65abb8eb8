// Package clustermembership is how nodes know each other: heartbeats to a few watchers named by
// place on a ring, and news of who came and went. Core is a pure state machine.
package clustermembership

import (
	"slices"
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

// young is how many beats a node asks to be told all in: others may not have seen that it was
// away, and have no reason of their own to tell it. These beats fill the first period, so that
// nodes that begin together know each other soon.
const young = 8

// patience is how long views may differ, as a ratio of the leave bound, before all is told
// though there is still news under way.
const patience = 0.5

// settledAge is how old a node is, as a ratio of the leave bound and sleep included, from
// when on a later life of its name elsewhere is its successor and not its own past.
const settledAge = 2

type entry struct {
	n     *wire.Node
	place uint64        // on the ring
	at    time.Duration // when this state began, or the last beat heard
	heard time.Duration
	tell  int // how many more letters carry it
}

// Core is one node's view of all nodes.
type Core struct {
	b        settings.Bounds
	self     *wire.Node
	seeds    []string
	all      map[string]*entry
	turn     int
	epoch    uint64
	sum      uint64 // who is there, added up; kept as the view changes
	replaced bool
	born     time.Duration            // its first step
	apart    map[string]bool          // addresses whose view differs from this one's: they are told all
	differ   map[string]time.Duration // since when the views of those that call differ from this one
}

// New makes a view that knows itself and its seeds.
//
// Example: c := roster.New(bounds, self, seeds)
func New(b settings.Bounds, self *wire.Node, seeds []string) *Core {
	return &Core{b: b, self: self, seeds: seeds, all: map[string]*entry{}, epoch: 1, apart: map[string]bool{}, differ: map[string]time.Duration{}}
}

// Replaced tells whether another machine has taken this node's name: it is to stop.
//
// Example: if c.Replaced() { stop() }
func (c *Core) Replaced() bool { return c.replaced }

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
			if n.Addr != c.self.Addr && n.State == Alive && c.turn > 0 && now-c.born > c.b.Leave(settledAge) {
				c.replaced = true // a machine elsewhere has taken this name while this one slept
				return
			}
			c.self.Incarnation = n.Incarnation + 1
		}
		return
	}
	e := c.all[n.Name]
	if e == nil {
		if len(c.all) >= maxNodes || n.State == Gone {
			return
		}
		c.all[n.Name] = &entry{n: clone(n), place: queue.Hash(n.Name), at: now, heard: now, tell: c.spread()}
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

type placed struct {
	place uint64
	n     *wire.Node
}

// ring lists all that aren't gone, by place.
func (c *Core) ring() []placed {
	l := make([]placed, 0, len(c.all)+1)
	l = append(l, placed{queue.Hash(c.self.Name), c.self})
	for _, e := range c.all {
		if e.n.State != Gone {
			l = append(l, placed{e.place, e.n})
		}
	}
	sort.Slice(l, func(i, j int) bool {
		return l[i].place < l[j].place || l[i].place == l[j].place && l[i].n.Name < l[j].n.Name
	})
	return l
}

// steps are how far along the ring a node's watchers stand: the next, and two further off
// so that news crosses a long ring in few beats.
func steps(n int) []int {
	if n < 2 {
		return nil
	}
	far := 1
	for far*far*far < n {
		far++
	}
	var l []int
	for _, d := range []int{1, far, far * far} {
		if d %= n; d != 0 && !slices.Contains(l, d) {
			l = append(l, d)
		}
	}
	return l
}

// total adds up a view: names, lives and states, whatever their order.
func (c *Core) total() uint64 {
	t := uint64(0)
	add := func(n *wire.Node, place uint64) {
		t += (place ^ n.Incarnation*0x9e3779b97f4a7c15) * uint64(n.State*2+3)
	}
	add(c.self, queue.Hash(c.self.Name))
	for _, e := range c.all {
		if e.n.State != Gone { // the gone are forgotten at different times
			add(e.n, e.place)
		}
	}
	return t
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
	if c.turn++; c.turn == 1 {
		c.born = now
	}
	c.self.Beat++
	ring := c.ring()
	at, ds := 0, steps(len(ring))
	for i, x := range ring {
		if x.n == c.self {
			at = i
		}
	}
	watched := map[string]bool{}
	for _, d := range ds {
		watched[ring[(at-d+len(ring))%len(ring)].n.Name] = true
	}
	for _, e := range c.all {
		mine := watched[e.n.Name]
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
	c.sum = c.total()
	var l []Call
	for _, d := range ds {
		if w := ring[(at+d)%len(ring)].n; w.State != Gone {
			l = append(l, Call{w.Addr, c.beat(c.turn <= young)})
		}
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
			x := far[c.turn/4%len(far)]
			l = append(l, Call{x, c.beat(alone || c.apart[x])})
			delete(c.apart, x)
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
	b := &wire.Beat{Epoch: 1, From: clone(c.self), Whole: whole, Sum: c.sum}
	for _, e := range c.all {
		if whole || e.tell > 0 {
			b.News = append(b.News, clone(e.n))
		}
	}
	return b
}

// Leave says goodbye: the beats it gives tell that this node is gone, so that nobody has
// to find out by its silence.
//
// Example: for _, x := range c.Leave() { send(x) }
func (c *Core) Leave() []Call {
	c.self.Beat++
	c.self.State = Gone
	var l []Call
	for _, e := range c.all {
		if e.n.State == Alive && len(l) < 8 {
			l = append(l, Call{e.n.Addr, &wire.Beat{Epoch: 1, From: clone(c.self)}})
		}
	}
	return l
}

// Hear takes a beat and gives the answer to it: what is news, or all where the two views
// differ.
//
// Example: answer := c.Hear(beat, clk.Now())
func (c *Core) Hear(b *wire.Beat, now time.Duration) *wire.Beat {
	if b.GetEpoch() != 1 {
		return &wire.Beat{Epoch: 1, From: clone(c.self)} // a shape this program doesn't read
	}
	if b.GetFrom() == nil {
		return c.beat(true) // somebody who only looks
	}
	old := c.all[b.From.Name]
	fresh := old == nil || old.n.State == Gone
	was := c.epoch
	c.learn(b.From, now, true)
	for _, n := range b.News {
		c.learn(n, now, false)
	}
	if c.epoch != was {
		c.sum = c.total()
	}
	t := c.beat(b.Whole || fresh || c.lags(b, now))
	if e := c.all[b.From.Name]; e != nil && e.n.Incarnation > b.From.Incarnation {
		t.News = append(t.News, clone(e.n)) // a later life of that name is known here
	}
	return t
}

// lags tells whether a caller's view differs from this one and no news under way will mend
// that: there is none, or they have differed for long all the same.
func (c *Core) lags(b *wire.Beat, now time.Duration) bool {
	if b.Sum == c.sum {
		delete(c.differ, b.From.Name)
		return false
	}
	since, ok := c.differ[b.From.Name]
	if !ok {
		if len(c.differ) >= 64 {
			clear(c.differ) // counted anew
		}
		c.differ[b.From.Name] = now
	}
	if ok && now-since > c.b.Leave(patience) {
		c.differ[b.From.Name] = now // told once, and again if that didn't help
		return true
	}
	return len(b.News) == 0 && c.settled(now)
}

// settled tells whether there is no news under way here: views that differ then, differ
// for long.
func (c *Core) settled(now time.Duration) bool {
	for _, e := range c.all {
		if e.tell > 0 || now-e.at < c.b.Leave(0.3) {
			return false
		}
	}
	return true
}

// Answer takes the answer to an own beat. Where the other told all and the views still
// differ, it is told all at the next call.
//
// Example: c.Answer(addr, tell, clk.Now())
func (c *Core) Answer(from string, b *wire.Beat, now time.Duration) {
	was := c.epoch
	c.learn(b.GetFrom(), now, true)
	for _, n := range b.GetNews() {
		c.learn(n, now, false)
	}
	if c.epoch != was {
		c.sum = c.total()
	}
	if b.GetWhole() && b.Sum != c.sum && len(c.apart) < 64 {
		c.apart[from] = true
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
