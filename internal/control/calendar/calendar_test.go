package calendar

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	jsonpatch "github.com/evanphx/json-patch/v5"

	"pebbleloom/internal/control/serviceconfig"
	"pebbleloom/internal/errs"
)

// testSite is the world that entries are paced in: a setup with its version and tokens, and
// workers that follow it.
type testSite struct {
	body     []byte
	version  uint64
	tokens   map[string]bool
	applied  []string
	workers  []Worker
	clock    time.Duration
	wall     time.Time
	failed   float64
	restarts int
}

func newTestSite() *testSite {
	t := &testSite{version: 1, tokens: map[string]bool{}, wall: time.Unix(1e9, 0)}
	t.body = []byte(`{"models":{"m":{"weights":1}},"services":{"s":{"model":"m"},"s2":{"model":"m"}},"ways":{"m":{"service":"s"}}}`)
	for i := range 6 {
		t.workers = append(t.workers, Worker{Name: fmt.Sprint("w", i), Incarnation: "life-0", Weights: 1, AcceptsRequests: true, Reachable: true})
	}
	return t
}

func (t *testSite) observe(tb testing.TB) Observation {
	tb.Helper()
	s, err := serviceconfig.Decode(t.body)
	if err != nil {
		tb.Fatal(err)
	}
	return Observation{WallTime: t.wall, Now: t.clock, ConfigVersion: t.version, Config: s, Workers: slices.Clone(t.workers), Succeeded: 100 - t.failed, Failed: t.failed}
}

// apply is the setup's part: onto the version, once a token.
func (t *testSite) apply(tb testing.TB, m Action, version uint64) bool {
	tb.Helper()
	if t.tokens[m.Token] {
		return true
	}
	if version != t.version {
		return false
	}
	b, err := jsonpatch.MergePatch(t.body, m.Patch)
	if err != nil {
		tb.Fatal(err)
	}
	t.body, t.version, t.tokens[m.Token] = b, t.version+1, true
	t.applied = append(t.applied, string(m.Patch))
	return true
}

// advance lets the workers follow the setup: drained ones are replaced in time.
func (t *testSite) advance(tb testing.TB) {
	w := t.observe(tb)
	for i := range t.workers {
		x := &t.workers[i]
		x.AcceptsRequests = !w.Config.Draining[x.Name]
		if !x.AcceptsRequests && x.Incarnation == "life-0" {
			t.restarts++
			x.Incarnation = fmt.Sprint("life-", t.restarts)
		}
		if x.Weights < w.Config.Models["m"].Weights {
			x.Weights = w.Config.Models["m"].Weights
		}
	}
	t.clock += time.Second
	t.wall = t.wall.Add(time.Second)
}

func newEntry(e Entry) *Entry {
	e.Name, e.Service, e.State = "e", "s", StatePlanned
	return &e
}

func expectedPatches(e *Entry) []string {
	switch e.Kind {
	case KindWeights:
		return []string{`{"models":{"m":{"weights":2}}}`}
	case KindHandover:
		return []string{`{"ways":{"m":{"next":"s2","service":"s","share":25}}}`, `{"ways":{"m":{"next":null,"service":"s2","share":null}}}`}
	}
	var l []string
	for i := 0; i < 6; i += 2 {
		l = append(l, fmt.Sprintf(`{"drains":{"w%d":true,"w%d":true}}`, i, i+1), fmt.Sprintf(`{"drains":{"w%d":null,"w%d":null}}`, i, i+1))
	}
	return l
}

var entriesByKind = []*Entry{
	newEntry(Entry{Kind: KindWeights, Model: "m", Weights: 2}),
	newEntry(Entry{Kind: KindRelease, BatchSize: 2, MinUpRatio: 0.5}),
	newEntry(Entry{Kind: KindHandover, Model: "m", ToService: "s2", Percents: []int{25, 100}, SoakS: 3}),
}

