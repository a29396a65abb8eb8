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

// isolationWorld plays a scenario with real nodes, operators, edges and two lease holders.
type isolationWorld struct {
	*testCluster
	t        *testing.T
	scenario isolationScenario
	victim   int
	// companion is isolated together with the victim, and still reaches it; 0: there is none.
	companion int
	others    []int

	mu           sync.Mutex
	ackedVersion uint64               // the newest acknowledged
	ackedAt      map[uint64]time.Time // when each version was acknowledged first
	edges        []*isolationEdge
	leases       [2]*controlclient.Lease // one at the isolated member, one at the others
	lastLeaseAt  [2]time.Duration        // when each held the lease last
	longestWait  time.Duration           // until the other members acknowledged a change
	restarted    bool                    // the restarts of the scenario are over
	startedAt    time.Time
}

// isolationEdge follows some members by long polls, as an edge's agent does.
type isolationEdge struct {
	machines []int // the machines that it reaches
	mu       sync.Mutex
	proof    *agent.FreshnessProof
	version  uint64
}

func (w *isolationWorld) elapsed() time.Duration { return time.Since(w.startedAt) }

// newestAcked is the newest version that was acknowledged.
func (w *isolationWorld) newestAcked() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ackedVersion
}

// freshUntil is up to when the edge's version is proven to be the newest.
func (e *isolationEdge) freshUntil() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.proof.FreshUntil(e.version)
}

// isolateVictim partitions the victim, with its companion if it has one, from all others.
func (w *isolationWorld) isolateVictim() {
	w.network.update(func(partitioned map[[2]string]bool) {
		for _, isolated := range []int{w.victim, w.companion} {
			for other := 1; other <= 9; other++ {
				if isolated == 0 || other == w.victim || other == w.companion {
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

// kill ends a machine's process without a shutdown.
func (w *isolationWorld) kill(i int) {
	process := w.processes[w.addr(i)]
	w.testCluster.mu.Lock()
	delete(w.nodes, w.addr(i))
	w.testCluster.mu.Unlock()
	process.Stop(0)
}

// restartMachines restarts the members of the scenario, one after the other.
func (w *isolationWorld) restartMachines() {
	var machines []int
	switch w.scenario.restarts {
	case restartIsolated:
		machines = []int{w.victim}
	case restartOther:
		machines = w.others[:1]
	case restartAll:
		machines = append([]int{w.victim}, w.others[:2]...)
	}
	if w.scenario.onlyIsolatedSeeds {
		w.seeds = []string{w.addr(w.victim)}
	}
	for _, machine := range machines {
		w.kill(machine)
		w.start(machine, false)
	}
}

// followMember has an edge follow one member until the context ends, and checks the edge's proof.
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
				w.t.Errorf("%v: an edge of %v has the proof for version %d up to %v, yet %d was acknowledged at %v", w.elapsed(), edge.machines, version, freshUntil, newer, ackedAt.Sub(w.startedAt))
			}
		}
		w.mu.Unlock()
	}
}

// renewLease has a holder request the lease again and again, at the isolated member (0) or at the others
// (1).
func (w *isolationWorld) renewLease(ctx context.Context, holder int) {
	lease := w.leases[holder]
	machines := w.others
	if holder == 0 {
		machines = []int{w.victim}
	}
	for ; ctx.Err() == nil; clock.Sleep(ctx, leaseTTL*2/5) {
		requestedAt := w.elapsed() + time.Hour
		request := grantRequest(lease.GrantRequest())
		attempt, end := context.WithTimeout(ctx, leaseTTL)
		var response *wire.ChangeResponse
		for _, machine := range machines {
			if node := w.node(machine); node != nil {
				response, _ = node.controlClient.Change(attempt, request)
				break
			}
		}
		end()
		lease.HandleResponse(requestedAt, response)
	}
}

// checkSingleHolder checks until the context ends that the two don't hold the lease at once.
func (w *isolationWorld) checkSingleHolder(ctx context.Context) {
	for ; ctx.Err() == nil; clock.Sleep(ctx, 20*time.Millisecond) {
		_, firstHolds := w.leases[0].FencingToken()
		_, secondHolds := w.leases[1].FencingToken()
		if firstHolds && secondHolds {
			w.t.Errorf("%v: two hold the lease at once", w.elapsed())
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

// recordAck records an acknowledgement.
func (w *isolationWorld) recordAck(version uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ackedVersion = max(w.ackedVersion, version)
	if _, ok := w.ackedAt[version]; !ok {
		w.ackedAt[version] = time.Now()
	}
}

// putPlan sends a change to a machine; it must be answered in time and not be rejected.
func (w *isolationWorld) putPlan(machine int, base uint64, plan []byte) error {
	begun := time.Now()
	version, err := w.node(machine).PutRoutingConfig(context.Background(), base, plan, false)
	if waited := time.Since(begun); waited > answerWithin {
		w.t.Errorf("%v: machine %d answers a change after %v", w.elapsed(), machine, waited)
	}
	if err != nil && errs.KindOf(err).HTTPStatus != 503 {
		w.t.Errorf("%v: machine %d rejects a change on version %d: %v", w.elapsed(), machine, base, err)
	}
	if err == nil {
		w.recordAck(version)
	}
	return err
}

// readPlan reads the configuration at a machine; it must be answered in time, and with nothing older than
// what was acknowledged before.
func (w *isolationWorld) readPlan(machine int) error {
	ackedBefore := w.newestAcked()
	begun := time.Now()
	_, version, err := w.node(machine).ReadRoutingConfig(context.Background())
	if waited := time.Since(begun); waited > answerWithin {
		w.t.Errorf("%v: machine %d answers a read after %v", w.elapsed(), machine, waited)
	}
	if err == nil && version < ackedBefore {
		w.t.Errorf("%v: machine %d serves version %d after %d was acknowledged", w.elapsed(), machine, version, ackedBefore)
	}
	if err != nil && errs.KindOf(err).HTTPStatus != 503 {
		w.t.Errorf("%v: a read at machine %d: %v", w.elapsed(), machine, err)
	}
	return err
}

// newIsolationWorld is a world without machines.
func newIsolationWorld(t *testing.T, scenario isolationScenario) *isolationWorld {
	w := &isolationWorld{testCluster: newTestCluster(t), t: t, scenario: scenario, ackedAt: map[uint64]time.Time{}, startedAt: time.Now()}
	w.network = newSimNetwork()
	leaseClock := clock.Synctest()
	for holder := range w.leases {
		w.leases[holder] = controlclient.NewLease(nil, leaseClock, "site", 0, fmt.Sprintf("holder-%d", holder), leaseTTL)
	}
	return w
}

// term is the highest term that a machine is in.
func (w *isolationWorld) term() (term uint64) {
	for i := range 5 {
		if node := w.node(i + 1); node != nil {
			replica := node.shards[0]
			term = max(term, query(context.Background(), replica, 0, func() uint64 { return replica.core.Status().Term }))
		}
	}
	return term
}

// chooseVictim chooses the member to isolate, the leader or a follower, and its companion.
func (w *isolationWorld) chooseVictim(machines int) {
	for machine := 1; machine <= machines; machine++ {
		switch isLeader := machine == w.leader(); {
		case w.victim == 0 && isLeader == w.scenario.isolatesLeader:
			w.victim = machine
		case w.scenario.isolatesPair && w.companion == 0 && !isLeader:
			w.companion = machine
		default:
			w.others = append(w.others, machine)
		}
	}
}
