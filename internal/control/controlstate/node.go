package controlstate

import (
	"context"
	"slices"
	"time"

	"github.com/twitchtv/twirp"

	"pebbleloom/internal/control/clustermembership"
	"pebbleloom/internal/control/controlclient"
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/queue"
	"pebbleloom/internal/wire"
)

// Node is a control node: its members of shards, and the messages between them and their peers. Its
// exported methods serve requests of peers, clients and operators and may be called concurrently.
type Node struct {
	process     *daemon.Process
	shards      map[uint32]*shard // by shard number; not changed after the start
	membership  *clustermembership.Member
	clients     *daemon.Clients
	incarnation string

	// Of a node with fixed members.
	coreMembers []string // sorted
	outgoing    map[string]*queue.Ring[*wire.Message]

	// Of a node of a group.
	controlClient *controlclient.Client
	transport     *transport
}

// messageFormat is the version of the messages between control nodes. A batch of another format is
// rejected as a whole.
const messageFormat = 1

// maxLongPollTime bounds how long a client may have a long poll wait.
const maxLongPollTime = time.Minute

// serveTimeoutRatio is how long this node works on a change or a read that a peer or a client sent, as
// a ratio of the heal bound. The context of a caller that a partition cut off doesn't end: without a
// bound its request would hold up those behind it.
const serveTimeoutRatio = 1.0 / 8

// serveContext bounds the work on a request. The bound grows with the size of its body, in bytes.
func (n *Node) serveContext(ctx context.Context, size int) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, n.process.Settings.Bounds.Heal(serveTimeoutRatio*(1+float64(size)/timeoutBodyBytes)))
}

// Deliver accepts messages from a peer's consensus core. Messages for a shard that has no member here,
// or whose queue of commands is full, are dropped.
//
// Example: receipt, err := n.Deliver(ctx, &wire.MessageBatch{Format: 1, Messages: messages})
func (n *Node) Deliver(_ context.Context, batch *wire.MessageBatch) (*wire.BatchReceipt, error) {
	if batch.Format != messageFormat {
		return nil, twirp.InvalidArgumentError("epoch", "this node reads format 1: bring both programs to one release")
	}
	for _, message := range batch.Messages {
		if shard := n.shards[message.Shard]; shard != nil {
			shard.receive(message)
		}
	}
	return &wire.BatchReceipt{Format: messageFormat}, nil
}

// Change carries out a change if this node leads the shard; otherwise the response names the leader
// that this node knows.
//
// Example: response, err := n.Change(ctx, &wire.ChangeRequest{Shard: 0, Command: command})
func (n *Node) Change(ctx context.Context, request *wire.ChangeRequest) (*wire.ChangeResponse, error) {
	shard := n.shards[request.Shard]
	if shard == nil {
		return &wire.ChangeResponse{Outcome: wire.OutcomeNotLeader}, nil
	}
	ctx, cancel := n.serveContext(ctx, len(request.Command.GetPut().GetBody()))
	defer cancel()
	return shard.change(ctx, request), nil
}

// Read reads documents and leases, never older than what was acknowledged before the call, if this
// node leads the shard; otherwise the response names the leader that this node knows.
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

// Watch serves a long poll for one document: it responds with a newer version, or, when the request's
// time is over, with whether this member's log holds none.
//
// Example: response, err := n.Watch(ctx, &wire.WatchRequest{Key: "setup", KnownVersion: 7, MaxWaitNs: 3e8})
func (n *Node) Watch(ctx context.Context, request *wire.WatchRequest) (*wire.WatchResponse, error) {
	shard := n.shards[request.Shard]
	if shard == nil {
		return &wire.WatchResponse{Outcome: wire.OutcomeUnknown, Member: n.process.Settings.Name}, nil
	}
	request.MaxWaitNs = min(request.MaxWaitNs, uint64(maxLongPollTime))
	return shard.watch(ctx, request, n.process.Settings.Name), nil
}

// Time returns this machine's wall clock, in nanoseconds since the Unix epoch. Callers take the median
// over the control nodes, so that a clock that jumps on one machine has no effect; this package makes
// no decision by it.
//
// Example: response, err := n.Time(ctx, &wire.TimeRequest{})
func (n *Node) Time(context.Context, *wire.TimeRequest) (*wire.TimeResponse, error) {
	return &wire.TimeResponse{WallNs: n.process.WallClock().UnixNano()}, nil
}

// currentIncarnation returns this node's incarnation. That of a group's member changes while the process runs if its
// disk turns out to be corrupted.
func (n *Node) currentIncarnation() string {
	if shard := n.shards[0]; shard != nil && shard.group != nil {
		return shard.published.current().self
	}
	return n.incarnation
}

// Status returns the status of this node's member in each of its shards. A member that doesn't respond
// before ctx ends, or whose disk couldn't be read at the start, is listed with a failure.
//
// Example: response, err := n.Status(ctx, &wire.StatusRequest{})
func (n *Node) Status(ctx context.Context, _ *wire.StatusRequest) (*wire.StatusResponse, error) {
	response := &wire.StatusResponse{Incarnation: n.currentIncarnation()}
	name := n.process.Settings.Name
	for shardID := range uint32(controlclient.ShardCount) {
		shard := n.shards[shardID]
		if shard != nil {
			response.Shards = append(response.Shards, shard.queryStatus(ctx, shardID, name))
		} else if slices.Contains(controlclient.Members(shardID, n.coreMembers), name) {
			unreadable := &wire.ShardStatus{Shard: shardID, Member: name, Failure: "its folder can't be read: see the log at the start"}
			response.Shards = append(response.Shards, unreadable)
		}
	}
	return response, nil
}
