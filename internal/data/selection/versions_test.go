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

func TestWeightsAreThoseOfTheWorker(t *testing.T) {
	edge := newEdge(newFleet(6))
	for i := range edge.snapshot.Workers {
		edge.snapshot.Workers[i].Weights = map[string]uint64{"m": uint64(1 + i%2)}
	}
	for range 30 {
		choice := edge.mustSelect(t, edge.newRequest("p"+fmt.Sprint(edge.requestCount), 1000))
		if choice.Weights != choice.Worker.Weights["m"] || !strings.HasPrefix(choice.Salt, fmt.Sprint(choice.Weights, ".")) {
			t.Fatalf("choice has weights version %d and cache salt %q, want version %d, which the selected worker serves, and a salt with this version as prefix", choice.Weights, choice.Salt, choice.Worker.Weights["m"])
		}
	}
}

// countOlder selects workers for 60 requests and returns how many of them serve weights older than version 2.
func (e *testEdge) countOlder() (count int) {
	for range 60 {
		if choice, ok := e.selectWorker(e.snapshot, e.newRequest("p"+fmt.Sprint(e.requestCount), 1000), nil, nil, e.now); ok && choice.Weights < 2 {
			count++
		}
	}
	return count
}

// upgrade replaces the edge machine's snapshot by a copy of snapshot in which the given number of workers serve
// version 2 of the weights.
func (e *testEdge) upgrade(snapshot *fleet.Snapshot, workers int) {
	upgraded := *snapshot
	upgraded.Workers = append([]fleet.Worker(nil), snapshot.Workers...)
	for i := range workers {
		upgraded.Workers[i].Weights = map[string]uint64{"m": 2}
	}
	e.snapshot = &upgraded
}

// Workers on older weights are selected until 0.85 of the rollout time limit has passed since newer weights
// became the target version; then only workers on the newer weights are.
func TestOlderWeightsEndWithinTheirBound(t *testing.T) {
	snapshot := newFleet(9)
	snapshot.TargetVersions["m"], snapshot.TargetSetAt["m"] = 2, processStart+time.Minute
	edge := newEdge(snapshot)
	if n := edge.countOlder(); n != 60 {
		t.Errorf("no worker serves weights version 2: %d of 60 requests assigned to older weights, want 60", n)
	}
	if edge.upgrade(snapshot, 6); edge.countOlder() > 30 {
		t.Errorf("6 of 9 workers serve weights version 2: %d of 60 requests assigned to older weights, want at most 30", edge.countOlder())
	}
	edge.now = snapshot.TargetSetAt["m"] + edge.bounds.Weights(0.84)
	if edge.upgrade(snapshot, 1); edge.countOlder() == 0 {
		t.Error("1 of 9 workers serves weights version 2, which became the target version 0.84 of the rollout time limit ago, less than the 0.85 after which older weights are excluded: 0 of 60 requests assigned to older weights, want some")
	}
	edge.now = snapshot.TargetSetAt["m"] + edge.bounds.Weights(0.86)
	if n := edge.countOlder(); n != 0 {
		t.Errorf("1 of 9 workers serves weights version 2, which became the target version 0.86 of the rollout time limit ago, more than the 0.85 after which older weights are excluded: %d of 60 requests assigned to older weights, want 0", n)
	}
	edge.upgrade(snapshot, 0)
	if _, ok := edge.selectWorker(edge.snapshot, edge.newRequest("p", 1000), nil, nil, edge.now); ok {
		t.Error("all workers serve older weights than version 2, which became the target version 0.86 of the rollout time limit ago, more than the 0.85 after which older weights are excluded: a worker was selected, want none")
	}
}

