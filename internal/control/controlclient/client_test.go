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

// lostResponse is a scripted member's step at which the change is made, or not, and the response is
// lost.
const lostResponse = "lost"

// refusedBehind is a step at which the change is made, and an error names a connection that was refused elsewhere.
const refusedBehind = "refused behind"

// scriptedMember is a control node that responds to changes by a script: each step is an outcome, the
// name of the leader, or lostResponse. The last step repeats.
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
	case refusedBehind:
		return nil, fmt.Errorf("storage: connection refused")
	case "core-2", "core-3", "core-4":
		return &wire.ChangeResponse{Outcome: wire.OutcomeNotLeader, Leader: step}, nil
	}
	return &wire.ChangeResponse{Outcome: step, Version: 7}, nil
}

// serve serves a control node on a local address until the test ends.
func serve(t *testing.T, node wire.ControlNode) (addr string) {
	t.Helper()
	server := httptest.NewServer(wire.NewControlNodeServer(node))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// boundsWithHeal are the default bounds with another heal bound; all of a client's waits are ratios
// of it.
func boundsWithHeal(ms int) settings.Bounds {
	bounds := settings.DefaultBounds()
	bounds.HealMs = ms
	return bounds
}

func newTestClients(bounds settings.Bounds) *daemon.Clients {
	return daemon.NewClients(daemon.New("test", settings.Process{Bounds: bounds}))
}

// newTestClient makes a client of four named control nodes, of which those given run.
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

// A change whose response was lost is retried only if it can't be made twice by that, and the error
// says what is known of its outcome.
func TestChangeIsRetriedOnlyWhenSafe(t *testing.T) {
	for _, test := range []struct {
		name     string
		script   []string // of core-3, which core-2 and core-4 name as the leader
		request  *wire.ChangeRequest
		kind     *errs.Kind // of the error; nil: done
		attempts int        // at core-3; 0: any number
	}{
		{"the leader makes it", []string{"done"}, newPut("t", false), nil, 1},
		{"with a token it is retried after a lost response", []string{lostResponse, "done"}, newPut("t", false), nil, 2},
		{"without a token or version it isn't", []string{lostResponse, "done"}, newPut("", false), errs.MayHaveExecuted, 1},
		{"nor after an error that only mentions a refused connection", []string{refusedBehind, "done"}, newPut("", false), errs.MayHaveExecuted, 1},
		{"with a version it is, and a conflict then proves nothing", []string{lostResponse, "epoch-conflict"}, newPut("", true), errs.MayHaveExecuted, 2},
		{"a conflict with no response lost is one", []string{"epoch-conflict"}, newPut("", true), errs.Conflict, 1},
		{"all responses are lost", []string{lostResponse}, newPut("t", false), errs.MayHaveExecuted, 0},
		{"the leader rejects it", []string{"bad-input"}, newPut("t", false), errs.BadInput, 1},
		{"overloaded, then done", []string{"overloaded", "overloaded", "done"}, newPut("t", false), nil, 3},
		{"no member is the leader", []string{"core-4"}, newPut("t", false), errs.OutcomeUnknown, 0},
	} {
		leader := &scriptedMember{script: test.script}
		client := newTestClient(t, map[string]*scriptedMember{"core-2": {script: []string{"core-3"}}, "core-3": leader, "core-4": {script: []string{"core-3"}}})
		response, err := client.Change(context.Background(), test.request)
		if test.kind == nil && (err != nil || response.Version != 7) || test.kind != nil && (err == nil || errs.KindOf(err) != test.kind) {
			t.Errorf("%s: %v, %v", test.name, response, err)
		}
		if test.attempts > 0 && leader.attempts != test.attempts {
			t.Errorf("%s: %d attempts, want %d", test.name, leader.attempts, test.attempts)
		}
	}
	if _, err := newTestClient(t, nil).Change(context.Background(), newPut("t", false)); errs.KindOf(err) != errs.OutcomeUnknown {
		t.Errorf("no member is known: %v", err)
	}
}

// A refused connection proves that nothing was sent: a change that may not be made twice goes to the next member.
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
		t.Errorf("%v, %v, %d attempts", response, err, leader.attempts)
	}
}

// Each shard is replicated by three of the four control nodes, and each of the four is left out in turn.
func TestMembersSpreadShardsOverControlNodes(t *testing.T) {
	leftOut := map[string]int{}
	for shard := range uint32(ShardCount) {
		members := Members(shard, []string{"d", "b", "c", "a"})
		if len(members) != 3 {
			t.Fatalf("shard %d: %v", shard, members)
		}
		for _, n := range []string{"a", "b", "c", "d"} {
			if members[0] != n && members[1] != n && members[2] != n {
				leftOut[n]++
			}
		}
	}
	if len(leftOut) != 4 || leftOut["a"] != 2 {
		t.Errorf("left out: %v", leftOut)
	}
	if shard := ShardOf("lector-main"); shard == 0 || shard >= ShardCount || shard != ShardOf("lector-main") {
		t.Errorf("a service's shard: %d", shard)
	}
}
