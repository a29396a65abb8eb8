package selection

import (
	"math"
	"time"
)

// recordFailure ejects a worker, which excludes it from selection, for a time that doubles with each recent
// failure and grows with the worker's failure ratio.
func (t *table) recordFailure(w *workerStats, now time.Duration) {
	w.failureRatio = movingAverage(w.failureRatio, 1, ejectionTuning.sampleWeight)
	doublings := math.Exp2(float64(min(w.recentFailures, ejectionTuning.maxDoublings)))
	ejectionTime := float64(t.bounds.Recovery(ejectionTuning.baseTimeRatio)) * doublings * (1 + ejectionTuning.failureMultiple*w.failureRatio)
	w.recentFailures++
	w.ejectionTime = time.Duration(min(ejectionTime, float64(t.bounds.Recovery(ejectionTuning.maxTimeRatio))))
	w.ejectedUntil = max(w.ejectedUntil, now+w.ejectionTime)
}

// recordSuccess lowers a worker's failure ratio and, unless the worker is ejected, its number of recent
// failures by one.
func (t *table) recordSuccess(w *workerStats, now time.Duration) {
	w.failureRatio = movingAverage(w.failureRatio, 0, ejectionTuning.sampleWeight)
	if now >= w.ejectedUntil && w.recentFailures > 0 {
		w.recentFailures--
	}
}

// slowStartRatio determines how much a worker is disfavored during and after an ejection: it is the worker's
// failure ratio until the ejection ends, and then falls linearly to 0 over as much time as the ejection lasted.
func (w *workerStats) slowStartRatio(now time.Duration) float64 {
	end := w.ejectedUntil + w.ejectionTime
	if w.ejectionTime <= 0 || now >= end {
		return 0
	}
	return min(1, float64(end-now)/float64(w.ejectionTime)) * w.failureRatio
}

// outcomeCounts counts successful and failed attempts. The counts decay with age (see decayWeight).
type outcomeCounts struct {
	succeeded, failed float64
	updatedAt         time.Duration
}

// add applies the decay since the last call to the counts, and then adds the given numbers of outcomes.
func (c *outcomeCounts) add(succeeded, failed float64, now, decayTime time.Duration) {
	weight := decayWeight(now-c.updatedAt, decayTime)
	c.succeeded, c.failed, c.updatedAt = c.succeeded*weight+succeeded, c.failed*weight+failed, now
	if c.succeeded < zeroThreshold {
		c.succeeded = 0
	}
	if c.failed < zeroThreshold {
		c.failed = 0
	}
}

// firstEventTimeout returns the time after the sending of an attempt from which its first response event counts
// as overdue if it has not been received.
func (t *table) firstEventTimeout(sent *attempt, request *Request, now time.Duration) time.Duration {
	stats := sent.stats
	expectedMs := stats.service.expectedFirstEventMs(sent.prefillTokens) + t.backlogMs(stats, now)
	timeout := fromMilliseconds(ejectionTuning.overdueMultiple * expectedMs)
	if request.Route != nil {
		timeout = max(timeout, request.Route.LatencyTarget)
	}
	return timeout
}

// countOutcome counts an outcome as a success or failure of the attempt's worker. A client disconnect or an
// exceeded deadline counts as a failure only if the first response event was missing and overdue by then.
// Rejections, such as those for lack of a free slot, are not counted.
func (t *table) countOutcome(ended *attempt, outcome Outcome, now time.Duration) {
	isOverdue := !ended.firstEventSeen && now >= ended.firstEventDue
	succeeded, failed := 0.0, 0.0
	switch {
	case outcome == Completed:
		succeeded = 1
	case outcome == Failed, (outcome == ClientGone || outcome == TimedOut) && isOverdue:
		failed = 1
	default:
		return
	}
	ended.stats.outcomes.add(succeeded, failed, now, t.outcomeDecayTime())
}

func (t *table) outcomeDecayTime() time.Duration {
	return t.bounds.Recovery(ejectionTuning.outcomeDecayRatio)
}

// ejectIfSuspect ejects a worker whose failure ratio, over the recent attempts of all edge machines, is much
// higher than that of the service's other workers. Each load report of the other edge machines renews the
// ejection while that is the case. totalSucceeded and totalFailed are the numbers of recent attempts that
// succeeded and failed at all workers of the service, including this one.
func (t *table) ejectIfSuspect(worker *workerStats, totalSucceeded, totalFailed float64, now time.Duration) {
	failed, succeeded := worker.othersFailed+worker.outcomes.failed, worker.othersSucceeded+worker.outcomes.succeeded
	if failed < ejectionTuning.minFailures {
		return
	}
	peersRatio := 0.0
	if peers := totalSucceeded + totalFailed - failed - succeeded; peers > 0 {
		peersRatio = max(0, totalFailed-failed) / peers
	}
	ratio := failed / (failed + succeeded)
	if ratio <= max(ejectionTuning.minFailureRatio, ejectionTuning.peerMultiple*peersRatio) {
		return
	}
	suspectTime := t.bounds.Recovery(ejectionTuning.suspectTimeRatio)
	worker.failureRatio = max(worker.failureRatio, ratio)
	worker.ejectionTime = max(worker.ejectionTime, suspectTime)
	worker.ejectedUntil = max(worker.ejectedUntil, now+suspectTime)
}
