package proxy

import (
	"fmt"
	"testing"
	"time"
)

// What is left of a request's time in these tests, as the client says.
const (
	shortWait = 150 * time.Millisecond // where a worker is silent
	longWait  = 10 * time.Second
)

// checkReply holds an answer against the invariants of a call: what may not be repeated runs at most
// once; no answer reaches another request; a promise is never given for what may have run.
func checkReply(t *testing.T, route, id string, a reply, runs int) {
	t.Helper()
	if route == "once" && runs > 1 {
		t.Errorf("%s ran %d times", id, runs)
	}
	if impliesNotExecuted(a.status) && runs > 0 {
		t.Errorf("%s: %d promises that it hasn't run, and it ran %d times", id, a.status, runs)
	}
	if a.status == 200 && a.head.Get("Go-Id") != id {
		t.Errorf("%s got an answer of %q", id, a.head.Get("Go-Id"))
	}
	if a.status == 200 && a.err == nil && a.body != completeBody(route, id) {
		t.Errorf("%s got %q, which looks whole", id, a.body)
	}
}

// Every step of a call, every misbehaviour of a worker, every kind of request, on a connection that
// is new or served before. The second worker serves. The request after it, which may not be
// repeated, is served on a connection on which nothing was left.
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

func misbehave(t *testing.T, s step, f fault, route string, reused bool) {
	var bad *adversary
	bad = newAdversary(t, "w0", func(id string, served int) (step, fault, bool) {
		select {
		case <-bad.misbehaved: // once
			return s, f, id == "victim"
		default:
		}
		return s, f, id == "victim" || id == "" && served == map[bool]int{true: 1}[reused]
	})
	good := newAdversary(t, "w1", func(string, int) (step, fault, bool) { return 0, 0, false })
	site := newLoopbackSite(t, bad.Worker, good.Worker)
	if reused {
		if a := site.send("repeat", "warm", longWait); a.status != 200 || a.body != "of warm" {
			t.Fatalf("the request before: %+v", a)
		}
		if s == connected {
			<-bad.misbehaved
		}
	}
	wait := longWait
	if (f == hang || f == wrongID) && s < responseSent {
		wait = shortWait
	}
	a := site.send(route, "victim", wait)
	close(bad.responseReceived)
	runs := bad.ran("victim") + good.ran("victim")
	garbled := s == halfBodySent && (f == extraBytes || f == duplicateResponse || f == staleResponse || f == wrongID || f == garbage) && route != "resume"
	if !garbled { // else the body has its length, and holds what the worker sent
		checkReply(t, route, "victim", a, runs)
	}
	if a.status == 200 && runs == 0 && s >= bodyReceived {
		t.Error("an answer, and nobody ran it")
	}
	if s >= responseSent && (a.status != 200 || a.err != nil) && (f != reset || s == afterResponse) {
		t.Errorf("the whole answer had come: %+v", a)
	}
	<-bad.misbehaved
	want := 200
	if wait = longWait; f == hang && s >= responseSent { // nothing shows that it will be silent: the next request finds out
		wait, want = shortWait, 504
	}
	b := site.send("once", "next", wait)
	checkReply(t, "once", "next", b, bad.ran("next")+good.ran("next"))
	late := want == 504 && b.status == 503 // a busy machine: its time was over before it was sent, which checkReply judges
	if b.status != want && !late || b.err != nil {
		t.Errorf("the next request: %+v", b)
	}
	if bad.mu.Lock(); bad.tainted > 0 {
		t.Error("a connection with unexplained bytes was used again")
	}
	bad.mu.Unlock()
}
