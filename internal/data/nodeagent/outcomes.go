package nodeagent

import (
	"math"
	"time"

	"pebbleloom/internal/wire"
)

const (
	// outcomeDecayRatio is the time in which the weight of an attempt in the recent outcomes of a worker decays to 1/e,
	// as a ratio of the recovery time bound (Bounds.Recovery).
	outcomeDecayRatio = 1.0
	// linkDecay is the factor by which the tokens and times of earlier prefix fetches over a class of network links are
	// multiplied when a new fetch report is added to them.
	linkDecay = 0.98
	// maxLinkClasses limits the number of classes of network links whose throughput is recorded.
	maxLinkClasses = 8
)

// recentOutcomes counts the successes and failures of attempts that the proxy on this machine made at a worker, each
// weighted by exponential decay over its age.
type recentOutcomes struct {
	succeeded, failed float64
	updatedAt         time.Duration
}

// decay applies the exponential decay of the counts of successes and failures up to now.
func (o *recentOutcomes) decay(now, timeConstant time.Duration) {
	weight := math.Exp(-float64(now-o.updatedAt) / float64(timeConstant))
	o.succeeded, o.failed, o.updatedAt = o.succeeded*weight, o.failed*weight, now
}

// recordAttempts records the outcomes of attempts that the proxy on this machine reports, and the throughput of its
// prefix fetches.
func (a *Agent) recordAttempts(s *agentState, reports []*wire.AttemptReport) {
	s.workers.RecordAttempts(reports, a.clock.Now())
	for _, report := range reports {
		a.recordOutcomes(s, report)
		s.recordLink(report)
	}
}

// recordOutcomes adds the numbers of successful and failed attempts in a report of the proxy on this machine to the
// recent outcomes of the worker.
func (a *Agent) recordOutcomes(s *agentState, report *wire.AttemptReport) {
	if report.Successes+report.Failures <= 0 {
		return
	}
	outcomes := s.outcomes[report.Worker]
	if outcomes == nil {
		if len(s.outcomes) >= maxWorkers {
			return
		}
		outcomes = &recentOutcomes{}
		s.outcomes[report.Worker] = outcomes
	}
	outcomes.decay(a.clock.Now(), a.process.Settings.Bounds.Recovery(outcomeDecayRatio))
	outcomes.succeeded += float64(report.Successes)
	outcomes.failed += float64(report.Failures)
}

// recordLink adds the fetches of cached prefixes in a report of the proxy on this machine to the throughput of their
// class of network links.
func (s *agentState) recordLink(report *wire.AttemptReport) {
	if report.LinkNs <= 0 {
		return
	}
	link := s.links[report.LinkClass]
	if link == nil {
		if len(s.links) > maxLinkClasses {
			return
		}
		link = &wire.LinkThroughput{Class: report.LinkClass}
		s.links[report.LinkClass] = link
	}
	link.Tokens, link.ElapsedNs = link.Tokens*linkDecay+report.LinkTokens, link.ElapsedNs*linkDecay+report.LinkNs
}
