// Package controllers runs the site-wide controllers: the worker list, the rollout of model weights to
// workers, and the placement of each service's prompt prefixes. Every core machine runs a Controller, but
// only the one that holds the site's lease runs a session, in which the controllers reconcile the observed
// state with the desired state.
//
// The target version of a model is the version of its weights that operators want workers to serve. An order
// is a call that instructs one worker to load a version of a model's weights, and a report is a worker's
// description of its state.
//
// The fencing token of the lease increases each time the lease passes to another holder. A session writes
// documents and sends orders with its own fencing token, so that those of a previous holder are rejected.
//
// A worker is cordoned before it is ordered to load other weights: the stored placement lists it as
// cordoned, and proxies send it no new requests while it is listed.
//
// Durations are fractions of the bounds in settings.Bounds: the worker removal bound Leave, within which a
// worker that left stops receiving requests; the rollout time bound Weights, within which requests stop
// starting on versions older than the target version; and the recovery time bound Recovery, within which service
// is restored after a fault.
//
// The package controls workers through a backend.Client. Package placementcontroller does the same for
// workers that implement the product's own contract.
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

// Controller competes with those of other core machines for the site's lease and runs a session while it holds
// the lease.
type Controller struct {
	process        *daemon.Process
	store          stateStore
	workerClient   backend.Client
	latestSnapshot func() *fleet.Snapshot
	membership     func() clustermembership.View
	hotEntries     HotEntriesFunc
	lease          *siteLease
	session        *session      // session under this machine's newest fencing token; nil if none is running
	sessionDone    chan struct{} // closed when all goroutines of session have ended
	released       chan struct{} // closed when the attempt to release the lease on shutdown has ended
}

// Start starts a Controller in the background. On shutdown of the process, the Controller releases the site's
// lease if it holds it.
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

// awaitRelease waits until the site's lease has been released on shutdown or ctx is done.
func (c *Controller) awaitRelease(ctx context.Context) {
	select {
	case <-c.released:
	case <-ctx.Done():
	}
}

// HoldsLease reports whether this machine holds the site's lease now.
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

// reconcileLease requests or renews the site's lease if a request is due. It starts a session once the lease is
// acquired, and ends the session of an older fencing token.
func (c *Controller) reconcileLease() {
	if !c.lease.renewalDue(c.process.Clock.Now(), c.membership()) {
		return
	}
	if err := c.lease.renew(c.process.Ctx); err != nil && errs.KindOf(err) != errs.Conflict {
		c.process.Log.Debug("request for the site lease failed", "error", err)
	}
	token, ok := c.lease.currentToken()
	if c.session != nil && token != c.session.fencingToken {
		c.endSession() // the fencing token differs, so another machine has held the lease since the session began
	}
	if ok && c.session == nil {
		c.startSession(token)
	}
}

func (c *Controller) startSession(token uint64) {
	c.process.Log.Info("site lease acquired", "fencing_token", token, "holder", c.lease.holderID())
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

// releaseLease waits for the orders in flight and then releases the site's lease, so that the next holder's orders
// cannot overlap with those of this one.
func (c *Controller) releaseLease() {
	defer close(c.released)
	if c.session != nil {
		c.session.stopOrders()
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.process.Settings.Bounds.Leave(releaseTimeoutRatio))
	defer cancel()
	if err := c.lease.release(ctx); err != nil {
		c.process.Log.Warn("releasing the site lease failed; it stays held until it expires", "error", errs.Text(err))
	}
}
