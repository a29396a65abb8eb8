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
			t.Fatalf("weights %d and salt %q at a worker with %d", choice.Weights, choice.Salt, choice.Worker.Weights["m"])
		}
	}
}

// countOlder selects for 60 requests and counts those on older weights than version 2.
func (e *testEdge) countOlder() (count int) {
	for range 60 {
		if choice, ok := e.selectWorker(e.snapshot, e.newRequest("p"+fmt.Sprint(e.requestCount), 1000), nil, nil, e.now); ok && choice.Weights < 2 {
			count++
		}
	}
	return count
}

// upgrade gives the edge machine a copy of a snapshot in which some workers serve version 2.
func (e *testEdge) upgrade(snapshot *fleet.Snapshot, workers int) {
	upgraded := *snapshot
	upgraded.Workers = append([]fleet.Worker(nil), snapshot.Workers...)
	for i := range workers {
		upgraded.Workers[i].Weights = map[string]uint64{"m": 2}
	}
	e.snapshot = &upgraded
}

// Older weights are selected until a ratio of their bound; then only the newest are.
func TestOlderWeightsEndWithinTheirBound(t *testing.T) {
	snapshot := newFleet(9)
	snapshot.NamedVersions["m"], snapshot.NamedAt["m"] = 2, processStart+time.Minute
	edge := newEdge(snapshot)
	if n := edge.countOlder(); n != 60 {
		t.Errorf("no worker has the newest: %d of 60 on the old", n)
	}
	if edge.upgrade(snapshot, 6); edge.countOlder() > 30 {
		t.Errorf("most have the newest: %d of 60 on the old", edge.countOlder())
	}
	edge.now = snapshot.NamedAt["m"] + edge.bounds.Weights(0.84)
	if edge.upgrade(snapshot, 1); edge.countOlder() == 0 {
		t.Error("one has the newest: none on the old")
	}
	edge.now = snapshot.NamedAt["m"] + edge.bounds.Weights(0.86)
	if n := edge.countOlder(); n != 0 {
		t.Errorf("past the bound: %d of 60 on the old", n)
	}
	edge.upgrade(snapshot, 0)
	if _, ok := edge.selectWorker(edge.snapshot, edge.newRequest("p", 1000), nil, nil, edge.now); ok {
		t.Error("past the bound no worker has the newest, and one was selected")
	}
}

// A process that has just started doesn't know how long the bound has been running.
func TestNewProcessBoundsOlderWeights(t *testing.T) {
	snapshot := newFleet(9)
	snapshot.NamedVersions["m"], snapshot.NamedAt["m"] = 2, processStart
	edge := newEdge(snapshot)
	edge.now = processStart + time.Second
	if edge.upgrade(snapshot, 1); edge.countOlder() != 0 {
		t.Error("a young process selected older weights though the newest are there")
	}
	// While it isn't in contact, it selects by cost alone.
	edge.rolloutLimitAppliesFrom = processStart + 2*time.Second
	if edge.upgrade(snapshot, 1); edge.countOlder() == 0 {
		t.Error("a process that isn't in contact yet avoids older weights")
	}
	edge.now = edge.rolloutLimitAppliesFrom
	if edge.upgrade(snapshot, 1); edge.countOlder() != 0 {
		t.Error("in contact, it selected older weights though the newest are there")
	}
	// The agent counts half of the bound as elapsed: until the rest is, older ones are better than none.
	snapshot.NamedAt["m"] = processStart - edge.bounds.Weights(0.5)
	edge.upgrade(snapshot, 0)
	for part, want := range map[float64]bool{0.01: true, 0.34: true, 0.36: false} {
		edge.now = processStart + edge.bounds.Weights(part)
		if _, ok := edge.selectWorker(edge.snapshot, edge.newRequest("p", 1000), nil, nil, edge.now); ok != want {
			t.Errorf("no worker serves what was named before the start, %v of the bound later: selected %v", part, ok)
		}
	}
}

func TestCordonedAndNotReadyWorkersAreAvoided(t *testing.T) {
	snapshot := newFleet(4)
	snapshot.NamedVersions["m"], snapshot.NamedAt["m"] = 2, processStart+time.Minute
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
		t.Errorf("cordoned ones: %v", byWorker)
	}
	request := edge.newRequest("p", 1000)
	choice := edge.mustSelect(t, request, "w0", "w1", "w2")
	if choice.Worker.ID != "w3" {
		t.Fatalf("selected %s", choice.Worker.ID)
	}
	edge.recordSent(request, choice, edge.now)
	edge.recordOutcome(request, choice, NotReady, nil, 0, edge.now)
	if byWorker := selected(); byWorker["w3"] != 0 {
		t.Errorf("one that isn't ready: %v", byWorker)
	}
	if choice := edge.mustSelect(t, request, "w2", "w3"); choice.Worker.ID != "w0" && choice.Worker.ID != "w1" {
		t.Errorf("none but the cordoned are left, yet %s", choice.Worker.ID)
	}
	changed := *snapshot
	changed.Workers = append([]fleet.Worker(nil), snapshot.Workers...)
	changed.Workers[3].Weights = map[string]uint64{"m": 2}
	changed.Placements = nil
	edge.snapshot = &changed
	if choice := edge.mustSelect(t, edge.newRequest("p", 1000), "w0", "w1", "w2"); choice.Worker.ID != "w3" || choice.Weights != 2 {
		t.Errorf("its entry changed: %s on %d", choice.Worker.ID, choice.Weights)
	}
	edge.snapshot = snapshot
	edge.now += edge.bounds.Heal(avoidanceTuning.notReadyRatio)
	if byWorker := selected(); byWorker["w3"] == 0 {
		t.Errorf("the time to be avoided is over: %v", byWorker)
	}
}

