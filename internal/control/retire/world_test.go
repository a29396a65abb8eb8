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
	follow = 10 // ticks that a proxy may follow an older configuration
	wait   = 40 // ticks that a request waits at most
)

var first = []byte(`{"models":{"old":{"weights":3,"room":50},"new":{"weights":1,"room":50}},
 "adapters":{"rare":{"base":"old","build":1,"room":5,"services":["s"]},"fare":{"base":"old","build":4,"room":5,"services":["s"]},
 "rare-2":{"base":"new","build":1,"room":5,"services":["s"]},"fare-2":{"base":"new","build":2,"room":5,"services":["s"]}},
 "services":{"s":{"model":"old","room":130}},"ways":{"old":{"service":"s"},"rare":{"service":"s"},"fare":{"service":"s","use":"fare"}}}`)

func newPlan() *Retirement {
	return &Retirement{Name: "spring", Service: "s", OldBase: "old", NewBase: "new", Replacements: map[string]string{"rare": "rare-2", "fare": "fare-2"},
		TrafficPercents: []int{30, 100}, SoakSeconds: 1, MaxConcurrent: 2, State: StatePlanned}
}

// testNode is the true state of a worker.
type testNode struct {
	name, incarnation string
	up, listed        bool
	starts            int
	holds             map[string]contract.LoadedModel
	loading           string
	fence             uint64
	steps             map[string]uint64
	lies              bool // it reports what it was ordered to load, and doesn't have it
	fake              map[string]bool
	answered          map[string]bool // incarnation, set and adapter
}

func (n *testNode) start(old bool) {
	n.starts++
	n.incarnation, n.up, n.loading, n.steps, n.fake, n.fence = fmt.Sprint(n.name, "/", n.starts), true, "", map[string]uint64{}, map[string]bool{}, 0
	n.holds = map[string]contract.LoadedModel{}
	if old {
		n.holds["old"] = contract.LoadedModel{Model: "old", Weights: 3, Adapters: map[string]uint64{"rare": 1, "fare": 4}}
	}
}

func (n *testNode) has(t serviceconfig.Target) bool {
	l, ok := n.holds[t.Model]
	return ok && l.Weights == t.Weights && (t.Adapter == "" || l.Adapters[t.Adapter] == t.Build && !n.fake[t.Adapter])
}

