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

// Timing of the lease. A shorter lease replaces a lost holder sooner and costs more renewals.
const (
	// leaseTTLRatio is the duration of the lease, as a ratio of the leave bound: a lost holder is
	// replaced before the worker list is older than that bound.
	leaseTTLRatio = 0.4
	// releaseTimeoutRatio is the timeout of releasing the lease, as a ratio of the leave bound.
	releaseTimeoutRatio = 0.4

	// Ratios of the lease's duration.
	renewalRatio      = 0.4       // between two renewals
	pollRatio         = 0.2       // between two checks whether a renewal is due
	standbyPollRatio  = 0.5       // between two requests while the holder is seen alive
	minOrderTimeRatio = 1.0 / 100 // no order is sent with less than this left
)

// stateStore reads and changes the replicated control state.
type stateStore interface {
	Change(ctx context.Context, request *wire.ChangeRequest) (*wire.ChangeResponse, error)
	Read(ctx context.Context, request *wire.ReadRequest) (*wire.ReadResponse, error)
}

// siteLease is the site's lease as this process holds it or campaigns for it.
type siteLease struct {
	clock      clock.Clock
	store      stateStore
	lease      *controlclient.Lease
	machine    string        // this machine's name
	orderDelay time.Duration // how long a past holder's last order may still be in flight

	mu           sync.Mutex
	deadline     time.Duration // when the lease ends on this machine
	requestedAt  time.Duration // when the lease was last requested
	holder       string        // the last known holder: MACHINE/INCARNATION
	fencingToken uint64
	firstOrderAt time.Duration // no order is sent earlier under fencingToken
}

func newSiteLease(machine string, site *settings.Site, bounds settings.Bounds, clk clock.Clock, store stateStore) *siteLease {
	ttl := min(settings.Fraction(site.LeaseMs, 1), bounds.Leave(leaseTTLRatio))
	return &siteLease{
		clock:       clk,
		store:       store,
		lease:       controlclient.NewLease(nil, clk, LeaseName, 0, fmt.Sprintf("%s/%x", machine, clk.Now()), ttl),
		machine:     machine,
		orderDelay:  settings.Fraction(site.LeaseMs, 1),
		requestedAt: -ttl,
	}
}

// holderID is the name under which this process holds the lease.
func (l *siteLease) holderID() string { return l.lease.Holder }

// renewalDue reports whether to request the lease now. The holder renews it; the others request it
// rarely while the holder is seen alive, and often once it isn't.
func (l *siteLease) renewalDue(now time.Duration, view clustermembership.View) bool {
	_, isHolder := l.lease.FencingToken()
	l.mu.Lock()
	defer l.mu.Unlock()
	interval := l.fractionOfTTL(renewalRatio)
	if !isHolder && l.isHolderAlive(view) {
		interval = l.fractionOfTTL(standbyPollRatio)
	}
	return now-l.requestedAt >= interval
}

// isHolderAlive reports whether the cluster membership shows the machine of another holder alive. An
// earlier incarnation on this very machine has ended. The caller holds mu.
func (l *siteLease) isHolderAlive(view clustermembership.View) bool {
	machine, _, ok := strings.Cut(l.holder, "/")
	if !ok || l.holder == l.holderID() || machine == l.machine {
		return false
	}
	for _, node := range view.WithRole(clustermembership.RolePromptIndex) {
		if node.State == clustermembership.Alive && node.Name == clustermembership.RolePromptIndex+"/"+machine {
			return true
		}
	}
	return false
}

func (l *siteLease) fractionOfTTL(ratio float64) time.Duration {
	return time.Duration(float64(l.lease.TTL) * ratio)
}

// renew requests the lease, or its extension.
func (l *siteLease) renew(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, l.lease.TTL) // a silent control node uses up a part of it
	defer cancel()
	requestedAt := l.clock.Now()
	l.mu.Lock()
	l.requestedAt = requestedAt
	l.mu.Unlock()
	response, err := l.requestGrant(ctx, l.lease.GrantRequest())
	l.applyResponse(requestedAt, response)
	return err
}

func (l *siteLease) requestGrant(ctx context.Context, grant *wire.Grant) (*wire.ChangeResponse, error) {
	return l.store.Change(ctx, &wire.ChangeRequest{Command: &wire.Command{Kind: &wire.Command_Grant{Grant: grant}}})
}

// applyResponse records the response to a lease request that was sent at requestedAt.
func (l *siteLease) applyResponse(requestedAt time.Duration, response *wire.ChangeResponse) {
	l.lease.HandleResponse(requestedAt, response)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch response.GetOutcome() {
	case wire.OutcomeDone:
		l.holder = l.holderID()
		if l.fencingToken != response.Fence {
			l.fencingToken = response.Fence
			l.firstOrderAt = l.clock.Now() + l.orderDelay // the previous holder may have sent an order just now
			if response.Fence == 1 {
				l.firstOrderAt = 0 // the first holder has no predecessor
			}
		}
		l.deadline = requestedAt + l.fractionOfTTL(1-settings.LeaseMarginRatio)
	case wire.OutcomeConflict:
		l.holder = response.Leader
		if response.Leader == "" || response.Leader == l.holderID() {
			l.requestedAt = -l.lease.TTL // only the fencing token was unknown: request it again at the next check
		}
	}
}

// currentToken returns the fencing token, and whether the lease is held.
func (l *siteLease) currentToken() (uint64, bool) { return l.lease.FencingToken() }

// earliestOrder is the earliest instant for the first order under the current fencing token.
func (l *siteLease) earliestOrder() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.firstOrderAt
}

// remaining returns the fencing token and how long an order that is sent now may take; false if none
// may be sent. Whether a worker may get one this early under the token is up to the rollout.
func (l *siteLease) remaining() (uint64, time.Duration, bool) {
	token, ok := l.lease.FencingToken()
	l.mu.Lock()
	defer l.mu.Unlock()
	left := l.deadline - l.clock.Now()
	return token, left, ok && token == l.fencingToken && left >= l.fractionOfTTL(minOrderTimeRatio)
}

// release lets another machine acquire the lease at once.
func (l *siteLease) release(ctx context.Context) error {
	if _, ok := l.lease.FencingToken(); !ok {
		return nil
	}
	grant := l.lease.GrantRequest()
	grant.Release = true
	// From here on the lease isn't held on this machine, whatever the response will be.
	l.lease.HandleResponse(0, &wire.ChangeResponse{Outcome: wire.OutcomeConflict, Fence: grant.IfFence})
	_, err := l.requestGrant(ctx, grant)
	return err
}
