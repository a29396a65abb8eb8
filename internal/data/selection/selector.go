package selection

import (
	"context"
	"time"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/data/indexclient"
	"pebbleloom/internal/data/prefix"
	"pebbleloom/internal/fleet"
	"pebbleloom/internal/queue"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

// selector implements Selector for one edge machine, with an actor that guards the table and a client of the
// prompt index.
type selector struct {
	clock  clock.Clock
	bounds settings.Bounds
	actor  *queue.Actor[table]
	index  *indexclient.Client
}

// New returns the selector of an edge machine, which uses the given client of the prompt index and shares loads
// with other edge machines through it. The selector stops with the process.
//
// Example: s := selection.New(process, indexclient.New(process, nodes))
func New(process *daemon.Process, index *indexclient.Client) Selector {
	t := newTable(process.Settings.Bounds, process.Clock.Now())
	if site := process.Settings.Site; site != nil {
		t.rolloutLimitAppliesFrom = t.startedAt + settings.Fraction(site.ContactWindowMs, rolloutTuning.contactRatio)
	}
	s := &selector{clock: process.Clock, bounds: process.Settings.Bounds, index: index, actor: queue.NewActor(t, 1024)}
	process.OnStop(s.actor.Stop)
	index.ShareLoads(s.localLoads, s.applyOthersLoads)
	return s
}

// Lookup queries the prompt index for the workers and stores that cache the prompt's parts, unless the records
// of this edge machine suffice.
//
// Example: found := s.Lookup(ctx, snapshot, request)
func (s *selector) Lookup(ctx context.Context, snapshot *fleet.Snapshot, request *Request) map[prefix.Key]*wire.LookupResult {
	var keys []prefix.Key
	s.actor.Ask(func(t *table) { keys = t.lookupKeys(snapshot, request, s.clock.Now()) })
	if len(keys) == 0 {
		return nil
	}
	minWait, maxWait := s.bounds.Recovery(indexWaitTuning.minRatio), s.bounds.Recovery(indexWaitTuning.maxRatio)
	wait := maxWait
	if request.Route != nil && request.Route.LatencyTarget > 0 {
		wait = time.Duration(float64(request.Route.LatencyTarget) * indexWaitTuning.targetRatio)
	}
	return s.index.Lookup(ctx, keys, min(max(wait, minWait), maxWait))
}

// Select selects the worker for an attempt of a request.
//
// Example: choice, ok := s.Select(snapshot, request, found, tried)
func (s *selector) Select(snapshot *fleet.Snapshot, request *Request, found map[prefix.Key]*wire.LookupResult, tried map[string]bool) (choice Choice, ok bool) {
	s.actor.Ask(func(t *table) { choice, ok = t.selectWorker(snapshot, request, found, tried, s.clock.Now()) })
	return choice, ok
}

// RecordSent records that an attempt is in flight, and reports the use of the prompt's shared parts to the
// prompt index.
//
// Example: s.RecordSent(request, choice)
func (s *selector) RecordSent(request *Request, choice Choice) {
	var sent attempt
	s.actor.Ask(func(t *table) { sent = t.recordSent(request, choice, s.clock.Now()) })
	s.index.RecordAccesses(request.Service, sent.sharedParts, choice.Worker.ID, sent.store)
}

// RecordFirstEvent records that the first response event of an attempt was received.
//
// Example: s.RecordFirstEvent(request, choice, &load, 80*time.Millisecond)
func (s *selector) RecordFirstEvent(request *Request, choice Choice, load *Load, firstEvent time.Duration) {
	s.actor.Ask(func(t *table) { t.recordFirstEvent(request, choice, load, firstEvent, s.clock.Now()) })
}

// RecordOutcome records how an attempt ended.
//
// Example: s.RecordOutcome(request, choice, selection.Completed, &load, 80*time.Millisecond)
func (s *selector) RecordOutcome(request *Request, choice Choice, outcome Outcome, load *Load, firstEvent time.Duration) {
	s.actor.Ask(func(t *table) { t.recordOutcome(request, choice, outcome, load, firstEvent, s.clock.Now()) })
}

// localLoads returns the report of this edge machine's load at each worker that the prompt index client shares
// with other edge machines.
func (s *selector) localLoads() (loads *wire.WorkerLoads) {
	s.actor.Ask(func(t *table) { loads = t.localLoads(s.clock.Now()) })
	return loads
}

// applyOthersLoads applies the loads that other edge machines reported. It returns without waiting until the
// actor has updated the table.
func (s *selector) applyOthersLoads(loads *wire.WorkerLoads) {
	s.actor.TrySend(func(t *table) { t.applyOthersLoads(loads, s.clock.Now()) })
}
