// Package controlclient is the client of the control state: it finds the leader of a shard, goes on
// to another member when one is lost, and says plainly when the outcome is unknown.
package controlclient

import (
	"context"
	"sort"
	"strings"
	"time"

	"pebbleloom/internal/control/clustermembership"
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/queue"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

// ShardCount is how many shards the control state is cut into. Shard 0 holds the configuration.
const ShardCount = 8

// ConfigKey is the document that holds the site's configuration, in shard 0.
const ConfigKey = "setup"

// ShardOf gives the shard of a service.
//
// Example: controlclient.ShardOf("appraisals")
func ShardOf(service string) uint32 { return 1 + uint32(queue.Hash(service)%(ShardCount-1)) }

// Members names the three of the four core machines that replicate a shard.
//
// Example: controlclient.Members(0, core)
func Members(shard uint32, core []string) []string {
	l := append([]string(nil), core...)
	sort.Strings(l)
	if len(l) < 4 {
		return l
	}
	i := int(shard) % len(l)
	return append(l[:i:i], l[i+1:]...)
}

// Client sends requests to the leaders of the shards.
type Client struct {
	controlNodes []string
	view         func() clustermembership.View
	clients      *daemon.Clients
	bounds       settings.Bounds
	group        *groupAddresses // nil where the core machines are named
}

// New makes a client of the shards that the named core machines replicate.
//
// Example: c := controlclient.New(place.Core, member.View, calls, place.Bounds)
func New(core []string, view func() clustermembership.View, calls *daemon.Clients, b settings.Bounds) *Client {
	return &Client{controlNodes: core, view: view, clients: calls, bounds: b}
}

// attemptResult is what one attempt came to.
type attemptResult struct {
	done      bool   // no further attempt is needed, or none may be made
	responded bool   // a response came, whatever it says
	leader    string // whom the response names as the leader
}

// tryMembers asks a shard's members in turn, whom one names as the leader right after it, until done
// says so or the time is over. size is that of the request's body.
func (c *Client) tryMembers(ctx context.Context, shard uint32, size int, try func(context.Context, wire.ControlNode) attemptResult) bool {
	// The whole time bounds when an attempt may begin; one that has begun has its own, so that the
	// end of the whole doesn't leave an answer unheard.
	if c.group != nil {
		return c.tryGroup(ctx, size, try)
	}
	caller := ctx
	ctx, end := context.WithTimeout(ctx, c.bounds.Heal(0.5))
	defer end()
	members := Members(shard, c.controlNodes)
	next := ""
	for i := 0; ctx.Err() == nil; i++ {
		m := members[i%len(members)]
		if next != "" {
			m, next = next, ""
		}
		if addr, ok := c.view().Addr("archive/" + m); ok {
			attempt, stop := context.WithTimeout(caller, c.bounds.Heal(1.0/8))
			got := try(attempt, c.clients.ControlNode(addr))
			stop()
			if got.done {
				return true
			}
			if got.leader != m {
				next = got.leader
			}
		}
		if i%len(members) == len(members)-1 {
			select {
			case <-ctx.Done():
			case <-time.After(c.bounds.Heal(1.0 / 120)):
			}
		}
	}
	return false
}

// Change makes a change once. A put without a token isn't asked again after an answer was
// lost, so that it can't happen twice.
//
// Example: response, err := c.Change(ctx, &wire.ChangeRequest{Shard: 0, Command: cmd})
func (c *Client) Change(ctx context.Context, a *wire.ChangeRequest) (*wire.ChangeResponse, error) {
	var got *wire.ChangeResponse
	lost := false
	put := a.Command.GetPut()
	once := put != nil && put.Token == "" && put.AnyVersion
	guarded := put != nil && put.Token == "" && !put.AnyVersion
	c.tryMembers(ctx, a.Shard, len(put.GetBody()), func(ctx context.Context, n wire.ControlNode) attemptResult {
		t, err := n.Change(ctx, a)
		if err != nil || t.Outcome == wire.OutcomeUnknown {
			// A refused connection proves that it never began; anything else doesn't.
			lost = lost || err == nil || !strings.Contains(err.Error(), "connection refused")
			return attemptResult{done: lost && once, responded: err == nil}
		}
		if t.Outcome == wire.OutcomeNotLeader || t.Outcome == wire.OutcomeOverloaded {
			return attemptResult{responded: true, leader: t.Leader}
		}
		got = t
		return attemptResult{done: true, responded: true}
	})
	if got == nil && lost && !a.DryRun {
		return nil, errs.New(errs.MayHaveExecuted, "the change was sent, and no answer came")
	}
	if got == nil {
		return nil, errs.New(errs.OutcomeUnknown, "shard %d has no leader that answers", a.Shard)
	}
	if got.Outcome == wire.OutcomeConflict && lost && guarded {
		return nil, errs.New(errs.MayHaveExecuted, "an answer was lost, and version %d is in force now: read it back", got.Version)
	}
	return got, ErrorOf(got)
}

// ErrorOf is the error that the response to a change amounts to; nil where it was made.
//
// Example: err := controlclient.ErrorOf(response)
func ErrorOf(t *wire.ChangeResponse) error {
	switch t.Outcome {
	case wire.OutcomeDone, wire.OutcomeValid:
		return nil
	case wire.OutcomeConflict:
		return errs.New(errs.Conflict, "version or fence in force: %d/%d %s", t.Version, t.Fence, t.Leader)
	}
	return errs.New(errs.KindNamed(t.Outcome), "%s", strings.Join(t.Errors, "; "))
}

// Read reads what was acknowledged, or says that it can't tell.
//
// Example: response, err := c.Read(ctx, &wire.ReadRequest{Shard: 0, Key: controlclient.ConfigKey})
func (c *Client) Read(ctx context.Context, a *wire.ReadRequest) (*wire.ReadResponse, error) {
	var got *wire.ReadResponse
	c.tryMembers(ctx, a.Shard, 0, func(ctx context.Context, n wire.ControlNode) attemptResult {
		t, err := n.Read(ctx, a)
		if err != nil || t.Outcome != wire.OutcomeDone {
			return attemptResult{responded: err == nil, leader: t.GetLeader()}
		}
		got = t
		return attemptResult{done: true, responded: true}
	})
	if got == nil {
		return nil, errs.New(errs.OutcomeUnknown, "shard %d has no leader that answers", a.Shard)
	}
	return got, nil
}
