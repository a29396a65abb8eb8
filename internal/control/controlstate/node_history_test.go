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

// Sizes of a run of nodeHistoryWorld.
const (
	historyMachines  = 4
	historyOperators = 3
	historyReaders   = 2
	historyRunTime   = 25 * time.Second // with faults
	shutdownGrace    = 4 * time.Second
	weightsModel     = "model"
)

// nodeHistoryWorld plays real nodes, with their goroutines, transports, clients and long polls, on virtual time, while
// machines fail. What operators and readers see is checked for linearizability; weights, a lease and the proofs of
// edges are checked as they come.
type nodeHistoryWorld struct {
	*isolationWorld
	history      history.History
	mu           sync.Mutex
	random       *rand.Rand
	counts       map[string]int
	knownVersion uint64            // the newest version that operators and readers have heard of
	ackedWeights uint64            // the newest version of weightsModel's weights that was acknowledged
	tokenHolders map[uint64]string // by fencing token
}

func newNodeHistoryWorld(t *testing.T, seed uint64) *nodeHistoryWorld {
	w := &nodeHistoryWorld{isolationWorld: newIsolationWorld(t, isolationScenario{}), random: rand.New(rand.NewPCG(seed, 11)),
		counts: map[string]int{}, tokenHolders: map[uint64]string{}}
	w.testCluster.seed = seed * 1000
	return w
}

func (w *nodeHistoryWorld) intN(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.IntN(n)
}

func (w *nodeHistoryWorld) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(w.intN(int(limit/time.Millisecond))+1) * time.Millisecond
}

func (w *nodeHistoryWorld) count(event string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counts[event]++
}

// newestKnown returns the newest version that operators and readers have heard of: what they build on.
func (w *nodeHistoryWorld) newestKnown() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.knownVersion
}

// learnVersion records a version that an answer has named.
func (w *nodeHistoryWorld) learnVersion(version uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.knownVersion = max(w.knownVersion, version)
}

// randomNode returns the node of a machine drawn at random; nil: it doesn't run.
func (w *nodeHistoryWorld) randomNode() *Node { return w.node(w.intN(historyMachines) + 1) }

// operate sends changes of the configuration until the context ends, each one to up to three nodes.
func (w *nodeHistoryWorld) operate(ctx context.Context, operator int) {
	for sent := 0; ctx.Err() == nil; sent++ {
		clock.Sleep(ctx, w.randomDuration(400*time.Millisecond))
		base := w.newestKnown()
		version := base + 1 + uint64(w.intN(3))
		content := body(version, fmt.Sprintf("operator %d, change %d", operator, sent))
		change := history.Change{Key: routingconfig.DocumentKey, Token: string(content), BaseVersion: base, NewVersion: version, Body: string(content)}
		for range 3 {
			if ctx.Err() != nil || w.sendChange(change) {
				break
			}
		}
	}
}

// sendChange sends a change to a node, and reports whether the answer was definite.
func (w *nodeHistoryWorld) sendChange(change history.Change) bool {
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
		w.t.Errorf("a change on version %d: %v", change.BaseVersion, err)
	}
	return true
}

// read reads the configuration at random nodes until the context ends.
func (w *nodeHistoryWorld) read(ctx context.Context) {
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

// nameWeights names one version of a model's weights after another, at any node, each until it is acknowledged.
func (w *nodeHistoryWorld) nameWeights(ctx context.Context) {
	for version := uint64(1); ctx.Err() == nil; clock.Sleep(ctx, w.randomDuration(800*time.Millisecond)) {
		node := w.randomNode()
		if node == nil || node.SetWeightsVersion(context.Background(), weightsModel, version) != nil {
			continue
		}
		w.mu.Lock()
		w.ackedWeights = version
		w.mu.Unlock()
		w.count("weights named")
		version++
	}
}

// readWeights checks that no read of the weights is older than what was acknowledged before it, or than a read before.
func (w *nodeHistoryWorld) readWeights(ctx context.Context) {
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
			w.t.Errorf("%v: weights %q: %v", w.elapsed(), document.GetBody(), err)
		}
		if version := weights.Versions[weightsModel]; version < newest {
			w.t.Errorf("%v: a read returns version %d of the weights after %d", w.elapsed(), version, newest)
		} else {
			newest = version
		}
		w.count("weights read")
	}
}

