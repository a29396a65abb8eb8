package controlstate

import (
	"context"

	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/wire"
)

// registerMetrics shows the status of this node, summed over its shards.
func (n *Node) registerMetrics() {
	sum := func(f func(*wire.ShardStatus) float64) func() float64 {
		return func() (v float64) {
			ctx, end := context.WithTimeout(n.process.Ctx, n.process.Settings.Bounds.Heal(1.0/24))
			defer end()
			t, err := n.Status(ctx, &wire.StatusRequest{})
			if err != nil {
				return -1
			}
			for _, p := range t.Shards {
				v += f(p)
			}
			return v
		}
	}
	is := func(b bool) float64 {
		if b {
			return 1
		}
		return 0
	}
	m := n.process.Meter
	m.Gauge("pebbleloom_parts_owned", "shards that this node leads", sum(func(p *wire.ShardStatus) float64 { return is(p.IsLeader) }))
	m.Gauge("pebbleloom_parts_out", "shards whose member here is out, blank or stuck", sum(func(p *wire.ShardStatus) float64 {
		return is(p.Failure != "" || p.Blank || p.Stuck != "")
	}))
	m.Gauge("pebbleloom_state_bytes", "bytes of state kept", sum(func(p *wire.ShardStatus) float64 { return float64(p.StateBytes) }))
	m.Gauge("pebbleloom_log_bytes", "bytes of the logs in force", sum(func(p *wire.ShardStatus) float64 { return float64(p.LogBytes) }))
	m.Gauge("pebbleloom_log_behind", "entries not applied yet", sum(func(p *wire.ShardStatus) float64 { return float64(p.LastIndex - p.AppliedIndex) }))
}

// registerGroupMetrics shows the status of this member in a group whose membership is agreed data.
func (n *Node) registerGroupMetrics(p *shard) {
	m := n.process.Meter
	m.Gauge("pebbleloom_group_members", "members of the newest membership that this one knows", func() float64 { return float64(len(p.published.current().members)) })
	m.Gauge("pebbleloom_group_votes", "1 while this one is a member and its disk is well", func() float64 {
		if p.published.current().isVoter {
			return 1
		}
		return 0
	})
	m.Gauge("pebbleloom_plan_version", "version of the plan that this one holds", func() float64 {
		return float64(p.published.current().documents[routingconfig.DocumentKey].GetVersion())
	})
}
