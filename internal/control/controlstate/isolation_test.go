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

// What is asked of a group of which one member is cut off for twenty seconds. The bounds are ratios
// of the default heal bound (12 s) and of the bound on acknowledgements (4 s).
const (
	partitionTime  = 20 * time.Second
	answerWithin   = 950 * time.Millisecond  // an operator moves on after about a second of silence
	grantWithin    = 1600 * time.Millisecond // serveTimeoutRatio of the heal bound, and a tick
	knownWithin    = 450 * time.Millisecond  // once all others were silent: silentPart of an attempt for each
	stepDownWithin = 2300 * time.Millisecond // 2 election spans without a quorum, and some ticks
	takeOverWithin = 6 * time.Second         // the step-down of a deaf leader, an election, a restart
	recoverWithin  = 8 * time.Second
	leaseTTL       = 1200 * time.Millisecond
)

// partitionScenario is one combination of a cut.
type partitionScenario struct {
	isolatesLeader    bool   // the leader is cut off; else a follower
	direction         string // "both", "out": it can't send; "in": it can't hear
	restarted         string // of the cut-off member, of another, or of all while the cut lasts
	onlyIsolatedSeeds bool   // those restarted are told seeds that name the cut-off member alone
	withSpare         bool   // a fourth machine waits to take a place
	isolatesPair      bool   // two of five are cut off, and reach each other
}

func (scenario partitionScenario) String() string {
	who := map[bool]string{true: "leader", false: "follower"}[scenario.isolatesLeader]
	s := fmt.Sprintf("%s cut %s, %s restarted", who, scenario.direction, scenario.restarted)
	if scenario.onlyIsolatedSeeds {
		s += ", seeds cut off"
	}
	if scenario.withSpare {
		s += ", a spare"
	}
	if scenario.isolatesPair {
		s += ", two of five"
	}
	return s
}

func partitionScenarios() (scenarios []partitionScenario) {
	for _, leader := range []bool{true, false} {
		for _, direction := range []string{"both", "out", "in"} {
			for _, restart := range []string{"none", "itself", "all"} {
				scenarios = append(scenarios, partitionScenario{isolatesLeader: leader, direction: direction, restarted: restart, isolatesPair: true})
			}
			for _, spare := range []bool{false, true} {
				scenarios = append(scenarios, partitionScenario{isolatesLeader: leader, direction: direction, restarted: "none", withSpare: spare})
				for _, restart := range []string{"itself", "another", "all"} {
					scenarios = append(scenarios,
						partitionScenario{isolatesLeader: leader, direction: direction, restarted: restart, withSpare: spare},
						partitionScenario{isolatesLeader: leader, direction: direction, restarted: restart, withSpare: spare, onlyIsolatedSeeds: true})
				}
			}
		}
	}
	return scenarios
}

// checkVictim is what is asked of the cut-off member in one round of the cut: nothing may be done.
func (w *partitionWorld) checkVictim(base uint64, b []byte, round int, late bool) {
	ctx := context.Background()
	begun := time.Now()
	if err := w.putPlan(w.victim, base, b); err == nil {
		w.t.Errorf("%v: the cut-off member acknowledges version %d", w.elapsed(), base+1)
	}
	if d := time.Since(begun); late && d > knownWithin {
		w.t.Errorf("%v: the cut-off member holds an order for %v though it has heard nobody for long", w.elapsed(), d)
	}
	if base > 1 { // one that the true leader would refuse: it can't say
		if err := w.putPlan(w.victim, base-1, body(base+1, "on an old base")); err == nil {
			w.t.Errorf("%v: the cut-off member acknowledges an order on an old base", w.elapsed())
		}
	}
	if err := w.readPlan(w.victim); err == nil {
		w.t.Errorf("%v: the cut-off member serves a read", w.elapsed())
	}
	begun = time.Now()
	err := w.node(w.victim).SetWeightsVersion(ctx, "m", uint64(100+round))
	if d := time.Since(begun); err == nil || errs.KindOf(err).HTTPStatus != 503 || d > answerWithin {
		w.t.Errorf("%v: the cut-off member names weights after %v: %v", w.elapsed(), d, err)
	}
	switch err := w.node(w.victim).SetWeightsVersion(ctx, "m", 1); {
	case err == nil:
	case w.restarted && errs.KindOf(err).HTTPStatus == 503: // after a restart it can't say what was committed
	default:
		w.t.Errorf("%v: what was named before the cut stays named: %v", w.elapsed(), err)
	}
	begun = time.Now()
	response, _ := w.node(w.victim).Change(ctx, &wire.ChangeRequest{Command: &wire.Command{Kind: &wire.Command_Grant{Grant: &wire.Grant{Lease: "other", Holder: "x", TtlNs: uint64(leaseTTL)}}}})
	if d := time.Since(begun); response.Outcome == wire.OutcomeDone || response.Outcome == wire.OutcomeConflict || d > grantWithin {
		w.t.Errorf("%v: the cut-off member answers a lease request after %v: %v", w.elapsed(), d, response)
	}
}