// renewLeaseAnywhere has a holder request the lease at random nodes again and again, and at times rest. A fencing token belongs
// to one holder.
func (w *nodeHistoryWorld) renewLeaseAnywhere(ctx context.Context, holder int) {
	lease := w.leases[holder]
	for ; ctx.Err() == nil; clock.Sleep(ctx, leaseTTL*2/5) {
		if w.intN(20) == 0 {
			clock.Sleep(ctx, 2*leaseTTL)
		}
		node := w.randomNode()
		if node == nil {
			continue
		}
		requestedAt := w.elapsed() + time.Hour // the lease's clock is that of clock.Synctest
		attempt, end := context.WithTimeout(ctx, leaseTTL)
		response, _ := node.controlClient.Change(attempt, grantRequest(lease.GrantRequest()))
		end()
		lease.HandleResponse(requestedAt, response)
		if token, ok := lease.FencingToken(); ok {
			w.recordToken(token, lease.Holder)
		}
	}
}

func (w *nodeHistoryWorld) recordToken(token uint64, holder string) {
	w.count("lease held")
	w.mu.Lock()
	defer w.mu.Unlock()
	if other := w.tokenHolders[token]; other != "" && other != holder {
		w.t.Errorf("%v: token %d was granted to %s and to %s", w.elapsed(), token, other, holder)
	}
	w.tokenHolders[token] = holder
}

// nodeFault is a failure of machines in a nodeHistoryWorld. It returns once it has ended, except for partitions,
// which last until heal.
type nodeFault struct {
	name   string
	inject func(*nodeHistoryWorld, int)
}

var nodeFaults = []nodeFault{
	{"kill", func(w *nodeHistoryWorld, machine int) { w.restart([]int{machine}, w.kill) }},
	{"kill the leader", func(w *nodeHistoryWorld, machine int) { w.restart([]int{max(1, w.leader())}, w.kill) }},
	{"all killed", func(w *nodeHistoryWorld, _ int) { w.restart([]int{1, 2, 3, 4}, w.kill) }},
	{"SIGTERM", func(w *nodeHistoryWorld, machine int) {
		w.restart([]int{machine}, func(i int) { w.stopWithin(i, shutdownGrace) })
	}},
	{"isolated", func(w *nodeHistoryWorld, machine int) { w.partition(machine) }},
	{"leader isolated", func(w *nodeHistoryWorld, _ int) { w.partition(max(1, w.leader())) }},
	{"in halves", func(w *nodeHistoryWorld, machine int) { w.partition(machine, machine%historyMachines+1) }},
	{"partitions end", func(w *nodeHistoryWorld, _ int) { w.heal() }},
	{"full disk", func(w *nodeHistoryWorld, machine int) { w.fillDisk(machine) }},
	{"stalled disk", func(w *nodeHistoryWorld, machine int) { w.stallDisk(machine) }},
}

