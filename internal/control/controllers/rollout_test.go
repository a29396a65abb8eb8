package controllers

import (
	"fmt"
	"testing"
	"time"

	"pebbleloom/internal/data/backend"
	"pebbleloom/internal/fleet"
	"pebbleloom/internal/settings"
)

func bounds() settings.Bounds {
	b := settings.DefaultBounds()
	b.WeightsMs = 12000
	return b
}

// singleWorker drives a rollout of one worker by hand.
type singleWorker struct {
	t       *testing.T
	rollout *Rollout
	w       fleet.Worker
	named   uint64
	now     time.Duration
	path    []string
}

func newSingleWorker(t *testing.T, rolling ...string) *singleWorker {
	return &singleWorker{t: t, rollout: NewRollout(bounds(), rolling), w: worker("1", 1), named: 2, now: time.Minute}
}

func (x *singleWorker) step() RolloutActions {
	return x.rollout.Step(RolloutInputs{Now: x.now, Workers: []fleet.Worker{x.w}, NamedVersions: map[string]uint64{"daka": x.named},
		NamedAt: map[string]time.Duration{"daka": time.Minute}, UpdatedServices: map[string]bool{"reading": true}})
}

// until steps until the roll-out wants something of the worker, or span is over.
func (x *singleWorker) until(span time.Duration) RolloutActions {
	for end := x.now + span; x.now < end; x.now += 50 * time.Millisecond {
		a := x.step()
		x.rollout.ConfirmCordoned(a.Cordoned["reading"], x.now)
		if len(a.Orders)+len(a.Reports) > 0 {
			return a
		}
	}
	return RolloutActions{}
}

// Every order of a worker's answers to what it is sent, lost ones and strange ones included: it
// is never ordered again while it is known to load, or may be, nor once it has the version.
func TestNoOrderIsGivenTwice(t *testing.T) {
	type answer struct {
		name string
		out  backend.Outcome
		rep  backend.Report
		lost bool
	}
	old, new := map[string]uint64{"daka": 1}, map[string]uint64{"daka": 2}
	orders := []answer{{name: "begun", out: backend.OutcomeStarted}, {name: "holds", out: backend.OutcomeAlreadyDone}, {name: "busy", out: backend.OutcomeBusy},
		{name: "lost", out: backend.OutcomeUnknown}, {name: "rejected", out: backend.OutcomeRejected}, {name: "fenced", out: backend.OutcomeFenced},
		{name: "stranger", out: backend.OutcomeWrongInstance}, {name: "too many", out: backend.OutcomeThrottled}}
	reports := []answer{{name: "loads", rep: backend.Report{Busy: true, Weights: old}}, {name: "old", rep: backend.Report{Weights: old}},
		{name: "new", rep: backend.Report{Weights: new}}, {name: "silent", lost: true}}
	paths := 0
	var run func(script []int)
	run = func(script []int) {
		x := newSingleWorker(t)
		may, has := false, false // the worker may be loading; it has the version
		var asked time.Duration  // when the order was answered
		for i := 0; ; i++ {
			a := x.until(bounds().Weights(1))
			if has && len(a.Orders)+len(a.Reports) > 0 {
				t.Fatalf("%v: asked though it has the weights", x.path)
			}
			if len(a.Orders)+len(a.Reports) == 0 {
				if !has {
					t.Fatalf("%v: nothing more is done, and it hasn't the weights", x.path)
				}
				paths++
				return
			}
			if len(a.Orders) > 0 && may {
				t.Fatalf("%v: ordered again though it may be loading", x.path)
			}
			among := reports
			if len(a.Orders) > 0 {
				among = orders
			}
			if i == len(script) {
				if i == 4 {
					paths++
					return
				}
				for j := range among {
					run(append(script[:i:i], j))
				}
				return
			}
			c := among[script[i]]
			x.path = append(x.path, c.name)
			x.now += 20 * time.Millisecond
			if len(a.Orders) > 0 {
				asked = x.now
				may = c.out == backend.OutcomeStarted || c.out == backend.OutcomeBusy || c.out == backend.OutcomeUnknown
				if v := x.rollout.HandleOrderOutcome(a.Orders[0], c.out, x.now); v != 0 {
					x.w.Weights, has = new, true
				}
				continue
			}
			m, v := x.rollout.HandleReport("1", c.rep, !c.lost, x.now)
			switch {
			case c.name == "new":
				if has = true; v != 2 || m != "daka" {
					t.Fatalf("%v: the new weights aren't reported: %q %d", x.path, m, v)
				}
				x.w.Weights = new
			case c.name == "old" && x.now-asked >= bounds().Leave(maxReportAgeRatio):
				may = false // it would show by now
			}
		}
	}
	run(nil)
	if paths < 500 {
		t.Errorf("only %d paths", paths)
	}
}

