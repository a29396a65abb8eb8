package proxy

import (
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// dropsIdleConns returns a script that responds with the text, but closes a connection without a response if it was
// idle for longer than after.
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

// If a worker silently drops idle connections, at most one request that isn't idempotent may be lost: from then on
// such requests must not be sent on connections that were idle for that long.
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
			t.Errorf("worker drops connections idle for 1s: %d of 10 requests failed, want 1", lost)
		}
		n := site.network.dials[site.workers[0].Addr]
		for range 5 {
			if response := site.send(postRequest("once", "a1", "b")); response.status != 200 {
				t.Fatalf("request on a connection idle for 100ms: got response %+v, want status 200", response)
			}
			synctest.Wait()
			time.Sleep(100 * time.Millisecond)
		}
		if more := site.network.dials[site.workers[0].Addr] - n; more > 1 {
			t.Errorf("%d connections dialed for 5 requests at intervals of 100ms, want at most 1", more)
		}
	})
}

// A request must get a new connection however many idle connections are unsafe to reuse, also if there are more of
// them than maxConnsTried.
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
			t.Errorf("request with 9 idle connections beyond the limit: got response %+v, want status 200", response)
		}
	})
}

// The idle limit must fall when a connection was dropped, and rise only after enough reuses beyond the limit.
func TestIdleLimitIsLearnt(t *testing.T) {
	var limit idleLimit
	if !limit.allows(time.Hour) {
		t.Error("no dropped connection recorded: idle time of 1h is not allowed, want it allowed")
	}
	limit.recordDropped(4 * time.Second)
	limit.recordDropped(10 * time.Second)
	if !limit.allows(2*time.Second) || limit.allows(2*time.Second+1) {
		t.Errorf("connections dropped after 4s and 10s: idle limit is %v, want 2s", limit.maxSafe)
	}
	for range reusesToGrow {
		limit.recordReuse(time.Second) // within the limit, so it gives no reason to raise it
	}
	if limit.allows(2*time.Second + 1) {
		t.Errorf("reuses within the limit only: idle limit is %v, want 2s", limit.maxSafe)
	}
	for range reusesToGrow {
		limit.recordReuse(3 * time.Second)
	}
	if !limit.allows(5 * time.Second / 2) {
		t.Errorf("%d reuses after 3s: idle limit is %v, want 2.5s", reusesToGrow, limit.maxSafe)
	}
	for range reusesToGrow - 1 {
		limit.recordReuse(time.Minute)
	}
	limit.recordDropped(time.Minute) // resets the count of longer reuses
	limit.recordReuse(time.Minute)
	if limit.allows(5*time.Second/2 + 1) {
		t.Errorf("count of longer reuses interrupted by a dropped connection: idle limit is %v, want 2.5s", limit.maxSafe)
	}
}
