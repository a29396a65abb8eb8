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
	wholePart = 1.0  // of the heal bound: between two whole computations
	hotMost   = 1000 // entries asked of an index node
	drift     = 0.25 // of the floor: less than this isn't worth telling
)

// Hottest asks the index for a service's hot entries.
type Hottest func(ctx context.Context, service string) []*wire.Hot

// place is one service's placement.
type place struct {
	last *placement.Placement // as it is wanted
	told []string             // whom the document in force sets aside
	full time.Duration        // when the whole was last computed
}

// place computes placements again and again.
func (t *term) place() {
	b := t.life.Place.Bounds
	for t.ctx.Err() == nil {
		if s := t.snap(); s != nil && s.Plan != nil {
			for _, x := range s.Plan.Services {
				if _, ok := t.held(); !ok || x.Engine == nil {
					continue
				}
				hot := t.hot(t.ctx, x.Name)
				t.desk.Ask(func(*term) { t.placed(x, hot) })
			}
		}
		clock.Pause(t.ctx, b.Heal(placePart))
	}
}

// placed computes one service's placement, and has it written where it changed. The desk's.
func (t *term) placed(x routingconfig.Service, hot []*wire.Hot) {
	if len(hot) == 0 {
		return // no index node answers, or nothing was asked for yet
	}
	p := t.places[x.Name]
	if p == nil {
		p = &place{}
		t.places[x.Name] = p
	}
	now := t.life.Clock.Now()
	next, changed := replace(p, x, hot, ids(t.table.Doc().Workers, x.Name), now, t.life.Place.Bounds.Heal(wholePart))
	if changed {
		t.wantPlace(p, next)
		t.life.Log.Info("placement", "service", x.Name, "fence", t.fence, "replicated", len(next.Replicated),
			"entries", next.Entries, "r_max", next.RMax, "b", next.B, "why", next.Why)
	}
}

// replace computes the next placement, and whether it is worth telling.
func replace(p *place, x routingconfig.Service, hot []*wire.Hot, workers []string, now, whole time.Duration) (*placement.Placement, bool) {
	old := p.last
	if old != nil && p.full > 0 && now-p.full < whole && slices.Equal(workers, old.Workers) {
		return placementcontroller.Swap(old, hot)
	}
	p.full = now
	next := placementcontroller.Pick(facts(x, hot, workers), old)
	if old == nil {
		return next, true
	}
	next.Rolling = old.Rolling
	changed := !slices.Equal(next.Replicated, old.Replicated) || !slices.Equal(next.Workers, old.Workers) || next.Mode != old.Mode ||
		math.Abs(next.Floor-old.Floor) > drift*old.Floor+0.05
	return next, changed
}

// facts are what BAT's choice goes by: the engine's own link, and the prefill curve.
func facts(x routingconfig.Service, hot []*wire.Hot, workers []string) placementcontroller.Facts {
	f := placementcontroller.Facts{Service: x.Name, Mode: "hrcs", Alpha: 1, Workers: workers, Room: x.Engine.Room, Hot: hot, Curve: placement.Default()}
	if x.Engine.LinkMbps > 0 && x.Engine.TokenBytes > 0 {
		const span = 1000 * time.Second // it outweighs what is believed before anything is known
		b := x.Engine.LinkMbps * 1e6 / 8 / float64(x.Engine.TokenBytes)
		f.Links = []*wire.LinkSeen{{Class: "plan", Tokens: b * span.Seconds(), Ns: float64(span)}}
	}
	return f
}
