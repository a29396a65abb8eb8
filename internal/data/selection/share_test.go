package selection

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pebbleloom/internal/data/promptindex"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

// ring is some edges that share what they see by way of one index node.
type ring struct {
	l     *promptindex.LoadAggregator
	edges []*edge
	now   time.Duration
}

func newRing(workers, edges int) *ring {
	r := &ring{l: promptindex.NewLoadAggregator(settings.DefaultBounds()), now: start + time.Minute}
	for _, part := range []float64{1.0 / 15, 1.0 / 30} { // it has heard words for a while
		r.l.Record("before", &wire.WorkerLoads{}, r.now-settings.DefaultBounds().Heal(part))
	}
	s := fleetOf(workers)
	s.Edges = edges
	for i := range edges {
		e := newEdge(s)
		e.n = 1000 * i
		r.edges = append(r.edges, e)
	}
	return r
}

// share lets every edge machine send and receive.
func (r *ring) share() {
	for i, e := range r.edges {
		e.now = r.now
		e.layoutFor(e.s)
		r.l.Record(fmt.Sprint(i), e.localLoads(r.now), r.now)
	}
	for i, e := range r.edges {
		e.applyOthersLoads(r.l.Others(fmt.Sprint(i), e.layout.workerListHash, r.now), r.now)
	}
}

// bound puts an attempt of an edge on a worker.
func (e *edge) bound(t *testing.T, worker string) (*Request, Choice) {
	t.Helper()
	r := e.ask("", 0)
	tried := map[string]bool{}
	for i := range e.s.Workers {
		if id := e.s.Workers[i].ID; id != worker {
			tried[id] = true
		}
	}
	c, ok := e.selectWorker(e.s, r, nil, tried, e.now)
	if !ok {
		t.Fatal("nobody was selected")
	}
	e.recordSent(r, c, e.now)
	return r, c
}

func (r *ring) selected(n int) map[string]int {
	m := map[string]int{}
	for i := range n {
		e := r.edges[i%len(r.edges)]
		e.now = r.now
		if c, ok := e.selectWorker(e.s, e.ask("", 0), nil, nil, r.now); ok {
			m[c.Worker.ID]++
		}
	}
	return m
}

// A worker fails one request of each of three edges; none of the others has met it. All avoid it.
func TestWhatOneEdgeSawFailOthersAvoid(t *testing.T) {
	r := newRing(20, 30)
	for _, e := range r.edges[:3] {
		e.now = r.now
		q, c := e.bound(t, "w3")
		e.recordOutcome(q, c, Failed, nil, 0, r.now)
	}
	r.share()
	if n := r.selected(300)["w3"]; n > 0 {
		t.Errorf("selected %d times", n)
	}
	r.now += settings.DefaultBounds().Heal(2) // it comes back in the end
	if n := r.selected(300)["w3"]; n == 0 {
		t.Error("never selected again")
	}
}

// Errors that all workers have a share of are no reason to leave any out.
func TestErrorsOfAllLeaveNobodyOut(t *testing.T) {
	r := newRing(12, 30)
	for i, e := range r.edges {
		e.now = r.now
		for k := range 4 {
			q, c := e.bound(t, fmt.Sprint("w", (i+k)%12))
			e.recordOutcome(q, c, Failed, nil, 0, r.now)
			q, c = e.bound(t, fmt.Sprint("w", (i+k)%12))
			e.recordOutcome(q, c, Completed, nil, 40*time.Millisecond, r.now)
		}
	}
	r.share()
	for _, e := range r.edges {
		for _, x := range e.workers {
			x.ejectedUntil = 0 // but for what the edge saw itself
		}
		e.applyOthersLoads(r.l.Others("none", e.layout.workerListHash, r.now), r.now)
		for id, x := range e.workers {
			if x.ejectedUntil > r.now {
				t.Fatalf("%s is out", id)
			}
		}
	}
}

// A worker takes requests and is silent: it is avoided before any of them has ended.
func TestOverdueFirstPiecesCount(t *testing.T) {
	r := newRing(20, 30)
	for _, e := range r.edges[:4] {
		e.now = r.now
		e.bound(t, "w3")
	}
	r.share()
	if r.edges[9].workers["w3"].ejectedUntil > r.now {
		t.Error("left out before anything was overdue")
	}
	r.now += route.LatencyTarget + time.Millisecond
	r.share()
	if n := r.selected(300)["w3"]; n > 0 {
		t.Errorf("selected %d times", n)
	}
}

// A first piece in time clears an attempt, and what its prompt had to be read for.
func TestAFirstPieceClearsAnAttempt(t *testing.T) {
	r := newRing(4, 2)
	e := r.edges[0]
	e.now = r.now
	q, c := e.bound(t, "w1")
	if w := e.localLoads(r.now); len(w.WorkerIndexes) != 1 || w.PendingPrefill[0] != 1000/pendingTokensUnit || w.InFlight[0] != 1 {
		t.Fatalf("reported %v", w)
	}
	e.recordFirstEvent(q, c, nil, time.Millisecond, r.now+time.Millisecond)
	r.now += time.Minute / 2
	if w := e.localLoads(r.now); len(w.WorkerIndexes) != 1 || w.PendingPrefill[0] != 0 || w.Failures[0] != 0 || w.InFlight[0] != 1 {
		t.Errorf("reported %v", w)
	}
	e.recordOutcome(q, c, Completed, nil, time.Millisecond, r.now)
	if w := e.localLoads(r.now); len(w.WorkerIndexes) != 1 || w.InFlight[0] != 0 || w.Successes[0] != outcomesPerCount {
		t.Errorf("reported %v", w)
	}
}

// Edges that each send little put the load where the others haven't: the busiest worker has
// little more than the mean.
func TestEdgesSpreadTheirLoadTogether(t *testing.T) {
	most := func(shared bool) int {
		r := newRing(40, 80)
		rnd := rand.New(rand.NewPCG(1, 2))
		n := map[string]int{}
		for i := range 400 {
			e := r.edges[rnd.IntN(80)]
			e.now = r.now
			q := e.ask("", 0)
			if c, ok := e.selectWorker(e.s, q, nil, nil, r.now); ok {
				e.recordSent(q, c, r.now)
				n[c.Worker.ID]++
			}
			if r.now += time.Millisecond; shared && i%10 == 9 {
				r.share()
			}
		}
		m := 0
		for _, x := range n {
			m = max(m, x)
		}
		return m
	}
	if with, without := most(true), most(false); with > 14 || with >= without {
		t.Errorf("the busiest of 40 got %d of 400, without sharing %d", with, without)
	}
}

// A word on another list of workers says nothing about this one.
func TestAWordOnAnotherListIsLeft(t *testing.T) {
	r := newRing(4, 2)
	e := r.edges[0]
	e.layoutFor(e.s)
	r.edges[1].bound(t, "w1")
	w := r.edges[1].localLoads(r.now)
	w.WorkerListHash++
	w.Reporters = 1
	e.applyOthersLoads(w, r.now)
	if e.workers["w1"].othersLoad != 0 {
		t.Error("taken")
	}
	w.WorkerListHash--
	w.InFlight = nil
	e.applyOthersLoads(w, r.now)
	if e.workers["w1"].othersLoad != 0 {
		t.Error("taken, though it is broken")
	}
}
