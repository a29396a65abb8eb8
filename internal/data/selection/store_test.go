package selection

import (
	"fmt"
	"testing"
	"time"

	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/data/promptindex"
)

func storesOf(n int) *edge {
	s := fleetOf(18)
	s.Plan.Services = s.Plan.Services[:2]
	for i := range n {
		s.Plan.Services = append(s.Plan.Services, routingconfig.Service{Name: fmt.Sprint("store", i),
			Store: &routingconfig.Store{Addr: fmt.Sprintf("store%d:1", i), Zone: fmt.Sprint("d", i), LinkMbps: 150000}})
	}
	return newEdge(s)
}

// Where there are several stores, each part belongs into one of them, whatever the zone of the
// worker that reads it, and they share the parts.
func TestStoresShareTheParts(t *testing.T) {
	n := map[string]int{}
	for p := range 60 {
		at := ""
		for d := range 3 {
			e := storesOf(3)
			e.n = 100 * d
			r := e.ask(fmt.Sprint("p", p), 13000)
			tried := map[string]bool{}
			for i, w := range e.s.Workers { // only workers of one zone are left
				if i%4 != d {
					tried[w.ID] = true
				}
			}
			c, ok := e.selectWorker(e.s, r, nil, tried, e.now)
			if !ok || c.Save == "" || at != "" && c.Save != at {
				t.Fatalf("part %d: %q, then %q", p, at, c.Save)
			}
			at = c.Save
		}
		n[at]++
	}
	if len(n) != 3 || n["store0:1"] < 10 || n["store1:1"] < 10 || n["store2:1"] < 10 {
		t.Errorf("60 parts: %v", n)
	}
}

// What any store has isn't handed to another.
func TestOneStoreIsEnoughForAPart(t *testing.T) {
	e := storesOf(3)
	for i := range 3 {
		part := fmt.Sprint("p", i)
		e.setHolders(part, promptindex.Confirmed, fmt.Sprint("store", i))
		if c := e.must(t, e.ask(part, 13000)); c.Save != "" || c.Fetch != fmt.Sprintf("store%d:1", i) {
			t.Errorf("part %d: save %q, fetch %q", i, c.Save, c.Fetch)
		}
	}
}

// When a store doesn't answer, its parts are handed to the others.
func TestAnotherStoreStandsIn(t *testing.T) {
	e := storesOf(3)
	r := e.ask("p", 13000)
	first := e.must(t, r).Save
	for i := range 3 {
		if s := e.s.Plan.Services[2+i]; s.Store.Addr == first {
			e.unavailableStores[s.Name] = true
		}
	}
	e.now += time.Second
	if c := e.must(t, e.ask("p", 13000)); c.Save == "" || c.Save == first {
		t.Errorf("%q, then %q", first, c.Save)
	}
}

// A request without prompt parts belongs into no store.
func TestNoPartsNoStore(t *testing.T) {
	e := storesOf(2)
	r := e.ask("", 0)
	r.Parts = nil
	if c := e.must(t, r); c.Save != "" || c.Fetch != "" {
		t.Errorf("save %q fetch %q", c.Save, c.Fetch)
	}
}
