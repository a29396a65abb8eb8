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

// member is one real member of the control state's group, alone in it.
type member struct {
	n    *controlstate.Node
	t    *tap
	end  func()
	base uint64 // of the plan in force
}

func newMember() (*member, error) {
	t, err := newTap()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "capacity-")
	if err != nil {
		return nil, err
	}
	b := bounds()
	b.LeaveMs = 3000
	l := newProcess("core-1", b, t)
	l.Settings.Data, l.Settings.Site.ControlPlaneListen = dir, "127.0.0.1:0"
	m := &member{t: t, end: func() { l.Stop(time.Second); os.RemoveAll(dir) }}
	if err := controlstate.StartGroup(l, form{}, func(n *controlstate.Node) http.Handler { m.n = n; return http.NotFoundHandler() }); err != nil {
		m.end()
		return nil, err
	}
	return m, nil
}

// put has a plan agreed on. While nobody owns the group yet it is asked again.
func (m *member) put(routes int) error {
	body := written(sample(m.base+1, routes, 0))
	var err error
	if e := until("a plan is agreed on", func() bool {
		_, err = m.n.PutRoutingConfig(context.Background(), m.base, body, false)
		return err == nil || errs.KindOf(err) != errs.OutcomeUnknown && errs.KindOf(err) != errs.Overloaded
	}); e != nil {
		return e
	}
	if err == nil {
		m.base++
	}
	return err
}

// follow measures a member of the group under hollow nodes that follow it: calm long polls, and a
// plan that all are told.
func follow(b *bench) error {
	m, err := newMember()
	if err != nil {
		return err
	}
	defer m.end()
	small := 20
	if err := m.put(small); err != nil {
		return err
	}
	hold, span := 250, 3*time.Second
	if b.quick {
		hold, span = 50, 200*time.Millisecond
	}
	clk := clock.BootTime()
	// What the member spends without anybody is taken off.
	at, from := cpu(), clk.Now()
	clock.Sleep(context.Background(), span)
	idle := (cpu() - at) / (clk.Now() - from).Seconds()
	own := m.t.open.Load() // the member's way to itself
	if err := b.vary("follow", "followers", b.sizes(43, 85, 170, 340), []kind{
		{"poll-server", "µs", "processor time of one calm long poll at the member that holds it"},
		{"poll-caller", "µs", "processor time of one calm long poll at the node that asks"},
		{"poll-bytes", "B", "bytes of a calm long poll on its connection, both ways"},
		{"poll-memory", "B", "heap of a member under so many held polls, beyond the same member alone"},
	}, func(n float64) ([]float64, error) {
		if err := until("earlier followers are gone", func() bool { return m.t.open.Load() <= own }); err != nil {
			return nil, err
		}
		alone := heap()
		f, err := start(task{Kind: "follow", Addr: m.t.addr(), Nodes: int(n), HoldMs: hold})
		if err != nil {
			return nil, err
		}
		defer f.end()
		if _, err := f.run(); err != nil {
			return nil, err
		}
		at, from, bytes := cpu(), clk.Now(), m.t.bytes.Load()
		clock.Sleep(context.Background(), span)
		x, err := f.run()
		if err != nil {
			return nil, err
		}
		spent := cpu() - at - idle*(clk.Now()-from).Seconds()
		polls := max(1, x.Calls)
		wired := float64(m.t.bytes.Load() - bytes)
		return []float64{max(0.1, spent/polls), x.CPU / polls, wired / polls, max(1, heap()-alone)}, nil
	}); err != nil {
		return err
	}
	if err := measureDelivery(b, m, "put-nodes", "followers", b.sizes(43, 85, 170, 340), func(n float64) (int, int) { return int(n), 200 }); err != nil {
		return err
	}
	nodes := 85
	if b.quick {
		nodes = 4
	}
	return measureDelivery(b, m, "put-size", "routes", b.sizes(100, 200, 400, 800), func(n float64) (int, int) { return nodes, int(n) })
}

// measureDelivery measures the delivery of a plan to so many followers of one member.
func measureDelivery(b *bench, m *member, name, factor string, sizes []float64, of func(n float64) (nodes, routes int)) error {
	return b.vary("follow", factor, sizes, []kind{
		{name + "-server", "µs", "processor time of a member, from a plan's arrival until all followers were told it"},
		{name + "-caller", "µs", "processor time of all followers together to receive it, not to read it"},
		{name + "-bytes", "B", "bytes that the member's connections carried for it"},
	}, func(n float64) ([]float64, error) {
		nodes, routes := of(n)
		f, err := start(task{Kind: "follow", Addr: m.t.addr(), Nodes: nodes, HoldMs: 60000})
		if err != nil {
			return nil, err
		}
		defer f.end()
		first, err := f.run()
		if err != nil {
			return nil, err
		}
		at, bytes, caller := cpu(), m.t.bytes.Load(), 0.0
		if err := m.put(routes); err != nil {
			return nil, err
		}
		var bad error
		if err := until("all followers are told", func() bool {
			x, err := f.run()
			bad, caller = err, caller+x.CPU
			return err != nil || x.Docs >= first.Docs+float64(nodes)
		}); err != nil {
			return nil, err
		}
		return []float64{cpu() - at, max(1, caller), float64(m.t.bytes.Load() - bytes)}, bad
	})
}
