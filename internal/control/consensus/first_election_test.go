package consensus

import (
	"math/rand/v2"
	"testing"
)

// After all members have begun anew there is an owner within a few ticks, whichever of them
// begins last; nobody waits for a silence that nobody can break.
func TestLeaderIsElectedSoonAfterFullRestart(t *testing.T) {
	for seed := range uint64(200) {
		group := newTestGroup(t, "a b c", "")
		for n, c := range group.cores {
			c.cfg.Rand = rand.New(rand.NewPCG(seed, uint64(n[0])))
		}
		late := string("abc"[seed%3])
		c := group.cores[late]
		delete(group.cores, late)
		group.tick(1)
		group.cores[late] = c
		group.tick(8)
		leaders := 0
		for _, c := range group.cores {
			if c.role == leader && c.commit > 0 {
				leaders++
			}
		}
		if leaders != 1 {
			t.Fatalf("seed %d: %d leaders after a few ticks", seed, leaders)
		}
	}
}

// One that begins anew beside an owner asks, is told no, and follows.
func TestRestartedMemberDoesNotDisruptLeader(t *testing.T) {
	for seed := range uint64(50) {
		group := newTestGroup(t, "a b c", "")
		group.campaign("a")
		group.deliverAll()
		group.tick(30)
		term := group.cores["a"].hardState.Term
		snapshot, rest := group.cores["b"].Compact([]byte("state"))
		group.cores["b"] = New(Config{Self: "b", DynamicMembership: true, HeartbeatTicks: 2, ElectionTicks: 10, MaxBatchBytes: 1 << 16, Rand: rand.New(rand.NewPCG(seed, 2))}, snapshot, rest)
		group.tick(40)
		if group.cores["a"].role != leader || group.cores["b"].leader != "a" || group.cores["a"].hardState.Term != term {
			t.Fatalf("seed %d: %+v in term %d before", seed, group.cores["b"].Status(), term)
		}
	}
}

// Members that stand in one moment don't take the votes from each other: nearly always one of them
// wins without another round, whatever the order of the letters.
func TestSimultaneousPreCandidatesYieldToOne(t *testing.T) {
	won := 0
	const walks = 300
	for seed := range uint64(walks) {
		random := rand.New(rand.NewPCG(seed, 3))
		group := newTestGroup(t, "a b c", "")
		for _, n := range []string{"a", "b", "c"} {
			group.cores[n].Tick()
			group.collect(n)
		}
		for len(group.inFlight) > 0 {
			group.deliver(random.IntN(len(group.inFlight)))
		}
		for _, c := range group.cores {
			if c.role == leader {
				won++
			}
		}
	}
	if won < walks*9/10 {
		t.Errorf("one of them won in %d of %d", won, walks)
	}
}
