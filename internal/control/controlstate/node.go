package controlstate

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	"pebbleloom/internal/control/clustermembership"
	"pebbleloom/internal/control/controlclient"
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

// Deliver takes messages from a peer.
//
// Example: receipt, err := wire.NewArchiveProtobufClient(url, h).Post(ctx, batch)
func (n *Node) Deliver(_ context.Context, batch *wire.MessageBatch) (*wire.BatchReceipt, error) {
	if batch.Format != 1 {
		return nil, twirp.InvalidArgumentError("epoch", "this node reads format 1: bring both programs to one release")
	}
	for _, message := range batch.Messages {
		if shard := n.shards[message.Shard]; shard != nil {
			shard.commands.Offer(func() {
				if shard.failure == nil {
					shard.core.Step(message)
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
func (n *Node) Change(ctx context.Context, request *wire.ChangeRequest) (*wire.ChangeResponse, error) {
	shard := n.shards[request.Shard]
	if shard == nil {
		return &wire.ChangeResponse{Outcome: wire.OutcomeNotLeader}, nil
	}
	ctx, cancel := n.serveContext(ctx, len(request.Command.GetPut().GetBody()))
	defer cancel()
	return shard.change(ctx, request), nil
}

// Read reads what was acknowledged, where this node leads the shard.
//
// Example: response, err := n.Read(ctx, &wire.ReadRequest{Shard: 0, Key: "setup"})
func (n *Node) Read(ctx context.Context, request *wire.ReadRequest) (*wire.ReadResponse, error) {
	shard := n.shards[request.Shard]
	if shard == nil {
		return &wire.ReadResponse{Outcome: wire.OutcomeNotLeader}, nil
	}
	ctx, cancel := n.serveContext(ctx, 0)
	defer cancel()
	return shard.read(ctx, request), nil
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
	response := &wire.StatusResponse{Incarnation: n.incarnation}
	for shardID := range uint32(controlclient.ShardCount) {
		shard := n.shards[shardID]
		if shard == nil {
			if containsName(controlclient.Members(shardID, n.coreMembers), n.process.Settings.Name) {
				response.Shards = append(response.Shards, &wire.ShardStatus{Shard: shardID, Member: n.process.Settings.Name, Failure: "its folder can't be read: see the log at the start"})
			}
			continue
		}
		unanswered := &wire.ShardStatus{Shard: shardID, Member: n.process.Settings.Name, Failure: "its thread doesn't answer: the disk may be stalled"}
		response.Shards = append(response.Shards, query(ctx, shard, unanswered, func() *wire.ShardStatus {
			coreStatus := shard.core.Status()
			status := &wire.ShardStatus{Shard: shardID, Member: n.process.Settings.Name, Leader: coreStatus.Leader, IsLeader: coreStatus.IsLeader, Blank: coreStatus.Blank, Stuck: coreStatus.RejoinFailure, AppliedIndex: coreStatus.Applied,
				LastIndex: coreStatus.LastIndex, Term: coreStatus.Term, StateBytes: uint64(shard.state.documentBytes), LogBytes: uint64(shard.store.LogBytes())}
			if shard.failure != nil {
				status.Failure = errs.Text(shard.failure)
			}
			return status
		}))
	}
	return response, nil
}

// Watch answers a long poll: a newer document, or this member's word that it has none.
//
// Example: response, err := n.News(ctx, &wire.WatchRequest{Key: "setup", Have: 7, HoldNs: 3e8})
func (n *Node) Watch(ctx context.Context, request *wire.WatchRequest) (*wire.WatchResponse, error) {
	if shard := n.shards[request.Shard]; shard != nil {
		request.MaxWaitNs = min(request.MaxWaitNs, uint64(time.Minute))
		return shard.watch(ctx, request, n.process.Settings.Name), nil
	}
	return &wire.WatchResponse{Outcome: wire.OutcomeUnknown, Member: n.process.Settings.Name}, nil
}
