package selection

import (
	"fmt"
	"testing"
	"time"

	"pebbleloom/internal/data/promptindex"
	"pebbleloom/internal/wire"
)

// A worker whose first pieces don't come is behind, whatever it last said of its load: others are
// selected, and what it keeps is fetched from it.
func TestAWorkerWhoseFirstPiecesAreLateIsSpared(t *testing.T) {
	e := newEdge(fleetOf(18))
	h := e.home(t, "p")
	e.setHolders("p", promptindex.Confirmed, h)
	r := e.ask("p", 13000)
	c := e.must(t, r)
	if c.Worker.ID != h {
		t.Fatalf("%s, not its home %s", c.Worker.ID, h)
	}
	e.recordSent(r, c, e.now)
	e.now += 2 * route.LatencyTarget
	for range 10 {
		if c := e.must(t, e.ask("p", 13000)); c.Worker.ID == h || c.Fetch != h+":1" {
			t.Fatalf("%s, fetching from %q, though %s is late", c.Worker.ID, c.Fetch, h)
		}
	}
	// Once it has come, how late it was still counts for a while.
	e.recordFirstEvent(r, c, &Load{Running: 2, Slots: 128}, 2*route.LatencyTarget, e.now)
	if c := e.must(t, e.ask("p", 13000)); c.Worker.ID == h {
		t.Error("forgotten at once")
	}
	e.now += 8 * e.bounds.Heal(loadTuning.fadeRatio)
	if c := e.must(t, e.ask("p", 13000)); c.Worker.ID != h {
		t.Errorf("%s, though %s is free again", c.Worker.ID, h)
	}
}

// What a worker says of its load counts from its first piece on, not from its answer's end.
func TestLoadIsHeardAtTheFirstPiece(t *testing.T) {
	e := newEdge(fleetOf(18))
	h := e.home(t, "p")
	e.setHolders("p", promptindex.Confirmed, h)
	for i := range 4 { // what a prompt takes here is known by then
		r := e.ask(fmt.Sprint("x", i), 13000)
		e.serve(r, e.must(t, r), 150*time.Millisecond)
	}
	r := e.ask("p", 13000)
	c := e.must(t, r)
	e.recordSent(r, c, e.now)
	e.now += 40 * time.Millisecond
	e.recordFirstEvent(r, c, &Load{Running: 14, Waiting: 30, Slots: 128}, 40*time.Millisecond, e.now)
	if c := e.must(t, e.ask("p", 13000)); c.Worker.ID == h {
		t.Errorf("%s is selected, though 30 wait there", h)
	}
	if x := e.layout.groups["llm"].candidates[e.layout.groups["llm"].index[h]].stats; x.inFlight != 1 || len(x.pendingPrefills) != 0 {
		t.Errorf("%d under way, %d of them unread", x.inFlight, len(x.pendingPrefills))
	}
	e.recordOutcome(r, c, Completed, nil, 40*time.Millisecond, e.now)
	if x := e.layout.groups["llm"].candidates[e.layout.groups["llm"].index[h]].stats; x.inFlight != 0 || len(x.pendingPrefills) != 0 {
		t.Errorf("%d under way, %d of them unread", x.inFlight, len(x.pendingPrefills))
	}
}

// While weights are rolled out, prompts are drawn to the newer ones, but not into a queue: where
// those workers are behind, the older ones go on.
func TestPromptsAreNotDrawnIntoAQueue(t *testing.T) {
	s := fleetOf(18)
	s.Named["m"], s.NamedAt["m"] = 2, start+time.Minute
	for i := range 6 {
		s.Workers[i].Weights = map[string]uint64{"m": 2}
	}
	e := newEdge(s)
	e.startedAt = start - time.Hour
	e.now += time.Second
	newer := func(i int) bool {
		r := e.ask(fmt.Sprint("p", i), 13000)
		c := e.must(t, r)
		return c.Weights == 2
	}
	drawn := 0
	for i := range 100 {
		if newer(i) {
			drawn++
		}
	}
	if drawn < 20 || drawn > 80 {
		t.Errorf("%d of 100 are drawn to a third of the workers", drawn)
	}
	for _, x := range e.layoutFor(s).groups["llm"].candidates[:6] {
		x.stats.latenessMs, x.stats.latenessAt = 4*route.LatencyTarget.Seconds()*1e3, e.now
	}
	for i := range 100 {
		if newer(i) {
			t.Fatal("drawn to workers that are behind")
		}
	}
}

// A copy takes the room of another part: a holder is selected though a little waits there, and the
// part's home isn't there.
func TestNoCopyIsMadeForAShortWait(t *testing.T) {
	e := newEdge(fleetOf(18))
	e.must(t, e.ask("p", 13000))
	var h *candidate
	for i := range e.layout.groups["llm"].candidates {
		if x := &e.layout.groups["llm"].candidates[i]; x.worker.Zone == "d0" && x.worker.ID != e.home(t, "p") {
			h = x
		}
	}
	e.setHolders("p", promptindex.Confirmed, h.worker.ID)
	read := 13000 * h.stats.service.msPerToken
	h.stats.latenessMs, h.stats.latenessAt = 0.3*read, e.now
	if c := e.must(t, e.ask("p", 13000)); c.Worker.ID != h.worker.ID {
		t.Errorf("%s, for a wait of %.0f ms where %.0f would be read", c.Worker.ID, h.stats.latenessMs, read)
	}
	h.stats.latenessMs = 2 * read
	if c := e.must(t, e.ask("p", 13000)); c.Worker.ID == h.worker.ID || c.Fetch != h.worker.Addr {
		t.Errorf("%s, fetching from %q, though %.0f ms wait at %s", c.Worker.ID, c.Fetch, h.stats.latenessMs, h.worker.ID)
	}
}

// Being drawn to newer weights costs an older worker no more than the time of reading the shared
// parts there: the first reading under new weights has no other price.
func TestADrawWeighsNoMoreThanReading(t *testing.T) {
	s := fleetOf(18)
	s.Named["m"], s.NamedAt["m"] = 2, start+time.Minute
	for i := range 12 {
		s.Workers[i].Weights = map[string]uint64{"m": 2}
	}
	e := newEdge(s)
	e.startedAt = start - time.Hour
	e.now += time.Second
	for _, x := range e.layoutFor(s).groups["llm"].candidates[:12] {
		x.stats.latenessMs, x.stats.latenessAt = 2.5*13000*x.stats.service.msPerToken, e.now
	}
	for i := range 50 {
		part := fmt.Sprint("p", i)
		e.found[promptindex.PartKey(CacheSalt("m", 1, nil), part)] = found("w13", "w14", "w15", "w16", "w17")
		if c := e.must(t, e.ask(part, 13000)); c.Weights != 1 {
			t.Fatalf("%s waits %.0f ms for newer weights, though older workers that keep the part are free", part, 2.5*13000*e.services["llm"].msPerToken)
		}
	}
}

func found(holders ...string) *wire.LookupResult {
	f := &wire.LookupResult{Hotness: 1}
	for _, h := range holders {
		f.Holders = append(f.Holders, &wire.Holder{Worker: h, State: promptindex.Confirmed})
	}
	return f
}
