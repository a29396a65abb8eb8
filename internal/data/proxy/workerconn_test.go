package proxy

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pebbleloom/internal/data/selection"
	"pebbleloom/internal/fleet"
)

// A connection that the worker keeps open must be reused. If the worker closes it while it is idle, the next request
// must not be lost, even if it isn't idempotent.
func TestIdleConnectionsAreReused(t *testing.T) {
	withSite(t, []workerScript{respondWith(okResponse)}, func(site *testSite) {
		for range 3 {
			if response := site.send(postRequest("once", "a1", "b")); response.status != 200 {
				t.Fatalf("worker keeps connections open: got response %+v, want status 200", response)
			}
		}
		if n := site.network.dials[site.workers[0].Addr]; n != 1 {
			t.Errorf("worker keeps connections open: %d connections dialed for 3 requests, want 1", n)
		}
	})
	withSite(t, []workerScript{respondThenClose(okResponse)}, func(site *testSite) {
		for i := range 5 {
			if response := site.send(postRequest("once", "a1", "b")); response.status != 200 {
				t.Fatalf("worker closes idle connections: request %d got response %+v, want status 200", i, response)
			}
			synctest.Wait()
		}
		if site.workers[0].requestCount() != 5 {
			t.Errorf("worker closes idle connections: it received %d requests, want 5", site.workers[0].requestCount())
		}
	})
}

// A request that isn't idempotent by its route must not be resent when a reused connection breaks, whatever its
// method: net/http resends some methods, and requests with an idempotency key, on its own.
func TestNoSilentRepeats(t *testing.T) {
	for _, method := range []string{"GET", "HEAD", "OPTIONS", "DELETE", "POST"} {
		for _, key := range []string{"", "Idempotency-Key: k\r\n", "X-Idempotency-Key: k\r\n"} {
			n := 0
			script := func(c net.Conn, r *http.Request, b string) bool {
				if n++; n == 2 {
					return false
				}
				return respondWith("HTTP/1.1 204 OK\r\nGo-Id: ID\r\nGo-Seal: s\r\n\r\n")(c, r, b)
			}
			withSite(t, []workerScript{script}, func(s *testSite) {
				text := method + " /once/x HTTP/1.1\r\nHost: any.example\r\nGo-Id: a1\r\n" + key + "\r\n"
				if response := s.send(text); response.status != 204 {
					t.Fatalf("%s with header %q: first request got response %+v, want status 204", method, key, response)
				}
				if response := s.send(text); response.status != 502 || s.workers[0].requestCount() != 2 {
					t.Errorf("%s with header %q on a reused connection that breaks: got status %d, sent %d times; want 502, sent once", method, key, response.status, s.workers[0].requestCount()-1)
				}
			})
		}
	}
}

// The proxy must close an idle connection before the worker does: after four fifths of the time-out in the worker's
// Keep-Alive field, or after the default of 3 s.
func TestIdleConnectionsEndInTime(t *testing.T) {
	for keep, want := range map[string]time.Duration{"timeout=1": 800 * time.Millisecond, "max=5, timeout=20": 16 * time.Second, "": 3 * time.Second, "timeout=x": 3 * time.Second} {
		var ended chan struct{}
		text := okResponse
		if keep != "" {
			text = strings.Replace(okResponse, "Content-Length", "Keep-Alive: "+keep+"\r\nContent-Length", 1)
		}
		script := func(c net.Conn, r *http.Request, b string) bool {
			respondWith(text)(c, r, b)
			_, _ = c.Read(make([]byte, 1))
			close(ended)
			return false
		}
		withSite(t, []workerScript{script}, func(s *testSite) {
			ended = make(chan struct{})
			if response := s.send(postRequest("once", "a1", "b")); response.status != 200 {
				t.Fatalf("worker sends Keep-Alive %q: got response %+v, want status 200", keep, response)
			}
			began := s.process.Clock.Now()
			<-ended
			if d := s.process.Clock.Now() - began; d != want {
				t.Errorf("worker sends Keep-Alive %q: idle connection was closed after %v, want %v", keep, d, want)
			}
		})
	}
}

