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
	pace           pace
	a, b           float64 // ms to a first event, and for each token read
	a0, b0         float64 // assumed before any came
	readTokens     float64 // read for a request, recently
	attemptMs      float64 // ms of an attempt, recently
	reportsLoad    bool    // the workers report their load
	meanOthersLoad float64 // of the others' load at a worker
}

func newServiceStats(b settings.Bounds) *serviceStats {
	h := &serviceStats{a0: b.Heal(basePart).Seconds() * 1e3, b0: b.Heal(tokenPart).Seconds() * 1e3}
	h.a, h.b, h.attemptMs = h.a0, h.b0, 10*h.a0
	for range belief {
		for _, n := range []float64{0, believedTokens} {
			h.pace.add(n, h.a0+h.b0*n, 1)
		}
	}
	return h
}

// workerStats is what this edge machine knows of one worker.
type workerStats struct {
	service             *serviceStats // of its service
	inFlight            int           // attempts of this edge machine in flight
	readingUntil        time.Duration // until then it reads prompts of this edge machine
	othersLoad          float64       // requests of others, by its last report
	othersUnread        float64       // tokens that it still had to read for them
	reportedAt          time.Duration
	reported            bool
	tally               tally   // how attempts of this edge machine ended there
	othersOK, othersBad float64 // and those of the others
	slowness            float64 // its time to the first event relative to the others', as a logarithm; 0: equal
	slownessAt          time.Duration
	failureShare        float64 // moving average of failures
	strikes             int
	outUntil            time.Duration // avoided after failures
	outFor              time.Duration
	fullUntil           time.Duration // until then: it had no free slot
	loadingUntil        time.Duration // until then: it rejected requests for other weights
	loadingVersion      uint64        // the version that its entry had then
	lateness            float64       // ms by which its last first event was late
	latenessAt          time.Duration
	// unread is an attempt without a first event.
	unread        []unread      // this edge machine's attempts there without a first event
	linkBusyUntil time.Duration // until then its link is busy, as far as known here
}

// unread is an attempt whose first piece hasn't come.
type unread struct {
	k    attemptKey
	at   time.Duration
	want float64 // expected ms until it, without a queue
}

// fade is the weight of a report of age d: about e to the power of -d, but cheaper.
func fade(d, over time.Duration) float64 {
	x := float64(d) / float64(over)
	if x > 8 {
		return 0
	}
	return 1 / (1 + x*(1+x*(0.5+x/6)))
}

// towards moves an average to a new value. It is cut off at tiny values, which are slow for the
// processor.
func towards(mean, v, part float64) float64 {
	if mean += part * (v - mean); math.Abs(mean) < nothing {
		return 0
	}
	return mean
}

// load is an estimate of a worker's requests, waiting ones included: its last report on those of
// others, which fades into the mean, plus this edge machine's own. If workers report no load, the own
// requests stand for those of the other edge machines too.
func (t *table) load(x *workerStats, edges int, now time.Duration) float64 {
	if !x.service.reportsLoad {
		return float64(x.inFlight * edges)
	}
	a := 0.0
	if x.reported {
		a = fade(now-x.reportedAt, t.bounds.Heal(fadePart))
	}
	return a*x.othersLoad + (1-a)*x.service.meanOthersLoad + float64(x.inFlight)
}

// recordLoad applies a worker's report of its load.
func (t *table) recordLoad(x *workerStats, l *Load, now time.Duration) {
	x.othersLoad = max(0, float64(l.Running+l.Waiting-x.inFlight))
	x.othersUnread = max(0, min(float64(l.Waiting), x.othersLoad)) * x.service.readTokens
	x.reportedAt, x.reported = now, true
	if !x.service.reportsLoad {
		x.service.reportsLoad, x.service.meanOthersLoad = true, x.othersLoad
	}
	x.service.meanOthersLoad = towards(x.service.meanOthersLoad, x.othersLoad, meanPart)
}

// pace is what first pieces have shown: milliseconds from a prompt's sending to its first piece,
// a + b for each token read. Older ones count less; a belief stands for some samples.
type pace struct{ n, x, y, xx, xy float64 }

func (p *pace) add(x, y, keep float64) {
	p.n, p.x, p.y, p.xx, p.xy = p.n*keep+1, p.x*keep+x, p.y*keep+y, p.xx*keep+x*x, p.xy*keep+x*y
}

// line fits it, within plausible limits.
func (p *pace) line(a0, b0 float64) (a, b float64) {
	a, b = a0, b0
	if d := p.n*p.xx - p.x*p.x; d > 0 && p.n > 0 {
		b = min(max((p.n*p.xy-p.x*p.y)/d, b0/believe), b0*believe)
		a = min(max((p.y-b*p.x)/p.n, a0/believe), a0*believe)
	}
	return a, b
}

// learn applies the time of a first event.
func (t *table) learn(x *workerStats, tokens float64, first, now time.Duration) {
	ms := first.Seconds() * 1e3
	h := x.service
	if want := h.a + h.b*tokens; want > 0 {
		f := min(max(ms/want, 1/believe), believe)
		old := x.slowness * fade(now-x.slownessAt, t.bounds.Heal(forgetPart))
		if x.slowness, x.slownessAt = old+slowPart*(math.Log(f)-old), now; math.Abs(x.slowness) < alike {
			x.slowness = 0
		}
	}
	h.pace.add(tokens, min(ms, (h.a+h.b*tokens)*believe), keepPart)
	h.a, h.b = h.pace.line(h.a0, h.b0)
}

// slowness is a worker's time to the first event relative to the others'; old samples fade.
func (t *table) slowness(x *workerStats, now time.Duration) float64 {
	if x.slowness == 0 {
		return 1
	}
	return math.Exp(x.slowness * fade(now-x.slownessAt, t.bounds.Heal(forgetPart)))
}

// recordFailure records a failure: the worker is avoided for a while that doubles with repeats and
// grows with its share of failures.
func (t *table) recordFailure(x *workerStats, now time.Duration) {
	x.failureShare = towards(x.failureShare, 1, badPart)
	d := float64(t.bounds.Heal(outPart)) * math.Exp2(float64(min(x.strikes, 8))) * (1 + 2*x.failureShare)
	x.strikes++
	x.outFor = time.Duration(min(d, float64(t.bounds.Heal(outMost))))
	x.outUntil = max(x.outUntil, now+x.outFor)
}

// recordSuccess records a success: strikes are taken back one by one, once the worker is no longer
// avoided.
func (t *table) recordSuccess(x *workerStats, now time.Duration) {
	x.failureShare = towards(x.failureShare, 0, badPart)
	if now >= x.outUntil && x.strikes > 0 {
		x.strikes--
	}
}

// distrust is how far a worker is from being trusted again after it was avoided, from 1 to 0.
func (x *workerStats) distrust(now time.Duration) float64 {
	if x.outFor <= 0 || now >= x.outUntil+x.outFor {
		return 0
	}
	return min(1, float64(x.outUntil+x.outFor-now)/float64(x.outFor)) * x.failureShare
}
