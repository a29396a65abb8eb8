package selection

import (
	"testing"
	"time"

	"pebbleloom/internal/data/promptindex"
	"pebbleloom/internal/wire"
)

// A worker evicts what isn't used for long. Once the index knows of it, an edge machine that sent the part
// there relies on the index: an evicted part isn't fetched.
func TestEvictedPartIsNotFetched(t *testing.T) {
	edge := newEdge(newFleet(18))
	request := edge.newRequest("p", 13000)
	first := edge.mustSelect(t, request)
	edge.serve(request, first, 150*time.Millisecond)
	holder := otherWorker(first.Worker.ID)
	edge.now += edge.bounds.Heal(recordTuning.indexLagRatio)
	edge.setHolders("p", promptindex.Confirmed, holder)
	from := holder + ":1"
	for range 30 {
		choice := edge.mustSelect(t, edge.newRequest("p", 13000))
		if choice.Worker.ID == first.Worker.ID && choice.Fetch != from {
			t.Fatalf("%s is presumed to cache what it evicted", choice.Worker.ID)
		}
		if choice.Worker.ID != holder && choice.Fetch != from {
			t.Fatalf("%s fetches from %q: only %s caches it", choice.Worker.ID, choice.Fetch, holder)
		}
	}
}

// An index that has just started knows nothing: then an edge machine relies on its own records.
func TestOwnRecordsOutweighAnEmptyIndex(t *testing.T) {
	edge := newEdge(newFleet(18))
	request := edge.newRequest("p", 13000)
	first := edge.mustSelect(t, request)
	edge.serve(request, first, 150*time.Millisecond)
	edge.now += edge.bounds.Heal(recordTuning.indexLagRatio)
	edge.found[promptindex.PartKey(CacheSalt("m", 1, nil), "p")] = &wire.LookupResult{}
	if choice := edge.mustSelect(t, edge.newRequest("p", 13000)); choice.Worker.ID != first.Worker.ID && choice.Fetch != first.Worker.Addr {
		t.Errorf("%s, fetching from %q; %s has prefilled it", choice.Worker.ID, choice.Fetch, first.Worker.ID)
	}
}
