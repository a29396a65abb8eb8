package controlclient

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"pebbleloom/internal/control/clustermembership"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/wire"
)

// groupMember is a simulated control node of a group. All members share the name of the leader that they know.
type groupMember struct {
	wire.ControlNode
	mu       *sync.Mutex // guards the fields of all members
	leader   *string
	isLeader bool
	attempts int
}

func (m *groupMember) Change(context.Context, *wire.ChangeRequest) (*wire.ChangeResponse, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.attempts++
	if m.isLeader {
		return &wire.ChangeResponse{Outcome: wire.OutcomeDone, Version: 7}, nil
	}
	return &wire.ChangeResponse{Outcome: wire.OutcomeNotLeader, Leader: *m.leader}, nil
}

// The leader of a group is found through the cluster membership, the seeds and members that name it, and is then
// tried first. If no member is the leader, an error is returned before the caller's deadline.
func TestGroupLeaderIsFound(t *testing.T) {
	var addr [4]string
	var members [4]*groupMember
	leader := ""
	var mu sync.Mutex
	for i := range members {
		members[i] = &groupMember{mu: &mu, leader: &leader}
		addr[i] = serve(t, members[i])
	}
	bounds := boundsWithHeal(60000) // long enough that attempts do not time out on a busy machine
	view := clustermembership.View{Nodes: []*wire.Node{{Name: "archive/core-2", Role: "archive", Addr: addr[1]}, {Name: "runner/e", Role: "runner", Addr: addr[0]}}}
	client := NewGroupClient([]string{addr[2], "127.0.0.1:1"}, func() clustermembership.View { return view }, newTestClients(bounds), bounds)
	for _, test := range []struct {
		name     string
		leader   int
		named    string // leader named by the other members
		attempts [4]int
	}{
		{"leader is named by a node of the cluster membership", 3, addr[3] + "/8f3a", [4]int{0, 1, 0, 1}},
		{"known leader is tried first", 3, "", [4]int{0, 0, 0, 1}},
		{"new leader is named by the previous one", 1, addr[1] + "/0", [4]int{0, 1, 0, 1}},
		{"new leader is not named by any member", 2, "", [4]int{0, 1, 1, 0}},
	} {
		mu.Lock()
		for i, member := range members {
			member.attempts, member.isLeader = 0, i == test.leader
		}
		leader = test.named
		mu.Unlock()
		response, err := client.Change(context.Background(), newPut("t", false))
		mu.Lock()
		attempts := [4]int{members[0].attempts, members[1].attempts, members[2].attempts, members[3].attempts}
		if err != nil || response.Version != 7 || attempts != test.attempts {
			t.Errorf("%s: response %v, error %v; attempts by member %v, want %v", test.name, response, err, attempts, test.attempts)
		}
		mu.Unlock()
	}
	mu.Lock()
	for _, member := range members {
		member.isLeader = false
	}
	mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	if _, err := client.Change(ctx, newPut("t", false)); err == nil || errs.KindOf(err) != errs.OutcomeUnknown {
		t.Errorf("change without a leader: error %v, want kind errs.OutcomeUnknown", err)
	}
	client.SetSeeds([]string{"127.0.0.1:2"})
	if got, want := fmt.Sprint(client.Addresses()), fmt.Sprint([]string{addr[2], addr[1], "127.0.0.1:2"}); got != want {
		t.Errorf("Addresses after SetSeeds: %s, want %s", got, want)
	}
	if MemberAddr("10.1.0.17:7360/8f3a") != "10.1.0.17:7360" || MemberAddr("10.1.0.17:7360") != "10.1.0.17:7360" {
		t.Error("MemberAddr did not return the address part of a member name")
	}
}
