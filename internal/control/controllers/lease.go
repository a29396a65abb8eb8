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

// LeaseName is the name of the site's one lease.
const LeaseName = "site"

// Timing of the lease, as ratios of bounds.
const (
	leaseTTLRatio       = 0.4       // of the leave bound: a lost holder is replaced before the worker list is too old
	renewalRatio        = 0.4       // of the lease: between two renewals
	pollRatio           = 0.2       // of the lease: between two checks whether a renewal is due
	standbyPollRatio    = 0.5       // of the lease: between two requests while the holder is seen alive
	releaseTimeoutRatio = 0.4       // of the leave bound: timeout of releasing the lease
	minOrderTimeRatio   = 1.0 / 100 // of the lease: no order is sent with less than this left
)

// stateStore reads and changes the control state.
type stateStore interface {
	Change(ctx context.Context, a *wire.ChangeRequest) (*wire.ChangeResponse, error)
	Read(ctx context.Context, a *wire.ReadRequest) (*wire.ReadResponse, error)
}

// siteLease is this process's hold on the site's lease, or its attempt to get it.
type siteLease struct {
	clock      clock.Clock
	store      stateStore
	lease      *controlclient.Lease
	machine    string // this machine's name
	orderDelay time.Duration

	mu           sync.Mutex
	deadline     time.Duration // the lease ends then on this machine
	requestedAt  time.Duration
	holder       string // the last known holder
	fencingToken uint64
	firstOrderAt time.Duration // under this fence, no order is sent before
}

func newSiteLease(name string, site *settings.Site, b settings.Bounds, clk clock.Clock, ctl stateStore) *siteLease {
	ttl := min(settings.Fraction(site.LeaseMs, 1), b.Leave(leaseTTLRatio))
	n := &siteLease{clock: clk, store: ctl, machine: name, orderDelay: settings.Fraction(site.LeaseMs, 1), requestedAt: -ttl}
	n.lease = controlclient.NewLease(nil, clk, LeaseName, 0, fmt.Sprintf("%s/%x", name, clk.Now()), ttl)
	return n
}

// renewalDue reports whether to request the lease now. The holder renews; the others request it rarely
// while the cluster membership shows the holder's machine alive, and often once it doesn't. An earlier
// incarnation on this very machine is gone.
func (n *siteLease) renewalDue(now time.Duration, v clustermembership.View) bool {
	_, held := n.lease.FencingToken()
	n.mu.Lock()
	defer n.mu.Unlock()
	pace := n.fractionOfTTL(renewalRatio)
	if m, _, ok := strings.Cut(n.holder, "/"); !held && n.holder != n.lease.Holder && ok && m != n.machine {
		for _, x := range v.WithRole(clustermembership.RolePromptIndex) {
			if x.State == clustermembership.Alive && x.Name == clustermembership.RolePromptIndex+"/"+m {
				pace = n.fractionOfTTL(standbyPollRatio)
			}
		}
	}
	return now-n.requestedAt >= pace
}

func (n *siteLease) fractionOfTTL(r float64) time.Duration {
	return time.Duration(float64(n.lease.TTL) * r)
}

// renew requests the lease, or its extension.
func (n *siteLease) renew(ctx context.Context) error {
	ctx, end := context.WithTimeout(ctx, n.lease.TTL) // a silent control node uses up a share of it
	defer end()
	asked := n.clock.Now()
	n.mu.Lock()
	n.requestedAt = asked
	n.mu.Unlock()
	t, err := n.store.Change(ctx, &wire.ChangeRequest{Command: &wire.Command{Kind: &wire.Command_Grant{Grant: n.lease.GrantRequest()}}})
	n.applyResponse(asked, t)
	return err
}

// applyResponse records the response to a lease request that was sent at the instant asked.
func (n *siteLease) applyResponse(asked time.Duration, t *wire.ChangeResponse) {
	n.lease.HandleResponse(asked, t)
	n.mu.Lock()
	defer n.mu.Unlock()
	switch t.GetOutcome() {
	case "done":
		if n.holder = n.lease.Holder; n.fencingToken != t.Fence {
			// The previous holder may have sent an order just now; the first has no predecessor.
			if n.fencingToken, n.firstOrderAt = t.Fence, n.clock.Now()+n.orderDelay; t.Fence == 1 {
				n.firstOrderAt = 0
			}
		}
		n.deadline = asked + n.fractionOfTTL(1-settings.LeaseMarginRatio)
	case wire.OutcomeConflict:
		if n.holder = t.Leader; t.Leader == "" || t.Leader == n.lease.Holder {
			n.requestedAt = -n.lease.TTL // only the fence was unknown: request it again at the next check
		}
	}
}

// currentToken returns the fence while the lease is held.
func (n *siteLease) currentToken() (uint64, bool) { return n.lease.FencingToken() }

// earliestOrder is the earliest instant for the first order under the fence.
func (n *siteLease) earliestOrder() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.firstOrderAt
}

// remaining returns the fence and how long an order that is sent now may take; false if none may be
// sent. Whether a worker may get one so soon after the previous holder is up to the rollout.
func (n *siteLease) remaining() (uint64, time.Duration, bool) {
	fence, ok := n.lease.FencingToken()
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.clock.Now()
	d := n.deadline - now
	return fence, d, ok && fence == n.fencingToken && d >= n.fractionOfTTL(minOrderTimeRatio)
}

// release lets another machine acquire the lease at once.
func (n *siteLease) release(ctx context.Context) error {
	if _, ok := n.lease.FencingToken(); !ok {
		return nil
	}
	g := n.lease.GrantRequest()
	g.Release = true
	n.lease.HandleResponse(0, &wire.ChangeResponse{Outcome: wire.OutcomeConflict, Fence: g.IfFence}) // no longer held here
	_, err := n.store.Change(ctx, &wire.ChangeRequest{Command: &wire.Command{Kind: &wire.Command_Grant{Grant: g}}})
	return err
}
