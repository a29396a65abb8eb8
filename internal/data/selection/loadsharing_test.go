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

// sharingEdges are edge machines that share their loads through one index node.
type sharingEdges struct {
	aggregator *promptindex.LoadAggregator
	edges      []*testEdge
	now        time.Duration
}

func newSharingEdges(workers, edges int) *sharingEdges {
	sharing := &sharingEdges{aggregator: promptindex.NewLoadAggregator(settings.DefaultBounds()), now: processStart + time.Minute}
	for _, part := range []float64{1.0 / 15, 1.0 / 30} { // it has received reports for a while
		sharing.aggregator.Record("before", &wire.WorkerLoads{}, sharing.now-settings.DefaultBounds().Heal(part))
	}
	snapshot := newFleet(workers)
	snapshot.EdgeCount = edges
	for i := range edges {
		edge := newEdge(snapshot)
		edge.requestCount = 1000 * i
		sharing.edges = append(sharing.edges, edge)
	}
	return sharing
}

// exchangeLoads lets every edge machine report its loads and receive those of the others.
func (sharing *sharingEdges) exchangeLoads() {
	for i, edge := range sharing.edges {
		edge.now = sharing.now
		edge.layoutFor(edge.snapshot)
		sharing.aggregator.Record(fmt.Sprint(i), edge.localLoads(sharing.now), sharing.now)
	}
	for i, edge := range sharing.edges {
		edge.applyOthersLoads(sharing.aggregator.Others(fmt.Sprint(i), edge.layout.workerListHash, sharing.now), sharing.now)
	}
}

// sendTo sends an attempt of an edge machine to a worker.
func (e *testEdge) sendTo(t *testing.T, worker string) (*Request, Choice) {
	t.Helper()
	request := e.newRequest("", 0)
	others := map[string]bool{}
	for i := range e.snapshot.Workers {
		if id := e.snapshot.Workers[i].ID; id != worker {
			others[id] = true
		}
	}
	choice, ok := e.selectWorker(e.snapshot, request, nil, others, e.now)
	if !ok {
		t.Fatal("none was selected")
	}
	e.recordSent(request, choice, e.now)
	return request, choice
}

func (sharing *sharingEdges) countSelected(n int) map[string]int {
	byWorker := map[string]int{}
	for i := range n {
		edge := sharing.edges[i%len(sharing.edges)]
		edge.now = sharing.now
		if choice, ok := edge.selectWorker(edge.snapshot, edge.newRequest("", 0), nil, nil, sharing.now); ok {
			byWorker[choice.Worker.ID]++
		}
	}
	return byWorker
}

// A worker fails one request of each of three edge machines: those that never sent it any avoid it too.
func TestFailuresAreSharedWithOtherEdges(t *testing.T) {
	sharing := newSharingEdges(20, 30)
	for _, edge := range sharing.edges[:3] {
		edge.now = sharing.now
		request, choice := edge.sendTo(t, "w3")
		edge.recordOutcome(request, choice, Failed, nil, 0, sharing.now)
	}
	sharing.exchangeLoads()
	if n := sharing.countSelected(300)["w3"]; n > 0 {
		t.Errorf("selected %d times", n)
	}
	sharing.now += settings.DefaultBounds().Heal(2) // the ejection has ended
	if n := sharing.countSelected(300)["w3"]; n == 0 {
		t.Error("never selected again")
	}
}

// Failures that all workers have alike eject none of them.
func TestFailuresOfAllWorkersEjectNone(t *testing.T) {
	sharing := newSharingEdges(12, 30)
	for i, edge := range sharing.edges {
		edge.now = sharing.now
		for k := range 4 {
			request, choice := edge.sendTo(t, fmt.Sprint("w", (i+k)%12))
			edge.recordOutcome(request, choice, Failed, nil, 0, sharing.now)
			request, choice = edge.sendTo(t, fmt.Sprint("w", (i+k)%12))
			edge.recordOutcome(request, choice, Completed, nil, 40*time.Millisecond, sharing.now)
		}
	}
	sharing.exchangeLoads()
	for _, edge := range sharing.edges {
		for _, x := range edge.workers {
			x.ejectedUntil = 0 // what this edge machine's own attempts caused
		}
		edge.applyOthersLoads(sharing.aggregator.Others("none", edge.layout.workerListHash, sharing.now), sharing.now)
		for id, x := range edge.workers {
			if x.ejectedUntil > sharing.now {
				t.Fatalf("%s is ejected", id)
			}
		}
	}
}

