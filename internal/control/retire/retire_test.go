package retire

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pebbleloom/internal/contract"
	"pebbleloom/internal/control/serviceconfig"
	"pebbleloom/internal/errs"
)

// Each fault of a plan is a typed error that names the item and the remedy.
func TestEachFaultOfAPlanIsNamed(t *testing.T) {
	for name, x := range map[string]struct {
		patch  string
		change func(*Retirement)
		want   string
	}{
		"nothing wrong":                     {`{}`, nil, ""},
		"an adapter without a replacement":  {`{}`, func(r *Retirement) { delete(r.Replacements, "rare") }, `replace.rare: adapter rare depends on old and has no replacement: name the adapter that was built for new`},
		"a replacement that isn't there":    {`{}`, func(r *Retirement) { r.Replacements["rare"] = "gone" }, `replace.rare: "gone" is not among adapters`},
		"a replacement for another base":    {`{"models":{"third":{"weights":1}},"adapters":{"rare-2":{"base":"third"}}}`, nil, `rare-2 was built for third: name one that was built for new`},
		"one replacement for two":           {`{}`, func(r *Retirement) { r.Replacements["fare"] = "rare-2" }, `replaces`},
		"a replacement not held there":      {`{"adapters":{"rare-2":{"services":null}}}`, nil, `rare-2 isn't held by service s`},
		"a replacement for fewer tenants":   {`{"tenants":{"t":{},"u":{}},"adapters":{"rare-2":{"tenants":["u"]}}}`, nil, `rare-2 isn't for tenant t`},
		"no room reported":                  {`{"services":{"s":{"room":null}}}`, nil, `services.s.room: 0 MB a worker, and both sets take 120`},
		"no room for both sets":             {`{"services":{"s":{"room":119}}}`, nil, `119 MB a worker, and both sets take 120: give workers with that room`},
		"a base's room not reported":        {`{"models":{"new":{"room":null}}}`, nil, `models.new.room: missing`},
		"an adapter's room not reported":    {`{"adapters":{"rare-2":{"room":null}}}`, nil, `adapters.rare-2.room: missing`},
		"another base than the service's":   {`{}`, func(r *Retirement) { r.OldBase, r.NewBase = "new", "old" }, `from: service s has base model old`},
		"an unknown base":                   {`{}`, func(r *Retirement) { r.NewBase = "newest" }, `to: "newest" is not among models`},
		"an unknown service":                {`{}`, func(r *Retirement) { r.Service = "x" }, `service: "x" is not among services`},
		"a base that serves elsewhere":      {`{"services":{"s2":{"model":"old"}}}`, nil, `service s2 has base model old as well: hand it over first`},
		"an adapter that nobody holds":      {`{"adapters":{"odd":{"base":"old","build":1,"room":1}}}`, nil, `adapter odd depends on old and is held by no worker of s`},
		"a route left with no model":        {`{"adapters":{"last":{"base":"old","build":1,"room":1,"services":["s"]}},"ways":{"last":{"service":"s"}}}`, nil, `ways.last: it would be left with no model`},
		"a route of another service":        {`{"models":{"x":{"weights":1}},"services":{"s2":{"model":"x"}},"adapters":{"fare":{"services":["s","s2"]}},"ways":{"far":{"service":"s2","use":"fare"}}}`, nil, `ways.far: it is answered by fare at service s2`},
		"a route that is being handed over": {`{"services":{"s2":{"model":"old"}},"ways":{"old":{"next":"s2","share":10}}}`, nil, `ways.old: it is being handed over to service s2`},
	} {
		body, err := serviceconfig.Merge(first, []byte(x.patch))
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		s, err := serviceconfig.Decode(body)
		if err != nil {
			t.Fatal(err)
		}
		r := newPlan()
		if x.change != nil {
			x.change(r)
		}
		var b errs.Batch
		r.Validate(&b)
		r.ValidateConfig(s, &b)
		err = b.Err()
		if (err == nil) != (x.want == "") || err != nil && (!strings.Contains(err.Error(), x.want) || errs.KindOf(err) != errs.BadInput) {
			t.Errorf("%s: %v\nwant %q", name, err, x.want)
		}
	}
	var b errs.Batch
	(&Retirement{Name: "a b", Service: "s", OldBase: "x", NewBase: "x", TrafficPercents: []int{5, 4}, SoakSeconds: -1, MaxConcurrent: -1, AbortFailureRatio: 2}).Validate(&b)
	if n := len(b.Lines()); n != 7 {
		t.Errorf("%d faults: %v", n, b.Lines())
	}
	a, o := newPlan(), newPlan()
	o.Name, o.Service, o.State = "other", "s9", StateRunning
	if err := a.CheckConflicts([]*Retirement{o}); errs.KindOf(err) != errs.Conflict || !strings.Contains(err.Error(), `"spring"`) || !strings.Contains(err.Error(), `"other"`) {
		t.Errorf("two retirements of one base: %v", err)
	}
	if o.State = StateDone; a.CheckConflicts([]*Retirement{o}) != nil {
		t.Error("clashes with one that is over")
	}
}

