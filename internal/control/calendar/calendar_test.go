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

// table is the world that entries are paced in: a setup with its version and tokens, and
// workers that follow it.
type table struct {
	body     []byte
	version  uint64
	tokens   map[string]bool
	moves    []string
	ws       []Worker
	clock    time.Duration
	wall     time.Time
	bad      float64
	restarts int
}

func newTable() *table {
	t := &table{version: 1, tokens: map[string]bool{}, wall: time.Unix(1e9, 0)}
	t.body = []byte(`{"models":{"m":{"weights":1}},"services":{"s":{"model":"m"},"s2":{"model":"m"}},"ways":{"m":{"service":"s"}}}`)
	for i := range 6 {
		t.ws = append(t.ws, Worker{Name: fmt.Sprint("w", i), Incarnation: "life-0", Weights: 1, Up: true, Here: true})
	}
	return t
}

func (t *table) world(tb testing.TB) World {
	tb.Helper()
	s, err := serviceconfig.Read(t.body)
	if err != nil {
		tb.Fatal(err)
	}
	return World{Wall: t.wall, Clock: t.clock, Version: t.version, Config: s, Workers: slices.Clone(t.ws), Ok: 100 - t.bad, Bad: t.bad}
}

// move is the setup's part: onto the version, once a token.
func (t *table) move(tb testing.TB, m Move, version uint64) bool {
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
	t.moves = append(t.moves, string(m.Patch))
	return true
}

