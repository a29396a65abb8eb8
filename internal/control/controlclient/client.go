// Package controlclient is the way from any process to the parts of the control state: it finds
// the owner, goes on when one is lost, and says plainly when it can't tell.
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

// Parts is how many parts the control state is cut into. Part 0 holds the setup.
const Shards = 8

// SetupKey is the document that holds the site's setup, in part 0.
const SetupKey = "setup"

// PartOf names the part of a service.
//
// Example: link.PartOf("appraisals")
func ShardOf(service string) uint32 { return 1 + uint32(queue.Hash(service)%(Shards-1)) }

// Members names the three of the four core machines that keep a part.
//
// Example: link.Members(0, core)
func Members(part uint32, core []string) []string {
	l := append([]string(nil), core...)
	sort.Strings(l)
	if len(l) < 4 {
		return l
	}
	i := int(part) % len(l)
	return append(l[:i:i], l[i+1:]...)
}

// Control asks the parts.
type Client struct {
	core   []string
	view   func() clustermembership.View
	calls  *daemon.Clients
	bounds settings.Bounds
	group  *groupAddresses // nil where the core machines are named
}

// New makes the way to the parts kept by the named core machines.
//
// Example: c := link.New(place.Core, member.View, calls, place.Bounds)
func New(core []string, view func() clustermembership.View, calls *daemon.Clients, b settings.Bounds) *Client {
	return &Client{core: core, view: view, calls: calls, bounds: b}
}

// each tries a part's members in turn, the named owner first, until done says so or the
// time is over.
func (c *Client) eachMember(ctx context.Context, part uint32, try func(context.Context, wire.Archive) (done bool, owner string)) bool {
	// The whole time bounds when a try may begin; a try that has begun has its own, so that the
	// end of the whole doesn't leave an answer unheard.
	if c.group != nil {
		return c.eachAddress(ctx, try)
	}
	asker := ctx
	ctx, end := context.WithTimeout(ctx, c.bounds.Heal(0.5))
	defer end()
	ms := Members(part, c.core)
	next := ""
	for i := 0; ctx.Err() == nil; i++ {
		m := ms[i%len(ms)]
		if next != "" {
			m, next = next, ""
		}
		if addr, ok := c.view().Addr("archive/" + m); ok {
			one, stop := context.WithTimeout(asker, c.bounds.Heal(1.0/8))
			done, owner := try(one, c.calls.ControlNode(addr))
			stop()
			if done {
				return true
			}
			if owner != m {
				next = owner
			}
		}
		if i%len(ms) == len(ms)-1 {
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
// Example: t, err := c.Change(ctx, &wire.ChangeAsk{Part: 0, Command: cmd})
func (c *Client) Change(ctx context.Context, a *wire.ChangeRequest) (*wire.ChangeResponse, error) {
	var got *wire.ChangeResponse
	lost := false
	put := a.Command.GetPut()
	once := put != nil && put.Token == "" && put.AnyVersion
	guarded := put != nil && put.Token == "" && !put.AnyVersion
	c.eachMember(ctx, a.Shard, func(ctx context.Context, n wire.Archive) (bool, string) {
		t, err := n.Change(ctx, a)
		if err != nil || t.Outcome == wire.OutcomeUnknown {
			// A refused connection proves that it never began; anything else doesn't.
			lost = lost || err == nil || !strings.Contains(err.Error(), "connection refused")
			return lost && once, ""
		}
		if t.Outcome == wire.OutcomeNotLeader || t.Outcome == wire.OutcomeOverloaded {
			return false, t.Leader
		}
		got = t
		return true, ""
	})
	if got == nil && lost && !a.DryRun {
		return nil, errs.New(errs.MayHaveRun, "the change was sent, and no answer came")
	}
	if got == nil {
		return nil, errs.New(errs.CantSay, "part %d has no owner that answers", a.Shard)
	}
	if got.Outcome == wire.OutcomeConflict && lost && guarded {
		return nil, errs.New(errs.MayHaveRun, "an answer was lost, and epoch %d is in force now: read it back", got.Version)
	}
	return got, ErrorOf(got)
}

// Verdict is the error that the answer to a change amounts to; nil where it was made.
//
// Example: err := link.Verdict(tell)
func ErrorOf(t *wire.ChangeResponse) error {
	switch t.Outcome {
	case wire.OutcomeDone, wire.OutcomeValid:
		return nil
	case wire.OutcomeConflict:
		return errs.New(errs.Conflict, "epoch or fence in force: %d/%d %s", t.Version, t.Fence, t.Leader)
	}
	return errs.New(errs.Named(t.Outcome), "%s", strings.Join(t.Errors, "; "))
}

// Read reads what was acknowledged, or says that it can't tell.
//
// Example: t, err := c.Read(ctx, &wire.ReadAsk{Part: 0, Key: "setup"})
func (c *Client) Read(ctx context.Context, a *wire.ReadRequest) (*wire.ReadResponse, error) {
	var got *wire.ReadResponse
	c.eachMember(ctx, a.Shard, func(ctx context.Context, n wire.Archive) (bool, string) {
		t, err := n.Read(ctx, a)
		if err != nil || t.Outcome != wire.OutcomeDone {
			return false, t.GetLeader()
		}
		got = t
		return true, ""
	})
	if got == nil {
		return nil, errs.New(errs.CantSay, "part %d has no owner that answers", a.Shard)
	}
	return got, nil
}
