package capacity

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync/atomic"
	"time"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/control/clustermembership"
	"pebbleloom/internal/control/controlstate"
	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/data/agent"
	"pebbleloom/internal/fleet"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

// measureGroup measures what a real agent receives for one plan from a real group, over the number of its members.
func measureGroup(b *bench) error {
	packed := float64(len(fleet.Compress(&wire.Document{Key: routingconfig.DocumentKey, Body: encodePlan(samplePlan(2, 200, 0)), Version: 2}).Body))
	return b.vary("group", "members", []float64{1, 3, 5}, []kind{
		{"told-bytes", "B", "bytes that a real agent's connections carried for one new plan of 200 routes, until all members of a real group had told what they had to"},
		{"told-share", "plans", "the same, in plans as they are told, packed"},
	}, func(n float64) ([]float64, error) {
		bytes, err := bytesPerPlan(b, int(n))
		return []float64{bytes, bytes / packed}, err
	})
}

// groupUnderTest is a real group whose members' connections are counted.
type groupUnderTest struct {
	first   *groupMember // changes are proposed to it
	seeds   []string
	limits  settings.Bounds
	stopAll []func()
}

// stop stops the members in reverse order.
func (group *groupUnderTest) stop() {
	for _, stop := range slices.Backward(group.stopAll) {
		stop()
	}
}

// startGroup starts a group of members that agree on their membership.
func startGroup(b *bench, members int) (*groupUnderTest, error) {
	dir, err := os.MkdirTemp("", "capacity-")
	if err != nil {
		return nil, err
	}
	group := &groupUnderTest{limits: bounds(), stopAll: []func(){func() { os.RemoveAll(dir) }}}
	group.limits.LeaveMs = 3000
	if b.quick {
		group.limits.RecoveryMs = 3000
	}
	var counters []*byteCounter
	for range members {
		counter, err := newByteCounter()
		if err != nil {
			group.stop()
			return nil, err
		}
		counters, group.seeds = append(counters, counter), append(group.seeds, counter.addr())
	}
	for i, counter := range counters {
		if err := group.startMember(i, counter, dir, members/2); err != nil {
			group.stop()
			return nil, err
		}
	}
	return group, nil
}

func (group *groupUnderTest) startMember(i int, counter *byteCounter, dir string, toleratedFailures int) error {
	process := newProcess(fmt.Sprintf("core-%d", i), group.limits, counter)
	process.Settings.Data, process.Settings.Seeds = filepath.Join(dir, process.Settings.Name), group.seeds
	process.Settings.Site.ControlPlaneListen, process.Settings.Site.ToleratedFailures = "127.0.0.1:0", toleratedFailures
	group.stopAll = append(group.stopAll, func() { process.Stop(time.Second) })
	var node *controlstate.Node
	err := controlstate.StartGroup(process, benchCodec{}, func(n *controlstate.Node) http.Handler { node = n; return http.NotFoundHandler() })
	if i == 0 {
		group.first = &groupMember{node: node}
	}
	return err
}

// bytesPerPlan returns the bytes that an agent's connections carry for one plan from a group of a number of members.
func bytesPerPlan(b *bench, members int) (float64, error) {
	group, err := startGroup(b, members)
	if err != nil {
		return 0, err
	}
	defer group.stop()
	if err := group.first.commitPlan(20); err != nil {
		return 0, err
	}
	process := newProcess("edge-1", group.limits, nil)
	defer process.Stop(time.Second)
	process.Settings.Seeds, process.Settings.Bounds.ConfigMs = group.seeds, 60000
	var bytes atomic.Int64
	process.Dial = countingDialer((&settings.Process{Bounds: group.limits}).Dialer(), &bytes)
	follower, err := agent.Start(process, benchCodec{}, clustermembership.RoleNodeAgent)
	if err != nil {
		return 0, err
	}
	ctx := context.Background()
	heartbeatDelay := group.limits.Recovery(0.25) // members announce what is committed with their heartbeats
	if err := until("the agent has the first plan with its proof", func() bool {
		snapshot := follower.Snapshot()
		return snapshot.Plan != nil && snapshot.Plan.Version == group.first.base
	}); err != nil {
		return 0, err
	}
	clock.Sleep(ctx, heartbeatDelay)
	bytesBefore := bytes.Load()
	if err := group.first.commitPlan(200); err != nil {
		return 0, err
	}
	if err := until("the agent has the next plan", func() bool { return follower.Snapshot().Plan.Version == group.first.base }); err != nil {
		return 0, err
	}
	clock.Sleep(ctx, heartbeatDelay)
	return float64(bytes.Load() - bytesBefore), nil
}

// countingDialer returns a dial function that counts the bytes of its connections.
func countingDialer(dialer *net.Dialer, bytes *atomic.Int64) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: conn, counter: &byteCounter{}, also: bytes}, nil
	}
}
