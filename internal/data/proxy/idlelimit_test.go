package proxy

import (
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// dropsIdleConns responds, but closes a connection that was idle for too long at its next request.
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

// A worker drops idle connections silently. One request is lost by that; from then on none that isn't
// idempotent is sent on a connection that was idle for long.
func TestDroppedIdleConnectionsLoseOneRequest(t *testing.T) {
	withSite(t, []workerScript{dropsIdleConns(okResponse, time.Second)}, func(site *testSite) {
		lost := 0
		for range 10 {
			if response := site.send(postRequest("once", "a1", "b")); response.status != 200 {
				lost++
			}
			synctest.Wait()
			time.Sleep(2 * time.Second)
		}
		if lost != 1 {
			t.Errorf("%d of 10 requests lost", lost)
		}
		n := site.network.dials[site.workers[0].Addr]
		for range 5 {
			if response := site.send(postRequest("once", "a1", "b")); response.status != 200 {
				t.Fatal(response)
			}
			synctest.Wait()
			time.Sleep(100 * time.Millisecond)
		}
		if more := site.network.dials[site.workers[0].Addr] - n; more > 1 {
			t.Errorf("%d connections for 5 requests in half a second", more)
		}
	})
}

// However many idle connections are stale, the request gets a new one.
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
		if response := s.send(postRequest("once", "a1", "b")); response.status != 200 {
			t.Errorf("%+v", response)
		}
	})
}

func TestIdleLimitIsLearnt(t *testing.T) {
	var limit idleLimit
	if !limit.allows(time.Hour) {
		t.Error("nothing was forgotten, and an age is too long")
	}
	limit.recordDropped(4 * time.Second)
	limit.recordDropped(10 * time.Second)
	if !limit.allows(2*time.Second) || limit.allows(2*time.Second+1) {
		t.Errorf("safe up to %v", limit.maxSafe)
	}
	for range reusesToGrow {
		limit.recordReuse(time.Second) // within the limit: proves nothing
	}
	if limit.allows(2*time.Second + 1) {
		t.Error("a longer idle time is allowed without a longer reuse")
	}
	for range reusesToGrow {
		limit.recordReuse(3 * time.Second)
	}
	if !limit.allows(5 * time.Second / 2) {
		t.Errorf("safe up to %v", limit.maxSafe)
	}
	for range reusesToGrow - 1 {
		limit.recordReuse(time.Minute)
	}
	limit.recordDropped(time.Minute) // the count of longer reuses starts again
	limit.recordReuse(time.Minute)
	if limit.allows(5*time.Second/2 + 1) {
		t.Errorf("safe up to %v", limit.maxSafe)
	}
}
