package selection

import (
	"fmt"
	"testing"
	"time"

	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/data/placement"
	"pebbleloom/internal/data/prefix"
	"pebbleloom/internal/data/promptindex"
	"pebbleloom/internal/fleet"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

const start = time.Hour

// edge is one edge machine's table with a clock moved by hand.
type edge struct {
	*table
	s     *fleet.Snapshot
	now   time.Duration
	found map[prefix.Key]*wire.LookupResult
	n     int
}

func fleetOf(n int) *fleet.Snapshot {
	s := &fleet.Snapshot{Edges: 9, Named: map[string]uint64{}, NamedAt: map[string]time.Duration{}, Placements: map[string]*placement.Placement{},
		Plan: &routingconfig.Plan{Services: []routingconfig.Service{
			{Name: "llm", Engine: &routingconfig.Engine{Slots: 128, CapacityTokens: 300000, TokenBytes: 18432, LinkMbps: 370000, Models: []string{"m"}}},
			{Name: "app"},
			{Name: "store", Store: &routingconfig.Store{Addr: "store:1", Zone: "d0", LinkMbps: 150000}}}}}
	for i := range n {
		s.Workers = append(s.Workers, fleet.Worker{ID: fmt.Sprint("w", i), Service: "llm", Addr: fmt.Sprintf("w%d:1", i),
			Zone: fmt.Sprint("d", i%4), Slots: 128, Weights: map[string]uint64{"m": 1}})
	}
	return s
}

func newEdge(s *fleet.Snapshot) *edge {
	return &edge{table: newTable(settings.DefaultBounds(), start), s: s, now: start + time.Minute, found: map[prefix.Key]*wire.LookupResult{}}
}

var route = &routingconfig.Route{Kind: routingconfig.EventStream, LatencyTarget: 400 * time.Millisecond, Priority: 4, NamesPromptParts: true}

func (e *edge) ask(shared string, tokens int) *Request {
	e.n++
	r := &Request{ID: fmt.Sprint("r", e.n), Service: "llm", Route: route, Zone: "d0", Model: "m", PromptTokens: tokens + 1000}
	if shared != "" {
		r.Parts = append(r.Parts, PromptPart{shared, tokens})
	}
	r.Parts = append(r.Parts, PromptPart{fmt.Sprint("own", e.n), 1000})
	return r
}

func (e *edge) must(t *testing.T, r *Request, tried ...string) Choice {
	t.Helper()
	m := map[string]bool{}
	for _, x := range tried {
		m[x] = true
	}
	c, ok := e.selectWorker(e.s, r, e.found, m, e.now)
	if !ok {
		t.Fatal("nobody was selected")
	}
	return c
}

// setHolders sets the index's holders of a part.
func (e *edge) setHolders(part string, state uint32, holders ...string) {
	f := &wire.LookupResult{Hotness: 1}
	for _, h := range holders {
		f.Holders = append(f.Holders, &wire.Holder{Worker: h, State: state})
	}
	e.found[promptindex.PartKey(CacheSalt("m", 1, nil), part)] = f
}

func (e *edge) serve(r *Request, c Choice, first time.Duration) {
	e.recordSent(r, c, e.now)
	e.now += first
	e.recordOutcome(r, c, Completed, nil, first, e.now)
}

// home is where a cold part is read.
func (e *edge) home(t *testing.T, part string) string {
	return newEdge(e.s).must(t, e.ask(part, 13000)).Worker.ID
}

func other(id string) string {
	if id == "w7" {
		return "w8"
	}
	return "w7"
}

// Several edges that know nothing of each other send a cold part to one worker, from any zone.
func TestAColdPartIsReadAtOnePlace(t *testing.T) {
	s := fleetOf(18)
	seen := map[string]bool{}
	for p := range 40 {
		part, at := fmt.Sprint("p", p), ""
		for d := range 4 {
			e := newEdge(s)
			e.n = 100 * d
			r := e.ask(part, 13000)
			r.Zone = fmt.Sprint("d", d)
			c := e.must(t, r)
			if at != "" && at != c.Worker.ID {
				t.Errorf("%s: %s and %s", part, at, c.Worker.ID)
			}
			at = c.Worker.ID
		}
		seen[at] = true
	}
	if len(seen) < 12 {
		t.Errorf("40 parts on %d of 18 workers", len(seen))
	}
}

func TestAHolderIsSelected(t *testing.T) {
	e := newEdge(fleetOf(18))
	h := other(e.home(t, "p"))
	e.setHolders("p", promptindex.Confirmed, h)
	c := e.must(t, e.ask("p", 13000))
	if c.Worker.ID == h && c.Fetch != "" || c.Worker.ID != h && c.Fetch != h+":1" {
		t.Errorf("%s, fetching from %q; %s keeps it", c.Worker.ID, c.Fetch, h)
	}
	// What is only presumed may not be there yet: it isn't worth the risk.
	e.setHolders("p", promptindex.Presumed, h)
	if c = e.must(t, e.ask("p", 13000)); c.Worker.ID != h {
		t.Errorf("%s, though %s is reading it", c.Worker.ID, h)
	}
}

func TestALoadedHolderIsSpared(t *testing.T) {
	e := newEdge(fleetOf(18))
	h := e.home(t, "p")
	e.setHolders("p", promptindex.Confirmed, h)
	if c := e.must(t, e.ask("p", 13000)); c.Worker.ID != h || c.Fetch != "" {
		t.Fatalf("calm: %s, %q", c.Worker.ID, c.Fetch)
	}
	for _, w := range e.s.Workers {
		l := Load{Running: 10, Slots: 128}
		if w.ID == h {
			l = Load{Running: 128, Waiting: 200, Slots: 128}
		}
		x := e.layoutFor(e.s).groups["llm"].candidates[e.layout.groups["llm"].index[w.ID]]
		e.recordLoad(x.stats, &l, e.now)
	}
	c := e.must(t, e.ask("p", 13000))
	if c.Worker.ID == h || c.Fetch != h+":1" {
		t.Errorf("loaded: %s, fetching from %q", c.Worker.ID, c.Fetch)
	}
	e.now += e.bounds.Heal(1) // an old word says nothing
	if c := e.must(t, e.ask("p", 13000)); c.Worker.ID != h {
		t.Errorf("later: %s", c.Worker.ID)
	}
}

func TestTheNearSourceIsTakenAndTheStoreLast(t *testing.T) {
	e := newEdge(fleetOf(18))
	h := e.home(t, "p")
	i := e.layoutFor(e.s).groups["llm"].index[h]
	near, far := "", ""
	for j, w := range e.s.Workers {
		switch {
		case j == i:
		case j%4 == i%4:
			near = w.ID
		case far == "":
			far = w.ID
		}
	}
	cases := []struct {
		holders []string
		want    string
	}{{[]string{far, near, "store"}, near + ":1"}, {[]string{"store"}, "store:1"}}
	for _, x := range cases {
		e.setHolders("p", promptindex.Confirmed, x.holders...)
		tried := map[string]bool{}
		for _, id := range append(x.holders, far, near) {
			tried[id] = true
		}
		c, _ := e.selectWorker(e.s, e.ask("p", 13000), e.found, tried, e.now)
		if c.Worker.ID != h || c.Fetch != x.want {
			t.Errorf("%v: %s fetches from %q, want %s from %q", x.holders, c.Worker.ID, c.Fetch, h, x.want)
		}
	}
	e.found[promptindex.StoreHealthKey("store")] = &wire.LookupResult{}
	if c := e.must(t, e.ask("p", 13000)); c.Fetch != "" || c.Save != "" {
		t.Errorf("the store is down: fetch %q save %q", c.Fetch, c.Save)
	}
	e.found[promptindex.StoreHealthKey("store")] = &wire.LookupResult{Holders: []*wire.Holder{{Worker: "store"}}}
	if c := e.must(t, e.ask("p", 13000)); c.Fetch != "store:1" {
		t.Errorf("the store is back: fetch %q", c.Fetch)
	}
}

// A worker's moves run one after another: the next comes from elsewhere.
func TestABusySourceIsSpared(t *testing.T) {
	e := newEdge(fleetOf(4))
	h := e.home(t, "p")
	e.setHolders("p", promptindex.Confirmed, other("w9"), "w0", "w1", "w2", "w3")
	g := e.layoutFor(e.s).groups["llm"]
	q := &scorer{table: e.table, snapshot: e.s, request: e.ask("p", 13000), group: g, versions: g.versionsOf("m"), stats: e.services["llm"], model: "m", found: e.found, now: e.now, usable: []int{g.index[h]}}
	q.selectBest()
	o := q.newPromptState(1)
	clear(e.presumedParts)
	first := q.bestSource(g.index[h], o, 0)
	if first.source == nil {
		t.Fatal("no source")
	}
	first.source.stats.linkBusyUntil = e.now + time.Second
	if second := q.bestSource(g.index[h], o, 0); second.source == nil || second.source == first.source {
		t.Errorf("again from %v", second.source)
	}
}

func TestSharedPartsAreSavedOnceAndOwnOnesNever(t *testing.T) {
	e := newEdge(fleetOf(18))
	r := e.ask("p", 13000)
	c := e.must(t, r)
	if c.Save != "store:1" {
		t.Fatalf("a cold shared part: save %q", c.Save)
	}
	e.serve(r, c, 100*time.Millisecond)
	if c = e.must(t, e.ask("p", 13000)); c.Save != "" {
		t.Error("saved twice")
	}
	if c = e.must(t, e.ask("", 0)); c.Save != "" || c.Fetch != "" {
		t.Errorf("an own part: save %q fetch %q", c.Save, c.Fetch)
	}
	e.setHolders("q", promptindex.Confirmed, "store")
	if c = e.must(t, e.ask("q", 13000)); c.Save != "" {
		t.Error("saved though the index knows that the store has it")
	}
	// What comes again is a session's: then it is worth keeping.
	a := e.ask("", 0)
	e.serve(a, e.must(t, a), 50*time.Millisecond)
	b := e.ask("", 0)
	b.Parts[0].ID = a.Parts[0].ID
	if c := e.must(t, b); c.Save != "store:1" {
		t.Errorf("a session's part: save %q", c.Save)
	}
	// An attempt that never ran saved nothing.
	f := e.ask("z", 13000)
	c = e.must(t, f)
	e.recordSent(f, c, e.now)
	e.recordOutcome(f, c, NoFreeSlot, nil, 0, e.now)
	if c = e.must(t, e.ask("z", 13000)); c.Save == "" {
		t.Error("a refused attempt counts as saved")
	}
}

func TestDrainingTriedAndUnlistedAreNeverSelected(t *testing.T) {
	s := fleetOf(4)
	s.Workers[0].Draining = true
	e := newEdge(s)
	e.setHolders("p", promptindex.Confirmed, "w0", "gone")
	for range 20 {
		c := e.must(t, e.ask("p", 13000), "w1")
		if c.Worker.ID == "w0" || c.Worker.ID == "w1" {
			t.Fatalf("selected %s", c.Worker.ID)
		}
		if c.Fetch != "w0:1" {
			t.Errorf("a draining worker still gives what it keeps: fetch %q", c.Fetch)
		}
	}
	if _, ok := e.selectWorker(s, e.ask("p", 100), nil, map[string]bool{"w1": true, "w2": true, "w3": true}, e.now); ok {
		t.Error("selected though all were tried or drain")
	}
	if _, ok := e.selectWorker(s, &Request{ID: "x", Service: "none", Route: route}, nil, nil, e.now); ok {
		t.Error("selected for a service that isn't there")
	}
}

func TestPlainServices(t *testing.T) {
	s := fleetOf(0)
	for i := range 8 {
		s.Workers = append(s.Workers, fleet.Worker{ID: fmt.Sprint("a", i), Service: "app", Addr: fmt.Sprint("a", i), Zone: fmt.Sprint("d", i%2), Slots: 2})
	}
	e := newEdge(s)
	s.Edges = 1
	at := map[string]int{}
	for i := range 12 {
		r := &Request{ID: fmt.Sprint("x", i), Service: "app", Route: route, Zone: "d0"}
		c := e.must(t, r)
		if c.Salt+c.Fetch+c.Save != "" || c.Urgency != -1 || c.Weights != 0 {
			t.Fatalf("%+v", c)
		}
		e.recordSent(r, c, e.now)
		at[c.Worker.Zone]++
		if i < 2 && c.Worker.Zone != "d0" {
			t.Errorf("request %d goes to %s", i, c.Worker.Zone)
		}
	}
	if at["d0"] < 4 || at["d1"] == 0 {
		t.Errorf("by zone: %v", at)
	}
}

// What this edge saw itself lately needs no call to the index.
func TestTheIndexIsAskedOnlyForWhatIsUnknown(t *testing.T) {
	e := newEdge(fleetOf(6))
	ask := func(r *Request) int { return len(e.table.lookupKeys(e.s, r, e.now)) }
	if ask(e.ask("", 0)) != 0 {
		t.Error("asked for a prompt that shares nothing")
	}
	r := e.ask("p", 1000)
	if ask(r) != 3 { // both parts, and whether the store answers
		t.Errorf("asked for %d keys", ask(r))
	}
	e.serve(r, e.must(t, r), 50*time.Millisecond)
	if n := ask(e.ask("p", 1000)); n != 0 {
		t.Errorf("asked for %d keys of a part that was just read", n)
	}
	e.now += e.bounds.Heal(recordTuning.lookupRatio)
	if ask(e.ask("p", 1000)) == 0 {
		t.Error("goes by old memory")
	}
	if ask(&Request{ID: "x", Service: "app", Route: route, Parts: r.Parts}) != 0 {
		t.Error("asked for a service that keeps nothing")
	}
}