// restart ends the processes of machines and starts them again after a while.
func (w *nodeHistoryWorld) restart(machines []int, end func(int)) {
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

// partition cuts the links between some machines and all others, in one direction or both.
func (w *nodeHistoryWorld) partition(machines ...int) {
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

func (w *nodeHistoryWorld) heal() {
	w.network.update(func(partitioned map[[2]string]bool) { clear(partitioned) })
}

func (w *nodeHistoryWorld) fillDisk(machine int) {
	disk := w.disks[w.addr(machine)]
	disk.update(func(disk *stallingDisk) { disk.disk.failWrites = true })
	time.Sleep(w.randomDuration(3 * time.Second))
	disk.update(func(disk *stallingDisk) { disk.disk.failWrites = false })
}

func (w *nodeHistoryWorld) stallDisk(machine int) {
	disk, release := w.disks[w.addr(machine)], make(chan struct{})
	disk.update(func(disk *stallingDisk) { disk.stalled = release })
	time.Sleep(w.randomDuration(3 * time.Second))
	disk.update(func(disk *stallingDisk) { disk.stalled = nil })
	close(release)
}

// begin starts operators, readers, edges and lease holders. They end with the context; the group counts them.
func (w *nodeHistoryWorld) begin(ctx context.Context) *sync.WaitGroup {
	clients := &sync.WaitGroup{}
	for operator := range historyOperators {
		clients.Go(func() { w.operate(ctx, operator) })
	}
	for range historyReaders {
		clients.Go(func() { w.read(ctx) })
	}
	clients.Go(func() { w.nameWeights(ctx) })
	clients.Go(func() { w.readWeights(ctx) })
	clients.Go(func() { w.checkSingleHolder(ctx) })
	for holder := range w.leases {
		clients.Go(func() { w.renewLeaseAnywhere(ctx, holder) })
	}
	edge := &isolationEdge{proof: agent.NewFreshnessProof()}
	w.edges = append(w.edges, edge)
	for machine := 1; machine <= historyMachines; machine++ {
		edge.machines = append(edge.machines, machine)
		clients.Go(func() { w.followMember(ctx, edge, machine) })
	}
	return clients
}

// awaitRecovery ends all faults; then a change must be acknowledged, and the edge must follow, within the bound.
func (w *nodeHistoryWorld) awaitRecovery() {
	const within = 12 * time.Second
	w.heal()
	healedAt, version := w.elapsed(), w.newestAcked()
	w.waitUntil("a change after the last fault", within, func() bool { return w.newestAcked() > version })
	edge := w.edges[0]
	w.waitUntil("the edge's proof after the last fault", within, func() bool {
		edge.mu.Lock()
		isNewest := edge.version > version
		edge.mu.Unlock()
		return isNewest && edge.freshUntil() > healedAt
	})
}

// playNodeHistory runs real nodes with faults, and returns the world for the check of its history outside of the bubble, whose
// time doesn't pass while the checker runs.
func playNodeHistory(t *testing.T, seed uint64) (world *nodeHistoryWorld) {
	synctest.Test(t, func(t *testing.T) {
		world = newNodeHistoryWorld(t, seed)
		defer world.stopAll()
		world.startFounders(historyMachines)
		ctx, stop := context.WithCancel(context.Background())
		clients := world.begin(ctx)
		defer clients.Wait()
		defer stop()
		for world.elapsed() < historyRunTime {
			fault := nodeFaults[world.intN(len(nodeFaults))]
			world.count(fault.name)
			fault.inject(world, world.intN(historyMachines)+1)
			time.Sleep(world.randomDuration(1500 * time.Millisecond))
		}
		world.awaitRecovery()
	})
	return world
}

// Real nodes, with all their goroutines, while machines are killed, shut down, isolated and cut into halves, and disks
// fill up and stall: what operators and readers see is linearizable, no version of the weights is read older than it
// was, one holder has the lease, each fencing token has one holder, no edge's proof is wrong, and after the last fault
// changes are acknowledged and the edge follows. `HISTORY_SEEDS=200` runs wide, `HISTORY_SEED=7` begins there.
func TestHistoriesOfRealNodes(t *testing.T) {
	from, count := uintFromEnv(t, "HISTORY_SEED", 0), uintFromEnv(t, "HISTORY_SEEDS", historySeeds)
	sum := map[string]int{}
	for seed := from; seed < from+count; seed++ {
		w := playNodeHistory(t, seed)
		if w == nil || t.Failed() {
			t.Fatalf("seed %d", seed)
		}
		result := w.history.Check(historyCheckTimeout)
		for _, violation := range result.Violations {
			t.Fatalf("seed %d: %s", seed, violation)
		}
		sum["operations checked"] += result.Operations
		for event, occurrences := range w.counts {
			sum[event] += occurrences
		}
	}
	t.Logf("%d seeds: %v", count, sum)
	for _, event := range []string{"acknowledged", "rejected", "unknown", "read", "weights named", "weights read", "lease held"} {
		if sum[event] < 3*int(count) {
			t.Errorf("%s happened only %d times", event, sum[event])
		}
	}
}