// live lets the workers follow the setup: drained ones are replaced in time.
func (t *table) live(tb testing.TB) {
	w := t.world(tb)
	for i := range t.ws {
		x := &t.ws[i]
		x.Up = !w.Config.Drains[x.Name]
		if !x.Up && x.Incarnation == "life-0" {
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

func entry(e Entry) *Entry {
	e.Name, e.Service, e.State = "e", "s", Planned
	return &e
}

func moves(e *Entry) []string {
	switch e.Kind {
	case Weights:
		return []string{`{"models":{"m":{"weights":2}}}`}
	case Handover:
		return []string{`{"ways":{"m":{"next":"s2","service":"s","share":25}}}`, `{"ways":{"m":{"next":null,"service":"s2","share":null}}}`}
	}
	var l []string
	for i := 0; i < 6; i += 2 {
		l = append(l, fmt.Sprintf(`{"drains":{"w%d":true,"w%d":true}}`, i, i+1), fmt.Sprintf(`{"drains":{"w%d":null,"w%d":null}}`, i, i+1))
	}
	return l
}

var kinds = []*Entry{
	entry(Entry{Kind: Weights, Model: "m", Weights: 2}),
	entry(Entry{Kind: Release, AtOnce: 2, Keep: 0.5}),
	entry(Entry{Kind: Handover, Model: "m", To: "s2", Shares: []int{25, 100}, SoakS: 3}),
}

// Holders die between any two effects: after the entry was written, after the move was
// made and before it was written as done, with answers lost and stale holders that come
// late. Every step is made once and in order, and none is skipped.
func TestHoldersDieBetweenAnyTwoEffects(t *testing.T) {
	for _, kind := range kinds {
		for seed := range uint64(300) {
			r := rand.New(rand.NewPCG(seed, 3))
			tb, doc, version := newTable(), kind, 0
			holders := []*Pacer{NewPacer(), NewPacer()}
			for range 400 {
				if doc.State == Done {
					break
				}
				at := r.IntN(2)
				read, readVersion, w := doc, version, tb.world(t)
				w.EntryVersion = uint64(version)
				if r.IntN(4) == 0 { // it stalls: the other one steps meanwhile
					w2 := tb.world(t)
					w2.EntryVersion = uint64(version)
					n, m, ch := holders[1-at].Next(doc, w2)
					if m.Patch != nil && tb.move(t, m, w2.Version) {
						n, ch = Acted(doc), true
					}
					if ch {
						doc, version = n, version+1
					}
				}
				n, m, ch := holders[at].Next(read, w)
				if m.Patch != nil {
					if !tb.move(t, m, w.Version) || r.IntN(5) == 0 { // refused, or it dies before it writes
						holders[at] = NewPacer()
						tb.live(t)
						continue
					}
					n, ch = Acted(read), true
				}
				if ch && readVersion == version && r.IntN(5) > 0 { // compare and set; or it dies before
					doc, version = n, version+1
				}
				tb.live(t)
			}
			if doc.State != Done {
				t.Fatalf("%s, seed %d: %s at step %d, %s", kind.Kind, seed, doc.State, doc.Step, doc.Why)
			}
			if got, want := strings.Join(tb.moves, "\n"), strings.Join(moves(kind), "\n"); got != want {
				t.Fatalf("%s, seed %d: moves\n%s\nwant\n%s", kind.Kind, seed, got, want)
			}
		}
	}
}

// A planted fault: tokens that aren't kept. The check above must see moves made twice.
func TestThatDoubledMovesAreSeen(t *testing.T) {
	tb, e, p := newTable(), kinds[0], NewPacer()
	for range 10 {
		w := tb.world(t)
		n, m, ch := p.Next(e, w)
		if m.Patch != nil {
			clear(tb.tokens)
			tb.move(t, m, w.Version) // and it dies before it writes
			continue
		}
		if ch {
			e = n
		}
	}
	if len(tb.moves) < 2 {
		t.Errorf("moves %v", tb.moves)
	}
}

func run(t *testing.T, tb *table, p *Pacer, e *Entry, n int) *Entry {
	t.Helper()
	for range n {
		w := tb.world(t)
		x, m, ch := p.Next(e, w)
		if m.Patch != nil && tb.move(t, m, w.Version) {
			x, ch = Acted(e), true
		}
		if ch {
			e = x
		}
		tb.live(t)
	}
	return e
}

// The time has come when the median says so; a clock that can't be told, or goes back
// after it began, changes nothing.
func TestClocks(t *testing.T) {
	tb, p := newTable(), NewPacer()
	e := entry(Entry{Kind: Weights, Model: "m", Weights: 2, At: time.Unix(1e9+100, 0).UTC().Format(time.RFC3339)})
	if e = run(t, tb, p, e, 50); e.State != Planned {
		t.Fatalf("began before its time: %s", e.State)
	}
	keep := tb.wall
	tb.wall = time.Time{}
	if x, _, ch := p.Next(e, tb.world(t)); ch || x.State != Planned {
		t.Fatal("began though no majority told the time")
	}
	tb.wall = keep.Add(51 * time.Second)
	if e = run(t, tb, p, e, 1); e.State != Running {
		t.Fatalf("its time has come, yet it is %s", e.State)
	}
	tb.wall = tb.wall.Add(-time.Hour)
	if e = run(t, tb, p, e, 20); e.State != Done || len(tb.moves) != 1 {
		t.Fatalf("the clock went back: %s, moves %v", e.State, tb.moves)
	}
}

func TestPauseStopUndo(t *testing.T) {
	tb, p := newTable(), NewPacer()
	e := run(t, tb, p, kinds[2], 4)
	if e.State != Running {
		t.Fatalf("%+v", e)
	}
	tb.bad = 30
	if e = run(t, tb, p, e, 1); e.State != Paused || !strings.Contains(e.Why, "30 of 100") {
		t.Fatalf("30 of 100 goes fail: %s %s", e.State, e.Why)
	}
	n := len(tb.moves)
	if e = run(t, tb, p, e, 20); len(tb.moves) != n {
		t.Fatal("moved while paused")
	}
	if err := e.Ask("undo"); err != nil {
		t.Fatal(err)
	}
	if e = run(t, tb, p, e, 3); e.State != Undone || tb.world(t).Config.Routes["m"] != (serviceconfig.Route{Service: "s"}) {
		t.Fatalf("undone: %s, way %+v", e.State, tb.world(t).Config.Routes["m"])
	}
	tb = newTable()
	e = run(t, tb, p, kinds[1], 3)
	if err := e.Ask("undo"); err != nil {
		t.Fatal(err)
	}
	if e = run(t, tb, p, e, 3); e.State != Undone || len(tb.world(t).Config.Drains) > 0 {
		t.Fatalf("undone: %s, drains %v", e.State, tb.world(t).Config.Drains)
	}
	if err := e.Ask("resume"); errs.KindOf(err) != errs.Conflict {
		t.Errorf("resumed after it was undone: %v", err)
	}
}

// A release waits for capacity rather than take out more than it may.
func TestReleaseKeepsCapacity(t *testing.T) {
	tb, p := newTable(), NewPacer()
	for i := range 3 {
		tb.ws[i].Up = false
	}
	e := entry(Entry{Kind: Release, AtOnce: 2, Keep: 0.5, Workers: []string{"w4", "w5"}})
	for range 5 {
		x, m, ch := p.Next(e, tb.world(t))
		if m.Patch != nil {
			t.Fatalf("drained %s with three of six up", m.Patch)
		}
		if ch {
			e = x
		}
	}
	if !strings.Contains(e.Why, "capacity") {
		t.Errorf("%+v", e)
	}
}

func TestClashesNameBoth(t *testing.T) {
	a, b := entry(Entry{Kind: Release}), entry(Entry{Kind: Weights, Model: "m", Weights: 3})
	b.Name = "other"
	err := a.Clash([]*Entry{b})
	if err == nil || !strings.Contains(err.Error(), `"e"`) || !strings.Contains(err.Error(), `"other"`) {
		t.Errorf("%v", err)
	}
	if b.State = Done; a.Clash([]*Entry{b}) != nil {
		t.Error("clashes with one that is over")
	}
	var f errs.Batch
	(&Entry{Kind: "x", StopAt: 2, At: "noon"}).Check(&f)
	if n := len(f.Lines()); n != 5 {
		t.Errorf("%d faults: %v", n, f.Lines())
	}
	raw, err := json.Marshal(a)
	if err != nil {
		t.Fatal(err)
	}
	if x, err := Read(raw); err != nil || x.Kind != Release {
		t.Errorf("%v %v", x, err)
	}
}

// A step that a new holder makes again, on a later version of the configuration, bears the same token;
// a later entry of the same name bears another, or its moves would count as made.
func TestTheTokenOfAStep(t *testing.T) {
	e := entry(Entry{Kind: Release, AtOnce: 2, Workers: []string{"w0", "w1"}})
	tokens := map[string]string{}
	for _, x := range []struct {
		holder                string
		entryVersion, version uint64
	}{{"first", 3, 7}, {"second", 3, 9}, {"of a later entry", 30, 9}} {
		p, tb := NewPacer(), newTable()
		w := tb.world(t)
		begun, _, _ := p.Next(e, w)
		doing, _, _ := p.Next(begun, w)
		w.EntryVersion, w.Version = x.entryVersion, x.version
		_, move, _ := NewPacer().Next(doing, w)
		if tokens[x.holder] = move.Token; move.Patch == nil || move.Token == "" {
			t.Fatalf("%s: no move: %+v", x.holder, doing)
		}
	}
	if tokens["first"] != tokens["second"] || tokens["first"] == tokens["of a later entry"] {
		t.Errorf("tokens %v", tokens)
	}
}