// A process that has just started doesn't know how long ago the newest weights version became the
// target version, so it doesn't know how much of the rollout time limit has passed.
func TestNewProcessBoundsOlderWeights(t *testing.T) {
	snapshot := newFleet(9)
	snapshot.TargetVersions["m"], snapshot.TargetSetAt["m"] = 2, processStart
	edge := newEdge(snapshot)
	edge.now = processStart + time.Second
	if edge.upgrade(snapshot, 1); edge.countOlder() != 0 {
		t.Error("process started 1 s ago and can't know how long ago weights version 2 became the target version, and a worker serves that version: requests assigned to older weights, want none")
	}
	// Until the process counts as in contact with the control state, the rollout time limit doesn't apply.
	edge.rolloutLimitAppliesFrom = processStart + 2*time.Second
	if edge.upgrade(snapshot, 1); edge.countOlder() == 0 {
		t.Error("process started 1 s ago, the rollout time limit applies only from 2 s after its start: 0 of 60 requests assigned to older weights, want some")
	}
	edge.now = edge.rolloutLimitAppliesFrom
	if edge.upgrade(snapshot, 1); edge.countOlder() != 0 {
		t.Error("process started 2 s ago, the rollout time limit applies from this time on, and a worker serves the newest weights version, 2: requests assigned to older weights, want none")
	}
	// Package agent, which supplies the snapshot, assumes that half of the rollout time limit had passed before
	// the process started. Until 0.85 of the limit has, older weights are allowed if no worker serves newer
	// ones.
	snapshot.TargetSetAt["m"] = processStart - edge.bounds.Weights(0.5)
	edge.upgrade(snapshot, 0)
	for ratio, want := range map[float64]bool{0.01: true, 0.34: true, 0.36: false} {
		edge.now = processStart + edge.bounds.Weights(ratio)
		if _, ok := edge.selectWorker(edge.snapshot, edge.newRequest("p", 1000), nil, nil, edge.now); ok != want {
			t.Errorf("weights version 2, which no worker serves, became the target version 0.5 of the rollout time limit before the process started, and older weights are excluded after 0.85 of it; %v of the limit after the start: selected a worker: %t, want %t", ratio, ok, want)
		}
	}
}

func TestCordonedAndNotReadyWorkersAreAvoided(t *testing.T) {
	snapshot := newFleet(4)
	snapshot.TargetVersions["m"], snapshot.TargetSetAt["m"] = 2, processStart+time.Minute
	snapshot.Placements["llm"] = &placement.Placement{Cordoned: []string{"w0", "w1"}}
	edge := newEdge(snapshot)
	selected := func() map[string]int {
		byWorker := map[string]int{}
		for range 40 {
			byWorker[edge.mustSelect(t, edge.newRequest("p"+fmt.Sprint(edge.requestCount), 1000)).Worker.ID]++
		}
		return byWorker
	}
	if byWorker := selected(); byWorker["w0"]+byWorker["w1"] != 0 {
		t.Errorf("number of selections by worker: %v, want none of w0 and w1, which are cordoned", byWorker)
	}
	request := edge.newRequest("p", 1000)
	choice := edge.mustSelect(t, request, "w0", "w1", "w2")
	if choice.Worker.ID != "w3" {
		t.Fatalf("workers w0, w1 and w2 tried before: selected %s, want w3", choice.Worker.ID)
	}
	edge.recordSent(request, choice, edge.now)
	edge.recordOutcome(request, choice, NotReady, nil, 0, edge.now)
	if byWorker := selected(); byWorker["w3"] != 0 {
		t.Errorf("number of selections by worker: %v, want none of w3, which rejected an attempt as not ready", byWorker)
	}
	if choice := edge.mustSelect(t, request, "w2", "w3"); choice.Worker.ID != "w0" && choice.Worker.ID != "w1" {
		t.Errorf("all workers but the cordoned w0 and w1 tried before: selected %s, want w0 or w1", choice.Worker.ID)
	}
	changed := *snapshot
	changed.Workers = append([]fleet.Worker(nil), snapshot.Workers...)
	changed.Workers[3].Weights = map[string]uint64{"m": 2}
	changed.Placements = nil
	edge.snapshot = &changed
	if choice := edge.mustSelect(t, edge.newRequest("p", 1000), "w0", "w1", "w2"); choice.Worker.ID != "w3" || choice.Weights != 2 {
		t.Errorf("worker w3 serves weights version 2, after it rejected an attempt for version 1: selected %s on version %d, want w3 on version 2", choice.Worker.ID, choice.Weights)
	}
	edge.snapshot = snapshot
	edge.now += edge.bounds.Recovery(avoidanceTuning.notReadyRatio)
	if byWorker := selected(); byWorker["w3"] == 0 {
		t.Errorf("after the time for which w3 is avoided as not ready: number of selections by worker: %v, want some of w3", byWorker)
	}
}

