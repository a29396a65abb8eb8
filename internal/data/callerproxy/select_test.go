package callerproxy

import (
	"fmt"
	"strings"
	"testing"

	"pebbleloom/internal/data/placement"
	"pebbleloom/internal/data/prefix"
	"pebbleloom/internal/wire"
)

var testCurve = placement.Curve{Coefficients: []float64{0, 100}} // 100 µs a token

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

func loadFrom(loads map[string]float64) func(string) float64 {
	return func(worker string) float64 { return loads[worker] }
}

// selectWorkers are the workers of testQuery.
var testWorkers = []string{"w0", "w1", "w2", "w3"}

// shardWorkers ranks the workers for the first entry of testQuery.
func rankedShardWorkers() []string {
	return placement.RankShardWorkers(testQuery(false, nil).Entries[1][0].Key, testWorkers)
}

func TestSelect(t *testing.T) {
	for _, test := range []struct {
		name string
		run  func(t *testing.T)
	}{
		{"a cold entry prefers its shard worker, and is saved to the store once it is accessed again", testUncachedEntry},
		{"an overloaded shard worker isn't preferred", testOverloadedShardWorker},
		{"a holder is preferred to an idle worker", testHolder},
		{"a replicated entry lets load decide", testReplicatedEntry},
		{"a replicated entry is saved to a worker that lacks it, and to the store", testReplicatedEntryIsSaved},
		{"a fetch is planned only where it is cheaper than prefill", testFetch},
		{"without the index nothing is known, and no hints are given", testNoIndex},
		{"a session's prefix is admitted by length and hotness", testSessionPrefix},
		{"a cordoned worker is selected only if there is no other", testCordonedWorker},
		{"workers with other weights, tried ones and suspect ones aren't selected", testExcludedWorkers},
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
		t.Fatalf("%+v, shard worker is %s", choice, ranked[0])
	}
	query.LookupResults[entries[0].Key].Hotness = 1
	if choice, _ := Select(query); choice.Worker.Name != ranked[0] || choice.SaveAddrs != "" {
		t.Fatalf("used once: %+v", choice)
	}
}

func testOverloadedShardWorker(t *testing.T) {
	ranked := rankedShardWorkers()
	query := testQuery(false, nil)
	query.Load = loadFrom(map[string]float64{ranked[0]: 6})
	if choice, _ := Select(query); choice.Worker.Name != ranked[1] {
		t.Fatalf("selected %s, next shard worker is %s", choice.Worker.Name, ranked[1])
	}
}

func testHolder(t *testing.T) {
	ranked := rankedShardWorkers()
	query := testQuery(true, map[string]string{ranked[2]: ""})
	if choice, _ := Select(query); choice.Worker.Name != ranked[2] || choice.HitTokens != 1000 {
		t.Fatalf("selected %s with hit %d, held by %s", choice.Worker.Name, choice.HitTokens, ranked[2])
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
		t.Fatalf("selected %s", choice.Worker.Name)
	}
}

func testReplicatedEntryIsSaved(t *testing.T) {
	choice, _ := Select(testQuery(true, map[string]string{"w0": ""}))
	if !choice.Replicated || choice.SaveEntries != 1 || len(choice.SaveNames) != 2 || !strings.Contains(choice.SaveAddrs, "d:1") {
		t.Fatalf("%+v", choice)
	}
}

func testFetch(t *testing.T) {
	query := testQuery(true, map[string]string{"w0": ""})
	query.Load = loadFrom(map[string]float64{"w0": 9})
	choice, _ := Select(query) // 1000 tokens: 100 ms to prefill, 20 ms near, 50 ms far
	if choice.Worker.Name != "w2" || choice.FetchTokens != 1000 || choice.FetchFrom != "0=w0:1" {
		t.Fatalf("selected %s, fetch %d from %q", choice.Worker.Name, choice.FetchTokens, choice.FetchFrom)
	}
	query.NearBandwidth, query.FarBandwidth = 5000, 5000
	if choice, _ = Select(query); choice.FetchTokens != 0 || choice.FetchFrom != "" {
		t.Fatalf("slow links: fetch %d from %q", choice.FetchTokens, choice.FetchFrom)
	}
}

func testNoIndex(t *testing.T) {
	query := testQuery(true, map[string]string{"w0": ""})
	query.Mode = "no-index"
	if choice, _ := Select(query); choice.HitTokens != 0 || choice.FetchFrom+choice.SaveAddrs != "" {
		t.Fatalf("%+v", choice)
	}
}

func testSessionPrefix(t *testing.T) {
	for _, test := range []struct {
		name            string
		sharedPartBytes int
		hotness         float64
		admissionFloor  float64
		wantSession     bool
	}{{"long and hot", 100, 3, 1, true}, {"shorter than the shared part", 3000, 3, 1, false}, {"colder than the coldest cached", 100, 1, 1.2, false}} {
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
			t.Errorf("%s: session %v, selected %s, shard worker %s", test.name, choice.SessionPrefix, choice.Worker.Name, wantWorker)
		}
	}
}

func testCordonedWorker(t *testing.T) {
	query := testQuery(true, map[string]string{"w1": ""})
	query.NewestWeights, query.Placement.Cordoned = 2, []string{"w1", "w2"}
	if choice, ok := Select(query); !ok || choice.Worker.Name == "w1" || choice.Worker.Name == "w2" {
		t.Errorf("selected %s", choice.Worker.Name)
	}
	query.Workers = query.Workers[1:3]
	if choice, ok := Select(query); !ok || choice.Worker.Name != "w1" {
		t.Errorf("of two set aside: %v %v", choice.Worker, ok)
	}
}

func testExcludedWorkers(t *testing.T) {
	query := testQuery(true, nil)
	query.Workers[0].Weights, query.Workers[1].State, query.FailedWorkers = 2, 1, map[string]bool{"w2": true}
	if choice, _ := Select(query); choice.Worker.Name != "w3" {
		t.Fatalf("selected %s", choice.Worker.Name)
	}
	query.FailedWorkers["w3"] = true
	if _, ok := Select(query); ok {
		t.Fatal("selected a worker")
	}
}
