package controlstate

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"pebbleloom/internal/clock"
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
	groupTick      = 1.0 / 120
	joinPart       = 1.0 / 15 // between two asks to be taken in
	leavePart      = 0.4      // of the grace time: the longest wait for another owner
	retryOpenPart  = 1.0 / 12 // between two tries to open a disk that was bad
	heartbeatTicks = 3
	electionTicks  = 9

	learnPatience = 2 * electionTicks // that one waits to be fed before it asks again
)

// group is what a part has beside, where its membership is agreed data.
type group struct {
	codec          backend.Codec
	cfg            consensus.Config
	disk           storage.Disk
	first          func() *wire.Snapshot
	targetSize     int // members
	zoneOf         func(addr string) string
	published      viewPublisher
	ticks          int
	retryOpenTicks int
}

// openGroup makes the one part of a group. A disk that can't be opened leaves the part out
// until it can.
func openGroup(p *shard, g *group) *shard {
	p.group, g.cfg.Group = g, true
	p.core = consensus.New(g.cfg, consensus.LearnerSnapshot(""), nil)
	p.failure = p.reopen()
	p.publish(consensus.Ready{Install: &wire.Snapshot{}})
	return p
}

// reopen reads the disk as a new start does. What was read may have been written by a process
// that died before its sync, or behind a sync that failed: all of it is written anew before this
// member goes by it.
func (p *shard) reopen() error {
	for _, f := range []string{"slot-0", "slot-1", "log-0", "log-1"} {
		if _, there, err := p.disk.Read(f); err != nil {
			return errs.As(err, errs.DiskBad, "read")
		} else if there {
			if err := p.disk.Append(f, nil); err != nil {
				return errs.As(err, errs.DiskBad, "sync what was read")
			}
		}
	}
	p.state = newState()
	l, err := p.load(p.disk, p.first)
	if err != nil {
		return err
	}
	if err := p.store.SaveSnapshot(l.Snapshot, l.Records); err != nil {
		return errs.Wrap(err, "write what was read anew")
	}
	cfg := p.cfg
	cfg.Self = l.Snapshot.HardState.Incarnation
	p.core = consensus.New(cfg, l.Snapshot, l.Records)
	return nil
}

// mend opens a disk that was bad again; its member goes on as after a restart.
func (p *shard) retryOpen() {
	if p.ticks%p.retryOpenTicks != 0 {
		return
	}
	if err := p.reopen(); err != nil {
		p.log.Debug("the disk is still bad", "error", errs.Text(err))
		return
	}
	for i, w := range p.pending {
		w.answer <- &wire.ChangeResponse{Outcome: wire.OutcomeUnknown}
		delete(p.pending, i)
	}
	p.failure = nil
	p.log.Info("the disk is well again")
	p.publish(consensus.Ready{Install: &wire.Snapshot{}})
}

// watch is what a member of a group does at each tick.
func (p *shard) tick() {
	if p.group == nil {
		return
	}
	p.ticks++
	if p.failure != nil {
		p.retryOpen()
		return
	}
	if p.ticks%heartbeatTicks == 0 && p.core.MembershipSettled() {
		ms, _, _ := p.core.Members()
		if next := nextMembership(p.core.Status().Leader, ms, p.core.PeerStatuses(), p.targetSize, p.zoneOf); next != nil {
			if _, _, ok := p.core.ProposeMembership(next); ok {
				p.log.Info("members change", "from", ms, "to", next)
			}
		}
	}
}

// lay merges a plan, or named items of one, onto the one in force.
func (p *shard) mergePlan(m *merged, old *wire.Document, u *wire.Put, part bool) {
	m.body, m.version, m.err = p.codec.Merge(old.GetBody(), u.Body, part)
	if m.err != nil && errs.KindOf(m.err) == errs.Inside {
		m.err = errs.As(m.err, errs.BadInput, "plan")
	}
	if m.err == nil && m.version <= old.GetVersion() {
		m.err = errs.New(errs.BadInput, "version %d isn't above %d, which is in force", m.version, old.GetVersion())
	}
}

