package promptindex

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/control/clustermembership"
	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/data/backend"
	"pebbleloom/internal/fleet"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

// indexNodes returns live prompt index nodes, one for each of the given zones, which may repeat.
func indexNodes(zones ...string) (nodes []*wire.Node) {
	for i, zone := range zones {
		nodes = append(nodes, &wire.Node{Name: fmt.Sprintf("catalogue/core-%d", i), Role: clustermembership.RolePromptIndex, Zone: zone, Addr: fmt.Sprintf("10.0.0.%d:1", i)})
	}
	return nodes
}

func TestHalfOfTheIndexNodesServe(t *testing.T) {
	four := indexNodes("a", "a", "b", "b")
	serving := ServingNodes(append(four, &wire.Node{Name: "edge/1", Role: "edge"}))
	if len(serving) != 2 || serving[0].Zone == serving[1].Zone {
		t.Fatalf("serving index nodes of 4 index nodes in 2 zones: got %v, want 2 nodes in different zones", serving)
	}
	reversed := slices.Clone(four)
	slices.Reverse(reversed)
	if others := ServingNodes(reversed); others[0].Name != serving[0].Name || others[1].Name != serving[1].Name {
		t.Fatal("serving index nodes after the list of cluster nodes was reversed: got different ones, want the same ones in the same order")
	}
	serving[0].State = 2
	others := ServingNodes(four)
	if len(others) != 2 || others[0] != serving[1] && others[1] != serving[1] || others[0] == serving[0] || others[1] == serving[0] {
		t.Fatal("serving index nodes after the death of one of 2, with 2 others on standby: want the surviving one and a replacement from the standby nodes")
	}
	if n := len(ServingNodes(indexNodes("a", "a", "a", "a", "b", "b", "b", "b"))); n != 4 {
		t.Fatalf("number of serving index nodes, of 8 live ones: got %d, want 4", n)
	}
	if n := len(ServingNodes(indexNodes("a"))); n != 1 {
		t.Fatalf("number of serving index nodes, of 1 live one: got %d, want 1", n)
	}
}

// fakeWorkers is a backend.Client that stands in for workers and stores. All its maps are keyed by address.
type fakeWorkers struct {
	backend.Client
	mu sync.Mutex
	// eventCalls counts the calls of CacheEvents.
	eventCalls map[string]int
	// fullListCalls counts the calls of CachedPrefixes, which request the complete cache.
	fullListCalls map[string]int
	// hasGap makes the responses to requests for all events since the worker's start report that changes are missing.
	hasGap        bool
	unreachable   map[string]bool
	waits         []time.Duration
	callsInFlight map[string]int
	// maxInFlight is the largest number of calls to one address that were in flight at once.
	maxInFlight int
	isThrottled bool
}

// startCall counts a call to the fake worker at an address, and fails if this is set to be unreachable.
func (w *fakeWorkers) startCall(addr string, calls map[string]int) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	calls[addr]++
	w.callsInFlight[addr]++
	w.maxInFlight = max(w.maxInFlight, w.callsInFlight[addr])
	if w.unreachable[addr] {
		return errors.New("fake worker is unreachable")
	}
	return nil
}

func (w *fakeWorkers) endCall(addr string) {
	w.mu.Lock()
	w.callsInFlight[addr]--
	w.mu.Unlock()
}

// CacheEvents implements backend.Client: each call returns the cache event that 10 tokens of part a are cached.
func (w *fakeWorkers) CacheEvents(_ context.Context, addr string, since uint64, wait time.Duration) (backend.CacheEvents, error) {
	defer w.endCall(addr)
	if err := w.startCall(addr, w.eventCalls); err != nil {
		return backend.CacheEvents{}, err
	}
	w.mu.Lock()
	w.waits = append(w.waits, wait)
	w.mu.Unlock()
	return backend.CacheEvents{BootID: 1, NextSequence: 5, Gap: w.hasGap && since == 0, Throttled: w.isThrottled, Changes: []backend.CacheChange{cacheChange("a", 10)}}, nil
}

// CachedPrefixes implements backend.Client: each call returns a complete cache that has the prompt parts a and b.
func (w *fakeWorkers) CachedPrefixes(_ context.Context, addr string) (backend.CacheEvents, error) {
	defer w.endCall(addr)
	if err := w.startCall(addr, w.fullListCalls); err != nil {
		return backend.CacheEvents{}, err
	}
	return backend.CacheEvents{BootID: 1, NextSequence: 6, Changes: []backend.CacheChange{cacheChange("a", 10), cacheChange("b", 10)}}, nil
}

// runSite runs test with an index node that polls the fake workers in a snapshot, on a simulated clock.
func runSite(t *testing.T, workers *fakeWorkers, snapshot *fleet.Snapshot, test func(node *Node)) {
	t.Helper()
	workers.eventCalls, workers.fullListCalls, workers.callsInFlight = map[string]int{}, map[string]int{}, map[string]int{}
	if workers.unreachable == nil {
		workers.unreachable = map[string]bool{}
	}
	synctest.Test(t, func(t *testing.T) {
		environment := daemon.Environment{Clock: clock.Synctest(), WallClock: time.Now, Seed: func() uint64 { return 1 }}
		process := daemon.NewIn(environment, "index", settings.Process{Name: "core-0", Bounds: settings.DefaultBounds(), Options: []string{"log=off"}})
		node, err := StartWithCacheEvents(process, workers, func() *fleet.Snapshot { return snapshot })
		if err != nil {
			t.Fatal(err)
		}
		test(node)
		process.Stop(time.Second)
		synctest.Wait()
	})
}

