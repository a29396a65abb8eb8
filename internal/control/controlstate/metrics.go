package controlstate

import (
	"context"

	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/wire"
)

// registerMetrics registers the gauges whose values are sums over the shards of this node.
func (n *Node) registerMetrics() {
	meter := n.process.Meter
	meter.Gauge("pebbleloom_parts_owned", "shards that this node leads", n.sumOverShards(func(shard *wire.ShardStatus) float64 {
		return boolToGauge(shard.IsLeader)
	}))
	isUnavailable := func(shard *wire.ShardStatus) float64 {
		return boolToGauge(shard.Failure != "" || shard.Blank || shard.Stuck != "")
	}
	meter.Gauge("pebbleloom_parts_out", "shards whose member here has failed, is blank or can't rejoin", n.sumOverShards(isUnavailable))
	meter.Gauge("pebbleloom_state_bytes", "bytes of the documents in the applied state", n.sumOverShards(func(shard *wire.ShardStatus) float64 {
		return float64(shard.StateBytes)
	}))
	meter.Gauge("pebbleloom_log_bytes", "bytes of the logs since their snapshots", n.sumOverShards(func(shard *wire.ShardStatus) float64 {
		return float64(shard.LogBytes)
	}))
	meter.Gauge("pebbleloom_log_behind", "log entries that aren't applied yet", n.sumOverShards(func(shard *wire.ShardStatus) float64 {
		return float64(shard.LastIndex - shard.AppliedIndex)
	}))
}

// sumOverShards returns a gauge function that sums a value over the shards of this node. The gauge is -1 if the
// status of the shards cannot be read.
func (n *Node) sumOverShards(value func(*wire.ShardStatus) float64) func() float64 {
	return func() (total float64) {
		ctx, cancel := context.WithTimeout(n.process.Ctx, n.process.Settings.Bounds.Recovery(queryTimeoutRatio))
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

// registerGroupMetrics registers the gauges of this node's member of a group, which read the member's published
// view.
func (n *Node) registerGroupMetrics(shard *shard) {
	meter := n.process.Meter
	meter.Gauge("pebbleloom_group_members", "voters of the newest membership that this member knows", func() float64 {
		return float64(len(shard.published.current().members))
	})
	meter.Gauge("pebbleloom_group_votes", "1 while this member is a voter and its disk works", func() float64 {
		return boolToGauge(shard.published.current().isVoter)
	})
	meter.Gauge("pebbleloom_plan_version", "version of the routing configuration that this member holds", func() float64 {
		return float64(shard.published.current().documents[routingconfig.DocumentKey].GetVersion())
	})
}

// boolToGauge returns the gauge value of a condition: 1 for true and 0 for false.
func boolToGauge(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}
