package clientlimit

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/sim/pipes"
)

const (
	testAddr        = "10.0.0.1:80"
	testConnections = 3
)

var testHeaderLimits = HeaderLimits{Bytes: 8 << 10, Timeout: 3 * time.Second, IdleTimeout: 15 * time.Second}

// testServer serves a listener with limits in a synctest bubble, over pipes.
type testServer struct {
	t        *testing.T
	network  *pipes.Network
	listener *Listener
	budget   *Budget
	limits   atomic.Pointer[HeaderLimits] // limits in force
}

// withServer serves a handler and calls run. At the end, no memory may be reserved and no connection be open.
func withServer(t *testing.T, handler http.HandlerFunc, run func(site *testServer)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		site := &testServer{t: t, network: pipes.NewNetwork()}
		site.limits.Store(&testHeaderLimits)
		clk := clock.Synctest()
		site.budget = NewBudget(clk, testLimit)
		inner, err := site.network.Listen(testAddr)
		if err != nil {
			t.Fatal(err)
		}
		site.listener = NewListener(inner, Config{Clock: clk, MaxConnections: testConnections, Budget: site.budget,
			Header: func() HeaderLimits { return *site.limits.Load() }})
		server := &http.Server{Handler: TrackBodies(handler)}
		site.listener.Attach(server)
		go func() { _ = server.Serve(site.listener) }()
		run(site)
		_ = server.Close()
		synctest.Wait()
		time.Sleep(time.Minute) // fake time of the synctest bubble
		requireReserved(t, site.budget, 0)
		if open := site.listener.Connections(); open != 0 {
			t.Errorf("open connections at the end: %d, want 0", open)
		}
	})
}

func (s *testServer) dial() *testClient {
	conn, err := s.network.Dial(context.Background(), "tcp", testAddr)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = conn.Close() })
	synctest.Wait()
	return &testClient{conn, bufio.NewReader(conn)}
}

// testClient is a client of the server.
type testClient struct {
	net.Conn
	reader *bufio.Reader
}

// send writes a text in the background, since a pipe blocks until it is read.
func (c *testClient) send(text string) {
	go func() { _, _ = io.WriteString(c, text) }()
	synctest.Wait()
}

// status reads a response and returns its status, 0 if the connection ends.
func (c *testClient) status() int {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// endsWithin reports whether the server closes the connection within a time.
func (c *testClient) endsWithin(limit time.Duration) bool {
	_ = c.SetReadDeadline(time.Now().Add(limit))
	_, err := io.Copy(io.Discard, c.reader)
	netErr, isNetErr := err.(net.Error)
	return !isNetErr || !netErr.Timeout()
}

func respondOK(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	_, _ = io.WriteString(w, "ok")
}

const testRequest = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"

// At the limit on connections, the one that has waited longest for its client gives way to a new one. Each answered request
// makes a connection wait anew.
func TestWaitingConnectionsAreEvicted(t *testing.T) {
	withServer(t, respondOK, func(site *testServer) {
		var clients []*testClient
		for range testConnections {
			clients = append(clients, site.dial())
		}
		clients[0].send(testRequest)
		if status := clients[0].status(); status != http.StatusOK {
			t.Errorf("request on the oldest connection: status %d, want 200", status)
		}
		latest := site.dial()
		latest.send(testRequest)
		if status := latest.status(); status != http.StatusOK {
			t.Errorf("request on a connection beyond the limit: status %d, want 200", status)
		}
		for i, wantClosed := range []bool{false, true, false} {
			if closed := clients[i].endsWithin(time.Millisecond); closed != wantClosed {
				t.Errorf("connection %d: closed %t, want %t", i, closed, wantClosed)
			}
		}
		if evicted, refused := site.listener.Evicted(), site.listener.Refused(); evicted != 1 || refused != 0 {
			t.Errorf("evicted and refused connections: %d and %d, want 1 and 0", evicted, refused)
		}
	})
}

// A connection whose request was read completely doesn't give way: the new one is refused with status 503. One whose client
// doesn't read the response does.
func TestServingConnectionsStay(t *testing.T) {
	finish := make(chan struct{})
	handler := func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			<-finish
		}
		_, _ = io.WriteString(w, strings.Repeat("r", 64<<10))
	}
	synctestChannel := func(site *testServer) {
		var clients []*testClient
		for range testConnections {
			client := site.dial()
			client.send(strings.Replace(testRequest, "/", "/wait", 1))
			clients = append(clients, client)
		}
		if status := site.dial().status(); status != http.StatusServiceUnavailable {
			t.Errorf("connection beyond the limit while all others are served: status %d, want 503", status)
		}
		close(finish)
		synctest.Wait()
		time.Sleep(2 * stallTime) // fake time of the synctest bubble; no client reads its response
		latest := site.dial()
		latest.send(testRequest)
		if status := latest.status(); status != http.StatusOK {
			t.Errorf("request beside clients that don't read: status %d, want 200", status)
		}
		for _, client := range clients {
			_ = client.Close()
		}
	}
	synctestRun(t, handler, &finish, synctestChannel)
}

// synctestRun is like withServer for a handler that waits for a channel, which it makes inside the bubble.
func synctestRun(t *testing.T, handler http.HandlerFunc, channel *chan struct{}, run func(site *testServer)) {
	t.Helper()
	withServer(t, handler, func(site *testServer) {
		*channel = make(chan struct{})
		run(site)
	})
}

