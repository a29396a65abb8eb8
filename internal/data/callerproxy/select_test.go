package callerproxy

import (
	"fmt"
	"strings"
	"testing"

	"pebbleloom/internal/data/placement"
	"pebbleloom/internal/data/prefix"
	"pebbleloom/internal/wire"
)

// testCurve is a prefill time of 100 µs per token.
var testCurve = placement.Curve{Coefficients: []float64{0, 100}}

// testQuery returns a query with four idle workers in two zones and one store, for a prompt of 1010 tokens. The prompt's
// first entry has 1000 tokens, is cached by the holders, and is optionally replicated.
func testQuery(replicated bool, holders map[string]string) Query {
	entries := prefix.Chain("shared", "m", 1, []string{strings.Repeat("o", 4000), strings.Repeat("q", 40)})
	query := Query{ID: "r", Entries: map[uint64][]prefix.Entry{1: entries}, LookupResults: map[prefix.Key]*wire.LookupResult{}, PrefillCurve: testCurve, NearBandwidth: 50000, FarBandwidth: 20000, StoreBandwidth: 20000,
		MeanAttemptUs: 100000, FailedWorkers: map[string]bool{}, Load: func(string) float64 { return 0 }, StoreAddrs: map[string]string{"store": "d:1"}}
	result := &wire.LookupResult{Hotness: 5}
	for name := range holders {
		result.Holders = append(result.Holders, &wire.Holder{Worker: name, State: 2})
	}
	query.LookupResults[entries[0].Key] = result
	for i := range 4 {
		query.Workers = append(query.Workers, &wire.Worker{Name: fmt.Sprintf("w%d", i), Addr: fmt.Sprintf("w%d:1", i), Zone: fmt.Sprint(i % 2), Weights: 1, Slots: 2})
	}
	current := &placement.Placement{Mode: "hrcs"}
	if replicated {
		current.Replicated = []string{entries[0].Key.String()}
	}
	body := fmt.Sprintf(`{"mode":"hrcs","replicated":["%s"]}`, strings.Join(current.Replicated, ""))
	var err error
	if query.Placement, err = placement.Read([]byte(body), 1); err != nil {
		panic(err)
	}
	return query
}

// loadFrom returns a Query.Load function that reads the loads from a map; other workers are idle.
func loadFrom(loads map[string]float64) func(string) float64 {
	return func(worker string) float64 { return loads[worker] }
}

// testWorkers are the names of the workers in testQuery.
var testWorkers = []string{"w0", "w1", "w2", "w3"}

// rankedShardWorkers returns testQuery's workers in the hash ranking of its first prefix entry.
func rankedShardWorkers() []string {
	return placement.RankShardWorkers(testQuery(false, nil).Entries[1][0].Key, testWorkers)
}

func TestSelect(t *testing.T) {
	for _, test := range []struct {
		name string
		run  func(t *testing.T)
	}{
		{"an uncached prefix goes to the worker that its hash ranks first, and is copied to the store once it is reused", testUncachedEntry},
		{"an overloaded worker is not preferred, even if the prefix's hash ranks it first", testOverloadedShardWorker},
		{"a worker that holds the prefix is preferred over an idle one without it", testHolder},
		{"the least loaded worker is selected for a replicated prefix", testReplicatedEntry},
		{"a replicated prefix is copied to a worker that does not hold it and to the store", testReplicatedEntryIsSaved},
		{"a prefix is fetched only if that is faster than prefill", testFetch},
		{"without the prompt index there are no cache hits, fetches or copies", testNoIndex},
		{"a session prefix determines affinity if it is long and hot enough", testSessionPrefix},
		{"a cordoned worker is selected only if no other worker is available", testCordonedWorker},
		{"workers with unusable weights, failed workers and suspect workers are not selected", testExcludedWorkers},
	} {
		t.Run(test.name, test.run)
	}
}

func testUncachedEntry(t *testing.T) {
	ranked := rankedShardWorkers()
	entries := testQuery(false, nil).Entries[1]
	query := testQuery(false, nil)
	choice, ok := Select(query)
	if !ok || choice.Worker.Name != ranked[0] || choice.Replicated || choice.SaveAddrs != "d:1" {
		t.Fatalf("uncached prefix: choice %+v, want worker %s, which the prefix's hash ranks first, and a copy to the store only", choice, ranked[0])
	}
	query.LookupResults[entries[0].Key].Hotness = 1
	if choice, _ := Select(query); choice.Worker.Name != ranked[0] || choice.SaveAddrs != "" {
		t.Fatalf("prefix accessed once: choice %+v, want worker %s, which the prefix's hash ranks first, and no copy to the store", choice, ranked[0])
	}
}

func testOverloadedShardWorker(t *testing.T) {
	ranked := rankedShardWorkers()
	query := testQuery(false, nil)
	query.Load = loadFrom(map[string]float64{ranked[0]: 6})
	if choice, _ := Select(query); choice.Worker.Name != ranked[1] {
		t.Fatalf("overloaded worker that the prefix's hash ranks first: selected %s, want the next worker in the ranking, %s", choice.Worker.Name, ranked[1])
	}
}

