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

// connPair returns both ends of a TCP connection on the loopback interface.
func connPair(t *testing.T) (near, far *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen on the loopback interface: %v", err)
	}
	defer listener.Close()
	c, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatalf("dial the loopback listener: %v", err)
	}
	d, err := listener.Accept()
	if err != nil {
		t.Fatalf("accept on the loopback listener: %v", err)
	}
	t.Cleanup(func() { c.Close(); d.Close() })
	return c.(*net.TCPConn), d.(*net.TCPConn)
}

// hasUnreadData must detect bytes, a FIN or a reset in the socket before a request is sent, without consuming the
// bytes: while the process is suspended (SIGSTOP), they come unnoticed by any reader.
func TestUnreadDataIsSeenBeforeReuse(t *testing.T) {
	for _, test := range []struct {
		name string
		do   func(far *net.TCPConn)
		want bool
	}{
		{"nothing", func(*net.TCPConn) {}, false},
		{"bytes", func(far *net.TCPConn) { _, _ = far.Write([]byte("late")) }, true},
		{"FIN", func(far *net.TCPConn) { _ = far.CloseWrite() }, true},
		{"reset", func(far *net.TCPConn) { _ = far.SetLinger(0); far.Close() }, true},
	} {
		near, far := connPair(t)
		conn := newWorkerConn(near, time.Hour, func() {})
		test.do(far)
		if got := conn.hasUnreadData(); got != test.want {
			t.Errorf("hasUnreadData after the worker sent %s: got %v, want %v", test.name, got, test.want)
		}
		if p := make([]byte, 9); test.name == "bytes" {
			if n, err := near.Read(p); string(p[:n]) != "late" || err != nil {
				t.Errorf("Read after hasUnreadData: got %q, error %v; want \"late\", not consumed", p[:n], err)
			}
		}
	}
	here, there := net.Pipe()
	defer here.Close()
	defer there.Close()
	if newWorkerConn(here, time.Hour, func() {}).hasUnreadData() {
		t.Error("hasUnreadData of a connection that isn't a socket: got true, want false")
	}
}

// A reader must receive bytes and decide in one critical section whether they are unsolicited. Otherwise an attempt
// that acquires the connection in between would find neither unread bytes nor a closed connection.
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
		t.Fatalf("write unsolicited bytes: %v", err)
	}
	awaitDelivery(t, far)
	// On a busy machine only the runtime's monitor, which polls the network at least every 10 ms, may make the reader
	// runnable. The iterations take longer than that.
	for range 100_000 {
		runtime.Gosched() // lets the reader goroutine run
		if !conn.hasUnreadData() {
			t.Error("unsolicited bytes were taken from the socket buffer before the reader could mark the connection as closed")
			break
		}
	}
	conn.mu.Unlock()
	if err := <-ended; err != io.EOF || !conn.closed {
		t.Errorf("Read of unsolicited bytes: got error %v, connection closed: %v; want EOF, closed", err, conn.closed)
	}
}

// Once unsolicited bytes were received, no request may be sent on the connection, even before it is closed.
func TestUnsolicitedBytesPreventTheNextWrite(t *testing.T) {
	near, far := connPair(t)
	conn := newWorkerConn(near, time.Hour, func() {})
	conn.mu.Lock()
	if !conn.endRead(1) {
		t.Error("endRead(1) on an idle connection: got unsolicited = false, want true")
	}
	conn.mu.Unlock()
	conn.acquire(1)
	if n, err := conn.Write([]byte("request")); n != 0 || !errors.Is(err, net.ErrClosed) {
		t.Errorf("Write after unsolicited bytes: got %d bytes, error %v; want 0 bytes, net.ErrClosed", n, err)
	}
	if !conn.discard(1) {
		t.Error("discard after a refused Write: got false, want true (proven that nothing was sent)")
	}
	if n, err := far.Read(make([]byte, 9)); n != 0 || err != io.EOF {
		t.Errorf("worker's Read after the proxy closed the connection: got %d bytes, error %v; want 0 bytes, EOF", n, err)
	}
}

