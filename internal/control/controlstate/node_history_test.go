package controlstate

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/data/agent"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/fleet"
	"pebbleloom/internal/sim/history"
)

// Numbers of machines and clients, and durations, of a run of nodeHistoryCluster.
const (
	historyMachines  = 4
	historyOperators = 3
	historyReaders   = 2
	historyRunTime   = 25 * time.Second // time during which faults are injected
	shutdownGrace    = 4 * time.Second
	weightsModel     = "model" // the model whose weights versions are set and read
)

// nodeHistoryCluster runs real nodes, with their goroutines, transports, clients and long polls, in virtual time while
// machines fail. It checks weights versions, the lease and each edge node's proof that its configuration is the newest
// (agent.FreshnessProof) during the run, and the linearizability of the operators' and readers' requests at the end.
type nodeHistoryCluster struct {
	*isolationWorld
	history      history.History
	mu           sync.Mutex
	random       *rand.Rand
	counts       map[string]int    // number of occurrences of each event or fault, by its name
	knownVersion uint64            // highest version of the routing configuration in any response to an operator or reader
	ackedWeights uint64            // highest acknowledged weights version of weightsModel
	tokenHolders map[uint64]string // lease holder that received each fencing token, by token
}

func newNodeHistoryCluster(t *testing.T, seed uint64) *nodeHistoryCluster {
	c := &nodeHistoryCluster{isolationWorld: newIsolationWorld(t, isolationScenario{}), random: rand.New(rand.NewPCG(seed, 11)),
		counts: map[string]int{}, tokenHolders: map[uint64]string{}}
	c.testCluster.seed = seed * 1000
	return c
}

// intN returns a random number from 0 to n-1. It may be called concurrently.
func (c *nodeHistoryCluster) intN(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.IntN(n)
}

// randomDuration returns a random number of milliseconds, at least one and at most the limit.
func (c *nodeHistoryCluster) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(c.intN(int(limit/time.Millisecond))+1) * time.Millisecond
}

func (c *nodeHistoryCluster) count(event string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[event]++
}

// newestKnown returns the highest version in any response so far. Operators base their changes on it.
func (c *nodeHistoryCluster) newestKnown() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.knownVersion
}

// learnVersion records a version of the routing configuration that a response contained.
func (c *nodeHistoryCluster) learnVersion(version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.knownVersion = max(c.knownVersion, version)
}

// randomNode returns the node of a randomly chosen machine; nil if the machine is not running.
func (c *nodeHistoryCluster) randomNode() *Node { return c.node(c.intN(historyMachines) + 1) }

// sendChanges sends changes of the routing configuration until the context ends. Each change is sent up to three times, to
// random nodes, until it gets a definite outcome.
func (c *nodeHistoryCluster) sendChanges(ctx context.Context, operator int) {
	for number := 0; ctx.Err() == nil; number++ {
		clock.Sleep(ctx, c.randomDuration(400*time.Millisecond))
		base := c.newestKnown()
		version := base + 1 + uint64(c.intN(3))
		content := body(version, fmt.Sprintf("operator %d, change %d", operator, number))
		change := history.Change{Key: routingconfig.DocumentKey, Token: string(content), BaseVersion: base, NewVersion: version, Body: string(content)}
		for range 3 {
			if ctx.Err() != nil || c.sendChange(change) {
				break
			}
		}
	}
}

// sendChange sends a change to a random node, and reports whether the outcome is definite.
func (c *nodeHistoryCluster) sendChange(change history.Change) bool {
	node := c.randomNode()
	if node == nil {
		return false
	}
	attempt := c.history.BeginAttempt(change)
	version, err := node.PutRoutingConfig(context.Background(), change.BaseVersion, []byte(change.Body), false)
	switch {
	case err == nil:
		attempt.Complete(history.Acknowledged, version)
		c.recordAck(version)
		c.learnVersion(version)
		c.count("acknowledged")
	case errs.KindOf(err) == errs.Conflict && version > 0:
		attempt.Complete(history.Rejected, version)
		c.learnVersion(version)
		c.count("rejected")
	case errs.KindOf(err).HTTPStatus == 503:
		c.count("unknown")
		return false
	default:
		c.t.Errorf("change of routing configuration version %d: unexpected error %v", change.BaseVersion, err)
	}
	return true
}