// An order that may have reached the worker before this holder's time is asked about first.
func TestAPastHoldersOrderIsAskedAbout(t *testing.T) {
	x := newSingleWorker(t, "1")
	a := x.until(bounds().Weights(1))
	if len(a.Orders) != 0 || len(a.Reports) != 1 {
		t.Fatalf("%+v", a)
	}
	if _, v := x.rollout.HandleReport("1", backend.Report{Weights: map[string]uint64{"daka": 2}}, true, x.now); v != 2 {
		t.Error("not reported")
	}
}

// Named again while it loads: the newest is ordered next, without being set aside anew, and
// what was named in between is skipped.
func TestNamedAgainWhileItLoads(t *testing.T) {
	x := newSingleWorker(t)
	a := x.until(bounds().Weights(1))
	x.rollout.HandleOrderOutcome(a.Orders[0], backend.OutcomeStarted, x.now)
	x.named = 3
	x.step()
	x.named = 4
	a = x.until(bounds().Weights(1))
	x.rollout.HandleReport("1", backend.Report{Weights: map[string]uint64{"daka": 2}}, true, x.now)
	x.w = worker("1", 2)
	a = x.step()
	if len(a.Orders) != 1 || a.Orders[0].Version != 4 || len(a.Cordoned["reading"]) != 1 {
		t.Errorf("%+v", a)
	}
}

// Who leaves, or drains, is let go, and answers that come after that change nothing.
func TestAWorkerLeavesWhileItLoads(t *testing.T) {
	x := newSingleWorker(t)
	a := x.until(bounds().Weights(1))
	x.w.Draining = true
	if b := x.step(); len(b.Cordoned["reading"]) != 0 || !x.rollout.Idle() {
		t.Errorf("%+v", b)
	}
	if v := x.rollout.HandleOrderOutcome(a.Orders[0], backend.OutcomeAlreadyDone, x.now); v != 0 {
		t.Errorf("%d", v)
	}
	x.rollout.HandleUnsentOrder(a.Orders[0])
	if _, v := x.rollout.HandleReport("1", backend.Report{Weights: map[string]uint64{"daka": 2}}, true, x.now); v != 0 {
		t.Errorf("%d", v)
	}
}

// No order goes to a worker before another holder's can't be lately before it, and until shortly
// before that it isn't set aside. A worker that no past holder can have sent anything waits for
// nothing: it wasn't set aside, and has the weights it began with.
func TestNoOrderBeforeItsTime(t *testing.T) {
	for _, c := range []struct {
		past    []string
		version uint64
		from    time.Duration
	}{{nil, 2, 3 * time.Second}, {[]string{"2"}, 2, 3 * time.Second}, {nil, 1, 0}, {[]string{"2"}, 1, 0}} {
		r, b := NewRollout(bounds(), c.past), bounds()
		first, set := time.Duration(-1), time.Duration(-1)
		for now := time.Duration(0); now < 5*time.Second; now += 10 * time.Millisecond {
			a := r.Step(RolloutInputs{Now: now, Workers: []fleet.Worker{worker("1", c.version)}, NamedVersions: map[string]uint64{"daka": 3},
				UpdatedServices: map[string]bool{"reading": true}, EarliestOrder: 3 * time.Second})
			r.ConfirmCordoned(a.Cordoned["reading"], now)
			if len(a.Cordoned["reading"]) > 0 && set < 0 {
				set = now
			}
			if len(a.Orders) > 0 && first < 0 {
				first = now
			}
		}
		if set < c.from-b.Leave(cordonLeadRatio) || first < c.from || first-set < b.Leave(cordonLeadRatio) || first > c.from+2*b.Leave(cordonLeadRatio) {
			t.Errorf("%+v: set aside at %v, ordered at %v", c, set, first)
		}
	}
	r := NewRollout(bounds(), []string{"1"}) // one that was set aside may have had an order
	for now := time.Duration(0); now < 3*time.Second; now += 10 * time.Millisecond {
		a := r.Step(RolloutInputs{Now: now, Workers: []fleet.Worker{worker("1", 1)}, NamedVersions: map[string]uint64{"daka": 2},
			UpdatedServices: map[string]bool{"reading": true}, EarliestOrder: 3 * time.Second})
		r.ConfirmCordoned(a.Cordoned["reading"], now)
		for _, w := range a.Reports {
			r.HandleReport(w.ID, backend.Report{Weights: map[string]uint64{"daka": 1}}, true, now)
		}
		if len(a.Orders) > 0 {
			t.Fatalf("ordered at %v", now)
		}
	}
}

