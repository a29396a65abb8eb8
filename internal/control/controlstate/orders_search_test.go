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
	searchOperators   = 8 // as many orders are under way at once
	searchMachines    = 5
	searchTime        = 15 * time.Second
	searchSeeds       = 2
	searchSeedsVar    = "ORDERS_SEEDS" // how many seeds instead
	earlierChangeOdds = 3              // one order in so many is an old one that is sent again
)

// sentChange is one order with all that operators heard of it.
type sentChange struct {
	baseVersion, newVersion uint64
	text                    string
	partial                 bool
	acked                   bool
	rejection               error
	attempts                int
}

func (o *sentChange) name() string {
	return fmt.Sprintf("%d by %s", o.newVersion, o.text)
}

type changeSearch struct {
	t            *testing.T
	cluster      *testCluster
	ctx          context.Context
	mu           sync.Mutex
	nodes        map[int]*Node // those that run
	changes      []*sentChange
	knownVersion uint64 // the newest version that was acknowledged or read
	ackedVersion uint64 // the newest version that was acknowledged
	counts       map[string]int
	readBodies   map[string]bool // what was read
	violations   []string
	stopped      atomic.Bool
}

// locked runs f alone; f waits for nothing.
func (s *changeSearch) locked(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

func (s *changeSearch) violationf(format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

func (s *changeSearch) count(what string) { s.locked(func() { s.counts[what]++ }) }

// randomNode is one to send to: seldom the leader. Nil: none runs.
func (s *changeSearch) randomNode(r *rand.Rand) (chosen *Node) {
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

// nextChange is the order that an operator sends now: a new one on the newest version it knows of, perhaps
// under the number of another, or one that was sent before, whatever became of it.
func (s *changeSearch) nextChange(r *rand.Rand, operator int) (order *sentChange) {
	s.locked(func() {
		if n := len(s.changes); n > 0 && r.IntN(earlierChangeOdds) == 0 {
			order = s.changes[r.IntN(n)]
			s.counts["sent again"]++
			return
		}
		order = &sentChange{baseVersion: s.knownVersion, newVersion: s.knownVersion + 1 + r.Uint64N(2), partial: r.IntN(3) == 0}
		author := fmt.Sprint(operator)
		if r.IntN(4) == 0 {
			author = "any" // two operators, one number, one content: the same order
		}
		order.text = fmt.Sprintf("%s on %d, part %v", author, order.baseVersion, order.partial) // no two orders make one body
		for _, o := range s.changes {
			if o.baseVersion == order.baseVersion && o.newVersion == order.newVersion && o.text == order.text {
				order = o
				return
			}
		}
		s.changes = append(s.changes, order)
	})
	return order
}

// send sends one copy of an order, and notes the answer unless it is lost.
func (s *changeSearch) send(r *rand.Rand, o *sentChange, n *Node, lost bool) (answered bool) {
	version, err := n.PutRoutingConfig(s.ctx, o.baseVersion, body(o.newVersion, o.text), o.partial)
	kind := errs.KindOf(err)
	refused := err != nil && (kind == errs.Conflict || kind == errs.BadInput || kind == errs.TooLarge)
	if lost {
		return false
	}
	s.locked(func() {
		o.attempts++
		switch {
		case err == nil:
			if version != o.newVersion {
				s.violationf("order %s is acknowledged as %d", o.name(), version)
			}
			if o.acked {
				s.counts["acknowledged again"]++
			} else {
				s.counts["acknowledged"]++
			}
			o.acked, s.knownVersion, s.ackedVersion = true, max(s.knownVersion, o.newVersion), max(s.ackedVersion, o.newVersion)
		case refused:
			s.counts["refused"]++
			o.rejection = err
		default:
			s.counts["unclear"]++
		}
		if o.acked && o.rejection != nil {
			s.violationf("an acknowledged order is never refused, a refused one never in force: %s: %v", o.name(), o.rejection)
		}
	})
	return err == nil || refused
}

// runOperator is one operator: it sends an order until it has a clear answer, at times two copies at once.
func (s *changeSearch) runOperator(r *rand.Rand, operator int) {
	for !s.stopped.Load() {
		o := s.nextChange(r, operator)
		for tries := 0; tries < 8 && !s.stopped.Load(); tries++ {
			n, twin := s.randomNode(r), s.randomNode(r)
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

// runReader is one reader: versions climb, what was acknowledged before is there, and no refused order is.
func (s *changeSearch) runReader(r *rand.Rand) {
	for !s.stopped.Load() {
		clock.Sleep(s.ctx, 50*time.Millisecond)
		n := s.randomNode(r)
		if n == nil {
			continue
		}
		var before uint64
		s.locked(func() { before = max(s.ackedVersion, s.knownVersion) })
		got, version, err := n.ReadRoutingConfig(s.ctx)
		if err != nil {
			continue
		}
		s.locked(func() {
			if version < before {
				s.violationf("versions climb: %d was acknowledged or read, then %d is read: %s", before, version, got)
			}
			s.knownVersion = max(s.knownVersion, version)
			s.counts["read"]++
			s.readBodies[string(got)] = true
		})
	}
}

// injectFaults stops, starts and darkens machines, one at a time, at times all; and has logs turned into
// snapshots often.
func (s *changeSearch) injectFaults(r *rand.Rand) {
	g := s.cluster
	for !s.stopped.Load() {
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
			s.setUnreachable(i, true)
			clock.Sleep(s.ctx, time.Duration(500+r.IntN(3000))*time.Millisecond)
			s.setUnreachable(i, false)
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

func (s *changeSearch) setUnreachable(i int, dark bool) {
	s.cluster.mu.Lock()
	defer s.cluster.mu.Unlock()
	s.cluster.unreachable[s.cluster.addr(i)] = dark
}

func (s *changeSearch) stop(i int) {
	s.locked(func() { delete(s.nodes, i) })
	s.cluster.stop(i)
}

func (s *changeSearch) start(i int, first bool) {
	n := s.cluster.start(i, first)
	n.shards[0].runOnLoop(s.ctx, func() { n.shards[0].compactThreshold = 4000 })
	s.locked(func() { s.nodes[i] = n })
}

// checkFinal checks the whole history, and what is read back in the end.
func (s *changeSearch) checkFinal() {
	byBase := map[uint64]*sentChange{}
	acked := map[uint64]*sentChange{}
	for _, o := range s.changes {
		if !o.acked {
			continue
		}
		if other := byBase[o.baseVersion]; other != nil {
			s.violationf("one acknowledged change a base: %s, %s", other.name(), o.name())
		}
		if other := acked[o.newVersion]; other != nil {
			s.violationf("one acknowledged change a version: %s, %s", other.name(), o.name())
		}
		byBase[o.baseVersion], acked[o.newVersion] = o, o
	}
	for i, n := range s.nodes {
		got, version, err := n.ReadRoutingConfig(s.ctx)
		if err != nil || version < s.ackedVersion {
			s.violationf("what is read back is the newest that was acknowledged: %d gives %d, %v; %d was acknowledged", i, version, err, s.ackedVersion)
			continue
		}
		if o := acked[version]; o != nil && !o.partial && string(got) != string(body(o.newVersion, o.text)) {
			s.violationf("%d gives %s as version %d, %s was acknowledged", i, got, version, o.name())
		}
		s.readBodies[string(got)] = true
	}
	for _, o := range s.changes {
		if o.rejection != nil && s.readBodies[string(body(o.newVersion, o.text))] {
			s.violationf("%s was refused, and was read as in force: %v", o.name(), o.rejection)
		}
	}
}

func searchChanges(t *testing.T, seed uint64) *changeSearch {
	r := rand.New(rand.NewPCG(seed, 22))
	s := &changeSearch{t: t, cluster: newTestCluster(t), ctx: t.Context(), nodes: map[int]*Node{}, counts: map[string]int{}, readBodies: map[string]bool{}}
	s.cluster.seed = seed << 8
	for i := range searchMachines {
		s.start(i+1, true)
	}
	defer s.cluster.stopAll()
	s.cluster.waitUntil("a leader", 5*time.Second, func() bool { return len(s.cluster.members()) == 3 })
	var all sync.WaitGroup
	all.Go(func() { s.runReader(rand.New(rand.NewPCG(seed, 23))) })
	all.Go(func() { s.injectFaults(rand.New(rand.NewPCG(seed, 24))) })
	for i := range searchOperators {
		own := rand.New(rand.NewPCG(seed, r.Uint64()))
		all.Go(func() { s.runOperator(own, i) })
	}
	clock.Sleep(s.ctx, searchTime)
	s.stopped.Store(true)
	all.Wait()
	clock.Sleep(s.ctx, settings.DefaultBounds().Heal(1))
	s.checkFinal()
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
			s := searchChanges(t, seed)
			if len(s.violations) > 0 {
				t.Errorf("seed %d: %d faults: %v", seed, len(s.violations), s.violations[:min(3, len(s.violations))])
			}
			for name, n := range s.counts {
				total[name] += n
			}
			total["orders"] += len(s.changes)
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
