package retire

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pebbleloom/internal/contract"
	"pebbleloom/internal/control/serviceconfig"
	"pebbleloom/internal/queue"
)

const (
	tick   = 100 * time.Millisecond
	follow = 10 // ticks that a dispatcher may follow an older setup
	wait   = 40 // ticks that a request waits at most
)

var first = []byte(`{"models":{"old":{"weights":3,"room":50},"new":{"weights":1,"room":50}},
 "adapters":{"rare":{"base":"old","build":1,"room":5,"services":["s"]},"fare":{"base":"old","build":4,"room":5,"services":["s"]},
 "rare-2":{"base":"new","build":1,"room":5,"services":["s"]},"fare-2":{"base":"new","build":2,"room":5,"services":["s"]}},
 "services":{"s":{"model":"old","room":130}},"ways":{"old":{"service":"s"},"rare":{"service":"s"},"fare":{"service":"s","use":"fare"}}}`)

func plan() *Retirement {
	return &Retirement{Name: "spring", Service: "s", From: "old", To: "new", Replace: map[string]string{"rare": "rare-2", "fare": "fare-2"},
		Shares: []int{30, 100}, SoakS: 1, AtOnce: 2, State: Planned}
}

// node is a worker as it really is.
type node struct {
	name, life string
	up, listed bool
	born       int
	holds      map[string]contract.Loaded
	loading    string
	fence      uint64
	steps      map[string]uint64
	boasts     bool // it says that it holds what it was told to load, and doesn't
	fake       map[string]bool
	answered   map[string]bool // life, set and adapter
}

func (n *node) start(old bool) {
	n.born++
	n.life, n.up, n.loading, n.steps, n.fake, n.fence = fmt.Sprint(n.name, "/", n.born), true, "", map[string]uint64{}, map[string]bool{}, 0
	n.holds = map[string]contract.Loaded{}
	if old {
		n.holds["old"] = contract.Loaded{Model: "old", Weights: 3, Adapters: map[string]uint64{"rare": 1, "fare": 4}}
	}
}

func (n *node) has(t serviceconfig.Target) bool {
	l, ok := n.holds[t.Model]
	return ok && l.Weights == t.Weights && (t.Adapter == "" || l.Adapters[t.Adapter] == t.Build && !n.fake[t.Adapter])
}

// says is what it tells of itself; a boasting one tells more than is true, which fake notes.
func (n *node) says() []contract.Loaded {
	var l []contract.Loaded
	for _, k := range queue.Keys(n.holds) {
		x := n.holds[k]
		x.Adapters = maps.Clone(x.Adapters)
		l = append(l, x)
	}
	return l
}

// request is one of a caller's.
type request struct {
	id      string
	route   string
	until   int
	answers int
	tried   int
}

// fleet is the whole world of the simulation; everything happens in ticks, and whatever is sent
// lands later, or never.
type fleet struct {
	t         testing.TB
	r         *rand.Rand
	now       int
	mail      map[int][]func()
	body      []byte
	version   uint64
	past      [][]byte // the setup by tick, for dispatchers that are behind
	doc       *Retirement
	docAt     uint64
	fence     uint64
	holder    int
	leased    int // until then
	pacers    []*Pacer
	nodes     []*node
	all       []*request
	faults    []string
	plant     int // the invariant that is broken on purpose
	quiet     bool
	trouble   bool // troubles still come
	late      int
	abortedAt int
}

func (f *fleet) fault(invariant int, format string, a ...any) {
	if len(f.faults) < 5 {
		f.faults = append(f.faults, fmt.Sprintf("(%d) tick %d: ", invariant, f.now)+fmt.Sprintf(format, a...))
	}
}

func (f *fleet) later(max int, do func()) {
	if f.trouble && f.r.IntN(30) == 0 {
		return // lost
	}
	at := f.now + 1 + f.r.IntN(max)
	if f.trouble && f.r.IntN(15) == 0 {
		at += f.r.IntN(60) // very late
	}
	f.mail[at] = append(f.mail[at], do)
}

