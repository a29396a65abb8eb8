package controlstate

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"path/filepath"
	"sort"
	"time"

	"github.com/twitchtv/twirp"

	"pebbleloom/internal/control/clustermembership"
	"pebbleloom/internal/control/consensus"
	"pebbleloom/internal/control/controlclient"
	"pebbleloom/internal/control/operatorapi"
	"pebbleloom/internal/control/serviceconfig"
	"pebbleloom/internal/control/storage"
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/queue"
	"pebbleloom/internal/wire"
)

// Node is a control node: its shards, and the messages between it and its peers.
type Node struct {
	process       *daemon.Process
	shards        map[uint32]*shard
	outgoing      map[string]*queue.Ring[*wire.Message]
	membership    *clustermembership.Member
	clients       *daemon.Clients
	coreMembers   []string
	incarnation   string
	controlClient *controlclient.Client // of a group
	transport     *transport
}

// Start runs a control node.
//
// Example: daemon.Main("archive", "control node", need, controlstate.Start)
func Start(l *daemon.Process) error {
	n := &Node{process: l, shards: map[uint32]*shard{}, outgoing: map[string]*queue.Ring[*wire.Message]{}, clients: daemon.NewClients(l)}
	clk := l.Clock
	core := append([]string(nil), l.Settings.Core...)
	sort.Strings(core)
	fresh := func() string { return fmt.Sprintf("%s/%016x", l.Settings.Name, l.Seed()) }
	n.coreMembers, n.incarnation = core, fresh()
	n.membership = clustermembership.Start(l.Ctx, l.Settings, "archive", clk, l.Log, n.clients.Membership, nil)
	for _, m := range core {
		if m != l.Settings.Name {
			r := queue.NewRing[*wire.Message](1024)
			n.outgoing[m] = r
			l.Go(func() { n.sendQueued(m, r) })
		}
	}
	tick := l.Settings.Bounds.Heal(1.0 / 240)
	for i := range uint32(controlclient.ShardCount) {
		ms := controlclient.Members(i, core)
		cfg := consensus.Config{Shard: i, Self: l.Settings.Name, Members: ms, HeartbeatTicks: 2, ElectionTicks: 12, MaxBatchBytes: 256 << 10, TrailingLogBytes: trailingLogBytes,
			Rand: rand.New(rand.NewPCG(l.Seed(), uint64(i)+queue.Hash(l.Settings.Name)))}
		if !containsName(ms, l.Settings.Name) {
			continue
		}
		p, err := openShard(l.Ctx, cfg, shardDisk(l, fmt.Sprintf("part-%d", i)), fresh, clk, l.Log, n.enqueue)
		if err != nil {
			// One shard's bad disk doesn't take the others out.
			l.Log.Error("shard stays closed", "shard", i, "error", errs.Text(err))
			continue
		}
		p.claimRetention, p.confirmTimeout = l.Settings.Bounds.RequestIDRetention(1), l.Settings.Bounds.Heal(serveTimeoutRatio*confirmTimeoutRatio)
		n.shards[i] = p
		l.Go(func() { p.run(tick) })
	}
	mux := http.NewServeMux()
	mux.Handle(wire.ControlNodePathPrefix, wire.NewControlNodeServer(n))
	mux.Handle(wire.MembershipPathPrefix, wire.NewMembershipServer(n.membership))
	if err := l.Serve(l.Settings.Listen, mux); err != nil {
		return err
	}
	ctl := controlclient.New(core, func() clustermembership.View { return n.membership.View() }, n.clients, l.Settings.Bounds)
	if err := operatorapi.Serve(l, ctl, func() clustermembership.View { return n.membership.View() }, n.clients); err != nil {
		return err
	}
	l.Go(func() {
		<-l.Draining
		for _, p := range n.shards {
			p.transferLeadership()
		}
	})
	n.registerMetrics()
	l.Every(l.Settings.Bounds.Heal(0.25), func() { n.refreshSeeds(ctl) })
	l.Ready.Store(true)
	l.Log.Info("serving", "shards", len(n.shards), "incarnation", n.incarnation)
	return nil
}

// refreshSeeds takes the seeds that the configuration in force names.
func (n *Node) refreshSeeds(ctl *controlclient.Client) {
	t, err := ctl.Read(n.process.Ctx, &wire.ReadRequest{Key: controlclient.ConfigKey})
	if err != nil || len(t.Documents) == 0 {
		return // the seeds that are known stay
	}
	if s, err := serviceconfig.Decode(t.Documents[0].Body); err == nil && len(s.Seeds) == 3 {
		n.membership.SetSeeds(s.Seeds)
	}
}

func containsName(l []string, s string) bool {
	for _, x := range l {
		if x == s {
			return true
		}
	}
	return false
}

// shardDisk is a shard's folder; where the place names a switch, faults can be brought about.
func shardDisk(l *daemon.Process, folder string) storage.Disk {
	d := l.Disk(filepath.Join(l.Settings.Data, folder))
	if f := l.Settings.Option("faults", ""); f != "" {
		return storage.WithFaults(d, f)
	}
	return d
}

// enqueue hands a message to the thread that carries messages to its receiver. A full ring
// drops it: messages may be lost.
func (n *Node) enqueue(l *wire.Message) {
	if r := n.outgoing[l.To]; r != nil {
		r.Offer(l)
	}
}

