package placementcontroller

import (
	"context"
	"slices"
	"sync"
	"time"

	"pebbleloom/internal/control/calendar"
	"pebbleloom/internal/control/controlclient"
	"pebbleloom/internal/data/updatestream"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/wire"
)

// seen is what all dispatchers together have seen lately.
type seen struct {
	links   []*wire.LinkSeen
	ok, bad map[string]float64 // by worker
}

// gather asks all nodes of a role at once, each within a short time, and hands their
// answers over one by one; who doesn't answer is left out, and holds up nobody.
func gather[T any](a *Appraiser, role string, ask func(ctx context.Context, addr string) (T, error), take func(T)) {
	ctx, end := context.WithTimeout(a.life.Ctx, a.life.Place.Bounds.Heal(1.0/48))
	defer end()
	ns := a.ros.View().Role(role)
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

// seen adds up what the runners tell of their dispatchers.
func (a *Appraiser) seen() seen {
	all := seen{ok: map[string]float64{}, bad: map[string]float64{}}
	sum := map[string]*wire.LinkSeen{}
	gather(a, "runner", func(ctx context.Context, addr string) (*wire.FeedTell, error) {
		return a.calls.Runner(addr).Feed(ctx, &wire.FeedAsk{})
	}, func(t *wire.FeedTell) {
		for _, l := range t.Links {
			s := sum[l.Class]
			if s == nil {
				s = &wire.LinkSeen{Class: l.Class}
				sum[l.Class] = s
				all.links = append(all.links, s)
			}
			s.Tokens, s.Ns = s.Tokens+l.Tokens, s.Ns+l.Ns
		}
		for _, w := range t.Workers {
			all.ok[w.Name] += w.Ok
			all.bad[w.Name] += w.Bad
		}
	})
	return all
}

// wall is the median of the core machines' clocks, when a majority tells its own: one
// machine's clock that jumps moves nothing.
func (a *Appraiser) wall() time.Time {
	var l []int64
	gather(a, "archive", func(ctx context.Context, addr string) (*wire.TimeResponse, error) {
		return a.calls.Archive(addr).Time(ctx, &wire.TimeRequest{})
	}, func(t *wire.TimeResponse) { l = append(l, t.WallNs) })
	return median(l, len(a.life.Place.Core))
}

func median(l []int64, of int) time.Time {
	if 2*len(l) <= of {
		return time.Time{}
	}
	slices.Sort(l)
	return time.Unix(0, l[(len(l)-1)/2])
}

// pace carries the service's calendar on by one step. Entries are read by majority, written
// under the lease's fence onto the epoch they were read at, and moves are made onto the
// setup's epoch: a holder that comes late changes nothing.
func (a *Appraiser) pace(d *duty, s *updatestream.Snapshot, name string) error {
	part := controlclient.ShardOf(name)
	t, err := a.ctl.Read(a.life.Ctx, &wire.ReadRequest{Shard: part, Key: "calendar/" + name + "/", Prefix: true})
	if err != nil {
		return errs.Wrap(err, "read calendar")
	}
	var b errs.Batch
	lately := sync.OnceValue(a.seen) // asked of all runners once a turn, and only when a move needs it
	for _, doc := range t.Documents {
		e, err := calendar.Read(doc.Body)
		if b.Note(doc.Key, err); err != nil || !e.Active() || e.State == calendar.Paused {
			continue
		}
		w := a.world(s, name, e, lately)
		w.EntryVersion = doc.Version
		next, move, changed := d.pacer.Next(e, w)
		if move.Patch != nil {
			if _, ok := d.lease.Held(); !ok {
				return b.Look()
			}
			put := &wire.Put{Key: controlclient.SetupKey, Body: move.Patch, IfVersion: w.Version, Token: move.Token}
			_, err := a.ctl.Change(a.life.Ctx, &wire.ChangeRequest{Patch: true, Command: &wire.Command{Kind: &wire.Command_Put{Put: put}}})
			if errs.KindOf(err) == errs.BadInput && err != nil { // the setup can't take it: people must look
				next = e
				next.State, next.Why, changed = calendar.Paused, "stopped: "+err.Error(), true
			} else if err != nil {
				b.Note("move of "+e.Name, err)
				continue
			} else {
				next, changed = calendar.Acted(e), true
			}
		}
		if changed {
			b.Note("write "+e.Name, a.write(d, part, doc, next))
		}
	}
	return b.Look()
}

func (a *Appraiser) write(d *duty, part uint32, doc *wire.Document, e *calendar.Entry) error {
	fence, ok := d.lease.Held()
	if !ok {
		return nil
	}
	body, err := e.Write()
	if err != nil {
		return err
	}
	put := &wire.Put{Key: doc.Key, Body: body, IfVersion: doc.Version, Lease: d.lease.Duty, Fence: fence, Holder: a.holder}
	_, err = a.ctl.Change(a.life.Ctx, &wire.ChangeRequest{Shard: part, Command: &wire.Command{Kind: &wire.Command_Put{Put: put}}})
	if err == nil {
		a.life.Log.Info("calendar", "entry", e.Name, "service", e.Service, "state", e.State, "step", e.Step, "why", e.Why)
	}
	return errs.Wrap(err, "write entry")
}

func (a *Appraiser) world(s *updatestream.Snapshot, name string, e *calendar.Entry, lately func() seen) calendar.World {
	w := calendar.World{Clock: a.clk.Now(), Version: s.Epoch, Config: s.Setup}
	if e.State == calendar.Planned && e.At != "" {
		w.Wall = a.wall()
	}
	all := lately()
	for _, x := range s.Workers {
		if x.Service != name {
			if e.Kind == calendar.Handover && x.Service == e.To { // the new service's failures stop it too
				w.Ok, w.Bad = w.Ok+all.ok[x.Name], w.Bad+all.bad[x.Name]
			}
			continue
		}
		w.Workers = append(w.Workers, calendar.Worker{Name: x.Name, Incarnation: x.Incarnation, Weights: x.Weights,
			Up: x.State == updatestream.WorkerUp, Here: x.State < updatestream.WorkerGone, Busy: int(x.Busy)})
		w.Ok, w.Bad = w.Ok+all.ok[x.Name], w.Bad+all.bad[x.Name]
	}
	return w
}
