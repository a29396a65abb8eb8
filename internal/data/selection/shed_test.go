package selection

import (
	"fmt"
	"testing"
	"time"
)

// Where a prompt would wait long at the best worker it isn't sent into the queue: the client is asked
// when there may be room. What was sent somewhere before is placed in any case.
func TestAFullQueueAsksToComeAgain(t *testing.T) {
	e := newEdge(fleetOf(18))
	if _, ok := e.selectWorker(e.s, e.ask("p", 13000), e.found, nil, e.now); !ok {
		t.Fatal("calm, and nobody is selected")
	}
	behind := func(ms float64, n int) {
		for _, x := range e.layoutFor(e.s).groups["llm"].candidates[:n] {
			x.stats.latenessMs, x.stats.latenessAt = ms, e.now
		}
	}
	long := 4 * route.LatencyTarget.Seconds() * 1e3
	behind(long, 17)
	if c, ok := e.selectWorker(e.s, e.ask("p", 13000), e.found, nil, e.now); !ok || c.Worker.ID != "w17" {
		t.Errorf("one worker is free, and %q is selected", c.Worker.ID)
	}
	behind(long, 18)
	c, ok := e.selectWorker(e.s, e.ask("p", 13000), e.found, nil, e.now)
	if want := 4 * route.LatencyTarget; ok || c.RetryAfter < want/2 || c.RetryAfter > 2*want {
		t.Errorf("selected %v %q, to come again after %v", ok, c.Worker.ID, c.RetryAfter)
	}
	if _, ok := e.selectWorker(e.s, e.ask("p", 13000), e.found, map[string]bool{"w3": true}, e.now); !ok {
		t.Error("what was sent to a worker before is dropped")
	}
	e.now += 9 * e.bounds.Heal(loadTuning.fadeRatio) // nothing comes, so nothing is learnt: it is tried again
	if _, ok := e.selectWorker(e.s, e.ask("p", 13000), e.found, nil, e.now); !ok {
		t.Error("refuses for good")
	}
}

// A fleet whose clients go away when they have waited long, offered more than it can read for a
// while, gets out of it again: what it reads isn't all for those who are gone.
func TestAnOverloadEndsWithItsCause(t *testing.T) {
	const workers, rate, patience = 6, 100.0, 3 * time.Second // tokens a ms
	e := newEdge(fleetOf(workers))
	free := map[string]time.Duration{}
	type under struct {
		at, first time.Duration
		r         *Request
		c         Choice
	}
	var run []under
	inTime, asked := 0, 0
	for i := 0; i < 4000; i++ {
		e.now += 5 * time.Millisecond
		var rest []under
		for _, u := range run {
			switch {
			case u.first <= e.now:
				e.recordFirstEvent(u.r, u.c, &Load{Slots: 128}, u.first-u.at, e.now)
				e.recordOutcome(u.r, u.c, Completed, nil, u.first-u.at, e.now)
			case e.now-u.at >= patience:
				e.recordOutcome(u.r, u.c, ClientGone, nil, 0, e.now)
			default:
				rest = append(rest, u)
			}
		}
		run = rest
		hard := i > 800 && i < 1600 // twice the usual
		if i%4 != 0 && !(hard && i%4 == 2) {
			continue
		}
		r := e.ask(fmt.Sprint("new", i), 8000) // 90 ms each: three quarters of what they can read
		c, ok := e.selectWorker(e.s, r, e.found, nil, e.now)
		if i > 2800 {
			asked++
		}
		if !ok {
			continue
		}
		e.recordSent(r, c, e.now)
		free[c.Worker.ID] = max(free[c.Worker.ID], e.now) + time.Duration(9000/rate)*time.Millisecond
		first := free[c.Worker.ID] + 30*time.Millisecond
		run = append(run, under{e.now, first, r, c})
		if i > 2800 && first-e.now <= route.LatencyTarget {
			inTime++
		}
	}
	if inTime*10 < asked*8 {
		t.Errorf("long after an overload %d of %d are in time", inTime, asked)
	}
}
