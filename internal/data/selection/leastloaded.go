package selection

import (
	"time"

	"pebbleloom/internal/fleet"
	"pebbleloom/internal/rendezvous"
)

// selectLeastLoaded selects a worker of a service without a prompt cache: the less loaded of two workers that
// the hash of the request ID determines. They are drawn from the request's zone and, if the less loaded of them
// has no free slot, also from all zones.
func (t *table) selectLeastLoaded(group *serviceGroup, usable []int, request *Request, snapshot *fleet.Snapshot, now time.Duration) Choice {
	var near []int
	for _, index := range usable {
		if group.candidates[index].worker.Zone == request.Zone {
			near = append(near, index)
		}
	}
	lessLoadedOfTwo := func(candidates []int) (index int, load float64) {
		hash := rendezvous.Hash(request.ID)
		first := candidates[hash%uint64(len(candidates))]
		second := candidates[(hash>>32)%uint64(len(candidates))]
		firstLoad := t.effectiveLoad(&group.candidates[first], snapshot.EdgeCount, now)
		secondLoad := t.effectiveLoad(&group.candidates[second], snapshot.EdgeCount, now)
		if secondLoad < firstLoad {
			return second, secondLoad
		}
		return first, firstLoad
	}
	selected, load := -1, 0.0
	if len(near) > 0 {
		selected, load = lessLoadedOfTwo(near)
	}
	if selected < 0 || load >= group.candidates[selected].slots() {
		if anywhere, otherLoad := lessLoadedOfTwo(usable); selected < 0 || otherLoad < load {
			selected = anywhere
		}
	}
	worker := group.candidates[selected].worker
	t.selected.put(attemptKey{request.ID, worker.ID}, attempt{stats: group.candidates[selected].stats})
	return Choice{Worker: *worker, Urgency: -1}
}

// effectiveLoad returns the estimated load of a worker, a number of requests. During and after an ejection it
// is increased by up to the worker's number of slots (see slowStartRatio).
func (t *table) effectiveLoad(candidate *candidate, edges int, now time.Duration) float64 {
	return t.estimatedLoad(candidate.stats, edges, now) + candidate.stats.slowStartRatio(now)*candidate.slots()
}
