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
// them, while machines stop, start, become unreachable and lose their leadership.
const (
	searchOperators   = 8 // as many changes are in flight at once
	searchMachines    = 5
	searchTime        = 15 * time.Second
	searchSeeds       = 2
	searchSeedsVar    = "ORDERS_SEEDS" // the environment variable of another number of seeds
	earlierChangeOdds = 3              // one change in so many is an earlier one that is retried
)

// sentChange is a change with all answers that operators got to it.
type sentChange struct {
	baseVersion, newVersion uint64
	text                    string
	partial                 bool
	acked                   bool
	rejection               error
	attempts                int
}

func (c *sentChange) name() string {
	return fmt.Sprintf("%d by %s", c.newVersion, c.text)
}

// changeSearch is one seed of the search.
type changeSearch struct {
	t            *testing.T
	cluster      *testCluster
	ctx          context.Context
	mu           sync.Mutex
	nodes        map[int]*Node // of the machines that run
	changes      []*sentChange
	knownVersion uint64 // the newest version that was acknowledged or read
	ackedVersion uint64 // the newest version that was acknowledged
	counts       map[string]int
	readBodies   map[string]bool // that were read
	violations   []string
	stopped      atomic.Bool
}

// locked runs a function under the lock; it must not block.
func (s *changeSearch) locked(run func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	run()
}

func (s *changeSearch) violationf(format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

func (s *changeSearch) count(event string) { s.locked(func() { s.counts[event]++ }) }

// randomNode draws a node to send to, seldom the leader; nil: none runs.
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

// nextChange is the change that an operator sends now: a new one on the newest version it knows of, perhaps
// for the same version as another one, or one that was sent before, whatever its outcome was.
func (s *changeSearch) nextChange(random *rand.Rand, operator int) (change *sentChange) {
	s.locked(func() {
		if n := len(s.changes); n > 0 && random.IntN(earlierChangeOdds) == 0 {
			change = s.changes[random.IntN(n)]
			s.counts["retried"]++
			return
		}
		change = &sentChange{baseVersion: s.knownVersion, newVersion: s.knownVersion + 1 + random.Uint64N(2), partial: random.IntN(3) == 0}
		author := fmt.Sprint(operator)
		if random.IntN(4) == 0 {
			author = "any" // two operators, one version, one content: the same change
		}
		change.text = fmt.Sprintf("%s on %d, part %v", author, change.baseVersion, change.partial) // no two changes have one body
		for _, other := range s.changes {
			if other.baseVersion == change.baseVersion && other.newVersion == change.newVersion && other.text == change.text {
				change = other
				return
			}
		}
		s.changes = append(s.changes, change)
	})
	return change
}

// send sends a change once, and records the answer unless it is lost.
func (s *changeSearch) send(change *sentChange, node *Node, lost bool) (answered bool) {
	version, err := node.PutRoutingConfig(s.ctx, change.baseVersion, body(change.newVersion, change.text), change.partial)
	kind := errs.KindOf(err)
	isRejected := err != nil && (kind == errs.Conflict || kind == errs.BadInput || kind == errs.TooLarge)
	if lost {
		return false
	}
	s.locked(func() {
		change.attempts++
		switch {
		case err == nil:
			if version != change.newVersion {
				s.violationf("change %s is acknowledged as %d", change.name(), version)
			}
			if change.acked {
				s.counts["acknowledged again"]++
			} else {
				s.counts["acknowledged"]++
			}
			change.acked, s.knownVersion, s.ackedVersion = true, max(s.knownVersion, change.newVersion), max(s.ackedVersion, change.newVersion)
		case isRejected:
			s.counts["rejected"]++
			change.rejection = err
		default:
			s.counts["left unknown"]++
		}
		if change.acked && change.rejection != nil {
			s.violationf("an acknowledged change is never rejected, a rejected one never in force: %s: %v", change.name(), change.rejection)
		}
	})
	return err == nil || isRejected
}

// runOperator is one operator: it retries a change until it knows the outcome, and at times sends it to two
// nodes at once.
func (s *changeSearch) runOperator(random *rand.Rand, operator int) {
	for !s.stopped.Load() {
		change := s.nextChange(random, operator)
		for attempt := 0; attempt < 8 && !s.stopped.Load(); attempt++ {
			node, second := s.randomNode(random), s.randomNode(random)
			if node == nil || second == nil {
				clock.Sleep(s.ctx, 100*time.Millisecond)
				continue
			}
			lost := random.IntN(5) == 0
			var concurrent sync.WaitGroup
			if random.IntN(4) == 0 {
				concurrent.Go(func() { s.send(change, second, false) })
			}
			answered := s.send(change, node, lost)
			if concurrent.Wait(); answered {
				break
			}
			clock.Sleep(s.ctx, time.Duration(10+random.IntN(200))*time.Millisecond)
		}
		clock.Sleep(s.ctx, time.Duration(random.IntN(40))*time.Millisecond)
	}
}

// runReader is one reader: versions never fall, and what was acknowledged before is there.
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
				s.violationf("versions never fall: %d was acknowledged or read, then %d is read: %s", before, version, got)
			}
			s.knownVersion = max(s.knownVersion, version)
			s.counts["read"]++
			s.readBodies[string(got)] = true
		})
	}
}

