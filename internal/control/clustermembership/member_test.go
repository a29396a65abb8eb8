package clustermembership

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

// A heartbeat period in the site settings that is longer than the default raises the time limit LeaveMs for
// detecting a failed node; a shorter one does not reduce it. The time limit RecoveryMs stays the same.
func TestSiteHeartbeatStretchesLeaveBound(t *testing.T) {
	process := settings.Process{Bounds: settings.DefaultBounds()}
	if b := siteBounds(process); b != settings.DefaultBounds() {
		t.Errorf("siteBounds of a process without site settings: %+v, want the defaults %+v", b, settings.DefaultBounds())
	}
	for ms, want := range map[int]time.Duration{100: 300 * time.Millisecond, 1200: 1200 * time.Millisecond} {
		process.Site = &settings.Site{HeartbeatMs: ms}
		if b := siteBounds(process); b.Leave(heartbeatRatio) != want || b.Recovery(1) != settings.DefaultBounds().Recovery(1) {
			t.Errorf("siteBounds with a heartbeat period of %d ms in the settings: got a period of %v, want %v; got a time limit RecoveryMs of %v, want %v",
				ms, b.Leave(heartbeatRatio), want, b.Recovery(1), settings.DefaultBounds().Recovery(1))
		}
	}
}

// memberNetwork connects the members of one test process: it delivers heartbeats to them by their addresses.
type memberNetwork struct {
	mu      sync.Mutex
	members map[string]*Member
}

func (n *memberNetwork) add(addr string, m *Member) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.members[addr] = m
}

func (n *memberNetwork) client(addr string) wire.Membership {
	n.mu.Lock()
	defer n.mu.Unlock()
	if m := n.members[addr]; m != nil {
		return m
	}
	return unreachableMember{}
}

// unreachableMember is a member that never responds; calls to it end when their context is done.
type unreachableMember struct{}

func (unreachableMember) Exchange(ctx context.Context, _ *wire.Heartbeat) (*wire.Heartbeat, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// Nodes that all start within the first quarter of one heartbeat period know each other by the end of that period.
func TestNodesStartedTogetherDiscoverEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		const nodes = 17
		var members []*Member
		network := &memberNetwork{members: map[string]*Member{}}
		process := settings.Process{Bounds: settings.DefaultBounds(), Seeds: []string{"1", "2", "3"}, Site: &settings.Site{HeartbeatMs: 1200}}
		period := siteBounds(process).Leave(heartbeatRatio)
		for i := range nodes {
			process.Name, process.Listen = strconv.Itoa(i), strconv.Itoa(i)
			member := Start(ctx, Config{Process: process, Role: RoleNodeAgent, Clock: clock.Synctest(), Log: hclog.NewNullLogger(), Client: network.client})
			members = append(members, member)
			network.add(process.Listen, member)
			<-time.NewTimer(period / 4 / nodes).C
		}
		<-time.NewTimer(period * 3 / 4).C
		for i, member := range members {
			if known := len(member.View().WithRole(RoleNodeAgent)); known != nodes {
				t.Errorf("node %d sees %d running nodes one heartbeat period after the first node started, want %d", i, known, nodes)
			}
		}
	})
}
