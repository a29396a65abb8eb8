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

// lostResponse is a step of a scriptedMember in which the connection is closed without a response, so that the
// client does not know whether the change was applied.
const lostResponse = "lost"

// refusedUpstream is a step of a scriptedMember in which it returns an error that mentions a refused connection
// of its own. Unlike a refused connection to the member, it does not prove that the change was not applied.
const refusedUpstream = "refused upstream"

// scriptedMember is a control node that responds to changes according to a script. Each step is an outcome, the
// name of the leader, lostResponse or refusedUpstream. The last step repeats.
type scriptedMember struct {
	wire.ControlNode
	script   []string
	attempts int
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

// serve starts an HTTP server for a control node on a local address. It is closed when the test ends.
func serve(t *testing.T, node wire.ControlNode) (addr string) {
	t.Helper()
	server := httptest.NewServer(wire.NewControlNodeServer(node))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// boundsWithHeal returns the default bounds with the given Bounds.Heal, of which all timeouts of a client are
// fractions.
func boundsWithHeal(ms int) settings.Bounds {
	bounds := settings.DefaultBounds()
	bounds.HealMs = ms
	return bounds
}

func newTestClients(bounds settings.Bounds) *daemon.Clients {
	return daemon.NewClients(daemon.New("test", settings.Process{Bounds: bounds}))
}

// newTestClient returns a client whose settings list four control nodes, of which the given ones are running.
func newTestClient(t *testing.T, members map[string]*scriptedMember) *Client {
	t.Helper()
	var view clustermembership.View
	for name, member := range members {
		view.Nodes = append(view.Nodes, &wire.Node{Name: "archive/" + name, Addr: serve(t, member)})
	}
	bounds := boundsWithHeal(1200)
	return New([]string{"core-1", "core-2", "core-3", "core-4"}, func() clustermembership.View { return view }, newTestClients(bounds), bounds)
}

func newPut(token string, versioned bool) *wire.ChangeRequest {
	return &wire.ChangeRequest{Command: &wire.Command{Kind: &wire.Command_Put{Put: &wire.Put{Key: "k", Token: token, AnyVersion: !versioned}}}}
}

// A change whose response was lost is retried only if it cannot be applied twice. Otherwise, the kind of the
// error states that the outcome is unknown.
func TestChangeIsRetriedOnlyWhenSafe(t *testing.T) {
	for _, test := range []struct {
		name     string
		script   []string // steps of core-3, which core-2 and core-4 name as the leader
		request  *wire.ChangeRequest
		kind     *errs.Kind // kind of the error; nil if the change succeeds
		attempts int        // changes received by core-3; 0 if not checked
	}{
		{"leader applies the change", []string{"done"}, newPut("t", false), nil, 1},
		{"change with a token is retried after a lost response", []string{lostResponse, "done"}, newPut("t", false), nil, 2},
		{"change without a token or version is not retried after a lost response", []string{lostResponse, "done"}, newPut("", false), errs.MayHaveExecuted, 1},
		{"change without a token is not retried after an error that mentions a refused connection", []string{refusedUpstream, "done"}, newPut("", false), errs.MayHaveExecuted, 1},
		{"change with a version is retried after a lost response, and the outcome of a conflict is unknown", []string{lostResponse, "epoch-conflict"}, newPut("", true), errs.MayHaveExecuted, 2},
		{"conflict without a lost response", []string{"epoch-conflict"}, newPut("", true), errs.Conflict, 1},
		{"all responses to a change with a token are lost", []string{lostResponse}, newPut("t", false), errs.MayHaveExecuted, 0},
		{"leader rejects the change", []string{"bad-input"}, newPut("t", false), errs.BadInput, 1},
		{"leader is overloaded twice, then applies the change", []string{"overloaded", "overloaded", "done"}, newPut("t", false), nil, 3},
		{"no member is the leader", []string{"core-4"}, newPut("t", false), errs.OutcomeUnknown, 0},
	} {
		leader := &scriptedMember{script: test.script}
		client := newTestClient(t, map[string]*scriptedMember{"core-2": {script: []string{"core-3"}}, "core-3": leader, "core-4": {script: []string{"core-3"}}})
		response, err := client.Change(context.Background(), test.request)
		if test.kind == nil && (err != nil || response.Version != 7) || test.kind != nil && (err == nil || errs.KindOf(err) != test.kind) {
			t.Errorf("%s: response %v, error %v, want version 7 or an error of kind %v", test.name, response, err, test.kind)
		}
		if test.attempts > 0 && leader.attempts != test.attempts {
			t.Errorf("%s: the leader received %d attempts, want %d", test.name, leader.attempts, test.attempts)
		}
	}
	if _, err := newTestClient(t, nil).Change(context.Background(), newPut("t", false)); errs.KindOf(err) != errs.OutcomeUnknown {
		t.Errorf("change without any running control node: error %v, want kind errs.OutcomeUnknown", err)
	}
}

// A refused connection proves that the change was not sent. Therefore even a change that must not be applied
// twice is sent to the next member.
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
		t.Errorf("change after refused connections: response %v, error %v, %d attempts at the leader; want version 7 after 1 attempt", response, err, leader.attempts)
	}
}

// Each shard is replicated by three of the four control nodes, and each control node is excluded from the same
// number of shards.
func TestMembersSpreadShardsOverControlNodes(t *testing.T) {
	excluded := map[string]int{}
	for shard := range uint32(ShardCount) {
		members := Members(shard, []string{"d", "b", "c", "a"})
		if len(members) != 3 {
			t.Fatalf("members of shard %d: %v, want 3 of 4", shard, members)
		}
		for _, n := range []string{"a", "b", "c", "d"} {
			if members[0] != n && members[1] != n && members[2] != n {
				excluded[n]++
			}
		}
	}
	if len(excluded) != 4 || excluded["a"] != 2 {
		t.Errorf("number of shards that exclude each control node: %v, want 2 for each of 4", excluded)
	}
	if shard := ShardOf("lector-main"); shard == 0 || shard >= ShardCount || shard != ShardOf("lector-main") {
		t.Errorf("ShardOf(\"lector-main\") = %d, want the same shard from 1 to ShardCount-1 each time", shard)
	}
}
