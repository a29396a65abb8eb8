package controlclient

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"pebbleloom/internal/control/clustermembership"
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

// lostResponse is a step of a scriptedMember in which it closes the connection without a response, so that the
// client does not know whether its change was applied.
const lostResponse = "lost"

// refusedUpstream is a step of a scriptedMember in which it returns an error about a refused connection from the
// member to another process. Unlike a refused connection from the client to the member, such an error does not
// prove that the change was not applied.
const refusedUpstream = "refused upstream"

// scriptedMember is a simulated control node that responds to each change with the next step of a script. A step is
// an outcome of the change, the name of another control node as the leader, lostResponse or refusedUpstream. After
// the end of the script, its last step is repeated.
type scriptedMember struct {
	wire.ControlNode
	script   []string
	attempts int // number of changes that this member received
}

func (m *scriptedMember) Change(context.Context, *wire.ChangeRequest) (*wire.ChangeResponse, error) {
	step := m.script[min(m.attempts, len(m.script)-1)]
	m.attempts++
	switch step {
	case lostResponse:
		panic(http.ErrAbortHandler)
	case refusedUpstream:
		return nil, fmt.Errorf("storage backend: connection refused")
	case "core-2", "core-3", "core-4":
		return &wire.ChangeResponse{Outcome: wire.OutcomeNotLeader, Leader: step}, nil
	}
	return &wire.ChangeResponse{Outcome: step, Version: 7}, nil
}

