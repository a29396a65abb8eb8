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

// selector is the Selector of one edge machine: an actor that guards its table, and a client of the
// prompt index.
type selector struct {
	clock  clock.Clock
	bounds settings.Bounds
	actor  *queue.Actor[table]
	index  *indexclient.Client
}

// New makes an edge machine's selector over its client of the index. It stops with the process.
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

// Lookup asks the index for a prompt's parts, unless this edge machine knows enough itself.
//
// Example: found := s.Lookup(ctx, snapshot, request)
func (s *selector) Lookup(ctx context.Context, snapshot *fleet.Snapshot, request *Request) map[prefix.Key]*wire.LookupResult {
	var keys []prefix.Key
	s.actor.Ask(func(t *table) { keys = t.lookupKeys(snapshot, request, s.clock.Now()) })
	if len(keys) == 0 {
		return nil
	}
	minWait, maxWait := s.bounds.Heal(indexWaitTuning.minRatio), s.bounds.Heal(indexWaitTuning.maxRatio)
	wait := maxWait
	if request.Route != nil && request.Route.LatencyTarget > 0 {
		wait = time.Duration(float64(request.Route.LatencyTarget) * indexWaitTuning.targetRatio)
	}
	return s.index.Lookup(ctx, keys, min(max(wait, minWait), maxWait))
}

// Select selects a worker.
//
// Example: choice, ok := s.Select(snapshot, request, found, tried)
func (s *selector) Select(snapshot *fleet.Snapshot, request *Request, found map[prefix.Key]*wire.LookupResult, tried map[string]bool) (choice Choice, ok bool) {
	s.actor.Ask(func(t *table) { choice, ok = t.selectWorker(snapshot, request, found, tried, s.clock.Now()) })
	return choice, ok
}

// RecordSent records an attempt in flight, and reports the accesses to its shared parts to the index.
//
// Example: s.RecordSent(request, choice)
func (s *selector) RecordSent(request *Request, choice Choice) {
	var sent attempt
	s.actor.Ask(func(t *table) { sent = t.recordSent(request, choice, s.clock.Now()) })
	s.index.RecordAccesses(request.Service, sent.sharedParts, choice.Worker.ID, sent.store)
}

// RecordFirstEvent records an attempt's first event.
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

// localLoads is this edge machine's load at the workers, for the other edge machines.
func (s *selector) localLoads() (loads *wire.WorkerLoads) {
	s.actor.Ask(func(t *table) { loads = t.localLoads(s.clock.Now()) })
	return loads
}

// applyOthersLoads applies the load of the other edge machines. It doesn't wait.
func (s *selector) applyOthersLoads(loads *wire.WorkerLoads) {
	s.actor.TrySend(func(t *table) { t.applyOthersLoads(loads, s.clock.Now()) })
}
