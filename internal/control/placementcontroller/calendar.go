package placementcontroller

import (
	"context"
	"slices"
	"sync"
	"time"

	"pebbleloom/internal/control/calendar"
	"pebbleloom/internal/control/clustermembership"
	"pebbleloom/internal/control/controlclient"
	"pebbleloom/internal/data/updatestream"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/wire"
)

// collectUsage is what all proxies together have seen recently.
type usage struct {
	links             []*wire.LinkThroughput
	succeeded, failed map[string]float64 // by worker
}

// queryRole calls all nodes of a role at once with a short timeout, and passes their responses on one
// by one. A node that doesn't answer is left out and delays no other.
func queryRole[T any](c *Controller, role string, ask func(ctx context.Context, addr string) (T, error), take func(T)) {
	ctx, end := context.WithTimeout(c.process.Ctx, c.process.Settings.Bounds.Heal(1.0/48))
	defer end()
	ns := c.members.View().WithRole(role)
	got := make(chan T, len(ns))
	var wg sync.WaitGroup
	room := make(chan struct{}, 16)
	for _, n := range ns {
		wg.Go(func() {
			room <- struct{}{}
			defer func() { <-room }()
			if t, err := ask(ctx, n.Addr); err == nil {
				got <- t
			}
		})
	}
	wg.Wait()
	close(got)
	for t := range got {
		take(t)
	}
}

// collectUsage adds up what the node agents report of their proxies.
func (c *Controller) collectUsage() usage {
	all := usage{succeeded: map[string]float64{}, failed: map[string]float64{}}
	sum := map[string]*wire.LinkThroughput{}
	queryRole(c, clustermembership.RoleNodeAgent, func(ctx context.Context, addr string) (*wire.FeedResponse, error) {
		return c.clients.NodeAgent(addr).Feed(ctx, &wire.FeedRequest{})
	}, func(t *wire.FeedResponse) {
		for _, l := range t.Links {
			s := sum[l.Class]
			if s == nil {
				s = &wire.LinkThroughput{Class: l.Class}
				sum[l.Class] = s
				all.links = append(all.links, s)
			}
			s.Tokens, s.ElapsedNs = s.Tokens+l.Tokens, s.ElapsedNs+l.ElapsedNs
		}
		for _, w := range t.Workers {
			all.succeeded[w.Name] += w.Successes
			all.failed[w.Name] += w.Failures
		}
	})
	return all
}

// medianWallClock is the median of the core machines' clocks, if a majority reports: one machine's clock
// that jumps moves nothing.
func (c *Controller) medianWallClock() time.Time {
	var l []int64
	queryRole(c, clustermembership.RoleControlNode, func(ctx context.Context, addr string) (*wire.TimeResponse, error) {
		return c.clients.ControlNode(addr).Time(ctx, &wire.TimeRequest{})
	}, func(t *wire.TimeResponse) { l = append(l, t.WallNs) })
	return majorityMedian(l, len(c.process.Settings.Core))
}

func majorityMedian(l []int64, of int) time.Time {
	if 2*len(l) <= of {
		return time.Time{}
	}
	slices.Sort(l)
	return time.Unix(0, l[(len(l)-1)/2])
}

// stepCalendar advances the service's calendar by one step. Entries are read by majority and written
// under the lease's fence onto the version they were read at, and moves are made onto the service
// configuration's version: a holder that comes late changes nothing.
func (c *Controller) stepCalendar(svc *serviceController, s *updatestream.Snapshot, name string) error {
	shard := controlclient.ShardOf(name)
	t, err := c.store.Read(c.process.Ctx, &wire.ReadRequest{Shard: shard, Key: "calendar/" + name + "/", Prefix: true})
	if err != nil {
		return errs.Wrap(err, "read calendar")
	}
	var b errs.Batch
	lately := sync.OnceValue(c.collectUsage) // at most once a step, and only when a move needs it
	for _, doc := range t.Documents {
		e, err := calendar.Decode(doc.Body)
		if b.Add(doc.Key, err); err != nil || !e.Active() || e.State == calendar.StatePaused {
			continue
		}
		w := c.observeCalendar(s, name, e, lately)
		w.EntryVersion = doc.Version
		next, move, changed := svc.calendarPacer.Next(e, w)
		if move.Patch != nil {
			if _, ok := svc.lease.FencingToken(); !ok {
				return b.Err()
			}
			put := &wire.Put{Key: controlclient.ConfigKey, Body: move.Patch, IfVersion: w.ConfigVersion, Token: move.Token}
			_, err := c.store.Change(c.process.Ctx, &wire.ChangeRequest{Patch: true, Command: &wire.Command{Kind: &wire.Command_Put{Put: put}}})
			if errs.KindOf(err) == errs.BadInput && err != nil { // an operator must correct it
				next = e
				next.State, next.Reason, changed = calendar.StatePaused, "stopped: "+err.Error(), true
			} else if err != nil {
				b.Add("move of "+e.Name, err)
				continue
			} else {
				next, changed = calendar.RecordAction(e), true
			}
		}
		if changed {
			b.Add("write "+e.Name, c.writeCalendarEntry(svc, shard, doc, next))
		}
	}
	return b.Err()
}

func (c *Controller) writeCalendarEntry(svc *serviceController, shard uint32, doc *wire.Document, e *calendar.Entry) error {
	fence, ok := svc.lease.FencingToken()
	if !ok {
		return nil
	}
	body, err := e.Encode()
	if err != nil {
		return err
	}
	put := &wire.Put{Key: doc.Key, Body: body, IfVersion: doc.Version, Lease: svc.lease.Name, Fence: fence, Holder: c.holder}
	_, err = c.store.Change(c.process.Ctx, &wire.ChangeRequest{Shard: shard, Command: &wire.Command{Kind: &wire.Command_Put{Put: put}}})
	if err == nil {
		c.process.Log.Info("calendar", "entry", e.Name, "service", e.Service, "state", e.State, "step", e.CurrentStep, "why", e.Reason)
	}
	return errs.Wrap(err, "write entry")
}

func (c *Controller) observeCalendar(s *updatestream.Snapshot, name string, e *calendar.Entry, lately func() usage) calendar.Observation {
	w := calendar.Observation{Now: c.clock.Now(), ConfigVersion: s.ConfigVersion, Config: s.Config}
	if e.State == calendar.StatePlanned && e.NotBefore != "" {
		w.WallTime = c.medianWallClock()
	}
	all := lately()
	for _, x := range s.Workers {
		if x.Service != name {
			if e.Kind == calendar.KindHandover && x.Service == e.ToService { // the new service's failures stop it too
				w.Succeeded, w.Failed = w.Succeeded+all.succeeded[x.Name], w.Failed+all.failed[x.Name]
			}
			continue
		}
		w.Workers = append(w.Workers, calendar.Worker{Name: x.Name, Incarnation: x.Incarnation, Weights: x.Weights,
			AcceptsRequests: x.State == updatestream.WorkerUp, Reachable: x.State < updatestream.WorkerGone})
		w.Succeeded, w.Failed = w.Succeeded+all.succeeded[x.Name], w.Failed+all.failed[x.Name]
	}
	return w
}
