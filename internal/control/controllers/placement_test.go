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

// serviceWithLink returns a service whose engine has a network link of the given bandwidth in Mbit/s.
func serviceWithLink(mbps float64) routingconfig.Service {
	return routingconfig.Service{Name: "reading", Engine: &routingconfig.Engine{CapacityTokens: 100000, TokenBytes: 18432, LinkMbps: mbps}}
}

// hotPrefixes returns count prompt prefixes. Their hotness, a measure of how often they are used, begins at hottest and
// decreases by one from each prefix to the next.
func hotPrefixes(count int, hottest float64) (prefixes []*wire.HotPrefix) {
	for i := range count {
		prefixes = append(prefixes, &wire.HotPrefix{Key: fmt.Appendf(nil, "k%02d", i), Hotness: hottest - float64(i), Tokens: 1000, Head: i < count/2})
	}
	return prefixes
}

// The bandwidth at which a placement assumes that workers fetch cached prefixes is that of the engine's configured
// link, regardless of the initial estimate. With a slower link, more prefixes are replicated.
func TestBandwidthIsThatOfTheEnginesLink(t *testing.T) {
	fast := placementcontroller.Compute(placementInputs(serviceWithLink(370000), hotPrefixes(20, 30), []string{"1", "2", "3"}), nil)
	want := 370000e6 / 8 / 18432
	if fast.FetchBandwidth < 0.99*want || fast.FetchBandwidth > 1.01*want {
		t.Errorf("fetch bandwidth of a placement for a link of 370000 Mbit/s: %v tokens/s, want %v within 1%%", fast.FetchBandwidth, want)
	}
	slow := placementcontroller.Compute(placementInputs(serviceWithLink(10), hotPrefixes(20, 30), []string{"1", "2", "3"}), nil)
	if len(slow.Replicated) <= len(fast.Replicated) {
		t.Errorf("placement for a link of 10 Mbit/s replicates %d prefixes, want more than the %d of one for 370000 Mbit/s", len(slow.Replicated), len(fast.Replicated))
	}
}

// A placement is computed in full at the recomputation interval and when the workers of the service change. In between,
// it changes only on a burst of requests for a new prefix. The cordoned workers stay cordoned.
func TestNextPlacement(t *testing.T) {
	const interval = 12 * time.Second
	workers := []string{"1", "2"}
	first := &servicePlacement{}
	old, changed := nextPlacement(first, serviceWithLink(10), hotPrefixes(20, 30), workers, time.Minute, interval)
	if !changed || first.recomputedAt != time.Minute {
		t.Fatalf("first placement of a service at 1m0s: published = %v, last full computation at %v; want it published and computed at 1m0s", changed, first.recomputedAt)
	}
	old.Cordoned = []string{"2"}
	burst := append(hotPrefixes(20, 30), &wire.HotPrefix{Key: []byte("new"), Hotness: 90, Tokens: 1000})
	for _, test := range []struct {
		name    string
		hot     []*wire.HotPrefix
		workers []string
		after   time.Duration // time since the last full computation of the placement
		changed bool          // whether the placement should be published
		full    bool          // whether the placement should be computed in full
	}{
		{"same hot prefixes shortly after a full computation", hotPrefixes(20, 30), workers, time.Second, false, false},
		{"same hot prefixes when a full computation is due", hotPrefixes(20, 30), workers, interval, false, true},
		{"burst of requests for a new prefix shortly after a full computation", burst, workers, time.Second, true, false},
		{"additional worker shortly after a full computation", hotPrefixes(20, 30), []string{"1", "2", "3"}, time.Second, true, true},
	} {
		current := &servicePlacement{desired: old, recomputedAt: time.Minute}
		next, changed := nextPlacement(current, serviceWithLink(10), test.hot, test.workers, time.Minute+test.after, interval)
		if changed != test.changed || (current.recomputedAt != time.Minute) != test.full {
			t.Errorf("nextPlacement with %s: published = %v, want %v; last full computation at %v, want a new one after 1m0s = %v", test.name, changed, test.changed, current.recomputedAt, test.full)
		}
		if !slices.Equal(next.Cordoned, old.Cordoned) {
			t.Errorf("nextPlacement with %s: cordoned workers %v, want %v", test.name, next.Cordoned, old.Cordoned)
		}
	}
	var none *placement.Placement
	if next, changed := nextPlacement(&servicePlacement{desired: none}, serviceWithLink(10), hotPrefixes(20, 30), workers, time.Minute, interval); !changed || next.Mode != placement.ModeHRCS {
		t.Errorf("first placement of a service: published = %v, placement %+v; want it published, in mode %v", changed, next, placement.ModeHRCS)
	}
}
