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
	cutFor       = 20 * time.Second
	answerWithin = 950 * time.Millisecond  // an operator moves on after about a second of silence
	grantWithin  = 1600 * time.Millisecond // serveTimeoutRatio of the heal bound, and a tick
	knownWithin  = 450 * time.Millisecond  // once all others were silent: silentPart of an attempt for each
	leadsAtMost  = 2300 * time.Millisecond // 2 election spans without a quorum, and some ticks
	takesOver    = 6 * time.Second         // the step-down of a deaf leader, an election, a restart
	backWithin   = 8 * time.Second
	leaseTTL     = 1200 * time.Millisecond
)

// cutRow is one combination of a cut.
type cutRow struct {
	leader    bool   // the leader is cut off; else a follower
	direction string // "both", "out": it can't send; "in": it can't hear
	restart   string // of the cut-off member, of another, or of all while the cut lasts
	seeds     bool   // those restarted are told seeds that name the cut-off member alone
	spare     bool   // a fourth machine waits to take a place
	pair      bool   // two of five are cut off, and reach each other
}

func (r cutRow) String() string {
	who := map[bool]string{true: "leader", false: "follower"}[r.leader]
	s := fmt.Sprintf("%s cut %s, %s restarted", who, r.direction, r.restart)
	if r.seeds {
		s += ", seeds cut off"
	}
	if r.spare {
		s += ", a spare"
	}
	if r.pair {
		s += ", two of five"
	}
	return s
}

func cutRows() (l []cutRow) {
	for _, leader := range []bool{true, false} {
		for _, direction := range []string{"both", "out", "in"} {
			for _, restart := range []string{"none", "itself", "all"} {
				l = append(l, cutRow{leader: leader, direction: direction, restart: restart, pair: true})
			}
			for _, spare := range []bool{false, true} {
				l = append(l, cutRow{leader: leader, direction: direction, restart: "none", spare: spare})
				for _, restart := range []string{"itself", "another", "all"} {
					l = append(l,
						cutRow{leader: leader, direction: direction, restart: restart, spare: spare},
						cutRow{leader: leader, direction: direction, restart: restart, spare: spare, seeds: true})
				}
			}
		}
	}
	return l
}

// atVictim is what is asked of the cut-off member in one round of the cut: nothing may be done.
func (w *cutWorld) atVictim(base uint64, b []byte, round int, late bool) {
	ctx := context.Background()
	begun := time.Now()
	if err := w.order(w.victim, base, b); err == nil {
		w.t.Errorf("%v: the cut-off member acknowledges version %d", w.now(), base+1)
	}
	if d := time.Since(begun); late && d > knownWithin {
		w.t.Errorf("%v: the cut-off member holds an order for %v though it has heard nobody for long", w.now(), d)
	}
	if base > 1 { // one that the true leader would refuse: it can't say
		if err := w.order(w.victim, base-1, body(base+1, "on an old base")); err == nil {
			w.t.Errorf("%v: the cut-off member acknowledges an order on an old base", w.now())
		}
	}
	if err := w.read(w.victim); err == nil {
		w.t.Errorf("%v: the cut-off member serves a read", w.now())
	}
	begun = time.Now()
	err := w.node(w.victim).SetWeightsVersion(ctx, "m", uint64(100+round))
	if d := time.Since(begun); err == nil || errs.KindOf(err).HTTP != 503 || d > answerWithin {
		w.t.Errorf("%v: the cut-off member names weights after %v: %v", w.now(), d, err)
	}
	switch err := w.node(w.victim).SetWeightsVersion(ctx, "m", 1); {
	case err == nil:
	case w.restarted && errs.KindOf(err).HTTP == 503: // after a restart it can't say what was committed
	default:
		w.t.Errorf("%v: what was named before the cut stays named: %v", w.now(), err)
	}
	begun = time.Now()
	r, _ := w.node(w.victim).Change(ctx, &wire.ChangeRequest{Command: &wire.Command{Kind: &wire.Command_Grant{Grant: &wire.Grant{Lease: "other", Holder: "x", TtlNs: uint64(leaseTTL)}}}})
	if d := time.Since(begun); r.Outcome == wire.OutcomeDone || r.Outcome == wire.OutcomeConflict || d > grantWithin {
		w.t.Errorf("%v: the cut-off member answers a lease request after %v: %v", w.now(), d, r)
	}
}

