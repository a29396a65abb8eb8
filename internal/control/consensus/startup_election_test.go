package consensus

import (
	"math/rand/v2"
	"testing"
)

// After a restart of all members one of them leads within 9 ticks, whichever of them starts last. Guards against an
// election that starts only after a full election timeout, although no leader exists.
func TestLeaderIsElectedSoonAfterFullRestart(t *testing.T) {
	for seed := range uint64(200) {
		group := newTestGroup(t, "a b c", "")
		for name, core := range group.cores {
			core.cfg.Rand = rand.New(rand.NewPCG(seed, uint64(name[0])))
		}
		late := string("abc"[seed%3])
		lateCore := group.cores[late]
		delete(group.cores, late)
		group.tick(1)
		group.cores[late] = lateCore
		group.tick(8)
		leaders := 0
		for _, core := range group.cores {
			if core.role == leader && core.commit > 0 {
				leaders++
			}
		}
		if leaders != 1 {
			t.Fatalf("seed %d: %d members lead with a committed entry 9 ticks after a restart of all members, want 1", seed, leaders)
		}
	}
}

// A member that restarts while there is a leader has its pre-vote requests rejected, and follows that leader.
func TestRestartedMemberDoesNotDisruptLeader(t *testing.T) {
	for seed := range uint64(50) {
		group := newTestGroup(t, "a b c", "")
		group.elect("a")
		group.tick(30)
		term := group.cores["a"].hardState.Term
		snapshot, records := group.cores["b"].Compact([]byte("state"))
		group.cores["b"] = New(Config{Self: "b", DynamicMembership: true, HeartbeatTicks: 2, ElectionTicks: 10, MaxBatchBytes: 1 << 16, Rand: rand.New(rand.NewPCG(seed, 2))}, snapshot, records)
		group.tick(40)
		if group.cores["a"].role != leader || group.cores["b"].leader != "a" || group.cores["a"].hardState.Term != term {
			t.Fatalf("seed %d: after the restart of follower b, the leader a no longer leads in term %[3]d, or b doesn't follow it: status of b %+[2]v", seed, group.cores["b"].Status(), term)
		}
	}
}

// Members that campaign at the same time don't split the vote: in at least 90% of the tested orders of their messages,
// one of them wins without another election timeout.
func TestSimultaneousPreCandidatesYieldToOne(t *testing.T) {
	won := 0
	const orders = 300
	for seed := range uint64(orders) {
		random := rand.New(rand.NewPCG(seed, 3))
		group := newTestGroup(t, "a b c", "")
		for _, name := range []string{"a", "b", "c"} {
			group.cores[name].Tick()
			group.collect(name)
		}
		for len(group.inFlight) > 0 {
			group.deliver(random.IntN(len(group.inFlight)))
		}
		for _, core := range group.cores {
			if core.role == leader {
				won++
			}
		}
	}
	if won < orders*9/10 {
		t.Errorf("simultaneous campaigns elected a leader at once in %d of %d message orders, want at least 90%%", won, orders)
	}
}