// All orders of a few messages of two operators: each verb asked twice changes nothing more than
// asked once, nothing is undone after the barrier, and whatever ended stays ended.
func TestEveryOrderOfMessages(t *testing.T) {
	verbs := []string{"start", "pause", "resume", "abort", "barrier"}
	var l [][]string
	var grow func([]string)
	grow = func(p []string) {
		if l = append(l, slices.Clone(p)); len(p) < 5 {
			for _, v := range verbs {
				grow(append(p, v))
			}
		}
	}
	grow(nil)
	for _, p := range l {
		r, past, over := newPlan(), false, State("")
		for _, v := range p {
			if v == "barrier" {
				if r.State == StateRunning {
					r.transition(StateRunning, PhaseDrop, "")
					past = true
				}
				continue
			}
			was := r.clone()
			err := r.ApplyVerb(v)
			if err != nil && (r.State != was.State || r.Phase != was.Phase) {
				t.Fatalf("%v: rejected, yet it went from %s to %s", p, was.State, r.State)
			}
			once := r.clone()
			if err == nil {
				if err := r.ApplyVerb(v); err != nil || r.State != once.State || r.Phase != once.Phase || len(r.History) != len(once.History) {
					t.Fatalf("%v: %s again: %v, %s after %s", p, v, err, r.State, once.State)
				}
			}
			if past && (r.State == StateAborting || r.State == StateAborted) {
				t.Fatalf("%v: aborted after the barrier", p)
			}
			if over != "" && r.State != over {
				t.Fatalf("%v: %s after it was %s", p, r.State, over)
			}
			if !r.Active() || r.State == StateAborting {
				over = r.State
			}
		}
	}
	if len(l) != 3906 {
		t.Errorf("%d orders", len(l))
	}
}

// calmFleet is a fleet without faults.
func calmFleet(t *testing.T) *testFleet {
	f := newFleet(t, 1, 0)
	f.quiet, f.trouble = true, false
	return f
}

// step makes one turn of a holder in the calm fleet; stop says after which of its effects it dies.
func (f *testFleet) step(p *Planner, stop int) (effects int) {
	r, s, version, at := f.doc.clone(), f.config(), f.version, f.docAt
	w := Observation{Now: time.Duration(f.now) * time.Second, Version: at, Config: s, WorkersListed: true, MaxConfigAge: time.Second}
	for _, n := range f.nodes {
		w.Nodes = append(w.Nodes, Node{Name: n.name, Incarnation: n.incarnation, Reachable: n.up, Loaded: n.report(), Loading: n.loading, MemoryMB: 130, FreeMB: 130 - 60*len(n.holds)})
	}
	next, acts, changed := p.Next(r, w)
	for _, x := range acts {
		var n *testNode
		for _, y := range f.nodes {
			if y.name == x.Node {
				n = y
			}
		}
		switch {
		case x.Patch != nil:
			if f.patch(x.Patch, version) {
				next.RecordPatch()
			}
		case x.Order != nil:
			if f.order(n, *x.Order, 1) && x.Order.Kind == "unload" {
				next.RecordUnload(x.Node, x.Order.Incarnation)
			}
		default:
			if f.prove(n, x) {
				next.RecordProof(x.Node, x.Incarnation, *x.ProofSet)
			}
		}
		changed = true
		if effects++; effects == stop {
			return effects
		}
	}
	if changed {
		f.put(next, at, 0)
		effects++
	}
	return effects
}

func (f *testFleet) tick() {
	for _, do := range f.inbox[f.now] {
		do()
	}
	delete(f.inbox, f.now)
	f.now++
}

