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

// Parameters of a run of nodeHistoryCluster.
const (
	historyMachines  = 4
	historyOperators = 3
	historyReaders   = 2
	historyRunTime   = 25 * time.Second // time during which faults are injected
	shutdownGrace    = 4 * time.Second
	weightsModel     = "model" // the model whose weights versions are set and read
)

// nodeHistoryCluster runs real nodes, with their goroutines, transports, clients and long polls, in virtual time while
// machines fail. The history of the requests of operators and readers is checked for linearizability at the end. Weights
// versions, the lease and the freshness proofs of edges are checked during the run.
type nodeHistoryCluster struct {
	*isolationWorld
	history      history.History
	mu           sync.Mutex
	random       *rand.Rand
	counts       map[string]int    // by event or fault: how often it happened
	knownVersion uint64            // highest version of the routing configuration in any response to an operator or reader
	ackedWeights uint64            // highest acknowledged weights version of weightsModel
	tokenHolders map[uint64]string // by fencing token: the lease holder that received it
}

func newNodeHistoryCluster(t *testing.T, seed uint64) *nodeHistoryCluster {
	w := &nodeHistoryCluster{isolationWorld: newIsolationWorld(t, isolationScenario{}), random: rand.New(rand.NewPCG(seed, 11)),
		counts: map[string]int{}, tokenHolders: map[uint64]string{}}
	w.testCluster.seed = seed * 1000
	return w
}

// intN returns a random number from 0 to n-1. It may be called concurrently.
func (w *nodeHistoryCluster) intN(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.IntN(n)
}

// randomDuration returns a random number of milliseconds, at least one and at most the limit.
func (w *nodeHistoryCluster) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(w.intN(int(limit/time.Millisecond))+1) * time.Millisecond
}

func (w *nodeHistoryCluster) count(event string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counts[event]++
}

// newestKnown returns the highest version in any response so far. Operators base their changes on it.
func (w *nodeHistoryCluster) newestKnown() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.knownVersion
}

// learnVersion records a version that a response contained.
func (w *nodeHistoryCluster) learnVersion(version uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.knownVersion = max(w.knownVersion, version)
}

// randomNode returns the node of a randomly chosen machine; nil if the machine is not running.
func (w *nodeHistoryCluster) randomNode() *Node { return w.node(w.intN(historyMachines) + 1) }

// sendChanges sends changes of the routing configuration until the context ends. Each change is sent up to three times, to
// random nodes, until it gets a definite outcome.
func (w *nodeHistoryCluster) sendChanges(ctx context.Context, operator int) {
	for number := 0; ctx.Err() == nil; number++ {
		clock.Sleep(ctx, w.randomDuration(400*time.Millisecond))
		base := w.newestKnown()
		version := base + 1 + uint64(w.intN(3))
		content := body(version, fmt.Sprintf("operator %d, change %d", operator, number))
		change := history.Change{Key: routingconfig.DocumentKey, Token: string(content), BaseVersion: base, NewVersion: version, Body: string(content)}
		for range 3 {
			if ctx.Err() != nil || w.sendChange(change) {
				break
			}
		}
	}
}

// sendChange sends a change to a random node, and reports whether the outcome is definite.
func (w *nodeHistoryCluster) sendChange(change history.Change) bool {
	node := w.randomNode()
	if node == nil {
		return false
	}
	attempt := w.history.BeginAttempt(change)
	version, err := node.PutRoutingConfig(context.Background(), change.BaseVersion, []byte(change.Body), false)
	switch {
	case err == nil:
		attempt.Complete(history.Acknowledged, version)
		w.recordAck(version)
		w.learnVersion(version)
		w.count("acknowledged")
	case errs.KindOf(err) == errs.Conflict && version > 0:
		attempt.Complete(history.Rejected, version)
		w.learnVersion(version)
		w.count("rejected")
	case errs.KindOf(err).HTTPStatus == 503:
		w.count("unknown")
		return false
	default:
		w.t.Errorf("change of routing configuration version %d: unexpected error %v", change.BaseVersion, err)
	}
	return true
}

// read reads the routing configuration from random nodes until the context ends.
func (w *nodeHistoryCluster) read(ctx context.Context) {
	for ; ctx.Err() == nil; clock.Sleep(ctx, w.randomDuration(300*time.Millisecond)) {
		node := w.randomNode()
		if node == nil {
			continue
		}
		query := w.history.BeginRead(routingconfig.DocumentKey)
		if content, version, err := node.ReadRoutingConfig(context.Background()); err == nil {
			query.Complete(version, string(content))
			w.learnVersion(version)
			w.count("read")
		}
	}
}