func (f *fleet) setup() *serviceconfig.Setup {
	s, err := serviceconfig.Read(f.body)
	if err != nil {
		f.t.Fatal(err)
	}
	return s
}

func (f *fleet) patch(b []byte, version uint64) bool {
	if version != f.version {
		return false
	}
	m, err := serviceconfig.Merge(f.body, b)
	if err != nil {
		f.t.Fatalf("%s: %v", b, err)
	}
	f.body, f.version = m, f.version+1
	return true
}

// put writes the retirement onto the version it was read at, by a holder under its fence or by an operator.
func (f *fleet) put(r *Retirement, version, fence uint64) bool {
	if version != f.docAt || fence != 0 && fence != f.fence {
		return false
	}
	was := f.doc
	f.doc, f.docAt = r.clone(), f.docAt+1
	if !was.Past() && r.Past() {
		f.barrier()
	}
	if was.State != Aborted && r.State == Aborted && was.State != Planned {
		f.abortedAt = f.now
	}
	return true
}

// barrier: every node that was listed has truly answered in the life that is written down.
func (f *fleet) barrier() {
	set := SetOf(f.setup(), "new", []string{"rare-2", "fare-2"})
	for _, n := range f.nodes {
		if !n.listed || n.up && n.born > 1 && f.doc.Proofs[n.name].Life != n.life && !f.quiet {
			continue // it came back, or came in, after the holder looked: it is caught up first
		}
		for _, a := range append([]Load{{}}, set.Adapters...) {
			if p := f.doc.Proofs[n.name]; !n.answered[p.Life+set.Sum()+a.Name] {
				f.fault(2, "the barrier is passed, and %s hasn't answered under %q in life %q", n.name, a.Name, p.Life)
			}
		}
	}
}

func (f *fleet) order(n *node, o contract.Order, fence uint64) bool {
	if !n.up || o.Incarnation != n.life || fence < n.fence {
		return false
	}
	n.fence = fence
	if o.Step < n.steps[o.Plan] && f.plant != 5 {
		return false
	}
	n.steps[o.Plan] = o.Step
	l, have := n.holds[o.Model]
	switch {
	case o.Kind == "unload":
		if l.Busy > 0 {
			return false
		}
		if o.Model == "old" && have && !f.doc.Past() {
			f.fault(1, "%s drops the old base, the retirement is in %s", n.name, f.doc.Phase)
		}
		delete(n.holds, o.Model)
		n.loading = ""
	case n.loading != "":
		return false
	case o.Adapter == "" && l.Weights != o.Weights, o.Adapter != "" && have && l.Adapters[o.Adapter] != o.Build:
		life, key := n.life, o.Model+"/"+o.Adapter
		n.loading = key
		done := func() {
			if n.life != life || n.loading != key {
				return
			}
			n.loading = ""
			x, ok := n.holds[o.Model]
			switch {
			case o.Adapter == "":
				x = contract.Loaded{Model: o.Model, Weights: o.Weights, Adapters: map[string]uint64{}}
			case !ok:
				return
			default:
				x.Adapters = maps.Clone(x.Adapters)
				x.Adapters[o.Adapter] = o.Build
				if n.boasts {
					n.fake[o.Adapter] = true
				}
			}
			n.holds[o.Model] = x
		}
		f.mail[f.now+5] = append(f.mail[f.now+5], done)
	}
	return true
}

