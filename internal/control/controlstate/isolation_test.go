package controlstate

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/data/agent"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/wire"
)

// Durations and upper bounds for the isolation of a member. The bounds follow from the default recovery time bound (12 s)
// and the default time-out of acknowledgements (4 s).
const (
	isolationTime   = 20 * time.Second
	maxResponseTime = 950 * time.Millisecond  // maximum time to respond to an operator, whose client tries another node after about 1 s
	maxServeTime    = 1600 * time.Millisecond // maximum time to respond to any request: serveTimeoutRatio of the recovery time bound, plus a tick
	maxFailFastTime = 450 * time.Millisecond  // maximum time to fail a request after long isolation: the control client shortens its time-out for unresponsive nodes
	maxStepDownTime = 2300 * time.Millisecond // maximum time until a leader without a quorum steps down: two election time-outs, plus some ticks
	maxFailoverTime = 6 * time.Second         // maximum time until the members that are not isolated accept changes: step-down of a leader, election and restart
	maxRecoveryTime = 8 * time.Second         // maximum time from the end of the isolation until the isolated member serves again
	leaseTTL        = 1200 * time.Millisecond
)

// isolationDirection is the direction in which a member's messages are blocked.
type isolationDirection string

// Directions in which a member can be isolated.
const (
	isolatedBoth isolationDirection = "in both directions"
	isolatedOut  isolationDirection = "outbound" // the isolated member cannot send
	isolatedIn   isolationDirection = "inbound"  // the isolated member cannot receive
)

// restartSet selects the members that restart during the isolation.
type restartSet string

// Sets of members that restart while a member is isolated.
const (
	restartNone     restartSet = "no member"
	restartIsolated restartSet = "the isolated member"
	restartOther    restartSet = "another member"
	restartAll      restartSet = "all members"
)

// isolationScenario is one combination of which members are isolated, in which direction, and which members restart
// meanwhile.
type isolationScenario struct {
	isolatesLeader    bool // the leader is isolated instead of a follower
	direction         isolationDirection
	restarts          restartSet
	onlyIsolatedSeeds bool // members restart with the isolated member as their only seed
	withSpare         bool // whether a fourth machine runs as a spare
	isolatesPair      bool // two of five members are isolated together, and can reach each other
}

func (s isolationScenario) String() string {
	role := "follower"
	if s.isolatesLeader {
		role = "leader"
	}
	text := fmt.Sprintf("%s isolated %s, %s restarted", role, s.direction, s.restarts)
	if s.onlyIsolatedSeeds {
		text += ", isolated member as only seed"
	}
	if s.withSpare {
		text += ", with a spare"
	}
	if s.isolatesPair {
		text += ", two of five members isolated"
	}
	return text
}

// isolationScenarios returns all combinations of isolated members, directions and restarts to test.
func isolationScenarios() (scenarios []isolationScenario) {
	for _, isolatesLeader := range []bool{true, false} {
		for _, direction := range []isolationDirection{isolatedBoth, isolatedOut, isolatedIn} {
			basic := isolationScenario{isolatesLeader: isolatesLeader, direction: direction}
			for _, restarts := range []restartSet{restartNone, restartIsolated, restartAll} {
				scenario := basic
				scenario.restarts, scenario.isolatesPair = restarts, true
				scenarios = append(scenarios, scenario)
			}
			for _, withSpare := range []bool{false, true} {
				scenario := basic
				scenario.restarts, scenario.withSpare = restartNone, withSpare
				scenarios = append(scenarios, scenario)
				for _, restarts := range []restartSet{restartIsolated, restartOther, restartAll} {
					scenario.restarts, scenario.onlyIsolatedSeeds = restarts, false
					scenarios = append(scenarios, scenario)
					scenario.onlyIsolatedSeeds = true
					scenarios = append(scenarios, scenario)
				}
			}
		}
	}
	return scenarios
}

// checkIsolatedMachine sends one request of each kind to the isolated member. The member must neither execute nor
// reject any of them, and must respond in time; after a long isolation it must fail fast.
func (w *isolationWorld) checkIsolatedMachine(base uint64, config []byte, attempt int, isLong bool) {
	begun := time.Now()
	if err := w.putConfig(w.isolatedMachine, base, config); err == nil {
		w.t.Errorf("at %v: isolated member acknowledged version %d without a quorum", w.elapsed(), base+1)
	}
	if waited := time.Since(begun); isLong && waited > maxFailFastTime {
		w.t.Errorf("at %v: isolated member took %v to respond to a change after a long isolation, want at most %v", w.elapsed(), waited, maxFailFastTime)
	}
	if base > 1 { // the leader would reject this change, but the isolated member cannot know that
		if err := w.putConfig(w.isolatedMachine, base-1, body(base+1, "on a stale base version")); err == nil {
			w.t.Errorf("at %v: isolated member acknowledged a change on stale base version %d", w.elapsed(), base-1)
		}
	}
	if err := w.readConfig(w.isolatedMachine); err == nil {
		w.t.Errorf("at %v: isolated member served a read without a quorum", w.elapsed())
	}
	w.checkNoWeightsChange(attempt)
	w.checkNoLeaseGrant()
}

