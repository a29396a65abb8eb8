package controlstate

import (
	"fmt"
	"os"
	"testing"
	"time"
)

// runScenario runs the scenario. It returns whether the site has to tolerate the second loss, and the time from then
// until a change was acknowledged again.
func (r *lossRun) runScenario() (tolerated bool, duration time.Duration) {
	if !r.awaitStart() {
		r.violationf("group was not complete and acknowledging changes within %v of its start", maxStartTime)
		return false, 0
	}
	r.advanceFor(time.Second)
	node := r.leader()
	if r.scenario.firstTarget == targetFollower {
		node = r.follower()
	}
	if node == nil {
		r.violationf("no healthy %s to inject the first loss into", r.scenario.firstTarget)
		return false, 0
	}
	origin := r.originOf(node)
	r.initialTolerance = r.toleratedNow()
	for lost := 0; lost < r.scenario.toleratedLosses && node != nil; lost++ {
		r.injectLoss(r.scenario.first, node)
		r.initialTolerance--
		node = r.follower()
	}
	r.checksTolerance = true
	r.advanceFor(r.scenario.delay)
	r.checksTolerance = false
	if len(r.violations) > 0 {
		return false, 0
	}
	target := r.secondTargetNode(origin)
	if target == nil {
		r.count("second target unavailable") // there is no leader, or the machine that was lost first is down
		target = r.follower()
	}
	if target == nil {
		return false, 0
	}
	r.injectLoss(r.scenario.second, target)
	tolerated = r.lostNow() <= r.scenario.toleratedLosses
	return tolerated, r.awaitQuorum(tolerated)
}

// secondTargetNode returns the machine that the second loss hits; nil if the scenario's target is unavailable.
func (r *lossRun) secondTargetNode(origin string) *groupSimNode {
	switch r.scenario.secondTarget {
	case targetLeader:
		return r.leader()
	case targetFollower:
		return r.follower()
	}
	for _, node := range r.nodes {
		if r.originOf(node) == origin && !node.isRemoved && node.shard != nil {
			return node
		}
	}
	return nil
}

// awaitQuorum waits until a change is acknowledged, and returns how long that took. If the losses are tolerated, a
// change must be acknowledged within maxQuorumRecoveryTime. Otherwise a change must be acknowledged within twice that
// time after all machines have returned, unless more disks were lost than the site tolerates.
func (r *lossRun) awaitQuorum(tolerated bool) time.Duration {
	if tolerated {
		duration, ok := r.waitUntil(maxQuorumRecoveryTime, r.acknowledgedSince(r.now))
		if !ok {
			r.traceStatus()
			r.violationf("quorum-back: no change was acknowledged within %v of a tolerated loss", maxQuorumRecoveryTime)
		}
		return duration
	}
	r.awaitReturn()
	r.awaitReturn() // a shutdown that was still in progress may have delayed the last return
	duration, ok := r.waitUntil(2*maxQuorumRecoveryTime, r.acknowledgedSince(r.now))
	if !ok && r.destroyedVoters <= r.scenario.toleratedLosses {
		r.traceStatus()
		r.violationf("quorum-back-after-return: no change was acknowledged within %v of the return of all machines, disks lost: %d", 2*maxQuorumRecoveryTime, r.destroyedVoters)
	}
	if !ok {
		r.count("quorum permanently lost")
	}
	return duration
}

// checkEnd waits for pending reads and checks the history of all operations, unless a check has failed already.
func (r *lossRun) checkEnd() {
	if len(r.violations) > 0 {
		return
	}
	r.advanceFor(time.Second) // pending reads return meanwhile, and are checked when they do
	r.checkHistory()
}

// secondLosses returns the scenarios for a site: all combinations of the kinds and targets of two losses, with the
// second loss at every tick of the repair. It returns all of them if the environment variable SECOND_LOSS is "full",
// and otherwise one in 97.
func secondLosses(machines, toleratedLosses int) (scenarios []lossScenario) {
	stride := 97
	if os.Getenv("SECOND_LOSS") == "full" {
		stride = 1
	}
	number := 0
	for _, first := range lossKinds {
		for _, second := range lossKinds {
			for _, target := range lossTargets {
				for _, firstTarget := range []lossTarget{targetLeader, targetFollower} {
					for delay := time.Duration(0); delay <= lossDowntime+catchUpTime+time.Second; delay += time.Second / 10 {
						if number++; number%stride == 0 {
							scenarios = append(scenarios, lossScenario{machines: machines, toleratedLosses: toleratedLosses, first: first, second: second,
								firstTarget: firstTarget, secondTarget: target, delay: delay, seed: uint64(number)})
						}
					}
				}
			}
		}
	}
	return scenarios
}

// A complete group suffers a loss of each kind, and a second loss at every step of the repair. Reads and the history of
// all operations show that no acknowledged change is lost. If the site tolerates the losses, a change is acknowledged
// again within maxQuorumRecoveryTime; otherwise a change is acknowledged after all machines have returned, unless more
// disks are lost than the site tolerates. At no step of the repair does the group tolerate fewer losses than when the
// repair began. The test runs a sample of the scenarios, or all of them with SECOND_LOSS=full (see secondLosses).
func TestSecondLossAtEveryStep(t *testing.T) {
	from, _ := seedsFromEnv(t, 1)
	for _, site := range []struct{ machines, toleratedLosses int }{{3, 1}, {4, 1}, {5, 2}, {7, 2}} {
		t.Run(fmt.Sprintf("%d machines", site.machines), func(t *testing.T) {
			t.Parallel()
			sum := map[string]int{}
			runs, tolerated, longest := 0, 0, time.Duration(0)
			for _, scenario := range secondLosses(site.machines, site.toleratedLosses) {
				scenario.seed += from
				r := newLossRun(scenario)
				isTolerated, duration := r.runScenario()
				r.checkEnd()
				if len(r.violations) > 0 {
					t.Fatalf("scenario %v: violation: %s\n%s", scenario, r.violations[0], r.lastTrace(60))
				}
				if runs++; isTolerated {
					tolerated++
					longest = max(longest, duration)
				}
				for event, count := range r.counts {
					sum[event] += count
				}
			}
			t.Logf("%d runs, %d of them with tolerated losses, in which a change was acknowledged within %v of the second loss; occurrences by event: %v", runs, tolerated, longest, sum)
		})
	}
}

