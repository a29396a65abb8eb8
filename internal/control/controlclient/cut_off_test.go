package controlclient

import (
	"context"
	"fmt"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/control/clustermembership"
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

// silenceableMember is a member that answers, or that is cut off and says nothing until its caller gives up.
type silenceableMember struct {
	wire.ControlNode
	name string
	all  *testGroup
}

// testGroup are the members of a group; the fields say how each answers.
type testGroup struct {
	mu     sync.Mutex
	silent map[string]bool
	leader string // who leads it
	named  string // whom the others name
	asked  []string
	addr   map[string]string
}

func (p *silenceableMember) Change(ctx context.Context, _ *wire.ChangeRequest) (*wire.ChangeResponse, error) {
	p.all.mu.Lock()
	p.all.asked = append(p.all.asked, p.name)
	silent, leads, named := p.all.silent[p.name], p.all.leader == p.name, p.all.addr[p.all.named]
	p.all.mu.Unlock()
	switch {
	case silent:
		<-ctx.Done()
		return nil, ctx.Err()
	case leads:
		return &wire.ChangeResponse{Outcome: wire.OutcomeDone, Version: 7}, nil
	}
	return &wire.ChangeResponse{Outcome: wire.OutcomeNotLeader, Leader: named}, nil
}

func newTestGroup(t *testing.T, names ...string) (*testGroup, *Client) {
	l := &testGroup{silent: map[string]bool{}, addr: map[string]string{}}
	var seeds []string
	for _, n := range names {
		s := httptest.NewServer(wire.NewControlNodeServer(&silenceableMember{name: n, all: l}))
		t.Cleanup(s.Close)
		l.addr[n] = s.Listener.Addr().String()
		seeds = append(seeds, l.addr[n])
	}
	b := settings.DefaultBounds()
	b.HealMs = 6000 // an attempt lasts 250 ms
	view := func() clustermembership.View { return clustermembership.View{} }
	return l, NewGroupClient(seeds, view, daemon.NewClients(daemon.New("test", settings.Process{Bounds: b})), b)
}

// change sends one change under new circumstances, and tells who was asked.
func (l *testGroup) change(c *Client, f func()) (asked []string, err error) {
	l.mu.Lock()
	f()
	l.asked = nil
	l.mu.Unlock()
	_, err = c.Change(context.Background(), newPut("t", false))
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.asked, err
}

// A member that gave no answer is asked after all others, also where one of them still names it as
// the leader; once it has answered it counts as before.
func TestUnresponsiveMemberIsTriedLast(t *testing.T) {
	l, c := newTestGroup(t, "a", "b", "c")
	for _, x := range []struct {
		what string
		f    func()
		want string
	}{
		{"a leads", func() { l.leader = "a" }, "[a]"},
		{"a is cut off, b leads", func() { l.silent["a"], l.leader = true, "b" }, "[a b]"},
		{"b is known to lead", func() {}, "[b]"},
		{"b steps down and still names a, c leads", func() { l.leader, l.named = "c", "a" }, "[b c]"},
		{"a is back and leads", func() { l.silent["a"], l.leader = false, "a" }, "[c b a]"},
		{"a counts again", func() {}, "[a]"},
	} {
		asked, err := l.change(c, x.f)
		if got := fmt.Sprint(asked); err != nil || got != x.want {
			t.Errorf("%s: asked %s, want %s: %v", x.what, got, x.want, err)
		}
	}
}

// A process that reaches nobody says so long before its caller's time is over, and the sooner the
// longer it is so; each of the others is still asked.
func TestPartitionedClientFailsFast(t *testing.T) {
	l, c := newTestGroup(t, "a", "b", "c")
	clk := clock.BootTime()
	for i, most := range []time.Duration{1200 * time.Millisecond, 600 * time.Millisecond} {
		begun := clk.Now()
		asked, err := l.change(c, func() { l.silent["a"], l.silent["b"], l.silent["c"] = true, true, true })
		if d := clk.Now() - begun; err == nil || errs.KindOf(err).HTTPStatus < 500 || d > most {
			t.Fatalf("order %d: %v after %v", i, err, d)
		}
		if slices.Sort(asked); fmt.Sprint(asked) != "[a b c]" {
			t.Errorf("order %d: asked %v", i, asked)
		}
	}
}

// A member that was restarted knows its peers from its log, where its seeds are cut off; its own
// address is the last.
func TestMembersFromLogAreTried(t *testing.T) {
	l, c := newTestGroup(t, "a", "b")
	c.SetSeeds([]string{l.addr["a"]})
	c.SetMembers(l.addr["a"]+"/0", []string{l.addr["a"] + "/0", l.addr["b"] + "/7"})
	if got := fmt.Sprint(c.Addresses()); got != fmt.Sprint([]string{l.addr["b"], l.addr["a"]}) {
		t.Errorf("addresses: %v", got)
	}
	if asked, err := l.change(c, func() { l.leader = "b" }); err != nil || fmt.Sprint(asked) != "[b]" {
		t.Errorf("asked %v: %v", asked, err)
	}
}

// A large body has more time in each attempt.
func TestLargeBodyHasLongerTimeout(t *testing.T) {
	_, c := newTestGroup(t, "a")
	if a, b := c.attemptTimeout(0), c.attemptTimeout(attemptDoublingBytes); b != 2*a || a != 250*time.Millisecond {
		t.Errorf("%v and %v", a, b)
	}
}

// A conflict of the past, told by a member that was cut off, takes no lease away.
func TestStaleConflictDoesNotEndLease(t *testing.T) {
	clk := &clock.Manual{Time: time.Minute}
	l := NewLease(nil, clk, "d", 1, "a", 8*time.Second)
	l.HandleResponse(clk.Time, &wire.ChangeResponse{Outcome: wire.OutcomeDone, Fence: 5})
	l.HandleResponse(clk.Time, &wire.ChangeResponse{Outcome: wire.OutcomeConflict, Fence: 4, Leader: "b"})
	if fence, held := l.FencingToken(); !held || fence != 5 || l.GrantRequest().IfFence != 5 {
		t.Errorf("held %v under fence %d", held, fence)
	}
	l.HandleResponse(clk.Time, &wire.ChangeResponse{Outcome: wire.OutcomeConflict, Fence: 6, Leader: "b"})
	if fence, held := l.FencingToken(); held || fence != 6 {
		t.Errorf("another holds it, yet: held %v under fence %d", held, fence)
	}
}
