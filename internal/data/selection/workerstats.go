package selection

import (
	"math"
	"time"

	"pebbleloom/internal/settings"
)

// serviceStats are the estimates of this edge machine that apply to all workers of a service.
type serviceStats struct {
	// firstEventFit is a linear regression of the milliseconds from sending a prompt to its first response
	// event on the number of prompt tokens that the worker had to prefill. firstEventMs and msPerToken are its
	// intercept and slope.
	firstEventFit linearFit
	// Estimated milliseconds to the first response event of an empty prompt.
	firstEventMs float64
	// Estimated milliseconds to prefill one token.
	msPerToken float64
	// Initial estimate of firstEventMs, before any sample.
	priorFirstEventMs float64
	// Initial estimate of msPerToken, before any sample.
	priorMsPerToken float64
	// Moving average of the number of prompt tokens that workers had to prefill per attempt.
	meanPrefillTokens float64
	// Moving average of the duration of completed attempts, in milliseconds.
	meanAttemptMs float64
	// Whether a worker of the service or another edge machine has reported load at least once.
	reportsLoad bool
	// Mean number of running and waiting requests from other edge machines per worker of the service.
	meanOthersLoad float64
}

func newServiceStats(bounds settings.Bounds) *serviceStats {
	firstEventMs := milliseconds(bounds.Recovery(estimatorTuning.priorFirstEventRatio))
	msPerToken := milliseconds(bounds.Recovery(estimatorTuning.priorTokenRatio))
	stats := &serviceStats{
		firstEventMs:      firstEventMs,
		msPerToken:        msPerToken,
		priorFirstEventMs: firstEventMs,
		priorMsPerToken:   msPerToken,
		meanAttemptMs:     priorAttemptMultiple * firstEventMs,
	}
	for range estimatorTuning.priorSamples {
		for _, tokens := range []float64{0, estimatorTuning.priorTokens} {
			stats.firstEventFit.add(tokens, stats.expectedFirstEventMs(tokens), 1)
		}
	}
	return stats
}

// priorAttemptMultiple is the initial estimate of an attempt's duration, as a multiple of the estimated time
// to its first response event.
const priorAttemptMultiple = 10

// expectedFirstEventMs returns the expected milliseconds to the first response event of a prompt with the given
// number of tokens to prefill, if no other prompt is queued ahead of it.
func (s *serviceStats) expectedFirstEventMs(tokens float64) float64 {
	return s.firstEventMs + s.msPerToken*tokens
}

// workerStats are the statistics that this edge machine has of one worker, or of a store's network link.
type workerStats struct {
	service *serviceStats

	// The fields below are the worker's load. The load from other edge machines is the one that the worker or
	// these edge machines reported last.

	// Number of attempts of this edge machine in flight at the worker.
	inFlight int
	// Number of running and waiting requests of other edge machines at the worker.
	othersLoad float64
	// Prompt tokens of other edge machines' requests that the worker had not prefilled yet.
	othersPendingTokens float64
	// Time at which the worker or other edge machines last reported load.
	reportedAt time.Duration
	// Whether the worker or other edge machines reported load at least once.
	hasReported bool

	// The fields below concern the prefill of prompts that this edge machine sent, and transfers of cached
	// prompt parts.

	// Expected time at which the worker has prefilled all prompts that this edge machine sent to it.
	prefillUntil time.Duration
	// Attempts in flight whose first response event has not been received.
	pendingPrefills []pendingPrefill
	// Milliseconds by which the most recent first response event of an attempt was later than expected.
	latenessMs float64
	// Time at which latenessMs was last set.
	latenessAt time.Duration
	// Expected end of the transfers of prompt parts over the worker's network link that this edge machine
	// knows of.
	linkBusyUntil time.Duration

	// The fields below are the worker's relative speed and the outcomes of its attempts.

	// Natural logarithm of the worker's time to first response events relative to the estimate for all workers
	// of the service, as a moving average.
	logSlowness float64
	// Time of the last sample that was added to logSlowness.
	slownessAt time.Duration
	// Outcomes of the recent attempts that this edge machine sent to the worker.
	outcomes outcomeCounts
	// Number of recent successful attempts of other edge machines at the worker.
	othersSucceeded float64
	// Number of recent failed attempts of other edge machines at the worker.
	othersFailed float64
	// Moving average of the fraction of attempts at the worker that failed.
	failureRatio float64
	// Number of recent failures of the worker; a success while it isn't ejected reduces it by one.
	recentFailures int
	// End of the worker's current or last ejection.
	ejectedUntil time.Duration
	// Duration of the worker's current or last ejection.
	ejectionTime time.Duration

	// The fields below are due to the worker's rejections of attempts that this edge machine sent.

	// Time until which the worker is avoided because it had no free slot.
	noFreeSlotUntil time.Duration
	// Time until which the worker is avoided because it served other weights or was executing a command.
	notReadyUntil time.Duration
	// Weights version of the attempt that the worker last rejected as not ready; the worker is avoided only
	// while it is listed with this version.
	notReadyVersion uint64
}

