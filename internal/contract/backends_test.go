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

// respondFunc returns a worker's raw response to the nth request of a connection.
type respondFunc func(start StartRequest, n int) string

// startWorker starts a worker on a real socket. It returns its address and a count of the connections that
// it has accepted.
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

// A rejection proves that its own request wasn't executed, and no other: not that of the call whose
// response it is taken for.
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
		notExecuted bool // it is proved that the second start on a connection wasn't executed
	}{
		{"its own", func(start StartRequest, _ int) string { return rejectionOf(start.RequestID) }, true},
		{"of the request before", rejectThen("r1"), false},
		{"without an id, on a reused connection", rejectThen(""), false},
		{"without an id, on new connections", func(StartRequest, int) string {
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
				t.Errorf("the first: %v", attempt.Err)
			}
			if attempt := backends.Start(ctx, addr, StartRequest{RequestID: "r2"}, nil); attempt.NotExecuted() != test.notExecuted || attempt.Err == nil {
				t.Errorf("the second: not executed %v, %v", attempt.NotExecuted(), attempt.Err)
			}
		})
	}
}

// Each order has its own connection, and a redirect is a response like any other.
func TestOrdersHaveTheirOwnConnections(t *testing.T) {
	state := `{"name":"worker-1"}`
	addr, connections := startWorker(t, func(StartRequest, int) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(state), state)
	})
	backends := NewBackends((&net.Dialer{}).DialContext)
	defer backends.Close()
	for range 3 {
		if err := backends.Order(t.Context(), addr, Order{FencingToken: 1, Kind: "weights"}); err != nil {
			t.Error(err)
		}
	}
	if n := connections(); n != 3 {
		t.Errorf("%d connections for 3 orders", n)
	}
	requests := 0
	addr, _ = startWorker(t, func(StartRequest, int) string {
		requests++
		return "HTTP/1.1 302 Found\r\nLocation: /v1/state\r\nContent-Length: 0\r\n\r\n"
	})
	if attempt := backends.Start(t.Context(), addr, StartRequest{RequestID: "r1"}, nil); attempt.Err == nil || attempt.NotExecuted() || requests != 1 {
		t.Errorf("%v, %d requests", attempt.Err, requests)
	}
}
