package capacity

import (
	"context"
	"net/http"
	"os"
	"time"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/control/controlstate"
	"pebbleloom/internal/errs"
)

// groupMember is a real control node that is the only member of its group.
type groupMember struct {
	node        *controlstate.Node
	connections *byteCounter
	stop        func()
	base        uint64 // version of the plan in force
}

func newMember() (*groupMember, error) {
	connections, err := newByteCounter()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "capacity-")
	if err != nil {
		return nil, err
	}
	limits := bounds()
	limits.LeaveMs = 3000
	process := newProcess("core-1", limits, connections)
	process.Settings.Data, process.Settings.Site.ControlPlaneListen = dir, "127.0.0.1:0"
	member := &groupMember{connections: connections, stop: func() { process.Stop(time.Second); os.RemoveAll(dir) }}
	if err := controlstate.StartGroup(process, benchCodec{}, func(n *controlstate.Node) http.Handler { member.node = n; return http.NotFoundHandler() }); err != nil {
		member.stop()
		return nil, err
	}
	return member, nil
}

// commitPlan commits a plan with a number of routes. It retries while the group has no leader yet.
func (m *groupMember) commitPlan(routes int) error {
	body := encodePlan(samplePlan(m.base+1, routes, 0))
	var err error
	if e := until("a plan is committed", func() bool {
		_, err = m.node.PutRoutingConfig(context.Background(), m.base, body, false)
		return err == nil || errs.KindOf(err) != errs.OutcomeUnknown && errs.KindOf(err) != errs.Overloaded
	}); e != nil {
		return e
	}
	if err == nil {
		m.base++
	}
	return err
}

// measureFollowers measures a control node with hollow nodes that follow it: long polls without changes, and the
// delivery of a plan to all of them.
func measureFollowers(b *bench) error {
	member, err := newMember()
	if err != nil {
		return err
	}
	defer member.stop()
	small := 20
	if err := member.commitPlan(small); err != nil {
		return err
	}
	pollMs, span := 250, 3*time.Second
	if b.quick {
		pollMs, span = 50, 200*time.Millisecond
	}
	bootClock := clock.BootTime()
	// What the member uses without followers is subtracted.
	cpuBefore, from := cpu(), bootClock.Now()
	clock.Sleep(context.Background(), span)
	idle := (cpu() - cpuBefore) / (bootClock.Now() - from).Seconds()
	selfConnections := member.connections.open.Load() // the member's connections to itself
	if err := b.vary("follow", "followers", b.sizes(43, 85, 170, 340), []kind{
		{"poll-server", "µs", "processor time of one calm long poll at the member that holds it"},
		{"poll-caller", "µs", "processor time of one calm long poll at the node that asks"},
		{"poll-bytes", "B", "bytes of a calm long poll on its connection, both ways"},
		{"poll-memory", "B", "heap of a member under so many held polls, beyond the same member alone"},
	}, func(followers float64) ([]float64, error) {
		if err := until("earlier followers are gone", func() bool { return member.connections.open.Load() <= selfConnections }); err != nil {
			return nil, err
		}
		alone := heap()
		hollow, err := startHollow(hollowTask{Kind: "follow", Addr: member.connections.addr(), Nodes: int(followers), MaxWaitMs: pollMs})
		if err != nil {
			return nil, err
		}
		defer hollow.end()
		if _, err := hollow.run(); err != nil {
			return nil, err
		}
		cpuBefore, from, bytes := cpu(), bootClock.Now(), member.connections.bytes.Load()
		clock.Sleep(context.Background(), span)
		result, err := hollow.run()
		if err != nil {
			return nil, err
		}
		spent := cpu() - cpuBefore - idle*(bootClock.Now()-from).Seconds()
		polls := max(1, result.Calls)
		wired := float64(member.connections.bytes.Load() - bytes)
		return []float64{max(0.1, spent/polls), result.CPU / polls, wired / polls, max(1, heap()-alone)}, nil
	}); err != nil {
		return err
	}
	if err := measureDelivery(b, member, "put-nodes", "followers", b.sizes(43, 85, 170, 340), func(followers float64) (int, int) { return int(followers), 200 }); err != nil {
		return err
	}
	nodes := 85
	if b.quick {
		nodes = 4
	}
	return measureDelivery(b, member, "put-size", "routes", b.sizes(100, 200, 400, 800), func(followers float64) (int, int) { return nodes, int(followers) })
}

// measureDelivery measures the delivery of a plan to the followers of one member. Their number and that of the plan's
// routes depend on the size.
func measureDelivery(b *bench, member *groupMember, name, factor string, sizes []float64, of func(size float64) (nodes, routes int)) error {
	return b.vary("follow", factor, sizes, []kind{
		{name + "-server", "µs", "processor time of a member, from a plan's arrival until all followers were told it"},
		{name + "-caller", "µs", "processor time of all followers together to receive it, not to read it"},
		{name + "-bytes", "B", "bytes that the member's connections carried for it"},
	}, func(size float64) ([]float64, error) {
		nodes, routes := of(size)
		hollow, err := startHollow(hollowTask{Kind: "follow", Addr: member.connections.addr(), Nodes: nodes, MaxWaitMs: 60000})
		if err != nil {
			return nil, err
		}
		defer hollow.end()
		first, err := hollow.run()
		if err != nil {
			return nil, err
		}
		cpuBefore, bytes, caller := cpu(), member.connections.bytes.Load(), 0.0
		if err := member.commitPlan(routes); err != nil {
			return nil, err
		}
		var bad error
		if err := until("all followers have the plan", func() bool {
			result, err := hollow.run()
			bad, caller = err, caller+result.CPU
			return err != nil || result.Docs >= first.Docs+float64(nodes)
		}); err != nil {
			return nil, err
		}
		return []float64{cpu() - cpuBefore, max(1, caller), float64(member.connections.bytes.Load() - bytes)}, bad
	})
}