// Bytes that a worker sends after a complete response must not be relayed as the response to the next request.
func TestBytesAfterAResponseReachNoRequest(t *testing.T) {
	late := strings.Replace(okResponse, "ID", "old", 1)
	for name, stray := range map[string]string{"garbage": "\x00garbage", "response to another request": late, "duplicate response": okResponse, "a newline": "\r\n"} {
		for _, when := range []string{"surplus bytes in the same write as the response", "surplus bytes 50 ms after the response"} {
			t.Run(name+" as "+when, func(t *testing.T) {
				requests := 0
				script := func(c net.Conn, r *http.Request, b string) bool {
					if requests++; requests > 1 {
						return respondWith(okResponse)(c, r, b)
					}
					if when == "surplus bytes in the same write as the response" {
						return respondWith(okResponse+stray)(c, r, b)
					}
					respondWith(okResponse)(c, r, b)
					go func() { time.Sleep(50 * time.Millisecond); respondWith(stray)(c, r, b) }() // fake time of the synctest bubble
					return true
				}
				withSite(t, []workerScript{script}, func(s *testSite) {
					if response := s.send(postRequest("once", "a1", "b")); response.status != 200 || response.body != "fine" || response.err != nil {
						t.Fatalf("request before the surplus bytes: got response %+v, want status 200 with body \"fine\"", response)
					}
					time.Sleep(100 * time.Millisecond)
					for _, id := range []string{"a2", "a1"} {
						if response := s.send(postRequest("once", id, "b")); response.status != 200 || response.body != "fine" || response.header.Get("Go-Id") != id {
							t.Errorf("request %q after the surplus bytes: got response %+v, want its own response with status 200", id, response)
						}
					}
					if requests := s.workers[0].requestCount(); requests != 3 {
						t.Errorf("worker received %d requests, want 3: one before and two after the surplus bytes", requests)
					}
				})
			})
		}
	}
}

// If a worker sends a stale response before the right one, the request must fail and the connection must not be
// reused.
func TestSurplusResponseEndsItsConnection(t *testing.T) {
	n := 0
	script := func(c net.Conn, r *http.Request, b string) bool {
		if n++; n == 1 {
			return respondWith(strings.Replace(okResponse, "ID", "old", 1)+okResponse)(c, r, b)
		}
		return respondWith(okResponse)(c, r, b)
	}
	withSite(t, []workerScript{script}, func(s *testSite) {
		if response := s.send(postRequest("once", "a1", "b")); response.status != 502 {
			t.Errorf("request that got a stale response first: got response %+v, want status 502", response)
		}
		if response := s.send(postRequest("once", "a2", "b")); response.status != 200 || response.header.Get("Go-Id") != "a2" {
			t.Errorf("request after a stale response: got response %+v, want its own response with status 200", response)
		}
		if n := s.network.dials[s.workers[0].Addr]; n != 2 {
			t.Errorf("stale response, then another request: %d connections dialed, want 2", n)
		}
	})
}

// The proxy must not open more connections to a worker than this edge node's share of the worker's connection limit.
// If no other worker is left, a request beyond that share must be rejected as not executed.
func TestConnectionsToAWorkerAreBounded(t *testing.T) {
	silent := func(c net.Conn, _ *http.Request, _ string) bool { _, _ = c.Read(make([]byte, 1)); return false }
	withSite(t, []workerScript{silent}, func(s *testSite) {
		s.set(func(snapshot *fleet.Snapshot) { snapshot.EdgeCount = 50 }) // each of the 50 edge nodes gets a share of 2 of the worker's 100 connections
		var clients []*clientConn
		for i := range 2 {
			client := s.dialClient()
			clients = append(clients, client)
			_, _ = io.WriteString(client, postRequest("once", strconv.Itoa(i), "b"))
			synctest.Wait()
		}
		if response := s.send(postRequest("once", "a3", "b")); response.status != 503 || response.header.Get("Retry-After") == "" {
			t.Errorf("request when this edge node's share of the worker's connection limit is in use: got response %+v, want status 503 with Retry-After", response)
		}
		if s.workers[0].requestCount() != 2 || s.selector.outcomes[0] != selection.NoFreeSlot {
			t.Errorf("edge node that may open 2 connections to the worker: worker received %d requests, selector got outcomes %v; want 2 requests, NoFreeSlot first", s.workers[0].requestCount(), s.selector.outcomes)
		}
		for _, client := range clients {
			client.Close()
		}
	})
}

// A dial that hangs must be abandoned after half of the route's latency target, and the request must be sent to
// another worker.
func TestHangingDialIsAbandoned(t *testing.T) {
	withSite(t, []workerScript{nil, respondWith(okResponse)}, func(s *testSite) {
		if _, err := s.network.Listen(s.workers[0].Addr); err != nil { // the first worker listens, but never accepts a connection
			t.Fatalf("listen at the first worker's address: %v", err)
		}
		began := s.process.Clock.Now()
		response := s.send(postRequest("once", "a1", "b"))
		if d := s.process.Clock.Now() - began; response.status != 200 || d != 200*time.Millisecond {
			t.Errorf("dial of the first worker hangs: got status %d after %v, want 200 after 200ms", response.status, d)
		}
	})
}

// fakeConn is a connection whose Write accepts at most n bytes and returns err, and whose Read returns stray bytes.
type fakeConn struct {
	net.Conn
	n    int
	err  error
	wait chan struct{} // Write blocks until this channel is closed; nil: Write doesn't block
}

