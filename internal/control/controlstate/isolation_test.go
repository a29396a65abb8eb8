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

// Bounds on a group of which one member is isolated, as ratios of the default heal bound (12 s) and of the
// bound on acknowledgements (4 s).
const (
	isolationTime  = 20 * time.Second
	answerWithin   = 950 * time.Millisecond  // an operator goes to another node after about a second of silence
	grantWithin    = 1600 * time.Millisecond // serveTimeoutRatio of the heal bound, and a tick
	failFastWithin = 450 * time.Millisecond  // once all others were silent: the client's shortened time-out for each
	stepDownWithin = 2300 * time.Millisecond // two election time-outs without a quorum, and some ticks
	takeOverWithin = 6 * time.Second         // the step-down of a leader that can't receive, an election, a restart
	recoverWithin  = 8 * time.Second
	leaseTTL       = 1200 * time.Millisecond
)

// isolationDirection is in which direction a member is isolated.
type isolationDirection string

// Directions of an isolation.
const (
	isolatedBoth isolationDirection = "both"
	isolatedOut  isolationDirection = "out" // it can't send
	isolatedIn   isolationDirection = "in"  // it can't receive
)

// restartSet is which members restart during the isolation.
type restartSet string

// Members that restart.
const (
	restartNone     restartSet = "none"
	restartIsolated restartSet = "itself"
	restartOther    restartSet = "another"
	restartAll      restartSet = "all"
)

// isolationScenario is one combination of an isolation.
type isolationScenario struct {
	isolatesLeader    bool // else a follower
	direction         isolationDirection
	restarts          restartSet
	onlyIsolatedSeeds bool // members restart with seeds that name only the isolated one
	withSpare         bool // a fourth machine is a spare
	isolatesPair      bool // two of five members are isolated, and reach each other
}

func (s isolationScenario) String() string {
	role := "follower"
	if s.isolatesLeader {
		role = "leader"
	}
	text := fmt.Sprintf("%s isolated %s, %s restarted", role, s.direction, s.restarts)
	if s.onlyIsolatedSeeds {
		text += ", seeds isolated"
	}
	if s.withSpare {
		text += ", a spare"
	}
	if s.isolatesPair {
		text += ", two of five"
	}
	return text
}

// isolationScenarios lists all combinations that are tested.
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

// checkVictim sends requests to the isolated member in one round: it must carry none out, nor reject any,
// and answer in time. After a long isolation it must fail fast.
func (w *isolationWorld) checkVictim(base uint64, plan []byte, attempt int, isLong bool) {
	begun := time.Now()
	if err := w.putPlan(w.victim, base, plan); err == nil {
		w.t.Errorf("%v: the isolated member acknowledges version %d", w.elapsed(), base+1)
	}
	if waited := time.Since(begun); isLong && waited > failFastWithin {
		w.t.Errorf("%v: the isolated member holds a change for %v though it has had no contact for long", w.elapsed(), waited)
	}
	if base > 1 { // one that the leader would reject: this member can't know
		if err := w.putPlan(w.victim, base-1, body(base+1, "on an old base")); err == nil {
			w.t.Errorf("%v: the isolated member acknowledges a change on an old base", w.elapsed())
		}
	}
	if err := w.readPlan(w.victim); err == nil {
		w.t.Errorf("%v: the isolated member serves a read", w.elapsed())
	}
	w.checkVictimSetsNoWeights(attempt)
	w.checkVictimGrantsNothing()
}

// checkVictimSetsNoWeights checks that a new weights version isn't set, and that the one that was set
// before the isolation is acknowledged.
func (w *isolationWorld) checkVictimSetsNoWeights(attempt int) {
	ctx, begun := context.Background(), time.Now()
	err := w.node(w.victim).SetWeightsVersion(ctx, "m", uint64(100+attempt))
	if waited := time.Since(begun); err == nil || errs.KindOf(err).HTTPStatus != 503 || waited > answerWithin {
		w.t.Errorf("%v: the isolated member sets a weights version after %v: %v", w.elapsed(), waited, err)
	}
	switch err := w.node(w.victim).SetWeightsVersion(ctx, "m", 1); {
	case err == nil:
	case w.restarted && errs.KindOf(err).HTTPStatus == 503: // after a restart it can't know what was committed
	default:
		w.t.Errorf("%v: a weights version that was set before the isolation isn't acknowledged: %v", w.elapsed(), err)
	}
}

// checkVictimGrantsNothing checks that a lease request is neither granted nor rejected.
func (w *isolationWorld) checkVictimGrantsNothing() {
	begun := time.Now()
	grant := &wire.Grant{Lease: "other", Holder: "x", TtlNs: uint64(leaseTTL)}
	response, _ := w.node(w.victim).Change(context.Background(), grantRequest(grant))
	if waited := time.Since(begun); response.Outcome == wire.OutcomeDone || response.Outcome == wire.OutcomeConflict || waited > grantWithin {
		w.t.Errorf("%v: the isolated member answers a lease request after %v: %v", w.elapsed(), waited, response)
	}
}

// run plays the scenario.
func (w *isolationWorld) run() {
	machines := w.startSite()
	defer w.stopAll()
	w.putBefore()
	ctx, stop := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	defer func() { stop(); clients.Wait() }()
	w.startClients(ctx, &clients)
	clock.Sleep(ctx, time.Second)
	w.isolateVictim()
	begun, term := w.elapsed(), w.term()
	w.checkDuringIsolation(begun)
	w.checkHolders(begun)
	w.checkProofs(begun)
	w.network.heal()
	w.checkAfterIsolation(machines)
	if now := w.term(); !w.scenario.isolatesLeader && w.scenario.restarts == restartNone && now != term {
		w.t.Errorf("a follower that was isolated deposed the leader: term %d, then %d", term, now)
	}
}

