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

// partitionableMember is a member of a testGroup. While partitioned, it does not respond, and calls to it end with
// the caller's timeout.
type partitionableMember struct {
	wire.ControlNode
	name  string
	group *testGroup
}

// testGroup is a group of simulated members. Its fields determine how they respond.
type testGroup struct {
	mu          sync.Mutex
	partitioned map[string]bool
	leader      string
	namedLeader string   // leader named by the other members
	tried       []string // members to which the last change was sent, in order
	addr        map[string]string
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

func newTestGroup(t *testing.T, names ...string) (*testGroup, *Client) {
	t.Helper()
	group := &testGroup{partitioned: map[string]bool{}, addr: map[string]string{}}
	var seeds []string
	for _, name := range names {
		group.addr[name] = serve(t, &partitionableMember{name: name, group: group})
		seeds = append(seeds, group.addr[name])
	}
	bounds := boundsWithHeal(6000) // the timeout of an attempt is 250 ms
	view := func() clustermembership.View { return clustermembership.View{} }
	return group, NewGroupClient(seeds, view, newTestClients(bounds), bounds)
}

// change updates the group, sends one change, and returns the members to which it was sent.
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

// A member that did not respond is tried after all others, even if one of them still names it as the leader. Once
// it has responded, it is tried in the usual order again.
func TestUnresponsiveMemberIsTriedLast(t *testing.T) {
	group, client := newTestGroup(t, "a", "b", "c")
	for _, test := range []struct {
		name   string
		update func()
		want   string
	}{
		{"member a is the leader", func() { group.leader = "a" }, "[a]"},
		{"a is partitioned and b becomes the leader", func() { group.partitioned["a"], group.leader = true, "b" }, "[a b]"},
		{"known leader b is tried first", func() {}, "[b]"},
		{"c becomes the leader, but b names the unresponsive a", func() { group.leader, group.namedLeader = "c", "a" }, "[b c]"},
		{"a responds again and becomes the leader", func() { group.partitioned["a"], group.leader = false, "a" }, "[c b a]"},
		{"known leader a is tried first", func() {}, "[a]"},
	} {
		tried, err := group.change(client, test.update)
		if got := fmt.Sprint(tried); err != nil || got != test.want {
			t.Errorf("%s: tried members %s, want %s; error %v, want none", test.name, got, test.want, err)
		}
	}
}

// If a client reaches no member, a change fails long before the caller's deadline, and faster the second time. Each
// member is still tried.
func TestPartitionedClientFailsFast(t *testing.T) {
	group, client := newTestGroup(t, "a", "b", "c")
	clk := clock.BootTime()
	for i, limit := range []time.Duration{1200 * time.Millisecond, 600 * time.Millisecond} {
		start := clk.Now()
		tried, err := group.change(client, func() {
			group.partitioned["a"], group.partitioned["b"], group.partitioned["c"] = true, true, true
		})
		if elapsed := clk.Now() - start; err == nil || errs.KindOf(err).HTTPStatus < 500 || elapsed > limit {
			t.Fatalf("change %d without a reachable member: error %v after %v, want a 5xx error within %v", i, err, elapsed, limit)
		}
		if slices.Sort(tried); fmt.Sprint(tried) != "[a b c]" {
			t.Errorf("change %d without a reachable member: tried %v, want each of a, b, c once", i, tried)
		}
	}
}

// The members set from a restarted member's log are tried even if no seed leads to them. The member's own address
// comes last.
func TestMembersFromLogAreTried(t *testing.T) {
	group, client := newTestGroup(t, "a", "b")
	client.SetSeeds([]string{group.addr["a"]})
	client.SetMembers(group.addr["a"]+"/0", []string{group.addr["a"] + "/0", group.addr["b"] + "/7"})
	if got := fmt.Sprint(client.Addresses()); got != fmt.Sprint([]string{group.addr["b"], group.addr["a"]}) {
		t.Errorf("Addresses of member a after SetMembers: %v, want b before a", got)
	}
	if tried, err := group.change(client, func() { group.leader = "b" }); err != nil || fmt.Sprint(tried) != "[b]" {
		t.Errorf("change with leader b: tried %v, error %v; want only b tried and no error", tried, err)
	}
}

func TestLargeBodyHasLongerTimeout(t *testing.T) {
	_, client := newTestGroup(t, "a")
	empty, large := client.attemptTimeout(0), client.attemptTimeout(attemptDoublingBytes)
	if large != 2*empty || empty != 250*time.Millisecond {
		t.Errorf("timeout of an attempt with an empty body: %v, want 250ms; with a body of attemptDoublingBytes: %v, want twice that", empty, large)
	}
}
