package selection

import (
	"math"
	"time"
)

// linearFit is a linear regression of y on x, stored as weighted sums. Older samples have exponentially lower
// weight.
type linearFit struct{ count, sumX, sumY, sumXX, sumXY float64 }

// add adds a sample to the regression. decay is the factor by which the weight of all earlier samples is
// multiplied.
func (f *linearFit) add(x, y, decay float64) {
	f.count = f.count*decay + 1
	f.sumX = f.sumX*decay + x
	f.sumY = f.sumY*decay + y
	f.sumXX = f.sumXX*decay + x*x
	f.sumXY = f.sumXY*decay + x*y
}

// coefficients returns the regression line y = base + slope*x. Base and slope are each limited to between
// 1/maxMultiple and maxMultiple times their prior (see estimatorTuning), and equal it if the samples determine
// no line.
func (f *linearFit) coefficients(priorBase, priorSlope float64) (base, slope float64) {
	base, slope = priorBase, priorSlope
	if determinant := f.count*f.sumXX - f.sumX*f.sumX; determinant > 0 && f.count > 0 {
		slope = withinMultiple((f.count*f.sumXY-f.sumX*f.sumY)/determinant, priorSlope)
		base = withinMultiple((f.sumY-slope*f.sumX)/f.count, priorBase)
	}
	return base, slope
}

// withinMultiple limits a value to between 1/maxMultiple and maxMultiple times its prior (see estimatorTuning).
func withinMultiple(value, prior float64) float64 {
	return min(max(value, prior/estimatorTuning.maxMultiple), prior*estimatorTuning.maxMultiple)
}

// learnFirstEvent updates a worker's slowness, and its service's estimates of the time to a first response
// event, with the time firstEvent from sending a prompt to its first response event. tokens is the number of
// prompt tokens that the worker prefilled.
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

// slowness returns the ratio of a worker's times to first response events to those expected of the service's
// workers; without new samples it decays towards 1.
func (t *table) slowness(w *workerStats, now time.Duration) float64 {
	if w.logSlowness == 0 {
		return 1
	}
	return math.Exp(w.logSlowness * t.slownessWeight(w, now))
}

// slownessWeight returns the factor by which a worker's slowness has decayed since its last sample.
func (t *table) slownessWeight(w *workerStats, now time.Duration) float64 {
	return decayWeight(now-w.slownessAt, t.bounds.Recovery(estimatorTuning.slownessDecayRatio))
}
