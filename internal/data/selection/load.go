package selection

import (
	"math"
	"time"

	"pebbleloom/internal/settings"
)

// serviceStats is what this edge machine knows of a service's workers together.
type serviceStats struct {
	// pace is a regression of the milliseconds from sending a prompt to its first event: a + b for each
	// token read. Older samples count less; the prior stands for some samples.
	firstEventFit                      linearFit
	firstEventMs, msPerToken           float64 // ms to a first event, and for each token read
	priorFirstEventMs, priorMsPerToken float64 // assumed before any came
	meanPrefillTokens                  float64 // read for a request, recently
	meanAttemptMs                      float64 // ms of an attempt, recently
	reportsLoad                        bool    // the workers report their load
	meanOthersLoad                     float64 // of the others' load at a worker
}

func newServiceStats(b settings.Bounds) *serviceStats {
	h := &serviceStats{priorFirstEventMs: b.Heal(basePart).Seconds() * 1e3, priorMsPerToken: b.Heal(tokenPart).Seconds() * 1e3}
	h.firstEventMs, h.msPerToken, h.meanAttemptMs = h.priorFirstEventMs, h.priorMsPerToken, 10*h.priorFirstEventMs
	for range belief {
		for _, n := range []float64{0, believedTokens} {
			h.firstEventFit.add(n, h.priorFirstEventMs+h.priorMsPerToken*n, 1)
		}
	}
	return h
}

// workerStats is what this edge machine knows of one worker.
type workerStats struct {
	service                       *serviceStats // of its service
	inFlight                      int           // attempts of this edge machine in flight
	prefillUntil                  time.Duration // until then it reads prompts of this edge machine
	othersLoad                    float64       // requests of others, by its last report
	othersPendingTokens           float64       // tokens that it still had to read for them
	reportedAt                    time.Duration
	reported                      bool
	outcomes                      outcomeCounts // how attempts of this edge machine ended there
	othersSucceeded, othersFailed float64       // and those of the others
	logSlowness                   float64       // its time to the first event relative to the others', as a logarithm; 0: equal
	slownessAt                    time.Duration
	failureRatio                  float64 // moving average of failures
	recentFailures                int
	ejectedUntil                  time.Duration // avoided after failures
	ejectionTime                  time.Duration
	noFreeSlotUntil               time.Duration // until then: it had no free slot
	notReadyUntil                 time.Duration // until then: it rejected requests for other weights
	notReadyVersion               uint64        // the version that its entry had then
	latenessMs                    float64       // ms by which its last first event was late
	latenessAt                    time.Duration
	// unread is an attempt without a first event.
	pendingPrefills []pendingPrefill // this edge machine's attempts there without a first event
	linkBusyUntil   time.Duration    // until then its link is busy, as far as known here
}

// pendingPrefill is an attempt whose first piece hasn't come.
type pendingPrefill struct {
	attempt    attemptKey
	sentAt     time.Duration
	expectedMs float64 // expected ms until it, without a queue
}

// decayWeight is the weight of a report of age d: about e to the power of -d, but cheaper.
func decayWeight(d, over time.Duration) float64 {
	x := float64(d) / float64(over)
	if x > 8 {
		return 0
	}
	return 1 / (1 + x*(1+x*(0.5+x/6)))
}

// movingAverage moves an average to a new value. It is cut off at tiny values, which are slow for the
// processor.
func movingAverage(mean, v, part float64) float64 {
	if mean += part * (v - mean); math.Abs(mean) < nothing {
		return 0
	}
	return mean
}

// estimatedLoad is an estimate of a worker's requests, waiting ones included: its last report on those of
// others, which fades into the mean, plus this edge machine's own. If workers report no load, the own
// requests stand for those of the other edge machines too.
func (t *table) estimatedLoad(x *workerStats, edges int, now time.Duration) float64 {
	if !x.service.reportsLoad {
		return float64(x.inFlight * edges)
	}
	a := 0.0
	if x.reported {
		a = decayWeight(now-x.reportedAt, t.bounds.Heal(fadePart))
	}
	return a*x.othersLoad + (1-a)*x.service.meanOthersLoad + float64(x.inFlight)
}