func (n *Node) sendQueued(to string, r *queue.Ring[*wire.Message]) {
	for {
		select {
		case <-n.process.Ctx.Done():
			return
		case l := <-r.Out():
			ls := append([]*wire.Message{l}, r.Drain(127)...)
			addr, ok := n.membership.View().Addr("archive/" + to)
			if !ok {
				continue
			}
			ctx, end := context.WithTimeout(n.process.Ctx, n.process.Settings.Bounds.Heal(1.0/24))
			_, err := n.clients.ControlNode(addr).Deliver(ctx, &wire.MessageBatch{Format: 1, Messages: ls})
			end()
			if err != nil {
				n.process.Log.Debug("messages lost", "to", to, "messages", len(ls), "error", err)
			}
		}
	}
}

// Deliver takes messages from a peer.
//
// Example: receipt, err := wire.NewArchiveProtobufClient(url, h).Post(ctx, batch)
func (n *Node) Deliver(_ context.Context, p *wire.MessageBatch) (*wire.BatchReceipt, error) {
	if p.Format != 1 {
		return nil, twirp.InvalidArgumentError("epoch", "this node reads format 1: bring both programs to one release")
	}
	for _, l := range p.Messages {
		if pt := n.shards[l.Shard]; pt != nil {
			pt.commands.Offer(func() {
				if pt.failure == nil {
					pt.core.Step(l)
				}
			})
		}
	}
	return &wire.BatchReceipt{Format: 1}, nil
}

// serveTimeoutRatio is how long this node works on a change or a read that a peer or a client sent, as a
// ratio of the heal bound. A caller that was cut off meanwhile ends nothing here: without a bound its
// request would hold up those behind it.
const serveTimeoutRatio = 1.0 / 8

// serveContext bounds the work on a request whose body has a size.
func (n *Node) serveContext(ctx context.Context, size int) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, n.process.Settings.Bounds.Heal(serveTimeoutRatio*(1+float64(size)/timeoutBodyBytes)))
}

// Change carries out a change where this node leads the shard; elsewhere it names the leader.
//
// Example: response, err := n.Change(ctx, &wire.ChangeRequest{Shard: 0, Command: cmd})
func (n *Node) Change(ctx context.Context, a *wire.ChangeRequest) (*wire.ChangeResponse, error) {
	p := n.shards[a.Shard]
	if p == nil {
		return &wire.ChangeResponse{Outcome: wire.OutcomeNotLeader}, nil
	}
	ctx, end := n.serveContext(ctx, len(a.Command.GetPut().GetBody()))
	defer end()
	return p.change(ctx, a), nil
}

// Read reads what was acknowledged, where this node leads the shard.
//
// Example: response, err := n.Read(ctx, &wire.ReadRequest{Shard: 0, Key: "setup"})
func (n *Node) Read(ctx context.Context, a *wire.ReadRequest) (*wire.ReadResponse, error) {
	p := n.shards[a.Shard]
	if p == nil {
		return &wire.ReadResponse{Outcome: wire.OutcomeNotLeader}, nil
	}
	ctx, end := n.serveContext(ctx, 0)
	defer end()
	return p.read(ctx, a), nil
}

// Time gives this machine's wall clock.
//
// Example: response, err := n.Time(ctx, &wire.TimeRequest{})
func (n *Node) Time(context.Context, *wire.TimeRequest) (*wire.TimeResponse, error) {
	return &wire.TimeResponse{WallNs: n.process.WallClock().UnixNano()}, nil
}

// Status gives the status of this node's member in each of its shards.
//
// Example: response, err := n.Stand(ctx, &wire.StatusRequest{})
func (n *Node) Status(ctx context.Context, _ *wire.StatusRequest) (*wire.StatusResponse, error) {
	t := &wire.StatusResponse{Incarnation: n.incarnation}
	for i := range uint32(controlclient.ShardCount) {
		p := n.shards[i]
		if p == nil {
			if containsName(controlclient.Members(i, n.coreMembers), n.process.Settings.Name) {
				t.Shards = append(t.Shards, &wire.ShardStatus{Shard: i, Member: n.process.Settings.Name, Failure: "its folder can't be read: see the log at the start"})
			}
			continue
		}
		x := &wire.ShardStatus{Shard: i, Member: n.process.Settings.Name, Failure: "its thread doesn't answer: the disk may be stalled"}
		t.Shards = append(t.Shards, query(ctx, p, x, func() *wire.ShardStatus {
			s := p.core.Status()
			y := &wire.ShardStatus{Shard: i, Member: n.process.Settings.Name, Leader: s.Leader, IsLeader: s.IsLeader, Blank: s.Blank, Stuck: s.RejoinFailure, AppliedIndex: s.Applied,
				LastIndex: s.LastIndex, Term: s.Term, StateBytes: uint64(p.state.documentBytes), LogBytes: uint64(p.store.LogBytes())}
			if p.failure != nil {
				y.Failure = errs.Text(p.failure)
			}
			return y
		}))
	}
	return t, nil
}

// Watch answers a long poll: a newer document, or this member's word that it has none.
//
// Example: response, err := n.News(ctx, &wire.WatchRequest{Key: "setup", Have: 7, HoldNs: 3e8})
func (n *Node) Watch(ctx context.Context, a *wire.WatchRequest) (*wire.WatchResponse, error) {
	if p := n.shards[a.Shard]; p != nil {
		a.MaxWaitNs = min(a.MaxWaitNs, uint64(time.Minute))
		return p.watch(ctx, a, n.process.Settings.Name), nil
	}
	return &wire.WatchResponse{Outcome: wire.OutcomeUnknown, Member: n.process.Settings.Name}, nil
}
