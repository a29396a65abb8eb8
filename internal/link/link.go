// Package link is the way from any process to the parts of the control state: it finds
// the owner, goes on when one is lost, and says plainly when it can't tell.
package link

import (
	"context"
	"sort"
	"strings"
	"time"

	"pebbleloom/internal/daemon"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/queue"
	"pebbleloom/internal/roster"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

// Parts is how many parts the control state is cut into. Part 0 holds the setup.
const Parts = 8

// SetupKey is the document that holds the site's setup, in part 0.
const SetupKey = "setup"

// PartOf names the part of a service.
//
// Example: link.PartOf("appraisals")
func PartOf(service string) uint32 { return 1 + uint32(queue.Hash(service)%(Parts-1)) }

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
type Control struct {
	core  []string
	view  func() roster.View
	calls *daemon.Calls
	b     settings.Bounds
	group *seats // nil where the core machines are named
}

// New makes the way to the parts kept by the named core machines.
//
// Example: c := link.New(place.Core, member.View, calls, place.Bounds)
func New(core []string, view func() roster.View, calls *daemon.Calls, b settings.Bounds) *Control {
	return &Control{core: core, view: view, calls: calls, b: b}
}

// each tries a part's members in turn, the named owner first, until done says so or the
// time is over.
func (c *Control) each(ctx context.Context, part uint32, try func(context.Context, wire.Archive) (done bool, owner string)) bool {
	// The whole time bounds when a try may begin; a try that has begun has its own, so that the
	// end of the whole doesn't leave an answer unheard.
	if c.group != nil {
		return c.eachSeat(ctx, try)
	}
	asker := ctx
	ctx, end := context.WithTimeout(ctx, c.b.Heal(0.5))
	defer end()
	ms := Members(part, c.core)
	next := ""
	for i := 0; ctx.Err() == nil; i++ {
		m := ms[i%len(ms)]
		if next != "" {
			m, next = next, ""
		}
		if addr, ok := c.view().Addr("archive/" + m); ok {
			one, stop := context.WithTimeout(asker, c.b.Heal(1.0/8))
			done, owner := try(one, c.calls.Archive(addr))
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
			case <-time.After(c.b.Heal(1.0 / 120)):
			}
		}
	}
	return false
}

// Change makes a change once. A put without a token isn't asked again after an answer was
// lost, so that it can't happen twice.
//
// Example: t, err := c.Change(ctx, &wire.ChangeAsk{Part: 0, Command: cmd})
func (c *Control) Change(ctx context.Context, a *wire.ChangeAsk) (*wire.ChangeTell, error) {
	var got *wire.ChangeTell
	lost := false
	put := a.Command.GetPut()
	once := put != nil && put.Token == "" && put.AnyEpoch
	guarded := put != nil && put.Token == "" && !put.AnyEpoch
	c.each(ctx, a.Part, func(ctx context.Context, n wire.Archive) (bool, string) {
		t, err := n.Change(ctx, a)
		if err != nil || t.Outcome == "cant-say" {
			// A refused connection proves that it never began; anything else doesn't.
			lost = lost || err == nil || !strings.Contains(err.Error(), "connection refused")
			return lost && once, ""
		}
		if t.Outcome == "not-owner" || t.Outcome == "overloaded" {
			return false, t.Owner
		}
		got = t
		return true, ""
	})
	if got == nil && lost && !a.Dry {
		return nil, errs.New(errs.MayHaveRun, "the change was sent, and no answer came")
	}
	if got == nil {
		return nil, errs.New(errs.CantSay, "part %d has no owner that answers", a.Part)
	}
	if got.Outcome == "epoch-conflict" && lost && guarded {
		return nil, errs.New(errs.MayHaveRun, "an answer was lost, and epoch %d is in force now: read it back", got.Epoch)
	}
	return got, Verdict(got)
}

// Verdict is the error that the answer to a change amounts to; nil where it was made.
//
// Example: err := link.Verdict(tell)
func Verdict(t *wire.ChangeTell) error {
	switch t.Outcome {
	case "done", "valid":
		return nil
	case "epoch-conflict":
		return errs.New(errs.Conflict, "epoch or fence in force: %d/%d %s", t.Epoch, t.Fence, t.Owner)
	}
	return errs.New(errs.Named(t.Outcome), "%s", strings.Join(t.Faults, "; "))
}

// Read reads what was acknowledged, or says that it can't tell.
//
// Example: t, err := c.Read(ctx, &wire.ReadAsk{Part: 0, Key: "setup"})
func (c *Control) Read(ctx context.Context, a *wire.ReadAsk) (*wire.ReadTell, error) {
	var got *wire.ReadTell
	c.each(ctx, a.Part, func(ctx context.Context, n wire.Archive) (bool, string) {
		t, err := n.Read(ctx, a)
		if err != nil || t.Outcome != "done" {
			return false, t.GetOwner()
		}
		got = t
		return true, ""
	})
	if got == nil {
		return nil, errs.New(errs.CantSay, "part %d has no owner that answers", a.Part)
	}
	return got, nil
}
