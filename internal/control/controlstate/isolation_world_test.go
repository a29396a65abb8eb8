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

// partitionWorld is one row being played: real nodes, operators, an edge and two lease holders.
type partitionWorld struct {
	*testCluster
	t        *testing.T
	scenario partitionScenario
	victim   int
	// companion is cut off together with the victim, and still reaches it; 0: there is none.
	companion int
	others    []int

	mu           sync.Mutex
	ackedVersion uint64        // the newest acknowledged
	ackedAt      map[uint64]at // when each version was acknowledged
	edges        []*partitionEdge
	leases       [2]*controlclient.Lease // one at the cut-off member, one at the others
	lastHeld     [2]time.Duration        // when each was seen to hold the lease last
	longestWait  time.Duration           // that an order waited for the other side
	// restarted tells whether the row's restarts are over.
	restarted bool
	startedAt time.Time
}

type at = time.Time

// partitionEdge follows some members by long polls, as an edge's agent does.
type partitionEdge struct {
	machines []int // the machines that it reaches
	mu       sync.Mutex
	proof    *agent.FreshnessProof
	version  uint64
}

func (w *partitionWorld) elapsed() time.Duration { return time.Since(w.startedAt) }

// isolateVictim begins the cut between the victim, with its companion if it has one, and all others.
func (w *partitionWorld) isolateVictim() {
	w.network.update(func(partitioned map[[2]string]bool) {
		for _, i := range []int{w.victim, w.companion} {
			for j := range 9 {
				if i == 0 || j+1 == w.victim || j+1 == w.companion {
					continue
				}
				if w.scenario.direction != "in" {
					partitioned[[2]string{w.addr(i), w.addr(j + 1)}] = true
				}
				if w.scenario.direction != "out" {
					partitioned[[2]string{w.addr(j + 1), w.addr(i)}] = true
				}
			}
		}
	})
}

func (w *partitionWorld) kill(i int) {
	process := w.processes[w.addr(i)]
	w.testCluster.mu.Lock()
	delete(w.nodes, w.addr(i))
	w.testCluster.mu.Unlock()
	process.Stop(0)
}

// restartMachines restarts what the row says; those of the majority's side one after the other.
func (w *partitionWorld) restartMachines() {
	var l []int
	switch w.scenario.restarted {
	case "itself":
		l = []int{w.victim}
	case "another":
		l = w.others[:1]
	case "all":
		l = append([]int{w.victim}, w.others[:2]...)
	}
	if w.scenario.onlyIsolatedSeeds {
		w.seeds = []string{w.addr(w.victim)}
	}
	for _, i := range l {
		w.kill(i)
		w.start(i, false)
	}
}

// followMember has an edge follow one member until the end.
func (w *partitionWorld) followMember(ctx context.Context, edge *partitionEdge, i int) {
	for ctx.Err() == nil {
		node := w.node(i)
		if node == nil {
			clock.Sleep(ctx, 50*time.Millisecond)
			continue
		}
		edge.mu.Lock()
		have, asked := edge.version, w.elapsed()
		edge.mu.Unlock()
		response, err := node.Follow(ctx, &wire.FollowRequest{Known: []*wire.KnownVersion{{Key: routingconfig.DocumentKey, Version: have}}, MaxWaitNs: uint64(300 * time.Millisecond), ProofKey: routingconfig.DocumentKey})
		if err != nil {
			clock.Sleep(ctx, 50*time.Millisecond)
			continue
		}
		edge.mu.Lock()
		heard := have
		for _, document := range response.Documents {
			heard = max(heard, document.Version)
		}
		edge.version = max(edge.version, heard)
		edge.proof.AddResponse(response, heard, asked)
		proven := edge.proof.FreshUntil(edge.version)
		version := edge.version
		edge.mu.Unlock()
		w.mu.Lock()
		for v, when := range w.ackedAt {
			if v > version && when.Sub(w.startedAt) < proven {
				w.t.Errorf("%v: an edge of %v has the proof for version %d up to %v, yet %d was acknowledged at %v", w.elapsed(), edge.machines, version, proven, v, when.Sub(w.startedAt))
			}
		}
		w.mu.Unlock()
	}
}

