package proxy

import (
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// dropsIdleConns answers, but not what comes on a connection that lay idle for too long.
func dropsIdleConns(text string, after time.Duration) workerScript {
	last := map[net.Conn]time.Time{}
	return func(c net.Conn, r *http.Request, b string) bool {
		if at, ok := last[c]; ok && time.Since(at) > after {
			return false
		}
		last[c] = time.Now()
		return respondWith(text)(c, r, b)
	}
}

// A worker forgets idle connections without a word. One request is lost to that; from then on none
// that may not be repeated goes on a connection that has idled for long.
func TestDroppedIdleConnectionsLoseOneRequest(t *testing.T) {
	withSite(t, []workerScript{dropsIdleConns(okResponse, time.Second)}, func(s *testSite) {
		lost := 0
		for range 10 {
			if a := s.send(postRequest("once", "a1", "b")); a.status != 200 {
				lost++
			}
			synctest.Wait()
			time.Sleep(2 * time.Second)
		}
		if lost != 1 {
			t.Errorf("%d of 10 requests lost", lost)
		}
		n := s.network.dials[s.workers[0].Addr]
		for range 5 {
			if a := s.send(postRequest("once", "a1", "b")); a.status != 200 {
				t.Fatal(a)
			}
			synctest.Wait()
			time.Sleep(100 * time.Millisecond)
		}
		if more := s.network.dials[s.workers[0].Addr] - n; more > 1 {
			t.Errorf("%d connections for 5 requests in half a second", more)
		}
	})
}

// However many idle connections are too old, the request gets a new one.
func TestManyStaleConnections(t *testing.T) {
	withSite(t, []workerScript{respondWith(okResponse)}, func(s *testSite) {
		s.server.conns.idleLimit.recordDropped(time.Second)
		done := make(chan reply)
		for range 9 {
			go func() { done <- s.send(postRequest("once", "a1", "b")) }()
		}
		for range 9 {
			<-done
		}
		synctest.Wait()
		time.Sleep(time.Second)
		if a := s.send(postRequest("once", "a1", "b")); a.status != 200 {
			t.Errorf("%+v", a)
		}
	})
}

func TestIdleLimitIsLearnt(t *testing.T) {
	var x idleLimit
	if !x.allows(time.Hour) {
		t.Error("nothing was forgotten, and an age is too long")
	}
	x.recordDropped(4 * time.Second)
	x.recordDropped(10 * time.Second)
	if !x.allows(2*time.Second) || x.allows(2*time.Second+1) {
		t.Errorf("safe up to %v", x.maxSafe)
	}
	for range reusesToGrow {
		x.recordReuse(time.Second) // says nothing new
	}
	if x.allows(2*time.Second + 1) {
		t.Error("longer, though nothing longer stood")
	}
	for range reusesToGrow {
		x.recordReuse(3 * time.Second)
	}
	if !x.allows(5 * time.Second / 2) {
		t.Errorf("safe up to %v", x.maxSafe)
	}
	for range reusesToGrow - 1 {
		x.recordReuse(time.Minute)
	}
	x.recordDropped(time.Minute) // one of them didn't stand: the count begins anew
	x.recordReuse(time.Minute)
	if x.allows(5*time.Second/2 + 1) {
		t.Errorf("safe up to %v", x.maxSafe)
	}
}