// awaitDelivery waits until all bytes written to the connection are in the receive buffer of the other end.
func awaitDelivery(t *testing.T, conn *net.TCPConn) {
	t.Helper()
	raw, err := conn.SyscallConn()
	if err != nil {
		t.Fatalf("get raw access to the TCP connection: %v", err)
	}
	for unacknowledged := 1; unacknowledged > 0; runtime.Gosched() {
		var ioctlErr error
		err := raw.Control(func(fd uintptr) { unacknowledged, ioctlErr = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
		if err != nil || ioctlErr != nil {
			return // the connection is closed, so nothing is left to deliver
		}
	}
}

// awaitReader must block until net/http reads from the connection again or has closed it: until then the read buffer
// of net/http may hold surplus bytes after the previous response.
func TestReusedConnectionAwaitsItsReader(t *testing.T) {
	for _, how := range []string{"read again", "closed"} {
		synctest.Test(t, func(t *testing.T) {
			near, far := net.Pipe()
			conn := newWorkerConn(near, time.Hour, func() {})
			ready := make(chan struct{})
			go func() { conn.awaitReader(); close(ready) }()
			synctest.Wait()
			select {
			case <-ready:
				t.Error("awaitReader returned while no Read was in progress and the connection was open, want it to wait")
			default:
			}
			if how == "closed" {
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

// captureConns records the worker connections that the server dials from now on.
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

// A connection must not be reused after its keep-alive time even if its idle timer hasn't fired, which happens after
// the process was suspended (SIGSTOP).
func TestConnectionBeyondItsKeepAliveIsNotReused(t *testing.T) {
	text := strings.Replace(okResponse, "Content-Length", "Keep-Alive: timeout=1\r\nContent-Length", 1)
	for _, route := range []string{"once", "repeat"} {
		withSite(t, []workerScript{respondWith(text)}, func(s *testSite) {
			conns := captureConns(s)
			if response := s.send(postRequest(route, "a1", "b")); response.status != 200 {
				t.Fatalf("route %s, first request: got response %+v, want status 200", route, response)
			}
			synctest.Wait()
			(*conns)[0].mu.Lock()
			(*conns)[0].idleTimer.Stop() // simulates a timer that doesn't fire while the process is suspended
			(*conns)[0].mu.Unlock()
			time.Sleep(900 * time.Millisecond) // fake time of the synctest bubble; beyond four fifths of the time-out of 1 s
			if response := s.send(postRequest(route, "a2", "b")); response.status != 200 {
				t.Fatalf("route %s, request after the keep-alive time: got response %+v, want status 200", route, response)
			}
			if len(*conns) != 2 || s.workers[0].requestCount() != 2 {
				t.Errorf("route %s, request after the keep-alive time: %d connections dialed and %d requests received in all, want 2 and 2", route, len(*conns), s.workers[0].requestCount())
			}
		})
	}
}

// A request whose deadline passes while the proxy connects to the worker must not be sent, and must be rejected as
// not executed.
func TestNotSentOnceItsTimeIsOver(t *testing.T) {
	withSite(t, []workerScript{respondWith(okResponse)}, func(s *testSite) {
		dial := s.server.conns.transport.DialContext
		s.server.conns.transport.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
			time.Sleep(4*time.Second + time.Millisecond) // fake time of the synctest bubble; simulates a suspended process
			return dial(ctx, network, addr)
		}
		response := s.send(postRequest("once", "a1", "b"))
		synctest.Wait()
		if response.status != 503 || s.workers[0].requestCount() != 0 {
			t.Errorf("deadline passed during the dial: got response %+v, worker received %d requests; want status 503, 0 requests", response, s.workers[0].requestCount())
		}
	})
}

// A request without an ID must get a new connection that is closed afterwards: its response can't be distinguished
// from a stale one by its ID.
func TestRequestsWithoutAnID(t *testing.T) {
	text := "HTTP/1.1 400 No\r\nGo-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	withSite(t, []workerScript{respondWith(text)}, func(s *testSite) {
		bare := "POST /once/x HTTP/1.1\r\nHost: any.example\r\nContent-Length: 1\r\n\r\nb"
		for i := range 3 {
			if response := s.send(bare); response.status != 400 || s.network.dials[s.workers[0].Addr] != i+1 {
				t.Errorf("request %d without an ID: got status %d, %d connections dialed; want 400, %d", i, response.status, s.network.dials[s.workers[0].Addr], i+1)
			}
		}
	})
	withSite(t, []workerScript{respondWith(okResponse)}, func(s *testSite) { // a connection opened by a request with an ID isn't reused either
		if response := s.send(postRequest("once", "a1", "b")); response.status != 200 {
			t.Fatalf("request with an ID: got response %+v, want status 200", response)
		}
		s.send("POST /once/x HTTP/1.1\r\nHost: any.example\r\nContent-Length: 1\r\n\r\nb")
		if n := s.network.dials[s.workers[0].Addr]; n != 2 {
			t.Errorf("request with an ID, then one without: %d connections dialed, want 2", n)
		}
	})
}

// A response with two request IDs must not be relayed, even if one of them matches.
func TestResponseWithTwoIDsIsRejected(t *testing.T) {
	withSite(t, []workerScript{respondWith(strings.Replace(okResponse, "Go-Seal", "Go-Id: other\r\nGo-Seal", 1))}, func(s *testSite) {
		if response := s.send(postRequest("once", "a1", "b")); response.status != 502 {
			t.Errorf("response with two request IDs: client got %+v, want status 502", response)
		}
	})
}