// checkNoWeightsChange checks that the isolated member does not set a new weights version, but acknowledges a
// request to set the version that was already set before the isolation.
func (w *isolationWorld) checkNoWeightsChange(attempt int) {
	ctx, begun := context.Background(), time.Now()
	err := w.node(w.isolatedMachine).SetWeightsVersion(ctx, "m", uint64(100+attempt))
	if waited := time.Since(begun); err == nil || errs.KindOf(err).HTTPStatus != 503 || waited > maxResponseTime {
		w.t.Errorf("at %v: isolated member responded to a weights change after %v with error %v, want status 503 within %v", w.elapsed(), waited, err, maxResponseTime)
	}
	switch err := w.node(w.isolatedMachine).SetWeightsVersion(ctx, "m", 1); {
	case err == nil:
	case w.restarted && errs.KindOf(err).HTTPStatus == 503: // after its restart the member cannot know which entries were committed
	default:
		w.t.Errorf("at %v: isolated member did not acknowledge the weights version that was set before the isolation: %v", w.elapsed(), err)
	}
}

// checkNoLeaseGrant checks that the isolated member neither grants nor rejects a lease request, and responds in time.
func (w *isolationWorld) checkNoLeaseGrant() {
	begun := time.Now()
	grant := &wire.Grant{Lease: "other", Holder: "x", TtlNs: uint64(leaseTTL)}
	response, _ := w.node(w.isolatedMachine).Change(context.Background(), grantRequest(grant))
	if waited := time.Since(begun); response.Outcome == wire.OutcomeDone || response.Outcome == wire.OutcomeConflict || waited > maxServeTime {
		w.t.Errorf("at %v: isolated member responded to a lease request after %v with %v, want neither a grant nor a conflict, within %v", w.elapsed(), waited, response, maxServeTime)
	}
}

// run runs the scenario and checks the invariants during and after the isolation.
func (w *isolationWorld) run() {
	machines := w.startMachines()
	defer w.stopAll()
	w.putInitialChanges()
	ctx, stop := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	defer func() { stop(); clients.Wait() }()
	w.startClients(ctx, &clients)
	clock.Sleep(ctx, time.Second)
	w.startIsolation()
	begun, term := w.elapsed(), w.term()
	w.checkDuringIsolation(begun)
	w.checkLeaseTransfer(begun)
	w.checkFreshnessProofs(begun)
	w.network.heal()
	w.checkAfterIsolation(machines)
	if now := w.term(); !w.scenario.isolatesLeader && w.scenario.restarts == restartNone && now != term {
		w.t.Errorf("isolated follower deposed the leader: term rose from %d to %d", term, now)
	}
}

// startMachines starts the machines and chooses the members to isolate. It returns the number of machines.
func (w *isolationWorld) startMachines() (machines int) {
	machines, members := 3, 3
	if w.scenario.withSpare {
		machines = 4
	}
	if w.scenario.isolatesPair {
		machines, members, w.toleratedLosses = 5, 5, 2
	}
	for i := range machines {
		w.start(i+1, true)
	}
	w.waitUntil("group is complete", 10*time.Second, func() bool { return len(w.members()) == members })
	w.chooseIsolatedMachine(machines)
	return machines
}

// putInitialChanges makes some changes through the member that will be isolated.
func (w *isolationWorld) putInitialChanges() {
	for i := range uint64(2) {
		if err := w.putConfig(w.isolatedMachine, i, body(i+1, "before")); err != nil {
			w.t.Fatalf("change of the configuration before the isolation: %v", err)
		}
	}
	if err := w.node(w.isolatedMachine).SetWeightsVersion(context.Background(), "m", 1); err != nil {
		w.t.Fatalf("change of the weights version before the isolation: %v", err)
	}
}

// startClients starts two lease holders, the first of which acquires the lease, and three edges. The first edge
// reaches only the isolated member, the second reaches all members, and the third reaches all but the isolated one.
func (w *isolationWorld) startClients(ctx context.Context, clients *sync.WaitGroup) {
	clients.Go(func() { w.renewLease(ctx, 0) })
	w.waitUntil("first holder has the lease", 3*time.Second, func() bool { _, ok := w.leases[0].FencingToken(); return ok })
	clients.Go(func() { w.renewLease(ctx, 1) })
	clients.Go(func() { w.checkSingleHolder(ctx) })
	w.edges = []*isolationEdge{{machines: []int{w.isolatedMachine}}, {machines: append([]int{w.isolatedMachine}, w.others...)}, {machines: w.others}}
	for _, edge := range w.edges {
		edge.proof = agent.NewFreshnessProof()
		for _, machine := range edge.machines {
			clients.Go(func() { w.followMember(ctx, edge, machine) })
		}
	}
}

