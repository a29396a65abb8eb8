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

// Timing and limits of the placement controller.
const (
	placementPollRatio = 0.25 // interval between placement updates, as a fraction of Bounds.Heal
	recomputeRatio     = 1.0  // interval between full computations, as a fraction of Bounds.Heal

	hotEntriesLimit = 1000 // hot entries requested from one index node
)

// linkMeasurementSpan is the measurement period assumed for the configured bandwidth of the engine's link. It
// is long enough to outweigh the initial bandwidth estimate.
const linkMeasurementSpan = 1000 * time.Second

// HotEntriesFunc queries the prompt index for the most frequently used prompt prefixes of a service.
type HotEntriesFunc func(ctx context.Context, service string) []*wire.HotPrefix

// servicePlacement is the state of one service's placement.
type servicePlacement struct {
	desired           *placement.Placement // newest placement, written or pending; nil if there is none
	publishedCordoned []string             // workers cordoned by the last written placement
	recomputedAt      time.Duration        // time of the last full computation; zero if there was none
}

// runPlacement periodically updates the placement of every service.
func (s *session) runPlacement() {
	for s.ctx.Err() == nil {
		if snapshot := s.latestSnapshot(); snapshot != nil && snapshot.Plan != nil {
			s.updatePlacements(snapshot.Plan.Services)
		}
		clock.Sleep(s.ctx, s.process.Settings.Bounds.Heal(placementPollRatio))
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

// updatePlacement computes one service's placement and queues it for writing if it has changed. It runs on
// the actor's goroutine.
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
	next, changed := nextPlacement(p, service, hot, workers, now, s.process.Settings.Bounds.Heal(recomputeRatio))
	if changed {
		s.queuePlacement(p, next)
		s.process.Log.Info("placement", "service", service.Name, "fencing_token", s.fencingToken, "replicated", len(next.Replicated),
			"entries", next.Entries, "r_max", next.RMax, "fetch_bandwidth", next.FetchBandwidth, "reason", next.Reason)
	}
}

// nextPlacement returns the next placement and whether it differs enough from the current one to be published.
// Between full computations, it only replaces the coldest replicated prefixes by ones that have become hot in a
// burst of requests.
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

// placementInputs returns the inputs of a placement computation. The fetch bandwidth is the link bandwidth of
// the engine in the routing configuration, where it is set.
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
