package selection

import (
	"math"
	"time"
)

// linearFit is a regression of y over x, in which older samples count less.
type linearFit struct{ count, sumX, sumY, sumXX, sumXY float64 }

// add adds a sample; decay is the weight that the samples before it keep.
func (f *linearFit) add(x, y, decay float64) {
	f.count = f.count*decay + 1
	f.sumX = f.sumX*decay + x
	f.sumY = f.sumY*decay + y
	f.sumXX = f.sumXX*decay + x*x
	f.sumXY = f.sumXY*decay + x*y
}

// coefficients returns the line through the samples, y = base + slope*x, each bounded to a multiple of its
// prior.
func (f *linearFit) coefficients(priorBase, priorSlope float64) (base, slope float64) {
	base, slope = priorBase, priorSlope
	if determinant := f.count*f.sumXX - f.sumX*f.sumX; determinant > 0 && f.count > 0 {
		slope = withinMultiple((f.count*f.sumXY-f.sumX*f.sumY)/determinant, priorSlope)
		base = withinMultiple((f.sumY-slope*f.sumX)/f.count, priorBase)
	}
	return base, slope
}

// withinMultiple bounds a value to a multiple of its prior, either way.
func withinMultiple(value, prior float64) float64 {
	return min(max(value, prior/estimatorTuning.maxMultiple), prior*estimatorTuning.maxMultiple)
}

// learnFirstEvent applies the time of a first event to the estimates of its worker and service.
func (t *table) learnFirstEvent(w *workerStats, tokens float64, firstEvent, now time.Duration) {
	stats := w.service
	ms, expectedMs := milliseconds(firstEvent), stats.expectedFirstEventMs(tokens)
	if expectedMs > 0 {
		logRatio := math.Log(withinMultiple(ms/expectedMs, 1))
		decayed := w.logSlowness * t.slownessWeight(w, now)
		w.logSlowness, w.slownessAt = decayed+estimatorTuning.slownessWeight*(logRatio-decayed), now
		if math.Abs(w.logSlowness) < estimatorTuning.minSlowness {
			w.logSlowness = 0
		}
	}
	stats.firstEventFit.add(tokens, min(ms, expectedMs*estimatorTuning.maxMultiple), estimatorTuning.sampleDecay)
	stats.firstEventMs, stats.msPerToken = stats.firstEventFit.coefficients(stats.priorFirstEventMs, stats.priorMsPerToken)
}

// slowness is a worker's time to the first event relative to its peers'; old samples fade.
func (t *table) slowness(w *workerStats, now time.Duration) float64 {
	if w.logSlowness == 0 {
		return 1
	}
	return math.Exp(w.logSlowness * t.slownessWeight(w, now))
}

// slownessWeight is how much of a worker's slowness is left after the time since its last sample.
func (t *table) slownessWeight(w *workerStats, now time.Duration) float64 {
	return decayWeight(now-w.slownessAt, t.bounds.Heal(estimatorTuning.slownessDecayRatio))
}
