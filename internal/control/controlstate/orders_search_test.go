package controlstate

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/settings"
)

// The search of TestEightOrdersAtOnce: operators of a group of real nodes, with real requests between
// them, while machines stop, start, go dark and lose their leadership.
const (
	searchOperators = 8 // as many orders are under way at once
	searchMachines  = 5
	searchFor       = 15 * time.Second
	searchSeeds     = 2
	searchSeedsVar  = "ORDERS_SEEDS" // how many seeds instead
	lateShare       = 3              // one order in so many is an old one that is sent again
)

// sentOrder is one order with all that operators heard of it.
type sentOrder struct {
	base, version uint64
	text          string
	part          bool
	acked         bool
	refused       error
	copies        int
}

func (o *sentOrder) name() string {
	return fmt.Sprintf("%d by %s", o.version, o.text)
}

type orderSearch struct {
	t      *testing.T
	g      *ground
	ctx    context.Context
	mu     sync.Mutex
	nodes  map[int]*Node // those that run
	orders []*sentOrder
	known  uint64 // the newest version that was acknowledged or read
	acked  uint64 // the newest version that was acknowledged
	counts map[string]int
	bodies map[string]bool // what was read
	faults []string
	over   atomic.Bool
}

// locked runs f alone; f waits for nothing.
func (s *orderSearch) locked(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

func (s *orderSearch) fault(format string, args ...any) {
	s.faults = append(s.faults, fmt.Sprintf(format, args...))
}

func (s *orderSearch) count(what string) { s.locked(func() { s.counts[what]++ }) }

// node is one to send to: seldom the leader. Nil: none runs.
func (s *orderSearch) node(r *rand.Rand) (chosen *Node) {
	s.locked(func() {
		for range 4 {
			if n := s.nodes[1+r.IntN(searchMachines)]; n != nil {
				if chosen = n; !n.shards[0].published.current().isLeader {
					return
				}
			}
		}
	})
	return chosen
}

// next is the order that an operator sends now: a new one on the newest version it knows of, perhaps
// under the number of another, or one that was sent before, whatever became of it.
func (s *orderSearch) next(r *rand.Rand, operator int) (order *sentOrder) {
	s.locked(func() {
		if n := len(s.orders); n > 0 && r.IntN(lateShare) == 0 {
			order = s.orders[r.IntN(n)]
			s.counts["sent again"]++
			return
		}
		order = &sentOrder{base: s.known, version: s.known + 1 + r.Uint64N(2), part: r.IntN(3) == 0}
		author := fmt.Sprint(operator)
		if r.IntN(4) == 0 {
			author = "any" // two operators, one number, one content: the same order
		}
		order.text = fmt.Sprintf("%s on %d, part %v", author, order.base, order.part) // no two orders make one body
		for _, o := range s.orders {
			if o.base == order.base && o.version == order.version && o.text == order.text {
				order = o
				return
			}
		}
		s.orders = append(s.orders, order)
	})
	return order
}

// send sends one copy of an order, and notes the answer unless it is lost.
func (s *orderSearch) send(r *rand.Rand, o *sentOrder, n *Node, lost bool) (answered bool) {
	version, err := n.PutRoutingConfig(s.ctx, o.base, body(o.version, o.text), o.part)
	kind := errs.KindOf(err)
	refused := err != nil && (kind == errs.Conflict || kind == errs.BadInput || kind == errs.TooBig)
	if lost {
		return false
	}
	s.locked(func() {
		o.copies++
		switch {
		case err == nil:
			if version != o.version {
				s.fault("order %s is acknowledged as %d", o.name(), version)
			}
			if o.acked {
				s.counts["acknowledged again"]++
			} else {
				s.counts["acknowledged"]++
			}
			o.acked, s.known, s.acked = true, max(s.known, o.version), max(s.acked, o.version)
		case refused:
			s.counts["refused"]++
			o.refused = err
		default:
			s.counts["unclear"]++
		}
		if o.acked && o.refused != nil {
			s.fault("an acknowledged order is never refused, a refused one never in force: %s: %v", o.name(), o.refused)
		}
	})
	return err == nil || refused
}

// operate is one operator: it sends an order until it has a clear answer, at times two copies at once.
func (s *orderSearch) operate(r *rand.Rand, operator int) {
	for !s.over.Load() {
		o := s.next(r, operator)
		for tries := 0; tries < 8 && !s.over.Load(); tries++ {
			n, twin := s.node(r), s.node(r)
			if n == nil || twin == nil {
				clock.Sleep(s.ctx, 100*time.Millisecond)
				continue
			}
			lost := r.IntN(5) == 0
			var copies sync.WaitGroup
			if r.IntN(4) == 0 {
				copies.Go(func() { s.send(r, o, twin, false) })
			}
			answered := s.send(r, o, n, lost)
			if copies.Wait(); answered {
				break
			}
			clock.Sleep(s.ctx, time.Duration(10+r.IntN(200))*time.Millisecond)
		}
		clock.Sleep(s.ctx, time.Duration(r.IntN(40))*time.Millisecond)
	}
}

// read is one reader: versions climb, what was acknowledged before is there, and no refused order is.
func (s *orderSearch) read(r *rand.Rand) {
	for !s.over.Load() {
		clock.Sleep(s.ctx, 50*time.Millisecond)
		n := s.node(r)
		if n == nil {
			continue
		}
		var before uint64
		s.locked(func() { before = max(s.acked, s.known) })
		got, version, err := n.ReadRoutingConfig(s.ctx)
		if err != nil {
			continue
		}
		s.locked(func() {
			if version < before {
				s.fault("versions climb: %d was acknowledged or read, then %d is read: %s", before, version, got)
			}
			s.known = max(s.known, version)
			s.counts["read"]++
			s.bodies[string(got)] = true
		})
	}
}

// troubles stops, starts and darkens machines, one at a time, at times all; and has logs turned into
// snapshots often.
func (s *orderSearch) troubles(r *rand.Rand) {
	g := s.g
	for !s.over.Load() {
		clock.Sleep(s.ctx, time.Duration(200+r.IntN(1500))*time.Millisecond)
		i := 1 + r.IntN(searchMachines)
		if o := g.leader(); o > 0 && r.IntN(2) == 0 {
			i = o
		}
		switch r.IntN(5) {
		case 0, 1:
			s.count("restarted")
			s.stop(i)
			clock.Sleep(s.ctx, time.Duration(r.IntN(1000))*time.Millisecond)
			s.start(i, false)
		case 2, 3:
			s.count("dark")
			s.dark(i, true)
			clock.Sleep(s.ctx, time.Duration(500+r.IntN(3000))*time.Millisecond)
			s.dark(i, false)
		case 4:
			s.count("all restarted")
			for i := range searchMachines {
				s.stop(i + 1)
			}
			for i := range searchMachines {
				s.start(i+1, false)
			}
		}
	}
}

func (s *orderSearch) dark(i int, dark bool) {
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	s.g.dark[s.g.addr(i)] = dark
}

func (s *orderSearch) stop(i int) {
	s.locked(func() { delete(s.nodes, i) })
	s.g.stop(i)
}

func (s *orderSearch) start(i int, first bool) {
	n := s.g.start(i, first)
	n.shards[0].runOnLoop(s.ctx, func() { n.shards[0].compactThreshold = 4000 })
	s.locked(func() { s.nodes[i] = n })
}

// final checks the whole history, and what is read back in the end.
func (s *orderSearch) final() {
	byBase := map[uint64]*sentOrder{}
	acked := map[uint64]*sentOrder{}
	for _, o := range s.orders {
		if !o.acked {
			continue
		}
		if other := byBase[o.base]; other != nil {
			s.fault("one acknowledged change a base: %s, %s", other.name(), o.name())
		}
		if other := acked[o.version]; other != nil {
			s.fault("one acknowledged change a version: %s, %s", other.name(), o.name())
		}
		byBase[o.base], acked[o.version] = o, o
	}
	for i, n := range s.nodes {
		got, version, err := n.ReadRoutingConfig(s.ctx)
		if err != nil || version < s.acked {
			s.fault("what is read back is the newest that was acknowledged: %d gives %d, %v; %d was acknowledged", i, version, err, s.acked)
			continue
		}
		if o := acked[version]; o != nil && !o.part && string(got) != string(body(o.version, o.text)) {
			s.fault("%d gives %s as version %d, %s was acknowledged", i, got, version, o.name())
		}
		s.bodies[string(got)] = true
	}
	for _, o := range s.orders {
		if o.refused != nil && s.bodies[string(body(o.version, o.text))] {
			s.fault("%s was refused, and was read as in force: %v", o.name(), o.refused)
		}
	}
}

func searchOrders(t *testing.T, seed uint64) *orderSearch {
	r := rand.New(rand.NewPCG(seed, 22))
	s := &orderSearch{t: t, g: newGround(t), ctx: t.Context(), nodes: map[int]*Node{}, counts: map[string]int{}, bodies: map[string]bool{}}
	s.g.seed = seed << 8
	for i := range searchMachines {
		s.start(i+1, true)
	}
	defer s.g.down()
	s.g.until("a leader", 5*time.Second, func() bool { return len(s.g.members()) == 3 })
	var all sync.WaitGroup
	all.Go(func() { s.read(rand.New(rand.NewPCG(seed, 23))) })
	all.Go(func() { s.troubles(rand.New(rand.NewPCG(seed, 24))) })
	for i := range searchOperators {
		own := rand.New(rand.NewPCG(seed, r.Uint64()))
		all.Go(func() { s.operate(own, i) })
	}
	clock.Sleep(s.ctx, searchFor)
	s.over.Store(true)
	all.Wait()
	clock.Sleep(s.ctx, settings.Default().Heal(1))
	s.final()
	return s
}

// Eight orders at once, from as many operators and mostly by nodes that aren't the leader, with answers
// lost, two copies at once, copies of orders long overtaken, and machines that stop, go dark and begin
// anew: at most one change is acknowledged on a version, what was acknowledged is never refused, what
// was refused never comes into force, versions climb, and the newest acknowledged is read back.
func TestEightOrdersAtOnce(t *testing.T) {
	seeds := searchSeeds
	if n, err := strconv.Atoi(os.Getenv(searchSeedsVar)); err == nil {
		seeds = n
	}
	total := map[string]int{}
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			s := searchOrders(t, seed)
			if len(s.faults) > 0 {
				t.Errorf("seed %d: %d faults: %v", seed, len(s.faults), s.faults[:min(3, len(s.faults))])
			}
			for name, n := range s.counts {
				total[name] += n
			}
			total["orders"] += len(s.orders)
		})
		if t.Failed() {
			break
		}
	}
	t.Logf("%d seeds: %v", seeds, total)
	for _, name := range []string{"acknowledged", "acknowledged again", "refused", "unclear", "read", "restarted", "dark"} {
		if total[name] == 0 {
			t.Errorf("nothing was %s", name)
		}
	}
}
