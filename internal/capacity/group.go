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

// measureGroup measures what a real agent is told of one plan by a real group, by how many members it has.
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
	first   *groupMember // leads the changes
	seeds   []string
	limits  settings.Bounds
	stopAll []func()
}

// stop stops the members, last first.
func (g *groupUnderTest) stop() {
	for _, stop := range slices.Backward(g.stopAll) {
		stop()
	}
}

// startGroup starts a group of so many members that agree on their membership.
func startGroup(b *bench, members int) (*groupUnderTest, error) {
	dir, err := os.MkdirTemp("", "capacity-")
	if err != nil {
		return nil, err
	}
	g := &groupUnderTest{limits: bounds(), stopAll: []func(){func() { os.RemoveAll(dir) }}}
	g.limits.LeaveMs = 3000
	if b.quick {
		g.limits.HealMs = 3000
	}
	var counters []*byteCounter
	for range members {
		counter, err := newByteCounter()
		if err != nil {
			g.stop()
			return nil, err
		}
		counters, g.seeds = append(counters, counter), append(g.seeds, counter.addr())
	}
	for i, counter := range counters {
		if err := g.startMember(i, counter, dir, members/2); err != nil {
			g.stop()
			return nil, err
		}
	}
	return g, nil
}

func (g *groupUnderTest) startMember(i int, counter *byteCounter, dir string, toleratedFailures int) error {
	process := newProcess(fmt.Sprintf("core-%d", i), g.limits, counter)
	process.Settings.Data, process.Settings.Seeds = filepath.Join(dir, process.Settings.Name), g.seeds
	process.Settings.Site.ControlPlaneListen, process.Settings.Site.ToleratedFailures = "127.0.0.1:0", toleratedFailures
	g.stopAll = append(g.stopAll, func() { process.Stop(time.Second) })
	var node *controlstate.Node
	err := controlstate.StartGroup(process, benchCodec{}, func(n *controlstate.Node) http.Handler { node = n; return http.NotFoundHandler() })
	if i == 0 {
		g.first = &groupMember{node: node}
	}
	return err
}

// bytesPerPlan is how many bytes one agent receives for a plan from a group of so many.
func bytesPerPlan(b *bench, members int) (float64, error) {
	g, err := startGroup(b, members)
	if err != nil {
		return 0, err
	}
	defer g.stop()
	if err := g.first.commitPlan(20); err != nil {
		return 0, err
	}
	process := newProcess("edge-1", g.limits, nil)
	defer process.Stop(time.Second)
	process.Settings.Seeds, process.Settings.Bounds.ConfigMs = g.seeds, 60000
	var bytes atomic.Int64
	process.Dial = countingDialer((&settings.Process{Bounds: g.limits}).Dialer(), &bytes)
	follower, err := agent.Start(process, benchCodec{}, clustermembership.RoleNodeAgent)
	if err != nil {
		return 0, err
	}
	ctx := context.Background()
	settleTime := g.limits.Heal(0.25) // members say what is committed with their heartbeats
	if err := until("the agent has the first plan, proved", func() bool {
		snapshot := follower.Snapshot()
		return snapshot.Plan != nil && snapshot.Plan.Version == g.first.base
	}); err != nil {
		return 0, err
	}
	clock.Sleep(ctx, settleTime)
	bytesBefore := bytes.Load()
	if err := g.first.commitPlan(200); err != nil {
		return 0, err
	}
	if err := until("the agent has the next plan", func() bool { return follower.Snapshot().Plan.Version == g.first.base }); err != nil {
		return 0, err
	}
	clock.Sleep(ctx, settleTime)
	return float64(bytes.Load() - bytesBefore), nil
}

// countingDialer counts the bytes of the connections that it makes.
func countingDialer(dialer *net.Dialer, bytes *atomic.Int64) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: conn, t: &byteCounter{}, also: bytes}, nil
	}
}