// Cache salts differ if the isolated tenants, shared domains, models or weights versions differ, whatever characters
// the names contain.
func TestCacheSaltsOfTenantsModelsAndVersionsDiffer(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	names := []string{"", ".", "a", "a.b", "a.", ".a", "1", "1.a", "b c", "a\x00", "ñ", "%2E", "1.1.a", "a/b", "+"}
	type domain struct {
		model, name string
		version     uint64
	}
	seen := map[string]domain{}
	check := func(w domain, cacheDomain string) {
		s := CacheSalt(w.model, w.version, cacheDomain)
		if old, ok := seen[s]; ok && old != w {
			t.Fatalf("cache salt %q belongs to both %+v and %+v, want distinct salts", s, old, w)
		}
		seen[s] = w
		if strings.ContainsAny(s, "\x00 \r\n") {
			t.Fatalf("cache salt %q contains a space, line break or NUL, want a valid HTTP header value", s)
		}
	}
	for range 20000 {
		m, n, v := names[random.IntN(len(names))], names[random.IntN(len(names))], uint64(random.IntN(13))
		if random.IntN(4) == 0 {
			m += names[random.IntN(len(names))]
		}
		isolated := &routingconfig.Plan{Tenants: []routingconfig.Tenant{{Name: n, Isolated: true}, {Name: n + "x"}}}
		isolated.BuildIndex()
		check(domain{m, "tenant " + n, v}, isolated.CacheDomain(&isolated.Tenants[0]))
		check(domain{m, "tenant " + n, v}, routingconfig.PrivateCacheDomain(&isolated.Tenants[0]))
		check(domain{m, "tenant " + n + "y", v}, isolated.CacheDomain(&routingconfig.Tenant{Name: n + "y"}))
		check(domain{m, "without a tenant", v}, routingconfig.PrivateCacheDomain(nil))
		for _, id := range []string{"", n + "7-1f", "v" + n} {
			isolated.SharedDomain = id
			check(domain{m, "shared " + id, v}, isolated.CacheDomain(&isolated.Tenants[1]))
			check(domain{m, "shared " + id, v}, isolated.CacheDomain(nil))
		}
	}
}

// An isolated tenant never gets cached prompt parts of other tenants, whatever the prompt index and the edge
// machine's records list.
func TestIsolatedTenantsShareNothing(t *testing.T) {
	edge := newEdge(newFleet(6))
	edge.setHolders("p", promptindex.Confirmed, "w1", "w2", "store")
	isolated := &routingconfig.Tenant{Name: "a", Isolated: true, Priority: -1}
	request := edge.newRequest("p", 13000)
	edge.serve(request, edge.mustSelect(t, request), 10*time.Millisecond)
	request = edge.newRequest("p", 13000)
	request.Tenant = isolated
	choice := edge.mustSelect(t, request)
	if choice.Fetch != "" && choice.Fetch != "store:1" || choice.Salt == CacheSalt("m", 1, "") || choice.Save == "" {
		t.Errorf("request of an isolated tenant: choice %+v, want fetch address store:1 or none, a salt that other tenants don't use, and a save address", choice)
	}
	for _, selected := range edge.table.selected.current {
		for _, key := range selected.keys {
			if edge.found[key] != nil {
				t.Errorf("attempt of an isolated tenant uses prompt index key %x, under which parts of other tenants are cached", key)
			}
		}
	}
	// If the control state has a target version of the model but no worker reports which version it serves, requests
	// share no cached parts.
	snapshot := newFleet(3)
	for i := range snapshot.Workers {
		snapshot.Workers[i].Weights = nil
	}
	snapshot.TargetVersions["m"] = 1
	edge = newEdge(snapshot)
	if first, second := edge.mustSelect(t, edge.newRequest("p", 100)), edge.mustSelect(t, edge.newRequest("p", 100)); first.Salt == second.Salt {
		t.Errorf("no worker reports its weights version: two requests have the same cache salt %q, want distinct salts", first.Salt)
	}
}

