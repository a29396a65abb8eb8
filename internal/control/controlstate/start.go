package controlstate

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"path/filepath"
	"sort"

	"pebbleloom/internal/control/clustermembership"
	"pebbleloom/internal/control/consensus"
	"pebbleloom/internal/control/controlclient"
	"pebbleloom/internal/control/operatorapi"
	"pebbleloom/internal/control/serviceconfig"
	"pebbleloom/internal/control/storage"
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/data/backend"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/queue"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

// StartGroup runs a control node whose membership is agreed data. The door serves operators.
//
// Example: err := controlstate.StartGroup(process, codec, func(n *controlstate.Node) http.Handler { return operatorHandler(n) })
func StartGroup(process *daemon.Process, codec backend.Codec, door func(*Node) http.Handler) error {
	site, address := process.Settings.Site, process.Settings.AdvertisedAddr()
	node := &Node{process: process, shards: map[uint32]*shard{}, clients: daemon.NewClients(process)}
	node.membership = clustermembership.Start(process.Ctx, process.Settings, "archive", process.Clock, process.Log, node.clients.Membership, nil)
	node.controlClient = controlclient.NewGroupClient(process.Settings.Seeds, node.membership.View, node.clients, process.Settings.Bounds)
	process.OnSettingsChanged(func(shard settings.Process) {
		node.controlClient.SetSeeds(shard.Seeds)
		node.membership.SetSeeds(shard.Seeds)
	})
	node.transport = newTransport(process.Ctx, node)
	tick := process.Settings.Bounds.Heal(groupTick)
	shard := newShard(process.Ctx, 0, process.Clock, process.Log, node.transport.send)
	shard.claimRetention, shard.confirmTimeout = process.Settings.Bounds.RequestIDRetention(1), settings.Fraction(site.AckTimeoutMs, operatorTimeoutRatio*confirmTimeoutRatio)
	openGroupShard(shard, &group{codec: codec, disk: shardDisk(process, "part-0"), zoneOf: node.zoneOf, targetSize: 2*site.ToleratedFailures + 1, reopenTicks: int(reopenIntervalRatio / groupTick),
		consensusConfig: consensus.Config{HeartbeatTicks: heartbeatTicks, ElectionTicks: electionTicks, MaxBatchBytes: 256 << 10, TrailingLogBytes: trailingLogBytes,
			Rand: rand.New(rand.NewPCG(process.Seed(), queue.Hash(process.Settings.Name)))},
		initialSnapshot: func() *wire.Snapshot {
			return initialGroupSnapshot(site.FirstStart, address, process.Settings.Seeds, process.Seed)
		}})
	node.shards[0], node.incarnation = shard, shard.published.current().self
	process.Go(func() { shard.run(tick) })
	mux := http.NewServeMux()
	mux.Handle(wire.ControlNodePathPrefix, wire.NewControlNodeServer(node))
	mux.Handle(wire.MembershipPathPrefix, wire.NewMembershipServer(node.membership))
	// The door is closed first: what came in by it is finished while peers still get through.
	for _, server := range []struct {
		addr string
		h    func() http.Handler
	}{{site.ControlPlaneListen, func() http.Handler { return door(node) }}, {process.Settings.Listen, func() http.Handler { return mux }}} {
		if server.addr == "" {
			continue
		}
		if err := process.Serve(server.addr, server.h()); err != nil {
			return err
		}
	}
	if process.Settings.Operator != "" {
		if err := operatorapi.ServeSite(process, node.controlClient, node.membership.View, node.clients, codec.Read); err != nil {
			return err
		}
	}
	node.registerMetrics()
	node.registerGroupMetrics(shard)
	process.Go(func() { node.joinLoop() })
	process.OnShutdown(node.leave)
	process.Ready.Store(true)
	process.Log.Info("serving", "incarnation", node.incarnation)
	return nil
}

// zoneOf is the zone of a core machine by the cluster membership; "" where it isn't known.
func (n *Node) zoneOf(addr string) string {
	for _, member := range n.membership.View().WithRole("archive") {
		if member.Addr == addr {
			return member.Zone
		}
	}
	return ""
}

