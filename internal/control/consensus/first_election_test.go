package consensus

import (
	"math/rand/v2"
	"testing"
)

// After all members have begun anew there is an owner within a few ticks, whichever of them
// begins last; nobody waits for a silence that nobody can break.
func TestAllBegunAnewAgreeSoon(t *testing.T) {
	for seed := range uint64(200) {
		x := newBand(t, "a b c", "")
		for n, c := range x.c {
			c.cfg.Rand = rand.New(rand.NewPCG(seed, uint64(n[0])))
		}
		late := string("abc"[seed%3])
		c := x.c[late]
		delete(x.c, late)
		x.tick(1)
		x.c[late] = c
		x.tick(8)
		leaders := 0
		for _, c := range x.c {
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
func TestOneBegunAnewUnseatsNobody(t *testing.T) {
	for seed := range uint64(50) {
		x := newBand(t, "a b c", "")
		x.stand("a")
		x.calm()
		x.tick(30)
		term := x.c["a"].hardState.Term
		s, rest := x.c["b"].Compact([]byte("state"))
		x.c["b"] = New(Config{Self: "b", Group: true, HeartbeatTicks: 2, ElectionTicks: 10, MaxBatchBytes: 1 << 16, Rand: rand.New(rand.NewPCG(seed, 2))}, s, rest)
		x.tick(40)
		if x.c["a"].role != leader || x.c["b"].leader != "a" || x.c["a"].hardState.Term != term {
			t.Fatalf("seed %d: %+v in term %d before", seed, x.c["b"].Status(), term)
		}
	}
}

// Members that stand in one moment don't take the votes from each other: nearly always one of them
// wins without another round, whatever the order of the letters.
func TestOfThoseThatStandAtOnceAllButOneYield(t *testing.T) {
	won := 0
	const walks = 300
	for seed := range uint64(walks) {
		r := rand.New(rand.NewPCG(seed, 3))
		x := newBand(t, "a b c", "")
		for _, n := range []string{"a", "b", "c"} {
			x.c[n].Tick()
			x.collect(n)
		}
		for len(x.mail) > 0 {
			x.deliver(r.IntN(len(x.mail)))
		}
		for _, c := range x.c {
			if c.role == leader {
				won++
			}
		}
	}
	if won < walks*9/10 {
		t.Errorf("one of them won in %d of %d", won, walks)
	}
}
