package controllers

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// newRunningSite returns a site with four running core machines, whose workers serve version 1 of the weights and whose
// target version has just become 2.
func newRunningSite(t *testing.T, workers int) *testSite {
	t.Helper()
	site := newTestSite(t, workers)
	for i := range 4 {
		site.startCore(fmt.Sprint("core-", i+1))
	}
	site.waitUntil(func() bool { return site.rolledOut(1) }, 2*time.Second)
	site.setTarget("daka", 2)
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
					t.Errorf("rollout to %d workers: %d orders received, want one for each worker; %d workers loaded weights at the same time, want at most a third of them (at least 1)", workers, site.ordersReceived, site.maxLoading)
				}
				t.Logf("rollout to %d workers took %v; at most %d workers loaded weights at the same time; calls by kind: %v", workers, elapsed, site.maxLoading, site.callCounts)
			})
		})
	}
}

// The lease holder crashes or is shut down before or after each single effect (a document write, an order or a report
// request) of a rollout. No worker loads a version twice, orders of two holders to one worker are at least minOrderGap
// apart, no worker stays cordoned, and all workers serve the new version within Bounds.Weights plus 3 s for the next
// holder to take over.
func TestRolloutSurvivesHolderDeathBetweenAnyTwoEffects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		site := newRunningSite(t, 4)
		before := site.effects
		site.waitUntil(func() bool { return site.rolledOut(2) }, site.bounds.Weights(1))
		total := site.effects - before
		site.stop()
		if total < 30 {
			t.Fatalf("rollout without a failure of the lease holder: %d writes, orders and report requests, want at least 30", total)
		}
		for _, kind := range []failureKind{crashBeforeEffect, crashAfterEffect, gracefulStop} {
			for effect := 1; effect <= total; effect++ {
				runWithHolderFailure(t, kind, effect)
				if t.Failed() {
					t.Fatalf("checks of a rollout failed, as reported above, after the lease holder failed (kind %q) at write, order or report request %d of %d", kind, effect, total)
				}
			}
		}
	})
}

// runWithHolderFailure runs a rollout in which the lease holder fails at the given effect, counted from 1.
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
		t.Errorf("the lease holder did not fail as planned: the rollout ended before its write, order or report request number %d", effect)
	}
	if kind == gracefulStop && strings.HasPrefix(site.lease.Holder, site.failedMachine+"/") {
		t.Errorf("after the shutdown of lease holder %s: site lease %v, want it released or held by another machine", site.failedMachine, site.lease)
	}
}

// When 10% of the responses to all calls of core machines are lost at random, no worker loads a version twice, and the
// rollout still completes.
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
			site.setTarget("daka", 2)
			site.waitUntil(func() bool { return site.rolledOut(2) }, 3*site.bounds.Weights(1))
		})
	}
}

func TestNewTargetDuringRolloutSkipsIntermediateVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		site := newRunningSite(t, 18)
		defer site.stop()
		site.mu.Lock()
		site.workers["w00"].unresponsive, site.workers["w07"].unresponsive = true, true
		site.mu.Unlock()
		<-time.After(2 * time.Second)
		site.setTarget("daka", 3)
		site.waitUntil(func() bool { return site.rolledOut(3) }, site.bounds.Weights(1))
		site.mu.Lock()
		defer site.mu.Unlock()
		intermediate := 0
		for _, worker := range site.workers {
			intermediate += worker.loads[2]
		}
		if intermediate > 6 {
			t.Errorf("%d of 18 workers loaded version 2 although version 3 became the target 2 s after it, want at most 6", intermediate)
		}
	})
}

// A worker that drains or disappears from the platform's worker list is published as draining or removed from the
// published list within Bounds.Leave, even if the lease holder crashes at that moment. While the platform's list
// cannot be read, the published list stays unchanged.
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
			t.Errorf("while the platform's worker list cannot be read: published versions by worker %v, want w02 among them; %d attempts to read it in 10 s, want at most 10", site.publishedVersions(), site.listReads-before)
		}
		site.listUnavailable = false
		site.mu.Unlock()
		site.waitUntil(removed("w02"), site.bounds.Leave(0.6))

		for i := range 3 { // the lease holder crashes when a worker begins to drain
			<-time.After(time.Duration(3000+70*i) * time.Millisecond)
			id := fmt.Sprint("w0", []int{0, 3, 4}[i])
			site.mu.Lock()
			holder := site.lease.Holder[:len("core-1")]
			site.crash(holder)
			site.workers[id].worker.Draining = true
			site.mu.Unlock()
			t.Logf("worker %s, which began to drain when the lease holder crashed, was published as draining after %v (limit %v)", id, site.waitUntil(removed(id), site.bounds.Leave(0.8)), site.bounds.Leave(0.8))
		}
	})
}

// A worker that restarts with older weights, which gives it a new ID, is published and updated to the target version.
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

// While no rollout is in progress, core machines make only few calls, and no document writes, orders or report
// requests.
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
				t.Errorf("%d calls of kind %q by core machines in 100 s without a rollout, want at most %d", calls, kind, limit)
			}
		}
	})
}
