package controllers

import (
	"context"
	"math"
	"slices"
	"time"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/control/placementcontroller"
	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/data/placement"
	"pebbleloom/internal/wire"
)

const (
	recomputeRatio      = 1.0  // of the heal bound: between two full computations
	hotEntriesLimit     = 1000 // entries asked of an index node
	floorToleranceRatio = 0.25 // of the floor: a smaller change isn't published
)

// HotEntriesFunc asks the prompt index for a service's hot entries.
type HotEntriesFunc func(ctx context.Context, service string) []*wire.HotPrefix

// servicePlacement is the placement of one service.
type servicePlacement struct {
	desired           *placement.Placement // the newest one, written or pending
	publishedCordoned []string             // workers that the written document sets aside
	recomputedAt      time.Duration        // the last full computation
}

// runPlacement recomputes every service's placement periodically.
func (s *session) runPlacement() {
	b := s.process.Settings.Bounds
	for s.ctx.Err() == nil {
		if snapshot := s.latestSnapshot(); snapshot != nil && snapshot.Plan != nil {
			for _, x := range snapshot.Plan.Services {
				if _, ok := s.currentToken(); !ok || x.Engine == nil {
					continue
				}
				hot := s.hotEntries(s.ctx, x.Name)
				s.actor.Ask(func(*session) { s.updatePlacement(x, hot) })
			}
		}
		clock.Sleep(s.ctx, b.Heal(placementPollRatio))
	}
}

// updatePlacement computes one service's placement and writes it if it changed. It runs on the actor's
// goroutine.
func (s *session) updatePlacement(x routingconfig.Service, hot []*wire.HotPrefix) {
	if len(hot) == 0 {
		return // no index node answers, or there was no request yet
	}
	p := s.placements[x.Name]
	if p == nil {
		p = &servicePlacement{}
		s.placements[x.Name] = p
	}
	now := s.process.Clock.Now()
	next, changed := nextPlacement(p, x, hot, serviceWorkerIDs(s.workers.Document().Workers, x.Name), now, s.process.Settings.Bounds.Heal(recomputeRatio))
	if changed {
		s.queuePlacement(p, next)
		s.process.Log.Info("placement", "service", x.Name, "fence", s.fencingToken, "replicated", len(next.Replicated),
			"entries", next.Entries, "r_max", next.RMax, "b", next.FetchBandwidth, "why", next.Reason)
	}
}

// nextPlacement computes the next placement, and whether the change is worth publishing.
func nextPlacement(p *servicePlacement, x routingconfig.Service, hot []*wire.HotPrefix, workers []string, now, whole time.Duration) (*placement.Placement, bool) {
	old := p.desired
	if old != nil && p.recomputedAt > 0 && now-p.recomputedAt < whole && slices.Equal(workers, old.Workers) {
		return placementcontroller.SwapInBurst(old, hot)
	}
	p.recomputedAt = now
	next := placementcontroller.Compute(placementInputs(x, hot, workers), old)
	if old == nil {
		return next, true
	}
	next.Cordoned = old.Cordoned
	changed := !slices.Equal(next.Replicated, old.Replicated) || !slices.Equal(next.Workers, old.Workers) || next.Mode != old.Mode ||
		math.Abs(next.AdmissionFloor-old.AdmissionFloor) > floorToleranceRatio*old.AdmissionFloor+0.05
	return next, changed
}

// placementInputs are the inputs of the placement: the engine's own link and the prefill curve.
func placementInputs(x routingconfig.Service, hot []*wire.HotPrefix, workers []string) placementcontroller.Inputs {
	f := placementcontroller.Inputs{Service: x.Name, Mode: "hrcs", FetchTolerance: 1, Workers: workers, CapacityTokens: x.Engine.CapacityTokens, HotEntries: hot, PrefillCurve: placement.Default()}
	if x.Engine.LinkMbps > 0 && x.Engine.TokenBytes > 0 {
		const span = 1000 * time.Second // long enough to outweigh the initial estimate
		b := x.Engine.LinkMbps * 1e6 / 8 / float64(x.Engine.TokenBytes)
		f.Links = []*wire.LinkThroughput{{Class: "plan", Tokens: b * span.Seconds(), ElapsedNs: float64(span)}}
	}
	return f
}
