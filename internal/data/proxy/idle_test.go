package proxy

import (
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// forgets answers, but not what comes on a connection that lay idle for too long.
func forgets(text string, after time.Duration) script {
	last := map[net.Conn]time.Time{}
	return func(c net.Conn, r *http.Request, b string) bool {
		if at, ok := last[c]; ok && time.Since(at) > after {
			return false
		}
		last[c] = time.Now()
		return says(text)(c, r, b)
	}
}

// A worker forgets idle connections without a word. One request is lost to that; from then on none
// that may not be repeated goes on a connection that has idled for long.
func TestForgottenConnectionsLoseOneRequest(t *testing.T) {
	open(t, []script{forgets(okay, time.Second)}, func(s *site) {
		lost := 0
		for range 10 {
			if a := s.call(post("once", "a1", "b")); a.status != 200 {
				lost++
			}
			synctest.Wait()
			time.Sleep(2 * time.Second)
		}
		if lost != 1 {
			t.Errorf("%d of 10 requests lost", lost)
		}
		n := s.w.to[s.ws[0].Addr]
		for range 5 {
			if a := s.call(post("once", "a1", "b")); a.status != 200 {
				t.Fatal(a)
			}
			synctest.Wait()
			time.Sleep(100 * time.Millisecond)
		}
		if more := s.w.to[s.ws[0].Addr] - n; more > 1 {
			t.Errorf("%d connections for 5 requests in half a second", more)
		}
	})
}

// However many idle connections are too old, the request gets a new one.
func TestManyOldConnections(t *testing.T) {
	open(t, []script{says(okay)}, func(s *site) {
		s.d.conns.idle.forgot(time.Second)
		done := make(chan reply)
		for range 9 {
			go func() { done <- s.call(post("once", "a1", "b")) }()
		}
		for range 9 {
			<-done
		}
		synctest.Wait()
		time.Sleep(time.Second)
		if a := s.call(post("once", "a1", "b")); a.status != 200 {
			t.Errorf("%+v", a)
		}
	})
}

func TestIdleAgesAreLearnt(t *testing.T) {
	var x idles
	if !x.fit(time.Hour) {
		t.Error("nothing was forgotten, and an age is too long")
	}
	x.forgot(4 * time.Second)
	x.forgot(10 * time.Second)
	if !x.fit(2*time.Second) || x.fit(2*time.Second+1) {
		t.Errorf("safe up to %v", x.safe)
	}
	for range stood {
		x.stands(time.Second) // says nothing new
	}
	if x.fit(2*time.Second + 1) {
		t.Error("longer, though nothing longer stood")
	}
	for range stood {
		x.stands(3 * time.Second)
	}
	if !x.fit(5 * time.Second / 2) {
		t.Errorf("safe up to %v", x.safe)
	}
	for range stood - 1 {
		x.stands(time.Minute)
	}
	x.forgot(time.Minute) // one of them didn't stand: the count begins anew
	x.stands(time.Minute)
	if x.fit(5*time.Second/2 + 1) {
		t.Errorf("safe up to %v", x.safe)
	}
}
