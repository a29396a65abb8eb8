package proxy

import (
	"context"
	"errors"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sys/unix"
)

// connPair returns both ends of a real connection.
func connPair(t *testing.T) (near, far *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	c, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	d, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close(); d.Close() })
	return c.(*net.TCPConn), d.(*net.TCPConn)
}

// What came while the process was stopped is seen in the kernel before a byte is sent: bytes, the end of the
// connection, a reset. It isn't consumed.
func TestUnreadDataIsSeenBeforeReuse(t *testing.T) {
	for _, test := range []struct {
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
		conn := newWorkerConn(near, time.Hour, func() {})
		test.do(far)
		if got := conn.hasUnreadData(); got != test.want {
			t.Errorf("%s: %v", test.name, got)
		}
		if p := make([]byte, 9); test.name == "bytes" {
			if n, err := near.Read(p); string(p[:n]) != "late" || err != nil {
				t.Errorf("they were taken away: %q %v", p[:n], err)
			}
		}
	}
	here, there := net.Pipe()
	defer here.Close()
	defer there.Close()
	if newWorkerConn(here, time.Hour, func() {}).hasUnreadData() {
		t.Error("a connection that isn't a socket has unread data")
	}
}

// A reader takes bytes from the kernel only while it can also decide whom they belong to: an attempt that acquires
// the connection meanwhile still finds them there.
func TestReadReceivesAndClassifiesAtomically(t *testing.T) {
	near, far := connPair(t)
	conn := newWorkerConn(near, time.Hour, func() {})
	ended := make(chan error)
	go func() {
		_, err := conn.Read(make([]byte, 9))
		ended <- err
	}()
	conn.awaitReader()
	conn.mu.Lock()
	if _, err := far.Write([]byte("late")); err != nil {
		t.Fatal(err)
	}
	awaitDelivery(t, far)
	for range 1000 {
		runtime.Gosched() // the reader is runnable by now
		if !conn.hasUnreadData() {
			t.Error("the bytes have left the kernel, and nothing says whom they belong to")
			break
		}
	}
	conn.mu.Unlock()
	if err := <-ended; err != io.EOF || !conn.closed {
		t.Errorf("%v: the connection must be closed", err)
	}
}

// From the moment at which unsolicited bytes were taken from the kernel no request is sent on the connection, also
// before it is closed.
func TestUnsolicitedBytesPreventTheNextWrite(t *testing.T) {
	near, far := connPair(t)
	conn := newWorkerConn(near, time.Hour, func() {})
	conn.mu.Lock()
	if !conn.endRead(1) {
		t.Error("a byte of an idle connection belongs to a request")
	}
	conn.mu.Unlock()
	conn.acquire(1)
	if n, err := conn.Write([]byte("request")); n != 0 || !errors.Is(err, net.ErrClosed) {
		t.Errorf("wrote %d bytes: %v", n, err)
	}
	if !conn.discard(1) {
		t.Error("that nothing was sent isn't proven")
	}
	if n, err := far.Read(make([]byte, 9)); n != 0 || err != io.EOF {
		t.Errorf("the worker received %d bytes: %v", n, err)
	}
}