func TestHowManyAtOnce(t *testing.T) {
	r, b := NewRollout(bounds(), nil), bounds()
	for _, c := range []struct {
		all, left int
		since     time.Duration
		want      int
	}{
		{1, 1, 0, 1}, {3, 3, 0, 1}, {18, 18, 0, 3}, {112, 112, 0, 22}, // in time
		{18, 18, -b.Weights(0.5), 6}, {18, 14, -b.Weights(0.2), 3}, {18, 2, -b.Weights(0.5), 3}, {112, 112, -b.Weights(0.6), 37}, // the bound presses
		{18, 1, -b.Weights(2), 3}, {2, 2, -b.Weights(2), 1},
	} {
		if got := r.concurrencyLimit(time.Minute, c.all, c.left, time.Minute+c.since, "daka"); got != c.want {
			t.Errorf("%+v: %d", c, got)
		}
	}
	if got := r.concurrencyLimit(0, 18, 18, -1, "daka"); got != 3 {
		t.Errorf("not known since when: %d", got)
	}
}

// Many workers, some silent: the others are brought within the bound, never more at once than
// may be, each set aside for a short while.
func TestAllAreBroughtInTime(t *testing.T) {
	for _, c := range []struct {
		n, silent int
		takes     time.Duration
	}{{1, 0, 1800}, {4, 0, 1100}, {18, 0, 1100}, {18, 2, 1100}, {18, 0, 1800}, {112, 5, 1800}} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			b := bounds()
			b.WeightsMs = 15000
			r := NewRollout(b, nil)
			ws := make([]fleet.Worker, c.n)
			done, out := make([]time.Duration, c.n), make([]time.Duration, c.n)
			at := map[string]int{}
			for i := range ws {
				ws[i] = worker(fmt.Sprintf("%03d", i), 1)
				at[ws[i].ID] = i
			}
			const late = 200 * time.Millisecond // reports are as old
			for now := time.Duration(0); now < b.Weights(1); now += 25 * time.Millisecond {
				a := r.Step(RolloutInputs{Now: now, Workers: ws, NamedVersions: map[string]uint64{"daka": 2}, NamedAt: map[string]time.Duration{"daka": 0},
					UpdatedServices: map[string]bool{"reading": true}})
				r.ConfirmCordoned(a.Cordoned["reading"], now)
				for _, o := range a.Orders {
					i := at[o.Worker.ID]
					if done[i] != 0 {
						t.Fatalf("%s is ordered twice", o.Worker.ID)
					}
					if i < c.silent {
						r.HandleOrderOutcome(o, backend.OutcomeUnknown, now)
						continue
					}
					done[i] = now + 20*time.Millisecond + c.takes*time.Millisecond
					r.HandleOrderOutcome(o, backend.OutcomeStarted, now)
				}
				busy := 0
				for i := range done {
					if done[i] > now {
						busy++
					}
				}
				if most := max(1, c.n/3); busy > most {
					t.Fatalf("%d at once at %v", busy, now)
				}
				for _, w := range a.Reports {
					i := at[w.ID]
					v, loads := uint64(1), done[i] != 0
					if done[i] != 0 && now-late >= done[i] {
						v, loads = 2, false
					}
					if _, v := r.HandleReport(w.ID, backend.Report{Busy: loads, Weights: map[string]uint64{"daka": v}}, i >= c.silent, now); v > 0 {
						ws[i] = worker(w.ID, v)
					}
				}
				for _, id := range a.Cordoned["reading"] {
					out[at[id]] += 25 * time.Millisecond
				}
			}
			last := time.Duration(0)
			for i, w := range ws {
				if i >= c.silent && w.Weights["daka"] != 2 {
					t.Errorf("%s has old weights at the bound", w.ID)
				}
				if i >= c.silent && out[i] > (c.takes+900)*time.Millisecond {
					t.Errorf("%s was out of service for %v", w.ID, out[i])
				}
				last = max(last, done[i])
			}
			t.Logf("%+v: the last after %v", c, last)
		})
	}
}
