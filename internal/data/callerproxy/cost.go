package callerproxy

import (
	"fmt"

	"pebbleloom/internal/data/prefix"
	"pebbleloom/internal/wire"
)

// freeSlotWaitRatio scales the estimated wait at a worker that has a free slot. The wait is not zero, because the
// prefill of the worker's other requests delays the new one.
const freeSlotWaitRatio = 0.25

// microsecondsPerSecond converts seconds to microseconds in fetch time estimates.
const microsecondsPerSecond = 1e6

// estimateCost estimates the time to first token of the request on a worker: the wait for a slot, the prefix fetches
// and the prefill of the remaining tokens.
func (q *Query) estimateCost(worker *wire.Worker, entries []prefix.Entry, view *selectionView) *candidate {
	estimate := &candidate{worker: worker, entries: entries}
	missingTokens, fetchUs := q.planFetches(estimate, view)
	estimate.waitUs = q.waitUs(worker)
	estimate.costUs = estimate.waitUs + fetchUs
	if missingTokens > 0 {
		estimate.costUs += q.PrefillCurve.At(float64(missingTokens))
	}
	return estimate
}

// planFetches decides which prefix entries a worker fetches from other workers or cache stores. It walks the entries
// from the front and stops at the first one that the worker neither holds nor can fetch faster than prefill it. It
// returns the number of tokens left to prefill and the total fetch time in microseconds.
func (q *Query) planFetches(plan *candidate, view *selectionView) (missingTokens int, fetchUs float64) {
	if len(plan.entries) > 0 {
		missingTokens = plan.entries[len(plan.entries)-1].CumulativeTokens
	}
	for i, entry := range plan.entries {
		if view.holders[entry.Key][plan.worker.Name] {
			plan.hitTokens += entry.Tokens
			missingTokens -= entry.Tokens
			continue
		}
		source, bandwidth := q.fastestSource(entry.Key, plan.worker.Zone, view)
		if source == "" || bandwidth <= 0 {
			break
		}
		fetchEntryUs := float64(entry.Tokens) / bandwidth * microsecondsPerSecond
		savedPrefillUs := q.PrefillCurve.At(float64(missingTokens)) - q.PrefillCurve.At(float64(missingTokens-entry.Tokens))
		if fetchEntryUs >= savedPrefillUs {
			break
		}
		fetchUs += fetchEntryUs
		missingTokens -= entry.Tokens
		plan.fetchTokens += entry.Tokens
		plan.fetchFrom = append(plan.fetchFrom, fmt.Sprintf("%d=%s", i, source))
	}
	return missingTokens, fetchUs
}

// fastestSource returns the address from which workers of a zone fetch a prefix entry fastest, and the bandwidth from
// there: that of the worker or cache store holding the entry that has the highest bandwidth to the zone. Ties go to
// the lowest address. The address is empty if nothing holds the entry.
func (q *Query) fastestSource(key prefix.Key, zone string, view *selectionView) (source string, bandwidth float64) {
	for holder := range view.holders[key] {
		holderBandwidth := q.FarBandwidth
		if _, isStore := q.StoreAddrs[holder]; isStore {
			holderBandwidth = q.StoreBandwidth
		} else if view.zone[holder] == zone {
			holderBandwidth = q.NearBandwidth
		}
		addr := view.addr[holder]
		if addr != "" && (holderBandwidth > bandwidth || holderBandwidth == bandwidth && addr < source) {
			source, bandwidth = addr, holderBandwidth
		}
	}
	return source, bandwidth
}

// waitUs estimates the queueing time of the request at a worker from its load, in microseconds.
func (q *Query) waitUs(worker *wire.Worker) float64 {
	slots := float64(max(1, worker.Slots))
	load := q.Load(worker.Name)
	if load >= slots {
		return (load - slots + 1) / slots * q.MeanAttemptUs
	}
	return load / slots * q.MeanAttemptUs * freeSlotWaitRatio
}
