package selection

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/data/placement"
	"pebbleloom/internal/data/promptindex"
	"pebbleloom/internal/fleet"
	"pebbleloom/internal/settings"
)

func TestWeightsAreThoseOfTheRow(t *testing.T) {
	e := newEdge(fleetOf(6))
	for i := range e.s.Workers {
		e.s.Workers[i].Weights = map[string]uint64{"m": uint64(1 + i%2)}
	}
	for range 30 {
		c := e.must(t, e.ask("p"+fmt.Sprint(e.n), 1000))
		if c.Weights != c.Worker.Weights["m"] || !strings.HasPrefix(c.Salt, fmt.Sprint(c.Weights, ".")) {
			t.Fatalf("weights %d and text %q at a worker with %d", c.Weights, c.Salt, c.Worker.Weights["m"])
		}
	}
}

// Older weights are selected until a ratio of their bound; with time all goes to the newest.
func TestOlderWeightsAreLeftInTime(t *testing.T) {
	s := fleetOf(9)
	s.Named["m"], s.NamedAt["m"] = 2, start+time.Minute
	e := newEdge(s)
	old := func() (n int) {
		for range 60 {
			if c, ok := e.selectWorker(e.s, e.ask("p"+fmt.Sprint(e.n), 1000), nil, nil, e.now); ok && c.Weights < 2 {
				n++
			}
		}
		return n
	}
	if n := old(); n != 60 {
		t.Errorf("nobody has the newest: %d of 60 on the old", n)
	}
	next := func(newest int) {
		c := *s
		c.Workers = append([]fleet.Worker(nil), s.Workers...)
		for i := range newest {
			c.Workers[i].Weights = map[string]uint64{"m": 2}
		}
		e.s = &c
	}
	if next(6); old() > 30 {
		t.Errorf("most have the newest: %d of 60 on the old", old())
	}
	e.now = s.NamedAt["m"] + e.bounds.Weights(0.84)
	if next(1); old() == 0 {
		t.Error("one has the newest: none on the old")
	}
	e.now = s.NamedAt["m"] + e.bounds.Weights(0.86)
	if n := old(); n != 0 {
		t.Errorf("past the bound: %d of 60 on the old", n)
	}
	next(0)
	if _, ok := e.selectWorker(e.s, e.ask("p", 1000), nil, nil, e.now); ok {
		t.Error("past the bound nobody has the newest, and one was selected")
	}
	// A process that began later doesn't know how long the bound has run.
	e = newEdge(s)
	e.now = start + time.Second
	s.NamedAt["m"] = start
	if next(1); old() != 0 {
		t.Error("a young process selected older weights though the newest are there")
	}
	// Not in touch yet, it selects by cost alone.
	e.unboundUntil = start + 2*time.Second
	if next(1); old() == 0 {
		t.Error("a process that isn't in touch yet keeps away from older weights")
	}
	e.now = e.unboundUntil
	if next(1); old() != 0 {
		t.Error("in touch, it selected older weights though the newest are there")
	}
	// The agent counts half of the bound as gone: until the rest is, older ones are better than none.
	s.NamedAt["m"] = start - e.bounds.Weights(0.5)
	next(0)
	for part, want := range map[float64]bool{0.01: true, 0.34: true, 0.36: false} {
		e.now = start + e.bounds.Weights(part)
		if _, ok := e.selectWorker(e.s, e.ask("p", 1000), nil, nil, e.now); ok != want {
			t.Errorf("nobody serves what was named before the start, %v of the bound later: selected %v", part, ok)
		}
	}
}

func TestRollingAndLoadingWorkersAreAvoided(t *testing.T) {
	s := fleetOf(4)
	s.Named["m"], s.NamedAt["m"] = 2, start+time.Minute
	s.Placements["llm"] = &placement.Placement{Cordoned: []string{"w0", "w1"}}
	e := newEdge(s)
	at := func() map[string]int {
		m := map[string]int{}
		for range 40 {
			m[e.must(t, e.ask("p"+fmt.Sprint(e.n), 1000)).Worker.ID]++
		}
		return m
	}
	if m := at(); m["w0"]+m["w1"] != 0 {
		t.Errorf("rolling ones: %v", m)
	}
	r := e.ask("p", 1000)
	c := e.must(t, r, "w0", "w1", "w2")
	if c.Worker.ID != "w3" {
		t.Fatalf("selected %s", c.Worker.ID)
	}
	e.recordSent(r, c, e.now)
	e.recordOutcome(r, c, NotReady, nil, 0, e.now)
	if m := at(); m["w3"] != 0 {
		t.Errorf("a loading one: %v", m)
	}
	if c := e.must(t, r, "w2", "w3"); c.Worker.ID != "w0" && c.Worker.ID != "w1" {
		t.Errorf("nobody else is left, yet %s", c.Worker.ID)
	}
	n := *s
	n.Workers = append([]fleet.Worker(nil), s.Workers...)
	n.Workers[3].Weights = map[string]uint64{"m": 2}
	n.Placements = nil
	e.s = &n
	if c := e.must(t, e.ask("p", 1000), "w0", "w1", "w2"); c.Worker.ID != "w3" || c.Weights != 2 {
		t.Errorf("its row changed: %s on %d", c.Worker.ID, c.Weights)
	}
	e.s = s
	e.now += e.bounds.Heal(avoidanceTuning.notReadyRatio)
	if m := at(); m["w3"] == 0 {
		t.Errorf("its row may lag no longer: %v", m)
	}
}

