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

// Parameters of TestEightConcurrentChanges, a randomized test of a group of real nodes: operators send changes
// while machines stop, restart, become unreachable and lose their leadership.
const (
	searchOperators = 8                // number of operators, each with one change in flight
	searchMachines  = 5                // number of machines: three voters and two spares
	searchTime      = 15 * time.Second // duration of the faults and requests of one seed
	searchSeeds     = 2
	searchSeedsVar  = "ORDERS_SEEDS" // environment variable that overrides searchSeeds
	retryOdds       = 3              // an operator retries an earlier change once in this many times, on average
)

// sentChange is a change of the configuration, with the outcomes that operators received for it.
type sentChange struct {
	baseVersion, newVersion uint64
	text                    string // content of the configuration
	partial                 bool   // whether the change is a patch, which is merged with the base version
	acked                   bool
	rejection               error // error with which the change was rejected; nil if it was not
	attempts                int
}

// name returns a text that identifies a change in test messages.
func (c *sentChange) name() string {
	return fmt.Sprintf("to configuration version %d (%s)", c.newVersion, c.text)
}

// changeSearch is a run of TestEightConcurrentChanges with one seed.
type changeSearch struct {
	t            *testing.T
	cluster      *testCluster
	ctx          context.Context
	mu           sync.Mutex
	nodes        map[int]*Node // nodes of the running machines, by machine number
	changes      []*sentChange
	knownVersion uint64          // newest version of the configuration that was acknowledged or read
	ackedVersion uint64          // newest version of the configuration that was acknowledged
	counts       map[string]int  // number of occurrences of each event, by its name
	readBodies   map[string]bool // bodies of all configurations that were returned by reads
	violations   []string
	stopped      atomic.Bool
}

// locked runs a function while it holds the mutex of the changeSearch. The function must not block.
func (s *changeSearch) locked(run func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	run()
}

func (s *changeSearch) violationf(format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

func (s *changeSearch) count(event string) { s.locked(func() { s.counts[event]++ }) }

// randomNode returns a random node to send a request to, preferring nodes that are not the leader. It returns nil if it
// finds none that runs.
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

// nextChange returns the change that an operator sends next. It is either a new one based on the newest known
// version, which may compete with other changes for the same new version, or a random earlier one, whatever its
// outcome was.
func (s *changeSearch) nextChange(random *rand.Rand, operator int) (change *sentChange) {
	s.locked(func() {
		if n := len(s.changes); n > 0 && random.IntN(retryOdds) == 0 {
			change = s.changes[random.IntN(n)]
			s.counts["retried"]++
			return
		}
		change = &sentChange{baseVersion: s.knownVersion, newVersion: s.knownVersion + 1 + random.Uint64N(2), partial: random.IntN(3) == 0}
		author := fmt.Sprint(operator)
		if random.IntN(4) == 0 {
			author = "any" // operators that send a change by "any" with equal versions and content send the same change
		}
		change.text = fmt.Sprintf("change by operator %s, base version %d, sent as a patch: %v", author, change.baseVersion, change.partial) // different changes get different bodies
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

// send sends a change once and records the outcome. If lost is set, the response is discarded as if it had been lost.
// answered reports whether the operator received a definite outcome.
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
				s.violationf("change %s was acknowledged with version %d", change.name(), version)
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
			s.counts["outcome unknown"]++
		}
		if change.acked && change.rejection != nil {
			s.violationf("change %s was both acknowledged and rejected: %v", change.name(), change.rejection)
		}
	})
	return err == nil || isRejected
}

// runOperator acts as one operator: it retries each change until it knows the outcome or has made eight attempts, and
// sends some attempts to two nodes concurrently.
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

// runReader reads periodically, and checks that no read returns an older version than one that was acknowledged or
// read before.
func (s *changeSearch) runReader(random *rand.Rand) {
	for !s.stopped.Load() {
		clock.Sleep(s.ctx, 50*time.Millisecond)
		node := s.randomNode(random)
		if node == nil {
			continue
		}
		var before uint64
		s.locked(func() { before = max(s.ackedVersion, s.knownVersion) })
		content, version, err := node.ReadRoutingConfig(s.ctx)
		if err != nil {
			continue
		}
		s.locked(func() {
			if version < before {
				s.violationf("stale read: version %d was acknowledged or read before, then a read returned version %d: %s", before, version, content)
			}
			s.knownVersion = max(s.knownVersion, version)
			s.counts["read"]++
			s.readBodies[string(content)] = true
		})
	}
}