// serve starts an HTTP server for a simulated control node on a local address, which it returns. The server is closed
// when the test ends.
func serve(t *testing.T, node wire.ControlNode) (addr string) {
	t.Helper()
	server := httptest.NewServer(wire.NewControlNodeServer(node))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// boundsWithRecovery returns the default bounds with the given Bounds.Recovery in milliseconds. All timeouts of a Client are
// fractions of it.
func boundsWithRecovery(ms int) settings.Bounds {
	bounds := settings.DefaultBounds()
	bounds.RecoveryMs = ms
	return bounds
}

func newTestClients(bounds settings.Bounds) *daemon.Clients {
	return daemon.NewClients(daemon.New("test", settings.Process{Bounds: bounds}))
}

// newTestClient returns a client with a fixed list of four control nodes, core-1 to core-4. It starts the given ones;
// the client knows no address of the others.
func newTestClient(t *testing.T, members map[string]*scriptedMember) *Client {
	t.Helper()
	var view clustermembership.View
	for name, member := range members {
		view.Nodes = append(view.Nodes, &wire.Node{Name: "archive/" + name, Addr: serve(t, member)})
	}
	bounds := boundsWithRecovery(1200)
	return New([]string{"core-1", "core-2", "core-3", "core-4"}, func() clustermembership.View { return view }, newTestClients(bounds), bounds)
}

// newPut returns a put with an idempotency token, unless it is empty, and with an expected document version if
// versioned is true.
func newPut(token string, versioned bool) *wire.ChangeRequest {
	return &wire.ChangeRequest{Command: &wire.Command{Kind: &wire.Command_Put{Put: &wire.Put{Key: "k", Token: token, AnyVersion: !versioned}}}}
}

// After a lost response, a change is sent again only if it cannot be applied twice, as with an idempotency token or an
// expected version. If it remains unknown whether the change was applied, the error is of kind errs.MayHaveExecuted.
func TestChangeIsRetriedOnlyWhenSafe(t *testing.T) {
	for _, test := range []struct {
		name     string
		script   []string // steps of control node core-3, which core-2 and core-4 name as the leader
		request  *wire.ChangeRequest
		kind     *errs.Kind // wanted kind of the error returned by Change; nil if the change should succeed
		attempts int        // wanted number of changes received by core-3; 0 if not checked
	}{
		{"leader applies the change", []string{"done"}, newPut("t", false), nil, 1},
		{"change with a token is retried after a lost response", []string{lostResponse, "done"}, newPut("t", false), nil, 2},
		{"change without a token or expected version is not retried after a lost response", []string{lostResponse, "done"}, newPut("", false), errs.MayHaveExecuted, 1},
		{"change without a token is not retried after an error that mentions a refused connection", []string{refusedUpstream, "done"}, newPut("", false), errs.MayHaveExecuted, 1},
		{"change with an expected version is retried after a lost response, and may have caused the conflict itself", []string{lostResponse, "epoch-conflict"}, newPut("", true), errs.MayHaveExecuted, 2},
		{"leader rejects the change for a conflict, and no response was lost", []string{"epoch-conflict"}, newPut("", true), errs.Conflict, 1},
		{"all responses to a change with a token are lost", []string{lostResponse}, newPut("t", false), errs.MayHaveExecuted, 0},
		{"leader rejects the change", []string{"bad-input"}, newPut("t", false), errs.BadInput, 1},
		{"leader is overloaded twice, then applies the change", []string{"overloaded", "overloaded", "done"}, newPut("t", false), nil, 3},
		{"no control node is the leader: each names another one", []string{"core-4"}, newPut("t", false), errs.OutcomeUnknown, 0},
	} {
		leader := &scriptedMember{script: test.script}
		client := newTestClient(t, map[string]*scriptedMember{"core-2": {script: []string{"core-3"}}, "core-3": leader, "core-4": {script: []string{"core-3"}}})
		response, err := client.Change(context.Background(), test.request)
		if test.kind == nil && (err != nil || response.Version != 7) || test.kind != nil && (err == nil || errs.KindOf(err) != test.kind) {
			t.Errorf("change when %q: response %v, error %v; want an error of kind %+v or, if that is nil, document version 7", test.name, response, err, test.kind)
		}
		if test.attempts > 0 && leader.attempts != test.attempts {
			t.Errorf("change when %q: the leader received the change %d times, want %d", test.name, leader.attempts, test.attempts)
		}
	}
	if _, err := newTestClient(t, nil).Change(context.Background(), newPut("t", false)); errs.KindOf(err) != errs.OutcomeUnknown {
		t.Errorf("change while no control node is running: error %v, want one of kind errs.OutcomeUnknown", err)
	}
}

// A refused connection proves that the change was not sent. Therefore even a change without a token, which must not be
// sent twice, is then sent to the next control node.
func TestChangeIsRetriedAfterARefusedConnection(t *testing.T) {
	leader := &scriptedMember{script: []string{"done"}}
	client := newTestClient(t, map[string]*scriptedMember{"core-2": {}, "core-3": leader, "core-4": {}})
	known := client.view()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener.Close()
	for _, node := range known.Nodes {
		if node.Name != "archive/core-3" {
			node.Addr = listener.Addr().String()
		}
	}
	client.view = func() clustermembership.View { return known }
	response, err := client.Change(context.Background(), newPut("", false))
	if err != nil || response.Version != 7 || leader.attempts != 1 {
		t.Errorf("change when other control nodes refuse the connection: response %v, error %v, received by the leader %d times; want document version 7, received once", response, err, leader.attempts)
	}
}

// Of four control nodes, three replicate each shard, and each node is left out for the same number of shards.
func TestMembersSpreadShardsOverControlNodes(t *testing.T) {
	excluded := map[string]int{}
	for shard := range uint32(ShardCount) {
		members := Members(shard, []string{"d", "b", "c", "a"})
		if len(members) != 3 {
			t.Fatalf("control nodes that replicate shard %d: %v, want 3 of 4", shard, members)
		}
		for _, n := range []string{"a", "b", "c", "d"} {
			if members[0] != n && members[1] != n && members[2] != n {
				excluded[n]++
			}
		}
	}
	if len(excluded) != 4 || excluded["a"] != 2 {
		t.Errorf("number of shards that each control node does not replicate: %v, want 2 for each of 4 control nodes", excluded)
	}
	if shard := ShardOf("lector-main"); shard == 0 || shard >= ShardCount || shard != ShardOf("lector-main") {
		t.Errorf("ShardOf(\"lector-main\") = %d, want a shard from 1 to ShardCount-1, and the same one in each call", shard)
	}
}
