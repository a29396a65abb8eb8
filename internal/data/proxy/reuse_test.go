package proxy

import (
	"context"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// connPair is both ends of a real connection.
func connPair(t *testing.T) (near, far *net.TCPConn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	d, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close(); d.Close() })
	return c.(*net.TCPConn), d.(*net.TCPConn)
}

// What stands in the kernel while the process stood still is seen before a byte is sent: bytes, the
// connection's end, its reset. It stays there for whoever reads.
func TestUnreadDataIsSeenBeforeReuse(t *testing.T) {
	for _, x := range []struct {
		name string
		do   func(far *net.TCPConn)
		want bool
	}{
		{"nothing", func(*net.TCPConn) {}, false},
		{"bytes", func(far *net.TCPConn) { _, _ = far.Write([]byte("late")) }, true},
		{"its end", func(far *net.TCPConn) { _ = far.CloseWrite() }, true},
		{"its reset", func(far *net.TCPConn) { _ = far.SetLinger(0); far.Close() }, true},
	} {
		near, far := connPair(t)
		l := newWorkerConn(near, time.Hour, func() {})
		x.do(far)
		if got := l.hasUnreadData(); got != x.want {
			t.Errorf("%s: %v", x.name, got)
		}
		if p := make([]byte, 9); x.name == "bytes" {
			if n, err := near.Read(p); string(p[:n]) != "late" || err != nil {
				t.Errorf("they were taken away: %q %v", p[:n], err)
			}
		}
	}
	here, there := net.Pipe()
	defer here.Close()
	defer there.Close()
	if newWorkerConn(here, time.Hour, func() {}).hasUnreadData() {
		t.Error("a connection that can't be asked")
	}
}

// A connection that served is taken only once it is read from again, or has ended: until then bytes behind
// the answer before may stand in net/http's buffer.
func TestReusedConnectionAwaitsItsReader(t *testing.T) {
	for _, how := range []string{"read again", "ended"} {
		synctest.Test(t, func(t *testing.T) {
			near, far := net.Pipe()
			l := newWorkerConn(near, time.Hour, func() {})
			settled := make(chan struct{})
			go func() { l.awaitReader(); close(settled) }()
			synctest.Wait()
			select {
			case <-settled:
				t.Error("settled while nobody reads")
			default:
			}
			if how == "ended" {
				l.Close()
			} else {
				go func() { _, _ = l.Read(make([]byte, 1)) }()
			}
			<-settled
			far.Close()
			l.Close()
		})
	}
}

// captureConns notes the connections that a site's server opens.
func captureConns(s *testSite) *[]*workerConn {
	var all []*workerConn
	dial := s.server.conns.transport.DialContext
	s.server.conns.transport.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if l, ok := c.(*workerConn); ok {
			all = append(all, l)
		}
		return c, err
	}
	return &all
}

// A process that stood still comes to its connections before their timers do: none is taken that its worker
// wasn't sure to keep so long.
func TestConnectionBeyondItsKeepAliveIsNotReused(t *testing.T) {
	text := strings.Replace(okResponse, "Content-Length", "Keep-Alive: timeout=1\r\nContent-Length", 1)
	for _, route := range []string{"once", "repeat"} {
		withSite(t, []workerScript{respondWith(text)}, func(s *testSite) {
			conns := captureConns(s)
			if a := s.send(postRequest(route, "a1", "b")); a.status != 200 {
				t.Fatal(a)
			}
			synctest.Wait()
			(*conns)[0].mu.Lock()
			(*conns)[0].idleTimer.Stop() // it doesn't run while the process stands still
			(*conns)[0].mu.Unlock()
			time.Sleep(900 * time.Millisecond) // of the bubble; four fifths of the second are over
			if a := s.send(postRequest(route, "a2", "b")); a.status != 200 {
				t.Fatal(a)
			}
			if len(*conns) != 2 || s.workers[0].runs() != 2 {
				t.Errorf("%s: %d connections, ran %d times", route, len(*conns), s.workers[0].runs())
			}
		})
	}
}

// A request whose time went by while its connection came up isn't sent, and that is a promise.
func TestNotSentOnceItsTimeIsOver(t *testing.T) {
	withSite(t, []workerScript{respondWith(okResponse)}, func(s *testSite) {
		dial := s.server.conns.transport.DialContext
		s.server.conns.transport.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
			time.Sleep(4*time.Second + time.Millisecond) // of the bubble: the process stands still
			return dial(ctx, network, addr)
		}
		a := s.send(postRequest("once", "a1", "b"))
		synctest.Wait()
		if a.status != 503 || s.workers[0].runs() != 0 {
			t.Errorf("%+v, ran %d times", a, s.workers[0].runs())
		}
	})
}

// Nothing tells the answers to requests without an id apart: each has a connection of its own.
func TestRequestsWithoutAnID(t *testing.T) {
	text := "HTTP/1.1 400 No\r\nGo-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	withSite(t, []workerScript{respondWith(text)}, func(s *testSite) {
		bare := "POST /once/x HTTP/1.1\r\nHost: any.example\r\nContent-Length: 1\r\n\r\nb"
		for i := range 3 {
			if a := s.send(bare); a.status != 400 || s.network.dials[s.workers[0].Addr] != i+1 {
				t.Errorf("%d: %d, %d connections", i, a.status, s.network.dials[s.workers[0].Addr])
			}
		}
	})
	withSite(t, []workerScript{respondWith(okResponse)}, func(s *testSite) { // nor does one go on a connection that served
		if a := s.send(postRequest("once", "a1", "b")); a.status != 200 {
			t.Fatal(a)
		}
		s.send("POST /once/x HTTP/1.1\r\nHost: any.example\r\nContent-Length: 1\r\n\r\nb")
		if n := s.network.dials[s.workers[0].Addr]; n != 2 {
			t.Errorf("%d connections", n)
		}
	})
}

// An answer that names two requests is nobody's.
func TestResponseWithTwoIDsIsRejected(t *testing.T) {
	withSite(t, []workerScript{respondWith(strings.Replace(okResponse, "Go-Seal", "Go-Id: other\r\nGo-Seal", 1))}, func(s *testSite) {
		if a := s.send(postRequest("once", "a1", "b")); a.status != 502 {
			t.Errorf("%+v", a)
		}
	})
}
