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

// A connection that the worker keeps open is reused; one that it closes while idle loses no request, whatever
// its kind.
func TestIdleConnectionsAreReused(t *testing.T) {
	withSite(t, []workerScript{respondWith(okResponse)}, func(site *testSite) {
		for range 3 {
			if response := site.send(postRequest("once", "a1", "b")); response.status != 200 {
				t.Fatal(response)
			}
		}
		if n := site.network.dials[site.workers[0].Addr]; n != 1 {
			t.Errorf("%d connections for 3 requests", n)
		}
	})
	withSite(t, []workerScript{respondThenClose(okResponse)}, func(site *testSite) {
		for i := range 5 {
			if response := site.send(postRequest("once", "a1", "b")); response.status != 200 {
				t.Fatal(i, response)
			}
			synctest.Wait()
		}
		if site.workers[0].runs() != 5 {
			t.Errorf("ran %d times", site.workers[0].runs())
		}
	})
}

// No request is silently sent again when a reused connection breaks, whatever the method: net/http would.
func TestNoSilentRepeats(t *testing.T) {
	for _, method := range []string{"GET", "HEAD", "OPTIONS", "DELETE", "POST"} {
		for _, key := range []string{"", "Idempotency-Key: k\r\n", "X-Idempotency-Key: k\r\n"} {
			n := 0
			play := func(c net.Conn, r *http.Request, b string) bool {
				if n++; n == 2 {
					return false
				}
				return respondWith("HTTP/1.1 204 OK\r\nGo-Id: ID\r\nGo-Seal: s\r\n\r\n")(c, r, b)
			}
			withSite(t, []workerScript{play}, func(s *testSite) {
				text := method + " /once/x HTTP/1.1\r\nHost: any.example\r\nGo-Id: a1\r\n" + key + "\r\n"
				if response := s.send(text); response.status != 204 {
					t.Fatalf("%s: %+v", method, response)
				}
				if response := s.send(text); response.status != 502 || s.workers[0].runs() != 2 {
					t.Errorf("%s %q: %d, ran %d times", method, key, response.status, s.workers[0].runs()-1)
				}
			})
		}
	}
}

// An idle connection is closed before the worker closes it: by its Keep-Alive field, or by the default.
func TestIdleConnectionsEndInTime(t *testing.T) {
	for keep, want := range map[string]time.Duration{"timeout=1": 800 * time.Millisecond, "max=5, timeout=20": 16 * time.Second, "": 3 * time.Second, "timeout=x": 3 * time.Second} {
		var ended chan struct{}
		text := okResponse
		if keep != "" {
			text = strings.Replace(okResponse, "Content-Length", "Keep-Alive: "+keep+"\r\nContent-Length", 1)
		}
		play := func(c net.Conn, r *http.Request, b string) bool {
			respondWith(text)(c, r, b)
			_, _ = c.Read(make([]byte, 1))
			close(ended)
			return false
		}
		withSite(t, []workerScript{play}, func(s *testSite) {
			ended = make(chan struct{})
			if response := s.send(postRequest("once", "a1", "b")); response.status != 200 {
				t.Fatal(response)
			}
			began := s.process.Clock.Now()
			<-ended
			if d := s.process.Clock.Now() - began; d != want {
				t.Errorf("%q: ended after %v: want %v", keep, d, want)
			}
		})
	}
}

// Bytes after a complete response belong to no request: the next doesn't get them.
func TestBytesAfterAResponseReachNoRequest(t *testing.T) {
	late := strings.Replace(okResponse, "ID", "old", 1)
	for name, stray := range map[string]string{"garbage": "\x00garbage", "another's response": late, "its own response again": okResponse, "a newline": "\r\n"} {
		for _, when := range []string{"at once", "a while later"} {
			t.Run(name+" "+when, func(t *testing.T) {
				requests := 0
				play := func(c net.Conn, r *http.Request, b string) bool {
					if requests++; requests > 1 {
						return respondWith(okResponse)(c, r, b)
					}
					if when == "at once" {
						return respondWith(okResponse+stray)(c, r, b)
					}
					respondWith(okResponse)(c, r, b)
					go func() { time.Sleep(50 * time.Millisecond); respondWith(stray)(c, r, b) }() // of the synctest bubble
					return true
				}
				withSite(t, []workerScript{play}, func(s *testSite) {
					if response := s.send(postRequest("once", "a1", "b")); response.status != 200 || response.body != "fine" || response.err != nil {
						t.Fatal(response)
					}
					time.Sleep(100 * time.Millisecond)
					for _, id := range []string{"a2", "a1"} {
						if response := s.send(postRequest("once", id, "b")); response.status != 200 || response.body != "fine" || response.head.Get("Go-Id") != id {
							t.Errorf("%s: %+v", id, response)
						}
					}
					if requests := s.workers[0].runs(); requests != 3 {
						t.Errorf("ran %d times", requests)
					}
				})
			})
		}
	}
}

// A connection with a surplus response isn't reused.
func TestSurplusResponseEndsItsConnection(t *testing.T) {
	n := 0
	play := func(c net.Conn, r *http.Request, b string) bool {
		if n++; n == 1 {
			return respondWith(strings.Replace(okResponse, "ID", "old", 1)+okResponse)(c, r, b)
		}
		return respondWith(okResponse)(c, r, b)
	}
	withSite(t, []workerScript{play}, func(s *testSite) {
		if response := s.send(postRequest("once", "a1", "b")); response.status != 502 {
			t.Error(response)
		}
		if response := s.send(postRequest("once", "a2", "b")); response.status != 200 || response.head.Get("Go-Id") != "a2" {
			t.Error(response)
		}
		if n := s.network.dials[s.workers[0].Addr]; n != 2 {
			t.Errorf("%d connections", n)
		}
	})
}

