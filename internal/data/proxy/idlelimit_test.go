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
			t.Errorf("request while 9 connections are idle for longer than the limit: got response %+v, want status 200", response)
		}
	})
}

// The limit on the idle time of reused connections must fall when a worker has dropped an idle connection. It must
// rise only after reusesToGrow consecutive successful reuses of connections that were idle for longer than the limit,
// which only idempotent requests may use.
func TestIdleLimitIsLearnt(t *testing.T) {
	var limit idleLimit
	if !limit.allows(time.Hour) {
		t.Error("no dropped connection recorded: reuse after an idle time of 1h is refused, want it allowed")
	}
	limit.recordDropped(4 * time.Second)
	limit.recordDropped(10 * time.Second)
	if !limit.allows(2*time.Second) || limit.allows(2*time.Second+1) {
		t.Errorf("connections dropped after idle times of 4s and 10s: limit on the idle time is %v, want 2s", limit.maxSafe)
	}
	for range reusesToGrow {
		limit.recordReuse(time.Second) // an idle time within the limit of 2 s gives no reason to raise the limit
	}
	if limit.allows(2*time.Second + 1) {
		t.Errorf("reuses after idle times within the limit only: limit on the idle time is %v, want 2s", limit.maxSafe)
	}
	for range reusesToGrow {
		limit.recordReuse(3 * time.Second)
	}
	if !limit.allows(5 * time.Second / 2) {
		t.Errorf("%d reuses after an idle time of 3s, above the limit of 2s: limit on the idle time is %v, want 2.5s", reusesToGrow, limit.maxSafe)
	}
	for range reusesToGrow - 1 {
		limit.recordReuse(time.Minute)
	}
	limit.recordDropped(time.Minute) // must reset the count of reuses above the limit, so that the next one doesn't raise it
	limit.recordReuse(time.Minute)
	if limit.allows(5*time.Second/2 + 1) {
		t.Errorf("reuses above the limit on the idle time, interrupted by a dropped connection: limit is %v, want 2.5s", limit.maxSafe)
	}
}