// Start runs a control node.
//
// Example: daemon.Main("archive", "control node", need, controlstate.Start)
func Start(process *daemon.Process) error {
	node := &Node{process: process, shards: map[uint32]*shard{}, outgoing: map[string]*queue.Ring[*wire.Message]{}, clients: daemon.NewClients(process)}
	clk := process.Clock
	core := append([]string(nil), process.Settings.Core...)
	sort.Strings(core)
	newIncarnation := func() string { return fmt.Sprintf("%s/%016x", process.Settings.Name, process.Seed()) }
	node.coreMembers, node.incarnation = core, newIncarnation()
	node.membership = clustermembership.Start(process.Ctx, process.Settings, "archive", clk, process.Log, node.clients.Membership, nil)
	for _, member := range core {
		if member != process.Settings.Name {
			messages := queue.NewRing[*wire.Message](1024)
			node.outgoing[member] = messages
			process.Go(func() { node.sendQueued(member, messages) })
		}
	}
	tick := process.Settings.Bounds.Heal(1.0 / 240)
	for shardID := range uint32(controlclient.ShardCount) {
		members := controlclient.Members(shardID, core)
		config := consensus.Config{Shard: shardID, Self: process.Settings.Name, Members: members, HeartbeatTicks: 2, ElectionTicks: 12, MaxBatchBytes: 256 << 10, TrailingLogBytes: trailingLogBytes,
			Rand: rand.New(rand.NewPCG(process.Seed(), uint64(shardID)+queue.Hash(process.Settings.Name)))}
		if !containsName(members, process.Settings.Name) {
			continue
		}
		shard, err := openShard(process.Ctx, config, shardDisk(process, fmt.Sprintf("part-%d", shardID)), newIncarnation, clk, process.Log, node.enqueue)
		if err != nil {
			// One shard's bad disk doesn't take the others out.
			process.Log.Error("shard stays closed", "shard", shardID, "error", errs.Text(err))
			continue
		}
		shard.claimRetention, shard.confirmTimeout = process.Settings.Bounds.RequestIDRetention(1), process.Settings.Bounds.Heal(serveTimeoutRatio*confirmTimeoutRatio)
		node.shards[shardID] = shard
		process.Go(func() { shard.run(tick) })
	}
	mux := http.NewServeMux()
	mux.Handle(wire.ControlNodePathPrefix, wire.NewControlNodeServer(node))
	mux.Handle(wire.MembershipPathPrefix, wire.NewMembershipServer(node.membership))
	if err := process.Serve(process.Settings.Listen, mux); err != nil {
		return err
	}
	client := controlclient.New(core, func() clustermembership.View { return node.membership.View() }, node.clients, process.Settings.Bounds)
	if err := operatorapi.Serve(process, client, func() clustermembership.View { return node.membership.View() }, node.clients); err != nil {
		return err
	}
	process.Go(func() {
		<-process.Draining
		for _, shard := range node.shards {
			shard.transferLeadership()
		}
	})
	node.registerMetrics()
	process.Every(process.Settings.Bounds.Heal(0.25), func() { node.refreshSeeds(client) })
	process.Ready.Store(true)
	process.Log.Info("serving", "shards", len(node.shards), "incarnation", node.incarnation)
	return nil
}

// refreshSeeds takes the seeds that the configuration in force names.
func (n *Node) refreshSeeds(client *controlclient.Client) {
	response, err := client.Read(n.process.Ctx, &wire.ReadRequest{Key: controlclient.ConfigKey})
	if err != nil || len(response.Documents) == 0 {
		return // the seeds that are known stay
	}
	if config, err := serviceconfig.Decode(response.Documents[0].Body); err == nil && len(config.Seeds) == 3 {
		n.membership.SetSeeds(config.Seeds)
	}
}

// shardDisk is a shard's folder; where the place names a switch, faults can be brought about.
func shardDisk(process *daemon.Process, folder string) storage.Disk {
	disk := process.Disk(filepath.Join(process.Settings.Data, folder))
	if faults := process.Settings.Option("faults", ""); faults != "" {
		return storage.WithFaults(disk, faults)
	}
	return disk
}

func containsName(names []string, name string) bool {
	for _, candidate := range names {
		if candidate == name {
			return true
		}
	}
	return false
}
