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

// scripted is a worker on a real socket that answers each start as play says.
func scripted(t *testing.T, play func(s StartRequest, n int) string) (addr string, conns func() int) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	opened := make(chan struct{}, 64)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			opened <- struct{}{}
			go func() {
				defer c.Close()
				br := bufio.NewReader(c)
				for n := 0; ; n++ {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					var s StartRequest
					if raw, err := io.ReadAll(r.Body); err != nil || json.Unmarshal(raw, &s) != nil {
						return
					}
					if _, err := io.WriteString(c, play(s, n)); err != nil {
						return
					}
				}
			}()
		}
	}()
	return ln.Addr().String(), func() int { return len(opened) }
}

func rejectionOf(id string) string {
	body, _ := json.Marshal(Rejection{RequestID: id, NotExecuted: true, Reason: "full"})
	return fmt.Sprintf("HTTP/1.1 409 Conflict\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// A denial proves that its own request hasn't run, and no other: not the one in whose slot it comes.
func TestADenialIsItsOwnRequests(t *testing.T) {
	for _, x := range []struct {
		name   string
		play   func(s StartRequest, n int) string
		second bool // the second start on a connection is proved not to have run
	}{
		{"its own", func(s StartRequest, _ int) string { return rejectionOf(s.RequestID) }, true},
		{"of the request before", func(s StartRequest, n int) string {
			if n == 0 {
				return rejectionOf(s.RequestID)
			}
			return rejectionOf("r1")
		}, false},
		{"of nobody, on a connection that served", func(s StartRequest, n int) string {
			if n == 0 {
				return rejectionOf(s.RequestID)
			}
			return rejectionOf("")
		}, false},
		{"of nobody, on new connections", func(StartRequest, int) string {
			return "HTTP/1.1 409 Conflict\r\nConnection: close\r\nContent-Length: 33\r\n\r\n" + `{"not_run":true,"reason":"full"} `
		}, true},
	} {
		addr, _ := scripted(t, x.play)
		be := NewBackends((&net.Dialer{}).DialContext)
		ctx, end := context.WithTimeout(t.Context(), 10*time.Second)
		if g := be.Start(ctx, addr, StartRequest{RequestID: "r1"}, nil); !g.NotExecuted() {
			t.Errorf("%s: the first: %v", x.name, g.Err)
		}
		if g := be.Start(ctx, addr, StartRequest{RequestID: "r2"}, nil); g.NotExecuted() != x.second || g.Err == nil {
			t.Errorf("%s: the second: not run %v, %v", x.name, g.NotExecuted(), g.Err)
		}
		end()
		be.Close()
	}
}

// Orders share no connection with anything, and a redirect is an answer like any other.
func TestOrdersHaveTheirOwnConnections(t *testing.T) {
	state := `{"name":"cab-1"}`
	addr, conns := scripted(t, func(StartRequest, int) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(state), state)
	})
	be := NewBackends((&net.Dialer{}).DialContext)
	defer be.Close()
	for range 3 {
		if err := be.Order(t.Context(), addr, Order{FencingToken: 1, Kind: "weights"}); err != nil {
			t.Error(err)
		}
	}
	if n := conns(); n != 3 {
		t.Errorf("%d connections for 3 orders", n)
	}
	asked := 0
	addr, _ = scripted(t, func(StartRequest, int) string {
		asked++
		return "HTTP/1.1 302 Found\r\nLocation: /v1/state\r\nContent-Length: 0\r\n\r\n"
	})
	if g := be.Start(t.Context(), addr, StartRequest{RequestID: "r1"}, nil); g.Err == nil || g.NotExecuted() || asked != 1 {
		t.Errorf("%v, asked %d times", g.Err, asked)
	}
}
