package selection

import (
	"time"

	"pebbleloom/internal/data/prefix"
	"pebbleloom/internal/fleet"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

// table is one edge machine's memory for selections. An actor guards it: its methods do no I/O and never
// wait. Instants are those of the process's clock.
type table struct {
	bounds                  settings.Bounds
	startedAt               time.Duration
	rolloutLimitAppliesFrom time.Duration // until then the weights bound doesn't apply
	layout                  *layout
	workers                 map[string]*workerStats  // by the worker's ID, or the store's name
	services                map[string]*serviceStats // by service
	parts                   *recentMap[prefix.Key, partRecord]
	selected                *recentMap[attemptKey, attempt] // selections that weren't sent yet
	inFlight                map[attemptKey]attempt
	unavailableStores       map[string]bool // stores that don't respond
	lastSweep               time.Duration   // of attempts whose outcome was never recorded

	// Scratch memory of one selection, by candidate. A set of parts is a uint64 with a bit for each.
	confirmedParts  []uint64
	presumedParts   []uint64 // confirmed ones included
	prefillingParts []uint64 // that it is reading for this edge machine
	loads           []float64
	usableScratch   []int
	reasonScratch   []avoidReason
}

func newTable(bounds settings.Bounds, now time.Duration) *table {
	return &table{
		bounds:            bounds,
		startedAt:         now,
		workers:           map[string]*workerStats{},
		services:          map[string]*serviceStats{},
		parts:             newRecentMap[prefix.Key, partRecord](maxPartRecords),
		selected:          newRecentMap[attemptKey, attempt](maxSelected),
		inFlight:          map[attemptKey]attempt{},
		unavailableStores: map[string]bool{},
	}
}

// selectWorker selects a worker for a request; false if there is none, or if the request would wait too
// long at the best one and wasn't sent anywhere yet.
func (t *table) selectWorker(snapshot *fleet.Snapshot, request *Request, found map[prefix.Key]*wire.LookupResult, tried map[string]bool, now time.Duration) (Choice, bool) {
	group := t.layoutFor(snapshot).groups[request.Service]
	if group == nil || len(group.candidates) == 0 {
		return Choice{}, false
	}
	model := group.modelOf(request)
	versions := group.versionsOf(model)
	usable := t.usable(group, versions, snapshot, model, tried, now)
	if len(usable) == 0 {
		return Choice{}, false
	}
	if group.service.Engine == nil {
		return t.selectLeastLoaded(group, usable, request, snapshot, now), true
	}
	s := &scorer{
		table:    t,
		snapshot: snapshot,
		request:  request,
		group:    group,
		versions: versions,
		stats:    t.services[request.Service],
		model:    model,
		found:    found,
		now:      now,
		usable:   usable,
		isRetry:  len(tried) > 0,
	}
	choice := s.selectBest()
	if choice.RetryAfter > 0 && !s.isRetry {
		t.selected.remove(attemptKey{request.ID, choice.Worker.ID})
		return Choice{RetryAfter: choice.RetryAfter}, false
	}
	return choice, true
}
