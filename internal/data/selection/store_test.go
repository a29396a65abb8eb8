package selection

import (
	"fmt"
	"testing"
	"time"

	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/data/promptindex"
)

func newEdgeWithStores(n int) *testEdge {
	snapshot := newFleet(18)
	snapshot.Plan.Services = snapshot.Plan.Services[:2]
	for i := range n {
		snapshot.Plan.Services = append(snapshot.Plan.Services, routingconfig.Service{Name: fmt.Sprint("store", i),
			Store: &routingconfig.Store{Addr: fmt.Sprintf("store%d:1", i), Zone: fmt.Sprint("d", i), LinkMbps: 150000}})
	}
	return newEdge(snapshot)
}

// Each prompt part is saved to one of several stores, the same one whatever the zone of the worker that
// prefills it, and the parts are distributed over all stores.
func TestPartsAreDistributedOverStores(t *testing.T) {
	partsByStore := map[string]int{}
	for p := range 60 {
		store := ""
		for d := range 3 {
			edge := newEdgeWithStores(3)
			edge.requestCount = 100 * d
			request := edge.newRequest(fmt.Sprint("p", p), 13000)
			tried := map[string]bool{}
			// Exclude the workers of all zones but one from the selection.
			for i, w := range edge.snapshot.Workers {
				if i%4 != d {
					tried[w.ID] = true
				}
			}
			choice, ok := edge.selectWorker(edge.snapshot, request, nil, tried, edge.now)
			if !ok || choice.Save == "" || store != "" && choice.Save != store {
				t.Fatalf("part %d: choices with workers in two zones have save addresses %q and %q, want the same store", p, store, choice.Save)
			}
			store = choice.Save
		}
		partsByStore[store]++
	}
	if len(partsByStore) != 3 || partsByStore["store0:1"] < 10 || partsByStore["store1:1"] < 10 || partsByStore["store2:1"] < 10 {
		t.Errorf("number of parts by store, of 60 parts: %v, want at least 10 in each of 3 stores", partsByStore)
	}
}

// A prompt part that one store has isn't saved to another store.
func TestPartInAnyStoreIsNotSavedAgain(t *testing.T) {
	edge := newEdgeWithStores(3)
	for i := range 3 {
		part := fmt.Sprint("p", i)
		edge.setHolders(part, promptindex.Confirmed, fmt.Sprint("store", i))
		if choice := edge.mustSelect(t, edge.newRequest(part, 13000)); choice.Save != "" || choice.Fetch != fmt.Sprintf("store%d:1", i) {
			t.Errorf("part %d is in store%d: choice has save address %q and fetch address %q, want no save and a fetch from that store", i, i, choice.Save, choice.Fetch)
		}
	}
}

// Prompt parts that are assigned to an unavailable store are saved to one of the other stores.
func TestUnavailableStoreIsReplaced(t *testing.T) {
	edge := newEdgeWithStores(3)
	request := edge.newRequest("p", 13000)
	first := edge.mustSelect(t, request).Save
	for i := range 3 {
		if s := edge.snapshot.Plan.Services[2+i]; s.Store.Addr == first {
			edge.unavailableStores[s.Name] = true
		}
	}
	edge.now += time.Second
	if choice := edge.mustSelect(t, edge.newRequest("p", 13000)); choice.Save == "" || choice.Save == first {
		t.Errorf("store %q is unavailable: choice has save address %q, want the address of another store", first, choice.Save)
	}
}

// No store is used for a request without prompt parts.
func TestRequestWithoutPartsUsesNoStore(t *testing.T) {
	edge := newEdgeWithStores(2)
	request := edge.newRequest("", 0)
	request.Parts = nil
	if choice := edge.mustSelect(t, request); choice.Save != "" || choice.Fetch != "" {
		t.Errorf("request without prompt parts: choice has save address %q and fetch address %q, want neither", choice.Save, choice.Fetch)
	}
}
