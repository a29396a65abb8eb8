package selection

import (
	"fmt"
	"testing"
	"time"

	"pebbleloom/internal/data/promptindex"
	"pebbleloom/internal/wire"
)

// A worker whose first events are late is backlogged, whatever load it reported last: others are selected,
// and fetch from it what it caches.
func TestWorkerWithLateFirstEventsIsAvoided(t *testing.T) {
	edge := newEdge(newFleet(18))
	home := edge.homeOf(t, "p")
	edge.setHolders("p", promptindex.Confirmed, home)
	request := edge.newRequest("p", 13000)
	choice := edge.mustSelect(t, request)
	if choice.Worker.ID != home {
		t.Fatalf("%s, not its home %s", choice.Worker.ID, home)
	}
	edge.recordSent(request, choice, edge.now)
	edge.now += 2 * route.LatencyTarget
	for range 10 {
		if choice := edge.mustSelect(t, edge.newRequest("p", 13000)); choice.Worker.ID == home || choice.Fetch != home+":1" {
			t.Fatalf("%s, fetching from %q, though %s is late", choice.Worker.ID, choice.Fetch, home)
		}
	}
	// Once it has come, its lateness still counts for a while.
	edge.recordFirstEvent(request, choice, &Load{Running: 2, Slots: 128}, 2*route.LatencyTarget, edge.now)
	if choice := edge.mustSelect(t, edge.newRequest("p", 13000)); choice.Worker.ID == home {
		t.Error("the lateness doesn't count after the first event")
	}
	edge.now += 8 * edge.bounds.Heal(loadTuning.decayRatio)
	if choice := edge.mustSelect(t, edge.newRequest("p", 13000)); choice.Worker.ID != home {
		t.Errorf("%s, though %s is free again", choice.Worker.ID, home)
	}
}

// The load that a worker reports counts from the attempt's first event on, not from its end.
func TestLoadCountsFromTheFirstEvent(t *testing.T) {
	edge := newEdge(newFleet(18))
	home := edge.homeOf(t, "p")
	edge.setHolders("p", promptindex.Confirmed, home)
	for i := range 4 { // the time of prefill is known by then
		request := edge.newRequest(fmt.Sprint("x", i), 13000)
		edge.serve(request, edge.mustSelect(t, request), 150*time.Millisecond)
	}
	request := edge.newRequest("p", 13000)
	choice := edge.mustSelect(t, request)
	edge.recordSent(request, choice, edge.now)
	edge.now += 40 * time.Millisecond
	edge.recordFirstEvent(request, choice, &Load{Running: 14, Waiting: 30, Slots: 128}, 40*time.Millisecond, edge.now)
	if choice := edge.mustSelect(t, edge.newRequest("p", 13000)); choice.Worker.ID == home {
		t.Errorf("%s is selected, though 30 wait there", home)
	}
	if x := edge.layout.groups["llm"].candidates[edge.layout.groups["llm"].index[home]].stats; x.inFlight != 1 || len(x.pendingPrefills) != 0 {
		t.Errorf("%d in flight, %d without a first event", x.inFlight, len(x.pendingPrefills))
	}
	edge.recordOutcome(request, choice, Completed, nil, 40*time.Millisecond, edge.now)
	if x := edge.layout.groups["llm"].candidates[edge.layout.groups["llm"].index[home]].stats; x.inFlight != 0 || len(x.pendingPrefills) != 0 {
		t.Errorf("%d in flight, %d without a first event", x.inFlight, len(x.pendingPrefills))
	}
}

