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
	from, count := seedsFromEnv(t, 60)
	sum := map[string]int{}
	for seed := from; seed < from+count; seed++ {
		s := newShardSim(seed, "")
		s.run(3)
		if len(s.violations) > 0 {
			t.Fatalf("seed %d: %s\nreplay: SIM_SEED=%d SIM_SEEDS=1 go test ./internal/control/controlstate -run TestSimShard\n%s", seed,
				s.violations[0], seed, s.lastTrace(25))
		}
		for event, occurrences := range s.counts {
			sum[event] += occurrences
		}
	}
	t.Logf("%d seeds: %v", count, sum)
	for _, event := range []string{"acked", "read", "proof", "granted", "claimed", "kill", "freeze", "partition", "power", "full", "lost disk", "kill after ack", "leadership transfer", "stall", "replaced"} {
		if count >= 60 && sum[event] < 20 {
			t.Errorf("%s happened only %d times: the simulator doesn't reach it", event, sum[event])
		}
	}
}

// A leader whose disk fails ends the wait of the changes that it has proposed at once: others may commit them.
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
		t.Fatal("no member leads")
	}
	leader.disk.failWrites = true
	pending, response := leader.shard.propose(putRequest(&wire.Put{Key: "doc", AnyVersion: true, Body: []byte("body")}), nil)
	if response != nil {
		t.Fatalf("the change isn't proposed: %v", response)
	}
	leader.shard.handleReady()
	select {
	case response := <-pending.response:
		if response.Outcome != wire.OutcomeUnknown {
			t.Errorf("the outcome is %v", response.Outcome)
		}
	default:
		t.Error("the change waits for a member that is out")
	}
	if leader.shard.failure == nil || len(leader.shard.pendingProposals) > 0 {
		t.Errorf("failure %v, %d proposals are pending", leader.shard.failure, len(leader.shard.pendingProposals))
	}
}

// The same seed gives the same trace.
func TestSimIsDeterministic(t *testing.T) {
	first, second := newShardSim(3, ""), newShardSim(3, "")
	first.run(1)
	second.run(1)
	if !slices.Equal(first.trace, second.trace) || len(first.trace) == 0 {
		t.Fatalf("two runs of one seed differ")
	}
}

// The checks of the simulator find planted faults.
func TestSimCatchesPlantedFaults(t *testing.T) {
	for planted, want := range map[string]string{plantedBlankVote: "", plantedStaleConfirm: "the proof says", plantedKillConfirm: "the proof says", plantedLateLease: "hold the lease"} {
		found := ""
		for seed := uint64(0); seed < 400 && found == ""; seed++ {
			s := newShardSim(seed, planted)
			s.run(3)
			if len(s.violations) > 0 && strings.Contains(s.violations[0], want) {
				found = fmt.Sprintf("seed %d: %s", seed, s.violations[0])
			}
		}
		if found == "" {
			t.Errorf("%s: not found by 400 seeds", planted)
		}
		t.Logf("%s: %s", planted, found)
	}
}