// report is what it reports of itself; a lying one reports more than is true, which fake notes.
func (n *testNode) report() []contract.LoadedModel {
	var l []contract.LoadedModel
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

// testFleet is the whole world of the simulation; everything happens in ticks, and whatever is sent
// lands later, or never.
type testFleet struct {
	t             testing.TB
	r             *rand.Rand
	now           int
	inbox         map[int][]func()
	body          []byte
	version       uint64
	configHistory [][]byte // the configuration by tick, for proxies that are behind
	doc           *Retirement
	docAt         uint64
	fence         uint64
	holder        int
	leased        int // until then
	planners      []*Planner
	nodes         []*testNode
	all           []*request
	faults        []string
	planted       int // the invariant that is broken on purpose
	quiet         bool
	trouble       bool // troubles still come
	late          int
	abortedAt     int
}

func (f *testFleet) fault(invariant int, format string, a ...any) {
	if len(f.faults) < 5 {
		f.faults = append(f.faults, fmt.Sprintf("(%d) tick %d: ", invariant, f.now)+fmt.Sprintf(format, a...))
	}
}

func (f *testFleet) deliver(max int, do func()) {
	if f.trouble && f.r.IntN(30) == 0 {
		return // lost
	}
	at := f.now + 1 + f.r.IntN(max)
	if f.trouble && f.r.IntN(15) == 0 {
		at += f.r.IntN(60) // very late
	}
	f.inbox[at] = append(f.inbox[at], do)
}

func (f *testFleet) config() *serviceconfig.Config {
	s, err := serviceconfig.Decode(f.body)
	if err != nil {
		f.t.Fatal(err)
	}
	return s
}

func (f *testFleet) patch(b []byte, version uint64) bool {
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
func (f *testFleet) put(r *Retirement, version, fence uint64) bool {
	if version != f.docAt || fence != 0 && fence != f.fence {
		return false
	}
	was := f.doc
	f.doc, f.docAt = r.clone(), f.docAt+1
	if !was.PastBarrier() && r.PastBarrier() {
		f.barrier()
	}
	if was.State != StateAborted && r.State == StateAborted && was.State != StatePlanned {
		f.abortedAt = f.now
	}
	return true
}

// barrier: every node that was listed has truly answered in the incarnation that is written down.
func (f *testFleet) barrier() {
	set := NewWeightSet(f.config(), "new", []string{"rare-2", "fare-2"})
	for _, n := range f.nodes {
		if !n.listed || n.up && n.starts > 1 && f.doc.Proofs[n.name].Incarnation != n.incarnation && !f.quiet {
			continue // it came back, or came in, after the holder looked: it is caught up first
		}
		for _, a := range append([]AdapterBuild{{}}, set.Adapters...) {
			if p := f.doc.Proofs[n.name]; !n.answered[p.Incarnation+set.Fingerprint()+a.Name] {
				f.fault(2, "the barrier is passed, and %s hasn't answered under %q in incarnation %q", n.name, a.Name, p.Incarnation)
			}
		}
	}
}

func (f *testFleet) order(n *testNode, o contract.Order, fence uint64) bool {
	if !n.up || o.Incarnation != n.incarnation || fence < n.fence {
		return false
	}
	n.fence = fence
	if o.Step < n.steps[o.Plan] && f.planted != 5 {
		return false
	}
	n.steps[o.Plan] = o.Step
	l, have := n.holds[o.Model]
	switch {
	case o.Kind == "unload":
		if l.Busy > 0 {
			return false
		}
		if o.Model == "old" && have && !f.doc.PastBarrier() {
			f.fault(1, "%s drops the old base, the retirement is in %s", n.name, f.doc.Phase)
		}
		delete(n.holds, o.Model)
		n.loading = ""
	case n.loading != "":
		return false
	case o.Adapter == "" && l.Weights != o.Weights, o.Adapter != "" && have && l.Adapters[o.Adapter] != o.Build:
		incarnation, key := n.incarnation, o.Model+"/"+o.Adapter
		n.loading = key
		done := func() {
			if n.incarnation != incarnation || n.loading != key {
				return
			}
			n.loading = ""
			x, ok := n.holds[o.Model]
			switch {
			case o.Adapter == "":
				x = contract.LoadedModel{Model: o.Model, Weights: o.Weights, Adapters: map[string]uint64{}}
			case !ok:
				return
			default:
				x.Adapters = maps.Clone(x.Adapters)
				x.Adapters[o.Adapter] = o.Build
				if n.lies {
					n.fake[o.Adapter] = true
				}
			}
			n.holds[o.Model] = x
		}
		f.inbox[f.now+5] = append(f.inbox[f.now+5], done)
	}
	return true
}

// holderStep is a holder's step: read the configuration, the retirement, the nodes; act; write. It may stall or die
// between any two of these, and what it has sent lands all the same.
func (f *testFleet) holderStep(h int) {
	dies := func() bool { return f.trouble && f.r.IntN(25) == 0 }
	if f.holder != h || f.now >= f.leased {
		return
	}
	fence, s, version := f.fence, f.config(), f.version
	f.deliver(2, func() {
		if dies() {
			f.planners[h] = NewPlanner()
			return
		}
		r, at := f.doc.clone(), f.docAt
		f.deliver(2, func() {
			w := Observation{Now: time.Duration(f.now) * tick, Version: at, Config: s, WorkersListed: f.r.IntN(20) > 0, MaxConfigAge: follow * tick}
			by := map[string]*testNode{}
			for _, n := range f.nodes {
				if n.listed {
					by[n.name] = n
					x := Node{Name: n.name}
					if n.up {
						x = Node{Name: n.name, Incarnation: n.incarnation, Reachable: true, Loaded: n.report(), Loading: n.loading, MemoryMB: 130, FreeMB: 130 - 60*len(n.holds)}
					}
					w.Nodes = append(w.Nodes, x)
				}
			}
			next, acts, changed := f.planners[h].Next(r, w)
			if f.planted == 1 && r.Phase == PhaseDrain {
				acts = append(acts, Action{Node: w.Nodes[0].Name, Order: &contract.Order{Kind: "unload", Model: "old", Incarnation: w.Nodes[0].Incarnation, Step: at, Plan: "x"}})
			}
			acked := false
			for _, x := range acts {
				if f.holder != h || f.now >= f.leased || dies() {
					f.planners[h] = NewPlanner()
					return
				}
				f.deliver(2, func() {
					switch {
					case x.Patch != nil:
						if f.planted == 5 && r.State == StateAborting || f.patch(x.Patch, version) {
							next.RecordPatch()
							acked = true
						}
					case x.Order != nil:
						if f.order(by[x.Node], *x.Order, fence) && x.Order.Kind == "unload" {
							next.RecordUnload(x.Node, x.Order.Incarnation)
							acked = true
						}
					default:
						if f.prove(by[x.Node], x) {
							next.RecordProof(x.Node, x.Incarnation, *x.ProofSet)
							acked = true
						} else {
							f.planners[h].RecordFailedProof(x.Node, "adapter")
						}
					}
				})
			}
			f.deliver(4, func() {
				if dies() {
					f.planners[h] = NewPlanner()
				} else if changed || acked {
					f.put(next, at, fence)
				}
			})
		})
	})
}

func (f *testFleet) prove(n *testNode, x Action) bool {
	for _, a := range append([]AdapterBuild{{}}, x.ProofSet.Adapters...) {
		if n.up && n.incarnation == x.Incarnation && n.has(serviceconfig.Target{Model: x.ProofSet.Base, Weights: x.ProofSet.Weights, Adapter: a.Name, Build: a.Build}) {
			n.answered[n.incarnation+x.ProofSet.Fingerprint()+a.Name] = true
		} else if f.planted != 2 { // else its word is taken
			return false
		}
	}
	return true
}

// sendRequest sends a request: a proxy follows a configuration that may be old, sees what nodes said a while ago,
// and tries another where one proves that it didn't run.
func (f *testFleet) sendRequest(q *request) {
	if f.now >= q.until {
		return
	}
	lag := f.r.IntN(follow)
	s, err := serviceconfig.Decode(f.configHistory[max(0, len(f.configHistory)-1-lag)])
	if err != nil {
		f.t.Fatal(err)
	}
	to, _ := s.Target(q.route, q.id)
	var l []*testNode
	for _, n := range f.nodes {
		if n.listed && n.up && slices.ContainsFunc(n.report(), func(x contract.LoadedModel) bool {
			return x.Model == to.Model && (to.Adapter == "" || x.Adapters[to.Adapter] == to.Build)
		}) {
			l = append(l, n)
		}
	}
	again := func() { f.inbox[f.now+2] = append(f.inbox[f.now+2], func() { f.sendRequest(q) }) }
	if len(l) == 0 {
		again()
		return
	}
	n := l[f.r.IntN(len(l))]
	f.inbox[f.now+1] = append(f.inbox[f.now+1], func() {
		if !n.up || !n.has(to) {
			again() // the worker's word, or a connection that wasn't made: it didn't run
			return
		}
		x := n.holds[to.Model]
		x.Busy++
		n.holds[to.Model] = x
		incarnation := n.incarnation
		f.inbox[f.now+3] = append(f.inbox[f.now+3], func() {
			if n.incarnation != incarnation {
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
			if f.planted == 3 && q.tried == 0 {
				q.tried++
				f.sendRequest(q)
			}
		})
	})
}
