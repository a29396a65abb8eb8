package consensus

import (
	"math/rand/v2"
	"testing"
)

// After all members have begun anew there is an owner within a few ticks, whichever of them
// begins last; nobody waits for a silence that nobody can break.
func TestLeaderIsElectedSoonAfterFullRestart(t *testing.T) {
	for seed := range uint64(200) {
		x := newTestGroup(t, "a b c", "")
		for n, c := range x.cores {
			c.cfg.Rand = rand.New(rand.NewPCG(seed, uint64(n[0])))
		}
		late := string("abc"[seed%3])
		c := x.cores[late]
		delete(x.cores, late)
		x.tick(1)
		x.cores[late] = c
		x.tick(8)
		leaders := 0
		for _, c := range x.cores {
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
		x := newTestGroup(t, "a b c", "")
		x.campaign("a")
		x.deliverAll()
		x.tick(30)
		term := x.cores["a"].hardState.Term
		s, rest := x.cores["b"].Compact([]byte("state"))
		x.cores["b"] = New(Config{Self: "b", DynamicMembership: true, HeartbeatTicks: 2, ElectionTicks: 10, MaxBatchBytes: 1 << 16, Rand: rand.New(rand.NewPCG(seed, 2))}, s, rest)
		x.tick(40)
		if x.cores["a"].role != leader || x.cores["b"].leader != "a" || x.cores["a"].hardState.Term != term {
			t.Fatalf("seed %d: %+v in term %d before", seed, x.cores["b"].Status(), term)
		}
	}
}

// Members that stand in one moment don't take the votes from each other: nearly always one of them
// wins without another round, whatever the order of the letters.
func TestSimultaneousPreCandidatesYieldToOne(t *testing.T) {
	won := 0
	const walks = 300
	for seed := range uint64(walks) {
		r := rand.New(rand.NewPCG(seed, 3))
		x := newTestGroup(t, "a b c", "")
		for _, n := range []string{"a", "b", "c"} {
			x.cores[n].Tick()
			x.collect(n)
		}
		for len(x.inFlight) > 0 {
			x.deliver(r.IntN(len(x.inFlight)))
		}
		for _, c := range x.cores {
			if c.role == leader {
				won++
			}
		}
	}
	if won < walks*9/10 {
		t.Errorf("one of them won in %d of %d", won, walks)
	}
}
