// Package controlclient is the client of the replicated control state. It finds the leader of a shard,
// retries requests with other members when one fails, and returns an error of kind errs.MayHaveExecuted when it
// does not know whether a change was applied. Its Lease tracks a lease and its expiry on the holder's side.
//
// A client finds the control nodes in one of two ways. A client made by New has a fixed list of their machines,
// which comes from the settings. A client made by NewGroupClient discovers them through seed addresses.
package controlclient

import (
	"context"
	"errors"
	"strings"
	"syscall"
	"time"

	"pebbleloom/internal/control/clustermembership"
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

// requestRatio is the period during which Change and Read start attempts at control nodes, as a fraction of
// Bounds.Recovery, the bound on the recovery time after a fault. An attempt that has started is bounded by its own
// timeout, so that its response is not lost at the end of the period.
const requestRatio = 0.5

// Timing of the attempts of a client made by New, which has a fixed list of control nodes.
const (
	fixedAttemptRatio = 1.0 / 8   // timeout of an attempt at one control node, as a fraction of the recovery time bound Bounds.Recovery
	fixedPauseRatio   = 1.0 / 120 // pause after all members of a shard were tried without success, as a fraction of the recovery time bound Bounds.Recovery
)

// Client sends requests to the leaders of the control state's shards. It is safe for concurrent use.
//
// SetSeeds, SetMembers, HintLeader, Addresses, RecordResponse and IsUnresponsive may be called only on clients
// made by NewGroupClient.
type Client struct {
	controlNodes []string // names of the control node machines, from the settings; empty in a client made by NewGroupClient
	view         func() clustermembership.View
	clients      *daemon.Clients
	bounds       settings.Bounds
	group        *groupAddresses // addresses of discovered control nodes; nil in a client made by New
}

// New returns a client of a control state whose shards are replicated by the control nodes on the given machines.
// The view gives their addresses.
//
// Example: c := controlclient.New(process.Settings.Core, member.View, clients, process.Settings.Bounds)
func New(controlNodes []string, view func() clustermembership.View, clients *daemon.Clients, bounds settings.Bounds) *Client {
	return &Client{controlNodes: controlNodes, view: view, clients: clients, bounds: bounds}
}

// attemptFunc sends a request to one control node. The context carries the timeout of this attempt.
type attemptFunc func(ctx context.Context, node wire.ControlNode) attemptResult

// attemptResult is what an attempt at one control node showed about the request, that node and the leader.
type attemptResult struct {
	done      bool   // whether the request needs no further attempt or, because it could be applied twice, allows none
	responded bool   // whether the control node sent a response, even a rejection
	leader    string // name of the shard's leader according to the response; empty if it names none
}

// tryMembers makes attempts at a shard's members until one returns done or the time limit is reached, and reports
// whether one returned done. bodySize is the size of the request body in bytes.
func (c *Client) tryMembers(ctx context.Context, shard uint32, bodySize int, attempt attemptFunc) bool {
	if c.group != nil {
		return c.tryGroup(ctx, bodySize, attempt)
	}
	return c.tryFixedMembers(ctx, shard, attempt)
}

// tryFixedMembers tries a shard's members in turn, for a client with a fixed list of control nodes. When a member
// names another one as the leader, that one is tried next.
func (c *Client) tryFixedMembers(caller context.Context, shard uint32, attempt attemptFunc) bool {
	ctx, cancel := context.WithTimeout(caller, c.bounds.Recovery(requestRatio))
	defer cancel()
	members := Members(shard, c.controlNodes)
	namedLeader := ""
	for i := 0; ctx.Err() == nil; i++ {
		member := members[i%len(members)]
		if namedLeader != "" {
			member, namedLeader = namedLeader, ""
		}
		if addr, ok := c.view().Addr(clustermembership.RoleControlNode + "/" + member); ok {
			result := c.tryOne(caller, c.bounds.Recovery(fixedAttemptRatio), addr, attempt)
			if result.done {
				return true
			}
			if result.leader != member {
				namedLeader = result.leader
			}
		}
		if i%len(members) == len(members)-1 {
			select {
			case <-ctx.Done():
			case <-time.After(c.bounds.Recovery(fixedPauseRatio)):
			}
		}
	}
	return false
}

func (c *Client) tryOne(ctx context.Context, timeout time.Duration, addr string, attempt attemptFunc) attemptResult {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return attempt(ctx, c.clients.ControlNode(addr))
}

// Change sends a change to the leader of a shard, which applies it at most once. After a lost response, the change
// is sent again, except for a put that has neither an idempotency token nor an expected version: such a put could
// be applied twice.
//
// The error is of kind errs.MayHaveExecuted if the change was sent but no response shows whether it was applied. It
// is of kind errs.OutcomeUnknown if no leader responded: despite the name of this kind, the change was then not
// applied. If the leader rejected the change, the error is of the kind that the leader gave.
//
// Example: response, err := c.Change(ctx, &wire.ChangeRequest{Shard: 0, Command: cmd})
func (c *Client) Change(ctx context.Context, request *wire.ChangeRequest) (*wire.ChangeResponse, error) {
	var final *wire.ChangeResponse
	lost := false // whether an attempt may have applied the change although no response says so
	put := request.Command.GetPut()
	once := put != nil && put.Token == "" && put.AnyVersion
	versioned := put != nil && put.Token == "" && !put.AnyVersion
	c.tryMembers(ctx, request.Shard, len(put.GetBody()), func(ctx context.Context, node wire.ControlNode) attemptResult {
		response, err := node.Change(ctx, request)
		if err != nil || response.Outcome == wire.OutcomeUnknown {
			lost = lost || err == nil || !isConnectionRefused(err)
			return attemptResult{done: lost && once, responded: err == nil}
		}
		if response.Outcome == wire.OutcomeNotLeader || response.Outcome == wire.OutcomeOverloaded {
			return attemptResult{responded: true, leader: response.Leader}
		}
		final = response
		return attemptResult{done: true, responded: true}
	})
	switch {
	case final == nil && lost && !request.DryRun:
		return nil, errs.New(errs.MayHaveExecuted, "change to control state shard %d was sent, but no response shows whether it was applied", request.Shard)
	case final == nil:
		return nil, noLeader(request.Shard)
	case final.Outcome == wire.OutcomeConflict && lost && versioned:
		// An earlier attempt whose response was lost may have applied this same change and so caused the conflict.
		return nil, errs.New(errs.MayHaveExecuted, "change to control state shard %d: an earlier response was lost, and a retry found the document at version %d; read the document to see whether the change was applied", request.Shard, final.Version)
	}
	return final, ErrorOf(final)
}

// isConnectionRefused reports whether a request failed because the connection was refused, which proves that
// the request was not sent.
func isConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

func noLeader(shard uint32) error {
	return errs.New(errs.OutcomeUnknown, "no leader of control state shard %d responded", shard)
}

// ErrorOf converts the response to a change into an error. It returns nil if the change was applied or, in a dry
// run, is valid.
//
// Example: err := controlclient.ErrorOf(response)
func ErrorOf(response *wire.ChangeResponse) error {
	switch response.Outcome {
	case wire.OutcomeDone, wire.OutcomeValid:
		return nil
	case wire.OutcomeConflict:
		return errs.New(errs.Conflict, "change conflicts with the control state, which has document version %d, fencing token %d and lease holder %q", response.Version, response.Fence, response.Leader)
	}
	return errs.New(errs.KindNamed(response.Outcome), "%s", strings.Join(response.Errors, "; "))
}

// Read performs a linearizable read: the leader confirms with a majority of the shard's members that it still is
// the leader. The error is of kind errs.OutcomeUnknown if no leader responded.
//
// Example: response, err := c.Read(ctx, &wire.ReadRequest{Shard: 0, Key: controlclient.ConfigKey})
func (c *Client) Read(ctx context.Context, request *wire.ReadRequest) (*wire.ReadResponse, error) {
	var final *wire.ReadResponse
	c.tryMembers(ctx, request.Shard, 0, func(ctx context.Context, node wire.ControlNode) attemptResult {
		response, err := node.Read(ctx, request)
		if err != nil || response.Outcome != wire.OutcomeDone {
			return attemptResult{responded: err == nil, leader: response.GetLeader()}
		}
		final = response
		return attemptResult{done: true, responded: true}
	})
	if final == nil {
		return nil, noLeader(request.Shard)
	}
	return final, nil
}
