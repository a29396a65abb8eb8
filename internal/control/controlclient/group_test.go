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

// groupMember is a simulated control node of a Raft group. A change to a member that is not the leader is rejected with
// the name of the leader, which all members share.
type groupMember struct {
	wire.ControlNode
	mu       *sync.Mutex // guards the fields of all members
	leader   *string     // member name of the leader that all members name; empty if they name none
	isLeader bool        // whether this member applies changes
	attempts int         // number of changes that this member received
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

// A group client finds the leader through the cluster membership, the seeds and the members that name it, and sends
// later changes to it first. If no member is the leader, Change returns an error of kind errs.OutcomeUnknown.
func TestGroupLeaderIsFound(t *testing.T) {
	var addr [4]string
	var members [4]*groupMember
	leader := ""
	var mu sync.Mutex
	for i := range members {
		members[i] = &groupMember{mu: &mu, leader: &leader}
		addr[i] = serve(t, members[i])
	}
	bounds := boundsWithRecovery(60000) // Bounds.Recovery of 1 min, so that attempts do not time out on a busy machine
	view := clustermembership.View{Nodes: []*wire.Node{{Name: "archive/core-2", Role: "archive", Addr: addr[1]}, {Name: "runner/e", Role: "runner", Addr: addr[0]}}}
	client := NewGroupClient([]string{addr[2], "127.0.0.1:1"}, func() clustermembership.View { return view }, newTestClients(bounds), bounds)
	for _, test := range []struct {
		name     string
		leader   int    // index of the member that is the leader
		named    string // member name of the leader according to the other members; empty if they name none
		attempts [4]int // wanted number of changes received by each member
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
			t.Errorf("change when %q: response %v, error %v, want document version 7; changes received by members 0 to 3: %v, want %v", test.name, response, err, attempts, test.attempts)
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
		t.Errorf("change while no member is the leader: error %v, want one of kind errs.OutcomeUnknown", err)
	}
	client.SetSeeds([]string{"127.0.0.1:2"})
	if got, want := fmt.Sprint(client.Addresses()), fmt.Sprint([]string{addr[2], addr[1], "127.0.0.1:2"}); got != want {
		t.Errorf("addresses to try after a change of the seeds: %s, want the last leader, the node of the cluster membership and the new seed: %s", got, want)
	}
	if MemberAddr("10.1.0.17:7360/8f3a") != "10.1.0.17:7360" || MemberAddr("10.1.0.17:7360") != "10.1.0.17:7360" {
		t.Errorf("MemberAddr of a name with an incarnation: %s, without: %s; want 10.1.0.17:7360 for both", MemberAddr("10.1.0.17:7360/8f3a"), MemberAddr("10.1.0.17:7360"))
	}
}
