// Package controllers runs the site-wide controllers on the one core machine that holds the site's
// lease: the worker list, the rollout of named weights, and the placement of each service.
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

// Controller runs on every core machine. Only the holder of the lease has a session.
type Controller struct {
	process        *daemon.Process
	store          stateStore
	calls          backend.Client
	latestSnapshot func() *fleet.Snapshot
	view           func() clustermembership.View
	hotEntries     HotEntriesFunc
	lease          *siteLease
	session        *session
	sessionDone    chan struct{} // closed once the session's goroutines have ended
	released       chan struct{} // closed once the lease has been released
}

// Start campaigns for the lease and runs the controllers while it is held.
//
// Example: controllers.Start(process, control, calls, agent.Now, agent.View, hotEntries)
func Start(process *daemon.Process, ctl stateStore, calls backend.Client, snap func() *fleet.Snapshot, view func() clustermembership.View, hotEntries HotEntriesFunc) *Controller {
	c := &Controller{process: process, store: ctl, calls: calls, latestSnapshot: snap, view: view, hotEntries: hotEntries, released: make(chan struct{})}
	c.lease = newSiteLease(process.Settings.Name, process.Settings.Site, process.Settings.Bounds, process.Clock, ctl)
	process.Meter.Gauge("pebbleloom_lease_held", "1 while this machine holds the site's lease", func() float64 {
		if c.HoldsLease() {
			return 1
		}
		return 0
	})
	process.Meter.Gauge("pebbleloom_lease_fence", "the newest fencing token that this machine knows", func() float64 {
		fence, _ := c.lease.currentToken()
		return float64(fence)
	})
	process.Go(c.run)
	process.OnShutdown(func(ctx context.Context) {
		select {
		case <-c.released:
		case <-ctx.Done():
		}
	})
	return c
}

// HoldsLease reports whether this machine holds the lease now.
//
// Example: if d.Holds() { … }
func (c *Controller) HoldsLease() bool {
	_, ok := c.lease.currentToken()
	return ok
}

func (c *Controller) run() {
	t := clock.NewTicker(c.lease.fractionOfTTL(pollRatio))
	defer t.Stop()
	defer c.endSession()
	for {
		c.reconcileLease()
		select {
		case <-c.process.Ctx.Done():
			return
		case <-c.process.Draining:
			c.releaseLease()
			return
		case <-t.C:
		}
	}
}

// reconcileLease renews the lease when that is due, and starts or ends a session according to the response.
func (c *Controller) reconcileLease() {
	if !c.lease.renewalDue(c.process.Clock.Now(), c.view()) {
		return
	}
	if err := c.lease.renew(c.process.Ctx); err != nil && errs.KindOf(err) != errs.Conflict {
		c.process.Log.Debug("no lease", "error", err)
	}
	fence, held := c.lease.currentToken()
	if c.session != nil && fence != c.session.fencingToken {
		c.endSession() // another holder came in between
	}
	if !held || c.session != nil {
		return
	}
	c.process.Log.Info("lease acquired", "fence", fence, "holder", c.lease.lease.Holder)
	session, done := newSession(c, fence), make(chan struct{})
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

// releaseLease gives up the lease once every order in flight has been answered.
func (c *Controller) releaseLease() {
	defer close(c.released)
	if c.session != nil {
		c.session.stopOrders()
	}
	ctx, end := context.WithTimeout(context.Background(), c.process.Settings.Bounds.Leave(releaseTimeoutRatio))
	defer end()
	if err := c.lease.release(ctx); err != nil {
		c.process.Log.Warn("the lease can't be released: it expires by itself", "error", errs.Text(err))
	}
}
