package contract

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// respondFunc returns a worker's raw HTTP response to the request with index n, from 0, on a connection.
type respondFunc func(start StartRequest, n int) string

// startWorker starts a fake worker on a loopback TCP port. It returns the worker's address and a function that
// returns how many connections the worker has accepted.
func startWorker(t *testing.T, respond respondFunc) (addr string, connections func() int) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	accepted := make(chan struct{}, 64)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted <- struct{}{}
			go serve(conn, respond)
		}
	}()
	return listener.Addr().String(), func() int { return len(accepted) }
}

func serve(conn net.Conn, respond respondFunc) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for n := 0; ; n++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		var start StartRequest
		if raw, err := io.ReadAll(request.Body); err != nil || json.Unmarshal(raw, &start) != nil {
			return
		}
		if _, err := io.WriteString(conn, respond(start, n)); err != nil {
			return
		}
	}
}

func rejectionOf(requestID string) string {
	body, _ := json.Marshal(Rejection{RequestID: requestID, NotExecuted: true, Reason: "full"})
	return fmt.Sprintf("HTTP/1.1 409 Conflict\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// A rejection shows that the request with its id wasn't executed. On a reused connection the client can receive
// a surplus rejection of an earlier request; if it counted for the current one, a retry could run that one twice.
func TestRejectionProvesItsOwnRequestAlone(t *testing.T) {
	rejectThen := func(second string) respondFunc {
		return func(start StartRequest, n int) string {
			if n == 0 {
				return rejectionOf(start.RequestID)
			}
			return rejectionOf(second)
		}
	}
	for _, test := range []struct {
		name        string
		respond     respondFunc
		notExecuted bool // whether the client must conclude that the second request wasn't executed
	}{
		{"rejection with the id of the request", func(start StartRequest, _ int) string { return rejectionOf(start.RequestID) }, true},
		{"rejection with the id of the previous request", rejectThen("r1"), false},
		{"rejection without an id on a reused connection", rejectThen(""), false},
		{"rejection without an id on a new connection", func(StartRequest, int) string {
			return "HTTP/1.1 409 Conflict\r\nConnection: close\r\nContent-Length: 33\r\n\r\n" + `{"not_run":true,"reason":"full"} `
		}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			addr, _ := startWorker(t, test.respond)
			backends := NewBackends((&net.Dialer{}).DialContext)
			defer backends.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			if attempt := backends.Start(ctx, addr, StartRequest{RequestID: "r1"}, nil); !attempt.NotExecuted() {
				t.Errorf("first request, rejected with its own id: not executed = false, error %v; want true", attempt.Err)
			}
			if attempt := backends.Start(ctx, addr, StartRequest{RequestID: "r2"}, nil); attempt.NotExecuted() != test.notExecuted || attempt.Err == nil {
				t.Errorf("second request: not executed = %v, error %v; want %v and an error", attempt.NotExecuted(), attempt.Err, test.notExecuted)
			}
		})
	}
}

// Each order opens its own connection, so that it can't receive a late response to an earlier order. Redirects
// aren't followed: the client would send the request a second time.
func TestOrdersHaveTheirOwnConnections(t *testing.T) {
	state := `{"name":"worker-1"}`
	addr, connections := startWorker(t, func(StartRequest, int) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(state), state)
	})
	backends := NewBackends((&net.Dialer{}).DialContext)
	defer backends.Close()
	for range 3 {
		if err := backends.Order(t.Context(), addr, Order{FencingToken: 1, Kind: "weights"}); err != nil {
			t.Errorf("order to a worker that responds with status 200: error %v, want none", err)
		}
	}
	if n := connections(); n != 3 {
		t.Errorf("worker accepted %d connections for 3 orders, want 3", n)
	}
	requests := 0
	addr, _ = startWorker(t, func(StartRequest, int) string {
		requests++
		return "HTTP/1.1 302 Found\r\nLocation: /v1/state\r\nContent-Length: 0\r\n\r\n"
	})
	if attempt := backends.Start(t.Context(), addr, StartRequest{RequestID: "r1"}, nil); attempt.Err == nil || attempt.NotExecuted() || requests != 1 {
		t.Errorf("start request with a redirect as the response: error %v, not executed = %v, %d HTTP requests; want an error, false and 1 request", attempt.Err, attempt.NotExecuted(), requests)
	}
}
