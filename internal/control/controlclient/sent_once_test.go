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

// connectionFault is a fault that a faultyMember injects into the connection from its client.
type connectionFault string

const (
	faultTimeout connectionFault = "timeout" // the member no longer responds on the connection
	faultReset   connectionFault = "reset"   // the member resets the connection
	faultClose   connectionFault = "close"   // the member closes the connection
	faultGarbage connectionFault = "garbage" // the member sends bytes that are not HTTP
)

// faultStep is the point in the handling of a request at which a faultyMember injects its fault.
type faultStep string

const (
	stepConnected     faultStep = "connected"      // the first byte of the second change has arrived
	stepBodyRead      faultStep = "body read"      // the second change has been read completely
	stepHalfResponded faultStep = "half responded" // half of the response to the second change has been sent
	stepResponded     faultStep = "responded"      // the response to the first change has been sent
)

// faultyMember is a simulated control node with a real TCP listener. It responds to each change, counts the changes
// that it has read completely, and injects one fault into one connection.
type faultyMember struct {
	addr  string          // address of the TCP listener
	step  faultStep       // step of a request at which the fault is injected
	fault connectionFault // fault to inject
	once  sync.Once       // ensures that the fault is injected only once

	mu       sync.Mutex
	received map[string]int // number of times that a change to a document was read completely, by document key
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

// serve handles the requests on one connection until it is closed or the fault has been injected into it.
func (m *faultyMember) serve(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for requests := 0; ; requests++ {
		injected := func(step faultStep) bool { return m.isDue(requests, step) && m.inject(conn) }
		if requests == 1 {
			if _, err := reader.Peek(1); err != nil || injected(stepConnected) {
				return
			}
		}
		if !m.readChange(reader) || injected(stepBodyRead) {
			return
		}
		response := changeResponse()
		if _, err := io.WriteString(conn, response[:len(response)/2]); err != nil || injected(stepHalfResponded) {
			return
		}
		if _, err := io.WriteString(conn, response[len(response)/2:]); err != nil || injected(stepResponded) {
			return
		}
	}
}

// isDue reports whether the fault should be injected at a step of a request, given the number of earlier requests on
// the same connection. With stepResponded, the fault is injected after the response to the first request, so that the
// client sends the second change on a connection that is already faulty.
func (m *faultyMember) isDue(requestsBefore int, step faultStep) bool {
	return step == m.step && (requestsBefore == 1 || requestsBefore == 0 && step == stepResponded)
}

// inject injects the member's fault into a connection. If the fault has been injected before, it only returns false.
func (m *faultyMember) inject(conn net.Conn) (injected bool) {
	m.once.Do(func() { injected = true })
	if !injected {
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

// readChange reads one change from a connection and counts it. It returns false if the change is incomplete.
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

// changeResponse returns the raw HTTP response to a change that was applied.
func changeResponse() string {
	body, _ := proto.Marshal(&wire.ChangeResponse{Outcome: wire.OutcomeDone, Version: 7})
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/protobuf\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// A change without an idempotency token is sent at most once, whatever fault the connection has. In particular,
// net/http must not resend it, as it does with some requests on reused connections. A change with a token may be
// sent again, and must succeed.
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
	bounds := boundsWithRecovery(6000)
	view := clustermembership.View{Nodes: []*wire.Node{{Name: "archive/core-1", Addr: member.addr}}}
	client := New([]string{"core-1"}, func() clustermembership.View { return view }, newTestClients(bounds), bounds)
	change := func(key, token string) error {
		put := &wire.Put{Key: key, Token: token, AnyVersion: true}
		_, err := client.Change(context.Background(), &wire.ChangeRequest{Command: &wire.Command{Kind: &wire.Command_Put{Put: put}}})
		return err
	}
	if err := change("first", "first"); err != nil {
		t.Fatal("first change, before the connection fault, failed:", err)
	}
	err := change("second", token)
	member.mu.Lock()
	defer member.mu.Unlock()
	received := member.received["second"]
	if token == "" && received > 1 {
		t.Errorf("second change, without a token, was received by the control node %d times, want at most once", received)
	}
	if err == nil && received == 0 || err != nil && errs.KindOf(err) != errs.MayHaveExecuted {
		t.Errorf("second change, after or during a connection fault: error %v, received by the control node %d times; want an error of kind errs.MayHaveExecuted, or success after it was received", err, received)
	}
	if token != "" && err != nil {
		t.Errorf("second change, with a token, after or during a connection fault: error %v, want none", err)
	}
}
