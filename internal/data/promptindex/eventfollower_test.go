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
		t.Fatalf("serving: %v", serving)
	}
	reversed := slices.Clone(four)
	slices.Reverse(reversed)
	if others := ServingNodes(reversed); others[0].Name != serving[0].Name || others[1].Name != serving[1].Name {
		t.Fatal("another order of nodes changes who serves")
	}
	serving[0].State = 2
	others := ServingNodes(four)
	if len(others) != 2 || others[0] != serving[1] && others[1] != serving[1] || others[0] == serving[0] || others[1] == serving[0] {
		t.Fatal("when one is dead the other doesn't stay, or no third replaces it")
	}
	if n := len(ServingNodes(indexNodes("a", "a", "a", "a", "b", "b", "b", "b"))); n != 4 {
		t.Fatalf("%d of 8 serve", n)
	}
	if n := len(ServingNodes(indexNodes("a"))); n != 1 {
		t.Fatalf("%d of 1 serve", n)
	}
}

// fakeWorkers is the workers' and stores' side of the calls.
type fakeWorkers struct {
	backend.Client
	mu            sync.Mutex
	events        map[string]int
	lists         map[string]int
	hasGap        bool
	unreachable   map[string]bool
	waits         []time.Duration
	callsInFlight map[string]int
	maxInFlight   int
	isThrottled   bool
}

func (w *fakeWorkers) startCall(addr string, calls map[string]int) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	calls[addr]++
	w.callsInFlight[addr]++
	w.maxInFlight = max(w.maxInFlight, w.callsInFlight[addr])
	if w.unreachable[addr] {
		return errors.New("dead")
	}
	return nil
}

func (w *fakeWorkers) endCall(addr string) {
	w.mu.Lock()
	w.callsInFlight[addr]--
	w.mu.Unlock()
}

func (w *fakeWorkers) CacheEvents(_ context.Context, addr string, since uint64, wait time.Duration) (backend.CacheEvents, error) {
	defer w.endCall(addr)
	if err := w.startCall(addr, w.events); err != nil {
		return backend.CacheEvents{}, err
	}
	w.mu.Lock()
	w.waits = append(w.waits, wait)
	w.mu.Unlock()
	return backend.CacheEvents{BootID: 1, NextSequence: 5, Gap: w.hasGap && since == 0, Throttled: w.isThrottled, Changes: []backend.CacheChange{cacheChange("a", 10)}}, nil
}

func (w *fakeWorkers) CachedPrefixes(_ context.Context, addr string) (backend.CacheEvents, error) {
	defer w.endCall(addr)
	if err := w.startCall(addr, w.lists); err != nil {
		return backend.CacheEvents{}, err
	}
	return backend.CacheEvents{BootID: 1, NextSequence: 6, Changes: []backend.CacheChange{cacheChange("a", 10), cacheChange("b", 10)}}, nil
}

func runSite(t *testing.T, workers *fakeWorkers, snapshot *fleet.Snapshot, test func(node *Node)) {
	t.Helper()
	workers.events, workers.lists, workers.callsInFlight = map[string]int{}, map[string]int{}, map[string]int{}
	if workers.unreachable == nil {
		workers.unreachable = map[string]bool{}
	}
	synctest.Test(t, func(t *testing.T) {
		environment := daemon.Environment{Clock: clock.Synctest(), WallClock: time.Now, Seed: func() uint64 { return 1 }}
		process := daemon.NewIn(environment, "index", settings.Process{Name: "core-0", Bounds: settings.DefaultBounds(), Options: []string{"log=off"}})
		node, err := StartSite(process, workers, func() *fleet.Snapshot { return snapshot })
		if err != nil {
			t.Fatal(err)
		}
		test(node)
		process.Stop(time.Second)
		synctest.Wait()
	})
}

func wait(d time.Duration) {
	<-time.NewTimer(d).C
	synctest.Wait()
}

func newSnapshot(nodes []*wire.Node) *fleet.Snapshot {
	return &fleet.Snapshot{Nodes: nodes, Workers: []fleet.Worker{{ID: "w1", Service: "llm", Addr: "1:1"}, {ID: "w2", Service: "llm", Addr: "1:2"}, {ID: "p", Service: "app", Addr: "1:9"}},
		Plan: &routingconfig.Plan{Services: []routingconfig.Service{{Name: "llm", Engine: &routingconfig.Engine{MaxPolls: 12}}, {Name: "app"}, {Name: "d", Store: &routingconfig.Store{Addr: "2:1"}}}}}
}

// Each call has its cost: one a worker and poll interval, none to workers without a prompt cache, none by a
// node that stands by.
func TestWorkersArePolledAtTheirPace(t *testing.T) {
	bounds := settings.DefaultBounds()
	workers := &fakeWorkers{}
	runSite(t, workers, newSnapshot(indexNodes("a")), func(n *Node) {
		wait(10 * bounds.Heal(pollRatio))
		for _, a := range []string{"1:1", "1:2", "2:1"} {
			if workers.events[a] < 9 || workers.events[a] > 11 {
				t.Errorf("%s was polled %d times in ten intervals", a, workers.events[a])
			}
		}
		if workers.events["1:9"] != 0 || len(workers.lists) != 0 || workers.maxInFlight != 1 {
			t.Errorf("worker without a cache %d, full lists %v, at once %d", workers.events["1:9"], workers.lists, workers.maxInFlight)
		}
		k, up := PartKey("s", "a"), StoreHealthKey("d")
		a, err := n.Lookup(context.Background(), &wire.LookupRequest{Keys: [][]byte{k[:], up[:]}})
		if err != nil || len(a.Results) != 2 || !a.Warm || len(a.Results[0].Holders) != 3 || len(a.Results[1].Holders) != 1 {
			t.Errorf("%v, %v", a, err)
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
	runSite(t, workers, newSnapshot(nodes), func(*Node) { wait(bounds.Heal(1)) })
	if len(workers.events) != 0 {
		t.Errorf("a node that stands by polled %v", workers.events)
	}
}

func TestFullListsArePaced(t *testing.T) {
	b := settings.DefaultBounds()
	workers := &fakeWorkers{hasGap: true}
	runSite(t, workers, newSnapshot(indexNodes("a")), func(n *Node) {
		wait(b.Heal(0.9))
		if workers.lists["1:1"] != 1 || workers.lists["1:2"] != 1 || workers.lists["2:1"] != 1 {
			t.Errorf("full lists: %v", workers.lists)
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
		if wait(bounds.Heal(0.4)); isUp() {
			t.Error("an unreachable store is up")
		}
		workers.mu.Lock()
		workers.unreachable["2:1"] = false
		workers.mu.Unlock()
		if wait(bounds.Heal(0.4)); !isUp() {
			t.Error("a store that is reachable again is down")
		}
		workers.mu.Lock()
		workers.unreachable["2:1"] = true
		workers.mu.Unlock()
		if wait(bounds.Heal(0.2)); isUp() {
			t.Error("a store that became unreachable is up")
		}
	})
}