// recordLoad applies a worker's report of its load.
func (t *table) recordLoad(x *workerStats, l *Load, now time.Duration) {
	x.othersLoad = max(0, float64(l.Running+l.Waiting-x.inFlight))
	x.othersPendingTokens = max(0, min(float64(l.Waiting), x.othersLoad)) * x.service.meanPrefillTokens
	x.reportedAt, x.reported = now, true
	if !x.service.reportsLoad {
		x.service.reportsLoad, x.service.meanOthersLoad = true, x.othersLoad
	}
	x.service.meanOthersLoad = movingAverage(x.service.meanOthersLoad, x.othersLoad, meanPart)
}

// linearFit is what first pieces have shown: milliseconds from a prompt's sending to its first piece,
// a + b for each token read. Older ones count less; a belief stands for some samples.
type linearFit struct{ count, sumX, sumY, sumXX, sumXY float64 }

func (p *linearFit) add(x, y, keep float64) {
	p.count, p.sumX, p.sumY, p.sumXX, p.sumXY = p.count*keep+1, p.sumX*keep+x, p.sumY*keep+y, p.sumXX*keep+x*x, p.sumXY*keep+x*y
}

// coefficients fits it, within plausible limits.
func (p *linearFit) coefficients(a0, b0 float64) (a, b float64) {
	a, b = a0, b0
	if d := p.count*p.sumXX - p.sumX*p.sumX; d > 0 && p.count > 0 {
		b = min(max((p.count*p.sumXY-p.sumX*p.sumY)/d, b0/believe), b0*believe)
		a = min(max((p.sumY-b*p.sumX)/p.count, a0/believe), a0*believe)
	}
	return a, b
}

// learnFirstEvent applies the time of a first event.
func (t *table) learnFirstEvent(x *workerStats, tokens float64, first, now time.Duration) {
	ms := first.Seconds() * 1e3
	h := x.service
	if want := h.firstEventMs + h.msPerToken*tokens; want > 0 {
		f := min(max(ms/want, 1/believe), believe)
		old := x.logSlowness * decayWeight(now-x.slownessAt, t.bounds.Heal(forgetPart))
		if x.logSlowness, x.slownessAt = old+slowPart*(math.Log(f)-old), now; math.Abs(x.logSlowness) < alike {
			x.logSlowness = 0
		}
	}
	h.firstEventFit.add(tokens, min(ms, (h.firstEventMs+h.msPerToken*tokens)*believe), keepPart)
	h.firstEventMs, h.msPerToken = h.firstEventFit.coefficients(h.priorFirstEventMs, h.priorMsPerToken)
}

// slowness is a worker's time to the first event relative to the others'; old samples fade.
func (t *table) slowness(x *workerStats, now time.Duration) float64 {
	if x.logSlowness == 0 {
		return 1
	}
	return math.Exp(x.logSlowness * decayWeight(now-x.slownessAt, t.bounds.Heal(forgetPart)))
}

// recordFailure records a failure: the worker is avoided for a while that doubles with repeats and
// grows with its share of failures.
func (t *table) recordFailure(x *workerStats, now time.Duration) {
	x.failureRatio = movingAverage(x.failureRatio, 1, badPart)
	d := float64(t.bounds.Heal(outPart)) * math.Exp2(float64(min(x.recentFailures, 8))) * (1 + 2*x.failureRatio)
	x.recentFailures++
	x.ejectionTime = time.Duration(min(d, float64(t.bounds.Heal(outMost))))
	x.ejectedUntil = max(x.ejectedUntil, now+x.ejectionTime)
}

// recordSuccess records a success: strikes are taken back one by one, once the worker is no longer
// avoided.
func (t *table) recordSuccess(x *workerStats, now time.Duration) {
	x.failureRatio = movingAverage(x.failureRatio, 0, badPart)
	if now >= x.ejectedUntil && x.recentFailures > 0 {
		x.recentFailures--
	}
}

// slowStartRatio is how far a worker is from being trusted again after it was avoided, from 1 to 0.
func (x *workerStats) slowStartRatio(now time.Duration) float64 {
	if x.ejectionTime <= 0 || now >= x.ejectedUntil+x.ejectionTime {
		return 0
	}
	return min(1, float64(x.ejectedUntil+x.ejectionTime-now)/float64(x.ejectionTime)) * x.failureRatio
}
