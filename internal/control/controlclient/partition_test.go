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

// silenceableMember is a member of a testGroup. One that is partitioned doesn't respond until its
// caller gives up.
type silenceableMember struct {
	wire.ControlNode
	name  string
	group *testGroup
}

// testGroup is a group of members and how each of them responds.
type testGroup struct {
	mu          sync.Mutex
	partitioned map[string]bool
	leader      string
	named       string   // whom the others name as the leader
	tried       []string // the members that the last change was sent to
	addr        map[string]string
}

func (m *silenceableMember) Change(ctx context.Context, _ *wire.ChangeRequest) (*wire.ChangeResponse, error) {
	g := m.group
	g.mu.Lock()
	g.tried = append(g.tried, m.name)
	partitioned, isLeader, named := g.partitioned[m.name], g.leader == m.name, g.addr[g.named]
	g.mu.Unlock()
	switch {
	case partitioned:
		<-ctx.Done()
		return nil, ctx.Err()
	case isLeader:
		return &wire.ChangeResponse{Outcome: wire.OutcomeDone, Version: 7}, nil
	}
	return &wire.ChangeResponse{Outcome: wire.OutcomeNotLeader, Leader: named}, nil
}

func newTestGroup(t *testing.T, names ...string) (*testGroup, *Client) {
	t.Helper()
	group := &testGroup{partitioned: map[string]bool{}, addr: map[string]string{}}
	var seeds []string
	for _, name := range names {
		group.addr[name] = serve(t, &silenceableMember{name: name, group: group})
		seeds = append(seeds, group.addr[name])
	}
	bounds := boundsWithHeal(6000) // an attempt lasts 250 ms
	view := func() clustermembership.View { return clustermembership.View{} }
	return group, NewGroupClient(seeds, view, newTestClients(bounds), bounds)
}

// change sends one change after an update of the group, and returns which members it was sent to.
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

// A member that didn't respond is tried after all others, also where one of them still names it as
// the leader; once it has responded it is tried as before.
func TestUnresponsiveMemberIsTriedLast(t *testing.T) {
	group, client := newTestGroup(t, "a", "b", "c")
	for _, test := range []struct {
		name   string
		update func()
		want   string
	}{
		{"a leads", func() { group.leader = "a" }, "[a]"},
		{"a is partitioned, b leads", func() { group.partitioned["a"], group.leader = true, "b" }, "[a b]"},
		{"b is known to lead", func() {}, "[b]"},
		{"b steps down and still names a, c leads", func() { group.leader, group.named = "c", "a" }, "[b c]"},
		{"a is back and leads", func() { group.partitioned["a"], group.leader = false, "a" }, "[c b a]"},
		{"a is tried first again", func() {}, "[a]"},
	} {
		tried, err := group.change(client, test.update)
		if got := fmt.Sprint(tried); err != nil || got != test.want {
			t.Errorf("%s: tried %s, want %s: %v", test.name, got, test.want, err)
		}
	}
}

// A process that reaches no member returns an error long before its caller's deadline, and sooner the
// second time; each of the others is still tried.
func TestPartitionedClientFailsFast(t *testing.T) {
	group, client := newTestGroup(t, "a", "b", "c")
	clk := clock.BootTime()
	for i, limit := range []time.Duration{1200 * time.Millisecond, 600 * time.Millisecond} {
		start := clk.Now()
		tried, err := group.change(client, func() {
			group.partitioned["a"], group.partitioned["b"], group.partitioned["c"] = true, true, true
		})
		if elapsed := clk.Now() - start; err == nil || errs.KindOf(err).HTTPStatus < 500 || elapsed > limit {
			t.Fatalf("change %d: %v after %v", i, err, elapsed)
		}
		if slices.Sort(tried); fmt.Sprint(tried) != "[a b c]" {
			t.Errorf("change %d: tried %v", i, tried)
		}
	}
}

// A member that was restarted knows its peers from its log, where its seeds are partitioned; its own
// address is the last.
func TestMembersFromLogAreTried(t *testing.T) {
	group, client := newTestGroup(t, "a", "b")
	client.SetSeeds([]string{group.addr["a"]})
	client.SetMembers(group.addr["a"]+"/0", []string{group.addr["a"] + "/0", group.addr["b"] + "/7"})
	if got := fmt.Sprint(client.Addresses()); got != fmt.Sprint([]string{group.addr["b"], group.addr["a"]}) {
		t.Errorf("addresses: %v", got)
	}
	if tried, err := group.change(client, func() { group.leader = "b" }); err != nil || fmt.Sprint(tried) != "[b]" {
		t.Errorf("tried %v: %v", tried, err)
	}
}

func TestLargeBodyHasLongerTimeout(t *testing.T) {
	_, client := newTestGroup(t, "a")
	empty, large := client.attemptTimeout(0), client.attemptTimeout(attemptDoublingBytes)
	if large != 2*empty || empty != 250*time.Millisecond {
		t.Errorf("%v and %v", empty, large)
	}
}
