package retire

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"testing"
)

func newFleet(t testing.TB, seed uint64, plant int) *testFleet {
	f := &testFleet{t: t, r: rand.New(rand.NewPCG(seed, 5)), inbox: map[int][]func(){}, body: first, version: 1, doc: newPlan(), docAt: 1, planners: []*Planner{NewPlanner(), NewPlanner(), NewPlanner()},
		planted: plant, trouble: plant == 0 || plant == 5, holder: -1}
	for i := range 6 {
		n := &testNode{name: fmt.Sprint("w", i), listed: true, answered: map[string]bool{}, lies: plant == 2}
		n.start(true)
		f.nodes = append(f.nodes, n)
	}
	return f
}

// run plays one seed to its end. Without a retirement it is the same fleet under the same troubles.
func run(t testing.TB, seed uint64, plant int, with bool) *testFleet {
	f := newFleet(t, seed, plant)
	luck := rand.New(rand.NewPCG(seed, 9)) // of troubles and requests: the same with and without
	people := rand.New(rand.NewPCG(seed, 11))
	abortAt := 0
	if luck.IntN(3) == 0 || plant == 5 {
		abortAt = 60 + luck.IntN(600)
	}
	for f.now = 0; f.now < 2400; f.now++ {
		f.quiet = f.now > 900
		f.trouble = f.trouble && !f.quiet
		f.configHistory = append(f.configHistory, f.body)
		for _, do := range f.inbox[f.now] {
			do()
		}
		delete(f.inbox, f.now)
		if f.trouble {
			f.injectFaults(luck)
		} else {
			for _, n := range f.nodes {
				if n.listed && (!n.up || len(n.fake) > 0) && plant != 2 { // the platform replaces whoever is down or boasts
					n.start(true)
					n.lies = false
				}
			}
		}
		f.lease(f.r)
		if with {
			f.operate(people, abortAt)
			if plant == 4 && f.now == 50 { // requests are moved before anything is loaded
				f.patch([]byte(`{"ways":{"rare":{"use":"rare-2"}}}`), f.version)
			}
			if f.now%3 == 0 {
				f.holderStep(f.r.IntN(3))
			}
			if f.doc.State == StateAborted {
				f.checkReverted()
			}
		}
		if f.now < 1800 && f.now%2 == 0 {
			q := &request{id: fmt.Sprint("r", f.now), route: []string{"old", "rare", "fare"}[luck.IntN(3)], until: f.now + wait}
			f.all = append(f.all, q)
			f.sendRequest(q)
		}
		if with && !f.doc.Active() && f.now > 1900 {
			break
		}
	}
	for _, q := range f.all {
		if q.answers == 0 {
			f.late++
		}
		if q.answers > 1 {
			f.fault(3, "%s has %d answers", q.id, q.answers)
		}
	}
	if with && f.doc.Active() {
		f.fault(0, "it never ended: %s %s, held by %v", f.doc.State, f.doc.Progress(), f.doc.Blockers)
	}
	return f
}

// injectFaults brings faults: nodes die, come back with the old set or empty, are replaced, join; two at most
// are away or behind at once, as capacity planning has it.
func (f *testFleet) injectFaults(luck *rand.Rand) {
	away := 0
	for _, n := range f.nodes {
		if !n.up || f.doc.Phase != "" && f.doc.Phase != PhaseLoadBase && len(n.holds) < 2 && f.doc.State == StateRunning && !f.doc.PastBarrier() || len(n.holds) == 0 {
			away++
		}
	}
	n, what, empty, b := f.nodes[luck.IntN(len(f.nodes))], luck.IntN(200), luck.IntN(3) == 0, luck.IntN(4) == 0
	switch {
	case what == 0 && away < 2 && n.up: // it dies
		n.up, n.incarnation = false, n.incarnation+"x"
	case what <= 4 && !n.up && n.listed: // it is back, perhaps empty
		n.start(!empty)
		n.lies = b
	case what == 5 && !n.up: // the platform takes it out of its list for a while
		n.listed = false
	case what <= 8 && !n.listed:
		n.listed = true
		n.start(!empty)
	case what == 9 && away < 2 && n.up: // replaced at once
		n.start(!empty)
	case what == 10: // another change of the configuration
		f.patch([]byte(fmt.Sprintf(`{"wait_max_ms":%d}`, 1000+luck.IntN(1000))), f.version)
	}
}