// look is a holder's turn: read the setup, the retirement, the nodes; act; write. It may stall or die
// between any two of these, and what it has sent lands all the same.
func (f *fleet) look(h int) {
	dies := func() bool { return f.trouble && f.r.IntN(25) == 0 }
	if f.holder != h || f.now >= f.leased {
		return
	}
	fence, s, version := f.fence, f.setup(), f.version
	f.later(2, func() {
		if dies() {
			f.pacers[h] = NewPacer()
			return
		}
		r, at := f.doc.clone(), f.docAt
		f.later(2, func() {
			w := World{Clock: time.Duration(f.now) * tick, Version: at, Setup: s, Listed: f.r.IntN(20) > 0, Follow: follow * tick}
			by := map[string]*node{}
			for _, n := range f.nodes {
				if n.listed {
					by[n.name] = n
					x := Node{Name: n.name}
					if n.up {
						x = Node{Name: n.name, Life: n.life, Answers: true, Holds: n.says(), Loading: n.loading, Room: 130, Free: 130 - 60*len(n.holds)}
					}
					w.Nodes = append(w.Nodes, x)
				}
			}
			next, acts, changed := f.pacers[h].Next(r, w)
			if f.plant == 1 && r.Phase == Drain {
				acts = append(acts, Act{Node: w.Nodes[0].Name, Order: &contract.Order{Kind: "unload", Model: "old", Incarnation: w.Nodes[0].Life, Step: at, Plan: "x"}})
			}
			acked := false
			for _, x := range acts {
				if f.holder != h || f.now >= f.leased || dies() {
					f.pacers[h] = NewPacer()
					return
				}
				f.later(2, func() {
					switch {
					case x.Patch != nil:
						if f.plant == 5 && r.State == Aborting || f.patch(x.Patch, version) {
							next.Patched()
							acked = true
						}
					case x.Order != nil:
						if f.order(by[x.Node], *x.Order, fence) && x.Order.Kind == "unload" {
							next.Told(x.Node, x.Order.Incarnation)
							acked = true
						}
					default:
						if f.prove(by[x.Node], x) {
							next.Proved(x.Node, x.Life, *x.Prove)
							acked = true
						} else {
							f.pacers[h].Unproved(x.Node, "adapter")
						}
					}
				})
			}
			f.later(4, func() {
				if dies() {
					f.pacers[h] = NewPacer()
				} else if changed || acked {
					f.put(next, at, fence)
				}
			})
		})
	})
}

func (f *fleet) prove(n *node, x Act) bool {
	for _, a := range append([]Load{{}}, x.Prove.Adapters...) {
		if n.up && n.life == x.Life && n.has(serviceconfig.Target{Model: x.Prove.Base, Weights: x.Prove.Weights, Adapter: a.Name, Build: a.Build}) {
			n.answered[n.life+x.Prove.Sum()+a.Name] = true
		} else if f.plant != 2 { // else its word is taken
			return false
		}
	}
	return true
}

// ask sends a request: a dispatcher follows a setup that may be old, sees what nodes said a while ago,
// and tries another where one proves that it didn't run.
func (f *fleet) ask(q *request) {
	if f.now >= q.until {
		return
	}
	lag := f.r.IntN(follow)
	s, err := serviceconfig.Read(f.past[max(0, len(f.past)-1-lag)])
	if err != nil {
		f.t.Fatal(err)
	}
	to, _ := s.Target(q.route, q.id)
	var l []*node
	for _, n := range f.nodes {
		if n.listed && n.up && slices.ContainsFunc(n.says(), func(x contract.Loaded) bool {
			return x.Model == to.Model && (to.Adapter == "" || x.Adapters[to.Adapter] == to.Build)
		}) {
			l = append(l, n)
		}
	}
	again := func() { f.mail[f.now+2] = append(f.mail[f.now+2], func() { f.ask(q) }) }
	if len(l) == 0 {
		again()
		return
	}
	n := l[f.r.IntN(len(l))]
	f.mail[f.now+1] = append(f.mail[f.now+1], func() {
		if !n.up || !n.has(to) {
			again() // the worker's word, or a connection that wasn't made: it didn't run
			return
		}
		x := n.holds[to.Model]
		x.Busy++
		n.holds[to.Model] = x
		life := n.life
		f.mail[f.now+3] = append(f.mail[f.now+3], func() {
			if n.life != life {
				return // it died: the stream is broken
			}
			y, ok := n.holds[to.Model]
			if !ok {
				f.fault(3, "%s lost %s while %s ran on it", n.name, to.Model, q.id)
				return
			}
			y.Busy--
			n.holds[to.Model] = y
			q.answers++
			if f.plant == 3 && q.tried == 0 {
				q.tried++
				f.ask(q)
			}
		})
	})
}
