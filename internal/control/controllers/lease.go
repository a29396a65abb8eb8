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

// LeaseName is the name of the site's lease, whose holder runs the site-wide controllers.
const LeaseName = "site"

// Timing of the site's lease. With a shorter lease, a failed holder is replaced sooner, at the cost of more
// renewals.
const (
	// leaseTTLRatio is the upper limit of the lease duration, as a fraction of the worker removal bound
	// Bounds.Leave. It is below 1, so that a failed holder is replaced before the worker list is older than that
	// bound.
	leaseTTLRatio = 0.4
	// releaseTimeoutRatio is the timeout for releasing the lease, as a fraction of the worker removal bound
	// Bounds.Leave.
	releaseTimeoutRatio = 0.4
	// renewalRatio is the interval at which the holder renews the lease, as a fraction of the lease duration.
	renewalRatio = 0.4
	// pollRatio is the interval between checks of whether a lease request is due, as a fraction of the lease
	// duration.
	pollRatio = 0.2
	// standbyPollRatio is the interval at which a machine that does not hold the lease requests it while the
	// holder is alive, as a fraction of the lease duration.
	standbyPollRatio = 0.5
	// minOrderTimeRatio is the minimum remaining time of the lease at which the holder may still send an order
	// to a worker, as a fraction of the lease duration.
	minOrderTimeRatio = 1.0 / 100
)

// stateStore reads and changes the replicated control state, as a controlclient.Client does.
type stateStore interface {
	Change(ctx context.Context, request *wire.ChangeRequest) (*wire.ChangeResponse, error)
	Read(ctx context.Context, request *wire.ReadRequest) (*wire.ReadResponse, error)
}

// siteLease is this process's view of the site's lease, which it holds or tries to acquire.
type siteLease struct {
	clock      clock.Clock
	store      stateStore
	lease      *controlclient.Lease
	machine    string        // name of this machine
	orderDelay time.Duration // maximum time for which the last order of a previous lease holder may still be in flight

	mu           sync.Mutex
	deadline     time.Duration // clock time from which this machine no longer acts as the lease holder
	requestedAt  time.Duration // clock time at which this machine last requested the lease
	holder       string        // last known holder of the lease, as MACHINE/INCARNATION
	fencingToken uint64        // fencing token with which this machine last acquired the lease
	firstOrderAt time.Duration // earliest clock time for sending an order with fencingToken
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

// holderID returns the name under which this process requests the site's lease: MACHINE/INCARNATION.
func (l *siteLease) holderID() string { return l.lease.Holder }

// renewalDue reports whether this machine should request the site's lease now. The holder does so to renew the
// lease. Other machines request it at a longer interval while the holder is alive, and at the renewal interval
// otherwise.
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

// isHolderAlive reports whether the cluster membership shows the machine of the last known lease holder as alive.
// It returns false if that holder is this process, or an earlier process on this machine, which has ended. The
// caller must hold l.mu.
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

// renew requests the site's lease or, if this process already holds it, extends it.
func (l *siteLease) renew(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, l.lease.TTL) // this timeout leaves time to try another control node when one does not respond
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

// applyResponse applies the response to a request for the site's lease that was sent at requestedAt.
func (l *siteLease) applyResponse(requestedAt time.Duration, response *wire.ChangeResponse) {
	l.lease.HandleResponse(requestedAt, response)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch response.GetOutcome() {
	case wire.OutcomeDone:
		l.holder = l.holderID()
		if l.fencingToken != response.Fence {
			l.fencingToken = response.Fence
			l.firstOrderAt = l.clock.Now() + l.orderDelay // an order of the previous lease holder may still be in flight
			if response.Fence == 1 {
				l.firstOrderAt = 0 // token 1 is the first ever granted, so there was no previous holder
			}
		}
		l.deadline = requestedAt + l.fractionOfTTL(1-settings.LeaseMarginRatio)
	case wire.OutcomeConflict:
		l.holder = response.Leader
		if response.Leader == "" || response.Leader == l.holderID() {
			// The lease is free or held by this process, so the request was rejected only for its outdated
			// fencing token. Setting the time of that request back causes a new request at the next poll.
			l.requestedAt = -l.lease.TTL
		}
	}
}

// currentToken returns the highest known fencing token of the site's lease, and whether this process holds the lease
// now.
func (l *siteLease) currentToken() (uint64, bool) { return l.lease.FencingToken() }

// earliestOrder returns the earliest time at which this process may send an order with its current fencing token to a
// worker that may have received one from a previous lease holder.
func (l *siteLease) earliestOrder() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.firstOrderAt
}

// remaining returns the lease's fencing token, the time until this machine stops acting as the lease holder, and
// whether enough of that time remains to send an order now. It does not check earliestOrder; the rollout does that for
// each worker.
func (l *siteLease) remaining() (uint64, time.Duration, bool) {
	token, ok := l.lease.FencingToken()
	l.mu.Lock()
	defer l.mu.Unlock()
	untilDeadline := l.deadline - l.clock.Now()
	return token, untilDeadline, ok && token == l.fencingToken && untilDeadline >= l.fractionOfTTL(minOrderTimeRatio)
}

// release gives up the site's lease, so that another machine can acquire it immediately.
func (l *siteLease) release(ctx context.Context) error {
	if _, ok := l.lease.FencingToken(); !ok {
		return nil
	}
	grant := l.lease.GrantRequest()
	grant.Release = true
	// Stop acting as the lease holder before the release is sent, because the response to it may be lost.
	l.lease.HandleResponse(0, &wire.ChangeResponse{Outcome: wire.OutcomeConflict, Fence: grant.IfFence})
	_, err := l.requestGrant(ctx, grant)
	return err
}