// lease: one holder at a time; the next gets it a while after the last has stopped to count on it.
func (f *testFleet) lease(luck *rand.Rand) {
	if f.now < f.leased {
		if f.trouble && luck.IntN(80) == 0 {
			f.leased = f.now // it stops
		}
		return
	}
	if f.now > f.leased+5 {
		if h := luck.IntN(3); h != f.holder {
			f.holder, f.fence = h, f.fence+1
			f.planners[h] = NewPlanner()
		}
		f.leased = f.now + 60
	}
}

// operate: two operators start, pause, resume and abort, each on what it has read a while ago.
func (f *testFleet) operate(luck *rand.Rand, abortAt int) {
	verb := ""
	switch x := luck.IntN(120); {
	case f.now == 20 || f.now == 22 || f.quiet && f.doc.State == StatePlanned:
		verb = "start"
	case abortAt > 0 && (f.now == abortAt || f.now == abortAt+3):
		verb = "abort"
	case x == 0 && f.trouble:
		verb = "pause"
	case x <= 4 || f.quiet && x < 20:
		verb = "resume"
	}
	if verb == "" {
		return
	}
	r, at := f.doc.clone(), f.docAt
	if r.ApplyVerb(verb) != nil {
		return
	}
	f.deliver(3, func() {
		if !f.put(r, at, 0) && (verb == "abort" || verb == "start") { // it crossed with a step: made again on what is there
			if r, at := f.doc.clone(), f.docAt; r.ApplyVerb(verb) == nil {
				f.put(r, at, 0)
			}
		}
	})
}

// checkReverted: once it is aborted the configuration is what it was, and no node that answers has the new base, nor gets it later.
func (f *testFleet) checkReverted() {
	if f.abortedAt == 0 {
		return
	}
	s, o := f.config(), first
	s.MaxWaitMs = 0
	for n, v := range s.Routes {
		if v.MoveTo != "" || v.MovedPercent != 0 || n != "fare" && v.ServedBy != "" || n == "fare" && v.ServedBy != "fare" {
			f.fault(5, "route %s is %+v after the abort, the configuration was %s", n, v, o)
		}
	}
	for _, n := range f.nodes {
		if _, ok := n.holds["new"]; ok && n.up {
			f.fault(5, "%s holds the new base %d ticks after the abort", n.name, f.now-f.abortedAt)
		}
	}
}

func seeds(t *testing.T, or uint64) uint64 {
	n, err := strconv.ParseUint(os.Getenv("RETIRE_SEEDS"), 10, 64)
	if err != nil {
		return or
	}
	t.Logf("%d seeds", n)
	return n
}

// Seeded fleets under kills, lost disks, late and lost messages, replaced workers, joiners, workers that
// boast, holders that die, two operators, and aborts that race with the barrier. The same fleet without a
// retirement stands beside each: nobody waits longer because of it. `RETIRE_SEEDS=5000 go test
// ./internal/control/retire -run TestSimulated` runs wide.
func TestSimulated(t *testing.T) {
	ends, lateWith, lateWithout, all := map[State]int{}, 0, 0, 0
	for seed := range seeds(t, 40) {
		f, o := run(t, seed, 0, true), run(t, seed, 0, false)
		ends[f.doc.State]++
		lateWith, lateWithout, all = lateWith+f.late, lateWithout+o.late, all+len(f.all)
		if len(f.faults) > 0 {
			t.Fatalf("seed %d:\n%s\n%s", seed, strings.Join(f.faults, "\n"), strings.Join(f.doc.History, "\n"))
		}
	}
	t.Logf("%v, late %d with and %d without of %d", ends, lateWith, lateWithout, all)
	if ends[StateDone] == 0 || ends[StateAborted] == 0 {
		t.Errorf("the seeds show too little: %v", ends)
	}
	if float64(lateWith) > float64(lateWithout)*1.1+0.001*float64(all) {
		t.Errorf("(4) %d of %d late with a retirement, %d without", lateWith, all, lateWithout)
	}
}

// One fault is planted for each invariant, and the simulation sees it.
func TestPlantedFaultsAreSeen(t *testing.T) {
	for plant := 1; plant <= 5; plant++ {
		seen := ""
		for seed := range uint64(300) {
			f := run(t, seed, plant, true)
			if plant == 4 && f.late > run(t, seed, 0, false).late+len(f.all)/100 {
				seen = "(4)"
			}
			for _, x := range f.faults {
				if strings.HasPrefix(x, fmt.Sprintf("(%d)", plant)) {
					seen = x
				}
			}
			if seen != "" {
				break
			}
		}
		if t.Log(seen); seen == "" {
			t.Errorf("planted fault %d isn't seen", plant)
		}
	}
}