func TestUrgency(t *testing.T) {
	for _, test := range []struct{ route, tenant, want int }{{4, -1, 4}, {4, 0, 0}, {0, 7, 7}, {12, -1, 9}, {-3, -1, 0}} {
		request := &Request{Route: &routingconfig.Route{Priority: test.route}, Tenant: &routingconfig.Tenant{Priority: test.tenant}}
		if got := urgency(request); got != test.want {
			t.Errorf("request with route priority %d and tenant priority %d: got urgency %d, want %d", test.route, test.tenant, got, test.want)
		}
	}
	if urgency(&Request{Route: &routingconfig.Route{Priority: 3}}) != 3 {
		t.Errorf("request without a tenant to a route of priority 3: got urgency %d, want 3", urgency(&Request{Route: &routingconfig.Route{Priority: 3}}))
	}
}

// Within a priority of the routing plan, shorter prompts get a higher priority level at the worker. No prompt
// gets a higher level than one of a higher priority, however many priorities the plan has. Level 0 is the
// highest.
func TestShorterPromptComesFirstWithinItsPriority(t *testing.T) {
	for _, lowest := range []int{0, 1, 2, 4, 9, 20} {
		snapshot := newFleet(18)
		snapshot.Plan.Routes = []routingconfig.Route{{Priority: lowest}}
		edge := newEdge(snapshot)
		last := -1
		for priority := range min(lowest, 9) + 1 {
			for i, tokens := range []int{500, 5000, 30000} {
				request := edge.newRequest(fmt.Sprint("p", priority, i), tokens)
				prioritized := *route
				prioritized.Priority, request.Route, request.PromptTokens = priority, &prioritized, tokens
				level := edge.mustSelect(t, request).Urgency
				if level < last || level > 9 || i == 0 && level <= last || lowest < 3 && level <= last {
					t.Errorf("routing plan with %d priorities: prompt of %d tokens and priority %d got urgency %d, and the shorter or more urgent one before it urgency %d; want rising urgencies up to 9", lowest+1, tokens, priority, level, last)
				}
				last = level
			}
		}
	}
}

// Version 2 of the weights becomes the target version in the control state, and version 3 before the rollout time
// limit of version 2 has passed. This doesn't extend the limit of version 2: once 0.85 of it has passed, no request
// starts on version 1. Requests may start on version 2 until 0.85 of the limit of version 3 has passed.
func TestNamedAgainBeforeTheBoundIsOver(t *testing.T) {
	// newFleet returns workers that serve version 1 of the weights; one of them is changed to version 2 below.
	snapshot := newFleet(4)
	first, second := processStart+time.Minute, processStart+time.Minute+settings.DefaultBounds().Weights(0.6)
	snapshot.TargetVersions["m"], snapshot.TargetSetAt["m"] = 3, second
	snapshot.EarlierVersions = map[string][]fleet.TargetVersion{"m": {{Version: 2, At: first}}}
	snapshot.Workers = append([]fleet.Worker(nil), snapshot.Workers...)
	snapshot.Workers[0].Weights = map[string]uint64{"m": 2}
	edge := newEdge(snapshot)
	countByVersion := func() map[uint64]int {
		counts := map[uint64]int{}
		for range 60 {
			if choice, ok := edge.selectWorker(edge.snapshot, edge.newRequest("p"+fmt.Sprint(edge.requestCount), 1000), nil, nil, edge.now); ok {
				counts[choice.Weights]++
			}
		}
		return counts
	}
	edge.now = first + edge.bounds.Weights(0.84)
	if counts := countByVersion(); counts[1] == 0 {
		t.Errorf("weights version 2 became the target version 0.84 of the rollout time limit ago, less than the 0.85 after which version 1 is excluded: number of requests by version: %v, want some on version 1", counts)
	}
	edge.now = first + edge.bounds.Weights(0.86)
	if counts := countByVersion(); counts[1] != 0 || counts[2] == 0 {
		t.Errorf("weights version 2 became the target version 0.86 of the rollout time limit ago, more than the 0.85 after which version 1 is excluded, and version 3 became the target version later, less than 0.85 ago: number of requests by version: %v, want none on version 1 and some on version 2", counts)
	}
	edge.now = second + edge.bounds.Weights(0.86)
	if counts := countByVersion(); len(counts) != 0 {
		t.Errorf("weights version 3 became the target version 0.86 of the rollout time limit ago, more than the 0.85 after which versions 1 and 2 are excluded: number of requests by version: %v, want no requests", counts)
	}
}
