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

func serviceWithLink(mbps float64) routingconfig.Service {
	return routingconfig.Service{Name: "reading", Engine: &routingconfig.Engine{CapacityTokens: 100000, TokenBytes: 18432, LinkMbps: mbps}}
}

// hotPrefixes returns count entries whose hotness decreases by one from each entry to the next.
func hotPrefixes(count int, hottest float64) (prefixes []*wire.HotPrefix) {
	for i := range count {
		prefixes = append(prefixes, &wire.HotPrefix{Key: fmt.Appendf(nil, "k%02d", i), Hotness: hottest - float64(i), Tokens: 1000, Head: i < count/2})
	}
	return prefixes
}

// The fetch bandwidth of a placement is that of the engine's configured link, regardless of the initial
// estimate. Slower links lead to more replicated entries.
func TestBandwidthIsThatOfTheEnginesLink(t *testing.T) {
	fast := placementcontroller.Compute(placementInputs(serviceWithLink(370000), hotPrefixes(20, 30), []string{"1", "2", "3"}), nil)
	want := 370000e6 / 8 / 18432
	if fast.FetchBandwidth < 0.99*want || fast.FetchBandwidth > 1.01*want {
		t.Errorf("fetch bandwidth = %v tokens/s, want %v within 1%%", fast.FetchBandwidth, want)
	}
	slow := placementcontroller.Compute(placementInputs(serviceWithLink(10), hotPrefixes(20, 30), []string{"1", "2", "3"}), nil)
	if len(slow.Replicated) <= len(fast.Replicated) {
		t.Errorf("a slow link replicates %d entries, want more than the %d of a fast link", len(slow.Replicated), len(fast.Replicated))
	}
}

func TestNextPlacement(t *testing.T) {
	const interval = 12 * time.Second
	workers := []string{"1", "2"}
	first := &servicePlacement{}
	old, changed := nextPlacement(first, serviceWithLink(10), hotPrefixes(20, 30), workers, time.Minute, interval)
	if !changed || first.recomputedAt != time.Minute {
		t.Fatal("the first placement of a service was not fully computed and published")
	}
	old.Cordoned = []string{"2"}
	burst := append(hotPrefixes(20, 30), &wire.HotPrefix{Key: []byte("new"), Hotness: 90, Tokens: 1000})
	for _, test := range []struct {
		name    string
		hot     []*wire.HotPrefix
		workers []string
		after   time.Duration // time since the last full computation
		changed bool
		full    bool // whether a full computation is expected
	}{
		{"same hot entries shortly after a full computation", hotPrefixes(20, 30), workers, time.Second, false, false},
		{"same hot entries when a full computation is due", hotPrefixes(20, 30), workers, interval, false, true},
		{"burst of requests for a new entry", burst, workers, time.Second, true, false},
		{"additional worker", hotPrefixes(20, 30), []string{"1", "2", "3"}, time.Second, true, true},
	} {
		current := &servicePlacement{desired: old, recomputedAt: time.Minute}
		next, changed := nextPlacement(current, serviceWithLink(10), test.hot, test.workers, time.Minute+test.after, interval)
		if changed != test.changed || (current.recomputedAt != time.Minute) != test.full {
			t.Errorf("%s: changed = %v, want %v; full computation at %v, want a new one: %v", test.name, changed, test.changed, current.recomputedAt, test.full)
		}
		if !slices.Equal(next.Cordoned, old.Cordoned) {
			t.Errorf("%s: cordoned workers %v, want %v", test.name, next.Cordoned, old.Cordoned)
		}
	}
	var none *placement.Placement
	if next, changed := nextPlacement(&servicePlacement{desired: none}, serviceWithLink(10), hotPrefixes(20, 30), workers, time.Minute, interval); !changed || next.Mode != placement.ModeHRCS {
		t.Errorf("first placement of a service: got %+v, want a changed one in mode ModeHRCS", next)
	}
}
