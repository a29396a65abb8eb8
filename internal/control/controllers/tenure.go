package controllers

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/control/clustermembership"
	"pebbleloom/internal/control/controlclient"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

// Lease is the name of the one lease under which the site's duties are done.
const Lease = "site"

// The lease's constants, as ratios.
const (
	leasePart = 0.4       // of the leave bound: a lost holder is followed while the list's news still counts
	renewPart = 0.4       // of the lease: between two renewals
	lookPart  = 0.2       // of the lease: between two looks at whether to ask
	waitPart  = 0.5       // of the lease: between two questions of one that sees the holder alive
	givePart  = 0.4       // of the leave bound: for giving the lease back
	landPart  = 1.0 / 100 // of the lease: an order isn't begun with less than this left
)

// control is the way to the control state.
type control interface {
	Change(ctx context.Context, a *wire.ChangeRequest) (*wire.ChangeResponse, error)
	Read(ctx context.Context, a *wire.ReadRequest) (*wire.ReadResponse, error)
}

// tenure holds the lease for this life of the process, or asks for it.
type tenure struct {
	clk   clock.Clock
	ctl   control
	lease *controlclient.Lease
	name  string // of this machine
	apart time.Duration

	mu    sync.Mutex
	until time.Duration // the lease ends here then
	asked time.Duration
	owner string // who holds it, as far as known
	fence uint64
	first time.Duration // no order goes off before, under this fence
}

func newTenure(name string, site *settings.Site, b settings.Bounds, clk clock.Clock, ctl control) *tenure {
	ttl := min(settings.Of(site.LeaseMs, 1), b.Leave(leasePart))
	n := &tenure{clk: clk, ctl: ctl, name: name, apart: settings.Of(site.LeaseMs, 1), asked: -ttl}
	n.lease = controlclient.NewLease(nil, clk, Lease, 0, fmt.Sprintf("%s/%x", name, clk.Now()), ttl)
	return n
}

// due tells whether to ask for the lease now. The holder renews; others ask rarely while the
// roster shows the holder's machine alive, and often once it doesn't. An earlier life on this
// very machine is no more.
func (n *tenure) due(now time.Duration, v clustermembership.View) bool {
	_, held := n.lease.Held()
	n.mu.Lock()
	defer n.mu.Unlock()
	pace := n.part(renewPart)
	if m, _, ok := strings.Cut(n.owner, "/"); !held && n.owner != n.lease.Holder && ok && m != n.name {
		for _, x := range v.Role("catalogue") {
			if x.State == clustermembership.Alive && x.Name == "catalogue/"+m {
				pace = n.part(waitPart)
			}
		}
	}
	return now-n.asked >= pace
}

func (n *tenure) part(r float64) time.Duration { return time.Duration(float64(n.lease.TTL) * r) }

// renew asks for the lease, or for more of it.
func (n *tenure) renew(ctx context.Context) error {
	ctx, end := context.WithTimeout(ctx, n.lease.TTL) // a silent member uses up a part of it
	defer end()
	asked := n.clk.Now()
	n.mu.Lock()
	n.asked = asked
	n.mu.Unlock()
	t, err := n.ctl.Change(ctx, &wire.ChangeRequest{Command: &wire.Command{Kind: &wire.Command_Grant{Grant: n.lease.Ask()}}})
	n.tell(asked, t)
	return err
}

// tell takes the answer to a question for the lease.
func (n *tenure) tell(asked time.Duration, t *wire.ChangeResponse) {
	n.lease.Tell(asked, t)
	n.mu.Lock()
	defer n.mu.Unlock()
	switch t.GetOutcome() {
	case "done":
		if n.owner = n.lease.Holder; n.fence != t.Fence {
			// Whoever held it before may have ordered until just now; nobody has before the first.
			if n.fence, n.first = t.Fence, n.clk.Now()+n.apart; t.Fence == 1 {
				n.first = 0
			}
		}
		n.until = asked + n.part(1-settings.MarginPart)
	case wire.OutcomeConflict:
		if n.owner = t.Leader; t.Leader == "" || t.Leader == n.lease.Holder {
			n.asked = -n.lease.TTL // only the fence wasn't known: ask again at the next look
		}
	}
}

// held gives the fence while the lease is held.
func (n *tenure) held() (uint64, bool) { return n.lease.Held() }

// from is when the first order may go under the fence.
func (n *tenure) from() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.first
}

// left gives the fence, and how long an order that begins now may take; false: none may begin.
// Whether a worker may have one so soon after the holder before is the roll-out's to say.
func (n *tenure) left() (uint64, time.Duration, bool) {
	fence, ok := n.lease.Held()
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.clk.Now()
	d := n.until - now
	return fence, d, ok && fence == n.fence && d >= n.part(landPart)
}

// giveBack lets another have the lease at once.
func (n *tenure) giveBack(ctx context.Context) error {
	if _, ok := n.lease.Held(); !ok {
		return nil
	}
	g := n.lease.Ask()
	g.GiveUp = true
	n.lease.Tell(0, &wire.ChangeResponse{Outcome: wire.OutcomeConflict, Fence: g.IfFence}) // not held here from now on
	_, err := n.ctl.Change(ctx, &wire.ChangeRequest{Command: &wire.Command{Kind: &wire.Command_Grant{Grant: g}}})
	return err
}