// setWeights sets the weights versions 1, 2, 3 and so on of a model, each one until it is acknowledged by a random node.
func (w *nodeHistoryCluster) setWeights(ctx context.Context) {
	for version := uint64(1); ctx.Err() == nil; clock.Sleep(ctx, w.randomDuration(800*time.Millisecond)) {
		node := w.randomNode()
		if node == nil || node.SetWeightsVersion(context.Background(), weightsModel, version) != nil {
			continue
		}
		w.mu.Lock()
		w.ackedWeights = version
		w.mu.Unlock()
		w.count("weights set")
		version++
	}
}

// readWeights reads the weights version of a model from random nodes until the context ends. It checks that no read
// returns a version below one that was acknowledged or read before.
func (w *nodeHistoryCluster) readWeights(ctx context.Context) {
	newest := uint64(0)
	for ; ctx.Err() == nil; clock.Sleep(ctx, w.randomDuration(300*time.Millisecond)) {
		node := w.randomNode()
		if node == nil {
			continue
		}
		w.mu.Lock()
		newest = max(newest, w.ackedWeights)
		w.mu.Unlock()
		attempt, end := context.WithTimeout(ctx, time.Second)
		document, err := node.readDocument(attempt, fleet.WeightsKey)
		end()
		if err != nil {
			continue
		}
		weights := fleet.Weights{}
		if err := json.Unmarshal(document.GetBody(), &weights); err != nil && newest > 0 {
			w.t.Errorf("%v after the start: failed to decode the weights document %q: %v", w.elapsed(), document.GetBody(), err)
		}
		if version := weights.Versions[weightsModel]; version < newest {
			w.t.Errorf("%v after the start: read returned weights version %d, but version %d was acknowledged or read before", w.elapsed(), version, newest)
		} else {
			newest = version
		}
		w.count("weights read")
	}
}

// renewLease requests or renews the lease for a holder through random nodes until the context ends. Occasionally it pauses
// for longer than the lease lasts. It checks that no two holders receive the same fencing token.
func (w *nodeHistoryCluster) renewLease(ctx context.Context, holder int) {
	lease := w.leases[holder]
	for ; ctx.Err() == nil; clock.Sleep(ctx, leaseTTL*2/5) {
		if w.intN(20) == 0 {
			clock.Sleep(ctx, 2*leaseTTL)
		}
		node := w.randomNode()
		if node == nil {
			continue
		}
		requestedAt := w.elapsed() + time.Hour // the lease uses clock.Synctest, which starts at one hour
		attempt, end := context.WithTimeout(ctx, leaseTTL)
		response, _ := node.controlClient.Change(attempt, grantRequest(lease.GrantRequest()))
		end()
		lease.HandleResponse(requestedAt, response)
		if token, ok := lease.FencingToken(); ok {
			w.recordToken(token, lease.Holder)
		}
	}
}

// recordToken records the holder of a fencing token, and fails the test if another holder received the same token.
func (w *nodeHistoryCluster) recordToken(token uint64, holder string) {
	w.count("lease held")
	w.mu.Lock()
	defer w.mu.Unlock()
	if other := w.tokenHolders[token]; other != "" && other != holder {
		w.t.Errorf("%v after the start: fencing token %d was granted both to %s and to %s", w.elapsed(), token, other, holder)
	}
	w.tokenHolders[token] = holder
}

// nodeFault is a kind of fault. inject returns after the fault has ended, except that partitions last until heal is called.
type nodeFault struct {
	name   string
	inject func(cluster *nodeHistoryCluster, machine int)
}

var nodeFaults = []nodeFault{
	{"machine killed", func(w *nodeHistoryCluster, machine int) { w.restart([]int{machine}, w.kill) }},
	{"leader killed", func(w *nodeHistoryCluster, machine int) { w.restart([]int{max(1, w.leader())}, w.kill) }},
	{"all machines killed", func(w *nodeHistoryCluster, _ int) { w.restart([]int{1, 2, 3, 4}, w.kill) }},
	{"machine shut down", func(w *nodeHistoryCluster, machine int) {
		w.restart([]int{machine}, func(i int) { w.stopWithin(i, shutdownGrace) })
	}},
	{"machine isolated", func(w *nodeHistoryCluster, machine int) { w.partition(machine) }},
	{"leader isolated", func(w *nodeHistoryCluster, _ int) { w.partition(max(1, w.leader())) }},
	{"split into halves", func(w *nodeHistoryCluster, machine int) { w.partition(machine, machine%historyMachines+1) }},
	{"partitions healed", func(w *nodeHistoryCluster, _ int) { w.heal() }},
	{"full disk", func(w *nodeHistoryCluster, machine int) { w.fillDisk(machine) }},
	{"stalled disk", func(w *nodeHistoryCluster, machine int) { w.stallDisk(machine) }},
}

