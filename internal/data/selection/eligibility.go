package selection

import (
	"time"

	"pebbleloom/internal/fleet"
)

// avoidReason is why a worker is avoided while another may be selected, from the weakest to the strongest.
type avoidReason int

const (
	notAvoided avoidReason = iota
	avoidNoFreeSlot
	avoidCordoned // during a rollout of weights
	avoidNotReady
)

// usable lists the candidates that may be selected: those that are avoided only if no other is remaining.
func (t *table) usable(group *serviceGroup, versions *modelVersions, snapshot *fleet.Snapshot, model string, tried map[string]bool, now time.Duration) []int {
	named, oldest := snapshot.NamedVersions[model], t.oldestAllowedVersion(snapshot, model, versions, now)
	weakest := avoidNotReady
	allowed, reasons := t.usableScratch[:0], t.reasonScratch[:0]
	for i, candidate := range group.candidates {
		version := versions.byCandidate[i]
		isOutdated := versions.reported && (version == 0 || version < oldest)
		if candidate.worker.Draining || isOutdated || tried[candidate.worker.ID] {
			continue
		}
		reason := candidate.stats.avoidReason(version, now)
		if group.cordoned[i] && version < named {
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

// avoidReason is why this edge machine's own attempts show that a worker on a version is to be avoided.
func (w *workerStats) avoidReason(version uint64, now time.Duration) avoidReason {
	switch {
	case now < w.notReadyUntil && w.notReadyVersion == version:
		return avoidNotReady
	case now < w.noFreeSlotUntil:
		return avoidNoFreeSlot
	}
	return notAvoided
}

// withoutEjected leaves out the ejected ones of the usable candidates: never more than a share of them,
// and never all. If more are ejected, those whose ejection ends first are used.
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
	until := now // those that are ejected for longer stay ejected
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

// nextEjectionEnd is the first instant after another at which an ejection ends; 0: none.
func nextEjectionEnd(group *serviceGroup, usable []int, after time.Duration) (next time.Duration) {
	for _, index := range usable {
		if end := group.candidates[index].stats.ejectedUntil; end > after && (next == 0 || end < next) {
			next = end
		}
	}
	return next
}
