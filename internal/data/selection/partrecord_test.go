package selection

import (
	"testing"
	"time"

	"pebbleloom/internal/data/promptindex"
	"pebbleloom/internal/wire"
)

// A worker evicts prompt parts that were not used for some time. Once the prompt index has learned of the
// eviction, an edge machine that sent the part there relies on the index and doesn't fetch the part from that
// worker.
func TestEvictedPartIsNotFetched(t *testing.T) {
	edge := newEdge(newFleet(18))
	request := edge.newRequest("p", 13000)
	first := edge.mustSelect(t, request)
	edge.serve(request, first, 150*time.Millisecond)
	holder := otherWorker(first.Worker.ID)
	edge.now += edge.bounds.Recovery(recordTuning.indexLagRatio)
	edge.setHolders("p", promptindex.Confirmed, holder)
	from := holder + ":1"
	for range 30 {
		choice := edge.mustSelect(t, edge.newRequest("p", 13000))
		if choice.Worker.ID == first.Worker.ID && choice.Fetch != from {
			t.Fatalf("selected worker %s, which evicted the part: it fetches from %q, want %q", choice.Worker.ID, choice.Fetch, from)
		}
		if choice.Worker.ID != holder && choice.Fetch != from {
			t.Fatalf("selected worker %s, which never cached the part: it fetches from %q, want %q, the only worker that caches it", choice.Worker.ID, choice.Fetch, from)
		}
	}
}

// A prompt index that has just started doesn't know which workers cache a part: then an edge machine relies on
// its own records.
func TestOwnRecordsOutweighAnEmptyIndex(t *testing.T) {
	edge := newEdge(newFleet(18))
	request := edge.newRequest("p", 13000)
	first := edge.mustSelect(t, request)
	edge.serve(request, first, 150*time.Millisecond)
	edge.now += edge.bounds.Recovery(recordTuning.indexLagRatio)
	edge.found[promptindex.PartKey(CacheSalt("m", 1, ""), "p")] = &wire.LookupResult{}
	if choice := edge.mustSelect(t, edge.newRequest("p", 13000)); choice.Worker.ID != first.Worker.ID && choice.Fetch != first.Worker.Addr {
		t.Errorf("prompt index knows no worker that caches the part: selected %s, fetching from %q; want %s, which prefilled the part, or a fetch from it", choice.Worker.ID, choice.Fetch, first.Worker.ID)
	}
}