// During a rollout prompts are assigned to the newer weights, but not into a queue: if those workers are
// backlogged, the older ones are selected.
func TestPromptsAreNotAssignedToBackloggedWorkers(t *testing.T) {
	snapshot := newFleet(18)
	snapshot.NamedVersions["m"], snapshot.NamedAt["m"] = 2, processStart+time.Minute
	for i := range 6 {
		snapshot.Workers[i].Weights = map[string]uint64{"m": 2}
	}
	edge := newEdge(snapshot)
	edge.startedAt = processStart - time.Hour
	edge.now += time.Second
	isAssigned := func(i int) bool {
		request := edge.newRequest(fmt.Sprint("p", i), 13000)
		choice := edge.mustSelect(t, request)
		return choice.Weights == 2
	}
	assigned := 0
	for i := range 100 {
		if isAssigned(i) {
			assigned++
		}
	}
	if assigned < 20 || assigned > 80 {
		t.Errorf("%d of 100 are assigned to a third of the workers", assigned)
	}
	for _, x := range edge.layoutFor(snapshot).groups["llm"].candidates[:6] {
		x.stats.latenessMs, x.stats.latenessAt = 4*route.LatencyTarget.Seconds()*1e3, edge.now
	}
	for i := range 100 {
		if isAssigned(i) {
			t.Fatal("assigned to backlogged workers")
		}
	}
}

// A copy evicts another part: a holder that isn't the part's home is selected despite a short wait.
func TestHolderWithShortWaitIsPreferredToCopy(t *testing.T) {
	edge := newEdge(newFleet(18))
	edge.mustSelect(t, edge.newRequest("p", 13000))
	var holder *candidate
	for i := range edge.layout.groups["llm"].candidates {
		if x := &edge.layout.groups["llm"].candidates[i]; x.worker.Zone == "d0" && x.worker.ID != edge.homeOf(t, "p") {
			holder = x
		}
	}
	edge.setHolders("p", promptindex.Confirmed, holder.worker.ID)
	prefillMs := 13000 * holder.stats.service.msPerToken
	holder.stats.latenessMs, holder.stats.latenessAt = 0.3*prefillMs, edge.now
	if choice := edge.mustSelect(t, edge.newRequest("p", 13000)); choice.Worker.ID != holder.worker.ID {
		t.Errorf("%s, for a wait of %.0f ms where prefill takes %.0f", choice.Worker.ID, holder.stats.latenessMs, prefillMs)
	}
	holder.stats.latenessMs = 2 * prefillMs
	if choice := edge.mustSelect(t, edge.newRequest("p", 13000)); choice.Worker.ID == holder.worker.ID || choice.Fetch != holder.worker.Addr {
		t.Errorf("%s, fetching from %q, despite a wait of %.0f ms at %s", choice.Worker.ID, choice.Fetch, holder.stats.latenessMs, holder.worker.ID)
	}
}

// The assignment to newer weights costs an older worker no more than the time of prefilling the shared
// parts: the first prefill under new weights has no cost beside its time.
func TestAssignmentToNewWeightsCostsNoMoreThanPrefill(t *testing.T) {
	snapshot := newFleet(18)
	snapshot.NamedVersions["m"], snapshot.NamedAt["m"] = 2, processStart+time.Minute
	for i := range 12 {
		snapshot.Workers[i].Weights = map[string]uint64{"m": 2}
	}
	edge := newEdge(snapshot)
	edge.startedAt = processStart - time.Hour
	edge.now += time.Second
	for _, x := range edge.layoutFor(snapshot).groups["llm"].candidates[:12] {
		x.stats.latenessMs, x.stats.latenessAt = 2.5*13000*x.stats.service.msPerToken, edge.now
	}
	for i := range 50 {
		part := fmt.Sprint("p", i)
		edge.found[promptindex.PartKey(CacheSalt("m", 1, nil), part)] = confirmedAt("w13", "w14", "w15", "w16", "w17")
		if choice := edge.mustSelect(t, edge.newRequest(part, 13000)); choice.Weights != 1 {
			t.Fatalf("%s waits %.0f ms for newer weights, though older workers that cache the part are free", part, 2.5*13000*edge.services["llm"].msPerToken)
		}
	}
}

func confirmedAt(holders ...string) *wire.LookupResult {
	f := &wire.LookupResult{Hotness: 1}
	for _, h := range holders {
		f.Holders = append(f.Holders, &wire.Holder{Worker: h, State: promptindex.Confirmed})
	}
	return f
}
