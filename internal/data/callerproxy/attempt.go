package callerproxy

import (
	"bufio"
	"context"
	"fmt"
	"time"

	"pebbleloom/api/caller"
	"pebbleloom/internal/contract"
	"pebbleloom/internal/control/serviceconfig"
	"pebbleloom/internal/data/placement"
	"pebbleloom/internal/data/prefix"
	"pebbleloom/internal/data/updatestream"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/wire"
)

// selectWorker selects the worker of the next attempt.
func (d *Proxy) selectWorker(s *updatestream.Snapshot, q *caller.Ask, tenant, service string, es map[uint64][]prefix.Entry, found map[prefix.Key]*wire.LookupResult, tried map[string]bool) (Choice, error) {
	p, on := s.Placements[service], weightsFor(s, q)
	u := Query{ID: q.RequestID, Mode: placementMode(s.Config, service), Zone: d.process.Settings.Zone, Entries: d.prefixEntries(s, q, tenant, es), Found: found,
		Tried: tried, NewestWeights: s.Weights[on.Model].Version, Placement: p, PrefillCurve: d.prefillCurve, NearBandwidth: d.nearBandwidth.Load(), FarBandwidth: d.farBandwidth.Load(), StoreBandwidth: d.storeBandwidth.Load(), Stores: map[string]string{}}
	if p != nil {
		u.PrefillCurve = p.PrefillCurve
	}
	now := d.clock.Now()
	for _, w := range s.Workers {
		if w.Kind == "store" && w.State == updatestream.WorkerUp {
			u.Stores[w.Name] = w.Addr
		}
		if x := viewForTarget(w, on); x != nil && w.Service == service && w.State <= updatestream.WorkerSuspect {
			u.Workers = append(u.Workers, x)
		}
	}
	var c Choice
	ok := false
	d.traffic.Ask(func(g *trafficTable) {
		u.MeanAttemptUs = g.meanAttemptUs
		var up []*wire.Worker
		for _, w := range u.Workers {
			// A worker that has just failed an attempt here waits for its next good probe.
			if x := g.workers[w.Name]; x == nil || x.failedAt == 0 || now-x.failedAt > d.bounds.Leave(0.3) {
				up = append(up, w)
			}
		}
		u.Workers = up
		loads := make(map[string]float64, len(up))
		for _, w := range up {
			loads[w.Name] = float64(w.Busy + w.Queued)
			if x := g.workers[w.Name]; x != nil {
				loads[w.Name] = max(loads[w.Name], float64(x.attempts))
			}
		}
		u.Load = func(n string) float64 { return loads[n] }
		if c, ok = Select(u); ok {
			g.worker(c.Worker.Name).attempts++
		}
	})
	if !ok {
		return c, reject(errs.NotExecuted, q.RequestID, d.bounds.Leave(0.3), "no worker of service %s can take it now", service)
	}
	return c, nil
}

func placementMode(s *serviceconfig.Config, service string) string {
	if m := s.Services[service].Placement; m != "" {
		return m
	}
	return "hrcs"
}

// startAttempt begins an attempt and waits for its first line. Where it fails, notRun is the proof that
// the attempt never started.
func (d *Proxy) startAttempt(ctx context.Context, s *updatestream.Snapshot, q *caller.Ask, tenant, service string, c Choice, left, until time.Duration) (*stream, bool, error) {
	ctx, stop := context.WithCancel(ctx)
	w := c.Worker
	o := &stream{proxy: d, id: q.RequestID, worker: w.Name, zone: w.Zone, startedAt: d.clock.Now(), cancel: stop, snapshot: s}
	watch := time.AfterFunc(d.bounds.Leave(0.2), func() { d.watchWorker(o, w, stop) })
	o.watch = watch
	hints := map[string]string{}
	if c.FetchFrom != "" {
		hints[contract.FetchFrom] = c.FetchFrom
	}
	if c.SaveAddrs != "" {
		hints[contract.SaveTo], hints[contract.SaveUpTo] = c.SaveAddrs, fmt.Sprint(c.SaveEntries)
	}
	on := weightsFor(s, q)
	g := d.backends.Start(ctx, w.Addr, contract.StartRequest{RequestID: q.RequestID, Tenant: tenant, CacheDomain: s.Config.CacheDomain(tenant), Model: on.Model, Adapter: on.Adapter, Build: on.Build,
		Weights: w.Weights, Parts: q.Parts, Chunks: q.Pieces.Or(16), WaitMs: int(min(left, until-d.clock.Now()).Milliseconds()), AtMostOnce: q.Once.Or(false),
		Incarnation: w.Incarnation, BeginByUs: workerStartDeadline(w, until)}, hints)
	if g.Err != nil {
		o.finish(false)
		return nil, g.NotExecuted(), g.Err
	}
	d.index.recordAccesses(service, c.Entries, w.Name, c.SaveNames, c.SaveEntries)
	o.body, o.reader, o.checker = g.Body, bufio.NewReaderSize(g.Body, contract.MaxLineBytes), contract.NewStreamVerifier(q.RequestID, w.Name)
	if err := o.readLine(); err != nil {
		o.finish(false)
		return nil, false, err
	}
	d.logDecision(q.RequestID, s, c)
	return o, false, nil
}

// watchWorker gives up an attempt whose worker has gone: its silence is not waited out.
func (d *Proxy) watchWorker(o *stream, w *wire.Worker, stop func()) {
	for _, x := range d.follower.Snapshot().Workers {
		if x.Name == w.Name && x.Addr == w.Addr && x.State != updatestream.WorkerGone && (x.Incarnation == w.Incarnation || w.Incarnation == "") {
			o.rescheduleWatch(d.bounds.Leave(0.2), func() { d.watchWorker(o, w, stop) })
			return
		}
	}
	stop()
}

// PlacementFor gives the placement in use for a service, for those who explain choices.
//
// Example: p := d.PlacementFor("lector")
func (d *Proxy) PlacementFor(service string) *placement.Placement {
	if s := d.follower.Snapshot(); s != nil {
		return s.Placements[service]
	}
	return nil
}