// StartGroup runs a control node whose membership is agreed data. The door serves operators.
//
// Example: err := archive.StartGroup(life, codec, func(n *archive.Node) http.Handler { return desk(n) })
func StartGroup(l *daemon.Process, codec backend.Codec, door func(*Node) http.Handler) error {
	s, own := l.Place.Site, l.Place.AdvertisedAddr()
	n := &Node{life: l, shards: map[uint32]*shard{}, calls: daemon.NewClients(l)}
	n.roster = clustermembership.Start(l.Ctx, l.Place, "archive", l.Clock, l.Log, n.calls.Membership, nil)
	n.control = controlclient.NewGroup(l.Place.Seeds, n.roster.View, n.calls, l.Place.Bounds)
	l.OnSettingsChanged(func(p settings.Place) { n.control.SetSeeds(p.Seeds); n.roster.SetSeeds(p.Seeds) })
	n.transport = newTransport(l.Ctx, n)
	tick := l.Place.Bounds.Heal(groupTick)
	p := newShard(l.Ctx, 0, l.Clock, l.Log, n.transport.send)
	p.keepIDs, p.confirmTime = l.Place.Bounds.Once(1), settings.Of(s.AckMs, waitPart*confirmPart)
	openGroup(p, &group{codec: codec, disk: disk(l, "part-0"), zoneOf: n.zoneOf, targetSize: 2*s.Tolerate + 1, retryOpenTicks: int(retryOpenPart / groupTick),
		cfg: consensus.Config{HeartbeatTicks: heartbeatTicks, ElectionTicks: electionTicks, MaxBatchBytes: 256 << 10, TailBytes: tailBytes,
			Rand: rand.New(rand.NewPCG(l.Seed(), queue.Hash(l.Place.Name)))},
		first: func() *wire.Snapshot { return firstSnapshot(s.First, own, l.Place.Seeds, l.Seed) }})
	n.shards[0], n.incarnation = p, p.published.current().self
	l.Go(func() { p.run(tick) })
	mux := http.NewServeMux()
	mux.Handle(wire.ArchivePathPrefix, wire.NewArchiveServer(n))
	mux.Handle(wire.RosterPathPrefix, wire.NewRosterServer(n.roster))
	// The door is closed first: what came in by it is finished while colleagues still get through.
	for _, x := range []struct {
		addr string
		h    func() http.Handler
	}{{s.Control, func() http.Handler { return door(n) }}, {l.Place.Listen, func() http.Handler { return mux }}} {
		if x.addr == "" {
			continue
		}
		if err := l.Serve(x.addr, x.h()); err != nil {
			return err
		}
	}
	if l.Place.Operator != "" {
		if err := operatorapi.ServeSite(l, n.control, n.roster.View, n.calls, codec.Read); err != nil {
			return err
		}
	}
	n.meters()
	n.groupMeters(p)
	l.Go(func() { n.joinLoop() })
	l.OnShutdown(n.leave)
	l.Ready.Store(true)
	l.Log.Info("serving", "life", n.incarnation)
	return nil
}

// district is where a core machine stands, as the roster tells it.
func (n *Node) zoneOf(addr string) string {
	for _, x := range n.roster.View().Role("archive") {
		if x.Addr == addr {
			return x.District
		}
	}
	return ""
}

// begin is the first slot of an empty disk. At the first start of the whole system the seeds
// found the group, each under a life that all know; any other empty disk has lost what it had,
// or is new, and is taken in by those that hold the log.
func firstSnapshot(first bool, own string, seeds []string, random func() uint64) *wire.Snapshot {
	if first && slices.Contains(seeds, own) {
		var ms []string
		for _, s := range seeds {
			ms = append(ms, s+"/0")
		}
		return consensus.FoundingSnapshot(own+"/0", slices.Compact(slices.Sorted(slices.Values(ms))))
	}
	return consensus.LearnerSnapshot(fmt.Sprintf("%s/%016x", own, random()))
}

// leave hands the group over when the program was told to end, and waits until another owns it.
func (n *Node) leave(ctx context.Context) {
	p := n.shards[0]
	ctx, end := context.WithTimeout(ctx, settings.Of(n.life.Place.Site.GraceMs, leavePart))
	defer end()
	for begun := false; ctx.Err() == nil; clock.Pause(ctx, n.life.Place.Bounds.Heal(groupTick/2)) {
		at := query(ctx, p, transferProgress{gone: true}, p.transferLeadership)
		if begun = begun || at.begun; at.gone || !begun && !at.isLeader {
			break
		}
	}
	n.roster.Leave()
}

