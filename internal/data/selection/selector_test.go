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

const processStart = time.Hour

// testEdge is one edge machine's table with a clock moved by hand.
type testEdge struct {
	*table
	snapshot     *fleet.Snapshot
	now          time.Duration
	found        map[prefix.Key]*wire.LookupResult
	requestCount int
}

func newFleet(n int) *fleet.Snapshot {
	snapshot := &fleet.Snapshot{EdgeCount: 9, NamedVersions: map[string]uint64{}, NamedAt: map[string]time.Duration{}, Placements: map[string]*placement.Placement{},
		Plan: &routingconfig.Plan{Services: []routingconfig.Service{
			{Name: "llm", Engine: &routingconfig.Engine{Slots: 128, CapacityTokens: 300000, TokenBytes: 18432, LinkMbps: 370000, Models: []string{"m"}}},
			{Name: "app"},
			{Name: "store", Store: &routingconfig.Store{Addr: "store:1", Zone: "d0", LinkMbps: 150000}}}}}
	for i := range n {
		snapshot.Workers = append(snapshot.Workers, fleet.Worker{ID: fmt.Sprint("w", i), Service: "llm", Addr: fmt.Sprintf("w%d:1", i),
			Zone: fmt.Sprint("d", i%4), Slots: 128, Weights: map[string]uint64{"m": 1}})
	}
	return snapshot
}

func newEdge(snapshot *fleet.Snapshot) *testEdge {
	return &testEdge{table: newTable(settings.DefaultBounds(), processStart), snapshot: snapshot, now: processStart + time.Minute, found: map[prefix.Key]*wire.LookupResult{}}
}

var route = &routingconfig.Route{Kind: routingconfig.EventStream, LatencyTarget: 400 * time.Millisecond, Priority: 4, NamesPromptParts: true}

func (e *testEdge) newRequest(shared string, tokens int) *Request {
	e.requestCount++
	request := &Request{ID: fmt.Sprint("r", e.requestCount), Service: "llm", Route: route, Zone: "d0", Model: "m", PromptTokens: tokens + 1000}
	if shared != "" {
		request.Parts = append(request.Parts, PromptPart{shared, tokens})
	}
	request.Parts = append(request.Parts, PromptPart{fmt.Sprint("own", e.requestCount), 1000})
	return request
}

func (e *testEdge) mustSelect(t *testing.T, request *Request, tried ...string) Choice {
	t.Helper()
	triedWorkers := map[string]bool{}
	for _, id := range tried {
		triedWorkers[id] = true
	}
	choice, ok := e.selectWorker(e.snapshot, request, e.found, triedWorkers, e.now)
	if !ok {
		t.Fatal("none was selected")
	}
	return choice
}

// setHolders sets the index's holders of a part.
func (e *testEdge) setHolders(part string, certainty uint32, holders ...string) {
	found := &wire.LookupResult{Hotness: 1}
	for _, holder := range holders {
		found.Holders = append(found.Holders, &wire.Holder{Worker: holder, State: certainty})
	}
	e.found[promptindex.PartKey(CacheSalt("m", 1, nil), part)] = found
}

func (e *testEdge) serve(request *Request, choice Choice, firstEvent time.Duration) {
	e.recordSent(request, choice, e.now)
	e.now += firstEvent
	e.recordOutcome(request, choice, Completed, nil, firstEvent, e.now)
}

// homeOf is the worker that prefills a cold part.
func (e *testEdge) homeOf(t *testing.T, part string) string {
	return newEdge(e.snapshot).mustSelect(t, e.newRequest(part, 13000)).Worker.ID
}

func otherWorker(id string) string {
	if id == "w7" {
		return "w8"
	}
	return "w7"
}

// Edge machines that know nothing of each other send a cold part to one worker, from any zone.
func TestColdPartIsPrefilledAtOneWorker(t *testing.T) {
	snapshot := newFleet(18)
	seen := map[string]bool{}
	for p := range 40 {
		part, at := fmt.Sprint("p", p), ""
		for d := range 4 {
			edge := newEdge(snapshot)
			edge.requestCount = 100 * d
			request := edge.newRequest(part, 13000)
			request.Zone = fmt.Sprint("d", d)
			choice := edge.mustSelect(t, request)
			if at != "" && at != choice.Worker.ID {
				t.Errorf("%s: %s and %s", part, at, choice.Worker.ID)
			}
			at = choice.Worker.ID
		}
		seen[at] = true
	}
	if len(seen) < 12 {
		t.Errorf("40 parts on %d of 18 workers", len(seen))
	}
}

func TestHolderIsSelected(t *testing.T) {
	edge := newEdge(newFleet(18))
	holder := otherWorker(edge.homeOf(t, "p"))
	edge.setHolders("p", promptindex.Confirmed, holder)
	choice := edge.mustSelect(t, edge.newRequest("p", 13000))
	if choice.Worker.ID == holder && choice.Fetch != "" || choice.Worker.ID != holder && choice.Fetch != holder+":1" {
		t.Errorf("%s, fetching from %q; %s caches it", choice.Worker.ID, choice.Fetch, holder)
	}
	// A presumed part may not be cached yet: fetching it isn't worth the risk.
	edge.setHolders("p", promptindex.Presumed, holder)
	if choice = edge.mustSelect(t, edge.newRequest("p", 13000)); choice.Worker.ID != holder {
		t.Errorf("%s, though %s is prefilling it", choice.Worker.ID, holder)
	}
}