// renewLease has a holder ask for the lease again and again, at the cut-off member or at the others.
func (w *partitionWorld) renewLease(ctx context.Context, k int) {
	l := w.leases[k]
	for ; ctx.Err() == nil; clock.Sleep(ctx, leaseTTL*2/5) {
		asked := w.elapsed() + time.Hour
		ask := &wire.ChangeRequest{Command: &wire.Command{Kind: &wire.Command_Grant{Grant: l.GrantRequest()}}}
		one, end := context.WithTimeout(ctx, leaseTTL)
		var response *wire.ChangeResponse
		near := w.others
		if k == 0 {
			near = []int{w.victim}
		}
		for _, i := range near {
			if node := w.node(i); node != nil {
				response, _ = node.controlClient.Change(one, ask)
				break
			}
		}
		end()
		l.HandleResponse(asked, response)
	}
}

// checkSingleHolder sees to it that nobody holds the lease beside another.
func (w *partitionWorld) checkSingleHolder(ctx context.Context) {
	for ; ctx.Err() == nil; clock.Sleep(ctx, 20*time.Millisecond) {
		_, a := w.leases[0].FencingToken()
		_, b := w.leases[1].FencingToken()
		if a && b {
			w.t.Errorf("%v: two hold the lease at once", w.elapsed())
			return
		}
		w.mu.Lock()
		if a {
			w.lastHeld[0] = w.elapsed()
		}
		if b {
			w.lastHeld[1] = w.elapsed()
		}
		w.mu.Unlock()
	}
}

// recordAck notes an acknowledgement.
func (w *partitionWorld) recordAck(version uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ackedVersion = max(w.ackedVersion, version)
	if _, ok := w.ackedAt[version]; !ok {
		w.ackedAt[version] = time.Now()
	}
}

// putPlan sends one order to a machine, and says what came of it; it is never refused, nor held long.
func (w *partitionWorld) putPlan(i int, base uint64, b []byte) error {
	begun := time.Now()
	version, err := w.node(i).PutRoutingConfig(context.Background(), base, b, false)
	if d := time.Since(begun); d > answerWithin {
		w.t.Errorf("%v: machine %d answers an order after %v", w.elapsed(), i, d)
	}
	if err != nil && errs.KindOf(err).HTTPStatus != 503 {
		w.t.Errorf("%v: machine %d refuses an order on version %d: %v", w.elapsed(), i, base, err)
	}
	if err == nil {
		w.recordAck(version)
	}
	return err
}

// readPlan reads the plan at a machine, never older than what was acknowledged before.
func (w *partitionWorld) readPlan(i int) error {
	w.mu.Lock()
	least := w.ackedVersion
	w.mu.Unlock()
	begun := time.Now()
	_, version, err := w.node(i).ReadRoutingConfig(context.Background())
	if d := time.Since(begun); d > answerWithin {
		w.t.Errorf("%v: machine %d answers a read after %v", w.elapsed(), i, d)
	}
	if err == nil && version < least {
		w.t.Errorf("%v: machine %d serves version %d after %d was acknowledged", w.elapsed(), i, version, least)
	}
	if err != nil && errs.KindOf(err).HTTPStatus != 503 {
		w.t.Errorf("%v: a read at machine %d: %v", w.elapsed(), i, err)
	}
	return err
}

func newPartitionWorld(t *testing.T, scenario partitionScenario) *partitionWorld {
	w := &partitionWorld{testCluster: newTestCluster(t), t: t, scenario: scenario, ackedAt: map[uint64]at{}, startedAt: time.Now()}
	w.network = newSimNetwork()
	clk := clock.Synctest()
	for k := range w.leases {
		w.leases[k] = controlclient.NewLease(nil, clk, "site", 0, fmt.Sprintf("holder-%d", k), leaseTTL)
	}
	return w
}

// term is the highest term that a machine is in.
func (w *partitionWorld) term() (term uint64) {
	for i := range 5 {
		if node := w.node(i + 1); node != nil {
			replica := node.shards[0]
			term = max(term, query(context.Background(), replica, 0, func() uint64 { return replica.core.Status().Term }))
		}
	}
	return term
}

// chooseVictim picks the member to cut off, the leader or a follower, and its companion.
func (w *partitionWorld) chooseVictim(machines int) {
	for i := range machines {
		switch isLeader := i+1 == w.leader(); {
		case w.victim == 0 && isLeader == w.scenario.isolatesLeader:
			w.victim = i + 1
		case w.scenario.isolatesPair && w.companion == 0 && !isLeader:
			w.companion = i + 1
		default:
			w.others = append(w.others, i+1)
		}
	}
}
