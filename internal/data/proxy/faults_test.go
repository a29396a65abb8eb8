package proxy

import (
	"fmt"
	"testing"
	"time"
)

// The clients' deadlines in these tests.
const (
	shortWait = 150 * time.Millisecond // where a worker hangs
	longWait  = 10 * time.Second
)

// checkReply checks the invariants of a request: one that isn't idempotent is executed at most once; no
// response reaches another request; "not executed" is never said of a request that was.
func checkReply(t *testing.T, route, id string, response reply, runs int) {
	t.Helper()
	if route == "once" && runs > 1 {
		t.Errorf("%s ran %d times", id, runs)
	}
	if impliesNotExecuted(response.status) && runs > 0 {
		t.Errorf("%s: %d promises that it hasn't run, and it ran %d times", id, response.status, runs)
	}
	if response.status == 200 && response.head.Get("Go-Id") != id {
		t.Errorf("%s got a response to %q", id, response.head.Get("Go-Id"))
	}
	if response.status == 200 && response.err == nil && response.body != completeBody(route, id) {
		t.Errorf("%s got %q, which looks complete", id, response.body)
	}
}

// faultCase is one fault of a worker at one step of a request.
type faultCase struct {
	step   step
	fault  fault
	route  string
	reused bool // the request is sent on a connection that has carried one before
}

// Every fault of a worker at every step of a request, for every kind of request, on a new and on a reused
// connection. The second worker responds correctly. The next request, which isn't idempotent, is served on a
// connection without leftover bytes.
func TestEveryFaultAtEveryStep(t *testing.T) {
	for s := range stepCount {
		for f := range faultCount {
			for _, route := range []string{"repeat", "once", "resume"} {
				for _, reused := range []bool{false, true} {
					t.Run(fmt.Sprintf("%v/%v/%s/reused=%v", s, f, route, reused), func(t *testing.T) {
						t.Parallel()
						faultCase{s, f, route, reused}.run(t)
					})
				}
			}
		}
	}
}

func (c faultCase) run(t *testing.T) {
	faulty := c.newFaultyWorker(t)
	working := newAdversary(t, "w1", func(string, int) (step, fault, bool) { return 0, 0, false })
	site := newLoopbackSite(t, faulty.Worker, working.Worker)
	if c.reused {
		if response := site.send("repeat", "warm", longWait); response.status != 200 || response.body != "of warm" {
			t.Fatalf("the request before: %+v", response)
		}
		if c.step == connected {
			<-faulty.misbehaved
		}
	}
	response := site.send(c.route, "victim", c.victimWait())
	close(faulty.responseReceived)
	c.checkVictim(t, response, faulty.ran("victim")+working.ran("victim"))
	<-faulty.misbehaved
	c.checkNext(t, site, faulty, working)
	if faulty.mu.Lock(); faulty.tainted > 0 {
		t.Error("a connection with unexplained bytes was reused")
	}
	faulty.mu.Unlock()
}

// newFaultyWorker makes a worker that misbehaves once: at the request "victim", or on the connection that the
// victim will get.
func (c faultCase) newFaultyWorker(t *testing.T) *adversary {
	servedBefore := 0
	if c.reused {
		servedBefore = 1
	}
	var faulty *adversary
	faulty = newAdversary(t, "w0", func(id string, served int) (step, fault, bool) {
		select {
		case <-faulty.misbehaved:
			return c.step, c.fault, id == "victim"
		default:
		}
		return c.step, c.fault, id == "victim" || id == "" && served == servedBefore
	})
	return faulty
}

// victimWait is short where the worker leaves the request without a response.
func (c faultCase) victimWait() time.Duration {
	if (c.fault == hang || c.fault == wrongID) && c.step < responseSent {
		return shortWait
	}
	return longWait
}

// isUndetectable reports whether the worker garbles the body itself: it has the declared length, and holds
// what the worker sent.
func (c faultCase) isUndetectable() bool {
	if c.step != halfBodySent || c.route == "resume" {
		return false
	}
	switch c.fault {
	case extraBytes, duplicateResponse, staleResponse, wrongID, garbage:
		return true
	}
	return false
}

func (c faultCase) checkVictim(t *testing.T, response reply, runs int) {
	t.Helper()
	if !c.isUndetectable() {
		checkReply(t, c.route, "victim", response, runs)
	}
	if response.status == 200 && runs == 0 && c.step >= bodyReceived {
		t.Error("a response, and no worker executed it")
	}
	if c.step >= responseSent && (response.status != 200 || response.err != nil) && (c.fault != reset || c.step == afterResponse) {
		t.Errorf("the complete response had come: %+v", response)
	}
}

// checkNext sends the next request. If nothing showed yet that the worker hangs, this request finds out.
func (c faultCase) checkNext(t *testing.T, site *loopbackSite, faulty, working *adversary) {
	t.Helper()
	wait, want := longWait, 200
	if c.fault == hang && c.step >= responseSent {
		wait, want = shortWait, 504
	}
	next := site.send("once", "next", wait)
	checkReply(t, "once", "next", next, faulty.ran("next")+working.ran("next"))
	// On a busy machine its deadline may pass before it is sent, which checkReply judges.
	expiredBefore := want == 504 && next.status == 503
	if next.status != want && !expiredBefore || next.err != nil {
		t.Errorf("the next request: %+v", next)
	}
}