// There are no more connections to one worker than this node's share; beyond it another worker is selected, or
// the request is rejected as not executed.
func TestConnectionsToAWorkerAreBounded(t *testing.T) {
	silent := func(c net.Conn, _ *http.Request, _ string) bool { _, _ = c.Read(make([]byte, 1)); return false }
	withSite(t, []workerScript{silent}, func(s *testSite) {
		s.set(func(snapshot *fleet.Snapshot) { snapshot.EdgeCount = 50 }) // of 100: 2 each
		var cs []*clientConn
		for i := range 2 {
			client := s.dialClient()
			cs = append(cs, client)
			_, _ = io.WriteString(client, postRequest("once", strconv.Itoa(i), "b"))
			synctest.Wait()
		}
		if response := s.send(postRequest("once", "a3", "b")); response.status != 503 || response.head.Get("Retry-After") == "" {
			t.Errorf("%+v", response)
		}
		if s.workers[0].runs() != 2 || s.selector.endings[0] != selection.NoFreeSlot {
			t.Errorf("ran %d, %v", s.workers[0].runs(), s.selector.endings)
		}
		for _, client := range cs {
			client.Close()
		}
	})
}

// Connecting to a worker is abandoned after a ratio of the route's latency target, and another worker is
// selected.
func TestHangingDialIsAbandoned(t *testing.T) {
	withSite(t, []workerScript{nil, respondWith(okResponse)}, func(s *testSite) {
		if _, err := s.network.Listen(s.workers[0].Addr); err != nil { // nobody accepts
			t.Fatal(err)
		}
		began := s.process.Clock.Now()
		response := s.send(postRequest("once", "a1", "b"))
		if d := s.process.Clock.Now() - began; response.status != 200 || d != 200*time.Millisecond {
			t.Errorf("%d after %v", response.status, d)
		}
	})
}

// fakeConn is a connection whose writes have a given result.
type fakeConn struct {
	net.Conn
	n    int
	err  error
	wait chan struct{}
}

func (f *fakeConn) Write(p []byte) (int, error) {
	if f.wait != nil {
		<-f.wait
	}
	return min(f.n, len(p)), f.err
}
func (f *fakeConn) Close() error               { return nil }
func (f *fakeConn) Read(p []byte) (int, error) { return copy(p, "stray"), nil }

// Bytes that come while a connection is idle, or before its holder has sent a byte, are never a response.
func TestUnsolicitedBytesEndTheConnection(t *testing.T) {
	for _, test := range []struct {
		name string
		do   func(conn *workerConn)
		want bool
	}{
		{"its holder has sent", func(conn *workerConn) { conn.acquire(1); _, _ = conn.Write([]byte("x")) }, true},
		{"its holder has sent nothing", func(conn *workerConn) { conn.acquire(1) }, false},
		{"it is idle", func(conn *workerConn) { conn.acquire(1); _, _ = conn.Write([]byte("x")); conn.release(1, time.Hour) }, false},
		{"the next holder has sent nothing", func(conn *workerConn) {
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
			t.Errorf("%s: %d, %v", test.name, n, err)
		}
		if !test.want && (n != 0 || err != io.EOF || !conn.closed) {
			t.Errorf("%s: %d, %v: the connection must be closed", test.name, n, err)
		}
	}
}

// Nothing was sent only if the kernel accepted no byte and can accept none any more.
func TestProofThatNothingWasSent(t *testing.T) {
	bad := errors.New("bad")
	for _, test := range []struct {
		name string
		fake fakeConn
		do   func(conn *workerConn)
		want bool
	}{
		{"not written", fakeConn{}, func(*workerConn) {}, true},
		{"no byte accepted", fakeConn{n: 0, err: bad}, func(conn *workerConn) { _, _ = conn.Write([]byte("x")) }, true},
		{"some accepted", fakeConn{n: 1, err: bad}, func(conn *workerConn) { _, _ = conn.Write([]byte("xy")) }, false},
		{"all accepted", fakeConn{n: 9}, func(conn *workerConn) { _, _ = conn.Write([]byte("xy")) }, false},
	} {
		conn := newWorkerConn(&test.fake, time.Hour, func() {})
		conn.acquire(1)
		test.do(conn)
		if got := conn.discard(1); got != test.want {
			t.Errorf("%s: %v", test.name, got)
		}
		if n, err := conn.Write([]byte("x")); n != 0 || err == nil {
			t.Errorf("%s: bytes were written after it was discarded", test.name)
		}
	}
	// The kernel may still accept a write in progress.
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
		t.Error("nothing was sent, though a write is in progress")
	}
	close(fake.wait)
	<-done
}

// An attempt that no longer holds a connection neither closes nor releases it.
func TestFormerHolderNeitherClosesNorReleases(t *testing.T) {
	conn := newWorkerConn(&fakeConn{n: 9}, time.Hour, func() {})
	conn.acquire(1)
	conn.acquire(2)
	conn.release(1, time.Nanosecond)
	if conn.discard(1) || conn.holder != 2 || conn.idleTimer != nil {
		t.Error("the former holder has changed the connection")
	}
	if n, err := conn.Write([]byte("x")); n == 0 || err != nil {
		t.Error("the holder can't write")
	}
}
