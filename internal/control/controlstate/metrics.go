package controlstate

import (
	"context"

	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/wire"
)

// registerMetrics shows the status of this node, summed over its shards.
func (n *Node) registerMetrics() {
	sum := func(value func(*wire.ShardStatus) float64) func() float64 {
		return func() (total float64) {
			ctx, cancel := context.WithTimeout(n.process.Ctx, n.process.Settings.Bounds.Heal(1.0/24))
			defer cancel()
			response, err := n.Status(ctx, &wire.StatusRequest{})
			if err != nil {
				return -1
			}
			for _, shard := range response.Shards {
				total += value(shard)
			}
			return total
		}
	}
	boolGauge := func(condition bool) float64 {
		if condition {
			return 1
		}
		return 0
	}
	meter := n.process.Meter
	meter.Gauge("pebbleloom_parts_owned", "shards that this node leads", sum(func(shard *wire.ShardStatus) float64 { return boolGauge(shard.IsLeader) }))
	meter.Gauge("pebbleloom_parts_out", "shards whose member here is out, blank or stuck", sum(func(shard *wire.ShardStatus) float64 {
		return boolGauge(shard.Failure != "" || shard.Blank || shard.Stuck != "")
	}))
	meter.Gauge("pebbleloom_state_bytes", "bytes of state kept", sum(func(shard *wire.ShardStatus) float64 { return float64(shard.StateBytes) }))
	meter.Gauge("pebbleloom_log_bytes", "bytes of the logs in force", sum(func(shard *wire.ShardStatus) float64 { return float64(shard.LogBytes) }))
	meter.Gauge("pebbleloom_log_behind", "entries not applied yet", sum(func(shard *wire.ShardStatus) float64 { return float64(shard.LastIndex - shard.AppliedIndex) }))
}

// registerGroupMetrics shows the status of this member in a group whose membership is agreed data.
func (n *Node) registerGroupMetrics(shard *shard) {
	meter := n.process.Meter
	meter.Gauge("pebbleloom_group_members", "members of the newest membership that this one knows", func() float64 { return float64(len(shard.published.current().members)) })
	meter.Gauge("pebbleloom_group_votes", "1 while this one is a member and its disk is well", func() float64 {
		if shard.published.current().isVoter {
			return 1
		}
		return 0
	})
	meter.Gauge("pebbleloom_plan_version", "version of the plan that this one holds", func() float64 {
		return float64(shard.published.current().documents[routingconfig.DocumentKey].GetVersion())
	})
}
