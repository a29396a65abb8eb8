package clientlimit

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/sim/pipes"
)

const testAddr = "10.0.0.1:80"

// testServer serves a listener with limits in a synctest bubble, over pipes.
type testServer struct {
	t        *testing.T
	network  *pipes.Network
	listener *Listener
	budget   *Budget
}

// withServer serves a handler and calls run. At the end, no memory may be reserved.
func withServer(t *testing.T, handler http.HandlerFunc, run func(site *testServer)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		site := &testServer{t: t, network: pipes.NewNetwork()}
		clk := clock.Synctest()
		site.budget = NewBudget(clk, testLimit)
		inner, err := site.network.Listen(testAddr)
		if err != nil {
			t.Fatal(err)
		}
		site.listener = NewListener(inner, Config{Budget: site.budget})
		server := &http.Server{Handler: TrackBodies(handler)}
		site.listener.Attach(server)
		go func() { _ = server.Serve(site.listener) }()
		run(site)
		_ = server.Close()
		synctest.Wait()
		time.Sleep(time.Minute) // fake time of the synctest bubble
		requireReserved(t, site.budget, 0)
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

func respondOK(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	_, _ = io.WriteString(w, "ok")
}

const testRequest = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"

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