// read reads the routing configuration from random nodes until the context ends.
func (c *nodeHistoryCluster) read(ctx context.Context) {
	for ; ctx.Err() == nil; clock.Sleep(ctx, c.randomDuration(300*time.Millisecond)) {
		node := c.randomNode()
		if node == nil {
			continue
		}
		query := c.history.BeginRead(routingconfig.DocumentKey)
		if content, version, err := node.ReadRoutingConfig(context.Background()); err == nil {
			query.Complete(version, string(content))
			c.learnVersion(version)
			c.count("read")
		}
	}
}

// setWeights sets the weights versions 1, 2, 3 and so on of a model, each one until it is acknowledged by a random node.
func (c *nodeHistoryCluster) setWeights(ctx context.Context) {
	for version := uint64(1); ctx.Err() == nil; clock.Sleep(ctx, c.randomDuration(800*time.Millisecond)) {
		node := c.randomNode()
		if node == nil || node.SetWeightsVersion(context.Background(), weightsModel, version) != nil {
			continue
		}
		c.mu.Lock()
		c.ackedWeights = version
		c.mu.Unlock()
		c.count("weights set")
		version++
	}
}

// readWeights reads the weights version of a model from random nodes until the context ends. It checks that no read
// returns a version below one that was acknowledged or read before.
func (c *nodeHistoryCluster) readWeights(ctx context.Context) {
	newest := uint64(0)
	for ; ctx.Err() == nil; clock.Sleep(ctx, c.randomDuration(300*time.Millisecond)) {
		node := c.randomNode()
		if node == nil {
			continue
		}
		c.mu.Lock()
		newest = max(newest, c.ackedWeights)
		c.mu.Unlock()
		attempt, end := context.WithTimeout(ctx, time.Second)
		document, err := node.readDocument(attempt, fleet.WeightsKey)
		end()
		if err != nil {
			continue
		}
		weights := fleet.Weights{}
		if err := json.Unmarshal(document.GetBody(), &weights); err != nil && newest > 0 {
			c.t.Errorf("%v after the start: failed to decode the weights document %q: %v", c.elapsed(), document.GetBody(), err)
		}
		if version := weights.Versions[weightsModel]; version < newest {
			c.t.Errorf("%v after the start: read returned weights version %d, but version %d was acknowledged or read before", c.elapsed(), version, newest)
		} else {
			newest = version
		}
		c.count("weights read")
	}
}

// renewLeaseAtRandomNodes requests or renews the lease for a holder until the context ends. Occasionally it pauses for
// longer than the lease lasts. It checks that no two holders receive the same fencing token.
func (c *nodeHistoryCluster) renewLeaseAtRandomNodes(ctx context.Context, holder int) {
	lease := c.leases[holder]
	for ; ctx.Err() == nil; clock.Sleep(ctx, leaseTTL*2/5) {
		if c.intN(20) == 0 {
			clock.Sleep(ctx, 2*leaseTTL)
		}
		node := c.randomNode()
		if node == nil {
			continue
		}
		requestedAt := c.elapsed() + time.Hour // the lease uses clock.Synctest, which starts at one hour
		attempt, end := context.WithTimeout(ctx, leaseTTL)
		response, _ := node.controlClient.Change(attempt, grantRequest(lease.GrantRequest()))
		end()
		lease.HandleResponse(requestedAt, response)
		if token, ok := lease.FencingToken(); ok {
			c.recordToken(token, lease.Holder)
		}
	}
}

// recordToken records the holder of a fencing token, and fails the test if another holder received the same token.
func (c *nodeHistoryCluster) recordToken(token uint64, holder string) {
	c.count("lease held")
	c.mu.Lock()
	defer c.mu.Unlock()
	if other := c.tokenHolders[token]; other != "" && other != holder {
		c.t.Errorf("%v after the start: fencing token %d was granted both to %s and to %s", c.elapsed(), token, other, holder)
	}
	c.tokenHolders[token] = holder
}