func testHolder(t *testing.T) {
	ranked := rankedShardWorkers()
	query := testQuery(true, map[string]string{ranked[2]: ""})
	if choice, _ := Select(query); choice.Worker.Name != ranked[2] || choice.HitTokens != 1000 {
		t.Fatalf("selected worker %s with %d cached tokens, want worker %s, which holds the prefix, with 1000", choice.Worker.Name, choice.HitTokens, ranked[2])
	}
}

func testReplicatedEntry(t *testing.T) {
	holders := map[string]string{}
	loads := map[string]float64{}
	for _, worker := range testWorkers {
		holders[worker], loads[worker] = "", 2
	}
	loads["w2"] = 0
	query := testQuery(true, holders)
	query.Load = loadFrom(loads)
	if choice, _ := Select(query); choice.Worker.Name != "w2" {
		t.Fatalf("replicated prefix: selected %s, want the idle worker w2", choice.Worker.Name)
	}
}

func testReplicatedEntryIsSaved(t *testing.T) {
	choice, _ := Select(testQuery(true, map[string]string{"w0": ""}))
	if !choice.Replicated || choice.SaveEntries != 1 || len(choice.SaveNames) != 2 || !strings.Contains(choice.SaveAddrs, "d:1") {
		t.Fatalf("replicated prefix: choice %+v, want a copy of one entry to one worker and the store", choice)
	}
}

func testFetch(t *testing.T) {
	query := testQuery(true, map[string]string{"w0": ""})
	query.Load = loadFrom(map[string]float64{"w0": 9})
	choice, _ := Select(query) // 1000 tokens: 100 ms to prefill, 20 ms to fetch within the zone, 50 ms from another zone
	if choice.Worker.Name != "w2" || choice.FetchTokens != 1000 || choice.FetchFrom != "0=w0:1" {
		t.Fatalf("worker that holds the prefix is overloaded: selected %s to fetch %d tokens from %q, want w2 to fetch 1000 from 0=w0:1", choice.Worker.Name, choice.FetchTokens, choice.FetchFrom)
	}
	query.NearBandwidth, query.FarBandwidth = 5000, 5000
	if choice, _ = Select(query); choice.FetchTokens != 0 || choice.FetchFrom != "" {
		t.Fatalf("fetch slower than prefill: %d tokens to fetch from %q, want none", choice.FetchTokens, choice.FetchFrom)
	}
}

func testNoIndex(t *testing.T) {
	query := testQuery(true, map[string]string{"w0": ""})
	query.Mode = "no-index"
	if choice, _ := Select(query); choice.HitTokens != 0 || choice.FetchFrom+choice.SaveAddrs != "" {
		t.Fatalf("placement mode no-index: choice %+v, want no cached tokens, fetches or copies", choice)
	}
}

func testSessionPrefix(t *testing.T) {
	for _, test := range []struct {
		name            string
		sharedPartBytes int
		hotness         float64
		admissionFloor  float64
		wantSession     bool
	}{{"session prefix long and hot enough", 100, 3, 1, true}, {"session prefix shorter than the shared prefix", 3000, 3, 1, false}, {"session prefix less hot than the coldest cached entry", 100, 1, 1.2, false}} {
		entries := prefix.Chain("shared", "m", 1, []string{strings.Repeat("o", test.sharedPartBytes), strings.Repeat("s", 2000), "question"})
		query := testQuery(false, nil)
		query.Entries = map[uint64][]prefix.Entry{1: entries}
		query.LookupResults = map[prefix.Key]*wire.LookupResult{entries[0].Key: {Hotness: 40}, entries[1].Key: {Hotness: test.hotness}}
		query.Placement.AdmissionFloor = test.admissionFloor
		wantWorker := placement.RankShardWorkers(entries[0].Key, testWorkers)[0]
		if test.wantSession {
			wantWorker = placement.RankShardWorkers(entries[1].Key, testWorkers)[0]
		}
		if choice, _ := Select(query); choice.SessionPrefix != test.wantSession || choice.Worker.Name != wantWorker {
			t.Errorf("%s: affinity to session prefix is %v and worker %s was selected, want worker %s", test.name, choice.SessionPrefix, choice.Worker.Name, wantWorker)
		}
	}
}

func testCordonedWorker(t *testing.T) {
	query := testQuery(true, map[string]string{"w1": ""})
	query.NewestWeights, query.Placement.Cordoned = 2, []string{"w1", "w2"}
	if choice, ok := Select(query); !ok || choice.Worker.Name == "w1" || choice.Worker.Name == "w2" {
		t.Errorf("workers w1 and w2 are cordoned: selected %s, want another worker", choice.Worker.Name)
	}
	query.Workers = query.Workers[1:3]
	if choice, ok := Select(query); !ok || choice.Worker.Name != "w1" {
		t.Errorf("only cordoned workers are left: selected %v (found: %v), want w1, which holds the prefix", choice.Worker, ok)
	}
}

func testExcludedWorkers(t *testing.T) {
	query := testQuery(true, nil)
	query.Workers[0].Weights, query.Workers[1].State, query.FailedWorkers = 2, 1, map[string]bool{"w2": true}
	if choice, _ := Select(query); choice.Worker.Name != "w3" {
		t.Fatalf("worker w3 is the only selectable one: selected %s, want w3", choice.Worker.Name)
	}
	query.FailedWorkers["w3"] = true
	if choice, ok := Select(query); ok {
		t.Fatalf("worker %s was selected, want none: all four have failed, are suspect or have unusable weights", choice.Worker.Name)
	}
}