// injectFaults restarts machines or makes them unreachable, one at a time, and at times restarts all.
func (s *changeSearch) injectFaults(random *rand.Rand) {
	cluster := s.cluster
	for !s.stopped.Load() {
		clock.Sleep(s.ctx, time.Duration(200+random.IntN(1500))*time.Millisecond)
		machine := 1 + random.IntN(searchMachines)
		if leader := cluster.leader(); leader > 0 && random.IntN(2) == 0 {
			machine = leader
		}
		switch random.IntN(5) {
		case 0, 1:
			s.count("restarted")
			s.stop(machine)
			clock.Sleep(s.ctx, time.Duration(random.IntN(1000))*time.Millisecond)
			s.start(machine, false)
		case 2, 3:
			s.count("unreachable")
			cluster.setUnreachable(machine, true)
			clock.Sleep(s.ctx, time.Duration(500+random.IntN(3000))*time.Millisecond)
			cluster.setUnreachable(machine, false)
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

func (s *changeSearch) stop(machine int) {
	s.locked(func() { delete(s.nodes, machine) })
	s.cluster.stop(machine)
}

// start starts a machine whose log is compacted often.
func (s *changeSearch) start(machine int, firstStart bool) {
	node := s.cluster.start(machine, firstStart)
	node.shards[0].runOnLoop(s.ctx, func() { node.shards[0].compactThreshold = 4000 })
	s.locked(func() { s.nodes[machine] = node })
}

// checkFinal checks all answers together, and what is read back in the end.
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
	for machine, node := range s.nodes {
		got, version, err := node.ReadRoutingConfig(s.ctx)
		if err != nil || version < s.ackedVersion {
			s.violationf("what is read back is the newest that was acknowledged: %d gives %d, %v; %d was acknowledged", machine, version, err, s.ackedVersion)
			continue
		}
		if change := acked[version]; change != nil && !change.partial && string(got) != string(body(change.newVersion, change.text)) {
			s.violationf("%d gives %s as version %d, %s was acknowledged", machine, got, version, change.name())
		}
		s.readBodies[string(got)] = true
	}
	for _, change := range s.changes {
		if change.rejection != nil && s.readBodies[string(body(change.newVersion, change.text))] {
			s.violationf("%s was rejected, and was read as in force: %v", change.name(), change.rejection)
		}
	}
}

// searchChanges runs one seed.
func searchChanges(t *testing.T, seed uint64) *changeSearch {
	random := rand.New(rand.NewPCG(seed, 22))
	search := &changeSearch{t: t, cluster: newTestCluster(t), ctx: t.Context(), nodes: map[int]*Node{}, counts: map[string]int{}, readBodies: map[string]bool{}}
	search.cluster.seed = seed << 8
	for i := range searchMachines {
		search.start(i+1, true)
	}
	defer search.cluster.stopAll()
	search.cluster.waitUntil("a leader", 5*time.Second, func() bool { return len(search.cluster.members()) == 3 })
	var clients sync.WaitGroup
	clients.Go(func() { search.runReader(rand.New(rand.NewPCG(seed, 23))) })
	clients.Go(func() { search.injectFaults(rand.New(rand.NewPCG(seed, 24))) })
	for i := range searchOperators {
		operatorRandom := rand.New(rand.NewPCG(seed, random.Uint64()))
		clients.Go(func() { search.runOperator(operatorRandom, i) })
	}
	clock.Sleep(search.ctx, searchTime)
	search.stopped.Store(true)
	clients.Wait()
	clock.Sleep(search.ctx, settings.DefaultBounds().Heal(1))
	search.checkFinal()
	return search
}

// Eight concurrent changes from as many operators, mostly by nodes that don't lead, with lost answers,
// concurrent attempts, retries of changes that others have overtaken, and machines that restart and become
// unreachable. At most one change is acknowledged on a version, what was acknowledged is never rejected,
// what was rejected never comes into force, versions never fall, and the newest acknowledged is read back.
func TestEightConcurrentChanges(t *testing.T) {
	seeds := searchSeeds
	if count, err := strconv.Atoi(os.Getenv(searchSeedsVar)); err == nil {
		seeds = count
	}
	total := map[string]int{}
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			s := searchChanges(t, seed)
			if len(s.violations) > 0 {
				t.Errorf("seed %d: %d violations: %v", seed, len(s.violations), s.violations[:min(3, len(s.violations))])
			}
			for event, count := range s.counts {
				total[event] += count
			}
			total["changes"] += len(s.changes)
		})
		if t.Failed() {
			break
		}
	}
	t.Logf("%d seeds: %v", seeds, total)
	for _, event := range []string{"acknowledged", "acknowledged again", "rejected", "left unknown", "read", "restarted", "unreachable"} {
		if total[event] == 0 {
			t.Errorf("nothing was %s", event)
		}
	}
}
