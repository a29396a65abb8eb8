package controlstate

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/twitchtv/twirp"

	"pebbleloom/internal/control/clustermembership"
	"pebbleloom/internal/control/controlclient"
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/queue"
	"pebbleloom/internal/wire"
)

// Node is a control node: it hosts members of shards and exchanges messages with the members on other nodes. Its
// exported methods serve requests of peers, clients and operators, and may be called concurrently.
type Node struct {
	process     *daemon.Process
	shards      map[uint32]*shard // shards that this node is a member of, by shard number; read-only after startup
	membership  *clustermembership.Member
	clients     *daemon.Clients
	incarnation string

	// Fields set only on a node with fixed members, run by Start.
	coreMembers []string                              // names of all control nodes of the cluster, sorted
	outgoing    map[string]*queue.Ring[*wire.Message] // queues of outgoing consensus messages, by name of the peer

	// Fields set only on a node of a group, run by StartGroup.
	controlClient *controlclient.Client
	transport     *transport
}

// messageFormat is the version of the format of consensus messages between control nodes. A batch of another
// format is rejected.
const messageFormat = 1

// maxLongPollTime limits the wait time that a client may request in a long poll (Watch and Follow).
const maxLongPollTime = time.Minute

// serveTimeoutRatio is the time-out for serving a change or a read, as a fraction of settings.Bounds.Recovery, the
// configured time to restore service after a fault. The context of a request does not end when a network partition
// separates its caller from this node, so without a time-out the request would block later ones.
const serveTimeoutRatio = 1.0 / 8

// serveContext returns a context that limits the time for serving a change or a read. The time-out grows with the
// size of the request body, in bytes.
func (n *Node) serveContext(ctx context.Context, size int) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, n.process.Settings.Bounds.Recovery(serveTimeoutRatio*(1+float64(size)/timeoutBodyBytes)))
}

// Deliver accepts a batch of consensus messages from a peer. Messages are dropped if this node has no member of
// their shard, or if the command queue of the shard is full.
//
// Example: receipt, err := n.Deliver(ctx, &wire.MessageBatch{Format: 1, Messages: messages})
func (n *Node) Deliver(_ context.Context, batch *wire.MessageBatch) (*wire.BatchReceipt, error) {
	if batch.Format != messageFormat {
		return nil, twirp.InvalidArgumentError("epoch", fmt.Sprintf("batch of consensus messages has format %d but this control node requires format %d: run the same release on both nodes", batch.Format, messageFormat))
	}
	for _, message := range batch.Messages {
		if shard := n.shards[message.Shard]; shard != nil {
			shard.receive(message)
		}
	}
	return &wire.BatchReceipt{Format: messageFormat}, nil
}

// Change carries out a change of a shard if this node leads the shard; otherwise the response names the leader, if
// this node knows one.
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

// Read reads documents and leases of a shard if this node leads the shard; otherwise the response names the
// leader, if this node knows one. The result includes all changes that were acknowledged before the call.
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

// Watch serves a long poll for one document: it responds with a newer version than the client knows as soon as
// there is one. If there is none when the wait time is over, the outcome states whether this member's log is free
// of newer versions.
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

// Time returns this machine's wall clock, in nanoseconds since the Unix epoch. Callers use the median over the
// control nodes, so that a clock jump on one machine has no effect. No decision of this package depends on the
// wall clock.
//
// Example: response, err := n.Time(ctx, &wire.TimeRequest{})
func (n *Node) Time(context.Context, *wire.TimeRequest) (*wire.TimeResponse, error) {
	return &wire.TimeResponse{WallNs: n.process.WallClock().UnixNano()}, nil
}

// currentIncarnation returns the incarnation that Status reports: on a node with fixed members the one that was
// drawn at the start of the process, on a node of a group that of its member. The latter can change while the
// process runs, for example when a corrupted disk is replaced.
func (n *Node) currentIncarnation() string {
	if shard := n.shards[0]; shard != nil && shard.group != nil {
		return shard.published.current().self
	}
	return n.incarnation
}

// Status returns the status of this node's member of each of its shards. A member that does not respond before
// ctx ends, or whose disk could not be read at startup, is listed with a failure.
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
			unreadable := &wire.ShardStatus{Shard: shardID, Member: name, Failure: "the shard's data directory could not be opened at startup: see the error in this node's log"}
			response.Shards = append(response.Shards, unreadable)
		}
	}
	return response, nil
}
