package selection

import (
	"math"
	"time"

	"pebbleloom/internal/settings"
)

// serviceStats are the estimates of this edge machine that apply to all workers of a service.
type serviceStats struct {
	// firstEventFit is a regression of the milliseconds from sending a prompt to its first response event on
	// the number of prompt tokens that the worker had to prefill. firstEventMs and msPerToken are its
	// coefficients.
	firstEventFit linearFit
	// Estimated time to the first response event of an empty prompt.
	firstEventMs float64
	// Estimated prefill time per token.
	msPerToken float64
	// Initial estimate of firstEventMs, before any sample.
	priorFirstEventMs float64
	// Initial estimate of msPerToken, before any sample.
	priorMsPerToken float64
	// Moving average of the prompt tokens that were prefilled per request.
	meanPrefillTokens float64
	// Moving average of the duration of an attempt.
	meanAttemptMs float64
	// Whether the workers of the service or other edge machines report load.
	reportsLoad bool
	// Mean number of requests from other edge machines at a worker.
	meanOthersLoad float64
}

func newServiceStats(bounds settings.Bounds) *serviceStats {
	firstEventMs := milliseconds(bounds.Heal(estimatorTuning.priorFirstEventRatio))
	msPerToken := milliseconds(bounds.Heal(estimatorTuning.priorTokenRatio))
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

// expectedFirstEventMs returns the expected time to the first response event of a prompt that isn't queued.
func (s *serviceStats) expectedFirstEventMs(tokens float64) float64 {
	return s.firstEventMs + s.msPerToken*tokens
}

// workerStats are the statistics that this edge machine has of one worker, or of a store's network link.
type workerStats struct {
	service *serviceStats

	// Load statistics. The loads of other edge machines are those that the worker or the edge machines
	// reported last.

	// Number of attempts of this edge machine in flight at the worker.
	inFlight int
	// Number of requests of other edge machines at the worker.
	othersLoad float64
	// Prompt tokens of other edge machines' requests that the worker had not prefilled yet.
	othersPendingTokens float64
	// Time of the last load report.
	reportedAt time.Duration
	// Whether the load was reported at least once.
	hasReported bool

	// Prefill of the prompts that this edge machine sent, and transfers of cached parts.

	// Expected end of the prefill of all prompts that this edge machine sent.
	prefillUntil time.Duration
	// Attempts without a first response event.
	pendingPrefills []pendingPrefill
	// Milliseconds by which the last first response event was later than expected.
	latenessMs float64
	// Time of the sample in latenessMs.
	latenessAt time.Duration
	// Expected end of the transfers on the link that this edge machine knows of.
	linkBusyUntil time.Duration

	// Relative speed of the worker, and outcomes of its attempts.

	// Natural logarithm of the time to first response events relative to the worker's peers.
	logSlowness float64
	// Time of the last sample in logSlowness.
	slownessAt time.Duration
	// Outcomes of the attempts that this edge machine sent.
	outcomes outcomeCounts
	// Successful attempts of other edge machines.
	othersSucceeded float64
	// Failed attempts of other edge machines.
	othersFailed float64
	// Moving average of the failure ratio of attempts.
	failureRatio float64
	// Number of recent failures; each success reduces it by one.
	recentFailures int
	// End of the current or last ejection.
	ejectedUntil time.Duration
	// Duration of the last ejection.
	ejectionTime time.Duration

	// Rejections of the attempts that this edge machine sent.

	// The worker had no free slot and is avoided until this time.
	noFreeSlotUntil time.Duration
	// The worker served other weights or was executing a command, and is avoided until this time.
	notReadyUntil time.Duration
	// Weights version that the snapshot listed for the worker when it rejected the attempt as not ready.
	notReadyVersion uint64
}

// pendingPrefill is an attempt without a first response event.
type pendingPrefill struct {
	attempt attemptKey
	sentAt  time.Duration
	// Expected time to the first response event if no other prompt is queued.
	expectedMs float64
}

// decayWeight returns the weight of a sample by its age: about exp(-age/over), by an approximation that is
// cheaper to compute.
func decayWeight(age, over time.Duration) float64 {
	x := float64(age) / float64(over)
	if x > 8 {
		return 0
	}
	return 1 / (1 + x*(1+x*(0.5+x/6)))
}

// movingAverage returns an exponential moving average after a sample with the given weight.
func movingAverage(mean, sample, weight float64) float64 {
	if mean += weight * (sample - mean); math.Abs(mean) < zeroThreshold {
		return 0
	}
	return mean
}

// estimatedLoad estimates the running and waiting requests of a worker: the attempts of this edge machine plus
// the last reported load of the others, which decays towards the service's mean. If no load is reported, the
// other edge machines are assumed to have as many requests there as this one.
func (t *table) estimatedLoad(w *workerStats, edges int, now time.Duration) float64 {
	if !w.service.reportsLoad {
		return float64(w.inFlight * edges)
	}
	weight := 0.0
	if w.hasReported {
		weight = decayWeight(now-w.reportedAt, t.bounds.Heal(loadTuning.decayRatio))
	}
	return weight*w.othersLoad + (1-weight)*w.service.meanOthersLoad + float64(w.inFlight)
}

// backlogMs estimates how long a prompt waits at a worker before its prefill starts. It is the maximum of four
// estimates: from the prompts that this edge machine sent, from the pending prompts of other edge machines,
// from the lateness of the last first response event, and from the lateness of events still outstanding.
func (t *table) backlogMs(w *workerStats, now time.Duration) float64 {
	decayTime := t.bounds.Heal(loadTuning.decayRatio)
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

// recordLoad applies the load that a worker reported in a response.
func (t *table) recordLoad(w *workerStats, load *Load, now time.Duration) {
	w.othersLoad = max(0, float64(load.Running+load.Waiting-w.inFlight))
	w.othersPendingTokens = max(0, min(float64(load.Waiting), w.othersLoad)) * w.service.meanPrefillTokens
	w.reportedAt, w.hasReported = now, true
	if !w.service.reportsLoad {
		w.service.reportsLoad, w.service.meanOthersLoad = true, w.othersLoad
	}
	w.service.meanOthersLoad = movingAverage(w.service.meanOthersLoad, w.othersLoad, loadTuning.sampleWeight)
}