// play plays one row.
func (w *cutWorld) play() {
	t, ctx := w.t, context.Background()
	machines, members := 3, 3
	if w.row.spare {
		machines = 4
	}
	if w.row.pair {
		machines, members, w.bears = 5, 5, 2
	}
	for i := range machines {
		w.start(i+1, true)
	}
	defer w.down()
	w.until("a whole group", 10*time.Second, func() bool { return len(w.members()) == members })
	w.chooseVictim(machines)
	for i := range uint64(2) {
		if err := w.order(w.victim, i, body(i+1, "before")); err != nil {
			t.Fatalf("before the cut: %v", err)
		}
	}
	if err := w.node(w.victim).SetWeightsVersion(ctx, "m", 1); err != nil {
		t.Fatalf("before the cut: %v", err)
	}
	background, stop := context.WithCancel(ctx)
	var all sync.WaitGroup
	defer func() { stop(); all.Wait() }()
	all.Go(func() { w.hold(background, 0) })
	w.until("the lease", 3*time.Second, func() bool { _, ok := w.holders[0].FencingToken(); return ok })
	all.Go(func() { w.hold(background, 1) })
	all.Go(func() { w.watchHolders(background) })
	w.edges = []*cutEdge{{at: []int{w.victim}}, {at: append([]int{w.victim}, w.others...)}, {at: w.others}}
	for _, e := range w.edges {
		e.proof = agent.NewFreshnessProof()
		for _, i := range e.at {
			all.Go(func() { w.poll(background, e, i) })
		}
	}
	clock.Sleep(ctx, time.Second)
	w.cutOff()
	begin, term := w.now(), w.term()
	w.duringCut(begin)
	w.net.set(func(cut map[[2]string]bool) { clear(cut) })
	w.afterCut(machines)
	if now := w.term(); !w.row.leader && w.row.restart == "none" && now != term {
		t.Errorf("a follower that was cut off unseated the leader: term %d, then %d", term, now)
	}
}

// otherSide sends an order to the members that aren't cut off until one takes it.
func (w *cutWorld) otherSide(base uint64, b []byte) {
	sent, done := w.now(), false
	for k := 0; !done && w.now()-sent < takesOver; k++ {
		if done = w.order(w.others[k%2], base, b) == nil; !done {
			clock.Sleep(context.Background(), 100*time.Millisecond)
		}
	}
	w.longest = max(w.longest, w.now()-sent)
	if !done {
		w.t.Errorf("%v: the other side takes no order within %v, restarted %v", w.now(), takesOver, w.restarted)
	}
}

func (w *cutWorld) duringCut(begin time.Duration) {
	t := w.t
	for round := 0; w.now()-begin < cutFor; round++ {
		moved := round == 0
		if !w.restarted && w.row.restart != "none" && w.now()-begin > 3*time.Second {
			w.restarts()
			w.restarted, moved = true, true
		}
		w.mu.Lock()
		base := w.version
		w.mu.Unlock()
		b := body(base+1, fmt.Sprintf("round %d", round))
		// In the first moments the other side is asked beside; later the operator goes on to it with
		// the very same order.
		var beside sync.WaitGroup
		if moved {
			beside.Go(func() { w.otherSide(base, b) })
		}
		w.atVictim(base, b, round, w.now()-begin > cutFor*3/4)
		if beside.Wait(); !moved {
			w.otherSide(base, b)
		}
		for _, i := range w.others[:2] {
			_ = w.read(i) // never an old one
		}
		if x := w.node(w.victim).shards[0].published.current(); x.isLeader && w.now()-begin > leadsAtMost {
			t.Errorf("%v: the cut-off member still leads", w.now())
		}
		clock.Sleep(context.Background(), 300*time.Millisecond)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.held[0] > begin+leaseTTL {
		t.Errorf("the holder at the cut-off member held its lease until %v, the cut began at %v", w.held[0], begin)
	}
	if w.held[1] < w.now()-2*time.Second {
		t.Errorf("the holder at the other side doesn't hold the lease at the end of the cut: last at %v", w.held[1])
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
	if p := majority.proof.FreshUntil(majority.version); p < w.now()-time.Second {
		t.Errorf("an edge that reaches the others has a proof up to %v alone, at %v", p, w.now())
	}
}

// afterCut checks that the member is back: it takes orders, and what it serves is the newest.
func (w *cutWorld) afterCut(machines int) {
	back := w.until("orders at the member that was cut off", backWithin, func() bool {
		w.mu.Lock()
		base := w.version
		w.mu.Unlock()
		return w.order(w.victim, base, body(base+1, "after")) == nil
	})
	w.t.Logf("%s: the other side takes an order within %v, the cut-off member %v after the cut", w.row, w.longest.Round(time.Millisecond), back)
	for i := range machines {
		w.until("a read", backWithin, func() bool { return w.read(i+1) == nil })
	}
}

// One member is cut off for twenty seconds, in every combination: it acknowledges nothing, serves no
// read, grants and renews no lease, gives no proof, says so in time and never refuses; the others
// take the very orders that it left open.
func TestAMemberIsCutOff(t *testing.T) {
	for _, r := range cutRows() {
		t.Run(r.String(), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				w := newCutWorld(t, r)
				w.play()
			})
		})
	}
}
