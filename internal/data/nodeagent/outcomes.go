package nodeagent

import (
	"math"
	"time"

	"pebbleloom/internal/wire"
)

const (
	outcomeWindowRatio = 1.0  // over which outcomes of attempts decay, as a ratio of the heal bound
	linkDecay          = 0.98 // weight of older fetches over a class of links when a new one is added
	maxLinkClasses     = 8
)

// recentOutcomes counts how a worker's recent attempts ended, as the proxy on this machine saw them. Older
// ones decay.
type recentOutcomes struct {
	succeeded, failed float64
	updatedAt         time.Duration
}

func (o *recentOutcomes) decay(now, window time.Duration) {
	weight := math.Exp(-float64(now-o.updatedAt) / float64(window))
	o.succeeded, o.failed, o.updatedAt = o.succeeded*weight, o.failed*weight, now
}

// recordAttempts records how attempts of the proxy on this machine ended, and how fast their fetches were.
func (a *Agent) recordAttempts(t *table, reports []*wire.AttemptReport) {
	t.workers.RecordAttempts(reports, a.clock.Now())
	for _, report := range reports {
		a.recordOutcomes(t, report)
		t.recordLink(report)
	}
}

func (a *Agent) recordOutcomes(t *table, report *wire.AttemptReport) {
	if report.Successes+report.Failures <= 0 {
		return
	}
	outcomes := t.outcomes[report.Worker]
	if outcomes == nil {
		if len(t.outcomes) >= maxWorkers {
			return
		}
		outcomes = &recentOutcomes{}
		t.outcomes[report.Worker] = outcomes
	}
	outcomes.decay(a.clock.Now(), a.process.Settings.Bounds.Heal(outcomeWindowRatio))
	outcomes.succeeded += float64(report.Successes)
	outcomes.failed += float64(report.Failures)
}

func (t *table) recordLink(report *wire.AttemptReport) {
	if report.LinkNs <= 0 {
		return
	}
	link := t.links[report.LinkClass]
	if link == nil {
		if len(t.links) > maxLinkClasses {
			return
		}
		link = &wire.LinkThroughput{Class: report.LinkClass}
		t.links[report.LinkClass] = link
	}
	link.Tokens, link.ElapsedNs = link.Tokens*linkDecay+report.LinkTokens, link.ElapsedNs*linkDecay+report.LinkNs
}