// A worker accepts requests and stays silent: it is ejected before any of them has ended.
func TestOverdueFirstEventsEject(t *testing.T) {
	sharing := newSharingEdges(20, 30)
	for _, edge := range sharing.edges[:4] {
		edge.now = sharing.now
		edge.sendTo(t, "w3")
	}
	sharing.exchangeLoads()
	if sharing.edges[9].workers["w3"].ejectedUntil > sharing.now {
		t.Error("ejected before any first event was overdue")
	}
	sharing.now += route.LatencyTarget + time.Millisecond
	sharing.exchangeLoads()
	if n := sharing.countSelected(300)["w3"]; n > 0 {
		t.Errorf("selected %d times", n)
	}
}

// After its first event an attempt has no pending tokens, and can't be overdue.
func TestFirstEventClearsPendingTokens(t *testing.T) {
	sharing := newSharingEdges(4, 2)
	edge := sharing.edges[0]
	edge.now = sharing.now
	request, choice := edge.sendTo(t, "w1")
	if loads := edge.localLoads(sharing.now); len(loads.WorkerIndexes) != 1 || loads.PendingPrefill[0] != 1000/pendingTokensUnit || loads.InFlight[0] != 1 {
		t.Fatalf("reported %v", loads)
	}
	edge.recordFirstEvent(request, choice, nil, time.Millisecond, sharing.now+time.Millisecond)
	sharing.now += time.Minute / 2
	if loads := edge.localLoads(sharing.now); len(loads.WorkerIndexes) != 1 || loads.PendingPrefill[0] != 0 || loads.Failures[0] != 0 || loads.InFlight[0] != 1 {
		t.Errorf("reported %v", loads)
	}
	edge.recordOutcome(request, choice, Completed, nil, time.Millisecond, sharing.now)
	if loads := edge.localLoads(sharing.now); len(loads.WorkerIndexes) != 1 || loads.InFlight[0] != 0 || loads.Successes[0] != outcomesPerCount {
		t.Errorf("reported %v", loads)
	}
}

// Edge machines that each send few requests, but share loads, spread them: the busiest worker has little
// more than the mean.
func TestSharedLoadsSpreadRequests(t *testing.T) {
	busiest := func(shared bool) int {
		sharing := newSharingEdges(40, 80)
		random := rand.New(rand.NewPCG(1, 2))
		byWorker := map[string]int{}
		for i := range 400 {
			edge := sharing.edges[random.IntN(80)]
			edge.now = sharing.now
			request := edge.newRequest("", 0)
			if choice, ok := edge.selectWorker(edge.snapshot, request, nil, nil, sharing.now); ok {
				edge.recordSent(request, choice, sharing.now)
				byWorker[choice.Worker.ID]++
			}
			if sharing.now += time.Millisecond; shared && i%10 == 9 {
				sharing.exchangeLoads()
			}
		}
		greatest := 0
		for _, x := range byWorker {
			greatest = max(greatest, x)
		}
		return greatest
	}
	if with, without := busiest(true), busiest(false); with > 14 || with >= without {
		t.Errorf("the busiest of 40 got %d of 400, without sharing %d", with, without)
	}
}

// Loads on another list of workers, or with arrays of unequal length, are ignored.
func TestLoadsOnAnotherWorkerListAreIgnored(t *testing.T) {
	sharing := newSharingEdges(4, 2)
	edge := sharing.edges[0]
	edge.layoutFor(edge.snapshot)
	sharing.edges[1].sendTo(t, "w1")
	loads := sharing.edges[1].localLoads(sharing.now)
	loads.WorkerListHash++
	loads.Reporters = 1
	edge.applyOthersLoads(loads, sharing.now)
	if edge.workers["w1"].othersLoad != 0 {
		t.Error("applied loads on another list")
	}
	loads.WorkerListHash--
	loads.InFlight = nil
	edge.applyOthersLoads(loads, sharing.now)
	if edge.workers["w1"].othersLoad != 0 {
		t.Error("applied loads with arrays of unequal length")
	}
}
