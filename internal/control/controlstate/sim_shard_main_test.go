package controlstate

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
)

// seedsFromEnv is which seeds a test runs: SIM_SEEDS many from SIM_SEED on, or its own number from 0 on.
func seedsFromEnv(t *testing.T, defaultCount int) (from, count uint64) {
	t.Helper()
	return uintFromEnv(t, "SIM_SEED", 0), uintFromEnv(t, "SIM_SEEDS", uint64(defaultCount))
}

func uintFromEnv(t *testing.T, name string, unset uint64) uint64 {
	t.Helper()
	text := os.Getenv(name)
	if text == "" {
		return unset
	}
	value, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return value
}

// Many seeded runs of a shard: nothing acknowledged is lost, reads are linearizable, one holder has the lease
// at a time, a proof of freshness is never wrong, and the shard serves again within the bound.
// `SIM_SEEDS=5000 go test ./internal/control/controlstate -run Sim` runs wide; `SIM_SEED=17 SIM_SEEDS=1`
// replays one.
func TestSimShard(t *testing.T) {
	from, n := seedsFromEnv(t, 60)
	sum := map[string]int{}
	for seed := from; seed < from+n; seed++ {
		s := newShardSim(seed, "")
		s.run(3)
		if len(s.violations) > 0 {
			t.Fatalf("seed %d: %s\nreplay: SIM_SEED=%d SIM_SEEDS=1 go test ./internal/control/controlstate -run TestSimShard\n%s", seed,
				s.violations[0], seed, s.lastTrace(25))
		}
		for k, v := range s.counts {
			sum[k] += v
		}
	}
	t.Logf("%d seeds: %v", n, sum)
	for _, k := range []string{"acked", "read", "proof", "granted", "claimed", "kill", "freeze", "cut", "power", "full", "lost disk", "kill after ack", "hand over", "stall", "replaced"} {
		if n >= 60 && sum[k] < 20 {
			t.Errorf("%s happened only %d times: the simulator doesn't reach it", k, sum[k])
		}
	}
}

// The same seed gives the same trace.
func TestSimIsDeterministic(t *testing.T) {
	a, b := newShardSim(3, ""), newShardSim(3, "")
	a.run(1)
	b.run(1)
	if x, y := strings.Join(a.trace, "\n"), strings.Join(b.trace, "\n"); x != y || len(a.trace) == 0 {
		t.Fatalf("two runs of one seed differ")
	}
}

// Planted faults are caught: the checks can fail.
func TestSimCatchesPlantedFaults(t *testing.T) {
	for plant, want := range map[string]string{"vote-blank": "", "vouch-unsettled": "the proof says", "lease-late": "hold the duty"} {
		caught := ""
		for seed := uint64(0); seed < 400 && caught == ""; seed++ {
			s := newShardSim(seed, plant)
			s.run(3)
			if len(s.violations) > 0 && strings.Contains(s.violations[0], want) {
				caught = fmt.Sprintf("seed %d: %s", seed, s.violations[0])
			}
		}
		if caught == "" {
			t.Errorf("%s: not caught by 400 seeds", plant)
		}
		t.Logf("%s: %s", plant, caught)
	}
}
