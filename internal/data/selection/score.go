package selection

import (
	"math/bits"
	"time"
)

// workerCost is the estimated cost of executing a request on one worker, with what it is derived from.
type workerCost struct {
	// Sum of the cost terms that the package comment lists, in milliseconds.
	totalMs float64
	// Number of prompt tokens that the worker has to prefill.
	prefillTokens float64
	// Milliseconds for which the transfer of fetched parts occupies the links of worker and source.
	transferMs float64
	// Worker or store that prompt parts are fetched from; nil: none are fetched.
	source *source
}

// consecutiveParts returns how many consecutive prompt parts a bitmap contains, starting with the part at index
// from.
func consecutiveParts(parts uint64, from int) int { return bits.TrailingZeros64(^(parts >> from)) }

// score returns the cost of executing the request on a candidate, the sum of the terms listed in the package
// comment. For a candidate that can't cost less than bestMs, the lowest cost of the candidates scored so far,
// it stops early and returns a lower bound of the cost.
func (s *scorer) score(index int, prompt *promptState, bestMs float64) workerCost {
	candidate := &s.group.candidates[index]
	cached := min(consecutiveParts(s.table.presumedParts[index], 0), s.partCount())
	// missing is the number of prompt tokens that the candidate doesn't cache, and shared the number of those
	// that other requests use too.
	missing := s.cumulativeTokens[s.partCount()] - s.cumulativeTokens[cached] + s.remainingTokens
	shared := max(0, s.cumulativeTokens[min(prompt.sharedParts, s.partCount())]-s.cumulativeTokens[cached])

	cost := s.congestionMs(index) + s.tieBreakMs(candidate)
	cost += s.queueingMs(index)
	cost += s.crossZoneMs(candidate)
	cost += s.affinityMs(index, prompt)
	cost += s.slowStartMs(candidate)
	cost += s.rolloutMs(prompt)
	slowness := s.table.slowness(candidate.stats, s.now)
	cost += slowness * s.baseLatencyMs(candidate)

	// The lower bound of the cost assumes that all missing shared tokens are fetched at no cost.
	if lowerBoundMs := cost + slowness*s.stats.msPerToken*(missing-shared); lowerBoundMs >= bestMs {
		return workerCost{totalMs: lowerBoundMs}
	}
	var fetched sourceChoice
	if shared > 0 {
		fetched = s.bestSource(index, prompt, cached)
		missing, shared = missing-fetched.tokens, shared-fetched.tokens
	}
	cost += slowness*s.stats.msPerToken*missing + fetched.costMs
	if shared > 0 && prompt.partsWithHolder>>cached&1 == 1 {
		// A worker or store caches the first part that the candidate lacks, so prefilling it would be duplicate
		// work.
		cost += s.duplicatePrefillMsPerToken * shared
	}
	return workerCost{totalMs: cost, prefillTokens: missing, transferMs: fetched.transferMs, source: fetched.source}
}

// partCount returns the number of prompt parts that the selection considers.
func (s *scorer) partCount() int { return len(s.cumulativeTokens) - 1 }

// congestionMs is the expected slowdown of the request, in milliseconds, by the other requests that the worker
// executes concurrently.
func (s *scorer) congestionMs(index int) float64 {
	return loadTuning.congestionWeight * s.stats.meanAttemptMs * s.table.loads[index] / s.group.candidates[index].slots()
}

// tieBreakMs is a small cost, in milliseconds, derived from the hash of request and worker, so that edge
// machines with the same information don't all select the same one of several equal workers.
func (s *scorer) tieBreakMs(candidate *candidate) float64 {
	return loadTuning.tieBreakRatio * s.targetMs * float64(mix(s.requestHash^candidate.hash)>>11) / (1 << 53)
}

// queueingMs is the expected wait for a slot of the worker, in milliseconds; 0 if the worker has a free slot.
func (s *scorer) queueingMs(index int) float64 {
	load, slots := s.table.loads[index], s.group.candidates[index].slots()
	if load < slots {
		return 0
	}
	return (load - slots + 1) / slots * s.stats.meanAttemptMs
}

// crossZoneMs is the cost, in milliseconds, of sending the prompt to a worker in another zone.
func (s *scorer) crossZoneMs(candidate *candidate) float64 {
	if candidate.worker.Zone == s.request.Zone {
		return 0
	}
	return transferTuning.promptWeight * s.targetMs * affinityTuning.duplicatePrefillRatio * float64(s.request.PromptTokens)
}