// putAtOthers sends a change to members that are not isolated until one of them acknowledges it.
func (w *isolationWorld) putAtOthers(base uint64, config []byte) {
	begun, acked := w.elapsed(), false
	for attempt := 0; !acked && w.elapsed()-begun < maxFailoverTime; attempt++ {
		if acked = w.putConfig(w.others[attempt%2], base, config) == nil; !acked {
			clock.Sleep(context.Background(), 100*time.Millisecond)
		}
	}
	w.longestFailover = max(w.longestFailover, w.elapsed()-begun)
	if !acked {
		w.t.Errorf("at %v: members that are not isolated acknowledged no change within %v (members restarted: %v)", w.elapsed(), maxFailoverTime, w.restarted)
	}
}

// checkDuringIsolation sends each change first to the isolated member and then, unmodified, to the others. In the
// first iteration, and in the one in which members restart, it sends the change to both concurrently.
func (w *isolationWorld) checkDuringIsolation(begun time.Duration) {
	for iteration := 0; w.elapsed()-begun < isolationTime; iteration++ {
		isConcurrent := iteration == 0
		if !w.restarted && w.scenario.restarts != restartNone && w.elapsed()-begun > 3*time.Second {
			w.restartMachines()
			w.restarted, isConcurrent = true, true
		}
		base := w.newestAcked()
		config := body(base+1, fmt.Sprintf("iteration %d", iteration))
		var others sync.WaitGroup
		if isConcurrent {
			others.Go(func() { w.putAtOthers(base, config) })
		}
		w.checkIsolatedMachine(base, config, iteration, w.elapsed()-begun > isolationTime*3/4)
		if others.Wait(); !isConcurrent {
			w.putAtOthers(base, config)
		}
		for _, machine := range w.others[:2] {
			_ = w.readConfig(machine) // the call also checks that the version it reads is not stale
		}
		if view := w.node(w.isolatedMachine).shards[0].published.current(); view.isLeader && w.elapsed()-begun > maxStepDownTime {
			w.t.Errorf("at %v: isolated member is still the leader %v after the start of the isolation, want a step-down within %v", w.elapsed(), w.elapsed()-begun, maxStepDownTime)
		}
		clock.Sleep(context.Background(), 300*time.Millisecond)
	}
}

// checkLeaseTransfer checks that the lease has passed from the holder that uses the isolated member to the other holder.
func (w *isolationWorld) checkLeaseTransfer(begun time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lastLeaseAt[0] > begun+leaseTTL {
		w.t.Errorf("holder that uses the isolated member had the lease until %v, want at most %v after the start of the isolation at %v", w.lastLeaseAt[0], leaseTTL, begun)
	}
	if w.lastLeaseAt[1] < w.elapsed()-2*time.Second {
		w.t.Errorf("holder that uses the other members does not have the lease at the end of the isolation: had it last at %v, now %v", w.lastLeaseAt[1], w.elapsed())
	}
}

// checkFreshnessProofs checks that an edge has a current proof of freshness only if it reaches the members that are not
// isolated.
func (w *isolationWorld) checkFreshnessProofs(begun time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if until := w.edges[0].freshUntil(); until > begun {
		w.t.Errorf("edge node that reaches only the isolated member has a proof up to %v that its configuration is the newest, want none after the start of the isolation at %v", until, begun)
	}
	if until := w.edges[2].freshUntil(); until < w.elapsed()-time.Second {
		w.t.Errorf("edge node that reaches the other members has a proof only up to %v that its configuration is the newest, want at most 1 s before now (%v)", until, w.elapsed())
	}
}

// checkAfterIsolation checks that the isolated member accepts changes again and that all machines serve the newest
// version.
func (w *isolationWorld) checkAfterIsolation(machines int) {
	recovered := w.waitUntil("member accepts changes after its isolation", maxRecoveryTime, func() bool {
		base := w.newestAcked()
		return w.putConfig(w.isolatedMachine, base, body(base+1, "after")) == nil
	})
	w.t.Logf("%s: other members acknowledged each change within %v, isolated member acknowledged one %v after the end of the isolation", w.scenario, w.longestFailover.Round(time.Millisecond), recovered)
	for i := range machines {
		w.waitUntil("machine serves a read after the isolation", maxRecoveryTime, func() bool { return w.readConfig(i+1) == nil })
	}
}

// A member that is isolated for 20 s, in any scenario, acknowledges and rejects no change, serves no read, grants
// and renews no lease, contributes to no proof of freshness, and responds in time. The other members acknowledge
// the same changes that the isolated member answered with an unknown outcome.
func TestIsolatedMember(t *testing.T) {
	for _, scenario := range isolationScenarios() {
		t.Run(scenario.String(), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				w := newIsolationWorld(t, scenario)
				w.run()
			})
		})
	}
}
