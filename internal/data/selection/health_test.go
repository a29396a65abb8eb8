package selection

import (
	"testing"
	"time"
)

// However many attempts break, two thirds of the workers stay in, and none alone is left out.
func TestEjectionHasAFloor(t *testing.T) {
	for _, n := range []int{1, 2, 3, 7, 18} {
		for bad := range n + 1 {
			e := newEdge(fleetOf(n))
			g := e.layoutFor(e.s).groups["llm"]
			var l []int
			for i := range n {
				l = append(l, i)
				if i < bad {
					for range i%3 + 1 {
						e.recordFailure(g.candidates[i].stats, e.now)
					}
				}
			}
			in := withoutEjected(g, l, e.now)
			if len(in) == 0 || n-len(in) > n/3 {
				t.Errorf("%d of %d broke: %d left in", bad, n, len(in))
			}
			if bad > 0 && bad <= n/3 && len(in) != n-bad {
				t.Errorf("%d of %d broke, and %d are out", bad, n, n-len(in))
			}
		}
	}
}

func TestBrokenWorkersAreAvoidedLongerEachTime(t *testing.T) {
	e := newEdge(fleetOf(9))
	x := e.layoutFor(e.s).groups["llm"].candidates[0].stats
	last := time.Duration(0)
	for i := range 4 {
		e.recordFailure(x, e.now)
		if d := x.ejectedUntil - e.now; d <= last {
			t.Errorf("strike %d: out for %v after %v", i, d, last)
		} else {
			last = d
		}
		e.now = x.ejectedUntil
		if b := x.slowStartRatio(e.now); b <= 0 || x.slowStartRatio(e.now+x.ejectionTime/2) >= b || x.slowStartRatio(e.now+x.ejectionTime) != 0 {
			t.Error("it isn't trusted again little by little")
		}
	}
	for range 9 {
		e.recordFailure(x, e.now)
	}
	if x.ejectedUntil-e.now > e.bounds.Heal(ejectionTuning.maxTimeRatio) {
		t.Errorf("out for %v", x.ejectedUntil-e.now)
	}
	e.now = x.ejectedUntil + time.Minute
	for range 20 {
		e.recordSuccess(x, e.now)
	}
	if x.recentFailures != 0 || x.failureRatio > 0.05 {
		t.Errorf("%d strikes, %.2f bad after twenty good endings", x.recentFailures, x.failureRatio)
	}
}

func TestEndingsSayWhatTheySay(t *testing.T) {
	for e0, avoided := range map[Outcome]bool{Completed: false, NoFreeSlot: true, NotReady: true, Misdirected: true, Failed: true, ClientGone: false, TimedOut: true} {
		e := newEdge(fleetOf(6))
		r := e.ask("p", 13000)
		c := e.must(t, r)
		e.recordSent(r, c, e.now)
		e.recordOutcome(r, c, e0, nil, 0, e.now)
		if d := e.must(t, e.ask("p", 13000)); (d.Worker.ID != c.Worker.ID) != avoided {
			t.Errorf("ending %d: then %s after %s", e0, d.Worker.ID, c.Worker.ID)
		}
		if len(e.inFlight) != 0 || e.layout.groups["llm"].candidates[e.layout.groups["llm"].index[c.Worker.ID]].stats.inFlight != 0 {
			t.Errorf("ending %d leaves an attempt under way", e0)
		}
		e.recordOutcome(r, c, e0, nil, 0, e.now) // recorded twice
		if e.layout.groups["llm"].candidates[e.layout.groups["llm"].index[c.Worker.ID]].stats.inFlight != 0 {
			t.Errorf("ending %d counts twice", e0)
		}
	}
}

func TestSlowWorkersAreSelectedLess(t *testing.T) {
	e := newEdge(fleetOf(4))
	at := map[string]int{}
	for range 400 {
		r := e.ask("", 0)
		c := e.must(t, r)
		at[c.Worker.ID]++
		first := 40 * time.Millisecond
		if c.Worker.ID == "w2" {
			first *= 6
		}
		e.serve(r, c, first)
	}
	if at["w2"]*3 > at["w1"] {
		t.Errorf("selected: %v", at)
	}
}