// restart ends the processes of machines with the given function, and starts them again after a random time of up to 2 s.
func (w *nodeHistoryCluster) restart(machines []int, end func(int)) {
	for _, machine := range machines {
		if w.node(machine) != nil {
			end(machine)
		}
	}
	time.Sleep(w.randomDuration(2 * time.Second))
	for _, machine := range machines {
		if w.node(machine) == nil {
			w.start(machine, false)
		}
	}
}

// partition interrupts the links between the given machines and all others. The direction is random: half of the time
// both directions are interrupted, otherwise only one.
func (w *nodeHistoryCluster) partition(machines ...int) {
	direction := w.intN(4)
	w.network.update(func(partitioned map[[2]string]bool) {
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
					partitioned[[2]string{w.addr(machine), w.addr(other)}] = true
				}
				if direction != 2 {
					partitioned[[2]string{w.addr(other), w.addr(machine)}] = true
				}
			}
		}
	})
}

// heal ends all partitions.
func (w *nodeHistoryCluster) heal() {
	w.network.update(func(partitioned map[[2]string]bool) { clear(partitioned) })
}

// fillDisk makes all writes of a machine fail for a random time of up to 3 s.
func (w *nodeHistoryCluster) fillDisk(machine int) {
	disk := w.disks[w.addr(machine)]
	disk.update(func(disk *stallingDisk) { disk.disk.failWrites = true })
	time.Sleep(w.randomDuration(3 * time.Second))
	disk.update(func(disk *stallingDisk) { disk.disk.failWrites = false })
}

// stallDisk blocks all writes of a machine for a random time of up to 3 s.
func (w *nodeHistoryCluster) stallDisk(machine int) {
	disk, release := w.disks[w.addr(machine)], make(chan struct{})
	disk.update(func(disk *stallingDisk) { disk.stalled = release })
	time.Sleep(w.randomDuration(3 * time.Second))
	disk.update(func(disk *stallingDisk) { disk.stalled = nil })
	close(release)
}

// startClients starts operators, readers, lease holders and an edge, which run until the context ends.
func (w *nodeHistoryCluster) startClients(ctx context.Context) *sync.WaitGroup {
	clients := &sync.WaitGroup{}
	for operator := range historyOperators {
		clients.Go(func() { w.sendChanges(ctx, operator) })
	}
	for range historyReaders {
		clients.Go(func() { w.read(ctx) })
	}
	clients.Go(func() { w.setWeights(ctx) })
	clients.Go(func() { w.readWeights(ctx) })
	clients.Go(func() { w.checkSingleHolder(ctx) })
	for holder := range w.leases {
		clients.Go(func() { w.renewLease(ctx, holder) })
	}
	edge := &isolationEdge{proof: agent.NewFreshnessProof()}
	w.edges = append(w.edges, edge)
	for machine := 1; machine <= historyMachines; machine++ {
		edge.machines = append(edge.machines, machine)
		clients.Go(func() { w.followMember(ctx, edge, machine) })
	}
	return clients
}

// awaitRecovery ends all partitions. It fails the test unless a change is acknowledged after that, and the edge then
// receives a newer version with a freshness proof, each within a bound.
func (w *nodeHistoryCluster) awaitRecovery() {
	const within = 12 * time.Second
	w.heal()
	healedAt, version := w.elapsed(), w.newestAcked()
	w.waitUntil("a change to be acknowledged after the last fault", within, func() bool { return w.newestAcked() > version })
	edge := w.edges[0]
	w.waitUntil("the edge to hold a proven newer version after the last fault", within, func() bool {
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
		cluster.startFounders(historyMachines)
		ctx, stop := context.WithCancel(context.Background())
		clients := cluster.startClients(ctx)
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
		w := runNodeHistory(t, seed)
		if w == nil || t.Failed() {
			t.Fatalf("run with seed %d failed", seed)
		}
		result := w.history.Check(historyCheckTimeout)
		for _, violation := range result.Violations {
			t.Fatalf("seed %d: history is not linearizable: %s", seed, violation)
		}
		sum["operations checked"] += result.Operations
		for event, occurrences := range w.counts {
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
