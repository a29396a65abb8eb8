package controllers

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// newRunningSite is a site whose four core machines are up, whose worker list is written, and where version
// 2 of the weights has just been named.
func newRunningSite(t *testing.T, workers int) *testSite {
	t.Helper()
	site := newTestSite(t, workers)
	for i := range 4 {
		site.startCore(fmt.Sprint("core-", i+1))
	}
	site.waitUntil(func() bool { return site.rolledOut(1) }, 2*time.Second)
	site.nameVersion("daka", 2)
	return site
}

func TestRolloutReachesAllWorkers(t *testing.T) {
	for _, workers := range []int{1, 3, 18, 60} {
		t.Run(fmt.Sprint(workers), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				site := newRunningSite(t, workers)
				defer site.stop()
				elapsed := site.waitUntil(func() bool { return site.rolledOut(2) }, site.bounds.Weights(0.9))
				site.mu.Lock()
				defer site.mu.Unlock()
				if site.ordersReceived != workers || site.maxLoading > max(1, workers/3) {
					t.Errorf("%d orders for %d workers, %d at once", site.ordersReceived, workers, site.maxLoading)
				}
				t.Logf("%d workers: %v, %d at once, calls %v", workers, elapsed, site.maxLoading, site.callCounts)
			})
		})
	}
}

// The lease holder dies, or is stopped, between any two effects of a rollout: nothing is ordered twice,
// orders of two holders keep their distance, no worker stays cordoned, and all have the weights within
// the bound, counted from when the lease is held again.
func TestRolloutSurvivesHolderDeathBetweenAnyTwoEffects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		site := newRunningSite(t, 4)
		before := site.effects
		site.waitUntil(func() bool { return site.rolledOut(2) }, site.bounds.Weights(1))
		total := site.effects - before
		site.stop()
		if total < 30 {
			t.Fatalf("only %d effects", total)
		}
		for _, kind := range []deathKind{diesBefore, diesAfter, stops} {
			for effect := 1; effect <= total; effect++ {
				runWithHolderDeath(t, kind, effect)
				if t.Failed() {
					t.Fatalf("%s effect %d of %d", kind, effect, total)
				}
			}
		}
	})
}

func runWithHolderDeath(t *testing.T, kind deathKind, effect int) {
	t.Helper()
	site := newRunningSite(t, 4)
	defer site.stop()
	site.mu.Lock()
	site.deathKind, site.deathAt = kind, site.effects+effect
	site.mu.Unlock()
	site.waitUntil(func() bool { return site.rolledOut(2) }, 3*time.Second+site.bounds.Weights(1))
	site.mu.Lock()
	defer site.mu.Unlock()
	if site.victim == "" {
		t.Error("nobody died")
	}
	if kind == stops && strings.HasPrefix(site.lease.Holder, site.victim+"/") {
		t.Errorf("the lease wasn't released: %v", site.lease)
	}
}

// Responses are lost at random: still no load is ordered twice.
func TestLostResponsesCauseNoSecondLoad(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			site := newTestSite(t, 6)
			site.random = rand.New(rand.NewPCG(seed, 7))
			defer site.stop()
			site.startCore("core-1")
			site.startCore("core-2")
			site.waitUntil(func() bool { return site.rolledOut(1) }, 2*time.Second)
			site.mu.Lock()
			site.lossProbability = 0.1
			site.mu.Unlock()
			site.nameVersion("daka", 2)
			site.waitUntil(func() bool { return site.rolledOut(2) }, 3*site.bounds.Weights(1))
		})
	}
}

func TestRenamingDuringRolloutSkipsIntermediateVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		site := newRunningSite(t, 18)
		defer site.stop()
		site.mu.Lock()
		site.workers["w00"].silent, site.workers["w07"].silent = true, true
		site.mu.Unlock()
		<-time.After(2 * time.Second)
		site.nameVersion("daka", 3)
		site.waitUntil(func() bool { return site.rolledOut(3) }, site.bounds.Weights(1))
		site.mu.Lock()
		defer site.mu.Unlock()
		intermediate := 0
		for _, worker := range site.workers {
			intermediate += worker.loads[2]
		}
		if intermediate > 6 {
			t.Errorf("%d loaded what was named in between", intermediate)
		}
	})
}

// What the platform's list shows is published well within the bound on workers that left, also when the
// lease holder dies just then. While the list can't be read the published one stays.
func TestWorkerListFollowsThePlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		site := newRunningSite(t, 5)
		defer site.stop()
		site.waitUntil(func() bool { return site.rolledOut(2) }, site.bounds.Weights(1))
		removed := func(id string) func() bool {
			return func() bool { site.mu.Lock(); defer site.mu.Unlock(); _, ok := site.publishedVersions()[id]; return !ok }
		}
		site.mu.Lock()
		site.workers["w01"].worker.Draining = true
		site.mu.Unlock()
		site.waitUntil(removed("w01"), site.bounds.Leave(0.35))

		site.mu.Lock()
		site.listDown = true
		before := site.listReads
		delete(site.workers, "w02")
		site.mu.Unlock()
		<-time.After(10 * time.Second)
		site.mu.Lock()
		if _, ok := site.publishedVersions()["w02"]; !ok || site.listReads-before > 10 {
			t.Errorf("%v after %d failed reads", site.publishedVersions(), site.listReads-before)
		}
		site.listDown = false
		site.mu.Unlock()
		site.waitUntil(removed("w02"), site.bounds.Leave(0.6))

		for i := range 3 { // the holder dies as a worker begins to drain
			<-time.After(time.Duration(3000+70*i) * time.Millisecond)
			id := fmt.Sprint("w0", []int{0, 3, 4}[i])
			site.mu.Lock()
			holder := site.lease.Holder[:len("core-1")]
			site.kill(holder)
			site.workers[id].worker.Draining = true
			site.mu.Unlock()
			t.Logf("published after %v", site.waitUntil(removed(id), site.bounds.Leave(0.8)))
		}
	})
}

// A new worker is published soon, and one that restarts with its old weights is updated.
func TestRestartedWorkerIsUpdated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		site := newRunningSite(t, 5)
		defer site.stop()
		site.waitUntil(func() bool { return site.rolledOut(2) }, site.bounds.Weights(1))
		site.mu.Lock()
		delete(site.workers, "w01")
		site.addWorker("x01", 1)
		site.mu.Unlock()
		site.waitUntil(func() bool { return site.rolledOut(2) }, site.bounds.Weights(0.5))
	})
}

// An idle site costs few calls.
func TestIdleSiteMakesFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		site := newRunningSite(t, 18)
		defer site.stop()
		site.waitUntil(func() bool { return site.rolledOut(2) }, site.bounds.Weights(1))
		<-time.After(time.Second)
		site.mu.Lock()
		before := map[callKind]int{}
		for kind, count := range site.callCounts {
			before[kind] = count
		}
		site.mu.Unlock()
		<-time.After(100 * time.Second)
		site.mu.Lock()
		defer site.mu.Unlock()
		for kind, limit := range map[callKind]int{callPut: 0, callOrder: 0, callReport: 0, callRead: 0, callList: 140, callGrant: 700} {
			if calls := site.callCounts[kind] - before[kind]; calls > limit {
				t.Errorf("%d × %s in 100 s", calls, kind)
			}
		}
	})
}
