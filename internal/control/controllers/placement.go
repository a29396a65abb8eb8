package controllers

import (
	"context"
	"slices"
	"time"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/control/placementcontroller"
	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/data/placement"
	"pebbleloom/internal/wire"
)

// Timing and limits of the controller that places prompt prefixes on workers.
const (
	placementPollRatio = 0.25 // interval between updates of the assignment of a service's cached prompt prefixes to workers, as a fraction of the recovery time bound Bounds.Recovery
	recomputeRatio     = 1.0  // interval between full computations of the assignment of a service's cached prompt prefixes to workers, as a fraction of the recovery time bound Bounds.Recovery

	hotEntriesLimit = 1000 // maximum number of prompt prefixes requested from each index node, the most frequently used first
)

// linkMeasurementSpan is the measurement period under which the configured bandwidth of an engine's network link is
// passed to the placement computation. It is long enough to outweigh the initial bandwidth estimate of that
// computation.
const linkMeasurementSpan = 1000 * time.Second

// HotEntriesFunc queries the prompt index for the most frequently used prompt prefixes of a service.
type HotEntriesFunc func(ctx context.Context, service string) []*wire.HotPrefix

// servicePlacement tracks the newest placement of one service's prompt prefixes on workers, and what of it has been
// written to the control state.
type servicePlacement struct {
	desired           *placement.Placement // newest placement of the service's prompt prefixes, whether written or still to be written; nil before the first one
	publishedCordoned []string             // IDs of the workers that the last written placement cordons
	recomputedAt      time.Duration        // time of the last full computation of the placement in this session; zero before the first one
}

// runPlacement periodically updates the placement of every service's prompt prefixes on workers until the session ends.
func (s *session) runPlacement() {
	for s.ctx.Err() == nil {
		if snapshot := s.latestSnapshot(); snapshot != nil && snapshot.Plan != nil {
			s.updatePlacements(snapshot.Plan.Services)
		}
		clock.Sleep(s.ctx, s.process.Settings.Bounds.Recovery(placementPollRatio))
	}
}

func (s *session) updatePlacements(services []routingconfig.Service) {
	for _, service := range services {
		if _, ok := s.currentToken(); !ok || service.Engine == nil {
			continue
		}
		hot := s.hotEntries(s.ctx, service.Name)
		s.actor.Ask(func(*session) { s.updatePlacement(service, hot) })
	}
}

// updatePlacement computes a service's placement from its most frequently used prompt prefixes, and queues the
// placement for writing if it changed. It runs on the session's actor goroutine.
func (s *session) updatePlacement(service routingconfig.Service, hot []*wire.HotPrefix) {
	if len(hot) == 0 {
		return // no index node responded, or the service has had no requests yet
	}
	p := s.placements[service.Name]
	if p == nil {
		p = &servicePlacement{}
		s.placements[service.Name] = p
	}
	now := s.process.Clock.Now()
	workers := serviceWorkerIDs(s.workers.Document().Workers, service.Name)
	next, changed := nextPlacement(p, service, hot, workers, now, s.process.Settings.Bounds.Recovery(recomputeRatio))
	if changed {
		s.queuePlacement(p, next)
		s.process.Log.Info("placement", "service", service.Name, "fencing_token", s.fencingToken, "replicated", len(next.Replicated),
			"entries", next.Entries, "r_max", next.RMax, "fetch_bandwidth", next.FetchBandwidth, "reason", next.Reason)
	}
}

// nextPlacement returns the next placement of a service's prompt prefixes, and whether it differs enough from the
// current one to be published. Between full computations, it only replaces the least used replicated prefixes by ones
// that have become hot in a burst of requests.
func nextPlacement(p *servicePlacement, service routingconfig.Service, hot []*wire.HotPrefix, workers []string,
	now, recomputeInterval time.Duration) (*placement.Placement, bool) {
	old := p.desired
	if old != nil && p.recomputedAt > 0 && now-p.recomputedAt < recomputeInterval && slices.Equal(workers, old.Workers) {
		return placementcontroller.SwapInBurst(old, hot)
	}
	p.recomputedAt = now
	next := placementcontroller.Compute(placementInputs(service, hot, workers), old)
	if old != nil {
		next.Cordoned = old.Cordoned
	}
	return next, placement.Changed(old, next)
}

// placementInputs returns the inputs for computing a service's placement. If the routing configuration sets the link
// bandwidth of the service's engine, that is the bandwidth at which workers are assumed to fetch cached prefixes.
func placementInputs(service routingconfig.Service, hot []*wire.HotPrefix, workers []string) placementcontroller.Inputs {
	inputs := placementcontroller.Inputs{
		Service:        service.Name,
		Mode:           placement.ModeHRCS,
		FetchTolerance: 1,
		Workers:        workers,
		CapacityTokens: service.Engine.CapacityTokens,
		HotEntries:     hot,
		PrefillCurve:   placement.Default(),
	}
	if service.Engine.LinkMbps > 0 && service.Engine.TokenBytes > 0 {
		tokensPerSecond := service.Engine.LinkMbps * 1e6 / 8 / float64(service.Engine.TokenBytes)
		inputs.Links = []*wire.LinkThroughput{{Class: "plan", Tokens: tokensPerSecond * linkMeasurementSpan.Seconds(), ElapsedNs: float64(linkMeasurementSpan)}}
	}
	return inputs
}