// awaitDelivery returns once the other end's kernel has all bytes that were written.
func awaitDelivery(t *testing.T, conn *net.TCPConn) {
	t.Helper()
	raw, err := conn.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	for unacknowledged := 1; unacknowledged > 0; runtime.Gosched() {
		var ioctlErr error
		err := raw.Control(func(fd uintptr) { unacknowledged, ioctlErr = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
		if err != nil || ioctlErr != nil {
			return // closed: nothing is to be delivered any more
		}
	}
}

// A connection is reused only once it is read from again, or has been closed: until then net/http's buffer may
// hold bytes behind the response before.
func TestReusedConnectionAwaitsItsReader(t *testing.T) {
	for _, how := range []string{"read again", "ended"} {
		synctest.Test(t, func(t *testing.T) {
			near, far := net.Pipe()
			conn := newWorkerConn(near, time.Hour, func() {})
			ready := make(chan struct{})
			go func() { conn.awaitReader(); close(ready) }()
			synctest.Wait()
			select {
			case <-ready:
				t.Error("settled while nobody reads")
			default:
			}
			if how == "ended" {
				conn.Close()
			} else {
				go func() { _, _ = conn.Read(make([]byte, 1)) }()
			}
			<-ready
			far.Close()
			conn.Close()
		})
	}
}

// captureConns records the connections that a site's server opens.
func captureConns(s *testSite) *[]*workerConn {
	var all []*workerConn
	dial := s.server.conns.transport.DialContext
	s.server.conns.transport.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if conn, ok := c.(*workerConn); ok {
			all = append(all, conn)
		}
		return c, err
	}
	return &all
}

// After a stop of the process a request may find a connection before its idle timer has run: it isn't reused
// beyond its keep-alive time.
func TestConnectionBeyondItsKeepAliveIsNotReused(t *testing.T) {
	text := strings.Replace(okResponse, "Content-Length", "Keep-Alive: timeout=1\r\nContent-Length", 1)
	for _, route := range []string{"once", "repeat"} {
		withSite(t, []workerScript{respondWith(text)}, func(s *testSite) {
			conns := captureConns(s)
			if response := s.send(postRequest(route, "a1", "b")); response.status != 200 {
				t.Fatal(response)
			}
			synctest.Wait()
			(*conns)[0].mu.Lock()
			(*conns)[0].idleTimer.Stop() // it doesn't fire while the process is stopped
			(*conns)[0].mu.Unlock()
			time.Sleep(900 * time.Millisecond) // of the synctest bubble; beyond four fifths of the second
			if response := s.send(postRequest(route, "a2", "b")); response.status != 200 {
				t.Fatal(response)
			}
			if len(*conns) != 2 || s.workers[0].runs() != 2 {
				t.Errorf("%s: %d connections, ran %d times", route, len(*conns), s.workers[0].runs())
			}
		})
	}
}

// A request whose deadline passes while it connects isn't sent, and is rejected as not executed.
func TestNotSentOnceItsTimeIsOver(t *testing.T) {
	withSite(t, []workerScript{respondWith(okResponse)}, func(s *testSite) {
		dial := s.server.conns.transport.DialContext
		s.server.conns.transport.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
			time.Sleep(4*time.Second + time.Millisecond) // of the synctest bubble: as if the process were stopped
			return dial(ctx, network, addr)
		}
		response := s.send(postRequest("once", "a1", "b"))
		synctest.Wait()
		if response.status != 503 || s.workers[0].runs() != 0 {
			t.Errorf("%+v, ran %d times", response, s.workers[0].runs())
		}
	})
}

// Responses to requests without an ID can't be distinguished: each gets a connection of its own.
func TestRequestsWithoutAnID(t *testing.T) {
	text := "HTTP/1.1 400 No\r\nGo-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	withSite(t, []workerScript{respondWith(text)}, func(s *testSite) {
		bare := "POST /once/x HTTP/1.1\r\nHost: any.example\r\nContent-Length: 1\r\n\r\nb"
		for i := range 3 {
			if response := s.send(bare); response.status != 400 || s.network.dials[s.workers[0].Addr] != i+1 {
				t.Errorf("%d: %d, %d connections", i, response.status, s.network.dials[s.workers[0].Addr])
			}
		}
	})
	withSite(t, []workerScript{respondWith(okResponse)}, func(s *testSite) { // nor is one sent on a reused connection
		if response := s.send(postRequest("once", "a1", "b")); response.status != 200 {
			t.Fatal(response)
		}
		s.send("POST /once/x HTTP/1.1\r\nHost: any.example\r\nContent-Length: 1\r\n\r\nb")
		if n := s.network.dials[s.workers[0].Addr]; n != 2 {
			t.Errorf("%d connections", n)
		}
	})
}

// A response that names two requests is relayed to neither.
func TestResponseWithTwoIDsIsRejected(t *testing.T) {
	withSite(t, []workerScript{respondWith(strings.Replace(okResponse, "Go-Seal", "Go-Id: other\r\nGo-Seal", 1))}, func(s *testSite) {
		if response := s.send(postRequest("once", "a1", "b")); response.status != 502 {
			t.Errorf("%+v", response)
		}
	})
}