// wait advances the simulated clock by d, and waits until all goroutines of the test are blocked.
func wait(d time.Duration) {
	<-time.NewTimer(d).C
	synctest.Wait()
}

// newSnapshot returns a snapshot with two workers of a service with a prompt cache, a worker of a service without one,
// and a store.
func newSnapshot(nodes []*wire.Node) *fleet.Snapshot {
	return &fleet.Snapshot{Nodes: nodes, Workers: []fleet.Worker{{ID: "w1", Service: "llm", Addr: "1:1"}, {ID: "w2", Service: "llm", Addr: "1:2"}, {ID: "p", Service: "app", Addr: "1:9"}},
		Plan: &routingconfig.Plan{Services: []routingconfig.Service{{Name: "llm", Engine: &routingconfig.Engine{MaxPolls: 12}}, {Name: "app"}, {Name: "d", Store: &routingconfig.Store{Addr: "2:1"}}}}}
}

// Each poll for cache events takes resources of the polled worker. A serving index node makes one call to each worker
// per poll interval, and none to workers without a prompt cache. An index node on standby makes no calls.
func TestWorkersArePolledAtTheirPace(t *testing.T) {
	bounds := settings.DefaultBounds()
	workers := &fakeWorkers{}
	runSite(t, workers, newSnapshot(indexNodes("a")), func(n *Node) {
		wait(10 * bounds.Recovery(pollRatio))
		for _, a := range []string{"1:1", "1:2", "2:1"} {
			if workers.eventCalls[a] < 9 || workers.eventCalls[a] > 11 {
				t.Errorf("number of polls of the worker or store at %s in 10 poll intervals: got %d, want 9 to 11", a, workers.eventCalls[a])
			}
		}
		if workers.eventCalls["1:9"] != 0 || len(workers.fullListCalls) != 0 || workers.maxInFlight != 1 {
			t.Errorf("polls in 10 poll intervals: got %d polls of the worker without a prompt cache, calls for the complete cache %v, and up to %d concurrent calls to one worker; want 0, none and 1", workers.eventCalls["1:9"], workers.fullListCalls, workers.maxInFlight)
		}
		k, up := PartKey("s", "a"), StoreHealthKey("d")
		a, err := n.Lookup(context.Background(), &wire.LookupRequest{Keys: [][]byte{k[:], up[:]}})
		if err != nil || len(a.Results) != 2 || !a.Warm || len(a.Results[0].Holders) != 3 || len(a.Results[1].Holders) != 1 {
			t.Errorf("lookup of a part cached by 2 workers and a store, and of the health key of the store: got %v, error %v; want a warm response with 3 holders and 1 holder", a, err)
		}
	})
	workers = &fakeWorkers{}
	nodes := indexNodes("a", "b", "c")
	serves := func() bool {
		return slices.ContainsFunc(ServingNodes(nodes), func(x *wire.Node) bool { return x.Name == "catalogue/core-0" })
	}
	for i := 0; serves(); i++ {
		nodes[1].Name, nodes[2].Name = fmt.Sprintf("catalogue/b-%d", i), fmt.Sprintf("catalogue/c-%d", i)
	}
	runSite(t, workers, newSnapshot(nodes), func(*Node) { wait(bounds.Recovery(1)) })
	if len(workers.eventCalls) != 0 {
		t.Errorf("numbers of polls by an index node on standby, by worker address: got %v, want none", workers.eventCalls)
	}
}

func TestFullListsArePaced(t *testing.T) {
	b := settings.DefaultBounds()
	workers := &fakeWorkers{hasGap: true}
	runSite(t, workers, newSnapshot(indexNodes("a")), func(n *Node) {
		wait(b.Recovery(0.9))
		if workers.fullListCalls["1:1"] != 1 || workers.fullListCalls["1:2"] != 1 || workers.fullListCalls["2:1"] != 1 {
			t.Errorf("calls for the complete cache of 2 workers and a store, by address, within 0.9 of the recovery time bound: got %v, want 1 for each of 1:1, 1:2 and 2:1", workers.fullListCalls)
		}
	})
}

func TestUnreachableStoreIsDown(t *testing.T) {
	bounds := settings.DefaultBounds()
	workers := &fakeWorkers{unreachable: map[string]bool{"2:1": true}}
	runSite(t, workers, newSnapshot(indexNodes("a")), func(n *Node) {
		up := StoreHealthKey("d")
		isUp := func() bool {
			a, _ := n.Lookup(context.Background(), &wire.LookupRequest{Keys: [][]byte{up[:]}})
			return len(a.Results[0].Holders) > 0
		}
		if wait(bounds.Recovery(0.4)); isUp() {
			t.Error("a store that was never reachable is listed as up, want down")
		}
		workers.mu.Lock()
		workers.unreachable["2:1"] = false
		workers.mu.Unlock()
		if wait(bounds.Recovery(0.4)); !isUp() {
			t.Error("a store that became reachable is listed as down, want up")
		}
		workers.mu.Lock()
		workers.unreachable["2:1"] = true
		workers.mu.Unlock()
		if wait(bounds.Recovery(0.2)); isUp() {
			t.Error("a store that became unreachable is listed as up, want down")
		}
	})
}
