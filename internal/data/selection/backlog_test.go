package selection

import (
	"fmt"
	"testing"
	"time"

	"pebbleloom/internal/data/promptindex"
	"pebbleloom/internal/wire"
)

// A worker whose first response events are late counts as backlogged, whatever load it reported last: other
// workers are selected and fetch the cached parts from it.
func TestWorkerWithLateFirstEventsIsAvoided(t *testing.T) {
	edge := newEdge(newFleet(18))
	home := edge.homeOf(t, "p")
	edge.setHolders("p", promptindex.Confirmed, home)
	request := edge.newRequest("p", 13000)
	choice := edge.mustSelect(t, request)
	if choice.Worker.ID != home {
		t.Fatalf("all workers idle: selected %s, want %s, the home worker of the prompt part", choice.Worker.ID, home)
	}
	edge.recordSent(request, choice, edge.now)
	edge.now += 2 * route.LatencyTarget
	for range 10 {
		if choice := edge.mustSelect(t, edge.newRequest("p", 13000)); choice.Worker.ID == home || choice.Fetch != home+":1" {
			t.Fatalf("first response event of worker %s is overdue: selected %s, fetching from %q; want another worker, fetching from %q", home, choice.Worker.ID, choice.Fetch, home+":1")
		}
	}
	// The lateness of a first response event still raises the worker's cost for some time after the event arrived.
	edge.recordFirstEvent(request, choice, &Load{Running: 2, Slots: 128}, 2*route.LatencyTarget, edge.now)
	if choice := edge.mustSelect(t, edge.newRequest("p", 13000)); choice.Worker.ID == home {
		t.Errorf("right after a late first response event of worker %s: selected it again, want another worker", home)
	}
	edge.now += 8 * edge.bounds.Recovery(loadTuning.decayRatio)
	if choice := edge.mustSelect(t, edge.newRequest("p", 13000)); choice.Worker.ID != home {
		t.Errorf("after the recorded lateness of the home worker's first response event decayed to about 0: selected %s, want home worker %s", choice.Worker.ID, home)
	}
}

// The load that a worker reports takes effect with the first response event of an attempt, not with its end.
func TestLoadCountsFromTheFirstEvent(t *testing.T) {
	edge := newEdge(newFleet(18))
	home := edge.homeOf(t, "p")
	edge.setHolders("p", promptindex.Confirmed, home)
	// Serve 4 requests, from which the table learns how long prefill takes.
	for i := range 4 {
		request := edge.newRequest(fmt.Sprint("x", i), 13000)
		edge.serve(request, edge.mustSelect(t, request), 150*time.Millisecond)
	}
	request := edge.newRequest("p", 13000)
	choice := edge.mustSelect(t, request)
	edge.recordSent(request, choice, edge.now)
	edge.now += 40 * time.Millisecond
	edge.recordFirstEvent(request, choice, &Load{Running: 14, Waiting: 30, Slots: 128}, 40*time.Millisecond, edge.now)
	if choice := edge.mustSelect(t, edge.newRequest("p", 13000)); choice.Worker.ID == home {
		t.Errorf("selected %s, which reported 30 waiting requests with its first response event; want another worker", home)
	}
	if homeStats := edge.layout.groups["llm"].candidates[edge.layout.groups["llm"].index[home]].stats; homeStats.inFlight != 1 || len(homeStats.pendingPrefills) != 0 {
		t.Errorf("after the first response event of the only attempt at worker %s: %d attempts in flight there, %d without a first response event; want 1 and 0", home, homeStats.inFlight, len(homeStats.pendingPrefills))
	}
	edge.recordOutcome(request, choice, Completed, nil, 40*time.Millisecond, edge.now)
	if homeStats := edge.layout.groups["llm"].candidates[edge.layout.groups["llm"].index[home]].stats; homeStats.inFlight != 0 || len(homeStats.pendingPrefills) != 0 {
		t.Errorf("after the outcome of the only attempt at worker %s: %d attempts in flight there, %d without a first response event; want 0 and 0", home, homeStats.inFlight, len(homeStats.pendingPrefills))
	}
}

