// Package controllers is what one core machine at a time does for the whole site, under one lease: it
// follows the platform's list of workers, brings named weights to them, and decides placement.
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

// Duty runs on every core machine; the holder of the lease works.
type Duty struct {
	life  *daemon.Life
	ctl   control
	calls backend.Calls
	snap  func() *fleet.Snapshot
	view  func() clustermembership.View
	hot   Hottest
	ten   *tenure
	term  *term
	over  chan struct{} // closed once the term's threads have ended
	left  chan struct{} // closed once the lease was given back
}

// Start asks for the lease again and again, and does the duties while it is held.
//
// Example: duty.Start(life, control, calls, agent.Now, agent.View, hottest)
func Start(l *daemon.Life, ctl control, calls backend.Calls, snap func() *fleet.Snapshot, view func() clustermembership.View, hot Hottest) *Duty {
	d := &Duty{life: l, ctl: ctl, calls: calls, snap: snap, view: view, hot: hot, left: make(chan struct{})}
	d.ten = newTenure(l.Place.Name, l.Place.Site, l.Place.Bounds, l.Clock, ctl)
	l.Meter.Gauge("pebbleloom_lease_held", "1 while this machine does the site's duties", func() float64 {
		if d.Holds() {
			return 1
		}
		return 0
	})
	l.Meter.Gauge("pebbleloom_lease_fence", "the fence that this machine has last heard of", func() float64 {
		fence, _ := d.ten.held()
		return float64(fence)
	})
	l.Go(d.run)
	l.Leaving(func(ctx context.Context) {
		select {
		case <-d.left:
		case <-ctx.Done():
		}
	})
	return d
}

// Holds tells whether this machine does the duties now.
//
// Example: if d.Holds() { … }
func (d *Duty) Holds() bool {
	_, ok := d.ten.held()
	return ok
}

func (d *Duty) run() {
	t := clock.Every(d.ten.part(lookPart))
	defer t.Stop()
	defer d.stop()
	for {
		d.turn()
		select {
		case <-d.life.Ctx.Done():
			return
		case <-d.life.Draining:
			d.leave()
			return
		case <-t.C:
		}
	}
}

// turn asks for the lease when that is due, and begins or ends a term as the answer says.
func (d *Duty) turn() {
	if !d.ten.due(d.life.Clock.Now(), d.view()) {
		return
	}
	if err := d.ten.renew(d.life.Ctx); err != nil && errs.KindOf(err) != errs.Conflict {
		d.life.Log.Debug("no lease", "error", err)
	}
	fence, held := d.ten.held()
	if d.term != nil && fence != d.term.fence {
		d.stop() // another has held it since
	}
	if !held || d.term != nil {
		return
	}
	d.life.Log.Info("duties taken", "fence", fence, "holder", d.ten.lease.Holder)
	t, over := newTerm(d, fence), make(chan struct{})
	d.term, d.over = t, over
	d.life.Go(func() { defer close(over); t.run() })
}

func (d *Duty) stop() {
	if d.term != nil {
		d.term.end()
		<-d.over
		d.term = nil
	}
}

// leave gives the lease back once the orders under way are answered.
func (d *Duty) leave() {
	defer close(d.left)
	if d.term != nil {
		d.term.quiet()
	}
	ctx, end := context.WithTimeout(context.Background(), d.life.Place.Bounds.Leave(givePart))
	defer end()
	if err := d.ten.giveBack(ctx); err != nil {
		d.life.Log.Warn("the lease can't be given back: it runs out", "error", errs.Text(err))
	}
}
