package controllers

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pebbleloom/internal/control/placementcontroller"
	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/data/placement"
	"pebbleloom/internal/wire"
)

func engine(mbps float64) routingconfig.Service {
	return routingconfig.Service{Name: "reading", Engine: &routingconfig.Engine{CapacityTokens: 100000, TokenBytes: 18432, LinkMbps: mbps}}
}

// head gives n entries whose hotness falls from f by one each.
func head(n int, f float64) (l []*wire.HotPrefix) {
	for i := range n {
		l = append(l, &wire.HotPrefix{Key: fmt.Appendf(nil, "k%02d", i), Hotness: f - float64(i), Tokens: 1000, Head: i < n/2})
	}
	return l
}

// The bandwidth is the engine's own link, whatever is believed before anything is known.
func TestBandwidthIsThePlans(t *testing.T) {
	p := placementcontroller.Compute(placementInputs(engine(370000), head(20, 30), []string{"1", "2", "3"}), nil)
	want := 370000e6 / 8 / 18432
	if p.FetchBandwidth < 0.99*want || p.FetchBandwidth > 1.01*want {
		t.Errorf("%v, want %v", p.FetchBandwidth, want)
	}
	slow := placementcontroller.Compute(placementInputs(engine(10), head(20, 30), []string{"1", "2", "3"}), nil)
	if len(slow.Replicated) <= len(p.Replicated) {
		t.Errorf("slow links replicate %d, fast ones %d", len(slow.Replicated), len(p.Replicated))
	}
}

func TestWhenAPlacementIsPublished(t *testing.T) {
	const whole = 12 * time.Second
	ws := []string{"1", "2"}
	first := &servicePlacement{}
	old, changed := nextPlacement(first, engine(10), head(20, 30), ws, time.Minute, whole)
	if !changed || first.recomputedAt != time.Minute {
		t.Fatal("the first isn't reported")
	}
	old.Cordoned = []string{"2"}
	burst := append(head(20, 30), &wire.HotPrefix{Key: []byte("new"), Hotness: 90, Tokens: 1000})
	for _, c := range []struct {
		name    string
		hot     []*wire.HotPrefix
		workers []string
		after   time.Duration
		changed bool
		whole   bool
	}{
		{"nothing new", head(20, 30), ws, time.Second, false, false},
		{"nothing new in the whole", head(20, 30), ws, whole, false, true},
		{"a burst", burst, ws, time.Second, true, false},
		{"another worker", head(20, 30), []string{"1", "2", "3"}, time.Second, true, true},
	} {
		p := &servicePlacement{desired: old, recomputedAt: time.Minute}
		next, changed := nextPlacement(p, engine(10), c.hot, c.workers, time.Minute+c.after, whole)
		if changed != c.changed || (p.recomputedAt != time.Minute) != c.whole {
			t.Errorf("%s: changed %v, computed at %v", c.name, changed, p.recomputedAt)
		}
		if !slices.Equal(next.Cordoned, old.Cordoned) {
			t.Errorf("%s: who is set aside got lost", c.name)
		}
	}
	var none *placement.Placement
	if next, changed := nextPlacement(&servicePlacement{desired: none}, engine(10), head(20, 30), ws, time.Minute, whole); !changed || next.Mode != "hrcs" {
		t.Errorf("%+v", next)
	}
}