// startSite starts the machines, and chooses whom to isolate. It returns how many there are.
func (w *isolationWorld) startSite() (machines int) {
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
	w.waitUntil("a complete group", 10*time.Second, func() bool { return len(w.members()) == members })
	w.chooseVictim(machines)
	return machines
}

// putBefore makes some changes at the member that will be isolated.
func (w *isolationWorld) putBefore() {
	for i := range uint64(2) {
		if err := w.putPlan(w.victim, i, body(i+1, "before")); err != nil {
			w.t.Fatalf("before the isolation: %v", err)
		}
	}
	if err := w.node(w.victim).SetWeightsVersion(context.Background(), "m", 1); err != nil {
		w.t.Fatalf("before the isolation: %v", err)
	}
}

// startClients starts two lease holders, of which the first gets the lease, and three edges: one that
// reaches the isolated member alone, one that reaches all, and one that reaches the others.
func (w *isolationWorld) startClients(ctx context.Context, clients *sync.WaitGroup) {
	clients.Go(func() { w.renewLease(ctx, 0) })
	w.waitUntil("the lease", 3*time.Second, func() bool { _, ok := w.leases[0].FencingToken(); return ok })
	clients.Go(func() { w.renewLease(ctx, 1) })
	clients.Go(func() { w.checkSingleHolder(ctx) })
	w.edges = []*isolationEdge{{machines: []int{w.victim}}, {machines: append([]int{w.victim}, w.others...)}, {machines: w.others}}
	for _, edge := range w.edges {
		edge.proof = agent.NewFreshnessProof()
		for _, machine := range edge.machines {
			clients.Go(func() { w.followMember(ctx, edge, machine) })
		}
	}
}

// putAtMajority sends a change to the other members until one acknowledges it.
func (w *isolationWorld) putAtMajority(base uint64, plan []byte) {
	begun, acked := w.elapsed(), false
	for attempt := 0; !acked && w.elapsed()-begun < takeOverWithin; attempt++ {
		if acked = w.putPlan(w.others[attempt%2], base, plan) == nil; !acked {
			clock.Sleep(context.Background(), 100*time.Millisecond)
		}
	}
	w.longestWait = max(w.longestWait, w.elapsed()-begun)
	if !acked {
		w.t.Errorf("%v: the other members acknowledge no change within %v, restarted %v", w.elapsed(), takeOverWithin, w.restarted)
	}
}

// checkDuringIsolation sends each change to the isolated member, and the very same change to the others:
// in the first round, and when members have restarted, to both at once.
func (w *isolationWorld) checkDuringIsolation(begun time.Duration) {
	for iteration := 0; w.elapsed()-begun < isolationTime; iteration++ {
		atOnce := iteration == 0
		if !w.restarted && w.scenario.restarts != restartNone && w.elapsed()-begun > 3*time.Second {
			w.restartMachines()
			w.restarted, atOnce = true, true
		}
		base := w.newestAcked()
		plan := body(base+1, fmt.Sprintf("round %d", iteration))
		var others sync.WaitGroup
		if atOnce {
			others.Go(func() { w.putAtMajority(base, plan) })
		}
		w.checkVictim(base, plan, iteration, w.elapsed()-begun > isolationTime*3/4)
		if others.Wait(); !atOnce {
			w.putAtMajority(base, plan)
		}
		for _, machine := range w.others[:2] {
			_ = w.readPlan(machine) // which checks that it is never an old one
		}
		if view := w.node(w.victim).shards[0].published.current(); view.isLeader && w.elapsed()-begun > stepDownWithin {
			w.t.Errorf("%v: the isolated member still leads", w.elapsed())
		}
		clock.Sleep(context.Background(), 300*time.Millisecond)
	}
}

// checkHolders checks that the lease has passed from the holder at the isolated member to the other one.
func (w *isolationWorld) checkHolders(begun time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lastLeaseAt[0] > begun+leaseTTL {
		w.t.Errorf("the holder at the isolated member held its lease until %v, the isolation began at %v", w.lastLeaseAt[0], begun)
	}
	if w.lastLeaseAt[1] < w.elapsed()-2*time.Second {
		w.t.Errorf("the holder at the other members doesn't hold the lease at the end of the isolation: last at %v", w.lastLeaseAt[1])
	}
}

// checkProofs checks that only those edges have a fresh proof that reach the other members.
func (w *isolationWorld) checkProofs(begun time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if until := w.edges[0].freshUntil(); until > begun {
		w.t.Errorf("an edge that reaches the isolated member alone has a proof up to %v, the isolation began at %v", until, begun)
	}
	if until := w.edges[2].freshUntil(); until < w.elapsed()-time.Second {
		w.t.Errorf("an edge that reaches the others has a proof up to %v alone, at %v", until, w.elapsed())
	}
}

// checkAfterIsolation checks that the member has recovered: it accepts changes, and serves the newest.
func (w *isolationWorld) checkAfterIsolation(machines int) {
	recovered := w.waitUntil("changes at the member that was isolated", recoverWithin, func() bool {
		base := w.newestAcked()
		return w.putPlan(w.victim, base, body(base+1, "after")) == nil
	})
	w.t.Logf("%s: the other members acknowledge a change within %v, the isolated member %v after the isolation", w.scenario, w.longestWait.Round(time.Millisecond), recovered)
	for i := range machines {
		w.waitUntil("a read", recoverWithin, func() bool { return w.readPlan(i+1) == nil })
	}
}

// One member is isolated for twenty seconds, in every combination: it acknowledges nothing, serves no read,
// grants and renews no lease, gives no proof, answers in time and never rejects. The others acknowledge the
// very changes whose outcome it left open.
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
