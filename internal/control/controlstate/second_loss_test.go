package controlstate

import (
	"fmt"
	"os"
	"testing"
	"time"
)

// runScenario plays the scenario. It returns whether the site tolerates the second loss, and how long it
// took until a change was acknowledged again.
func (r *lossRun) runScenario() (tolerated bool, duration time.Duration) {
	if !r.awaitStart() {
		r.violationf("the group isn't complete at the start")
		return false, 0
	}
	r.advanceFor(time.Second)
	node := r.leader()
	if r.scenario.firstTarget == targetFollower {
		node = r.follower()
	}
	if node == nil {
		r.violationf("no victim")
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
	victim := r.secondVictim(origin)
	if victim == nil {
		r.count("no victim") // there is no leader, or the successor is down
		victim = r.follower()
	}
	if victim == nil {
		return false, 0
	}
	r.injectLoss(r.scenario.second, victim)
	tolerated = r.lostNow() <= r.scenario.toleratedLosses
	return tolerated, r.awaitQuorum(tolerated)
}

// secondVictim is the machine that the second loss is to hit; nil: there is none now.
func (r *lossRun) secondVictim(origin string) *groupSimNode {
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

// awaitQuorum waits until a change is acknowledged, which it must be within the bound: after tolerated
// losses at once, else after all have returned unless more disks were lost than are tolerated.
func (r *lossRun) awaitQuorum(tolerated bool) time.Duration {
	if tolerated {
		duration, ok := r.waitUntil(quorumWithin, r.acknowledgedSince(r.now))
		if !ok {
			r.traceStatus()
			r.violationf("quorum-back: no change is acknowledged within %v of a loss that is tolerated", quorumWithin)
		}
		return duration
	}
	r.awaitReturn()
	r.awaitReturn() // a shutdown may have taken longer
	duration, ok := r.waitUntil(2*quorumWithin, r.acknowledgedSince(r.now))
	if !ok && r.destroyedVotes <= r.scenario.toleratedLosses {
		r.traceStatus()
		r.violationf("quorum-back-after-return: no change is acknowledged within %v of the last return, %d disks lost", 2*quorumWithin, r.destroyedVotes)
	}
	if !ok {
		r.count("no quorum for good")
	}
	return duration
}

// checkEnd checks the last reads and the whole history, unless the run has failed already.
func (r *lossRun) checkEnd() {
	if len(r.violations) > 0 {
		return
	}
	r.advanceFor(time.Second) // each read is checked as it returns
	r.checkHistory()
}

// secondLosses lists the scenarios of a site: every pair of losses, every target, and the second loss at
// every tick of the repair. `SECOND_LOSS=full` lists all of them, else one in 97 is listed.
func secondLosses(machines, toleratedLosses int) (scenarios []lossScenario) {
	every := 97
	if os.Getenv("SECOND_LOSS") == "full" {
		every = 1
	}
	number := 0
	for _, first := range losses {
		for _, second := range losses {
			for _, target := range targets {
				for _, firstTarget := range []lossTarget{targetLeader, targetFollower} {
					for delay := time.Duration(0); delay <= awayTime+catchUpTime+time.Second; delay += time.Second / 10 {
						if number++; number%every == 0 {
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

// A complete group has a loss of each kind, and a second one at every step of the repair. No acknowledged
// change is lost, as the reads and the history show. A change is acknowledged again within quorumWithin
// where the site tolerates the losses, and else after all have returned unless more disks are lost than
// it tolerates. No step of the repair leaves less tolerance than there was before it began.
// `SECOND_LOSS=full` plays every tick of the repair.
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
					t.Fatalf("%v: %s\n%s", scenario, r.violations[0], r.lastTrace(60))
				}
				if runs++; isTolerated {
					tolerated++
					longest = max(longest, duration)
				}
				for event, count := range r.counts {
					sum[event] += count
				}
			}
			t.Logf("%d runs, %d of them within what is tolerated: a change is acknowledged after %v at the longest; %v", runs, tolerated, longest, sum)
		})
	}
}

// The leader is lost three times, by a planned replacement, a shutdown and a wiped disk, then all lose
// power: each as soon as the loss before has ended, or some time later. All that was acknowledged stays,
// and a change is acknowledged again after the last return.
func TestRepeatedLossOfTheLeader(t *testing.T) {
	from, count := seedsFromEnv(t, 4)
	longest := time.Duration(0)
	for _, site := range []struct{ machines, toleratedLosses int }{{4, 1}, {7, 2}} {
		for _, gap := range []time.Duration{0, 300 * time.Millisecond, time.Second, 2 * time.Second, catchUpTime} {
			for seed := from; seed < from+count; seed++ {
				r := newLossRun(lossScenario{machines: site.machines, toleratedLosses: site.toleratedLosses, seed: seed})
				longest = max(longest, r.faultLeaderRepeatedly(gap))
				if r.checkEnd(); len(r.violations) > 0 {
					t.Fatalf("%d machines, gap %v, seed %d: %s\n%s", site.machines, gap, seed, r.violations[0], r.lastTrace(60))
				}
			}
		}
	}
	t.Logf("a change is acknowledged after %v at the longest from the last return", longest)
}

// faultLeaderRepeatedly returns the time from the last return to the next acknowledged change.
func (r *lossRun) faultLeaderRepeatedly(gap time.Duration) time.Duration {
	r.waitUntil(startWithin, func() bool { return r.isComplete() && r.sparesReady() && r.counts["acked"] > 2 })
	r.advanceFor(time.Second)
	for _, kind := range []lossKind{lossPlannedReplace, lossShutdown, lossWipe} {
		r.waitUntil(6*time.Second, func() bool { return r.leader() != nil })
		victim := r.leader()
		if victim == nil {
			r.traceStatus()
			r.violationf("quorum-back: no leader within 6 s before the %s", kind)
			return 0
		}
		r.injectLoss(kind, victim)
		r.waitUntil(graceTime, func() bool { return victim.shard == nil })
		r.advanceFor(gap)
	}
	r.tracef("all lose power")
	for _, node := range r.nodes {
		r.kill(node, true, awayTime)
	}
	r.advanceFor(awayTime)
	duration, ok := r.waitUntil(2*quorumWithin, r.acknowledgedSince(r.now))
	if !ok {
		r.traceStatus()
		r.violationf("quorum-back-after-return: no change is acknowledged within %v after all are back", 2*quorumWithin)
	}
	return duration
}

// linkScale is how many times smaller the simulator's batches are than those of StartGroup. States and
// links are scaled down as much, so that the durations are the real ones.
const linkScale = (256 << 10) / 4096

// From the return of a machine without its disk, or the start of a replacement, the group is complete
// again before that machine stops counting as lost, with states of some megabytes on a link of
// 100 Mbit/s.
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
						t.Fatalf("%s, %d machines, %d bytes, seed %d: %s\n%s", kind, machines, size, seed, r.violations[0], r.lastTrace(40))
					}
					longest = max(longest, duration)
				}
				t.Logf("%-9s %d machines, state of %d KB: complete again after %v at the longest", kind, machines, size>>10, longest)
			}
		}
	}
}

// measureRepair is how long the group takes to be complete, from the return or the replacement's start.
func (r *lossRun) measureRepair(kind lossKind, size int) time.Duration {
	r.waitUntil(startWithin, r.isComplete)
	r.putLargeDocument(size)
	r.waitUntil(4*time.Second, r.isComplete)
	r.advanceFor(time.Second)
	r.injectLoss(kind, r.leader())
	r.awaitReturn()
	duration, ok := r.waitUntil(completeWithin, func() bool { return r.isComplete() && r.memberCount() == 3 })
	if !ok {
		r.traceStatus()
		r.violationf("complete-within: the group isn't complete within %v of the return", completeWithin)
	}
	return duration
}