// nodeFault is a kind of fault. inject returns after the fault has ended, except that partitions last until heal is called.
type nodeFault struct {
	name   string
	inject func(*nodeHistoryCluster, int) // injects the fault; receives the number of a random machine
}

// nodeFaults are the faults of which nodeHistoryCluster injects random ones into the machines.
var nodeFaults = []nodeFault{
	{"machine killed", func(c *nodeHistoryCluster, machine int) { c.restart([]int{machine}, c.kill) }},
	{"leader killed", func(c *nodeHistoryCluster, machine int) { c.restart([]int{max(1, c.leader())}, c.kill) }},
	{"all machines killed", func(c *nodeHistoryCluster, _ int) { c.restart([]int{1, 2, 3, 4}, c.kill) }},
	{"machine shut down", func(c *nodeHistoryCluster, machine int) {
		c.restart([]int{machine}, func(i int) { c.stopWithin(i, shutdownGrace) })
	}},
	{"machine isolated", func(c *nodeHistoryCluster, machine int) { c.partition(machine) }},
	{"leader isolated", func(c *nodeHistoryCluster, _ int) { c.partition(max(1, c.leader())) }},
	{"split into halves", func(c *nodeHistoryCluster, machine int) { c.partition(machine, machine%historyMachines+1) }},
	{"partitions healed", func(c *nodeHistoryCluster, _ int) { c.heal() }},
	{"full disk", func(c *nodeHistoryCluster, machine int) { c.fillDisk(machine) }},
	{"stalled disk", func(c *nodeHistoryCluster, machine int) { c.stallDisk(machine) }},
}

// restart ends the processes of machines with the given function, and starts them again after a random time of up to 2 s.
func (c *nodeHistoryCluster) restart(machines []int, end func(int)) {
	for _, machine := range machines {
		if c.node(machine) != nil {
			end(machine)
		}
	}
	time.Sleep(c.randomDuration(2 * time.Second))
	for _, machine := range machines {
		if c.node(machine) == nil {
			c.start(machine, false)
		}
	}
}

// partition interrupts the links between the given machines and all others. The direction is random: half of the time
// both directions are interrupted, otherwise only one.
func (c *nodeHistoryCluster) partition(machines ...int) {
	direction := c.intN(4)
	c.network.update(func(partitioned map[[2]string]bool) {
		isolated := map[int]bool{}
		for _, machine := range machines {
			isolated[machine] = true
		}
		for _, machine := range machines {
			for other := 1; other <= historyMachines; other++ {
				if isolated[other] {
					continue
				}
				if direction != 1 {
					partitioned[[2]string{c.addr(machine), c.addr(other)}] = true
				}
				if direction != 2 {
					partitioned[[2]string{c.addr(other), c.addr(machine)}] = true
				}
			}
		}
	})
}

// heal ends all partitions between machines.
func (c *nodeHistoryCluster) heal() {
	c.network.update(func(partitioned map[[2]string]bool) { clear(partitioned) })
}

// fillDisk makes all writes of a machine fail for a random time of up to 3 s.
func (c *nodeHistoryCluster) fillDisk(machine int) {
	disk := c.disks[c.addr(machine)]
	disk.update(func(disk *stallingDisk) { disk.disk.failWrites = true })
	time.Sleep(c.randomDuration(3 * time.Second))
	disk.update(func(disk *stallingDisk) { disk.disk.failWrites = false })
}

// stallDisk blocks all writes of a machine for a random time of up to 3 s.
func (c *nodeHistoryCluster) stallDisk(machine int) {
	disk, release := c.disks[c.addr(machine)], make(chan struct{})
	disk.update(func(disk *stallingDisk) { disk.stalled = release })
	time.Sleep(c.randomDuration(3 * time.Second))
	disk.update(func(disk *stallingDisk) { disk.stalled = nil })
	close(release)
}

