package selection

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pebbleloom/internal/data/prefix"
	"pebbleloom/internal/data/promptindex"
	"pebbleloom/internal/fleet"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

// cacheSimulation simulates workers that cache what they prefill, a store, a prompt index that learns of
// cached parts with a delay, and edge machines that query it. Its clock advances manually.
type cacheSimulation struct {
	snapshot *fleet.Snapshot
	random   *rand.Rand
	edges    []*testEdge
	// By worker ID or store name: time from which each prompt part is cached there.
	cachedAt map[string]map[prefix.Key]time.Duration
	// Shared prompt parts that at least one worker prefilled.
	everPrefilled map[prefix.Key]bool
	// Number of prefills of shared prompt parts, by all workers.
	prefills int
	// Number of prefills of shared prompt parts that another prefill preceded, at any worker.
	repeatedPrefills int
	// By prompt part: number of times that it was saved to the store.
	storedCounts map[prefix.Key]int
	// Delay with which the prompt index learns of cached parts.
	indexLag time.Duration
	// Fraction of prompt index lookups without a response.
	lostLookupRatio float64
	// Functions that record the outcomes of the attempts in flight, each to be called at its time in
	// outcomesAt.
	pendingOutcomes []func()
	// By element of pendingOutcomes: time at which it is to be called.
	outcomesAt []time.Duration
}

func newCacheSimulation(n, edges int, seed uint64) *cacheSimulation {
	simulation := &cacheSimulation{snapshot: newFleet(n), random: rand.New(rand.NewPCG(seed, 3)), cachedAt: map[string]map[prefix.Key]time.Duration{}, everPrefilled: map[prefix.Key]bool{},
		storedCounts: map[prefix.Key]int{}, indexLag: time.Second}
	for range edges {
		simulation.edges = append(simulation.edges, &testEdge{table: newTable(settings.DefaultBounds(), processStart), snapshot: simulation.snapshot})
	}
	return simulation
}

func (simulation *cacheSimulation) isCached(id string, k prefix.Key, now time.Duration) bool {
	at, ok := simulation.cachedAt[id][k]
	return ok && at <= now
}

func (simulation *cacheSimulation) cache(id string, k prefix.Key, now time.Duration) {
	if simulation.cachedAt[id] == nil {
		simulation.cachedAt[id] = map[prefix.Key]time.Duration{}
	}
	if _, ok := simulation.cachedAt[id][k]; !ok {
		simulation.cachedAt[id][k] = now
	}
}

// respond returns the response of the prompt index to a lookup at time now. It lists the workers and stores
// that have cached the parts for at least indexLag. It returns nil for lost lookups.
func (simulation *cacheSimulation) respond(keys []prefix.Key, now time.Duration) map[prefix.Key]*wire.LookupResult {
	if len(keys) == 0 || simulation.random.Float64() < simulation.lostLookupRatio {
		return nil
	}
	results := map[prefix.Key]*wire.LookupResult{}
	for _, key := range keys {
		result := &wire.LookupResult{}
		if key == promptindex.StoreHealthKey("store") {
			result.Holders = append(result.Holders, &wire.Holder{Worker: "store", State: promptindex.Presumed})
		}
		for id := range simulation.cachedAt {
			if simulation.isCached(id, key, now-simulation.indexLag) {
				result.Holders = append(result.Holders, &wire.Holder{Worker: id, State: promptindex.Confirmed})
			}
		}
		results[key] = result
	}
	return results
}

func (simulation *cacheSimulation) sendRequest(number int, partCount int, now time.Duration) {
	edge := simulation.edges[simulation.random.IntN(len(simulation.edges))]
	edge.snapshot = simulation.snapshot
	request := &Request{ID: fmt.Sprint("r", number), Service: "llm", Route: route, Zone: fmt.Sprint("d", simulation.random.IntN(4)), Model: "m", PromptTokens: 15000,
		Parts: []PromptPart{{fmt.Sprint("t", simulation.random.IntN(partCount)), 13000}, {fmt.Sprint("own", number), 2000}}}
	found := simulation.respond(edge.table.lookupKeys(simulation.snapshot, request, now), now)
	choice, ok := edge.selectWorker(simulation.snapshot, request, found, nil, now)
	if !ok {
		return
	}
	edge.recordSent(request, choice, now)
	key := promptindex.PartKey(choice.Salt, request.Parts[0].ID)
	firstEvent := 30 * time.Millisecond
	switch cachedFrom, ok := simulation.cachedAt[choice.Worker.ID][key]; {
	case ok && cachedFrom <= now:
	case ok:
		// The selected worker is still prefilling the part for another request.
		firstEvent += cachedFrom - now
	default:
		source := ""
		for id := range simulation.cachedAt {
			if choice.Fetch != "" && (choice.Fetch == id+":1" || choice.Fetch == "store:1" && id == "store") {
				source = id
			}
		}
		if source != "" && simulation.isCached(source, key, now) {
			firstEvent += 10 * time.Millisecond
		} else {
			firstEvent += 100 * time.Millisecond
			simulation.prefills++
			if simulation.everPrefilled[key] {
				simulation.repeatedPrefills++
			}
			simulation.everPrefilled[key] = true
		}
		simulation.cache(choice.Worker.ID, key, now+firstEvent)
	}
	if choice.Save != "" {
		simulation.storedCounts[key]++
		simulation.cache("store", key, now+firstEvent)
	}
	simulation.outcomesAt = append(simulation.outcomesAt, now+2*firstEvent)
	simulation.pendingOutcomes = append(simulation.pendingOutcomes, func() { edge.recordOutcome(request, choice, Completed, nil, firstEvent, now+2*firstEvent) })
}

