package controlstate

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"pebbleloom/internal/control/consensus"
	"pebbleloom/internal/control/controlclient"
	"pebbleloom/internal/control/operatorapi"
	"pebbleloom/internal/control/serviceconfig"
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/queue"
	"pebbleloom/internal/rendezvous"
	"pebbleloom/internal/wire"
)

// Timing of a node with fixed members. The ratios are fractions of settings.Bounds.Recovery, the configured time to
// restore service after a fault.
const (
	fixedTickRatio           = 1.0 / 240 // interval between ticks of each consensus core, as a fraction of Bounds.Recovery
	fixedHeartbeatTicks      = 2
	fixedElectionTicks       = 12
	seedRefreshIntervalRatio = 0.25 // interval between reads of the seeds in the configuration document, as a fraction of Bounds.Recovery
)

// configuredSeedCount is the number of seeds of the cluster membership that a configuration must list. Lists of
// another length are ignored.
const configuredSeedCount = 3

// fixedShardDirectory is the format of a shard's directory name; its argument is the shard number.
const fixedShardDirectory = "part-%d"

// Start runs a control node of a cluster whose members are fixed by the settings. It returns an error if a listener
// cannot be opened. A shard whose disk cannot be read is not served; the other shards run.
//
// Example: daemon.Main("archive", "control node", need, controlstate.Start)
func Start(process *daemon.Process) error {
	node := newFixedNode(process)
	node.startPeerQueues()
	node.openFixedShards()
	if err := process.Serve(process.Settings.Listen, node.peerHandler()); err != nil {
		return err
	}
	client := controlclient.New(node.coreMembers, node.membership.View, node.clients, process.Settings.Bounds)
	if err := operatorapi.Serve(process, client, node.membership.View, node.clients); err != nil {
		return err
	}
	process.Go(func() {
		<-process.Draining
		for _, shard := range node.shards {
			shard.transferLeadership()
		}
	})
	node.registerMetrics()
	process.Every(process.Settings.Bounds.Recovery(seedRefreshIntervalRatio), func() { node.refreshSeeds(client) })
	process.Ready.Store(true)
	process.Log.Info("serving", "shards", len(node.shards), "incarnation", node.incarnation)
	return nil
}

// newFixedNode returns a control node with fixed members of its shards, with the node's member of the cluster
// membership started.
func newFixedNode(process *daemon.Process) *Node {
	node := newNode(process)
	node.outgoing = map[string]*queue.Ring[*wire.Message]{}
	node.coreMembers = slices.Sorted(slices.Values(process.Settings.Core))
	node.incarnation = node.newIncarnation()
	node.startMembership()
	return node
}

// newIncarnation returns a new name (incarnation) for a member on this node. It contains a random number, so that
// it differs from all earlier ones of this node.
func (n *Node) newIncarnation() string {
	return fmt.Sprintf("%s/%016x", n.process.Settings.Name, n.process.Seed())
}

// openFixedShards opens and runs the shards that this node is a member of.
func (n *Node) openFixedShards() {
	bounds := n.process.Settings.Bounds
	tick := bounds.Recovery(fixedTickRatio)
	for shardID := range uint32(controlclient.ShardCount) {
		config := n.fixedShardConfig(shardID) // draws a random seed for every shard, even if this node is not a member of it
		if !slices.Contains(config.Members, config.Self) {
			continue
		}
		disk := shardDisk(n.process, fmt.Sprintf(fixedShardDirectory, shardID))
		shard, err := openShard(n.process.Ctx, config, disk, n.newIncarnation, n.process.Clock, n.process.Log, n.enqueue)
		if err != nil {
			// The other shards use separate directories and still run.
			n.process.Log.Error("shard could not be opened and is not served by this control node", "shard", shardID, "error", errs.Text(err))
			continue
		}
		shard.random = n.process.Seed
		shard.claimRetention = bounds.RequestIDRetention(1)
		shard.confirmTimeout = bounds.Recovery(serveTimeoutRatio * confirmTimeoutRatio)
		n.shards[shardID] = shard
		n.process.Go(func() { shard.run(tick) })
	}
}

// fixedShardConfig returns the configuration of the consensus core for one shard.
func (n *Node) fixedShardConfig(shardID uint32) consensus.Config {
	name := n.process.Settings.Name
	return consensus.Config{
		Shard:            shardID,
		Self:             name,
		Members:          controlclient.Members(shardID, n.coreMembers),
		HeartbeatTicks:   fixedHeartbeatTicks,
		ElectionTicks:    fixedElectionTicks,
		MaxBatchBytes:    maxMessageBatchBytes,
		TrailingLogBytes: trailingLogBytes,
		Rand:             rand.New(rand.NewPCG(n.process.Seed(), uint64(shardID)+rendezvous.Hash(name))),
	}
}

// refreshSeeds sets the seeds of the cluster membership to those in the current configuration document. If the
// document cannot be read, the seeds stay as they are.
func (n *Node) refreshSeeds(client *controlclient.Client) {
	response, err := client.Read(n.process.Ctx, &wire.ReadRequest{Key: controlclient.ConfigKey})
	if err != nil || len(response.Documents) == 0 {
		return
	}
	config, err := serviceconfig.Decode(response.Documents[0].Body)
	if err == nil && len(config.Seeds) == configuredSeedCount {
		n.membership.SetSeeds(config.Seeds)
	}
}