// No two isolated tenants, models or versions share a salt, whatever their names.
func TestCacheSaltsOfTenantsModelsAndVersionsDiffer(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	names := []string{"", ".", "a", "a.b", "a.", ".a", "1", "1.a", "b c", "a\x00", "ñ", "%2E", "1.1.a", "a/b", "+"}
	type domain struct {
		model, name string
		version     uint64
	}
	seen := map[string]domain{}
	check := func(w domain, tenant *routingconfig.Tenant) {
		s := CacheSalt(w.model, w.version, tenant)
		if old, ok := seen[s]; ok && old != w {
			t.Fatalf("%q is the salt of %+v and %+v", s, old, w)
		}
		seen[s] = w
		if strings.ContainsAny(s, "\x00 \r\n") {
			t.Fatalf("%q isn't valid in a header", s)
		}
	}
	for range 20000 {
		m, n, v := names[random.IntN(len(names))], names[random.IntN(len(names))], uint64(random.IntN(13))
		if random.IntN(4) == 0 {
			m += names[random.IntN(len(names))]
		}
		check(domain{m, "isolated " + n, v}, &routingconfig.Tenant{Name: n, Isolated: true})
		check(domain{m, "", v}, &routingconfig.Tenant{Name: n})
		check(domain{m, "", v}, nil)
	}
}

// An isolated tenant never gets cached parts of others, whatever the index and this edge machine know.
func TestIsolatedTenantsShareNothing(t *testing.T) {
	edge := newEdge(newFleet(6))
	edge.setHolders("p", promptindex.Confirmed, "w1", "w2", "store")
	isolated := &routingconfig.Tenant{Name: "a", Isolated: true, Priority: -1}
	request := edge.newRequest("p", 13000)
	edge.serve(request, edge.mustSelect(t, request), 10*time.Millisecond)
	request = edge.newRequest("p", 13000)
	request.Tenant = isolated
	choice := edge.mustSelect(t, request)
	if choice.Fetch != "" && choice.Fetch != "store:1" || choice.Salt == CacheSalt("m", 1, nil) || choice.Save == "" {
		t.Errorf("an isolated tenant: %+v", choice)
	}
	for _, k := range edge.table.selected.current {
		for _, x := range k.keys {
			if edge.found[x] != nil {
				t.Error("looks up under another tenant's salt")
			}
		}
	}
	// Workers that don't report their version share nothing while versions are named.
	snapshot := newFleet(3)
	for i := range snapshot.Workers {
		snapshot.Workers[i].Weights = nil
	}
	snapshot.NamedVersions["m"] = 1
	edge = newEdge(snapshot)
	if x, y := edge.mustSelect(t, edge.newRequest("p", 100)), edge.mustSelect(t, edge.newRequest("p", 100)); x.Salt == y.Salt {
		t.Errorf("two requests share %q at workers of unknown version", x.Salt)
	}
}

func TestUrgency(t *testing.T) {
	for _, x := range []struct{ route, tenant, want int }{{4, -1, 4}, {4, 0, 0}, {0, 7, 7}, {12, -1, 9}, {-3, -1, 0}} {
		request := &Request{Route: &routingconfig.Route{Priority: x.route}, Tenant: &routingconfig.Tenant{Priority: x.tenant}}
		if got := urgency(request); got != x.want {
			t.Errorf("%+v: %d", x, got)
		}
	}
	if urgency(&Request{Route: &routingconfig.Route{Priority: 3}}) != 3 {
		t.Error("a public route")
	}
}

// Within a priority the shorter prompt goes first; none goes before one of a better priority, however many
// priorities the plan has.
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
					t.Errorf("%d priorities: %d tokens of priority %d get level %d after %d", lowest+1, tokens, priority, level, last)
				}
				last = level
			}
		}
	}
}

// Naming another version before a bound is over doesn't extend it: the version that was superseded first
// ends on time, and the one that only the newest supersedes has a bound of its own.
func TestNamedAgainBeforeTheBoundIsOver(t *testing.T) {
	snapshot := newFleet(4) // all of them have version 1
	first, second := processStart+time.Minute, processStart+time.Minute+settings.DefaultBounds().Weights(0.6)
	snapshot.NamedVersions["m"], snapshot.NamedAt["m"] = 3, second
	snapshot.EarlierVersions = map[string][]fleet.NamedVersion{"m": {{Version: 2, At: first}}}
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
		t.Errorf("inside the first bound: %v", counts)
	}
	edge.now = first + edge.bounds.Weights(0.86)
	if counts := countByVersion(); counts[1] != 0 || counts[2] == 0 {
		t.Errorf("past the first bound, inside the second: %v", counts)
	}
	edge.now = second + edge.bounds.Weights(0.86)
	if counts := countByVersion(); len(counts) != 0 {
		t.Errorf("past both: %v", counts)
	}
}
