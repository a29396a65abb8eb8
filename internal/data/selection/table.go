package selection

import (
	"time"

	"pebbleloom/internal/data/prefix"
	"pebbleloom/internal/fleet"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

// table is the state on which one edge machine bases its selections. An actor guards it, so its methods do no
// I/O and never block. Times are those of the process's clock.
type table struct {
	bounds settings.Bounds
	// Time of the process's start.
	startedAt time.Duration
	// Time before which the rollout time limit, the limit on the use of older weights, doesn't apply.
	rolloutLimitAppliesFrom time.Duration
	// Snapshot of the fleet that was used last, indexed by service.
	layout *layout
	// Statistics of workers by worker ID, and of stores by store name.
	workers map[string]*workerStats
	// Statistics of services by service name.
	services map[string]*serviceStats
	// Records of the prompt parts that this edge machine sent to workers, by prompt index key.
	parts *recentMap[prefix.Key, partRecord]
	// Selections whose attempt has not been sent yet.
	selected *recentMap[attemptKey, attempt]
	// Attempts that were sent and whose outcome is not recorded yet.
	inFlight map[attemptKey]attempt
	// By store name: whether the store is unavailable according to the last response of the prompt index.
	unavailableStores map[string]bool
	// Time of the last removal of attempts whose outcome was never recorded.
	lastSweep time.Duration

	// The slices below are reused by all selections to avoid allocations. A set of parts is a uint64 bitmap
	// with one bit per part.

	// By candidate: prompt parts that the worker is confirmed to cache.
	confirmedParts []uint64
	// By candidate: prompt parts that the worker is presumed or confirmed to cache.
	presumedParts []uint64
	// By candidate: prompt parts that the worker is still prefilling for requests of this edge machine.
	prefillingParts []uint64
	// By candidate: estimated number of running and waiting requests at the worker.
	loads         []float64
	usableScratch []int
	reasonScratch []avoidReason
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

// selectWorker selects a worker for a request. found is the response of the prompt index, and tried the set of
// IDs of workers that got an earlier attempt of the request. It returns false if no worker is usable, or if the
// wait at the best worker would be too long (see loadTuning.maxWaitRatio) and tried is empty.
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