func TestLoadedHolderIsAvoided(t *testing.T) {
	edge := newEdge(newFleet(18))
	home := edge.homeOf(t, "p")
	edge.setHolders("p", promptindex.Confirmed, home)
	if choice := edge.mustSelect(t, edge.newRequest("p", 13000)); choice.Worker.ID != home || choice.Fetch != "" {
		t.Fatalf("no load: %s, %q", choice.Worker.ID, choice.Fetch)
	}
	for _, worker := range edge.snapshot.Workers {
		load := Load{Running: 10, Slots: 128}
		if worker.ID == home {
			load = Load{Running: 128, Waiting: 200, Slots: 128}
		}
		loaded := edge.layoutFor(edge.snapshot).groups["llm"].candidates[edge.layout.groups["llm"].index[worker.ID]]
		edge.recordLoad(loaded.stats, &load, edge.now)
	}
	choice := edge.mustSelect(t, edge.newRequest("p", 13000))
	if choice.Worker.ID == home || choice.Fetch != home+":1" {
		t.Errorf("loaded: %s, fetching from %q", choice.Worker.ID, choice.Fetch)
	}
	edge.now += edge.bounds.Heal(1) // an old report has decayed
	if choice := edge.mustSelect(t, edge.newRequest("p", 13000)); choice.Worker.ID != home {
		t.Errorf("later: %s", choice.Worker.ID)
	}
}

