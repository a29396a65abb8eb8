package controlstate

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"

	"pebbleloom/internal/wire"
)

// seedsFromEnv returns the seeds that a test runs: the first seed from SIM_SEED (default 0) and the number of seeds from
// SIM_SEEDS.
func seedsFromEnv(t *testing.T, defaultCount int) (from, count uint64) {
	t.Helper()
	return uintFromEnv(t, "SIM_SEED", 0), uintFromEnv(t, "SIM_SEEDS", uint64(defaultCount))
}

// uintFromEnv returns the value of an environment variable, or defaultValue if it is not set.
func uintFromEnv(t *testing.T, name string, defaultValue uint64) uint64 {
	t.Helper()
	text := os.Getenv(name)
	if text == "" {
		return defaultValue
	}
	value, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		t.Fatalf("environment variable %s: %v", name, err)
	}
	return value
}

// In simulations of a shard with random faults, no acknowledged write may be lost, reads must be linearizable, at most
// one client may hold the lease, proofs of freshness must be correct, and the shard must serve again within the bound
// after the faults end. `SIM_SEEDS=5000 go test ./internal/control/controlstate -run Sim` runs more seeds;
// `SIM_SEED=17 SIM_SEEDS=1` replays one.
func TestSimShard(t *testing.T) {
	from, count := seedsFromEnv(t, 60)
	sum := map[string]int{}
	for seed := from; seed < from+count; seed++ {
		s := newShardSim(seed, "")
		s.run(3)
		if len(s.violations) > 0 {
			t.Fatalf("simulation with seed %d failed: %s\nreplay: SIM_SEED=%d SIM_SEEDS=1 go test ./internal/control/controlstate -run TestSimShard\n%s", seed,
				s.violations[0], seed, s.lastTrace(25))
		}
		for event, occurrences := range s.counts {
			sum[event] += occurrences
		}
	}
	t.Logf("%d seeds; occurrences of each event: %v", count, sum)
	for _, event := range []string{"acked", "read", "freshness proof", "lease granted", "claim granted", "node killed", "node frozen", "link partitioned", "scheduled power loss", "full disk", "lost disk", "leader killed after an acknowledgement", "leadership transfer", "slow disk changed", "node replaced"} {
		if count >= 60 && sum[event] < 20 {
			t.Errorf("event %q occurred %d times in %d seeds, want at least 20: the simulator does not cover it", event, sum[event], count)
		}
	}
}

// A leader whose disk fails must end its pending proposals at once with an unknown outcome, since other members may still
// commit them.
func TestFailedDiskEndsPendingProposals(t *testing.T) {
	s := newShardSim(1, "")
	var leader *shardSimNode
	for steps := 0; leader == nil && steps < 4000; steps++ {
		s.step()
		for _, node := range s.nodes {
			if node.shard.core.Status().IsLeader && node.shard.core.HasAppliedCurrentTerm() {
				leader = node
			}
		}
	}
	if leader == nil {
		t.Fatal("no member became leader within 4000 steps")
	}
	leader.disk.failWrites = true
	pending, response := leader.shard.propose(putRequest(&wire.Put{Key: "doc", AnyVersion: true, Body: []byte("body")}), nil)
	if response != nil {
		t.Fatalf("propose on the leader returned the response %v, want a pending proposal", response)
	}
	leader.shard.handleReady()
	select {
	case response := <-pending.response:
		if response.Outcome != wire.OutcomeUnknown {
			t.Errorf("outcome of the pending proposal after the disk failed: got %v, want %v", response.Outcome, wire.OutcomeUnknown)
		}
	default:
		t.Error("proposal is still pending after the leader's disk failed, want it to end with an unknown outcome")
	}
	if leader.shard.failure == nil || len(leader.shard.pendingProposals) > 0 {
		t.Errorf("leader after its disk failed: failure %v and %d pending proposals, want a failure and no pending proposals", leader.shard.failure, len(leader.shard.pendingProposals))
	}
}

// Two simulations with the same seed must produce the same trace, so that a failure can be replayed.
func TestSimIsDeterministic(t *testing.T) {
	first, second := newShardSim(3, ""), newShardSim(3, "")
	first.run(1)
	second.run(1)
	if !slices.Equal(first.trace, second.trace) || len(first.trace) == 0 {
		t.Fatalf("traces of two simulations with seed 3 differ or are empty: %d and %d lines", len(first.trace), len(second.trace))
	}
}

// The checks of the shard simulator must detect defects that are built into the simulated system on purpose.
func TestSimCatchesPlantedFaults(t *testing.T) {
	for defect, want := range map[string]string{defectBlankVote: "", defectStaleWatchResponse: "freshness proof is wrong", defectStaleWatchAfterKill: "freshness proof is wrong", defectLateLease: "hold the lease"} {
		found := ""
		for seed := uint64(0); seed < 400 && found == ""; seed++ {
			s := newShardSim(seed, defect)
			s.run(3)
			if len(s.violations) > 0 && strings.Contains(s.violations[0], want) {
				found = fmt.Sprintf("seed %d: %s", seed, s.violations[0])
			}
		}
		if found == "" {
			t.Errorf("deliberate defect %q was not detected in 400 seeds", defect)
		}
		t.Logf("deliberate defect %q was detected by %s", defect, found)
	}
}
