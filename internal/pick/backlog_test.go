package pick

import (
	"fmt"
	"testing"
	"time"

	"pebbleloom/internal/catalogue"
)

// A worker whose first pieces don't come is behind, whatever it last said of its load: others are
// picked, and what it keeps is fetched from it.
func TestAWorkerWhoseFirstPiecesAreLateIsSpared(t *testing.T) {
	e := newEdge(fleetOf(18))
	h := e.home(t, "p")
	e.tell("p", catalogue.Confirmed, h)
	r := e.ask("p", 13000)
	c := e.must(t, r)
	if c.Worker.ID != h {
		t.Fatalf("%s, not its home %s", c.Worker.ID, h)
	}
	e.send(r, c, e.now)
	e.now += 2 * route.Target
	for range 10 {
		if c := e.must(t, e.ask("p", 13000)); c.Worker.ID == h || c.Fetch != h+":1" {
			t.Fatalf("%s, fetching from %q, though %s is late", c.Worker.ID, c.Fetch, h)
		}
	}
	// Once it has come, how late it was still counts for a while.
	e.begin(r, c, &Load{Running: 2, Slots: 128}, 2*route.Target, e.now)
	if c := e.must(t, e.ask("p", 13000)); c.Worker.ID == h {
		t.Error("forgotten at once")
	}
	e.now += 8 * e.b.Heal(fadePart)
	if c := e.must(t, e.ask("p", 13000)); c.Worker.ID != h {
		t.Errorf("%s, though %s is free again", c.Worker.ID, h)
	}
}

// What a worker says of its load counts from its first piece on, not from its answer's end.
func TestLoadIsHeardAtTheFirstPiece(t *testing.T) {
	e := newEdge(fleetOf(18))
	h := e.home(t, "p")
	e.tell("p", catalogue.Confirmed, h)
	for i := range 4 { // what a prompt takes here is known by then
		r := e.ask(fmt.Sprint("x", i), 13000)
		e.serve(r, e.must(t, r), 150*time.Millisecond)
	}
	r := e.ask("p", 13000)
	c := e.must(t, r)
	e.send(r, c, e.now)
	e.now += 40 * time.Millisecond
	e.begin(r, c, &Load{Running: 14, Waiting: 30, Slots: 128}, 40*time.Millisecond, e.now)
	if c := e.must(t, e.ask("p", 13000)); c.Worker.ID == h {
		t.Errorf("%s is picked, though 30 wait there", h)
	}
	if x := e.v.groups["llm"].seats[e.v.groups["llm"].at[h]].st; x.under != 1 || len(x.unread) != 0 {
		t.Errorf("%d under way, %d of them unread", x.under, len(x.unread))
	}
	e.done(r, c, Served, nil, 40*time.Millisecond, e.now)
	if x := e.v.groups["llm"].seats[e.v.groups["llm"].at[h]].st; x.under != 0 || len(x.unread) != 0 {
		t.Errorf("%d under way, %d of them unread", x.under, len(x.unread))
	}
}