// affinityMs is the cost, in milliseconds, of another copy of the affinity part, the prompt part whose hash
// determines the home worker. It is charged to a candidate that lacks the part while another worker or a store
// caches it and, while none does, to all candidates but the home worker. There is no such cost for a part that
// the cache placement replicates.
func (s *scorer) affinityMs(index int, prompt *promptState) float64 {
	if prompt.affinityPart < 0 || prompt.isReplicated {
		return 0
	}
	isNotHome := prompt.home >= 0 && prompt.home != index
	weight := 0.0
	if !prompt.isCold && s.table.presumedParts[index]>>prompt.affinityPart&1 == 0 {
		// A copy of the affinity part evicts another part from the worker's cache.
		weight += affinityTuning.copyWeight
		if isNotHome {
			weight += affinityTuning.copyElsewhereWeight
		}
	} else if prompt.isCold && isNotHome {
		weight += affinityTuning.coldWeight
	}
	return weight * (s.duplicatePrefillMsPerToken + s.stats.msPerToken) * s.cumulativeTokens[prompt.affinityPart+1]
}

// slowStartMs is the cost, in milliseconds, charged to a worker that was ejected recently.
func (s *scorer) slowStartMs(candidate *candidate) float64 {
	return candidate.stats.slowStartRatio(s.now) * slowStartTuning.cost * s.targetMs
}

// baseLatencyMs is the expected time, in milliseconds, to the first response event of an empty prompt,
// including the wait for the prompts that are queued ahead of it.
func (s *scorer) baseLatencyMs(candidate *candidate) float64 {
	return s.stats.firstEventMs + s.table.backlogMs(candidate.stats, s.now)
}

// rolloutMs is the cost, in milliseconds, charged to a worker on an older weights version than the one that
// the prompt is assigned to.
func (s *scorer) rolloutMs(prompt *promptState) float64 {
	if prompt.version >= s.assignedVersion {
		return 0
	}
	return rolloutTuning.assignedWeight * s.stats.msPerToken * s.cumulativeTokens[prompt.sharedParts]
}

// sourceChoice is a source of prompt parts, with the cost and the savings of fetching them from it.
type sourceChoice struct {
	source *source
	// Number of prompt tokens that needn't be prefilled because their cache is fetched from the source.
	tokens float64
	// Cost of the transfer from the source, in milliseconds.
	costMs float64
	// Milliseconds for which the transfer occupies the links of worker and source.
	transferMs float64
}

// bestSource returns the source from which fetching prompt parts saves a candidate worker the most. cached is
// the number of leading parts that the candidate caches itself; only sources that cache the part after them are
// considered. It returns a zero choice if every transfer costs more than it saves.
func (s *scorer) bestSource(index int, prompt *promptState, cached int) (best sourceChoice) {
	worker := &s.group.candidates[index]
	bestGainMs := 0.0
	for i := range prompt.sources {
		source := &prompt.sources[i]
		if source.candidate == index {
			continue
		}
		count := min(consecutiveParts(source.presumedParts, cached), prompt.sharedParts-cached)
		if count <= 0 {
			continue
		}
		choice := s.evaluateSource(source, worker, cached, count)
		if gainMs := choice.tokens*(s.stats.msPerToken+s.duplicatePrefillMsPerToken) - choice.costMs; gainMs > bestGainMs {
			bestGainMs, best = gainMs, choice
		}
	}
	return best
}

// evaluateSource returns the cost and the savings if a worker that caches the first cached parts of the prompt
// fetches the next count parts from a source.
func (s *scorer) evaluateSource(source *source, worker *candidate, cached, count int) sourceChoice {
	tokens := s.cumulativeTokens[cached+count] - s.cumulativeTokens[cached]
	transferMs := tokens * source.msPerToken
	if source.zone != worker.worker.Zone {
		transferMs *= transferTuning.crossZoneMultiple
	}
	linkWaitMs := milliseconds(max(0, max(source.stats.linkBusyUntil, worker.stats.linkBusyUntil)-s.now))
	costMs := transferMs + linkWaitMs + tokens*s.duplicatePrefillMsPerToken*transferTuning.tokenWeight
	if confirmed := min(consecutiveParts(source.confirmedParts, cached), count); confirmed < count {
		presumedTokens := s.cumulativeTokens[cached+count] - s.cumulativeTokens[cached+confirmed]
		costMs += transferTuning.presumedRiskRatio * (s.duplicatePrefillMsPerToken + s.stats.msPerToken) * presumedTokens
	}
	return sourceChoice{source: source, tokens: tokens, costMs: costMs, transferMs: transferMs}
}

// milliseconds converts a duration to a number of milliseconds.
func milliseconds(d time.Duration) float64 { return d.Seconds() * 1e3 }

// fromMilliseconds converts a number of milliseconds to a duration.
func fromMilliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
