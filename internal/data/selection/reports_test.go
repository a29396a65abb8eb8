package selection

import (
	"testing"
	"time"

	"pebbleloom/internal/data/promptindex"
	"pebbleloom/internal/wire"
)

// A worker drops what it doesn't use for long. Once the index would know of it, an edge that saw
// the part there goes by the index: what was dropped is fetched from nobody.
func TestWhatAWorkerDroppedIsNotFetchedFromIt(t *testing.T) {
	e := newEdge(fleetOf(18))
	r := e.ask("p", 13000)
	first := e.must(t, r)
	e.serve(r, first, 150*time.Millisecond)
	holder := other(first.Worker.ID)
	e.now += e.bounds.Heal(recordTuning.indexLagRatio)
	e.setHolders("p", promptindex.Confirmed, holder)
	from := holder + ":1"
	for range 30 {
		c := e.must(t, e.ask("p", 13000))
		if c.Worker.ID == first.Worker.ID && c.Fetch != from {
			t.Fatalf("%s is believed to keep what it dropped", c.Worker.ID)
		}
		if c.Worker.ID != holder && c.Fetch != from {
			t.Fatalf("%s fetches from %q: only %s keeps it", c.Worker.ID, c.Fetch, holder)
		}
	}
}

// An index that has just begun knows nothing: then an edge goes by what it saw itself.
func TestAnIndexWithoutMemoryIsNotBelieved(t *testing.T) {
	e := newEdge(fleetOf(18))
	r := e.ask("p", 13000)
	first := e.must(t, r)
	e.serve(r, first, 150*time.Millisecond)
	e.now += e.bounds.Heal(recordTuning.indexLagRatio)
	e.found[promptindex.PartKey(CacheSalt("m", 1, nil), "p")] = &wire.LookupResult{}
	if c := e.must(t, e.ask("p", 13000)); c.Worker.ID != first.Worker.ID && c.Fetch != first.Worker.Addr {
		t.Errorf("%s, fetching from %q; %s read it", c.Worker.ID, c.Fetch, first.Worker.ID)
	}
}
