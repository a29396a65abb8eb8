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

// LeaseName is the name of the lease whose holder runs the site-wide controllers.
const LeaseName = "site"

// Timing of the lease. With a shorter lease, a failed holder is replaced sooner, at the cost of more
// renewals.
const (
	// leaseTTLRatio is the duration of the lease as a fraction of Bounds.Leave. It is below 1, so that a
	// failed holder is replaced before the worker list is older than that bound.
	leaseTTLRatio = 0.4
	// releaseTimeoutRatio is the timeout for releasing the lease, as a fraction of Bounds.Leave.
	releaseTimeoutRatio = 0.4

	// Fractions of the lease duration.
	renewalRatio      = 0.4       // interval between renewals
	pollRatio         = 0.2       // interval between checks of whether a renewal is due
	standbyPollRatio  = 0.5       // interval between requests of a non-holder while the holder is alive
	minOrderTimeRatio = 1.0 / 100 // no order is sent when less than this remains of the lease
)

// stateStore reads and changes the replicated control state.
type stateStore interface {
	Change(ctx context.Context, request *wire.ChangeRequest) (*wire.ChangeResponse, error)
	Read(ctx context.Context, request *wire.ReadRequest) (*wire.ReadResponse, error)
}

// siteLease is this process's view of the site's lease, which it holds or tries to acquire.
type siteLease struct {
	clock      clock.Clock
	store      stateStore
	lease      *controlclient.Lease
	machine    string        // this machine's name
	orderDelay time.Duration // how long the last order of a previous holder may still be in flight

	mu           sync.Mutex
	deadline     time.Duration // when this machine stops acting as holder
	requestedAt  time.Duration // when the lease was last requested
	holder       string        // last known holder, as MACHINE/INCARNATION
	fencingToken uint64
	firstOrderAt time.Duration // earliest time of an order with fencingToken
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

// holderID returns the name under which this process requests the lease: MACHINE/INCARNATION.
func (l *siteLease) holderID() string { return l.lease.Holder }

// renewalDue reports whether the lease should be requested now. The holder requests it to renew it; other
// machines request it at a longer interval while the holder is alive, and at the renewal interval otherwise.
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

// isHolderAlive reports whether the cluster membership shows the holder's machine as alive. It is false if
// the holder is this process, or an earlier process on this machine, which has ended. The caller must hold
// l.mu.
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

// renew requests the lease or, for the current holder, extends it.
func (l *siteLease) renew(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, l.lease.TTL) // leaves time to try another control node when one does not respond
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
			l.firstOrderAt = l.clock.Now() + l.orderDelay // the previous holder may have sent an order recently
			if response.Fence == 1 {
				l.firstOrderAt = 0 // there was no previous holder
			}
		}
		l.deadline = requestedAt + l.fractionOfTTL(1-settings.LeaseMarginRatio)
	case wire.OutcomeConflict:
		l.holder = response.Leader
		if response.Leader == "" || response.Leader == l.holderID() {
			// The request was rejected only for its outdated fencing token: retry at the next check.
			l.requestedAt = -l.lease.TTL
		}
	}
}

// currentToken returns the last known fencing token, and whether this process holds the lease.
func (l *siteLease) currentToken() (uint64, bool) { return l.lease.FencingToken() }

// earliestOrder returns the earliest time at which an order may be sent with the current fencing token.
func (l *siteLease) earliestOrder() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.firstOrderAt
}

// remaining returns the fencing token, the time left until the lease ends, and whether an order may be sent
// now. It does not check earliestOrder; the rollout does that for each worker.
func (l *siteLease) remaining() (uint64, time.Duration, bool) {
	token, ok := l.lease.FencingToken()
	l.mu.Lock()
	defer l.mu.Unlock()
	untilDeadline := l.deadline - l.clock.Now()
	return token, untilDeadline, ok && token == l.fencingToken && untilDeadline >= l.fractionOfTTL(minOrderTimeRatio)
}

// release gives up the lease, so that another machine can acquire it immediately.
func (l *siteLease) release(ctx context.Context) error {
	if _, ok := l.lease.FencingToken(); !ok {
		return nil
	}
	grant := l.lease.GrantRequest()
	grant.Release = true
	// Stop acting as holder before the release is sent: its response may be lost.
	l.lease.HandleResponse(0, &wire.ChangeResponse{Outcome: wire.OutcomeConflict, Fence: grant.IfFence})
	_, err := l.requestGrant(ctx, grant)
	return err
}
