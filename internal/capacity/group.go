package capacity

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/control/controlstate"
	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/data/agent"
	"pebbleloom/internal/fleet"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

// group measures what a real agent is told of one plan by a real group, by how many members it has.
func group(b *bench) error {
	packed := float64(len(fleet.Compress(&wire.Document{Key: routingconfig.DocumentKey, Body: written(sample(2, 200, 0)), Version: 2}).Body))
	return b.vary("group", "members", []float64{1, 3, 5}, []kind{
		{"told-bytes", "B", "bytes that a real agent's connections carried for one new plan of 200 routes, until all members of a real group had told what they had to"},
		{"told-share", "plans", "the same, in plans as they are told, packed"},
	}, func(n float64) ([]float64, error) {
		bytes, err := bytesPerPlan(b, int(n))
		return []float64{bytes, bytes / packed}, err
	})
}

// bytesPerPlan is how many bytes one agent receives for a plan from a group of so many.
func bytesPerPlan(b *bench, n int) (float64, error) {
	dir, err := os.MkdirTemp("", "capacity-")
	if err != nil {
		return 0, err
	}
	defer os.RemoveAll(dir)
	limits := bounds()
	limits.LeaveMs = 3000
	if b.quick {
		limits.HealMs = 3000
	}
	var taps []*tap
	var seeds []string
	for range n {
		t, err := newTap()
		if err != nil {
			return 0, err
		}
		taps, seeds = append(taps, t), append(seeds, t.addr())
	}
	var first *member
	for i, t := range taps {
		l := newProcess(fmt.Sprintf("core-%d", i), limits, t)
		l.Settings.Data, l.Settings.Seeds = filepath.Join(dir, l.Settings.Name), seeds
		l.Settings.Site.ControlPlaneListen, l.Settings.Site.ToleratedFailures = "127.0.0.1:0", n/2
		defer l.Stop(time.Second)
		var node *controlstate.Node
		if err := controlstate.StartGroup(l, form{}, func(n *controlstate.Node) http.Handler { node = n; return http.NotFoundHandler() }); err != nil {
			return 0, err
		}
		if i == 0 {
			first = &member{n: node}
		}
	}
	if err := first.put(20); err != nil {
		return 0, err
	}
	l := newProcess("edge-1", limits, nil)
	defer l.Stop(time.Second)
	l.Settings.Seeds, l.Settings.Bounds.ConfigMs = seeds, 60000
	var bytes atomic.Int64
	plain := (&settings.Process{Bounds: limits}).Dialer()
	l.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := plain.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &tapped{Conn: c, t: &tap{}, also: &bytes}, nil
	}
	a, err := agent.Start(l, form{}, "runner")
	if err != nil {
		return 0, err
	}
	ctx := context.Background()
	settled := limits.Heal(0.25) // members tell what is committed with their beats
	if err := until("the agent has the first plan, proved", func() bool { s := a.Snapshot(); return s.Plan != nil && s.Plan.Version == first.base }); err != nil {
		return 0, err
	}
	clock.Sleep(ctx, settled)
	at := bytes.Load()
	if err := first.put(200); err != nil {
		return 0, err
	}
	if err := until("the agent has the next plan", func() bool { return a.Snapshot().Plan.Version == first.base }); err != nil {
		return 0, err
	}
	clock.Sleep(ctx, settled)
	return float64(bytes.Load() - at), nil
}