func TestSourceInZoneIsPreferredAndStoreComesLast(t *testing.T) {
	edge := newEdge(newFleet(18))
	home := edge.homeOf(t, "p")
	i := edge.layoutFor(edge.snapshot).groups["llm"].index[home]
	near, far := "", ""
	for j, w := range edge.snapshot.Workers {
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
	for _, test := range cases {
		edge.setHolders("p", promptindex.Confirmed, test.holders...)
		tried := map[string]bool{}
		for _, id := range append(test.holders, far, near) {
			tried[id] = true
		}
		choice, _ := edge.selectWorker(edge.snapshot, edge.newRequest("p", 13000), edge.found, tried, edge.now)
		if choice.Worker.ID != home || choice.Fetch != test.want {
			t.Errorf("%v: %s fetches from %q, want %s from %q", test.holders, choice.Worker.ID, choice.Fetch, home, test.want)
		}
	}
	edge.found[promptindex.StoreHealthKey("store")] = &wire.LookupResult{}
	if choice := edge.mustSelect(t, edge.newRequest("p", 13000)); choice.Fetch != "" || choice.Save != "" {
		t.Errorf("the store is down: fetch %q save %q", choice.Fetch, choice.Save)
	}
	edge.found[promptindex.StoreHealthKey("store")] = &wire.LookupResult{Holders: []*wire.Holder{{Worker: "store"}}}
	if choice := edge.mustSelect(t, edge.newRequest("p", 13000)); choice.Fetch != "store:1" {
		t.Errorf("the store is back: fetch %q", choice.Fetch)
	}
}

// A worker's transfers run one after another: the next one comes from elsewhere.
func TestSourceWithBusyLinkIsAvoided(t *testing.T) {
	edge := newEdge(newFleet(4))
	home := edge.homeOf(t, "p")
	edge.setHolders("p", promptindex.Confirmed, otherWorker("w9"), "w0", "w1", "w2", "w3")
	group := edge.layoutFor(edge.snapshot).groups["llm"]
	s := &scorer{table: edge.table, snapshot: edge.snapshot, request: edge.newRequest("p", 13000), group: group, versions: group.versionsOf("m"), stats: edge.services["llm"], model: "m", found: edge.found, now: edge.now, usable: []int{group.index[home]}}
	s.selectBest()
	prompt := s.newPromptState(1)
	clear(edge.presumedParts)
	first := s.bestSource(group.index[home], prompt, 0)
	if first.source == nil {
		t.Fatal("no source")
	}
	first.source.stats.linkBusyUntil = edge.now + time.Second
	if second := s.bestSource(group.index[home], prompt, 0); second.source == nil || second.source == first.source {
		t.Errorf("fetches from %v again", second.source)
	}
}

func TestSharedPartsAreSavedOnceAndOwnOnesNever(t *testing.T) {
	edge := newEdge(newFleet(18))
	request := edge.newRequest("p", 13000)
	choice := edge.mustSelect(t, request)
	if choice.Save != "store:1" {
		t.Fatalf("a cold shared part: save %q", choice.Save)
	}
	edge.serve(request, choice, 100*time.Millisecond)
	if choice = edge.mustSelect(t, edge.newRequest("p", 13000)); choice.Save != "" {
		t.Error("saved twice")
	}
	if choice = edge.mustSelect(t, edge.newRequest("", 0)); choice.Save != "" || choice.Fetch != "" {
		t.Errorf("a part that isn't shared: save %q fetch %q", choice.Save, choice.Fetch)
	}
	edge.setHolders("q", promptindex.Confirmed, "store")
	if choice = edge.mustSelect(t, edge.newRequest("q", 13000)); choice.Save != "" {
		t.Error("saved though the index knows that the store has it")
	}
	// A last part that is repeated is a session's: then it is worth saving.
	first := edge.newRequest("", 0)
	edge.serve(first, edge.mustSelect(t, first), 50*time.Millisecond)
	repeated := edge.newRequest("", 0)
	repeated.Parts[0].ID = first.Parts[0].ID
	if choice := edge.mustSelect(t, repeated); choice.Save != "store:1" {
		t.Errorf("a session's part: save %q", choice.Save)
	}
	// An attempt that wasn't executed saved nothing.
	rejected := edge.newRequest("z", 13000)
	choice = edge.mustSelect(t, rejected)
	edge.recordSent(rejected, choice, edge.now)
	edge.recordOutcome(rejected, choice, NoFreeSlot, nil, 0, edge.now)
	if choice = edge.mustSelect(t, edge.newRequest("z", 13000)); choice.Save == "" {
		t.Error("a rejected attempt counts as saved")
	}
}

func TestDrainingTriedAndUnlistedAreNeverSelected(t *testing.T) {
	snapshot := newFleet(4)
	snapshot.Workers[0].Draining = true
	edge := newEdge(snapshot)
	edge.setHolders("p", promptindex.Confirmed, "w0", "gone")
	for range 20 {
		choice := edge.mustSelect(t, edge.newRequest("p", 13000), "w1")
		if choice.Worker.ID == "w0" || choice.Worker.ID == "w1" {
			t.Fatalf("selected %s", choice.Worker.ID)
		}
		if choice.Fetch != "w0:1" {
			t.Errorf("a draining worker is still a source: fetch %q", choice.Fetch)
		}
	}
	if _, ok := edge.selectWorker(snapshot, edge.newRequest("p", 100), nil, map[string]bool{"w1": true, "w2": true, "w3": true}, edge.now); ok {
		t.Error("selected though all were tried or are draining")
	}
	if _, ok := edge.selectWorker(snapshot, &Request{ID: "x", Service: "none", Route: route}, nil, nil, edge.now); ok {
		t.Error("selected for a service that isn't there")
	}
}

func TestServicesWithoutPromptCacheSelectTheLessLoaded(t *testing.T) {
	snapshot := newFleet(0)
	for i := range 8 {
		snapshot.Workers = append(snapshot.Workers, fleet.Worker{ID: fmt.Sprint("a", i), Service: "app", Addr: fmt.Sprint("a", i), Zone: fmt.Sprint("d", i%2), Slots: 2})
	}
	edge := newEdge(snapshot)
	snapshot.EdgeCount = 1
	byZone := map[string]int{}
	for i := range 12 {
		request := &Request{ID: fmt.Sprint("x", i), Service: "app", Route: route, Zone: "d0"}
		choice := edge.mustSelect(t, request)
		if choice.Salt+choice.Fetch+choice.Save != "" || choice.Urgency != -1 || choice.Weights != 0 {
			t.Fatalf("%+v", choice)
		}
		edge.recordSent(request, choice, edge.now)
		byZone[choice.Worker.Zone]++
		if i < 2 && choice.Worker.Zone != "d0" {
			t.Errorf("request %d goes to %s", i, choice.Worker.Zone)
		}
	}
	if byZone["d0"] < 4 || byZone["d1"] == 0 {
		t.Errorf("by zone: %v", byZone)
	}
}

// A part that this edge machine sent lately needs no lookup.
func TestLookupOnlyForUnknownParts(t *testing.T) {
	edge := newEdge(newFleet(6))
	lookupCount := func(request *Request) int { return len(edge.table.lookupKeys(edge.snapshot, request, edge.now)) }
	if lookupCount(edge.newRequest("", 0)) != 0 {
		t.Error("looked up a prompt that shares nothing")
	}
	request := edge.newRequest("p", 1000)
	if lookupCount(request) != 3 { // both parts, and whether the store responds
		t.Errorf("looked up %d keys", lookupCount(request))
	}
	edge.serve(request, edge.mustSelect(t, request), 50*time.Millisecond)
	if n := lookupCount(edge.newRequest("p", 1000)); n != 0 {
		t.Errorf("looked up %d keys of a part that was just prefilled", n)
	}
	edge.now += edge.bounds.Heal(recordTuning.lookupRatio)
	if lookupCount(edge.newRequest("p", 1000)) == 0 {
		t.Error("relies on an old record")
	}
	if lookupCount(&Request{ID: "x", Service: "app", Route: route, Parts: request.Parts}) != 0 {
		t.Error("looked up for a service without a prompt cache")
	}
}
