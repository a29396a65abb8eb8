package controllers

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// newRunningSite returns a site with four running core machines and a published worker list, in which version
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
		t.Run(fmt.Sprint(workers, " workers"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				site := newRunningSite(t, workers)
				defer site.stop()
				elapsed := site.waitUntil(func() bool { return site.rolledOut(2) }, site.bounds.Weights(0.9))
				site.mu.Lock()
				defer site.mu.Unlock()
				if site.ordersReceived != workers || site.maxLoading > max(1, workers/3) {
					t.Errorf("workers received %d orders, want %d; at most %d loaded at the same time, want at most a third of them", site.ordersReceived, workers, site.maxLoading)
				}
				t.Logf("rollout to %d workers took %v; at most %d loaded at the same time; calls by kind: %v", workers, elapsed, site.maxLoading, site.callCounts)
			})
		})
	}
}

// The lease holder crashes or is stopped before or after each single effect (a write, an order or a report) of
// a rollout. No worker loads a version twice, orders of two holders are at least minOrderGap apart, no worker
// stays cordoned, and all workers serve the new version within Bounds.Weights after the next holder took over.
func TestRolloutSurvivesHolderDeathBetweenAnyTwoEffects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		site := newRunningSite(t, 4)
		before := site.effects
		site.waitUntil(func() bool { return site.rolledOut(2) }, site.bounds.Weights(1))
		total := site.effects - before
		site.stop()
		if total < 30 {
			t.Fatalf("the rollout without a failure had %d effects, want at least 30", total)
		}
		for _, kind := range []failureKind{crashBeforeEffect, crashAfterEffect, gracefulStop} {
			for effect := 1; effect <= total; effect++ {
				runWithHolderFailure(t, kind, effect)
				if t.Failed() {
					t.Fatalf("rollout with a holder failure (%s) at effect %d of %d did not pass the checks reported above", kind, effect, total)
				}
			}
		}
	})
}

func runWithHolderFailure(t *testing.T, kind failureKind, effect int) {
	t.Helper()
	site := newRunningSite(t, 4)
	defer site.stop()
	site.mu.Lock()
	site.failureKind, site.failAtEffect = kind, site.effects+effect
	site.mu.Unlock()
	site.waitUntil(func() bool { return site.rolledOut(2) }, 3*time.Second+site.bounds.Weights(1))
	site.mu.Lock()
	defer site.mu.Unlock()
	if site.failedMachine == "" {
		t.Error("the lease holder did not fail: the rollout never reached the chosen effect")
	}
	if kind == gracefulStop && strings.HasPrefix(site.lease.Holder, site.failedMachine+"/") {
		t.Errorf("the stopped holder still holds the lease: %v", site.lease)
	}
}

// With 10% of the responses lost at random, no worker loads a version twice.
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
		site.workers["w00"].unresponsive, site.workers["w07"].unresponsive = true, true
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
			t.Errorf("%d workers loaded version 2 although version 3 was named 2 s later, want at most 6", intermediate)
		}
	})
}

// A worker that drains or disappears from the platform's list is removed from the published list within
// Bounds.Leave, even if the lease holder crashes at that moment. While the platform's list cannot be read, the
// published list stays unchanged.
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
		site.listUnavailable = true
		before := site.listReads
		delete(site.workers, "w02")
		site.mu.Unlock()
		<-time.After(10 * time.Second)
		site.mu.Lock()
		if _, ok := site.publishedVersions()["w02"]; !ok || site.listReads-before > 10 {
			t.Errorf("with the platform's list unavailable: published workers %v, want w02 among them; %d reads in 10 s, want at most 10", site.publishedVersions(), site.listReads-before)
		}
		site.listUnavailable = false
		site.mu.Unlock()
		site.waitUntil(removed("w02"), site.bounds.Leave(0.6))

		for i := range 3 { // the holder crashes as a worker begins to drain
			<-time.After(time.Duration(3000+70*i) * time.Millisecond)
			id := fmt.Sprint("w0", []int{0, 3, 4}[i])
			site.mu.Lock()
			holder := site.lease.Holder[:len("core-1")]
			site.crash(holder)
			site.workers[id].worker.Draining = true
			site.mu.Unlock()
			t.Logf("draining worker was removed from the published list after %v", site.waitUntil(removed(id), site.bounds.Leave(0.8)))
		}
	})
}

// A worker that restarts with older weights, and thus under a new ID, is published and updated.
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

// When no rollout is in progress, the controllers make few calls, and no writes, orders or report requests.
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
				t.Errorf("%d calls of kind %s in 100 s on an idle site, want at most %d", calls, kind, limit)
			}
		}
	})
}