// startHistoryClients starts operators, readers, lease holders and an edge, which run until the context ends.
func (c *nodeHistoryCluster) startHistoryClients(ctx context.Context) *sync.WaitGroup {
	clients := &sync.WaitGroup{}
	for operator := range historyOperators {
		clients.Go(func() { c.sendChanges(ctx, operator) })
	}
	for range historyReaders {
		clients.Go(func() { c.read(ctx) })
	}
	clients.Go(func() { c.setWeights(ctx) })
	clients.Go(func() { c.readWeights(ctx) })
	clients.Go(func() { c.checkSingleHolder(ctx) })
	for holder := range c.leases {
		clients.Go(func() { c.renewLeaseAtRandomNodes(ctx, holder) })
	}
	edge := &isolationEdge{proof: agent.NewFreshnessProof()}
	c.edges = append(c.edges, edge)
	for machine := 1; machine <= historyMachines; machine++ {
		edge.machines = append(edge.machines, machine)
		clients.Go(func() { c.followMember(ctx, edge, machine) })
	}
	return clients
}

// awaitRecovery ends all partitions. It fails the test unless a change is acknowledged after that, and the edge then
// receives a newer version with a freshness proof, each within a bound.
func (c *nodeHistoryCluster) awaitRecovery() {
	const within = 12 * time.Second
	c.heal()
	healedAt, version := c.elapsed(), c.newestAcked()
	c.waitUntil("a change to be acknowledged after the last fault", within, func() bool { return c.newestAcked() > version })
	edge := c.edges[0]
	c.waitUntil("the edge node to hold a newer configuration version, proven to be the newest, after the last fault", within, func() bool {
		edge.mu.Lock()
		isNewest := edge.version > version
		edge.mu.Unlock()
		return isNewest && edge.freshUntil() > healedAt
	})
}

// runNodeHistory runs real nodes with faults. It returns the cluster, so that the caller can check its history outside the
// synctest bubble: virtual time does not advance while the checker runs, so its time-out would have no effect there.
func runNodeHistory(t *testing.T, seed uint64) (cluster *nodeHistoryCluster) {
	synctest.Test(t, func(t *testing.T) {
		cluster = newNodeHistoryCluster(t, seed)
		defer cluster.stopAll()
		cluster.startInitialGroup(historyMachines)
		ctx, stop := context.WithCancel(context.Background())
		clients := cluster.startHistoryClients(ctx)
		defer clients.Wait()
		defer stop()
		for cluster.elapsed() < historyRunTime {
			fault := nodeFaults[cluster.intN(len(nodeFaults))]
			cluster.count(fault.name)
			fault.inject(cluster, cluster.intN(historyMachines)+1)
			time.Sleep(cluster.randomDuration(1500 * time.Millisecond))
		}
		cluster.awaitRecovery()
	})
	return cluster
}

// Runs real nodes while machines are killed, shut down, isolated or split into halves, and while disks fill up or stall.
// The history of changes and reads must be linearizable, weights versions must not decrease, the lease and each fencing
// token must have a single holder, and the freshness proofs of edges must be correct. After the last fault, changes must
// be acknowledged and the edge must receive them. HISTORY_SEEDS sets the number of runs and HISTORY_SEED the first seed.
func TestHistoriesOfRealNodes(t *testing.T) {
	from, count := uintFromEnv(t, "HISTORY_SEED", 0), uintFromEnv(t, "HISTORY_SEEDS", historySeeds)
	sum := map[string]int{}
	for seed := from; seed < from+count; seed++ {
		c := runNodeHistory(t, seed)
		if c == nil || t.Failed() {
			t.Fatalf("run of real nodes with seed %d failed; its errors are reported above", seed)
		}
		result := c.history.Check(historyCheckTimeout)
		for _, violation := range result.Violations {
			t.Fatalf("seed %d: history is not linearizable: %s", seed, violation)
		}
		sum["operations checked"] += result.Operations
		for event, occurrences := range c.counts {
			sum[event] += occurrences
		}
	}
	t.Logf("counts of events and faults in %d runs: %v", count, sum)
	for _, event := range []string{"acknowledged", "rejected", "unknown", "read", "weights set", "weights read", "lease held"} {
		if sum[event] < 3*int(count) {
			t.Errorf("event %q happened only %d times in %d runs, want at least %d", event, sum[event], count, 3*count)
		}
	}
}
