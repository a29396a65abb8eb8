package selection

import (
	"math"
	"time"

	"pebbleloom/internal/settings"
)

// serviceStats is what this edge machine knows of a service's workers together.
type serviceStats struct {
	// firstEventFit is a regression of the milliseconds from sending a prompt to its first event over the
	// tokens that the worker had to read. firstEventMs and msPerToken are its coefficients.
	firstEventFit     linearFit
	firstEventMs      float64 // of an empty prompt
	msPerToken        float64 // for each token read
	priorFirstEventMs float64 // assumed before any sample
	priorMsPerToken   float64
	meanPrefillTokens float64 // tokens that were read for a request, recently
	meanAttemptMs     float64 // time of an attempt, recently
	reportsLoad       bool    // its workers, or the other edge machines, report load
	meanOthersLoad    float64 // load of the others at a worker
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

// priorAttemptMultiple is the assumed time of an attempt, as a multiple of the assumed time to its first event.
const priorAttemptMultiple = 10

// expectedFirstEventMs is the expected time to the first event of a prompt that waits for nothing.
func (s *serviceStats) expectedFirstEventMs(tokens float64) float64 {
	return s.firstEventMs + s.msPerToken*tokens
}

// workerStats is what this edge machine knows of one worker, or of a store's link.
type workerStats struct {
	service *serviceStats

	// Load. The loads of others are as the worker, or the other edge machines, reported them last.
	inFlight            int           // attempts of this edge machine
	othersLoad          float64       // requests of others
	othersPendingTokens float64       // tokens of others' prompts that it had to read
	reportedAt          time.Duration // the last report
	hasReported         bool

	// Prefill of this edge machine's prompts, and transfers.
	prefillUntil    time.Duration // until then it reads prompts
	pendingPrefills []pendingPrefill
	latenessMs      float64 // by which its last first event was late
	latenessAt      time.Duration
	linkBusyUntil   time.Duration // until then its link is busy, as far as known here

	// Speed and outcomes.
	logSlowness     float64 // natural logarithm of its time to a first event, relative to its peers'
	slownessAt      time.Duration
	outcomes        outcomeCounts // of this edge machine's attempts
	othersSucceeded float64       // outcomes of others' attempts
	othersFailed    float64
	failureRatio    float64       // moving average
	recentFailures  int           // a success takes one back
	ejectedUntil    time.Duration // ejected after failures
	ejectionTime    time.Duration // of the last ejection

	// Rejections of this edge machine's attempts.
	noFreeSlotUntil time.Duration // it had no free slot
	notReadyUntil   time.Duration // it served other weights, or carried out an order
	notReadyVersion uint64        // the version that its entry had then
}

// pendingPrefill is an attempt whose first event hasn't come.
type pendingPrefill struct {
	attempt    attemptKey
	sentAt     time.Duration
	expectedMs float64 // time to the first event, if no other prompt waits
}

// decayWeight is the weight of a sample of an age: about e to the power of -age/over, but cheaper.
func decayWeight(age, over time.Duration) float64 {
	x := float64(age) / float64(over)
	if x > 8 {
		return 0
	}
	return 1 / (1 + x*(1+x*(0.5+x/6)))
}

// movingAverage moves an average towards a sample of a weight.
func movingAverage(mean, sample, weight float64) float64 {
	if mean += weight * (sample - mean); math.Abs(mean) < zeroThreshold {
		return 0
	}
	return mean
}

// estimatedLoad estimates a worker's requests, waiting ones included: the last report of those of others,
// which fades into the mean, plus this edge machine's own. If load isn't reported, the own requests stand
// for those of the other edge machines too.
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

// backlogMs estimates how long a prompt waits at a worker until it is read. It is the greatest of four
// estimates: by this edge machine's own prompts there, by those of others, by how late the last first
// event was, and by how late the next one is already.
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

// recordLoad applies a worker's own report of its load.
func (t *table) recordLoad(w *workerStats, load *Load, now time.Duration) {
	w.othersLoad = max(0, float64(load.Running+load.Waiting-w.inFlight))
	w.othersPendingTokens = max(0, min(float64(load.Waiting), w.othersLoad)) * w.service.meanPrefillTokens
	w.reportedAt, w.hasReported = now, true
	if !w.service.reportsLoad {
		w.service.reportsLoad, w.service.meanOthersLoad = true, w.othersLoad
	}
	w.service.meanOthersLoad = movingAverage(w.service.meanOthersLoad, w.othersLoad, loadTuning.sampleWeight)
}
