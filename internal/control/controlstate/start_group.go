package controlstate

import (
	"math/rand/v2"
	"net/http"

	"pebbleloom/internal/control/clustermembership"
	"pebbleloom/internal/control/consensus"
	"pebbleloom/internal/control/controlclient"
	"pebbleloom/internal/control/operatorapi"
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/data/backend"
	"pebbleloom/internal/rendezvous"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

// groupShardDirectory is the name of the directory of the group's only shard.
const groupShardDirectory = "part-0"

// StartGroup runs a control node of a group whose membership is replicated data. The codec merges and decodes the
// site's routing configuration; newOperatorHandler creates the HTTP handler for operators. StartGroup returns an error
// if a listener cannot be opened. A member whose disk cannot be read takes no part in the group until the disk works
// again (retryReopen). A corrupted disk counts as lost once the group serves without it (replaceCorruptedDisk).
//
// Example: err := controlstate.StartGroup(process, codec, func(n *controlstate.Node) http.Handler { return operatorHandler(n) })
func StartGroup(process *daemon.Process, codec backend.Codec, newOperatorHandler func(*Node) http.Handler) error {
	node := newGroupNode(process)
	shard := node.openGroupMember(codec)
	tick := process.Settings.Bounds.Recovery(groupTick)
	process.Go(func() { shard.run(tick) })
	if err := node.serveGroup(newOperatorHandler); err != nil {
		return err
	}
	if process.Settings.Operator != "" {
		if err := operatorapi.ServeGroup(process, node.controlClient, node.membership.View, node.clients, codec.Read, node); err != nil {
			return err
		}
	}
	node.registerMetrics()
	node.registerGroupMetrics(shard)
	process.Go(node.joinLoop)
	process.OnShutdown(node.leave)
	process.Ready.Store(true)
	process.Log.Info("serving", "incarnation", node.incarnation)
	return nil
}

// newGroupNode returns a control node of a group, with the node's member of the cluster membership started.
func newGroupNode(process *daemon.Process) *Node {
	node := newNode(process)
	node.startMembership()
	node.controlClient = controlclient.NewGroupClient(process.Settings.Seeds, node.membership.View, node.clients, process.Settings.Bounds)
	process.OnSettingsChanged(func(changed settings.Process) {
		node.controlClient.SetSeeds(changed.Seeds)
		node.membership.SetSeeds(changed.Seeds)
	})
	node.transport = newTransport(process.Ctx, node)
	return node
}

// openGroupMember creates this node's member of the group and opens its disk.
func (n *Node) openGroupMember(codec backend.Codec) *shard {
	process := n.process
	site, address := process.Settings.Site, process.Settings.AdvertisedAddr()
	shard := newShard(process.Ctx, 0, process.Clock, process.Log, n.transport.send)
	shard.random = process.Seed
	shard.claimRetention = process.Settings.Bounds.RequestIDRetention(1)
	shard.confirmTimeout = settings.Fraction(site.AckTimeoutMs, operatorTimeoutRatio*confirmTimeoutRatio)
	openGroupShard(shard, &group{
		codec:              codec,
		disk:               shardDisk(process, groupShardDirectory),
		zoneOf:             n.zoneOf,
		targetSize:         2*site.ToleratedFailures + 1,
		reopenTicks:        int(reopenIntervalRatio / groupTick),
		restoreNoticeTicks: int(restoreNoticeIntervalRatio / groupTick),
		controlNodes:       n.controlNodeAddrs,
		consensusConfig: consensus.Config{
			HeartbeatTicks:   heartbeatTicks,
			ElectionTicks:    electionTicks,
			MaxBatchBytes:    maxMessageBatchBytes,
			TrailingLogBytes: trailingLogBytes,
			Rand:             rand.New(rand.NewPCG(process.Seed(), rendezvous.Hash(process.Settings.Name))),
		},
		initialSnapshot: func(lost bool) *wire.Snapshot {
			return initialGroupSnapshot(site.FirstStart && !lost, address, process.Settings.Seeds, process.Seed)
		},
	})
	n.shards[0], n.incarnation = shard, shard.published.current().self
	return shard
}

// serveGroup opens the listeners for operators and for peers. At shutdown they close in the order in which they
// were opened: the operators' listener closes first, so that requests accepted there can finish while peers are
// still reachable.
func (n *Node) serveGroup(newOperatorHandler func(*Node) http.Handler) error {
	process := n.process
	if address := process.Settings.Site.ControlPlaneListen; address != "" {
		if err := process.ServeClients("control", address, newOperatorHandler(n)); err != nil {
			return err
		}
	}
	if address := process.Settings.Listen; address != "" {
		return process.Serve(address, n.peerHandler())
	}
	return nil
}

// controlNodeAddrs returns the addresses of the control nodes in the cluster membership.
func (n *Node) controlNodeAddrs() (addrs []string) {
	for _, member := range n.membership.View().WithRole(clustermembership.RoleControlNode) {
		addrs = append(addrs, member.Addr)
	}
	return addrs
}

// zoneOf returns the zone of the control node at an address according to the cluster membership; "" if it is not
// known.
func (n *Node) zoneOf(addr string) string {
	for _, member := range n.membership.View().WithRole(clustermembership.RoleControlNode) {
		if member.Addr == addr {
			return member.Zone
		}
	}
	return ""
}
