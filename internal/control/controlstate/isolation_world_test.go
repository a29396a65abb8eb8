package controlstate

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/control/controlclient"
	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/data/agent"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/wire"
)

// isolationWorld runs an isolationScenario on a cluster of real nodes with operators, edges and two lease holders.
type isolationWorld struct {
	*testCluster
	t               *testing.T
	scenario        isolationScenario
	isolatedMachine int // number of the machine to isolate
	// isolatedPeer is a machine that is isolated together with the first one and can still reach it; 0: none.
	isolatedPeer int
	others       []int // numbers of the machines that are not isolated

	mu              sync.Mutex
	ackedVersion    uint64               // newest acknowledged version of the configuration
	ackedAt         map[uint64]time.Time // time of the first acknowledgement of each version of the configuration, by version
	edges           []*isolationEdge
	leases          [2]*controlclient.Lease // leases of the two holders: the first uses the isolated member, the second the others
	lastLeaseAt     [2]time.Duration        // time at which each holder last had the lease
	longestFailover time.Duration           // longest time until the other members acknowledged a change
	restarted       bool                    // whether the restarts of the scenario are complete
	startedAt       time.Time
}

// isolationEdge is a simulated edge machine that follows the configuration through long polls to some members.
type isolationEdge struct {
	machines []int // numbers of the machines that the edge machine can reach
	mu       sync.Mutex
	proof    *agent.FreshnessProof
	version  uint64
}

// elapsed returns the time since the start of the test.
func (w *isolationWorld) elapsed() time.Duration { return time.Since(w.startedAt) }

// newestAcked returns the newest acknowledged version of the configuration.
func (w *isolationWorld) newestAcked() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ackedVersion
}

// freshUntil returns the time up to which the edge's version is proven to be the newest acknowledged one.
func (e *isolationEdge) freshUntil() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.proof.FreshUntil(e.version)
}

// startIsolation partitions the machines to isolate from all others, in the direction of the scenario.
func (w *isolationWorld) startIsolation() {
	w.network.update(func(partitioned map[[2]string]bool) {
		for _, isolated := range []int{w.isolatedMachine, w.isolatedPeer} {
			for other := 1; other <= 9; other++ {
				if isolated == 0 || other == w.isolatedMachine || other == w.isolatedPeer {
					continue
				}
				if w.scenario.direction != isolatedIn {
					partitioned[[2]string{w.addr(isolated), w.addr(other)}] = true
				}
				if w.scenario.direction != isolatedOut {
					partitioned[[2]string{w.addr(other), w.addr(isolated)}] = true
				}
			}
		}
	})
}

// kill stops a machine's process without a graceful shutdown.
func (w *isolationWorld) kill(i int) {
	process := w.processes[w.addr(i)]
	w.testCluster.mu.Lock()
	delete(w.nodes, w.addr(i))
	w.testCluster.mu.Unlock()
	process.Stop(0)
}

// restartMachines kills and restarts the members that the scenario selects, one after the other.
func (w *isolationWorld) restartMachines() {
	var machines []int
	switch w.scenario.restarts {
	case restartIsolated:
		machines = []int{w.isolatedMachine}
	case restartOther:
		machines = w.others[:1]
	case restartAll:
		machines = append([]int{w.isolatedMachine}, w.others[:2]...)
	}
	if w.scenario.onlyIsolatedSeeds {
		w.seeds = []string{w.addr(w.isolatedMachine)}
	}
	for _, machine := range machines {
		w.kill(machine)
		w.start(machine, false)
	}
}

// followMember sends an edge's long polls to one member until the context ends. After each response it checks the
// edge's proof of freshness against all acknowledged versions.
func (w *isolationWorld) followMember(ctx context.Context, edge *isolationEdge, machine int) {
	for ctx.Err() == nil {
		node := w.node(machine)
		if node == nil {
			clock.Sleep(ctx, 50*time.Millisecond)
			continue
		}
		edge.mu.Lock()
		known, sentAt := edge.version, w.elapsed()
		edge.mu.Unlock()
		response, err := node.Follow(ctx, followRequest(pollTime, &wire.KnownVersion{Key: routingconfig.DocumentKey, Version: known}))
		if err != nil {
			clock.Sleep(ctx, 50*time.Millisecond)
			continue
		}
		edge.mu.Lock()
		received := known
		for _, document := range response.Documents {
			received = max(received, document.Version)
		}
		edge.version = max(edge.version, received)
		edge.proof.AddResponse(response, received, sentAt)
		freshUntil, version := edge.proof.FreshUntil(edge.version), edge.version
		edge.mu.Unlock()
		w.mu.Lock()
		for newer, ackedAt := range w.ackedAt {
			if newer > version && ackedAt.Sub(w.startedAt) < freshUntil {
				w.t.Errorf("at %v: edge node that follows machines %v holds a proof that version %d of the configuration is the newest up to %v, but version %d was acknowledged at %v", w.elapsed(), edge.machines, version, freshUntil, newer, ackedAt.Sub(w.startedAt))
			}
		}
		w.mu.Unlock()
	}
}

