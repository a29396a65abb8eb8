package controlclient

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"google.golang.org/protobuf/proto"

	"pebbleloom/internal/control/clustermembership"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/wire"
)

// connectionFault is what a faultyMember does to a connection.
type connectionFault string

const (
	faultTimeout connectionFault = "timeout"
	faultReset   connectionFault = "reset"
	faultClose   connectionFault = "close"
	faultGarbage connectionFault = "garbage"
)

// faultStep is when a faultyMember does it.
type faultStep string

const (
	stepConnected     faultStep = "connected"
	stepBodyRead      faultStep = "body read"
	stepHalfResponded faultStep = "half responded"
	stepResponded     faultStep = "responded" // the next change finds the connection so
)

// faultyMember is a control node on a real socket: it responds to each change, counts those that it
// has read completely, and does one fault at one step of the second change.
type faultyMember struct {
	addr  string
	step  faultStep
	fault connectionFault
	once  sync.Once // the fault is done once

	mu       sync.Mutex
	received map[string]int // changes by the key of the put
}

func newFaultyMember(t *testing.T, step faultStep, fault connectionFault) *faultyMember {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	m := &faultyMember{addr: listener.Addr().String(), step: step, fault: fault, received: map[string]int{}}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { conn.Close() })
			go func() {
				defer conn.Close()
				m.serve(conn)
			}()
		}
	}()
	return m
}

// serve handles the requests of one connection until it is closed or the fault is done.
func (m *faultyMember) serve(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for requests := 0; ; requests++ {
		failed := func(step faultStep) bool { return m.isDue(requests, step) && m.fail(conn) }
		if requests == 1 {
			if _, err := reader.Peek(1); err != nil || failed(stepConnected) {
				return
			}
		}
		if !m.readChange(reader) || failed(stepBodyRead) {
			return
		}
		response := changeResponse()
		if _, err := io.WriteString(conn, response[:len(response)/2]); err != nil || failed(stepHalfResponded) {
			return
		}
		if _, err := io.WriteString(conn, response[len(response)/2:]); err != nil || failed(stepResponded) {
			return
		}
	}
}

// isDue reports whether the fault is to be done at a step of a request, of which so many came before
// on the connection. The second change finds the connection as the first one's response left it.
func (m *faultyMember) isDue(requestsBefore int, step faultStep) bool {
	return step == m.step && (requestsBefore == 1 || requestsBefore == 0 && step == stepResponded)
}

// fail does the fault, and reports whether it did: false from the second time on.
func (m *faultyMember) fail(conn net.Conn) (failed bool) {
	m.once.Do(func() { failed = true })
	if !failed {
		return false
	}
	switch m.fault {
	case faultTimeout:
		_, _ = io.Copy(io.Discard, conn)
	case faultReset:
		_ = conn.(*net.TCPConn).SetLinger(0)
	case faultGarbage:
		_, _ = io.WriteString(conn, "\x00garbage\r\n\r\n")
	case faultClose:
	}
	return true
}

// readChange reads one change and counts it; false if it wasn't complete.
func (m *faultyMember) readChange(reader *bufio.Reader) bool {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return false
	}
	body, err := io.ReadAll(request.Body)
	var change wire.ChangeRequest
	if err != nil || proto.Unmarshal(body, &change) != nil {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.received[change.Command.GetPut().GetKey()]++
	return true
}

// changeResponse is the HTTP response to a change that was made.
func changeResponse() string {
	body, _ := proto.Marshal(&wire.ChangeResponse{Outcome: wire.OutcomeDone, Version: 7})
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/protobuf\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// A change without a token is sent once, whatever fault its connection has, and also by net/http,
// which retries by itself on connections that served before. With a token it may be sent again, and
// has the same outcome.
func TestChangeWithoutTokenIsSentOnce(t *testing.T) {
	for _, step := range []faultStep{stepConnected, stepBodyRead, stepHalfResponded, stepResponded} {
		for _, fault := range []connectionFault{faultTimeout, faultReset, faultClose, faultGarbage} {
			for _, token := range []string{"", "t"} {
				t.Run(fmt.Sprintf("%s/%s/token=%q", step, fault, token), func(t *testing.T) {
					t.Parallel()
					testSentOnce(t, newFaultyMember(t, step, fault), token)
				})
			}
		}
	}
}

func testSentOnce(t *testing.T, member *faultyMember, token string) {
	t.Helper()
	bounds := boundsWithHeal(6000)
	view := clustermembership.View{Nodes: []*wire.Node{{Name: "archive/core-1", Addr: member.addr}}}
	client := New([]string{"core-1"}, func() clustermembership.View { return view }, newTestClients(bounds), bounds)
	change := func(key, token string) error {
		put := &wire.Put{Key: key, Token: token, AnyVersion: true}
		_, err := client.Change(context.Background(), &wire.ChangeRequest{Command: &wire.Command{Kind: &wire.Command_Put{Put: put}}})
		return err
	}
	if err := change("first", "first"); err != nil {
		t.Fatal(err)
	}
	err := change("second", token)
	member.mu.Lock()
	defer member.mu.Unlock()
	received := member.received["second"]
	if token == "" && received > 1 {
		t.Errorf("received %d times", received)
	}
	if err == nil && received == 0 || err != nil && errs.KindOf(err) != errs.MayHaveExecuted {
		t.Errorf("%v, received %d times", err, received)
	}
	if token != "" && err != nil {
		t.Errorf("with a token: %v", err)
	}
}