// No two of different walls, models or versions share a text, whatever they are called.
func TestTextsOfWallsModelsAndVersionsDiffer(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	names := []string{"", ".", "a", "a.b", "a.", ".a", "1", "1.a", "b c", "a\x00", "ñ", "%2E", "1.1.a", "a/b", "+"}
	type wall struct {
		model, name string
		version     uint64
	}
	seen := map[string]wall{}
	check := func(w wall, t0 *routingconfig.Tenant) {
		s := CacheSalt(w.model, w.version, t0)
		if old, ok := seen[s]; ok && old != w {
			t.Fatalf("%q is the text of %+v and %+v", s, old, w)
		}
		seen[s] = w
		if strings.ContainsAny(s, "\x00 \r\n") {
			t.Fatalf("%q can't stand in a header", s)
		}
	}
	for range 20000 {
		m, n, v := names[r.IntN(len(names))], names[r.IntN(len(names))], uint64(r.IntN(13))
		if r.IntN(4) == 0 {
			m += names[r.IntN(len(names))]
		}
		check(wall{m, "isolated " + n, v}, &routingconfig.Tenant{Name: n, Isolated: true})
		check(wall{m, "", v}, &routingconfig.Tenant{Name: n})
		check(wall{m, "", v}, nil)
	}
}

// Memory of one wall is never offered to another, whatever the index and this edge know.
func TestWallsAreNeverShared(t *testing.T) {
	e := newEdge(fleetOf(6))
	e.setHolders("p", promptindex.Confirmed, "w1", "w2", "store")
	a := &routingconfig.Tenant{Name: "a", Isolated: true, Priority: -1}
	r := e.ask("p", 13000)
	e.serve(r, e.must(t, r), 10*time.Millisecond)
	r = e.ask("p", 13000)
	r.Tenant = a
	c := e.must(t, r)
	if c.Fetch != "" && c.Fetch != "store:1" || c.Salt == CacheSalt("m", 1, nil) || c.Save == "" {
		t.Errorf("an isolated tenant: %+v", c)
	}
	for _, k := range e.table.selected.current {
		for _, x := range k.keys {
			if e.found[x] != nil {
				t.Error("looks under another wall's text")
			}
		}
	}
	// Workers that don't report their version share nothing while versions are named.
	s := fleetOf(3)
	for i := range s.Workers {
		s.Workers[i].Weights = nil
	}
	s.Named["m"] = 1
	e = newEdge(s)
	if x, y := e.must(t, e.ask("p", 100)), e.must(t, e.ask("p", 100)); x.Salt == y.Salt {
		t.Errorf("two requests share %q at workers of unknown version", x.Salt)
	}
}

func TestUrgency(t *testing.T) {
	for _, x := range []struct{ route, tenant, want int }{{4, -1, 4}, {4, 0, 0}, {0, 7, 7}, {12, -1, 9}, {-3, -1, 0}} {
		r := &Request{Route: &routingconfig.Route{Priority: x.route}, Tenant: &routingconfig.Tenant{Priority: x.tenant}}
		if got := urgency(r); got != x.want {
			t.Errorf("%+v: %d", x, got)
		}
	}
	if urgency(&Request{Route: &routingconfig.Route{Priority: 3}}) != 3 {
		t.Error("a public route")
	}
}

// Within a rank the shorter prompt goes first; none goes before one of a better rank, however many
// ranks the plan has.
func TestTheShorterPromptGoesFirstWithinItsRank(t *testing.T) {
	for _, top := range []int{0, 1, 2, 4, 9, 20} {
		s := fleetOf(18)
		s.Plan.Routes = []routingconfig.Route{{Priority: top}}
		e := newEdge(s)
		last := -1
		for rank := range min(top, 9) + 1 {
			for i, tokens := range []int{500, 5000, 30000} {
				r := e.ask(fmt.Sprint("p", rank, i), tokens)
				rt := *route
				rt.Priority, r.Route, r.PromptTokens = rank, &rt, tokens
				u := e.must(t, r).Urgency
				if u < last || u > 9 || i == 0 && u <= last || top < 3 && u <= last {
					t.Errorf("%d ranks: %d tokens of rank %d get %d after %d", top+1, tokens, rank, u, last)
				}
				last = u
			}
		}
	}
}

// Another version that is named before a bound is over doesn't lengthen it: what was superseded first
// is left on time, and what was superseded by the newest alone has its own bound.
func TestNamedAgainBeforeTheBoundIsOver(t *testing.T) {
	s := fleetOf(4) // all of them have version 1
	first, second := start+time.Minute, start+time.Minute+settings.DefaultBounds().Weights(0.6)
	s.Named["m"], s.NamedAt["m"] = 3, second
	s.Superseding = map[string][]fleet.NamedVersion{"m": {{Version: 2, At: first}}}
	s.Workers = append([]fleet.Worker(nil), s.Workers...)
	s.Workers[0].Weights = map[string]uint64{"m": 2}
	e := newEdge(s)
	versions := func() map[uint64]int {
		n := map[uint64]int{}
		for range 60 {
			if c, ok := e.selectWorker(e.s, e.ask("p"+fmt.Sprint(e.n), 1000), nil, nil, e.now); ok {
				n[c.Weights]++
			}
		}
		return n
	}
	e.now = first + e.bounds.Weights(0.84)
	if n := versions(); n[1] == 0 {
		t.Errorf("inside the first bound: %v", n)
	}
	e.now = first + e.bounds.Weights(0.86)
	if n := versions(); n[1] != 0 || n[2] == 0 {
		t.Errorf("past the first bound, inside the second: %v", n)
	}
	e.now = second + e.bounds.Weights(0.86)
	if n := versions(); len(n) != 0 {
		t.Errorf("past both: %v", n)
	}
}
