package selection

import (
	"fmt"
	"testing"
	"time"
)

// A request that would wait long at the best worker is rejected, with the time after which the client may
// retry. One that was sent to a worker before is sent in any case.
func TestLongWaitIsRejectedWithRetryAfter(t *testing.T) {
	edge := newEdge(newFleet(18))
	if _, ok := edge.selectWorker(edge.snapshot, edge.newRequest("p", 13000), edge.found, nil, edge.now); !ok {
		t.Fatal("no load, and none is selected")
	}
	setLateness := func(ms float64, n int) {
		for _, x := range edge.layoutFor(edge.snapshot).groups["llm"].candidates[:n] {
			x.stats.latenessMs, x.stats.latenessAt = ms, edge.now
		}
	}
	longMs := 4 * route.LatencyTarget.Seconds() * 1e3
	setLateness(longMs, 17)
	if choice, ok := edge.selectWorker(edge.snapshot, edge.newRequest("p", 13000), edge.found, nil, edge.now); !ok || choice.Worker.ID != "w17" {
		t.Errorf("one worker is free, and %q is selected", choice.Worker.ID)
	}
	setLateness(longMs, 18)
	choice, ok := edge.selectWorker(edge.snapshot, edge.newRequest("p", 13000), edge.found, nil, edge.now)
	if want := 4 * route.LatencyTarget; ok || choice.RetryAfter < want/2 || choice.RetryAfter > 2*want {
		t.Errorf("selected %v %q, retry after %v", ok, choice.Worker.ID, choice.RetryAfter)
	}
	if _, ok := edge.selectWorker(edge.snapshot, edge.newRequest("p", 13000), edge.found, map[string]bool{"w3": true}, edge.now); !ok {
		t.Error("a request that was sent before is rejected")
	}
	edge.now += 9 * edge.bounds.Heal(loadTuning.decayRatio) // without new samples the lateness fades
	if _, ok := edge.selectWorker(edge.snapshot, edge.newRequest("p", 13000), edge.found, nil, edge.now); !ok {
		t.Error("rejects forever")
	}
}

// Clients disconnect after a long wait. A fleet that was offered more than it can prefill for a while
// recovers: it doesn't go on prefilling for clients that are gone.
func TestOverloadEndsWithItsCause(t *testing.T) {
	const workers, rate, patience = 6, 100.0, 3 * time.Second // tokens a ms
	edge := newEdge(newFleet(workers))
	freeAt := map[string]time.Duration{}
	type under struct {
		at, first time.Duration
		r         *Request
		c         Choice
	}
	var inFlight []under
	inTime, offered := 0, 0
	for i := 0; i < 4000; i++ {
		edge.now += 5 * time.Millisecond
		var rest []under
		for _, sent := range inFlight {
			switch {
			case sent.first <= edge.now:
				edge.recordFirstEvent(sent.r, sent.c, &Load{Slots: 128}, sent.first-sent.at, edge.now)
				edge.recordOutcome(sent.r, sent.c, Completed, nil, sent.first-sent.at, edge.now)
			case edge.now-sent.at >= patience:
				edge.recordOutcome(sent.r, sent.c, ClientGone, nil, 0, edge.now)
			default:
				rest = append(rest, sent)
			}
		}
		inFlight = rest
		isOverloaded := i > 800 && i < 1600 // twice the usual
		if i%4 != 0 && !(isOverloaded && i%4 == 2) {
			continue
		}
		request := edge.newRequest(fmt.Sprint("new", i), 8000) // 90 ms each: three quarters of the capacity
		choice, ok := edge.selectWorker(edge.snapshot, request, edge.found, nil, edge.now)
		if i > 2800 {
			offered++
		}
		if !ok {
			continue
		}
		edge.recordSent(request, choice, edge.now)
		freeAt[choice.Worker.ID] = max(freeAt[choice.Worker.ID], edge.now) + time.Duration(9000/rate)*time.Millisecond
		first := freeAt[choice.Worker.ID] + 30*time.Millisecond
		inFlight = append(inFlight, under{edge.now, first, request, choice})
		if i > 2800 && first-edge.now <= route.LatencyTarget {
			inTime++
		}
	}
	if inTime*10 < offered*8 {
		t.Errorf("long after an overload %d of %d are in time", inTime, offered)
	}
}