// A holder dies after any one effect of a whole retirement, or of one that is aborted late; the next one
// goes on from what is written, ends it, and no invariant is hurt.
func TestHolderDiesBetweenAnyTwoEffects(t *testing.T) {
	for _, abort := range []bool{false, true} {
		whole := 0
		for die := 1; ; die++ {
			f, p, done := calmFleet(t), NewPlanner(), 0
			if err := f.doc.ApplyVerb("start"); err != nil {
				t.Fatal(err)
			}
			for f.now < 3000 && f.doc.Active() {
				stop := 0
				if die > done {
					stop = die - done
				}
				n := f.step(p, stop)
				if done += n; stop > 0 && n == stop {
					p = NewPlanner() // it died; another one takes over
				}
				if abort && f.doc.Phase == PhaseDrain {
					if err := f.doc.ApplyVerb("abort"); err != nil {
						t.Fatal(err)
					}
					f.docAt++
				}
				f.tick()
			}
			f.checkRevertedIf(abort)
			want := map[bool]State{false: StateDone, true: StateAborted}[abort]
			if f.doc.State != want || len(f.faults) > 0 {
				t.Fatalf("abort %v, death after effect %d: %s %s, %v\n%s", abort, die, f.doc.State, f.doc.Phase, f.faults, strings.Join(f.doc.History, "\n"))
			}
			for _, n := range f.nodes {
				if _, old := n.holds["old"]; old != abort {
					t.Fatalf("abort %v, death after effect %d: %s holds %v", abort, die, n.name, n.holds)
				}
			}
			if whole = done; die > whole {
				break
			}
		}
		if whole < 60 {
			t.Errorf("only %d effects: the test sees too little", whole)
		}
	}
}

func (f *testFleet) checkRevertedIf(abort bool) {
	if abort {
		f.abortedAt = f.now
		f.checkReverted()
	}
}

// blockersAfter runs n steps of a retirement without faults and returns its blockers.
func blockersAfter(f *testFleet, p *Planner, n int) []Blocker {
	for range n {
		f.step(p, 0)
		f.tick()
	}
	return f.doc.Blockers
}

// Who holds the barrier is named, with what to do; a node that the platform takes out of its list holds
// it no more, and one that comes in late with old weights alone is caught up first.
func TestBlockersAreNamed(t *testing.T) {
	f, p := calmFleet(t), NewPlanner()
	if err := f.doc.ApplyVerb("start"); err != nil {
		t.Fatal(err)
	}
	f.nodes[3].up = false
	if l := blockersAfter(f, p, 200); len(l) != 1 || l[0].Node != "w3" || !l[0].NeedsOperator || !strings.Contains(l[0].Remedy, "take it out of its list") || f.doc.Phase != PhaseLoadBase {
		t.Fatalf("a silent node: %s, %+v", f.doc.Phase, l)
	}
	if !f.doc.NeedsOperator() || !strings.Contains(f.doc.Progress(), "5 of 6 nodes ready") {
		t.Errorf("%s", f.doc.Progress())
	}
	f.nodes[3].start(true)
	f.nodes[3].lies = true
	blockersAfter(f, p, 200)
	if l := f.doc.Blockers; f.doc.Phase != PhaseProve || len(l) != 1 || l[0].Node != "w3" {
		t.Fatalf("a boasting node: %s, %+v", f.doc.Phase, l)
	}
	f.nodes[3].start(true)
	f.nodes[3].lies = false
	for f.doc.Phase != PhaseDrop && f.now < 2000 {
		blockersAfter(f, p, 1)
	}
	f.nodes[5].start(true) // it is replaced right after the barrier: old weights alone
	if l := blockersAfter(f, p, 2); f.doc.Phase != PhaseDrop || len(l) == 0 {
		t.Fatalf("%s %+v", f.doc.Phase, l)
	}
	for f.doc.Active() && f.now < 3000 {
		if _, both := f.nodes[5].holds["old"]; both && f.nodes[5].loading != "" {
			for _, n := range f.doc.Dropping {
				if n == "w5" {
					t.Fatal("a node that isn't caught up is reported to drop the old base")
				}
			}
		}
		blockersAfter(f, p, 1)
	}
	if f.doc.State != StateDone || len(f.faults) > 0 {
		t.Fatalf("%s %s %+v %v", f.doc.State, f.doc.Phase, f.doc.Blockers, f.faults)
	}
}

