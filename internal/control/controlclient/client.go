// Package controlclient is the client of the replicated control state. It finds the leader of a
// shard, retries at other members when one fails, and returns a typed error where the outcome of a
// change is unknown. It also holds the lease client, which counts a lease's time at its holder.
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

// requestRatio is how long a request goes on to start attempts, as a ratio of the heal bound. An
// attempt that has started has its own timeout, so that its response isn't lost when this time ends.
const requestRatio = 0.5

// Attempts at the members that the settings name, as ratios of the heal bound.
const (
	fixedAttemptRatio = 1.0 / 8   // timeout of one attempt
	fixedPauseRatio   = 1.0 / 120 // pause once all members were tried
)

// Client sends requests to the leaders of the shards. It is safe for concurrent use. The methods about
// seeds, members and addresses are for clients made by NewGroupClient alone.
type Client struct {
	controlNodes []string // machines that the settings name; none for a group
	view         func() clustermembership.View
	clients      *daemon.Clients
	bounds       settings.Bounds
	group        *groupAddresses // nil where the settings name the members
}

// New makes a client of the shards that the control nodes on the named machines replicate.
//
// Example: c := controlclient.New(process.Settings.Core, member.View, clients, process.Settings.Bounds)
func New(controlNodes []string, view func() clustermembership.View, clients *daemon.Clients, bounds settings.Bounds) *Client {
	return &Client{controlNodes: controlNodes, view: view, clients: clients, bounds: bounds}
}

// attemptFunc sends a request to one control node.
type attemptFunc func(ctx context.Context, node wire.ControlNode) attemptResult

// attemptResult is what one attempt came to.
type attemptResult struct {
	done      bool   // no further attempt is needed, or none may be made
	responded bool   // a response came, whatever it says
	leader    string // whom the response names as the leader
}

// tryMembers tries a shard's members until one attempt is done or the time is over, and reports
// whether one was. bodySize is that of the request, in bytes.
func (c *Client) tryMembers(ctx context.Context, shard uint32, bodySize int, attempt attemptFunc) bool {
	if c.group != nil {
		return c.tryGroup(ctx, bodySize, attempt)
	}
	return c.tryFixedMembers(ctx, shard, attempt)
}

// tryFixedMembers tries the members that the settings name, in turn; one that is named as the leader
// comes right after the one that named it.
func (c *Client) tryFixedMembers(caller context.Context, shard uint32, attempt attemptFunc) bool {
	ctx, cancel := context.WithTimeout(caller, c.bounds.Heal(requestRatio))
	defer cancel()
	members := Members(shard, c.controlNodes)
	named := ""
	for i := 0; ctx.Err() == nil; i++ {
		member := members[i%len(members)]
		if named != "" {
			member, named = named, ""
		}
		if addr, ok := c.view().Addr(clustermembership.RoleControlNode + "/" + member); ok {
			result := c.tryOne(caller, c.bounds.Heal(fixedAttemptRatio), addr, attempt)
			if result.done {
				return true
			}
			if result.leader != member {
				named = result.leader
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

// Change makes a change at most once. A put that has no token and names no version isn't retried after
// a lost response, since it could be made twice; all other changes are.
//
// Errors: errs.MayHaveExecuted if the change was sent and its outcome isn't known, the kind that the
// leader names if it rejects the change, and errs.OutcomeUnknown if no leader was found.
//
// Example: response, err := c.Change(ctx, &wire.ChangeRequest{Shard: 0, Command: cmd})
func (c *Client) Change(ctx context.Context, request *wire.ChangeRequest) (*wire.ChangeResponse, error) {
	var final *wire.ChangeResponse
	lost := false // a response was lost: the change may have been made
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
		return nil, errs.New(errs.MayHaveExecuted, "the change was sent, and no response came")
	case final == nil:
		return nil, noLeader(request.Shard)
	case final.Outcome == wire.OutcomeConflict && lost && versioned:
		// The conflict may be with the change itself.
		return nil, errs.New(errs.MayHaveExecuted, "a response was lost, and version %d is in force now: read it back", final.Version)
	}
	return final, ErrorOf(final)
}

// isConnectionRefused reports whether an error proves that a request was never sent.
func isConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

func noLeader(shard uint32) error {
	return errs.New(errs.OutcomeUnknown, "shard %d has no leader that responds", shard)
}

// ErrorOf is the error that the response to a change amounts to; nil if it was made, or is valid.
//
// Example: err := controlclient.ErrorOf(response)
func ErrorOf(response *wire.ChangeResponse) error {
	switch response.Outcome {
	case wire.OutcomeDone, wire.OutcomeValid:
		return nil
	case wire.OutcomeConflict:
		return errs.New(errs.Conflict, "version or fence in force: %d/%d %s", response.Version, response.Fence, response.Leader)
	}
	return errs.New(errs.KindNamed(response.Outcome), "%s", strings.Join(response.Errors, "; "))
}

// Read reads acknowledged state by majority, or returns errs.OutcomeUnknown if no leader was found.
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
