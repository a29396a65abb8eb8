// Package controlclient is the client of the replicated control state. It finds the leader of a shard,
// retries requests with other members when one fails, and returns a distinct kind of error when the outcome
// of a change is unknown. Its Lease tracks a lease and its expiry on the holder's side.
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

// requestRatio is the period in which a request may start attempts, as a fraction of Bounds.Heal. An attempt
// that has started is bounded by its own timeout, so that its response is not lost at the end of the period.
const requestRatio = 0.5

// Timing of attempts when the settings list the control nodes, as fractions of Bounds.Heal.
const (
	fixedAttemptRatio = 1.0 / 8   // timeout of one attempt
	fixedPauseRatio   = 1.0 / 120 // pause after all members have been tried
)

// Client sends requests to the leaders of the control state's shards. It is safe for concurrent use. The
// methods that concern seeds, members and addresses may be called only on clients made by NewGroupClient.
type Client struct {
	controlNodes []string // control node machines listed in the settings; empty for a group client
	view         func() clustermembership.View
	clients      *daemon.Clients
	bounds       settings.Bounds
	group        *groupAddresses // nil if the settings list the control nodes
}

// New returns a client of the shards that are replicated by the control nodes on the given machines.
//
// Example: c := controlclient.New(process.Settings.Core, member.View, clients, process.Settings.Bounds)
func New(controlNodes []string, view func() clustermembership.View, clients *daemon.Clients, bounds settings.Bounds) *Client {
	return &Client{controlNodes: controlNodes, view: view, clients: clients, bounds: bounds}
}

// attemptFunc sends a request to one control node.
type attemptFunc func(ctx context.Context, node wire.ControlNode) attemptResult

// attemptResult is the result of one attempt.
type attemptResult struct {
	done      bool   // no further attempt is needed or allowed
	responded bool   // the node responded, with any outcome
	leader    string // leader named in the response, if any
}

// tryMembers makes attempts at a shard's members until one is done or the time limit is reached, and reports
// whether one was done. bodySize is the size of the request body in bytes.
func (c *Client) tryMembers(ctx context.Context, shard uint32, bodySize int, attempt attemptFunc) bool {
	if c.group != nil {
		return c.tryGroup(ctx, bodySize, attempt)
	}
	return c.tryFixedMembers(ctx, shard, attempt)
}

// tryFixedMembers tries the members listed in the settings in turn. When a member names another one as the
// leader, that one is tried next.
func (c *Client) tryFixedMembers(caller context.Context, shard uint32, attempt attemptFunc) bool {
	ctx, cancel := context.WithTimeout(caller, c.bounds.Heal(requestRatio))
	defer cancel()
	members := Members(shard, c.controlNodes)
	namedLeader := ""
	for i := 0; ctx.Err() == nil; i++ {
		member := members[i%len(members)]
		if namedLeader != "" {
			member, namedLeader = namedLeader, ""
		}
		if addr, ok := c.view().Addr(clustermembership.RoleControlNode + "/" + member); ok {
			result := c.tryOne(caller, c.bounds.Heal(fixedAttemptRatio), addr, attempt)
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
			case <-time.After(c.bounds.Heal(fixedPauseRatio)):
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

// Change applies a change at most once. After a lost response, it sends the change again unless the change could
// then be applied twice, as is the case for a put without a token and an expected version.
//
// The kind of the error is errs.MayHaveExecuted if the change was sent but its outcome is unknown,
// errs.OutcomeUnknown if no leader was found, and the kind given by the leader if it rejected the change.
//
// Example: response, err := c.Change(ctx, &wire.ChangeRequest{Shard: 0, Command: cmd})
func (c *Client) Change(ctx context.Context, request *wire.ChangeRequest) (*wire.ChangeResponse, error) {
	var final *wire.ChangeResponse
	lost := false // a response was lost, so the change may have been applied
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
		return nil, errs.New(errs.MayHaveExecuted, "change was sent to shard %d, but no response was received; it may have been applied", request.Shard)
	case final == nil:
		return nil, noLeader(request.Shard)
	case final.Outcome == wire.OutcomeConflict && lost && versioned:
		// An earlier attempt whose response was lost may have caused the conflict.
		return nil, errs.New(errs.MayHaveExecuted, "response to a change of shard %d was lost, and the current version is %d; read the document to see whether the change was applied", request.Shard, final.Version)
	}
	return final, ErrorOf(final)
}

// isConnectionRefused reports whether a request failed because the connection was refused, which proves that
// the request was not sent.
func isConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

func noLeader(shard uint32) error {
	return errs.New(errs.OutcomeUnknown, "no leader of control state shard %d responded", shard)
}

// ErrorOf converts the response to a change to an error; nil if the change was applied or, in a dry run, is
// valid.
//
// Example: err := controlclient.ErrorOf(response)
func ErrorOf(response *wire.ChangeResponse) error {
	switch response.Outcome {
	case wire.OutcomeDone, wire.OutcomeValid:
		return nil
	case wire.OutcomeConflict:
		return errs.New(errs.Conflict, "change conflicts with the control state: current version %d, fencing token %d, lease holder %q", response.Version, response.Fence, response.Leader)
	}
	return errs.New(errs.KindNamed(response.Outcome), "%s", strings.Join(response.Errors, "; "))
}

// Read performs a linearizable read, which a majority of the members confirms. The kind of the error is
// errs.OutcomeUnknown if no leader was found.
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
