package controlclient

import (
	"context"
	"fmt"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"pebbleloom/internal/control/clustermembership"
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

// groupMember is one core machine of a group, which may know who leads it.
type groupMember struct {
	wire.ControlNode
	mu     *sync.Mutex // of all seats and the name
	leader func() string
	leads  bool
	asked  int
}

func (s *groupMember) Change(context.Context, *wire.ChangeRequest) (*wire.ChangeResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asked++
	if s.leads {
		return &wire.ChangeResponse{Outcome: wire.OutcomeDone, Version: 7}, nil
	}
	return &wire.ChangeResponse{Outcome: wire.OutcomeNotLeader, Leader: s.leader()}, nil
}

// The leader of a group is found by whom anybody names, by the roster and by the seeds; once
// found it is asked first; where nobody knows, that is said in time.
func TestGroupLeaderIsFound(t *testing.T) {
	var addr [4]string
	name := ""
	var mu sync.Mutex
	s := [4]*groupMember{}
	for i := range s {
		s[i] = &groupMember{mu: &mu, leader: func() string { return name }}
		x := httptest.NewServer(wire.NewControlNodeServer(s[i]))
		defer x.Close()
		addr[i] = x.Listener.Addr().String()
	}
	b := settings.DefaultBounds()
	b.HealMs = 60000 // so long that a busy machine makes no try too late
	view := clustermembership.View{Nodes: []*wire.Node{{Name: "archive/core-2", Role: "archive", Addr: addr[1]}, {Name: "runner/e", Role: "runner", Addr: addr[0]}}}
	c := NewGroupClient([]string{addr[2], "127.0.0.1:1"}, func() clustermembership.View { return view }, daemon.NewClients(daemon.New("test", settings.Process{Bounds: b})), b)
	for _, x := range []struct {
		what  string
		leads int    // who leads it
		named string // whom the others name
		asked [4]int
	}{
		{"named by one of the roster", 3, addr[3] + "/8f3a", [4]int{0, 1, 0, 1}},
		{"asked first the next time", 3, "", [4]int{0, 0, 0, 1}},
		{"it has passed on, which the one before knows", 1, addr[1] + "/0", [4]int{0, 1, 0, 1}},
		{"it has passed on, and nobody names it", 2, "", [4]int{0, 1, 1, 0}},
	} {
		mu.Lock()
		for i := range s {
			s[i].asked, s[i].leads = 0, i == x.leads
		}
		name = x.named
		mu.Unlock()
		r, err := c.Change(context.Background(), newPut("t", false))
		mu.Lock()
		if got := [4]int{s[0].asked, s[1].asked, s[2].asked, s[3].asked}; err != nil || r.Version != 7 || got != x.asked {
			t.Errorf("%s: %v, %v, asked %v, want %v", x.what, r, err, got, x.asked)
		}
		mu.Unlock()
	}
	mu.Lock()
	for i := range s {
		s[i].leads = false
	}
	mu.Unlock()
	ctx, end := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer end()
	if _, err := c.Change(ctx, newPut("t", false)); err == nil || errs.KindOf(err) != errs.OutcomeUnknown {
		t.Errorf("nobody leads it: %v", err)
	}
	c.SetSeeds([]string{"127.0.0.1:2"})
	if l := fmt.Sprint(c.Addresses()); l != fmt.Sprint([]string{addr[2], addr[1], "127.0.0.1:2"}) {
		t.Errorf("seats: %s", l)
	}
	if MemberAddr("10.1.0.17:7360/8f3a") != "10.1.0.17:7360" || MemberAddr("10.1.0.17:7360") != "10.1.0.17:7360" {
		t.Error("the address of a name")
	}
}
