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

// processStart is the start of the simulated process, as a time of its clock.
const processStart = time.Hour

// provenUntil is an instant, after those of all tests, up to which the plan is proved to be the newest.
const provenUntil = 1000 * time.Hour

// testEdge is the selection table of one edge machine, with a clock that advances manually.
type testEdge struct {
	*table
	snapshot     *fleet.Snapshot
	now          time.Duration
	found        map[prefix.Key]*wire.LookupResult
	requestCount int
}

func newFleet(n int) *fleet.Snapshot {
	snapshot := &fleet.Snapshot{EdgeCount: 9, ProofAt: provenUntil, TargetVersions: map[string]uint64{}, TargetSetAt: map[string]time.Duration{}, Placements: map[string]*placement.Placement{},
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

var route = &routingconfig.Route{Kind: routingconfig.EventStream, LatencyTarget: 400 * time.Millisecond, Priority: 4, CarriesPromptPartIDs: true}

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
		t.Fatalf("no worker selected for request %s, want one", request.ID)
	}
	return choice
}

// setHolders sets the workers and stores that the prompt index lists as holders of a part in its response.
// certainty is promptindex.Presumed or promptindex.Confirmed.
func (e *testEdge) setHolders(part string, certainty uint32, holders ...string) {
	found := &wire.LookupResult{Hotness: 1}
	for _, holder := range holders {
		found.Holders = append(found.Holders, &wire.Holder{Worker: holder, State: certainty})
	}
	e.found[promptindex.PartKey(CacheSalt("m", 1, ""), part)] = found
}

func (e *testEdge) serve(request *Request, choice Choice, firstEvent time.Duration) {
	e.recordSent(request, choice, e.now)
	e.now += firstEvent
	e.recordOutcome(request, choice, Completed, nil, firstEvent, e.now)
}

// homeOf returns the part's home worker: the one that is selected to prefill it while no worker caches it.
func (e *testEdge) homeOf(t *testing.T, part string) string {
	return newEdge(e.snapshot).mustSelect(t, e.newRequest(part, 13000)).Worker.ID
}

func otherWorker(id string) string {
	if id == "w7" {
		return "w8"
	}
	return "w7"
}

// Edge machines that share no information send a prompt part that no worker caches to the same worker, whatever
// zone they are in.
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
				t.Errorf("part %s, which no worker caches: edge machines selected %s and %s, want the same worker", part, at, choice.Worker.ID)
			}
			at = choice.Worker.ID
		}
		seen[at] = true
	}
	if len(seen) < 12 {
		t.Errorf("40 requests with different parts were sent to %d of 18 workers, want at least 12", len(seen))
	}
}

func TestHolderIsSelected(t *testing.T) {
	edge := newEdge(newFleet(18))
	holder := otherWorker(edge.homeOf(t, "p"))
	edge.setHolders("p", promptindex.Confirmed, holder)
	choice := edge.mustSelect(t, edge.newRequest("p", 13000))
	if choice.Worker.ID == holder && choice.Fetch != "" || choice.Worker.ID != holder && choice.Fetch != holder+":1" {
		t.Errorf("part that one worker caches: selected %s, fetching from %q; want the worker that caches it, %s, or a fetch from it", choice.Worker.ID, choice.Fetch, holder)
	}
	// A worker that is only presumed to cache the part may lack it, so fetching from it isn't worth the risk.
	edge.setHolders("p", promptindex.Presumed, holder)
	if choice = edge.mustSelect(t, edge.newRequest("p", 13000)); choice.Worker.ID != holder {
		t.Errorf("part that one worker is presumed to cache: selected %s, want that worker, %s", choice.Worker.ID, holder)
	}
}

func TestLoadedHolderIsAvoided(t *testing.T) {
	edge := newEdge(newFleet(18))
	home := edge.homeOf(t, "p")
	edge.setHolders("p", promptindex.Confirmed, home)
	if choice := edge.mustSelect(t, edge.newRequest("p", 13000)); choice.Worker.ID != home || choice.Fetch != "" {
		t.Fatalf("all workers idle: selected %s, fetching from %q; want %s, which caches the part, without a fetch", choice.Worker.ID, choice.Fetch, home)
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
		t.Errorf("worker %s, which caches the part, is overloaded: selected %s, fetching from %q; want another worker, fetching from %q", home, choice.Worker.ID, choice.Fetch, home+":1")
	}
	// Advance the clock until the workers' load reports have decayed.
	edge.now += edge.bounds.Recovery(1)
	if choice := edge.mustSelect(t, edge.newRequest("p", 13000)); choice.Worker.ID != home {
		t.Errorf("after the workers' load reports decayed: selected %s, want %s, which caches the part", choice.Worker.ID, home)
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
			t.Errorf("part cached by %v: selected %s, fetching from %q; want %s, fetching from %q", test.holders, choice.Worker.ID, choice.Fetch, home, test.want)
		}
	}
	edge.found[promptindex.StoreHealthKey("store")] = &wire.LookupResult{}
	if choice := edge.mustSelect(t, edge.newRequest("p", 13000)); choice.Fetch != "" || choice.Save != "" {
		t.Errorf("the only store of the fleet is unavailable: choice has fetch address %q and save address %q, want neither", choice.Fetch, choice.Save)
	}
	edge.found[promptindex.StoreHealthKey("store")] = &wire.LookupResult{Holders: []*wire.Holder{{Worker: "store"}}}
	if choice := edge.mustSelect(t, edge.newRequest("p", 13000)); choice.Fetch != "store:1" {
		t.Errorf("the only store of the fleet is available again after it was unavailable: choice has fetch address %q, want store:1", choice.Fetch)
	}
}

