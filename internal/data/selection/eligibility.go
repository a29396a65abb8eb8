package selection

import (
	"time"

	"pebbleloom/internal/fleet"
)

// avoidReason is why a worker is avoided while there are others with a weaker reason or none. The values are
// ordered from the weakest reason to the strongest.
type avoidReason int

const (
	notAvoided avoidReason = iota
	avoidNoFreeSlot
	// avoidCordoned means that the cache placement excludes the worker from new requests while it loads newer
	// weights.
	avoidCordoned
	avoidNotReady
)

// usable returns the indexes of the candidate workers that may be selected. Draining workers, workers that got
// an earlier attempt of the request and workers on weights that are too old are excluded; of the rest, only
// those with the weakest reason to be avoided are included, without ejected ones (see withoutEjected).
func (t *table) usable(group *serviceGroup, versions *modelVersions, snapshot *fleet.Snapshot, model string, tried map[string]bool, now time.Duration) []int {
	target, oldest := snapshot.TargetVersions[model], t.oldestAllowedVersion(snapshot, model, versions, now)
	weakest := avoidNotReady
	allowed, reasons := t.usableScratch[:0], t.reasonScratch[:0]
	for i, candidate := range group.candidates {
		version := versions.byCandidate[i]
		isOutdated := versions.reported && (version == 0 || version < oldest)
		if candidate.worker.Draining || isOutdated || tried[candidate.worker.ID] {
			continue
		}
		reason := candidate.stats.avoidReason(version, now)
		if group.cordoned[i] && version < target {
			reason = max(reason, avoidCordoned)
		}
		weakest = min(weakest, reason)
		allowed, reasons = append(allowed, i), append(reasons, reason)
	}
	usable := allowed[:0]
	for i, index := range allowed {
		if reasons[i] <= weakest {
			usable = append(usable, index)
		}
	}
	t.usableScratch, t.reasonScratch = allowed[:0], reasons
	return withoutEjected(group, usable, now)
}

// avoidReason returns why a worker that serves the given weights version should be avoided, judging by its
// rejections of attempts that this edge machine sent.
func (w *workerStats) avoidReason(version uint64, now time.Duration) avoidReason {
	switch {
	case now < w.notReadyUntil && w.notReadyVersion == version:
		return avoidNotReady
	case now < w.noFreeSlotUntil:
		return avoidNoFreeSlot
	}
	return notAvoided
}

// withoutEjected removes ejected workers from the usable candidates, but at most a fraction of
// ejectionTuning.maxEjectedRatio and never all. If more are ejected, those whose ejection ends first remain
// usable.
func withoutEjected(group *serviceGroup, usable []int, now time.Duration) []int {
	countEjected := func(after time.Duration) (count int) {
		for _, index := range usable {
			if group.candidates[index].stats.ejectedUntil > after {
				count++
			}
		}
		return count
	}
	ejected, maxEjected := countEjected(now), int(float64(len(usable))*ejectionTuning.maxEjectedRatio)
	if ejected == 0 || maxEjected == 0 {
		return usable
	}
	// Candidates whose ejection ends later than until are removed.
	until := now
	for ejected > maxEjected {
		until = nextEjectionEnd(group, usable, until)
		ejected = countEjected(until)
	}
	var remaining []int
	for _, index := range usable {
		if group.candidates[index].stats.ejectedUntil <= until {
			remaining = append(remaining, index)
		}
	}
	return remaining
}

// nextEjectionEnd returns the earliest time later than after at which the ejection of a usable candidate ends;
// 0 if no ejection ends later than after.
func nextEjectionEnd(group *serviceGroup, usable []int, after time.Duration) (next time.Duration) {
	for _, index := range usable {
		if end := group.candidates[index].stats.ejectedUntil; end > after && (next == 0 || end < next) {
			next = end
		}
	}
	return next
}