// During a rollout a fraction of the prompts is assigned to workers on newer weights. If these workers are
// backlogged, workers on older weights are selected instead.
func TestPromptsAreNotAssignedToBackloggedWorkers(t *testing.T) {
	snapshot := newFleet(18)
	snapshot.TargetVersions["m"], snapshot.TargetSetAt["m"] = 2, processStart+time.Minute
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
		t.Errorf("6 of 18 workers serve weights version 2: %d of 100 requests assigned to them, want 20 to 80", assigned)
	}
	for _, worker := range edge.layoutFor(snapshot).groups["llm"].candidates[:6] {
		worker.stats.latenessMs, worker.stats.latenessAt = 4*route.LatencyTarget.Seconds()*1e3, edge.now
	}
	for i := range 100 {
		if isAssigned(i) {
			t.Fatalf("request %d assigned to a backlogged worker on weights version 2, want an idle worker on version 1", i)
		}
	}
}

// A copy of a prompt part evicts another part from a worker's cache. So a worker that caches the part is
// preferred even if it isn't the part's home worker, as long as the wait there is short compared with the
// prefill.
func TestHolderWithShortWaitIsPreferredToCopy(t *testing.T) {
	edge := newEdge(newFleet(18))
	edge.mustSelect(t, edge.newRequest("p", 13000))
	var holder *candidate
	for i := range edge.layout.groups["llm"].candidates {
		if worker := &edge.layout.groups["llm"].candidates[i]; worker.worker.Zone == "d0" && worker.worker.ID != edge.homeOf(t, "p") {
			holder = worker
		}
	}
	edge.setHolders("p", promptindex.Confirmed, holder.worker.ID)
	prefillMs := 13000 * holder.stats.service.msPerToken
	holder.stats.latenessMs, holder.stats.latenessAt = 0.3*prefillMs, edge.now
	if choice := edge.mustSelect(t, edge.newRequest("p", 13000)); choice.Worker.ID != holder.worker.ID {
		t.Errorf("wait of %.0f ms at worker %s, which caches the part, and %.0f ms of prefill elsewhere: selected %s, want %s", holder.stats.latenessMs, holder.worker.ID, prefillMs, choice.Worker.ID, holder.worker.ID)
	}
	holder.stats.latenessMs = 2 * prefillMs
	if choice := edge.mustSelect(t, edge.newRequest("p", 13000)); choice.Worker.ID == holder.worker.ID || choice.Fetch != holder.worker.Addr {
		t.Errorf("wait of %.0f ms at worker %s, which caches the part: selected %s, fetching from %q; want another worker, fetching from %q", holder.stats.latenessMs, holder.worker.ID, choice.Worker.ID, choice.Fetch, holder.worker.Addr)
	}
}

// The assignment of a prompt to newer weights adds at most the time of prefilling its shared parts to the cost
// of a worker on older weights. So an idle worker on older weights that caches the parts is selected if the
// wait at the workers on newer weights is longer than that.
func TestAssignmentToNewWeightsCostsNoMoreThanPrefill(t *testing.T) {
	snapshot := newFleet(18)
	snapshot.TargetVersions["m"], snapshot.TargetSetAt["m"] = 2, processStart+time.Minute
	for i := range 12 {
		snapshot.Workers[i].Weights = map[string]uint64{"m": 2}
	}
	edge := newEdge(snapshot)
	edge.startedAt = processStart - time.Hour
	edge.now += time.Second
	for _, worker := range edge.layoutFor(snapshot).groups["llm"].candidates[:12] {
		worker.stats.latenessMs, worker.stats.latenessAt = 2.5*13000*worker.stats.service.msPerToken, edge.now
	}
	for i := range 50 {
		part := fmt.Sprint("p", i)
		edge.found[promptindex.PartKey(CacheSalt("m", 1, ""), part)] = confirmedAt("w13", "w14", "w15", "w16", "w17")
		if choice := edge.mustSelect(t, edge.newRequest(part, 13000)); choice.Weights != 1 {
			t.Fatalf("part %s: selected a worker on weights version %d with a wait of %.0f ms, want an idle worker on version 1, where the part is cached", part, choice.Weights, 2.5*13000*edge.services["llm"].msPerToken)
		}
	}
}

func confirmedAt(holders ...string) *wire.LookupResult {
	result := &wire.LookupResult{Hotness: 1}
	for _, holder := range holders {
		result.Holders = append(result.Holders, &wire.Holder{Worker: holder, State: promptindex.Confirmed})
	}
	return result
}