// The leader is lost three times in a row (by a planned replacement, a shutdown and the loss of its disk), each time as
// soon as the previous leader has stopped or some time later, and then all machines lose power. No acknowledged
// change is lost, and a change is acknowledged again after all machines have returned.
func TestRepeatedLossOfTheLeader(t *testing.T) {
	from, count := seedsFromEnv(t, 4)
	longest := time.Duration(0)
	for _, site := range []struct{ machines, toleratedLosses int }{{4, 1}, {7, 2}} {
		for _, gap := range []time.Duration{0, 300 * time.Millisecond, time.Second, 2 * time.Second, catchUpTime} {
			for seed := from; seed < from+count; seed++ {
				r := newLossRun(lossScenario{machines: site.machines, toleratedLosses: site.toleratedLosses, seed: seed})
				longest = max(longest, r.loseLeaderRepeatedly(gap))
				if r.checkEnd(); len(r.violations) > 0 {
					t.Fatalf("%d machines, %v between losses, seed %d: violation: %s\n%s", site.machines, gap, seed, r.violations[0], r.lastTrace(60))
				}
			}
		}
	}
	t.Logf("longest time from the return of all machines to an acknowledged change: %v", longest)
}

// loseLeaderRepeatedly injects the losses of TestRepeatedLossOfTheLeader. It returns the time from the return of all
// machines to the next acknowledged change.
func (r *lossRun) loseLeaderRepeatedly(gap time.Duration) time.Duration {
	r.waitUntil(maxStartTime, func() bool { return r.isComplete() && r.sparesReady() && r.counts["acked"] > 2 })
	r.advanceFor(time.Second)
	for _, kind := range []lossKind{lossPlannedReplace, lossShutdown, lossWipe} {
		r.waitUntil(6*time.Second, func() bool { return r.leader() != nil })
		target := r.leader()
		if target == nil {
			r.traceStatus()
			r.violationf("quorum-back: no leader was elected within 6 s to inject the %s into", kind)
			return 0
		}
		r.injectLoss(kind, target)
		r.waitUntil(lossGracePeriod, func() bool { return target.shard == nil })
		r.advanceFor(gap)
	}
	r.tracef("all machines lose power")
	for _, node := range r.nodes {
		r.kill(node, true, lossDowntime)
	}
	r.advanceFor(lossDowntime)
	duration, ok := r.waitUntil(2*maxQuorumRecoveryTime, r.acknowledgedSince(r.now))
	if !ok {
		r.traceStatus()
		r.violationf("quorum-back-after-return: no change was acknowledged within %v of the return of all machines after a power loss", 2*maxQuorumRecoveryTime)
	}
	return duration
}

// linkScale is the ratio of the maximum batch size of StartGroup to that of the simulation. The sizes of states and the
// bandwidths of links are divided by it, so that transfers take as long as in production.
const linkScale = (256 << 10) / 4096

// After a machine has returned with an empty disk, or a replacement has started, the group becomes complete again before
// that machine no longer counts as lost, with states of up to 4 MiB and links of 100 Mbit/s.
func TestRepairEndsBeforeTheLossDoes(t *testing.T) {
	for _, size := range []int{0, 1 << 20, 4 << 20} {
		for _, kind := range []lossKind{lossWipe, lossReplace} {
			for _, machines := range []int{3, 4} {
				longest := time.Duration(0)
				for seed := range uint64(6) {
					r := newLossRun(lossScenario{machines: machines, toleratedLosses: 1, seed: seed})
					r.bytesPerSecond = 100e6 / 8 / linkScale
					duration := r.measureRepair(kind, size/linkScale)
					if len(r.violations) > 0 {
						t.Fatalf("%s, %d machines, state of %d bytes, seed %d: violation: %s\n%s", kind, machines, size, seed, r.violations[0], r.lastTrace(40))
					}
					longest = max(longest, duration)
				}
				t.Logf("%s, %d machines, state of %d KiB: group was complete again within %v of the return", kind, machines, size>>10, longest)
			}
		}
	}
}

// measureRepair returns the time from the return of the lost machine, or the start of its replacement, until the group
// is complete again.
func (r *lossRun) measureRepair(kind lossKind, size int) time.Duration {
	r.waitUntil(maxStartTime, r.isComplete)
	r.putLargeDocument(size)
	r.waitUntil(4*time.Second, r.isComplete)
	r.advanceFor(time.Second)
	r.injectLoss(kind, r.leader())
	r.awaitReturn()
	duration, ok := r.waitUntil(maxRepairTime, func() bool { return r.isComplete() && r.memberCount() == 3 })
	if !ok {
		r.traceStatus()
		r.violationf("complete-within: group was not complete within %v of the return of the lost machine", maxRepairTime)
	}
	return duration
}
