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

// Timing and limits of the placement.
const (
	placementPollRatio = 0.25 // of the heal bound: between two placement computations
	recomputeRatio     = 1.0  // of the heal bound: between two full computations

	hotEntriesLimit = 1000 // entries requested from an index node
)

// linkSpan is how long the engine's own link counts as measured: long enough to outweigh the initial
// estimate of the bandwidth.
const linkSpan = 1000 * time.Second

// HotEntriesFunc asks the prompt index for a service's hot entries.
type HotEntriesFunc func(ctx context.Context, service string) []*wire.HotPrefix

// servicePlacement is the placement of one service.
type servicePlacement struct {
	desired           *placement.Placement // the newest one, written or pending; nil: none yet
	publishedCordoned []string             // workers that the written document cordons
	recomputedAt      time.Duration        // the last full computation; zero: none yet
}

// runPlacement recomputes every service's placement periodically.
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

// updatePlacement computes one service's placement and queues it for writing if it changed. It runs on
// the actor's goroutine.
func (s *session) updatePlacement(service routingconfig.Service, hot []*wire.HotPrefix) {
	if len(hot) == 0 {
		return // no index node answers, or there was no request yet
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

// nextPlacement computes the next placement, and whether the change is worth publishing. In between full
// computations it only swaps entries in.
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

// placementInputs are the inputs of the placement. The bandwidth is that of the engine's own link, which
// the routing configuration gives.
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
		inputs.Links = []*wire.LinkThroughput{{Class: "plan", Tokens: tokensPerSecond * linkSpan.Seconds(), ElapsedNs: float64(linkSpan)}}
	}
	return inputs
}
