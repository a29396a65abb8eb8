package controlstate

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"

	"google.golang.org/protobuf/proto"

	"pebbleloom/internal/control/clustermembership"
	"pebbleloom/internal/control/consensus"
	"pebbleloom/internal/control/controlclient"
	"pebbleloom/internal/control/operatorapi"
	"pebbleloom/internal/control/storage"
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/data/backend"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/queue"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

// A group's time, as ratios of the heal bound and in ticks.
const (
	groupTick           = 1.0 / 120
	reopenIntervalRatio = 1.0 / 12 // between two tries to open a disk that was bad
	heartbeatTicks      = 3
	electionTicks       = 9
)

// group is what a shard has beside, where its membership is agreed data.
type group struct {
	codec           backend.Codec
	consensusConfig consensus.Config
	disk            storage.Disk
	initialSnapshot func() *wire.Snapshot
	targetSize      int // members
	zoneOf          func(addr string) string
	published       viewPublisher
	ticks           int
	reopenTicks     int
	leaving         map[string]int // the tick in which a process last said that it is to stop
	stopping        bool           // this process is to stop
}

// openGroupShard makes the one shard of a group. A disk that can't be opened leaves its member out
// until it can.
func openGroupShard(p *shard, g *group) *shard {
	p.group, g.consensusConfig.DynamicMembership = g, true
	g.leaving = map[string]int{}
	p.core = consensus.New(g.consensusConfig, consensus.LearnerSnapshot(""), nil)
	p.failure = p.reopen()
	p.publish(consensus.Ready{Snapshot: &wire.Snapshot{}})
	return p
}

// reopen reads the disk as a new start does. What was read may have been written by a process
// that died before its sync, or behind a sync that failed: all of it is written anew before this
// member goes by it.
func (p *shard) reopen() error {
	for _, f := range []string{"slot-0", "slot-1", "log-0", "log-1"} {
		if _, there, err := p.disk.Read(f); err != nil {
			return errs.WrapAs(err, errs.DiskFailure, "read")
		} else if there {
			if err := p.disk.Append(f, nil); err != nil {
				return errs.WrapAs(err, errs.DiskFailure, "sync what was read")
			}
		}
	}
	p.state = newState()
	l, err := p.load(p.disk, p.initialSnapshot)
	if err != nil {
		return err
	}
	if err := p.store.SaveSnapshot(l.Snapshot, l.Records); err != nil {
		return errs.Wrap(err, "write what was read anew")
	}
	cfg := p.consensusConfig
	cfg.Self = l.Snapshot.HardState.Incarnation
	p.core = consensus.New(cfg, l.Snapshot, l.Records)
	return nil
}

// retryReopen opens a disk again that was bad; its member goes on as after a restart.
func (p *shard) retryReopen() {
	if p.ticks%p.reopenTicks != 0 {
		return
	}
	if err := p.reopen(); err != nil {
		p.log.Debug("the disk is still bad", "error", errs.Text(err))
		return
	}
	for i, w := range p.pendingProposals {
		w.response <- &wire.ChangeResponse{Outcome: wire.OutcomeUnknown}
		delete(p.pendingProposals, i)
	}
	p.failure = nil
	p.log.Info("the disk is well again")
	p.publish(consensus.Ready{Snapshot: &wire.Snapshot{}})
}

// maintainGroup is what a member of a group does at each tick beside the core's own time.
func (p *shard) maintainGroup() {
	if p.group == nil {
		return
	}
	p.ticks++
	if p.failure != nil {
		p.retryReopen()
		return
	}
	if next := p.nextMembership(); next != nil {
		now, _, _ := p.core.Members()
		if _, _, ok := p.core.ProposeMembership(next); ok {
			p.log.Info("membership change", "from", now, "to", next)
		}
	}
}

// nextMembership is the membership that this member is to propose as the leader; nil: none now.
func (p *shard) nextMembership() []string {
	if !p.core.CanChangeMembership() {
		return nil
	}
	members, _, _ := p.core.Members()
	v := membershipPlanner{self: p.core.Self(), members: members, peers: p.core.PeerStatuses(), targetSize: p.targetSize,
		zoneOf: p.zoneOf, isLeaving: p.isLeaving}
	return v.next()
}

// mergeRoutingConfig merges a plan, or named items of one, onto the one in force.
func (p *shard) mergeRoutingConfig(m *mergedConfig, old *wire.Document, u *wire.Put, part bool) {
	m.body, m.version, m.err = p.codec.Merge(old.GetBody(), u.Body, part)
	if m.err != nil && errs.KindOf(m.err) == errs.Internal {
		m.err = errs.WrapAs(m.err, errs.BadInput, "plan")
	}
	if m.err == nil && m.version <= old.GetVersion() {
		m.err = errs.New(errs.BadInput, "version %d isn't above %d, which is in force", m.version, old.GetVersion())
	}
}

