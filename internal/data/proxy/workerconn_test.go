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

// A connection that a worker keeps is used again; one that it ends while idle loses no request,
// whatever its kind.
func TestIdleConnectionsAreReused(t *testing.T) {
	withSite(t, []workerScript{respondWith(okResponse)}, func(s *testSite) {
		for range 3 {
			if a := s.send(postRequest("once", "a1", "b")); a.status != 200 {
				t.Fatal(a)
			}
		}
		if n := s.network.dials[s.workers[0].Addr]; n != 1 {
			t.Errorf("%d connections for 3 requests", n)
		}
	})
	withSite(t, []workerScript{respondThenClose(okResponse)}, func(s *testSite) {
		for i := range 5 {
			if a := s.send(postRequest("once", "a1", "b")); a.status != 200 {
				t.Fatal(i, a)
			}
			synctest.Wait()
		}
		if s.workers[0].runs() != 5 {
			t.Errorf("ran %d times", s.workers[0].runs())
		}
	})
}

// Nothing is repeated behind the request's back when a kept connection breaks, whatever the
// method: net/http would.
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
				if a := s.send(text); a.status != 204 {
					t.Fatalf("%s: %+v", method, a)
				}
				if a := s.send(text); a.status != 502 || s.workers[0].runs() != 2 {
					t.Errorf("%s %q: %d, ran %d times", method, key, a.status, s.workers[0].runs()-1)
				}
			})
		}
	}
}

// An idle connection is ended before the worker ends it: by what it says, or by a few seconds.
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
			if a := s.send(postRequest("once", "a1", "b")); a.status != 200 {
				t.Fatal(a)
			}
			began := s.process.Clock.Now()
			<-ended
			if d := s.process.Clock.Now() - began; d != want {
				t.Errorf("%q: ended after %v: want %v", keep, d, want)
			}
		})
	}
}

// Bytes behind a whole answer belong to no request: the next doesn't get them.
func TestBytesAfterAResponseReachNoRequest(t *testing.T) {
	late := strings.Replace(okResponse, "ID", "old", 1)
	for name, stray := range map[string]string{"garbage": "\x00garbage", "another's answer": late, "its own answer again": okResponse, "a newline": "\r\n"} {
		for _, when := range []string{"at once", "a while later"} {
			t.Run(name+" "+when, func(t *testing.T) {
				n := 0
				play := func(c net.Conn, r *http.Request, b string) bool {
					if n++; n > 1 {
						return respondWith(okResponse)(c, r, b)
					}
					if when == "at once" {
						return respondWith(okResponse+stray)(c, r, b)
					}
					respondWith(okResponse)(c, r, b)
					go func() { time.Sleep(50 * time.Millisecond); respondWith(stray)(c, r, b) }() // of the bubble
					return true
				}
				withSite(t, []workerScript{play}, func(s *testSite) {
					if a := s.send(postRequest("once", "a1", "b")); a.status != 200 || a.body != "fine" || a.err != nil {
						t.Fatal(a)
					}
					time.Sleep(100 * time.Millisecond)
					for _, id := range []string{"a2", "a1"} {
						if a := s.send(postRequest("once", id, "b")); a.status != 200 || a.body != "fine" || a.head.Get("Go-Id") != id {
							t.Errorf("%s: %+v", id, a)
						}
					}
					if n := s.workers[0].runs(); n != 3 {
						t.Errorf("ran %d times", n)
					}
				})
			})
		}
	}
}

// The connection with a surplus answer is not used again.
func TestSurplusResponseEndsItsConnection(t *testing.T) {
	n := 0
	play := func(c net.Conn, r *http.Request, b string) bool {
		if n++; n == 1 {
			return respondWith(strings.Replace(okResponse, "ID", "old", 1)+okResponse)(c, r, b)
		}
		return respondWith(okResponse)(c, r, b)
	}
	withSite(t, []workerScript{play}, func(s *testSite) {
		if a := s.send(postRequest("once", "a1", "b")); a.status != 502 {
			t.Error(a)
		}
		if a := s.send(postRequest("once", "a2", "b")); a.status != 200 || a.head.Get("Go-Id") != "a2" {
			t.Error(a)
		}
		if n := s.network.dials[s.workers[0].Addr]; n != 2 {
			t.Errorf("%d connections", n)
		}
	})
}