func (f *fakeConn) Write(p []byte) (int, error) {
	if f.wait != nil {
		<-f.wait
	}
	return min(f.n, len(p)), f.err
}
func (f *fakeConn) Close() error               { return nil }
func (f *fakeConn) Read(p []byte) (int, error) { return copy(p, "stray"), nil }

// Bytes that come while a connection is idle, or before its holder has sent a byte, must not be returned by Read,
// and must close the connection.
func TestUnsolicitedBytesEndTheConnection(t *testing.T) {
	for _, test := range []struct {
		name string
		do   func(conn *workerConn)
		want bool
	}{
		{"attempt has written a byte of its request", func(conn *workerConn) { conn.acquire(1); _, _ = conn.Write([]byte("x")) }, true},
		{"attempt has written nothing of its request", func(conn *workerConn) { conn.acquire(1) }, false},
		{"connection is idle, held by no attempt", func(conn *workerConn) { conn.acquire(1); _, _ = conn.Write([]byte("x")); conn.release(1, time.Hour) }, false},
		{"connection was reused and the new attempt has written nothing", func(conn *workerConn) {
			conn.acquire(1)
			_, _ = conn.Write([]byte("x"))
			conn.release(1, time.Hour)
			conn.acquire(2)
		}, false},
	} {
		conn := newWorkerConn(&fakeConn{n: 9}, time.Hour, func() {})
		test.do(conn)
		n, err := conn.Read(make([]byte, 9))
		if got := n == 5 && err == nil && !conn.closed; got != test.want {
			t.Errorf("%s: Read of the worker's bytes returned %d bytes, error %v; delivered: %v, want %v", test.name, n, err, got, test.want)
		}
		if !test.want && (n != 0 || err != io.EOF || !conn.closed) {
			t.Errorf("%s: Read of the worker's bytes returned %d bytes, error %v, connection closed: %v; want 0 bytes, EOF, closed", test.name, n, err, conn.closed)
		}
	}
}

// discard must report that nothing was sent only if the kernel accepted no byte and can't accept any later:
// otherwise a request could be executed twice.
func TestProofThatNothingWasSent(t *testing.T) {
	bad := errors.New("bad")
	for _, test := range []struct {
		name string
		fake fakeConn
		do   func(conn *workerConn)
		want bool
	}{
		{"nothing was written on the connection yet", fakeConn{}, func(*workerConn) {}, true},
		{"Write failed and the kernel accepted no byte", fakeConn{n: 0, err: bad}, func(conn *workerConn) { _, _ = conn.Write([]byte("x")) }, true},
		{"Write failed after the kernel accepted one byte", fakeConn{n: 1, err: bad}, func(conn *workerConn) { _, _ = conn.Write([]byte("xy")) }, false},
		{"Write succeeded and the kernel accepted all bytes", fakeConn{n: 9}, func(conn *workerConn) { _, _ = conn.Write([]byte("xy")) }, false},
	} {
		conn := newWorkerConn(&test.fake, time.Hour, func() {})
		conn.acquire(1)
		test.do(conn)
		if got := conn.discard(1); got != test.want {
			t.Errorf("%s: discard returned %v (true: nothing sent), want %v", test.name, got, test.want)
		}
		if n, err := conn.Write([]byte("x")); n != 0 || err == nil {
			t.Errorf("%s: Write after discard: got %d bytes, error %v; want 0 bytes and an error", test.name, n, err)
		}
	}
	// The kernel may still accept bytes of a write that is in progress.
	fake := &fakeConn{n: 1, wait: make(chan struct{})}
	conn := newWorkerConn(fake, time.Hour, func() {})
	conn.acquire(1)
	done := make(chan struct{})
	go func() { defer close(done); _, _ = conn.Write([]byte("x")) }()
	for writing := false; !writing; {
		conn.mu.Lock()
		writing = conn.pendingWrites == 1
		conn.mu.Unlock()
	}
	if conn.discard(1) {
		t.Error("discard while a Write is in progress: got true (nothing sent), want false")
	}
	close(fake.wait)
	<-done
}

// An attempt that no longer holds a connection must neither close nor release it: another attempt may be using it.
func TestFormerHolderNeitherClosesNorReleases(t *testing.T) {
	conn := newWorkerConn(&fakeConn{n: 9}, time.Hour, func() {})
	conn.acquire(1)
	conn.acquire(2)
	conn.release(1, time.Nanosecond)
	if conn.discard(1) || conn.holder != 2 || conn.idleTimer != nil {
		t.Errorf("discard or release by an attempt that no longer holds the connection changed it: holder %v (want 2), idle timer set: %v (want false)", conn.holder, conn.idleTimer != nil)
	}
	if n, err := conn.Write([]byte("x")); n == 0 || err != nil {
		t.Errorf("Write by the attempt that holds the connection: got %d bytes, error %v; want 1 byte", n, err)
	}
}
