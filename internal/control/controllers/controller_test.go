package controllers

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// newRunningSite is a site whose four core machines are up, whose worker list is written and whose weights
// have just been named anew.
func newRunningSite(t *testing.T, n int) *testSite {
	s := newTestSite(t, n)
	for i := range 4 {
		s.core(fmt.Sprint("core-", i+1))
	}
	s.wait(func() bool { return s.settled(1) }, 2*time.Second)
	s.name("daka", 2)
	return s
}

func TestWeightsReachAllWorkers(t *testing.T) {
	for _, n := range []int{1, 3, 18, 60} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newRunningSite(t, n)
				defer s.stop()
				took := s.wait(func() bool { return s.settled(2) }, s.bounds.Weights(0.9))
				s.mu.Lock()
				defer s.mu.Unlock()
				if s.orders != n || s.maxLoading > max(1, n/3) {
					t.Errorf("%d orders for %d workers, %d at once", s.orders, n, s.maxLoading)
				}
				t.Logf("%d workers: %v, %d at once, calls %v", n, took, s.maxLoading, s.calls)
			})
		})
	}
}

// The holder dies, or is stopped, between any two effects of a roll-out: nothing is ordered
// twice, no two holders order too near each other, nobody stays set aside, and all have the
// weights within the bound, counted from when the core is settled again.
func TestHolderDiesBetweenAnyTwoEffects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRunningSite(t, 4)
		from := s.effects
		s.wait(func() bool { return s.settled(2) }, s.bounds.Weights(1))
		whole := s.effects - from
		s.stop()
		if whole < 30 {
			t.Fatalf("only %d effects", whole)
		}
		for _, how := range []string{"before", "after", "stop"} {
			for k := 1; k <= whole; k++ {
				runUntilDeath(t, how, k)
				if t.Failed() {
					t.Fatalf("%s effect %d of %d", how, k, whole)
				}
			}
		}
	})
}

func runUntilDeath(t *testing.T, how string, k int) {
	s := newRunningSite(t, 4)
	defer s.stop()
	s.mu.Lock()
	s.deathKind, s.deathAt = how, s.effects+k
	s.mu.Unlock()
	s.wait(func() bool { return s.settled(2) }, 3*time.Second+s.bounds.Weights(1))
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.victim == "" {
		t.Error("nobody died")
	}
	if how == "stop" && strings.HasPrefix(s.lease.Holder, s.victim+"/") {
		t.Errorf("the lease wasn't given back: %v", s.lease)
	}
}

// Answers get lost at random: still no load is ordered twice.
func TestLostAnswers(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			s := newTestSite(t, 6)
			s.random = rand.New(rand.NewPCG(seed, 7))
			defer s.stop()
			s.core("core-1")
			s.core("core-2")
			s.wait(func() bool { return s.settled(1) }, 2*time.Second)
			s.mu.Lock()
			s.lossy = 0.1
			s.mu.Unlock()
			s.name("daka", 2)
			s.wait(func() bool { return s.settled(2) }, 3*s.bounds.Weights(1))
		})
	}
}

func TestNamedTwiceAndSilentWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRunningSite(t, 18)
		defer s.stop()
		s.mu.Lock()
		s.workers["w00"].silent, s.workers["w07"].silent = true, true
		s.mu.Unlock()
		<-time.After(2 * time.Second)
		s.name("daka", 3)
		s.wait(func() bool { return s.settled(3) }, s.bounds.Weights(1))
		s.mu.Lock()
		defer s.mu.Unlock()
		middle := 0
		for _, h := range s.workers {
			middle += h.loads[2]
		}
		if middle > 6 {
			t.Errorf("%d loaded what was named in between", middle)
		}
	})
}

// What the list shows is in force well within the bound on workers that left, also when the
// holder of the lease dies just then; and while the list can't be had the table stays.
func TestWorkerListFollowsThePlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRunningSite(t, 5)
		defer s.stop()
		s.wait(func() bool { return s.settled(2) }, s.bounds.Weights(1))
		gone := func(id string) func() bool {
			return func() bool { s.mu.Lock(); defer s.mu.Unlock(); _, ok := s.table()[id]; return !ok }
		}
		s.mu.Lock()
		s.workers["w01"].w.Draining = true
		s.mu.Unlock()
		s.wait(gone("w01"), s.bounds.Leave(0.35))

		s.mu.Lock()
		s.listDown = true
		reads := s.reads
		delete(s.workers, "w02")
		s.mu.Unlock()
		<-time.After(10 * time.Second)
		s.mu.Lock()
		if _, ok := s.table()["w02"]; !ok || s.reads-reads > 10 {
			t.Errorf("%v after %d readings that came to nothing", s.table(), s.reads-reads)
		}
		s.listDown = false
		s.mu.Unlock()
		s.wait(gone("w02"), s.bounds.Leave(0.6))

		for i := range 3 { // the holder dies as a worker begins to leave
			<-time.After(time.Duration(3000+70*i) * time.Millisecond)
			id := fmt.Sprint("w0", []int{0, 3, 4}[i])
			s.mu.Lock()
			holder := s.lease.Holder[:len("core-1")]
			s.kill(holder)
			s.workers[id].w.Draining = true
			s.mu.Unlock()
			t.Logf("followed after %v", s.wait(gone(id), s.bounds.Leave(0.8)))
		}
	})
}

// A new worker is in the table soon, and one that comes back with the weights it had is brought
// to the newest.
func TestRestartedWorkerIsUpdated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRunningSite(t, 5)
		defer s.stop()
		s.wait(func() bool { return s.settled(2) }, s.bounds.Weights(1))
		s.mu.Lock()
		delete(s.workers, "w01")
		s.add("x01", 1)
		s.mu.Unlock()
		s.wait(func() bool { return s.settled(2) }, s.bounds.Weights(0.5))
	})
}

// Quiet hours cost little.
func TestIdleSiteMakesFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRunningSite(t, 18)
		defer s.stop()
		s.wait(func() bool { return s.settled(2) }, s.bounds.Weights(1))
		<-time.After(time.Second)
		s.mu.Lock()
		was := map[string]int{}
		for k, v := range s.calls {
			was[k] = v
		}
		s.mu.Unlock()
		<-time.After(100 * time.Second)
		s.mu.Lock()
		defer s.mu.Unlock()
		for k, most := range map[string]int{"put": 0, "order": 0, "report": 0, "read": 0, "list": 140, "grant": 700} {
			if n := s.calls[k] - was[k]; n > most {
				t.Errorf("%d × %s in 100 s", n, k)
			}
		}
	})
}
