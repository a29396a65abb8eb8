package selection

import (
	"math/bits"
	"time"
)

// workerCost is the cost of a request on one worker.
type workerCost struct {
	totalMs       float64 // in ms of the request's target
	prefillTokens float64 // that the worker has to read
	transferMs    float64 // that its link and the source's are busy for
	source        *source // that it fetches from; nil: none
}

// consecutiveParts is how many parts in a row a set of parts has, from one part on.
func consecutiveParts(parts uint64, from int) int { return bits.TrailingZeros64(^(parts >> from)) }

// score returns the cost of the request on a candidate: the sum of the terms that the package comment
// lists. It stops early, without the exact cost, for a candidate that can't cost less than bestMs.
func (s *scorer) score(index int, prompt *promptState, bestMs float64) workerCost {
	candidate := &s.group.candidates[index]
	cached := min(consecutiveParts(s.table.presumedParts[index], 0), s.partCount())
	missing := s.cumulativeTokens[s.partCount()] - s.cumulativeTokens[cached] + s.remainingTokens // tokens that it doesn't cache
	shared := max(0, s.cumulativeTokens[min(prompt.sharedParts, s.partCount())]-s.cumulativeTokens[cached])

	cost := s.congestionMs(index) + s.tieBreakMs(candidate)
	cost += s.queueingMs(index)
	cost += s.crossZoneMs(candidate)
	cost += s.affinityMs(index, prompt)
	cost += s.slowStartMs(candidate)
	cost += s.rolloutMs(prompt)
	slowness := s.table.slowness(candidate.stats, s.now)
	cost += slowness * s.baseLatencyMs(candidate)

	// At best all shared tokens that are missing can be fetched at no cost.
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
		cost += s.duplicatePrefillMsPerToken * shared // another worker caches it, and it would be read once more
	}
	return workerCost{totalMs: cost, prefillTokens: missing, transferMs: fetched.transferMs, source: fetched.source}
}

// partCount is the number of the prompt's parts.
func (s *scorer) partCount() int { return len(s.cumulativeTokens) - 1 }

// congestionMs is the slowdown of a worker by the requests that it executes at once.
func (s *scorer) congestionMs(index int) float64 {
	return loadTuning.congestionWeight * s.stats.meanAttemptMs * s.table.loads[index] / s.group.candidates[index].slots()
}

// tieBreakMs is a small cost by the hash of request and worker: edge machines that know the same then
// don't all select the same of equal workers.
func (s *scorer) tieBreakMs(candidate *candidate) float64 {
	return loadTuning.tieBreakRatio * s.targetMs * float64(mix(s.requestHash^candidate.hash)>>11) / (1 << 53)
}

// queueingMs is the wait for a slot if all of a worker's slots are in use.
func (s *scorer) queueingMs(index int) float64 {
	load, slots := s.table.loads[index], s.group.candidates[index].slots()
	if load < slots {
		return 0
	}
	return (load - slots + 1) / slots * s.stats.meanAttemptMs
}

// crossZoneMs is the cost of sending the prompt to another zone.
func (s *scorer) crossZoneMs(candidate *candidate) float64 {
	if candidate.worker.Zone == s.request.Zone {
		return 0
	}
	return transferTuning.promptWeight * s.targetMs * affinityTuning.duplicatePrefillRatio * float64(s.request.PromptTokens)
}

// affinityMs is the cost of a copy of the deciding part at a worker that isn't meant to cache it. A
// part that the placement replicates may be cached anywhere.
func (s *scorer) affinityMs(index int, prompt *promptState) float64 {
	if prompt.affinityPart < 0 || prompt.isReplicated {
		return 0
	}
	isNotHome := prompt.home >= 0 && prompt.home != index
	weight := 0.0
	if !prompt.isCold && s.table.presumedParts[index]>>prompt.affinityPart&1 == 0 {
		weight += affinityTuning.copyWeight // the copy evicts another part
		if isNotHome {
			weight += affinityTuning.copyElsewhereWeight
		}
	} else if prompt.isCold && isNotHome {
		weight += affinityTuning.coldWeight
	}
	return weight * (s.duplicatePrefillMsPerToken + s.stats.msPerToken) * s.cumulativeTokens[prompt.affinityPart+1]
}

// slowStartMs is the cost of a worker that was ejected lately.
func (s *scorer) slowStartMs(candidate *candidate) float64 {
	return candidate.stats.slowStartRatio(s.now) * slowStartTuning.cost * s.targetMs
}

// baseLatencyMs is the time to the first event of an empty prompt, behind the prompts that are queued there.
func (s *scorer) baseLatencyMs(candidate *candidate) float64 {
	return s.stats.firstEventMs + s.table.backlogMs(candidate.stats, s.now)
}

// rolloutMs is the cost of a worker on an older version than the prompt is assigned to.
func (s *scorer) rolloutMs(prompt *promptState) float64 {
	if prompt.version >= s.assignedVersion {
		return 0
	}
	return rolloutTuning.assignedWeight * s.stats.msPerToken * s.cumulativeTokens[prompt.sharedParts]
}

// sourceChoice is a source and what fetching from it costs and saves.
type sourceChoice struct {
	source     *source
	tokens     float64 // that needn't be read
	costMs     float64 // in ms of the target
	transferMs float64 // that the links are busy for
}

// bestSource finds the source that saves a candidate the most, of those that cache the parts after the
// ones that the candidate caches itself; none if all cost more than they save.
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

// evaluateSource weighs the transfer of count parts, after the cached ones, from a source to a worker.
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

// milliseconds is a duration as a number.
func milliseconds(d time.Duration) float64 { return d.Seconds() * 1e3 }

// fromMilliseconds is the duration of a number of milliseconds.
func fromMilliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