// The abort line: where more attempts fail than it allows, it goes back before the barrier and stops after it.
func TestAbortLine(t *testing.T) {
	f, p := calmFleet(t), NewPlanner()
	r := newPlan()
	if err := r.ApplyVerb("start"); err != nil {
		t.Fatal(err)
	}
	w := Observation{Config: f.config(), WorkersListed: true, Nodes: []Node{{Name: "w"}}, Succeeded: 70, Failed: 30}
	if x, _, ch := p.Next(r, w); !ch || x.State != StateAborting || x.Phase != PhaseRevertDrain || !strings.Contains(x.Reason, "30 of 100 attempts failed") {
		t.Errorf("%+v", x)
	}
	r.transition(StateRunning, PhaseMove, "")
	if x, _, _ := p.Next(r, w); x.State != StateAborting || x.Phase != PhaseRevertRoutes {
		t.Errorf("%+v", x)
	}
	r.transition(StateRunning, PhaseDrop, "")
	if x, _, _ := p.Next(r, w); x.State != StatePaused || x.Phase != PhaseDrop {
		t.Errorf("%+v", x)
	}
	w.Succeeded, w.Failed = 99, 1
	w.WorkersListed = false
	r.transition(StateRunning, PhaseProve, "")
	if x, acts, _ := p.Next(r, w); len(acts) > 0 || len(x.Blockers) != 1 || x.Blockers[0].Node != "platform" {
		t.Errorf("without the platform's list: %+v %v", x, acts)
	}
	w.WorkersListed, w.Nodes = true, nil
	if x, acts, _ := p.Next(r, w); len(acts) > 0 || len(x.Blockers) != 1 {
		t.Errorf("without a node: %+v %v", x, acts)
	}
}

// While nothing is retired a worker that came back empty, or with what was retired long ago, gets what
// the configuration names; a service without adapters is left alone.
func TestRepair(t *testing.T) {
	s, err := serviceconfig.Decode(first)
	if err != nil {
		t.Fatal(err)
	}
	full := contract.LoadedModel{Model: "old", Weights: 3, Adapters: map[string]uint64{"rare": 1, "fare": 4}}
	nodes := []Node{{Name: "a", Reachable: true, Loaded: []contract.LoadedModel{full}}, {Name: "b", Reachable: true, Incarnation: "b/2"},
		{Name: "c", Reachable: true, Loaded: []contract.LoadedModel{{Model: "old", Weights: 3, Adapters: map[string]uint64{"rare": 1}}}}, {Name: "d"}, {Name: "e", Reachable: true, Loading: "old"}}
	got := ""
	for _, x := range Repair(s, "s", nodes, []string{"old", "older"}) {
		got += fmt.Sprintf("%s %s%s@%d ", x.Node, x.Order.Model, x.Order.Adapter, x.Order.Build)
	}
	if got != "b old@0 c oldfare@4 " {
		t.Errorf("%q", got)
	}
	back := Node{Name: "f", Reachable: true, Loaded: []contract.LoadedModel{{Model: "older", Weights: 9}, full}}
	if l := Repair(s, "s", []Node{back}, []string{"older"}); len(l) != 1 || l[0].Order.Kind != "unload" || l[0].Order.Model != "older" {
		t.Errorf("what was retired came back: %+v", l)
	}
	back.Loaded = back.Loaded[:1]
	if l := Repair(s, "s", []Node{back}, []string{"older"}); len(l) != 1 || l[0].Order.Kind != "load" {
		t.Errorf("it has that alone: %+v", l)
	}
	s.Models["older"], s.Routes["older"] = serviceconfig.Model{Weights: 9}, serviceconfig.Route{Service: "s"}
	back.Loaded = append(back.Loaded, full)
	if l := Repair(s, "s", []Node{back}, []string{"older"}); len(l) != 0 {
		t.Errorf("a route leads there again: %+v", l)
	}
	s.Adapters = nil
	if l := Repair(s, "s", nodes, nil); l != nil {
		t.Errorf("%v", l)
	}
}

// A document reads back as it was written, and what it doesn't know is rejected.
func TestDocument(t *testing.T) {
	r := newPlan()
	r.RecordProof("w1", "incarnation", NewWeightSet(&serviceconfig.Config{}, "new", nil))
	b, err := r.Write()
	if err != nil {
		t.Fatal(err)
	}
	x, err := Read(b)
	c, _ := json.Marshal(x) // plain fields: can't fail
	if err != nil || string(b) != string(c) {
		t.Errorf("%s %v", c, err)
	}
	if _, err := Read([]byte(`{"pace":3}`)); errs.KindOf(err) != errs.BadInput {
		t.Errorf("%v", err)
	}
}
