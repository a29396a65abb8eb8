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
		t.Errorf("%s got an answer of %q", id, response.head.Get("Go-Id"))
	}
	if response.status == 200 && response.err == nil && response.body != completeBody(route, id) {
		t.Errorf("%s got %q, which looks whole", id, response.body)
	}
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
						misbehave(t, s, f, route, reused)
					})
				}
			}
		}
	}
}

func misbehave(t *testing.T, moment step, kind fault, route string, reused bool) {
	var faulty *adversary
	faulty = newAdversary(t, "w0", func(id string, served int) (step, fault, bool) {
		select {
		case <-faulty.misbehaved: // once
			return moment, kind, id == "victim"
		default:
		}
		return moment, kind, id == "victim" || id == "" && served == map[bool]int{true: 1}[reused]
	})
	working := newAdversary(t, "w1", func(string, int) (step, fault, bool) { return 0, 0, false })
	site := newLoopbackSite(t, faulty.Worker, working.Worker)
	if reused {
		if response := site.send("repeat", "warm", longWait); response.status != 200 || response.body != "of warm" {
			t.Fatalf("the request before: %+v", response)
		}
		if moment == connected {
			<-faulty.misbehaved
		}
	}
	wait := longWait
	if (kind == hang || kind == wrongID) && moment < responseSent {
		wait = shortWait
	}
	response := site.send(route, "victim", wait)
	close(faulty.responseReceived)
	runs := faulty.ran("victim") + working.ran("victim")
	garbled := moment == halfBodySent && (kind == extraBytes || kind == duplicateResponse || kind == staleResponse || kind == wrongID || kind == garbage) && route != "resume"
	if !garbled { // else the body has the declared length, and holds what the worker sent
		checkReply(t, route, "victim", response, runs)
	}
	if response.status == 200 && runs == 0 && moment >= bodyReceived {
		t.Error("an answer, and nobody ran it")
	}
	if moment >= responseSent && (response.status != 200 || response.err != nil) && (kind != reset || moment == afterResponse) {
		t.Errorf("the whole answer had come: %+v", response)
	}
	<-faulty.misbehaved
	want := 200
	if wait = longWait; kind == hang && moment >= responseSent { // nothing shows yet that it hangs: the next request finds out
		wait, want = shortWait, 504
	}
	next := site.send("once", "next", wait)
	checkReply(t, "once", "next", next, faulty.ran("next")+working.ran("next"))
	late := want == 504 && next.status == 503 // on a busy machine its deadline may pass before it is sent, which checkReply judges
	if next.status != want && !late || next.err != nil {
		t.Errorf("the next request: %+v", next)
	}
	if faulty.mu.Lock(); faulty.tainted > 0 {
		t.Error("a connection with unexplained bytes was used again")
	}
	faulty.mu.Unlock()
}