// Holders die between any two effects: after the entry was written, after the move was
// made and before it was written as done, with answers lost and stale holders that come
// late. Every step is made once and in order, and none is skipped.
func TestEveryStepRunsOnceDespiteHolderCrashes(t *testing.T) {
	for _, kind := range entriesByKind {
		for seed := range uint64(300) {
			r := rand.New(rand.NewPCG(seed, 3))
			tb, doc, version := newTestSite(), kind, 0
			holders := []*Planner{NewPlanner(), NewPlanner()}
			for range 400 {
				if doc.State == StateDone {
					break
				}
				at := r.IntN(2)
				read, readVersion, w := doc, version, tb.observe(t)
				w.EntryVersion = uint64(version)
				if r.IntN(4) == 0 { // it stalls: the other one steps meanwhile
					w2 := tb.observe(t)
					w2.EntryVersion = uint64(version)
					n, m, ch := holders[1-at].Next(doc, w2)
					if m.Patch != nil && tb.apply(t, m, w2.ConfigVersion) {
						n, ch = RecordAction(doc), true
					}
					if ch {
						doc, version = n, version+1
					}
				}
				n, m, ch := holders[at].Next(read, w)
				if m.Patch != nil {
					if !tb.apply(t, m, w.ConfigVersion) || r.IntN(5) == 0 { // refused, or it dies before it writes
						holders[at] = NewPlanner()
						tb.advance(t)
						continue
					}
					n, ch = RecordAction(read), true
				}
				if ch && readVersion == version && r.IntN(5) > 0 { // compare and set; or it dies before
					doc, version = n, version+1
				}
				tb.advance(t)
			}
			if doc.State != StateDone {
				t.Fatalf("%s, seed %d: %s at step %d, %s", kind.Kind, seed, doc.State, doc.CurrentStep, doc.Reason)
			}
			if got, want := strings.Join(tb.applied, "\n"), strings.Join(expectedPatches(kind), "\n"); got != want {
				t.Fatalf("%s, seed %d: moves\n%s\nwant\n%s", kind.Kind, seed, got, want)
			}
		}
	}
}

// A planted fault: tokens that aren't kept. The check above must see moves made twice.
func TestDuplicatedActionsAreDetected(t *testing.T) {
	tb, e, p := newTestSite(), entriesByKind[0], NewPlanner()
	for range 10 {
		w := tb.observe(t)
		n, m, ch := p.Next(e, w)
		if m.Patch != nil {
			clear(tb.tokens)
			tb.apply(t, m, w.ConfigVersion) // and it dies before it writes
			continue
		}
		if ch {
			e = n
		}
	}
	if len(tb.applied) < 2 {
		t.Errorf("moves %v", tb.applied)
	}
}

func advanceEntry(t *testing.T, tb *testSite, p *Planner, e *Entry, n int) *Entry {
	t.Helper()
	for range n {
		w := tb.observe(t)
		x, m, ch := p.Next(e, w)
		if m.Patch != nil && tb.apply(t, m, w.ConfigVersion) {
			x, ch = RecordAction(e), true
		}
		if ch {
			e = x
		}
		tb.advance(t)
	}
	return e
}

// The time has come when the median says so; a clock that can't be told, or goes back
// after it began, changes nothing.
func TestStartWaitsForMajorityClock(t *testing.T) {
	tb, p := newTestSite(), NewPlanner()
	e := newEntry(Entry{Kind: KindWeights, Model: "m", Weights: 2, NotBefore: time.Unix(1e9+100, 0).UTC().Format(time.RFC3339)})
	if e = advanceEntry(t, tb, p, e, 50); e.State != StatePlanned {
		t.Fatalf("began before its time: %s", e.State)
	}
	keep := tb.wall
	tb.wall = time.Time{}
	if x, _, ch := p.Next(e, tb.observe(t)); ch || x.State != StatePlanned {
		t.Fatal("began though no majority told the time")
	}
	tb.wall = keep.Add(51 * time.Second)
	if e = advanceEntry(t, tb, p, e, 1); e.State != StateRunning {
		t.Fatalf("its time has come, yet it is %s", e.State)
	}
	tb.wall = tb.wall.Add(-time.Hour)
	if e = advanceEntry(t, tb, p, e, 20); e.State != StateDone || len(tb.applied) != 1 {
		t.Fatalf("the clock went back: %s, moves %v", e.State, tb.applied)
	}
}