// renewLease requests the lease periodically for a holder until the context ends. Holder 0 sends its requests to the
// isolated member, holder 1 to the others.
func (w *isolationWorld) renewLease(ctx context.Context, holder int) {
	lease := w.leases[holder]
	machines := w.others
	if holder == 0 {
		machines = []int{w.isolatedMachine}
	}
	for ; ctx.Err() == nil; clock.Sleep(ctx, leaseTTL*2/5) {
		requestedAt := w.elapsed() + time.Hour
		request := grantRequest(lease.GrantRequest())
		requestCtx, cancel := context.WithTimeout(ctx, leaseTTL)
		var response *wire.ChangeResponse
		for _, machine := range machines {
			if node := w.node(machine); node != nil {
				response, _ = node.controlClient.Change(requestCtx, request)
				break
			}
		}
		cancel()
		lease.HandleResponse(requestedAt, response)
	}
}

// checkSingleHolder checks, until the context ends, that the two holders never have the lease at the same time.
func (w *isolationWorld) checkSingleHolder(ctx context.Context) {
	for ; ctx.Err() == nil; clock.Sleep(ctx, 20*time.Millisecond) {
		_, firstHolds := w.leases[0].FencingToken()
		_, secondHolds := w.leases[1].FencingToken()
		if firstHolds && secondHolds {
			w.t.Errorf("at %v: two holders have the lease at the same time", w.elapsed())
			return
		}
		w.mu.Lock()
		if firstHolds {
			w.lastLeaseAt[0] = w.elapsed()
		}
		if secondHolds {
			w.lastLeaseAt[1] = w.elapsed()
		}
		w.mu.Unlock()
	}
}

// recordAck records that a version of the configuration was acknowledged.
func (w *isolationWorld) recordAck(version uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ackedVersion = max(w.ackedVersion, version)
	if _, ok := w.ackedAt[version]; !ok {
		w.ackedAt[version] = time.Now()
	}
}

// putConfig sends a change of the configuration to a machine, and checks that it is answered in time and not rejected.
func (w *isolationWorld) putConfig(machine int, base uint64, config []byte) error {
	begun := time.Now()
	version, err := w.node(machine).PutRoutingConfig(context.Background(), base, config, false)
	if waited := time.Since(begun); waited > maxResponseTime {
		w.t.Errorf("at %v: machine %d took %v to respond to a change, want at most %v", w.elapsed(), machine, waited, maxResponseTime)
	}
	if err != nil && errs.KindOf(err).HTTPStatus != 503 {
		w.t.Errorf("at %v: machine %d rejected a change on base version %d, want success or status 503: %v", w.elapsed(), machine, base, err)
	}
	if err == nil {
		w.recordAck(version)
	}
	return err
}

// readConfig reads the configuration from a machine, and checks that the response comes in time and is not older than
// any version that was acknowledged before the read.
func (w *isolationWorld) readConfig(machine int) error {
	ackedBefore := w.newestAcked()
	begun := time.Now()
	_, version, err := w.node(machine).ReadRoutingConfig(context.Background())
	if waited := time.Since(begun); waited > maxResponseTime {
		w.t.Errorf("at %v: machine %d took %v to respond to a read, want at most %v", w.elapsed(), machine, waited, maxResponseTime)
	}
	if err == nil && version < ackedBefore {
		w.t.Errorf("at %v: stale read: machine %d returned version %d after version %d was acknowledged", w.elapsed(), machine, version, ackedBefore)
	}
	if err != nil && errs.KindOf(err).HTTPStatus != 503 {
		w.t.Errorf("at %v: read from machine %d failed, want success or status 503: %v", w.elapsed(), machine, err)
	}
	return err
}

// newIsolationWorld returns an isolationWorld in which no machine has been started.
func newIsolationWorld(t *testing.T, scenario isolationScenario) *isolationWorld {
	w := &isolationWorld{testCluster: newTestCluster(t), t: t, scenario: scenario, ackedAt: map[uint64]time.Time{}, startedAt: time.Now()}
	w.network = newSimNetwork()
	leaseClock := clock.Synctest()
	for holder := range w.leases {
		w.leases[holder] = controlclient.NewLease(nil, leaseClock, "site", 0, fmt.Sprintf("holder-%d", holder), leaseTTL)
	}
	return w
}

// term returns the highest term of all machines.
func (w *isolationWorld) term() (term uint64) {
	for i := range 5 {
		if node := w.node(i + 1); node != nil {
			replica := node.shards[0]
			term = max(term, query(context.Background(), replica, 0, func() uint64 { return replica.core.Status().Term }))
		}
	}
	return term
}

// chooseIsolatedMachine chooses the member to isolate, which is the leader or a follower, and in some scenarios a
// follower to isolate with it.
func (w *isolationWorld) chooseIsolatedMachine(machines int) {
	for machine := 1; machine <= machines; machine++ {
		switch isLeader := machine == w.leader(); {
		case w.isolatedMachine == 0 && isLeader == w.scenario.isolatesLeader:
			w.isolatedMachine = machine
		case w.scenario.isolatesPair && w.isolatedPeer == 0 && !isLeader:
			w.isolatedPeer = machine
		default:
			w.others = append(w.others, machine)
		}
	}
}