// StartGroup runs a control node whose membership is agreed data. The door serves operators.
//
// Example: err := controlstate.StartGroup(process, codec, func(n *controlstate.Node) http.Handler { return operatorHandler(n) })
func StartGroup(l *daemon.Process, codec backend.Codec, door func(*Node) http.Handler) error {
	s, own := l.Settings.Site, l.Settings.AdvertisedAddr()
	n := &Node{process: l, shards: map[uint32]*shard{}, clients: daemon.NewClients(l)}
	n.membership = clustermembership.Start(l.Ctx, l.Settings, "archive", l.Clock, l.Log, n.clients.Membership, nil)
	n.controlClient = controlclient.NewGroupClient(l.Settings.Seeds, n.membership.View, n.clients, l.Settings.Bounds)
	l.OnSettingsChanged(func(p settings.Process) { n.controlClient.SetSeeds(p.Seeds); n.membership.SetSeeds(p.Seeds) })
	n.transport = newTransport(l.Ctx, n)
	tick := l.Settings.Bounds.Heal(groupTick)
	p := newShard(l.Ctx, 0, l.Clock, l.Log, n.transport.send)
	p.claimRetention, p.confirmTimeout = l.Settings.Bounds.RequestIDRetention(1), settings.Fraction(s.AckTimeoutMs, operatorTimeoutRatio*confirmTimeoutRatio)
	openGroupShard(p, &group{codec: codec, disk: shardDisk(l, "part-0"), zoneOf: n.zoneOf, targetSize: 2*s.ToleratedFailures + 1, reopenTicks: int(reopenIntervalRatio / groupTick),
		consensusConfig: consensus.Config{HeartbeatTicks: heartbeatTicks, ElectionTicks: electionTicks, MaxBatchBytes: 256 << 10, TrailingLogBytes: trailingLogBytes,
			Rand: rand.New(rand.NewPCG(l.Seed(), queue.Hash(l.Settings.Name)))},
		initialSnapshot: func() *wire.Snapshot { return initialGroupSnapshot(s.FirstStart, own, l.Settings.Seeds, l.Seed) }})
	n.shards[0], n.incarnation = p, p.published.current().self
	l.Go(func() { p.run(tick) })
	mux := http.NewServeMux()
	mux.Handle(wire.ControlNodePathPrefix, wire.NewControlNodeServer(n))
	mux.Handle(wire.MembershipPathPrefix, wire.NewMembershipServer(n.membership))
	// The door is closed first: what came in by it is finished while peers still get through.
	for _, x := range []struct {
		addr string
		h    func() http.Handler
	}{{s.ControlPlaneListen, func() http.Handler { return door(n) }}, {l.Settings.Listen, func() http.Handler { return mux }}} {
		if x.addr == "" {
			continue
		}
		if err := l.Serve(x.addr, x.h()); err != nil {
			return err
		}
	}
	if l.Settings.Operator != "" {
		if err := operatorapi.ServeSite(l, n.controlClient, n.membership.View, n.clients, codec.Read); err != nil {
			return err
		}
	}
	n.registerMetrics()
	n.registerGroupMetrics(p)
	l.Go(func() { n.joinLoop() })
	l.OnShutdown(n.leave)
	l.Ready.Store(true)
	l.Log.Info("serving", "incarnation", n.incarnation)
	return nil
}

// zoneOf is the zone of a core machine by the cluster membership; "" where it isn't known.
func (n *Node) zoneOf(addr string) string {
	for _, x := range n.membership.View().WithRole("archive") {
		if x.Addr == addr {
			return x.Zone
		}
	}
	return ""
}

// initialGroupSnapshot is the first snapshot of an empty disk. At the first start of the whole system the
// seeds found the group, each under an incarnation that all know; any other empty disk has lost what
// it had, or is new, and is taken in by those that hold the log.
func initialGroupSnapshot(first bool, own string, seeds []string, random func() uint64) *wire.Snapshot {
	if first && slices.Contains(seeds, own) {
		var ms []string
		for _, s := range seeds {
			ms = append(ms, s+"/0")
		}
		return consensus.BootstrapSnapshot(own+"/0", slices.Compact(slices.Sorted(slices.Values(ms))))
	}
	return consensus.LearnerSnapshot(fmt.Sprintf("%s/%016x", own, random()))
}

// highestVersions adds up what the entries that aren't applied yet may bring: by key the highest
// version, the greatest number where an entry doesn't hold it.
func highestVersions(es []*wire.Entry) map[string]uint64 {
	var l map[string]uint64
	for _, e := range es {
		c := &wire.Command{}
		if len(e.Body) == 0 {
			continue
		}
		k, v := "", ^uint64(0) // can't be read: it may be anything
		if proto.Unmarshal(e.Body, c) == nil {
			u := c.GetPut()
			if u == nil {
				continue
			}
			if k = u.Key; u.NewVersion > 0 {
				v = u.NewVersion
			}
		}
		if l == nil {
			l = map[string]uint64{}
		}
		l[k] = max(l[k], v)
	}
	return l
}