func TestPauseStopUndo(t *testing.T) {
	tb, p := newTestSite(), NewPlanner()
	e := advanceEntry(t, tb, p, entriesByKind[2], 4)
	if e.State != StateRunning {
		t.Fatalf("%+v", e)
	}
	tb.failed = 30
	if e = advanceEntry(t, tb, p, e, 1); e.State != StatePaused || !strings.Contains(e.Reason, "30 of 100") {
		t.Fatalf("30 of 100 goes fail: %s %s", e.State, e.Reason)
	}
	n := len(tb.applied)
	if e = advanceEntry(t, tb, p, e, 20); len(tb.applied) != n {
		t.Fatal("moved while paused")
	}
	if err := e.ApplyVerb("undo"); err != nil {
		t.Fatal(err)
	}
	if e = advanceEntry(t, tb, p, e, 3); e.State != StateUndone || tb.observe(t).Config.Routes["m"] != (serviceconfig.Route{Service: "s"}) {
		t.Fatalf("undone: %s, way %+v", e.State, tb.observe(t).Config.Routes["m"])
	}
	tb = newTestSite()
	e = advanceEntry(t, tb, p, entriesByKind[1], 3)
	if err := e.ApplyVerb("undo"); err != nil {
		t.Fatal(err)
	}
	if e = advanceEntry(t, tb, p, e, 3); e.State != StateUndone || len(tb.observe(t).Config.Draining) > 0 {
		t.Fatalf("undone: %s, drains %v", e.State, tb.observe(t).Config.Draining)
	}
	if err := e.ApplyVerb("resume"); errs.KindOf(err) != errs.Conflict {
		t.Errorf("resumed after it was undone: %v", err)
	}
}

// A release waits for capacity rather than take out more than it may.
func TestReleaseKeepsCapacity(t *testing.T) {
	tb, p := newTestSite(), NewPlanner()
	for i := range 3 {
		tb.workers[i].AcceptsRequests = false
	}
	e := newEntry(Entry{Kind: KindRelease, BatchSize: 2, MinUpRatio: 0.5, Workers: []string{"w4", "w5"}})
	for range 5 {
		x, m, ch := p.Next(e, tb.observe(t))
		if m.Patch != nil {
			t.Fatalf("drained %s with three of six up", m.Patch)
		}
		if ch {
			e = x
		}
	}
	if !strings.Contains(e.Reason, "capacity") {
		t.Errorf("%+v", e)
	}
}

func TestConflictNamesBothEntries(t *testing.T) {
	a, b := newEntry(Entry{Kind: KindRelease}), newEntry(Entry{Kind: KindWeights, Model: "m", Weights: 3})
	b.Name = "other"
	err := a.CheckConflicts([]*Entry{b})
	if err == nil || !strings.Contains(err.Error(), `"e"`) || !strings.Contains(err.Error(), `"other"`) {
		t.Errorf("%v", err)
	}
	if b.State = StateDone; a.CheckConflicts([]*Entry{b}) != nil {
		t.Error("clashes with one that is over")
	}
	var f errs.Batch
	(&Entry{Kind: "x", MaxFailureRatio: 2, NotBefore: "noon"}).Validate(&f)
	if n := len(f.Lines()); n != 5 {
		t.Errorf("%d faults: %v", n, f.Lines())
	}
	raw, err := json.Marshal(a)
	if err != nil {
		t.Fatal(err)
	}
	if x, err := Decode(raw); err != nil || x.Kind != KindRelease {
		t.Errorf("%v %v", x, err)
	}
}

// A step that a new holder makes again, on a later version of the configuration, bears the same token;
// a later entry of the same name bears another, or its moves would count as made.
func TestStepTokenIsStableAcrossHolders(t *testing.T) {
	e := newEntry(Entry{Kind: KindRelease, BatchSize: 2, Workers: []string{"w0", "w1"}})
	tokens := map[string]string{}
	for _, x := range []struct {
		holder                string
		entryVersion, version uint64
	}{{"first", 3, 7}, {"second", 3, 9}, {"of a later entry", 30, 9}} {
		p, tb := NewPlanner(), newTestSite()
		w := tb.observe(t)
		begun, _, _ := p.Next(e, w)
		doing, _, _ := p.Next(begun, w)
		w.EntryVersion, w.ConfigVersion = x.entryVersion, x.version
		_, move, _ := NewPlanner().Next(doing, w)
		if tokens[x.holder] = move.Token; move.Patch == nil || move.Token == "" {
			t.Fatalf("%s: no move: %+v", x.holder, doing)
		}
	}
	if tokens["first"] != tokens["second"] || tokens["first"] == tokens["of a later entry"] {
		t.Errorf("tokens %v", tokens)
	}
}