// injectFaults repeatedly restarts one machine, makes one unreachable, or restarts all.
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

// stop shuts a machine down.
func (s *changeSearch) stop(machine int) {
	s.locked(func() { delete(s.nodes, machine) })
	s.cluster.stop(machine)
}

// start starts a machine with a low threshold for log compaction, so that its log is compacted often.
func (s *changeSearch) start(machine int, firstStart bool) {
	node := s.cluster.start(machine, firstStart)
	node.shards[0].runOnLoop(s.ctx, func() { node.shards[0].compactThreshold = 4000 })
	s.locked(func() { s.nodes[machine] = node })
}

// checkFinal checks the outcomes of all changes for consistency with each other and with a final read from each node.
func (s *changeSearch) checkFinal() {
	byBase := map[uint64]*sentChange{}
	acked := map[uint64]*sentChange{}
	for _, change := range s.changes {
		if !change.acked {
			continue
		}
		if other := byBase[change.baseVersion]; other != nil {
			s.violationf("two changes were acknowledged on base version %d: %s and %s", change.baseVersion, other.name(), change.name())
		}
		if other := acked[change.newVersion]; other != nil {
			s.violationf("two changes were acknowledged with the same new version: %s and %s", other.name(), change.name())
		}
		byBase[change.baseVersion], acked[change.newVersion] = change, change
	}
	for machine, node := range s.nodes {
		content, version, err := node.ReadRoutingConfig(s.ctx)
		if err != nil || version < s.ackedVersion {
			s.violationf("final read from machine %d returned version %d (error %v), want at least the acknowledged version %d", machine, version, err, s.ackedVersion)
			continue
		}
		if change := acked[version]; change != nil && !change.partial && string(content) != string(body(change.newVersion, change.text)) {
			s.violationf("final read from machine %d returned %s as version %d, but the acknowledged change was %s", machine, content, version, change.name())
		}
		s.readBodies[string(content)] = true
	}
	for _, change := range s.changes {
		if change.rejection != nil && s.readBodies[string(body(change.newVersion, change.text))] {
			s.violationf("change %s was rejected, but a read returned its configuration: rejection %v", change.name(), change.rejection)
		}
	}
}

// searchChanges runs the test with one seed and returns the run with its violations.
func searchChanges(t *testing.T, seed uint64) *changeSearch {
	random := rand.New(rand.NewPCG(seed, 22))
	search := &changeSearch{t: t, cluster: newTestCluster(t), ctx: t.Context(), nodes: map[int]*Node{}, counts: map[string]int{}, readBodies: map[string]bool{}}
	search.cluster.seed = seed << 8
	for i := range searchMachines {
		search.start(i+1, true)
	}
	defer search.cluster.stopAll()
	search.cluster.waitUntil("leader with three voters", 5*time.Second, func() bool { return len(search.cluster.members()) == 3 })
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
	clock.Sleep(search.ctx, settings.DefaultBounds().Recovery(1))
	search.checkFinal()
	return search
}

// Eight operators send changes concurrently, mostly through followers, while responses are lost, superseded changes
// are retried, and machines restart and become unreachable. At most one change is acknowledged on each base version,
// an acknowledged change is never rejected, a rejected one never takes effect, no read returns an older version than
// an earlier one, and the final reads return the newest acknowledged version.
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
				t.Errorf("seed %d: %d violations, the first of which are: %v", seed, len(s.violations), s.violations[:min(3, len(s.violations))])
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
	t.Logf("%d seeds, number of occurrences by event: %v", seeds, total)
	for _, event := range []string{"acknowledged", "acknowledged again", "rejected", "outcome unknown", "read", "restarted", "unreachable"} {
		if total[event] == 0 {
			t.Errorf("event %q never occurred in %d seeds, so the test did not cover it", event, seeds)
		}
	}
}
