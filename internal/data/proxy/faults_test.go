package proxy

import (
	"fmt"
	"testing"
	"time"
)

// Client deadlines of the requests in fault tests.
const (
	shortDeadline = 150 * time.Millisecond // client deadline of requests to which the worker never responds
	longDeadline  = 10 * time.Second       // client deadline of requests that get a response
)

// checkReply checks the invariants of a request: a request that isn't idempotent is executed at most once, no
// request gets the response to another one, and an executed request is never answered as "not executed".
func checkReply(t *testing.T, route, id string, response reply, runs int) {
	t.Helper()
	if route == "once" && runs > 1 {
		t.Errorf("request %q, which isn't idempotent, was executed %d times, want at most 1", id, runs)
	}
	if impliesNotExecuted(response.status) && runs > 0 {
		t.Errorf("request %q was answered with status %d (not executed), but workers executed it %d times", id, response.status, runs)
	}
	if response.status == 200 && response.header.Get("Go-Id") != id {
		t.Errorf("request %q got the response to request %q", id, response.header.Get("Go-Id"))
	}
	if response.status == 200 && response.err == nil && response.body != completeBody(route, id) {
		t.Errorf("request %q: got body %q without an error, want %q", id, response.body, completeBody(route, id))
	}
}

// faultCase is a test case: a worker fault, the step of the request at which it occurs, and the request's route.
type faultCase struct {
	step   step
	fault  fault
	route  string
	reused bool // whether the request is sent on a connection that has carried an earlier request
}

// Tests every worker fault at every step of a request, for each kind of route, on a new and on a reused
// connection, while a second worker responds correctly. It guards against a retry that executes a request twice
// and against a response that reaches another request. Afterwards, a request that isn't idempotent must be
// served on a connection without unsolicited bytes.
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
		if response := site.send("repeat", "warm", longDeadline); response.status != 200 || response.body != "of warm" {
			t.Fatalf("request that opens the connection for the next one: got response %+v, want status 200 with body %q", response, "of warm")
		}
		if c.step == connected {
			<-faulty.faultDone
		}
	}
	response := site.send(c.route, "affected", c.affectedDeadline())
	close(faulty.responseReceived)
	c.checkAffected(t, response, faulty.executions("affected")+working.executions("affected"))
	<-faulty.faultDone
	c.checkNext(t, site, faulty, working)
	if faulty.mu.Lock(); faulty.requestsAfterUnsolicited > 0 {
		t.Errorf("%d requests were sent on connections on which unsolicited bytes had come, want 0", faulty.requestsAfterUnsolicited)
	}
	faulty.mu.Unlock()
}

// newFaultyWorker starts a worker that injects the fault once: while it serves the request "affected", or on the
// connection on which that request will be sent.
func (c faultCase) newFaultyWorker(t *testing.T) *adversary {
	servedBefore := 0
	if c.reused {
		servedBefore = 1
	}
	var faulty *adversary
	faulty = newAdversary(t, "w0", func(id string, served int) (step, fault, bool) {
		select {
		case <-faulty.faultDone:
			return c.step, c.fault, id == "affected"
		default:
		}
		return c.step, c.fault, id == "affected" || id == "" && served == servedBefore
	})
	return faulty
}

// affectedDeadline returns the deadline of the request "affected": short if the worker leaves it without a response.
func (c faultCase) affectedDeadline() time.Duration {
	if (c.fault == hang || c.fault == wrongID) && c.step < responseSent {
		return shortDeadline
	}
	return longDeadline
}

// isUndetectable reports whether the proxy can't detect the fault: the worker sends wrong bytes within the body,
// which still has the declared length.
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

func (c faultCase) checkAffected(t *testing.T, response reply, runs int) {
	t.Helper()
	if !c.isUndetectable() {
		checkReply(t, c.route, "affected", response, runs)
	}
	if response.status == 200 && runs == 0 && c.step >= bodyReceived {
		t.Errorf("request during which the fault was injected: got status %d, but no worker executed it", response.status)
	}
	if c.step >= responseSent && (response.status != 200 || response.err != nil) && (c.fault != reset || c.step == afterResponse) {
		t.Errorf("worker sent its complete response before the fault: client got %+v, want status 200 without error", response)
	}
}

// checkNext sends another request and checks its response. If the worker hangs after its complete response,
// only this next request is affected, and must end with a 504.
func (c faultCase) checkNext(t *testing.T, site *loopbackSite, faulty, working *adversary) {
	t.Helper()
	wait, want := longDeadline, 200
	if c.fault == hang && c.step >= responseSent {
		wait, want = shortDeadline, 504
	}
	next := site.send("once", "next", wait)
	checkReply(t, "once", "next", next, faulty.executions("next")+working.executions("next"))
	// On a busy machine the deadline may pass before the request is sent. A 503 is right then, and checkReply has
	// checked that the request was not executed.
	expiredBefore := want == 504 && next.status == 503
	if next.status != want && !expiredBefore || next.err != nil {
		t.Errorf("request after the fault: got response %+v, want status %d without error", next, want)
	}
}
