package controlclient

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/control/clustermembership"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/wire"
)

// partitionableMember is a simulated control node in a testGroup. While it is cut off from the network, it does not
// respond, and calls to it end with the caller's timeout.
type partitionableMember struct {
	wire.ControlNode
	name  string
	group *testGroup
}

// testGroup is a Raft group of simulated control nodes. Its fields determine how they respond to changes.
type testGroup struct {
	mu          sync.Mutex
	partitioned map[string]bool   // names of members that are cut off from the network
	leader      string            // name of the member that applies changes
	namedLeader string            // name of the leader according to the other members; empty if they name none
	tried       []string          // names of the members that received the last change, in order
	addr        map[string]string // addresses by member name
}

func (m *partitionableMember) Change(ctx context.Context, _ *wire.ChangeRequest) (*wire.ChangeResponse, error) {
	g := m.group
	g.mu.Lock()
	g.tried = append(g.tried, m.name)
	partitioned, isLeader, namedLeader := g.partitioned[m.name], g.leader == m.name, g.addr[g.namedLeader]
	g.mu.Unlock()
	switch {
	case partitioned:
		<-ctx.Done()
		return nil, ctx.Err()
	case isLeader:
		return &wire.ChangeResponse{Outcome: wire.OutcomeDone, Version: 7}, nil
	}
	return &wire.ChangeResponse{Outcome: wire.OutcomeNotLeader, Leader: namedLeader}, nil
}

// newTestGroup starts members with the given names, and returns them with a client whose seeds are their addresses.
func newTestGroup(t *testing.T, names ...string) (*testGroup, *Client) {
	t.Helper()
	group := &testGroup{partitioned: map[string]bool{}, addr: map[string]string{}}
	var seeds []string
	for _, name := range names {
		group.addr[name] = serve(t, &partitionableMember{name: name, group: group})
		seeds = append(seeds, group.addr[name])
	}
	bounds := boundsWithRecovery(6000) // gives an attempt whose request has no body a timeout of 250 ms
	view := func() clustermembership.View { return clustermembership.View{} }
	return group, NewGroupClient(seeds, view, newTestClients(bounds), bounds)
}

// change calls update to modify the group, sends one change, and returns the names of the members that received it.
func (g *testGroup) change(client *Client, update func()) (tried []string, err error) {
	g.mu.Lock()
	update()
	g.tried = nil
	g.mu.Unlock()
	_, err = client.Change(context.Background(), newPut("t", false))
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tried, err
}

// A member that did not respond to the last change is tried after all others, even if one of them still names it as the
// leader. Once it has responded, it is tried in the usual order again.
func TestUnresponsiveMemberIsTriedLast(t *testing.T) {
	group, client := newTestGroup(t, "a", "b", "c")
	for _, test := range []struct {
		name   string
		update func() // modifies the group before the change is sent
		want   string // names of the members that should receive the change, in order
	}{
		{"member a is the leader", func() { group.leader = "a" }, "[a]"},
		{"member a is partitioned and member b becomes the leader", func() { group.partitioned["a"], group.leader = true, "b" }, "[a b]"},
		{"member b is known as the leader, and so tried first", func() {}, "[b]"},
		{"member c becomes the leader, but member b names the unresponsive member a", func() { group.leader, group.namedLeader = "c", "a" }, "[b c]"},
		{"member a responds again and becomes the leader", func() { group.partitioned["a"], group.leader = false, "a" }, "[c b a]"},
		{"member a is known as the leader, and so tried first", func() {}, "[a]"},
	} {
		tried, err := group.change(client, test.update)
		if got := fmt.Sprint(tried); err != nil || got != test.want {
			t.Errorf("change when %q: sent to members %s, want %s; error %v, want none", test.name, got, test.want, err)
		}
	}
}

// If a client reaches no member of its group, a change fails long before the time limit of a request, and a second
// change fails even sooner. Each change is still sent to every member.
func TestPartitionedClientFailsFast(t *testing.T) {
	group, client := newTestGroup(t, "a", "b", "c")
	clk := clock.BootTime()
	for i, limit := range []time.Duration{1200 * time.Millisecond, 600 * time.Millisecond} {
		start := clk.Now()
		tried, err := group.change(client, func() {
			group.partitioned["a"], group.partitioned["b"], group.partitioned["c"] = true, true, true
		})
		if elapsed := clk.Now() - start; err == nil || errs.KindOf(err).HTTPStatus < 500 || elapsed > limit {
			t.Fatalf("change %d while no member is reachable: error %v after %v, want one with a 5xx status within %v", i+1, err, elapsed, limit)
		}
		if slices.Sort(tried); fmt.Sprint(tried) != "[a b c]" {
			t.Errorf("change %d while no member is reachable: sent to members %v, want each of a, b, c once", i+1, tried)
		}
	}
}

// A restarted member sends changes to the members that it read from its replicated log, even if its seeds do not lead
// to them. It tries its own address last.
func TestMembersFromLogAreTried(t *testing.T) {
	group, client := newTestGroup(t, "a", "b")
	client.SetSeeds([]string{group.addr["a"]})
	client.SetMembers(group.addr["a"]+"/0", []string{group.addr["a"] + "/0", group.addr["b"] + "/7"})
	if got := fmt.Sprint(client.Addresses()); got != fmt.Sprint([]string{group.addr["b"], group.addr["a"]}) {
		t.Errorf("addresses to try for member a of a group of a and b: %v, want that of b before that of a", got)
	}
	if tried, err := group.change(client, func() { group.leader = "b" }); err != nil || fmt.Sprint(tried) != "[b]" {
		t.Errorf("change sent by member a while b is the leader: sent to members %v, error %v; want it sent only to b, no error", tried, err)
	}
}

func TestLargeBodyHasLongerTimeout(t *testing.T) {
	_, client := newTestGroup(t, "a")
	empty, large := client.attemptTimeout(0), client.attemptTimeout(attemptDoublingBytes)
	if large != 2*empty || empty != 250*time.Millisecond {
		t.Errorf("timeout of an attempt without a request body: %v, want 250ms; with a body of attemptDoublingBytes: %v, want twice as long", empty, large)
	}
}