func (simulation *cacheSimulation) run(requests, partCount int, interval time.Duration) {
	now := processStart + time.Minute
	for n := range requests {
		for i := 0; i < len(simulation.outcomesAt); i++ {
			if simulation.outcomesAt[i] <= now {
				simulation.pendingOutcomes[i]()
				simulation.outcomesAt, simulation.pendingOutcomes = append(simulation.outcomesAt[:i:i], simulation.outcomesAt[i+1:]...), append(simulation.pendingOutcomes[:i:i], simulation.pendingOutcomes[i+1:]...)
				i--
			}
		}
		simulation.sendRequest(n, partCount, now)
		now += interval
	}
}

// Nine edge machines share a prompt index that lags by one second: each shared prompt part is prefilled once,
// with few exceptions, and saved to the store at most twice on average.
func TestSharedPartsArePrefilledOnce(t *testing.T) {
	for seed := range uint64(5) {
		simulation := newCacheSimulation(18, 9, seed)
		simulation.run(4000, 250, 10*time.Millisecond)
		if simulation.prefills < 200 || simulation.repeatedPrefills*50 > simulation.prefills {
			t.Errorf("simulation with seed %d: %d prefills of shared parts, of which %d repeated an earlier one; want at least 200 and at most 2%% repeated", seed, simulation.prefills, simulation.repeatedPrefills)
		}
		saveCount := 0
		for _, count := range simulation.storedCounts {
			saveCount += count
		}
		if len(simulation.storedCounts) < 200 || saveCount > 2*len(simulation.storedCounts) {
			t.Errorf("simulation with seed %d: %d distinct parts saved to the store in %d saves; want at least 200 parts and at most 2 saves per part", seed, len(simulation.storedCounts), saveCount)
		}
	}
}

// Shared prompt parts are rarely prefilled twice even if a third of the prompt index lookups get no response.
func TestSharedPartsArePrefilledOnceDespiteLostLookups(t *testing.T) {
	simulation := newCacheSimulation(18, 9, 9)
	simulation.lostLookupRatio = 1.0 / 3
	simulation.run(4000, 250, 10*time.Millisecond)
	if simulation.repeatedPrefills*20 > simulation.prefills {
		t.Errorf("a third of prompt index lookups lost: %d prefills of shared parts, of which %d repeated an earlier one; want at most 5%% repeated", simulation.prefills, simulation.repeatedPrefills)
	}
}

// Shared prompt parts are spread over the workers: none caches more than three times the mean number of parts,
// plus 5.
func TestSharedPartsSpreadOverWorkers(t *testing.T) {
	simulation := newCacheSimulation(18, 9, 4)
	simulation.run(4000, 250, 10*time.Millisecond)
	greatest := 0
	for id, parts := range simulation.cachedAt {
		if id != "store" {
			greatest = max(greatest, len(parts))
		}
	}
	if greatest > 3*simulation.prefills/18+5 {
		t.Errorf("worker with the most cached parts, of 18 workers: caches %d parts after %d prefills by all workers, want at most %d parts", greatest, simulation.prefills, 3*simulation.prefills/18+5)
	}
}

func BenchmarkSelectOf140(b *testing.B) {
	edge := newEdge(newFleet(140))
	for i := range 20 {
		edge.setHolders(fmt.Sprint("p", i), promptindex.Confirmed, fmt.Sprint("w", i), fmt.Sprint("w", 3*i), "store")
	}
	for i := range b.N {
		request := edge.newRequest(fmt.Sprint("p", i%20), 13000)
		choice, _ := edge.selectWorker(edge.snapshot, request, edge.found, nil, edge.now)
		edge.recordSent(request, choice, edge.now)
		edge.recordOutcome(request, choice, Completed, &Load{Running: 3, Slots: 128}, 40*time.Millisecond, edge.now)
		edge.now += time.Millisecond
	}
}
