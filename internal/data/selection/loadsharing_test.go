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

// sharingEdges are several edge machines that share their loads through one prompt index node.
type sharingEdges struct {
	aggregator *promptindex.LoadAggregator
	edges      []*testEdge
	now        time.Duration
}

func newSharingEdges(workers, edges int) *sharingEdges {
	sharing := &sharingEdges{aggregator: promptindex.NewLoadAggregator(settings.DefaultBounds()), now: processStart + time.Minute}
	// The load aggregator returns no loads until it has received reports for some time, so record two earlier
	// reports.
	for _, ratio := range []float64{1.0 / 15, 1.0 / 30} {
		sharing.aggregator.Record("before", &wire.WorkerLoads{}, sharing.now-settings.DefaultBounds().Recovery(ratio))
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

// exchangeLoads makes every edge machine report its loads and receive those of the other edge machines.
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

// sendTo sends an attempt of a new request from this edge machine to the given worker.
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
		t.Fatalf("all workers but %s were tried: no worker selected, want that one", worker)
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

// A worker fails requests of three edge machines: edge machines that sent it no requests avoid it too.
func TestFailuresAreSharedWithOtherEdges(t *testing.T) {
	sharing := newSharingEdges(20, 30)
	for _, edge := range sharing.edges[:3] {
		edge.now = sharing.now
		request, choice := edge.sendTo(t, "w3")
		edge.recordOutcome(request, choice, Failed, nil, 0, sharing.now)
	}
	sharing.exchangeLoads()
	if n := sharing.countSelected(300)["w3"]; n > 0 {
		t.Errorf("worker w3, which failed requests of 3 edge machines, was selected for %d of 300 requests, want 0", n)
	}
	// Advance the clock until the ejection of worker w3 has ended.
	sharing.now += settings.DefaultBounds().Recovery(2)
	if n := sharing.countSelected(300)["w3"]; n == 0 {
		t.Error("after the ejection of worker w3 ended, it was selected for 0 of 300 requests, want at least 1")
	}
}

// Failures that are equally frequent on all workers don't lead to an ejection by the outcomes that edge
// machines report to each other.
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
		for _, worker := range edge.workers {
			// Clear ejections that are due to this edge machine's own attempts.
			worker.ejectedUntil = 0
		}
		edge.applyOthersLoads(sharing.aggregator.Others("none", edge.layout.workerListHash, sharing.now), sharing.now)
		for id, worker := range edge.workers {
			if worker.ejectedUntil > sharing.now {
				t.Fatalf("half of the attempts failed on every worker: worker %s is ejected, want no ejection", id)
			}
		}
	}
}

// A worker that accepts requests but never responds is ejected before any of the requests has ended.
func TestOverdueFirstEventsEject(t *testing.T) {
	sharing := newSharingEdges(20, 30)
	for _, edge := range sharing.edges[:4] {
		edge.now = sharing.now
		edge.sendTo(t, "w3")
	}
	sharing.exchangeLoads()
	if sharing.edges[9].workers["w3"].ejectedUntil > sharing.now {
		t.Error("worker w3 is ejected before any of its first response events is overdue, want no ejection")
	}
	sharing.now += route.LatencyTarget + time.Millisecond
	sharing.exchangeLoads()
	if n := sharing.countSelected(300)["w3"]; n > 0 {
		t.Errorf("worker w3, whose first response events are overdue, was selected for %d of 300 requests, want 0", n)
	}
}

// In load reports, an attempt whose first response event was received contributes no pending prompt tokens and
// doesn't count as overdue.
func TestFirstEventClearsPendingTokens(t *testing.T) {
	sharing := newSharingEdges(4, 2)
	edge := sharing.edges[0]
	edge.now = sharing.now
	request, choice := edge.sendTo(t, "w1")
	if loads := edge.localLoads(sharing.now); len(loads.WorkerIndexes) != 1 || loads.PendingPrefill[0] != 1000/pendingTokensUnit || loads.InFlight[0] != 1 {
		t.Fatalf("after an attempt was sent: load report %v, want 1 worker with 1 request in flight and pending prefill %d, its 1000 prompt tokens in units of %d tokens", loads, 1000/pendingTokensUnit, pendingTokensUnit)
	}
	edge.recordFirstEvent(request, choice, nil, time.Millisecond, sharing.now+time.Millisecond)
	sharing.now += time.Minute / 2
	if loads := edge.localLoads(sharing.now); len(loads.WorkerIndexes) != 1 || loads.PendingPrefill[0] != 0 || loads.Failures[0] != 0 || loads.InFlight[0] != 1 {
		t.Errorf("after the first response event of the only attempt: load report %v, want 1 worker with 1 request in flight, no pending prefill and no failures", loads)
	}
	edge.recordOutcome(request, choice, Completed, nil, time.Millisecond, sharing.now)
	if loads := edge.localLoads(sharing.now); len(loads.WorkerIndexes) != 1 || loads.InFlight[0] != 0 || loads.Successes[0] != outcomesPerCount {
		t.Errorf("after the only attempt completed: load report %v, want 1 worker with no request in flight and a success count of %d", loads, outcomesPerCount)
	}
}

// Edge machines that send few requests each but share their loads spread requests evenly over the workers.
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
		for _, count := range byWorker {
			greatest = max(greatest, count)
		}
		return greatest
	}
	if with, without := busiest(true), busiest(false); with > 14 || with >= without {
		t.Errorf("busiest of 40 workers got %d of 400 requests if edge machines share their loads and %d if not; want at most 14 if they do, and fewer than if not", with, without)
	}
}

// Load reports that refer to another list of workers, or have arrays of different lengths, are ignored.
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
		t.Errorf("load report that refers to another list of workers: load of worker w1 from other edge machines is %v, want 0", edge.workers["w1"].othersLoad)
	}
	loads.WorkerListHash--
	loads.InFlight = nil
	edge.applyOthersLoads(loads, sharing.now)
	if edge.workers["w1"].othersLoad != 0 {
		t.Errorf("load report with arrays of different lengths: load of worker w1 from other edge machines is %v, want 0", edge.workers["w1"].othersLoad)
	}
}