// The limits in force apply to the next header of an open connection, whether they were raised or lowered.
func TestHeaderLimitsInForce(t *testing.T) {
	withServer(t, respondOK, func(site *testServer) {
		client := site.dial()
		request := func(headerBytes int) int {
			client.send("GET / HTTP/1.1\r\nHost: x\r\nX-Filler: " + strings.Repeat("f", headerBytes) + "\r\n\r\n")
			return client.status()
		}
		if status := request(testHeaderLimits.Bytes / 2); status != http.StatusOK {
			t.Errorf("header within the limit: status %d, want 200", status)
		}
		raised := testHeaderLimits
		raised.Bytes *= 4
		site.limits.Store(&raised)
		if status := request(2 * testHeaderLimits.Bytes); status != http.StatusOK {
			t.Errorf("header within a raised limit: status %d, want 200", status)
		}
		site.limits.Store(&testHeaderLimits)
		if status := request(2 * testHeaderLimits.Bytes); status != http.StatusRequestHeaderFieldsTooLarge {
			t.Errorf("header over a lowered limit: status %d, want 431", status)
		}
		if !client.endsWithin(time.Second) {
			t.Error("the connection stays open after a header over the limit")
		}
	})
}

// The memory of headers is taken into account as they come, by their bytes and by their fields.
func TestHeaderMemoryIsLimited(t *testing.T) {
	withServer(t, respondOK, func(site *testServer) {
		site.budget.SetLimit(300 << 10)
		var fields strings.Builder
		for number := range 900 {
			fmt.Fprintf(&fields, "a%d:\r\n", number)
		}
		client := site.dial()
		client.send("GET / HTTP/1.1\r\nHost: x\r\n" + fields.String())
		if status := client.status(); status != http.StatusServiceUnavailable {
			t.Errorf("header with more fields than there is memory for: status %d, want 503", status)
		}
	})
}

// A header has to come within its time-out, however its bytes come; an idle connection ends after the idle time-out, and so
// does one whose client doesn't read.
func TestTimeoutsOfClients(t *testing.T) {
	withServer(t, respondOK, func(site *testServer) {
		trickling := site.dial()
		go func() {
			for _, one := range strings.Split(testRequest, "")[:20] {
				time.Sleep(500 * time.Millisecond)
				if _, err := io.WriteString(trickling, one); err != nil {
					return
				}
			}
		}()
		if !trickling.endsWithin(testHeaderLimits.Timeout + time.Second) {
			t.Error("a header that comes byte by byte isn't ended at its time-out")
		}
		idle := site.dial()
		idle.send(testRequest)
		if status := idle.status(); status != http.StatusOK {
			t.Errorf("status %d, want 200", status)
		}
		if idle.endsWithin(testHeaderLimits.IdleTimeout - time.Second) {
			t.Error("an idle connection ends before the idle time-out")
		}
		if !idle.endsWithin(2 * time.Second) {
			t.Error("an idle connection stays open after the idle time-out")
		}
		deaf := site.dial()
		deaf.send(testRequest)
		time.Sleep(testHeaderLimits.IdleTimeout + time.Second) // fake time of the synctest bubble
		if open := site.listener.Connections(); open != 0 {
			t.Errorf("open connections: %d, want 0: a client that doesn't read keeps its connection", open)
		}
	})
}

// A pipelined request that was read together with the one before it can give way like any other while its body is read.
func TestPipelinedRequestsCanBeAborted(t *testing.T) {
	withServer(t, respondOK, func(site *testServer) {
		site.budget.SetLimit(40 << 10)
		client := site.dial()
		client.send(testRequest + "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nbody")
		if status := client.status(); status != http.StatusOK {
			t.Errorf("first request: status %d, want 200", status)
		}
		synctest.Wait()
		if reading := site.budget.reading.Len(); reading != 1 {
			t.Errorf("requests that are being read: %d, want 1", reading)
		}
	})
}

// newTestListener returns a listener for one connection, and a function that connects to it and accepts the connection.
func newTestListener(t *testing.T, budget int64) (*Listener, func() (client net.Conn, accepted *Conn)) {
	t.Helper()
	network, clk := pipes.NewNetwork(), clock.Synctest()
	inner, err := network.Listen(testAddr)
	if err != nil {
		t.Fatal(err)
	}
	listener := NewListener(inner, Config{Clock: clk, MaxConnections: 1, Budget: NewBudget(clk, budget), Header: func() HeaderLimits { return testHeaderLimits }})
	return listener, func() (net.Conn, *Conn) {
		clients := make(chan net.Conn, 1)
		go func() {
			client, _ := network.Dial(context.Background(), "tcp", testAddr)
			clients <- client
		}()
		accepted, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		return <-clients, accepted.(*Conn)
	}
}

// A request whose connection was closed for another one at the moment at which its last byte was read isn't passed on.
func TestEvictedConnectionsDoNotFinish(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, connect := newTestListener(t, testLimit)
		_, first := connect()
		first.startRequest()
		_, second := connect()
		if first.FinishReading() {
			t.Error("the request of an evicted connection was read completely")
		}
		second.startRequest()
		if !second.FinishReading() {
			t.Error("the request of an open connection wasn't read completely")
		}
	})
}

// net/http reads a single byte while a handler runs, and may begin before the handler does. Such a read isn't refused, though
// no memory is left: the request before it is served.
func TestBackgroundReadsAreNotRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, connect := newTestListener(t, 0)
		client, accepted := connect()
		go func() { _, _ = io.WriteString(client, "GET") }()
		if n, err := accepted.Read(make([]byte, backgroundReadBytes)); n != 1 || err != nil {
			t.Errorf("background read: %d bytes, error %v; want one byte", n, err)
		}
		go func() { _, _ = io.Copy(io.Discard, client) }()
		if n, err := accepted.Read(make([]byte, readBufferBytes)); n != 0 || err != io.EOF {
			t.Errorf("read of a header without memory: %d bytes, error %v; want io.EOF", n, err)
		}
		_ = client.Close()
	})
}