// run plays one row.
func (w *partitionWorld) run() {
	t, ctx := w.t, context.Background()
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
	defer w.stopAll()
	w.waitUntil("a whole group", 10*time.Second, func() bool { return len(w.members()) == members })
	w.chooseVictim(machines)
	for i := range uint64(2) {
		if err := w.putPlan(w.victim, i, body(i+1, "before")); err != nil {
			t.Fatalf("before the cut: %v", err)
		}
	}
	if err := w.node(w.victim).SetWeightsVersion(ctx, "m", 1); err != nil {
		t.Fatalf("before the cut: %v", err)
	}
	background, stop := context.WithCancel(ctx)
	var all sync.WaitGroup
	defer func() { stop(); all.Wait() }()
	all.Go(func() { w.renewLease(background, 0) })
	w.waitUntil("the lease", 3*time.Second, func() bool { _, ok := w.leases[0].FencingToken(); return ok })
	all.Go(func() { w.renewLease(background, 1) })
	all.Go(func() { w.checkSingleHolder(background) })
	w.edges = []*partitionEdge{{machines: []int{w.victim}}, {machines: append([]int{w.victim}, w.others...)}, {machines: w.others}}
	for _, edge := range w.edges {
		edge.proof = agent.NewFreshnessProof()
		for _, i := range edge.machines {
			all.Go(func() { w.followMember(background, edge, i) })
		}
	}
	clock.Sleep(ctx, time.Second)
	w.isolateVictim()
	begin, term := w.elapsed(), w.term()
	w.checkDuringPartition(begin)
	w.network.update(func(partitioned map[[2]string]bool) { clear(partitioned) })
	w.checkAfterPartition(machines)
	if now := w.term(); !w.scenario.isolatesLeader && w.scenario.restarted == "none" && now != term {
		t.Errorf("a follower that was cut off unseated the leader: term %d, then %d", term, now)
	}
}

// putAtMajority sends an order to the members that aren't cut off until one takes it.
func (w *partitionWorld) putAtMajority(base uint64, b []byte) {
	sent, done := w.elapsed(), false
	for k := 0; !done && w.elapsed()-sent < takeOverWithin; k++ {
		if done = w.putPlan(w.others[k%2], base, b) == nil; !done {
			clock.Sleep(context.Background(), 100*time.Millisecond)
		}
	}
	w.longestWait = max(w.longestWait, w.elapsed()-sent)
	if !done {
		w.t.Errorf("%v: the other side takes no order within %v, restarted %v", w.elapsed(), takeOverWithin, w.restarted)
	}
}

func (w *partitionWorld) checkDuringPartition(begin time.Duration) {
	t := w.t
	for round := 0; w.elapsed()-begin < partitionTime; round++ {
		moved := round == 0
		if !w.restarted && w.scenario.restarted != "none" && w.elapsed()-begin > 3*time.Second {
			w.restartMachines()
			w.restarted, moved = true, true
		}
		w.mu.Lock()
		base := w.ackedVersion
		w.mu.Unlock()
		b := body(base+1, fmt.Sprintf("round %d", round))
		// In the first moments the other side is asked beside; later the operator goes on to it with
		// the very same order.
		var beside sync.WaitGroup
		if moved {
			beside.Go(func() { w.putAtMajority(base, b) })
		}
		w.checkVictim(base, b, round, w.elapsed()-begin > partitionTime*3/4)
		if beside.Wait(); !moved {
			w.putAtMajority(base, b)
		}
		for _, i := range w.others[:2] {
			_ = w.readPlan(i) // never an old one
		}
		if view := w.node(w.victim).shards[0].published.current(); view.isLeader && w.elapsed()-begin > stepDownWithin {
			t.Errorf("%v: the cut-off member still leads", w.elapsed())
		}
		clock.Sleep(context.Background(), 300*time.Millisecond)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lastHeld[0] > begin+leaseTTL {
		t.Errorf("the holder at the cut-off member held its lease until %v, the cut began at %v", w.lastHeld[0], begin)
	}
	if w.lastHeld[1] < w.elapsed()-2*time.Second {
		t.Errorf("the holder at the other side doesn't hold the lease at the end of the cut: last at %v", w.lastHeld[1])
	}
	cutEdge := w.edges[0]
	cutEdge.mu.Lock()
	defer cutEdge.mu.Unlock()
	if p := cutEdge.proof.FreshUntil(cutEdge.version); p > begin {
		t.Errorf("an edge that reaches the cut-off member alone has a proof up to %v, the cut began at %v", p, begin)
	}
	majority := w.edges[2]
	majority.mu.Lock()
	defer majority.mu.Unlock()
	if p := majority.proof.FreshUntil(majority.version); p < w.elapsed()-time.Second {
		t.Errorf("an edge that reaches the others has a proof up to %v alone, at %v", p, w.elapsed())
	}
}

// checkAfterPartition checks that the member is back: it takes orders, and what it serves is the newest.
func (w *partitionWorld) checkAfterPartition(machines int) {
	back := w.waitUntil("orders at the member that was cut off", recoverWithin, func() bool {
		w.mu.Lock()
		base := w.ackedVersion
		w.mu.Unlock()
		return w.putPlan(w.victim, base, body(base+1, "after")) == nil
	})
	w.t.Logf("%s: the other side takes an order within %v, the cut-off member %v after the cut", w.scenario, w.longestWait.Round(time.Millisecond), back)
	for i := range machines {
		w.waitUntil("a read", recoverWithin, func() bool { return w.readPlan(i+1) == nil })
	}
}

// One member is cut off for twenty seconds, in every combination: it acknowledges nothing, serves no
// read, grants and renews no lease, gives no proof, says so in time and never refuses; the others
// take the very orders that it left open.
func TestIsolatedMember(t *testing.T) {
	for _, scenario := range partitionScenarios() {
		t.Run(scenario.String(), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				w := newPartitionWorld(t, scenario)
				w.run()
			})
		})
	}
}
