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

// The search of TestEightConcurrentChanges: operators of a group of real nodes, with real requests between
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

func (change *sentChange) name() string {
	return fmt.Sprintf("%d by %s", change.newVersion, change.text)
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
func (s *changeSearch) randomNode(random *rand.Rand) (chosen *Node) {
	s.locked(func() {
		for range 4 {
			if node := s.nodes[1+random.IntN(searchMachines)]; node != nil {
				if chosen = node; !node.shards[0].published.current().isLeader {
					return
				}
			}
		}
	})
	return chosen
}

// nextChange is the order that an operator sends now: a new one on the newest version it knows of, perhaps
// under the number of another, or one that was sent before, whatever became of it.
func (s *changeSearch) nextChange(random *rand.Rand, operator int) (order *sentChange) {
	s.locked(func() {
		if n := len(s.changes); n > 0 && random.IntN(earlierChangeOdds) == 0 {
			order = s.changes[random.IntN(n)]
			s.counts["sent again"]++
			return
		}
		order = &sentChange{baseVersion: s.knownVersion, newVersion: s.knownVersion + 1 + random.Uint64N(2), partial: random.IntN(3) == 0}
		author := fmt.Sprint(operator)
		if random.IntN(4) == 0 {
			author = "any" // two operators, one number, one content: the same order
		}
		order.text = fmt.Sprintf("%s on %d, part %v", author, order.baseVersion, order.partial) // no two orders make one body
		for _, change := range s.changes {
			if change.baseVersion == order.baseVersion && change.newVersion == order.newVersion && change.text == order.text {
				order = change
				return
			}
		}
		s.changes = append(s.changes, order)
	})
	return order
}

// send sends one copy of an order, and notes the answer unless it is lost.
func (s *changeSearch) send(random *rand.Rand, change *sentChange, node *Node, lost bool) (answered bool) {
	version, err := node.PutRoutingConfig(s.ctx, change.baseVersion, body(change.newVersion, change.text), change.partial)
	kind := errs.KindOf(err)
	refused := err != nil && (kind == errs.Conflict || kind == errs.BadInput || kind == errs.TooLarge)
	if lost {
		return false
	}
	s.locked(func() {
		change.attempts++
		switch {
		case err == nil:
			if version != change.newVersion {
				s.violationf("order %s is acknowledged as %d", change.name(), version)
			}
			if change.acked {
				s.counts["acknowledged again"]++
			} else {
				s.counts["acknowledged"]++
			}
			change.acked, s.knownVersion, s.ackedVersion = true, max(s.knownVersion, change.newVersion), max(s.ackedVersion, change.newVersion)
		case refused:
			s.counts["refused"]++
			change.rejection = err
		default:
			s.counts["unclear"]++
		}
		if change.acked && change.rejection != nil {
			s.violationf("an acknowledged order is never refused, a refused one never in force: %s: %v", change.name(), change.rejection)
		}
	})
	return err == nil || refused
}

// runOperator is one operator: it sends an order until it has a clear answer, at times two copies at once.
func (s *changeSearch) runOperator(random *rand.Rand, operator int) {
	for !s.stopped.Load() {
		change := s.nextChange(random, operator)
		for tries := 0; tries < 8 && !s.stopped.Load(); tries++ {
			node, twin := s.randomNode(random), s.randomNode(random)
			if node == nil || twin == nil {
				clock.Sleep(s.ctx, 100*time.Millisecond)
				continue
			}
			lost := random.IntN(5) == 0
			var copies sync.WaitGroup
			if random.IntN(4) == 0 {
				copies.Go(func() { s.send(random, change, twin, false) })
			}
			answered := s.send(random, change, node, lost)
			if copies.Wait(); answered {
				break
			}
			clock.Sleep(s.ctx, time.Duration(10+random.IntN(200))*time.Millisecond)
		}
		clock.Sleep(s.ctx, time.Duration(random.IntN(40))*time.Millisecond)
	}
}

// runReader is one reader: versions climb, what was acknowledged before is there, and no refused order is.
func (s *changeSearch) runReader(random *rand.Rand) {
	for !s.stopped.Load() {
		clock.Sleep(s.ctx, 50*time.Millisecond)
		node := s.randomNode(random)
		if node == nil {
			continue
		}
		var before uint64
		s.locked(func() { before = max(s.ackedVersion, s.knownVersion) })
		got, version, err := node.ReadRoutingConfig(s.ctx)
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
func (s *changeSearch) injectFaults(random *rand.Rand) {
	cluster := s.cluster
	for !s.stopped.Load() {
		clock.Sleep(s.ctx, time.Duration(200+random.IntN(1500))*time.Millisecond)
		i := 1 + random.IntN(searchMachines)
		if o := cluster.leader(); o > 0 && random.IntN(2) == 0 {
			i = o
		}
		switch random.IntN(5) {
		case 0, 1:
			s.count("restarted")
			s.stop(i)
			clock.Sleep(s.ctx, time.Duration(random.IntN(1000))*time.Millisecond)
			s.start(i, false)
		case 2, 3:
			s.count("dark")
			cluster.setUnreachable(i, true)
			clock.Sleep(s.ctx, time.Duration(500+random.IntN(3000))*time.Millisecond)
			cluster.setUnreachable(i, false)
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

func (s *changeSearch) stop(i int) {
	s.locked(func() { delete(s.nodes, i) })
	s.cluster.stop(i)
}

func (s *changeSearch) start(i int, first bool) {
	node := s.cluster.start(i, first)
	node.shards[0].runOnLoop(s.ctx, func() { node.shards[0].compactThreshold = 4000 })
	s.locked(func() { s.nodes[i] = node })
}

// checkFinal checks the whole history, and what is read back in the end.
func (s *changeSearch) checkFinal() {
	byBase := map[uint64]*sentChange{}
	acked := map[uint64]*sentChange{}
	for _, change := range s.changes {
		if !change.acked {
			continue
		}
		if other := byBase[change.baseVersion]; other != nil {
			s.violationf("one acknowledged change a base: %s, %s", other.name(), change.name())
		}
		if other := acked[change.newVersion]; other != nil {
			s.violationf("one acknowledged change a version: %s, %s", other.name(), change.name())
		}
		byBase[change.baseVersion], acked[change.newVersion] = change, change
	}
	for i, node := range s.nodes {
		got, version, err := node.ReadRoutingConfig(s.ctx)
		if err != nil || version < s.ackedVersion {
			s.violationf("what is read back is the newest that was acknowledged: %d gives %d, %v; %d was acknowledged", i, version, err, s.ackedVersion)
			continue
		}
		if change := acked[version]; change != nil && !change.partial && string(got) != string(body(change.newVersion, change.text)) {
			s.violationf("%d gives %s as version %d, %s was acknowledged", i, got, version, change.name())
		}
		s.readBodies[string(got)] = true
	}
	for _, change := range s.changes {
		if change.rejection != nil && s.readBodies[string(body(change.newVersion, change.text))] {
			s.violationf("%s was refused, and was read as in force: %v", change.name(), change.rejection)
		}
	}
}

func searchChanges(t *testing.T, seed uint64) *changeSearch {
	random := rand.New(rand.NewPCG(seed, 22))
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
		own := rand.New(rand.NewPCG(seed, random.Uint64()))
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
func TestEightConcurrentChanges(t *testing.T) {
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
