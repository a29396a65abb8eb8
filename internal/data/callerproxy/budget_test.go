package callerproxy

import (
	"math/rand/v2"
	"testing"
	"time"

	"pebbleloom/internal/control/serviceconfig"
)

// A tenant's budget is the site's, not each edge's: nine edges together let in its rate, also
// while edges are lost and return and the others hear of it a beat late. Each edge may have
// saved up a second's part, and one request at least.
func TestTenantsBudgetsAreShared(t *testing.T) {
	const all, rate, inflight = 9, 30.0, 45
	for seed := range uint64(30) {
		r := rand.New(rand.NewPCG(seed, 3))
		gates, up, seen := make([]*trafficTable, all), make([]bool, all), all
		for i := range gates {
			gates[i], up[i] = newTrafficTable(), true
		}
		living, in, let, overUntil := all, 0, []time.Duration{}, time.Duration(0)
		held := make([]int, all)
		for now := time.Second; now < 60*time.Second; now += 10 * time.Millisecond {
			if r.IntN(300) == 0 {
				i := r.IntN(all)
				up[i] = !up[i] // what it held has ended with it
				gates[i], in, held[i] = newTrafficTable(), in-held[i], 0
				living = 0
				for _, u := range up {
					if u {
						living++
					}
				}
				overUntil = now + time.Second // the others hear of it a beat late
			}
			if now >= overUntil {
				seen = living
			}
			i := r.IntN(all)
			if !up[i] || living == 0 {
				continue
			}
			k, _, back := gates[i].admit("t", serviceconfig.Tenant{RequestsPerSecond: rate, MaxInFlight: inflight}, 256, max(1, seen), now)
			if k == nil {
				let, in, held[i] = append(let, now), in+1, held[i]+1
			} else if back <= 0 {
				t.Fatal("denied without a time to come back")
			}
			if r.IntN(2) == 0 && held[i] > 0 {
				gates[i].endRequest("t")
				in, held[i] = in-1, held[i]-1
			}
			if held[i] > inflight/max(1, seen) && k == nil {
				t.Fatalf("seed %d at %v: let in as number %d of an edge's %d", seed, now, held[i], inflight/seen)
			}
			if now > overUntil+5*time.Second && in > inflight { // what was let in before has ended
				t.Fatalf("seed %d at %v: %d under way at the site, at most %d", seed, now, in, inflight)
			}
		}
		// Ten seconds' rate, what was saved up, and what a late word of one more edge can add.
		for i, from := range let {
			n := 0
			for _, x := range let[i:] {
				if x < from+10*time.Second {
					n++
				}
			}
			if float64(n) > 1.4*(10*rate)+rate+all {
				t.Fatalf("seed %d: %d let in within ten seconds from %v", seed, n, from)
			}
		}
		if len(let) < 500 {
			t.Fatalf("seed %d: only %d let in", seed, len(let))
		}
	}
	one := newTrafficTable() // alone, the whole rate is this edge's
	n := 0
	for now := time.Second; now < 11*time.Second; now += 10 * time.Millisecond {
		if k, _, _ := one.admit("t", serviceconfig.Tenant{RequestsPerSecond: rate}, 1000, 1, now); k == nil {
			n++
		}
	}
	if n < 295 || n > 331 {
		t.Errorf("alone: %d let in within ten seconds", n)
	}
}
