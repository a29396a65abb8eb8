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

// Times of a node with fixed members. The ratios are of the heal bound.
const (
	fixedTickRatio           = 1.0 / 240 // period of a tick
	fixedHeartbeatTicks      = 2
	fixedElectionTicks       = 12
	seedRefreshIntervalRatio = 0.25 // between two reads of the configured seeds
)

// configuredSeedCount is how many seeds a configuration names; one with another number is ignored.
const configuredSeedCount = 3

// fixedShardDirectory is the format of the name of a shard's directory, by the shard's number.
const fixedShardDirectory = "part-%d"

// Start runs a control node of a cluster whose members are fixed by the settings. It returns an error
// if a listener can't be opened. A shard whose disk can't be read stays closed; the others run.
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
	process.Every(process.Settings.Bounds.Heal(seedRefreshIntervalRatio), func() { node.refreshSeeds(client) })
	process.Ready.Store(true)
	process.Log.Info("serving", "shards", len(node.shards), "incarnation", node.incarnation)
	return nil
}

func newFixedNode(process *daemon.Process) *Node {
	node := newNode(process)
	node.outgoing = map[string]*queue.Ring[*wire.Message]{}
	node.coreMembers = slices.Sorted(slices.Values(process.Settings.Core))
	node.incarnation = node.newIncarnation()
	node.startMembership()
	return node
}

// newIncarnation is a name that no earlier run of this node has used.
func (n *Node) newIncarnation() string {
	return fmt.Sprintf("%s/%016x", n.process.Settings.Name, n.process.Seed())
}

// openFixedShards opens and runs the shards that this node is a member of.
func (n *Node) openFixedShards() {
	bounds := n.process.Settings.Bounds
	tick := bounds.Heal(fixedTickRatio)
	for shardID := range uint32(controlclient.ShardCount) {
		config := n.fixedShardConfig(shardID) // draws a seed for each shard, also for those of other nodes
		if !slices.Contains(config.Members, config.Self) {
			continue
		}
		disk := shardDisk(n.process, fmt.Sprintf(fixedShardDirectory, shardID))
		shard, err := openShard(n.process.Ctx, config, disk, n.newIncarnation, n.process.Clock, n.process.Log, n.enqueue)
		if err != nil {
			// The other shards have disks of their own and run on.
			n.process.Log.Error("shard stays closed", "shard", shardID, "error", errs.Text(err))
			continue
		}
		shard.claimRetention = bounds.RequestIDRetention(1)
		shard.confirmTimeout = bounds.Heal(serveTimeoutRatio * confirmTimeoutRatio)
		n.shards[shardID] = shard
		n.process.Go(func() { shard.run(tick) })
	}
}

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

// refreshSeeds adopts the seeds that the configuration in force names. While it can't be read, the
// seeds that are known stay.
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