// Transfers over the network link of a worker run one after another, so parts are fetched from another source
// if the link of the best one is busy.
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
		t.Fatal("part that several workers cache: no source found, want one")
	}
	first.source.stats.linkBusyUntil = edge.now + time.Second
	if second := s.bestSource(group.index[home], prompt, 0); second.source == nil || second.source == first.source {
		t.Errorf("network link of the best source became busy: best source is now %+v, want another one", second.source)
	}
}

func TestSharedPartsAreSavedOnceAndOwnOnesNever(t *testing.T) {
	edge := newEdge(newFleet(18))
	request := edge.newRequest("p", 13000)
	choice := edge.mustSelect(t, request)
	if choice.Save != "store:1" {
		t.Fatalf("shared part that neither a worker nor the store caches: choice has save address %q, want store:1", choice.Save)
	}
	edge.serve(request, choice, 100*time.Millisecond)
	if choice = edge.mustSelect(t, edge.newRequest("p", 13000)); choice.Save != "" {
		t.Errorf("shared part that was just saved to the store: choice has save address %q, want none", choice.Save)
	}
	if choice = edge.mustSelect(t, edge.newRequest("", 0)); choice.Save != "" || choice.Fetch != "" {
		t.Errorf("prompt without shared parts: choice has save address %q and fetch address %q, want neither", choice.Save, choice.Fetch)
	}
	edge.setHolders("q", promptindex.Confirmed, "store")
	if choice = edge.mustSelect(t, edge.newRequest("q", 13000)); choice.Save != "" {
		t.Errorf("prompt index lists the part as cached by the store: choice has save address %q, want none", choice.Save)
	}
	// The last part of a prompt is shared if a second request repeats it, so it is worth saving to the store.
	first := edge.newRequest("", 0)
	edge.serve(first, edge.mustSelect(t, first), 50*time.Millisecond)
	repeated := edge.newRequest("", 0)
	repeated.Parts[0].ID = first.Parts[0].ID
	if choice := edge.mustSelect(t, repeated); choice.Save != "store:1" {
		t.Errorf("last part of a prompt, which a second request repeats: choice has save address %q, want store:1", choice.Save)
	}
	// An attempt that the worker rejected without executing it saved no parts to the store.
	rejected := edge.newRequest("z", 13000)
	choice = edge.mustSelect(t, rejected)
	edge.recordSent(rejected, choice, edge.now)
	edge.recordOutcome(rejected, choice, NoFreeSlot, nil, 0, edge.now)
	if choice = edge.mustSelect(t, edge.newRequest("z", 13000)); choice.Save == "" {
		t.Error("after an attempt that should save a part was rejected: next choice has no save address, want store:1")
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
			t.Fatalf("worker w0 draining, w1 tried before: selected %s, want w2 or w3", choice.Worker.ID)
		}
		if choice.Fetch != "w0:1" {
			t.Errorf("draining worker w0 caches the part: choice has fetch address %q, want w0:1", choice.Fetch)
		}
	}
	if _, ok := edge.selectWorker(snapshot, edge.newRequest("p", 100), nil, map[string]bool{"w1": true, "w2": true, "w3": true}, edge.now); ok {
		t.Error("each worker is draining or was tried before: a worker was selected, want none")
	}
	if _, ok := edge.selectWorker(snapshot, &Request{ID: "x", Service: "none", Route: route}, nil, nil, edge.now); ok {
		t.Error("request to a service that the routing plan doesn't list: a worker was selected, want none")
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
			t.Fatalf("service without a prompt cache: choice %+v, want no salt, no fetch and save addresses, weights version 0 and urgency -1", choice)
		}
		edge.recordSent(request, choice, edge.now)
		byZone[choice.Worker.Zone]++
		if i < 2 && choice.Worker.Zone != "d0" {
			t.Errorf("request %d, from zone d0 with free slots: selected a worker in zone %s, want d0", i, choice.Worker.Zone)
		}
	}
	if byZone["d0"] < 4 || byZone["d1"] == 0 {
		t.Errorf("12 requests from zone d0: number of selections by the worker's zone is %v, want at least 4 in d0 and some in d1", byZone)
	}
}

// A prompt part that this edge machine sent to a worker recently needs no lookup in the prompt index.
func TestLookupOnlyForUnknownParts(t *testing.T) {
	edge := newEdge(newFleet(6))
	lookupCount := func(request *Request) int { return len(edge.table.lookupKeys(edge.snapshot, request, edge.now)) }
	if lookupCount(edge.newRequest("", 0)) != 0 {
		t.Error("prompt without shared parts: prompt index keys to look up, want none")
	}
	request := edge.newRequest("p", 1000)
	// The expected keys to look up are those of both prompt parts, and the health key of the store.
	if lookupCount(request) != 3 {
		t.Errorf("prompt of two parts that were never sent: %d prompt index keys to look up, want 3: one for each part and the health key of the store", lookupCount(request))
	}
	edge.serve(request, edge.mustSelect(t, request), 50*time.Millisecond)
	if n := lookupCount(edge.newRequest("p", 1000)); n != 0 {
		t.Errorf("prompt whose shared part was just prefilled: %d prompt index keys to look up, want 0", n)
	}
	edge.now += edge.bounds.Recovery(recordTuning.lookupRatio)
	if lookupCount(edge.newRequest("p", 1000)) == 0 {
		t.Error("prompt whose shared part was last sent longer ago than recordTuning.lookupRatio allows: no prompt index keys to look up, want some")
	}
	if lookupCount(&Request{ID: "x", Service: "app", Route: route, Parts: request.Parts}) != 0 {
		t.Error("request to a service without a prompt cache: prompt index keys to look up, want none")
	}
}