// No more connections to one worker than this machine's share; beyond it another worker, or a promise.
func TestConnectionsToAWorkerAreBounded(t *testing.T) {
	silent := func(c net.Conn, _ *http.Request, _ string) bool { _, _ = c.Read(make([]byte, 1)); return false }
	withSite(t, []workerScript{silent}, func(s *testSite) {
		s.set(func(n *fleet.Snapshot) { n.Edges = 50 }) // of 100: 2 each
		var cs []*clientConn
		for i := range 2 {
			c := s.dialClient()
			cs = append(cs, c)
			_, _ = io.WriteString(c, postRequest("once", strconv.Itoa(i), "b"))
			synctest.Wait()
		}
		if a := s.send(postRequest("once", "a3", "b")); a.status != 503 || a.head.Get("Retry-After") == "" {
			t.Errorf("%+v", a)
		}
		if s.workers[0].runs() != 2 || s.selector.endings[0] != selection.NoFreeSlot {
			t.Errorf("ran %d, %v", s.workers[0].runs(), s.selector.endings)
		}
		for _, c := range cs {
			c.Close()
		}
	})
}

// A worker that doesn't come up is given up within a ratio of the route's target, and the request
// goes to another.
func TestHangingDialIsAbandoned(t *testing.T) {
	withSite(t, []workerScript{nil, respondWith(okResponse)}, func(s *testSite) {
		if _, err := s.network.Listen(s.workers[0].Addr); err != nil { // nobody accepts
			t.Fatal(err)
		}
		began := s.process.Clock.Now()
		a := s.send(postRequest("once", "a1", "b"))
		if d := s.process.Clock.Now() - began; a.status != 200 || d != 200*time.Millisecond {
			t.Errorf("%d after %v", a.status, d)
		}
	})
}

// fakeConn is a connection whose writes do as told.
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

// What comes while nobody holds a connection, or before its holder has sent a byte, is never an answer.
func TestUnsolicitedBytesEndTheConnection(t *testing.T) {
	for _, x := range []struct {
		name string
		do   func(l *workerConn)
		want bool
	}{
		{"its holder has sent", func(l *workerConn) { l.acquire(1); _, _ = l.Write([]byte("x")) }, true},
		{"its holder has sent nothing", func(l *workerConn) { l.acquire(1) }, false},
		{"nobody holds it", func(l *workerConn) { l.acquire(1); _, _ = l.Write([]byte("x")); l.release(1, time.Hour) }, false},
		{"the next holder has sent nothing", func(l *workerConn) { l.acquire(1); _, _ = l.Write([]byte("x")); l.release(1, time.Hour); l.acquire(2) }, false},
	} {
		l := newWorkerConn(&fakeConn{n: 9}, time.Hour, func() {})
		x.do(l)
		n, err := l.Read(make([]byte, 9))
		if got := n == 5 && err == nil && !l.closed; got != x.want {
			t.Errorf("%s: %d, %v", x.name, n, err)
		}
		if !x.want && (n != 0 || err != io.EOF || !l.closed) {
			t.Errorf("%s: %d, %v: the line must end", x.name, n, err)
		}
	}
}

// A connection is proof that nothing was sent only if the kernel took no byte and none can follow.
func TestProofThatNothingWasSent(t *testing.T) {
	bad := errors.New("bad")
	for _, x := range []struct {
		name string
		f    fakeConn
		do   func(l *workerConn)
		want bool
	}{
		{"not written", fakeConn{}, func(*workerConn) {}, true},
		{"none taken", fakeConn{n: 0, err: bad}, func(l *workerConn) { _, _ = l.Write([]byte("x")) }, true},
		{"some taken", fakeConn{n: 1, err: bad}, func(l *workerConn) { _, _ = l.Write([]byte("xy")) }, false},
		{"all taken", fakeConn{n: 9}, func(l *workerConn) { _, _ = l.Write([]byte("xy")) }, false},
	} {
		l := newWorkerConn(&x.f, time.Hour, func() {})
		l.acquire(1)
		x.do(l)
		if got := l.discard(1); got != x.want {
			t.Errorf("%s: %v", x.name, got)
		}
		if n, err := l.Write([]byte("x")); n != 0 || err == nil {
			t.Errorf("%s: bytes went after the stop", x.name)
		}
	}
	// A write under way may yet be taken.
	f := &fakeConn{n: 1, wait: make(chan struct{})}
	l := newWorkerConn(f, time.Hour, func() {})
	l.acquire(1)
	done := make(chan struct{})
	go func() { defer close(done); _, _ = l.Write([]byte("x")) }()
	for under := false; !under; {
		l.mu.Lock()
		under = l.pendingWrites == 1
		l.mu.Unlock()
	}
	if l.discard(1) {
		t.Error("a write under way was no doubt")
	}
	close(f.wait)
	<-done
}

// Who no longer holds a connection neither ends nor rests it.
func TestFormerHolderNeitherClosesNorReleases(t *testing.T) {
	l := newWorkerConn(&fakeConn{n: 9}, time.Hour, func() {})
	l.acquire(1)
	l.acquire(2)
	l.release(1, time.Nanosecond)
	if l.discard(1) || l.owner != 2 || l.idleTimer != nil {
		t.Error("the line was the first one's still")
	}
	if n, err := l.Write([]byte("x")); n == 0 || err != nil {
		t.Error("the second can't write")
	}
}