// pendingPrefill is an attempt in flight whose first response event has not been received.
type pendingPrefill struct {
	attempt attemptKey
	sentAt  time.Duration
	// Expected milliseconds from sending the attempt to its first response event if no other prompt is queued.
	expectedMs float64
}

// decayWeight returns the weight of a sample by its age: 1 at age 0, 3/8 at age over and 0 above 8*over. It
// approximates exp(-age/over) and is cheaper to compute.
func decayWeight(age, over time.Duration) float64 {
	x := float64(age) / float64(over)
	if x > 8 {
		return 0
	}
	return 1 / (1 + x*(1+x*(0.5+x/6)))
}

// movingAverage returns the exponential moving average mean after adding a sample with the given weight.
func movingAverage(mean, sample, weight float64) float64 {
	if mean += weight * (sample - mean); math.Abs(mean) < zeroThreshold {
		return 0
	}
	return mean
}

// estimatedLoad estimates the number of running and waiting requests of a worker: the attempts of this edge
// machine plus the last reported load from other edge machines, which decays towards the service's mean. If no
// load is reported, each of the edge machines, whose number is edges, is assumed to have as many requests there
// as this one.
func (t *table) estimatedLoad(w *workerStats, edges int, now time.Duration) float64 {
	if !w.service.reportsLoad {
		return float64(w.inFlight * edges)
	}
	weight := 0.0
	if w.hasReported {
		weight = decayWeight(now-w.reportedAt, t.bounds.Recovery(loadTuning.decayRatio))
	}
	return weight*w.othersLoad + (1-weight)*w.service.meanOthersLoad + float64(w.inFlight)
}

// backlogMs estimates how many milliseconds a prompt waits at a worker before its prefill starts. It is the
// maximum of four estimates: from the prompts that this edge machine sent, from the pending prompts of other
// edge machines, from the lateness of the most recent first response event, and from the lateness of first
// response events that have not been received yet.
func (t *table) backlogMs(w *workerStats, now time.Duration) float64 {
	decayTime := t.bounds.Recovery(loadTuning.decayRatio)
	ms := milliseconds(max(0, w.prefillUntil-now))
	if w.hasReported {
		ms = max(ms, decayWeight(now-w.reportedAt, decayTime)*w.othersPendingTokens*w.service.msPerToken)
	}
	ms = max(ms, decayWeight(now-w.latenessAt, decayTime)*w.latenessMs)
	for _, pending := range w.pendingPrefills {
		ms = max(ms, milliseconds(now-pending.sentAt)-pending.expectedMs)
	}
	return ms
}

// recordLoad applies the load that a worker reported in a response. Requests beyond those that this edge
// machine has in flight there are attributed to other edge machines.
func (t *table) recordLoad(w *workerStats, load *Load, now time.Duration) {
	w.othersLoad = max(0, float64(load.Running+load.Waiting-w.inFlight))
	w.othersPendingTokens = max(0, min(float64(load.Waiting), w.othersLoad)) * w.service.meanPrefillTokens
	w.reportedAt, w.hasReported = now, true
	if !w.service.reportsLoad {
		w.service.reportsLoad, w.service.meanOthersLoad = true, w.othersLoad
	}
	w.service.meanOthersLoad = movingAverage(w.service.meanOthersLoad, w.othersLoad, loadTuning.sampleWeight)
}