// handing is how far a group is handed over.
type transferProgress struct{ isLeader, begun, gone bool }

// handOn asks a colleague to take the group; gone: another has it, or this member is out.
func (p *shard) transferLeadership() transferProgress {
	s := p.core.Status()
	return transferProgress{isLeader: s.IsLeader, begun: p.failure == nil && s.IsLeader && p.core.TransferLeadership(), gone: p.failure != nil || !s.IsLeader && s.Leader != ""}
}

// join has this node taken in, and keeps it known while it isn't a member.
func (n *Node) joinLoop() {
	b, turn := n.life.Place.Bounds, 0
	for p := n.shards[0]; n.life.Ctx.Err() == nil; clock.Pause(n.life.Ctx, b.Heal(joinPart)) {
		ctx, end := context.WithTimeout(n.life.Ctx, b.Heal(1.0/24))
		alone := query(ctx, p, false, p.needsToJoin)
		end()
		if g := p.published.current(); alone {
			n.control.HintLeader(g.leader)
			turn += n.requestJoin(g.self, g.members, turn)
		}
	}
}

// alone tells whether no owner feeds this one: it asks to be taken in. A member may just be
// without an owner, or was removed while it was away.
func (p *shard) needsToJoin() bool {
	s, patience := p.core.Status(), learnPatience
	if p.core.IsVoter(p.core.Self()) {
		patience *= 2
	} else if s.Leader == "" {
		patience = 0
	}
	return p.failure == nil && !s.IsLeader && s.SinceLeader >= patience
}

// askIn asks a few of those that may know, whom they name right after them; it tells how many
// were of no help.
func (n *Node) requestJoin(self string, members []string, turn int) (vain int) {
	all := n.control.Addresses()
	for _, m := range members {
		if a := controlclient.Addr(m); !slices.Contains(all, a) {
			all = append(all, a)
		}
	}
	own := controlclient.Addr(self)
	all = slices.DeleteFunc(all, func(a string) bool { return a == own })
	for i := 0; i < 2 && len(all) > 0; i++ {
		addr := all[(turn+i)%len(all)]
		for hops := 0; hops < 2 && addr != "" && addr != own; hops++ {
			ctx, end := context.WithTimeout(n.life.Ctx, n.life.Place.Bounds.Heal(1.0/30))
			t, err := n.calls.ControlNode(addr).Join(ctx, &wire.JoinRequest{Name: self, Zone: n.life.Place.Zone})
			end()
			if err != nil {
				break
			}
			if t.Outcome == wire.OutcomeDone {
				n.control.HintLeader(addr)
				return vain
			}
			addr = controlclient.Addr(t.Leader)
		}
		vain++
	}
	return vain
}

// Join takes one that isn't a member among those that are fed; a site whose core machines are
// named in the settings takes nobody in.
//
// Example: t, err := a.Join(ctx, &wire.JoinAsk{Name: "10.1.0.17:7360/8f3a"})
func (n *Node) Join(ctx context.Context, a *wire.JoinRequest) (*wire.JoinResponse, error) {
	p, none := n.shards[0], &wire.JoinResponse{Outcome: wire.OutcomeUnknown}
	if addr, life, ok := strings.Cut(a.Name, "/"); p == nil || p.group == nil || !ok || addr == "" || life == "" {
		return none, nil
	}
	return query(ctx, p, none, func() *wire.JoinResponse { return p.handleJoin(a) }), nil
}

func (p *shard) handleJoin(a *wire.JoinRequest) *wire.JoinResponse {
	s := p.core.Status()
	switch {
	case p.failure != nil || !s.IsLeader:
		return &wire.JoinResponse{Outcome: wire.OutcomeNotLeader, Leader: s.Leader}
	case !p.core.AddLearner(a.Name):
		return &wire.JoinResponse{Outcome: wire.OutcomeOverloaded, Leader: s.Leader}
	}
	return &wire.JoinResponse{Outcome: wire.OutcomeDone, Leader: s.Leader}
}

// puts adds up what the entries that aren't applied yet may bring: by key the highest version,
// the greatest number where that isn't told.
func pendingVersions(es []*wire.Entry) map[string]uint64 {
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
