package selection

import (
	"fmt"
	"testing"
	"time"
)

// A request that would wait too long at the best worker is rejected with the time after which the client may
// retry. A request that was already sent to a worker is never rejected for this reason.
func TestLongWaitIsRejectedWithRetryAfter(t *testing.T) {
	edge := newEdge(newFleet(18))
	if _, ok := edge.selectWorker(edge.snapshot, edge.newRequest("p", 13000), edge.found, nil, edge.now); !ok {
		t.Fatal("all workers idle: no worker selected, want one")
	}
	setLateness := func(ms float64, n int) {
		for _, worker := range edge.layoutFor(edge.snapshot).groups["llm"].candidates[:n] {
			worker.stats.latenessMs, worker.stats.latenessAt = ms, edge.now
		}
	}
	longMs := 4 * route.LatencyTarget.Seconds() * 1e3
	setLateness(longMs, 17)
	if choice, ok := edge.selectWorker(edge.snapshot, edge.newRequest("p", 13000), edge.found, nil, edge.now); !ok || choice.Worker.ID != "w17" {
		t.Errorf("17 of 18 workers backlogged: selected %q, want w17, the idle one", choice.Worker.ID)
	}
	setLateness(longMs, 18)
	choice, ok := edge.selectWorker(edge.snapshot, edge.newRequest("p", 13000), edge.found, nil, edge.now)
	if want := 4 * route.LatencyTarget; ok || choice.RetryAfter < want/2 || choice.RetryAfter > 2*want {
		t.Errorf("all workers backlogged: selected a worker: %t (ID %q), retry after %v; want no worker and a retry after %v to %v", ok, choice.Worker.ID, choice.RetryAfter, want/2, 2*want)
	}
	if _, ok := edge.selectWorker(edge.snapshot, edge.newRequest("p", 13000), edge.found, map[string]bool{"w3": true}, edge.now); !ok {
		t.Error("all workers backlogged: no worker selected for a request that was sent to worker w3 before, want one")
	}
	// Advance the clock until the recorded lateness of the workers' first response events has decayed to about 0;
	// no event was received in the meantime.
	edge.now += 9 * edge.bounds.Recovery(loadTuning.decayRatio)
	if _, ok := edge.selectWorker(edge.snapshot, edge.newRequest("p", 13000), edge.found, nil, edge.now); !ok {
		t.Error("after the recorded lateness of the first response events of all workers decayed to about 0: no worker selected, want one")
	}
}

// Clients disconnect after a timeout. After an overload, in which requests arrived faster than workers could
// prefill them, the workers recover rather than prefill prompts of disconnected clients indefinitely.
func TestOverloadEndsWithItsCause(t *testing.T) {
	// tokensPerMs is the number of prompt tokens that a worker prefills per millisecond, and clientTimeout the
	// time after which a client without a response event disconnects.
	const workers, tokensPerMs, clientTimeout = 6, 100.0, 3 * time.Second
	edge := newEdge(newFleet(workers))
	freeAt := map[string]time.Duration{}
	type sentAttempt struct {
		sentAt, firstEventAt time.Duration
		request              *Request
		choice               Choice
	}
	var inFlight []sentAttempt
	inTime, offered := 0, 0
	for i := 0; i < 4000; i++ {
		edge.now += 5 * time.Millisecond
		var stillInFlight []sentAttempt
		for _, sent := range inFlight {
			switch {
			case sent.firstEventAt <= edge.now:
				edge.recordFirstEvent(sent.request, sent.choice, &Load{Slots: 128}, sent.firstEventAt-sent.sentAt, edge.now)
				edge.recordOutcome(sent.request, sent.choice, Completed, nil, sent.firstEventAt-sent.sentAt, edge.now)
			case edge.now-sent.sentAt >= clientTimeout:
				edge.recordOutcome(sent.request, sent.choice, ClientGone, nil, 0, edge.now)
			default:
				stillInFlight = append(stillInFlight, sent)
			}
		}
		inFlight = stillInFlight
		// A request arrives every 20 ms, and every 10 ms during the overload from 4 s to 8 s after the start.
		isOverloaded := i > 800 && i < 1600
		if i%4 != 0 && !(isOverloaded && i%4 == 2) {
			continue
		}
		// Prefill of a request takes 90 ms, so one request per 20 ms is 3/4 of what 6 workers can prefill.
		request := edge.newRequest(fmt.Sprint("new", i), 8000)
		choice, ok := edge.selectWorker(edge.snapshot, request, edge.found, nil, edge.now)
		if i > 2800 {
			offered++
		}
		if !ok {
			continue
		}
		edge.recordSent(request, choice, edge.now)
		freeAt[choice.Worker.ID] = max(freeAt[choice.Worker.ID], edge.now) + time.Duration(9000/tokensPerMs)*time.Millisecond
		firstEventAt := freeAt[choice.Worker.ID] + 30*time.Millisecond
		inFlight = append(inFlight, sentAttempt{edge.now, firstEventAt, request, choice})
		if i > 2800 && firstEventAt-edge.now <= route.LatencyTarget {
			inTime++
		}
	}
	if inTime*10 < offered*8 {
		t.Errorf("after the overload ended: %d of %d requests got their first response event within the latency target, want at least 80%%", inTime, offered)
	}
}
