// Package controllers runs the site-wide controllers: the worker list, the rollout of named weights
// and the placement of each service. They are a singleton role: every core machine runs a Controller,
// and the one that holds the site's lease runs a session, in which the controllers reconcile the
// desired with the observed state.
//
// Each grant of the lease to another holder raises its fencing token. Documents are written, and
// orders sent, under the token of the session, so that a past holder can't change anything.
//
// A worker that is to load other weights is cordoned first: the stored placement names it, and proxies
// send it no new requests while it does.
//
// Durations are ratios of the site's bounds (settings.Bounds): the leave bound, within which a worker
// that left gets no more requests, the weights bound, within which older weights are out of use, and the
// heal bound, within which service is restored after a fault.
//
// The package drives workers through a backend.Client. Package placementcontroller is its counterpart for
// workers that speak the product's own contract.
package controllers

import (
	"context"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/control/clustermembership"
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/data/backend"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/fleet"
)

// Controller campaigns for the site's lease and runs a session while it holds it.
type Controller struct {
	process        *daemon.Process
	store          stateStore
	workerClient   backend.Client
	latestSnapshot func() *fleet.Snapshot
	membership     func() clustermembership.View
	hotEntries     HotEntriesFunc
	lease          *siteLease
	session        *session      // nil unless this machine holds the lease
	sessionDone    chan struct{} // closed once the session's goroutines have ended
	released       chan struct{} // closed once the lease has been released
}

// Start campaigns for the lease and runs the controllers while it is held.
//
// Example: controllers.Start(process, client, calls, agent.Snapshot, agent.Membership, hotEntries)
func Start(process *daemon.Process, store stateStore, workerClient backend.Client, latestSnapshot func() *fleet.Snapshot,
	membership func() clustermembership.View, hotEntries HotEntriesFunc) *Controller {
	c := &Controller{
		process:        process,
		store:          store,
		workerClient:   workerClient,
		latestSnapshot: latestSnapshot,
		membership:     membership,
		hotEntries:     hotEntries,
		released:       make(chan struct{}),
	}
	c.lease = newSiteLease(process.Settings.Name, process.Settings.Site, process.Settings.Bounds, process.Clock, store)
	c.registerMetrics()
	process.Go(c.run)
	process.OnShutdown(c.awaitRelease)
	return c
}

func (c *Controller) registerMetrics() {
	c.process.Meter.Gauge("pebbleloom_lease_held", "1 while this machine holds the site's lease", func() float64 {
		if c.HoldsLease() {
			return 1
		}
		return 0
	})
	c.process.Meter.Gauge("pebbleloom_lease_fence", "the newest fencing token that this machine knows", func() float64 {
		token, _ := c.lease.currentToken()
		return float64(token)
	})
}

// awaitRelease waits until the lease has been released, or ctx ends.
func (c *Controller) awaitRelease(ctx context.Context) {
	select {
	case <-c.released:
	case <-ctx.Done():
	}
}

// HoldsLease reports whether this machine holds the lease now.
//
// Example: if controller.HoldsLease() { … }
func (c *Controller) HoldsLease() bool {
	_, ok := c.lease.currentToken()
	return ok
}

func (c *Controller) run() {
	ticker := clock.NewTicker(c.lease.fractionOfTTL(pollRatio))
	defer ticker.Stop()
	defer c.endSession()
	for {
		c.reconcileLease()
		select {
		case <-c.process.Ctx.Done():
			return
		case <-c.process.Draining:
			c.releaseLease()
			return
		case <-ticker.C:
		}
	}
}

// reconcileLease renews the lease when that is due, and starts or ends a session accordingly.
func (c *Controller) reconcileLease() {
	if !c.lease.renewalDue(c.process.Clock.Now(), c.membership()) {
		return
	}
	if err := c.lease.renew(c.process.Ctx); err != nil && errs.KindOf(err) != errs.Conflict {
		c.process.Log.Debug("no lease", "error", err)
	}
	token, ok := c.lease.currentToken()
	if c.session != nil && token != c.session.fencingToken {
		c.endSession() // another machine held the lease in between
	}
	if ok && c.session == nil {
		c.startSession(token)
	}
}

func (c *Controller) startSession(token uint64) {
	c.process.Log.Info("lease acquired", "fencing_token", token, "holder", c.lease.holderID())
	session, done := newSession(c, token), make(chan struct{})
	c.session, c.sessionDone = session, done
	c.process.Go(func() { defer close(done); session.run() })
}

func (c *Controller) endSession() {
	if c.session != nil {
		c.session.cancel()
		<-c.sessionDone
		c.session = nil
	}
}

// releaseLease releases the lease once every order in flight has been answered.
func (c *Controller) releaseLease() {
	defer close(c.released)
	if c.session != nil {
		c.session.stopOrders()
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.process.Settings.Bounds.Leave(releaseTimeoutRatio))
	defer cancel()
	if err := c.lease.release(ctx); err != nil {
		c.process.Log.Warn("the lease can't be released: it expires by itself", "error", errs.Text(err))
	}
}
