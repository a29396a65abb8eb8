package controlstate

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"
)

// runScenario plays it and returns whether the second loss was within what the site tolerates, and how long it
// took until a change was acknowledged again.
func (r *lossRun) runScenario() (within bool, took time.Duration) {
	_, ok := r.waitUntil(12*time.Second, func() bool { return r.isComplete() && r.counts["acked"] > 2 })
	if !ok {
		r.violationf("the group isn't whole at the start")
		return false, 0
	}
	r.waitUntil(time.Second, func() bool { return false })
	node := r.leader()
	if r.scenario.firstTarget == targetFollower {
		node = r.follower()
	}
	if node == nil {
		r.violationf("nobody to strike")
		return false, 0
	}
	origin := r.originOf(node)
	r.initialTolerance = r.toleratedNow()
	for struck := 0; struck < r.scenario.toleratedLosses && node != nil; struck++ {
		r.injectLoss(r.scenario.first, node)
		r.initialTolerance--
		node = r.follower()
	}
	r.checkMargins = true
	r.waitUntil(r.scenario.delay, func() bool { return false })
	r.checkMargins = false
	if len(r.violations) > 0 {
		return false, 0
	}
	hit := r.secondVictim(origin)
	if hit == nil {
		r.counts["nobody to strike"]++ // no leader just then, or the successor is down
		hit = r.follower()
	}
	if hit == nil {
		return false, 0
	}
	r.injectLoss(r.scenario.second, hit)
	within = r.lostNow() <= r.scenario.toleratedLosses
	return within, r.awaitQuorum(within)
}

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

// awaitQuorum waits for a quorum where there has to be one: at once within what is tolerated, and after
// all have returned where no more disks are lost than that.
func (r *lossRun) awaitQuorum(within bool) time.Duration {
	begin := r.now
	if within {
		took, ok := r.waitUntil(quorumWithin, r.acknowledgedSince(begin))
		if !ok {
			r.traceStatus()
			r.violationf("quorum-back: no change is acknowledged within %v of a loss that is tolerated", quorumWithin)
		}
		return took
	}
	r.waitUntil(max(0, r.lastReturn-r.now), func() bool { return false })
	r.waitUntil(max(0, r.lastReturn-r.now), func() bool { return false }) // a leave may have taken longer
	took, ok := r.waitUntil(2*quorumWithin, r.acknowledgedSince(r.now))
	if !ok && r.destroyedVotes <= r.scenario.toleratedLosses {
		r.traceStatus()
		r.violationf("quorum-back-after-return: no change is acknowledged within %v of the last return, %d disks lost", 2*quorumWithin, r.destroyedVotes)
	}
	if !ok {
		r.counts["no quorum for good"]++
	}
	return took
}

// checkEnd checks what was acknowledged against what is read at the end, and the history as a whole.
func (r *lossRun) checkEnd() {
	if len(r.violations) > 0 {
		return
	}
	r.waitUntil(time.Second, func() bool { return false }) // the reads check themselves
	r.checkHistory()
}

// secondLosses lists the runs of a site: every pair of losses, every target, and the second loss at
// every tick of the repair. `SECOND_LOSS=full` plays all of them, else one in so many is played.
func secondLosses(machines, tolerate int) (scenarios []lossScenario) {
	every := 97
	if os.Getenv("SECOND_LOSS") == "full" {
		every = 1
	}
	n := 0
	for _, first := range losses {
		for _, second := range losses {
			for _, target := range targets {
				for _, firstAt := range []string{targetLeader, targetFollower} {
					for after := time.Duration(0); after <= awayTime+catchUpTime+time.Second; after += time.Second / 10 {
						if n++; n%every == 0 {
							scenarios = append(scenarios, lossScenario{machines: machines, toleratedLosses: tolerate, first: first, second: second, firstTarget: firstAt,
								secondTarget: target, delay: after, seed: uint64(n)})
						}
					}
				}
			}
		}
	}
	return scenarios
}

// Each kind of loss strikes a whole group, and a second loss strikes at every step of the repair: no
// acknowledged change is lost (the reads and the history say so), a change is acknowledged again
// within quorumWithin where the losses are within what the site tolerates, and once all have returned
// where no more disks are lost than that; and no step of the repair leaves less tolerance than there
// was before it began. `SECOND_LOSS=full` strikes at each tick.
func TestSecondLossAtEveryStep(t *testing.T) {
	from, _ := seedsFromEnv(t, 1)
	for _, site := range []struct{ machines, tolerate int }{{3, 1}, {4, 1}, {5, 2}, {7, 2}} {
		t.Run(fmt.Sprintf("%d machines", site.machines), func(t *testing.T) {
			t.Parallel()
			sum := map[string]int{}
			runs, tolerated, longest := 0, 0, time.Duration(0)
			for _, scenario := range secondLosses(site.machines, site.tolerate) {
				scenario.seed += from
				r := newLossRun(scenario)
				within, took := r.runScenario()
				r.checkEnd()
				if len(r.violations) > 0 {
					t.Fatalf("%v: %s\n%s", scenario, r.violations[0], strings.Join(r.trace[max(0, len(r.trace)-60):], "\n"))
				}
				if runs++; within {
					tolerated++
					longest = max(longest, took)
				}
				for k, v := range r.counts {
					sum[k] += v
				}
			}
			t.Logf("%d runs, %d of them within what is tolerated: a change is acknowledged after %v at the longest; %v", runs, tolerated, longest, sum)
		})
	}
}

// Planned replacement, SIGTERM, wipe and loss of power of all, one right after another and the leader
// always the one that is hit: each strikes as soon as the one before has ended, or so much later. All
// that was acknowledged is there, and a change is acknowledged again after the last return.
func TestRepeatedLossOfTheLeader(t *testing.T) {
	from, n := seedsFromEnv(t, 4)
	worst := time.Duration(0)
	for _, site := range []struct{ machines, tolerate int }{{4, 1}, {7, 2}} {
		for _, gap := range []time.Duration{0, 300 * time.Millisecond, time.Second, 2 * time.Second, catchUpTime} {
			for seed := from; seed < from+n; seed++ {
				r := newLossRun(lossScenario{machines: site.machines, toleratedLosses: site.tolerate, seed: seed})
				took := r.faultLeaderRepeatedly(gap)
				worst = max(worst, took)
				if r.checkEnd(); len(r.violations) > 0 {
					t.Fatalf("%d machines, gap %v, seed %d: %s\n%s", site.machines, gap, seed, r.violations[0], strings.Join(r.trace[max(0, len(r.trace)-60):], "\n"))
				}
			}
		}
	}
	t.Logf("a change is acknowledged after %v at the longest from the last return", worst)
}

func (r *lossRun) faultLeaderRepeatedly(gap time.Duration) time.Duration {
	r.waitUntil(12*time.Second, func() bool { return r.isComplete() && r.sparesReady() && r.counts["acked"] > 2 })
	r.waitUntil(time.Second, func() bool { return false })
	for _, kind := range []string{lossPlannedReplace, lossShutdown, lossWipe} {
		r.waitUntil(6*time.Second, func() bool { return r.leader() != nil })
		hit := r.leader()
		if hit == nil {
			r.traceStatus()
			r.violationf("quorum-back: no leader within 6 s before the %s", kind)
			return 0
		}
		r.injectLoss(kind, hit)
		r.waitUntil(graceTime, func() bool { return hit.shard == nil })
		r.waitUntil(gap, func() bool { return false })
	}
	r.tracef("all lose power")
	for _, node := range r.nodes {
		r.kill(node, true, awayTime)
	}
	r.waitUntil(awayTime, func() bool { return false })
	took, ok := r.waitUntil(2*quorumWithin, r.acknowledgedSince(r.now))
	if !ok {
		r.traceStatus()
		r.violationf("quorum-back-after-return: no change is acknowledged within %v after all are back", 2*quorumWithin)
	}
	return took
}

// linkScale is how many times smaller the simulator's batches are than those of StartGroup; states and
// links are scaled down as much, so that the times are the real ones.
const linkScale = (256 << 10) / 4096

// From the return of a machine without its disk, or the start of a replacement, the group is whole
// again before that machine stops counting as lost, with states of some megabytes on a link of
// 100 Mbit a second.
func TestRepairEndsBeforeTheLossDoes(t *testing.T) {
	for _, size := range []int{0, 1 << 20, 4 << 20} {
		for _, kind := range []string{lossWipe, lossReplace} {
			for _, machines := range []int{3, 4} {
				worst := time.Duration(0)
				for seed := range uint64(6) {
					r := newLossRun(lossScenario{machines: machines, toleratedLosses: 1, seed: seed})
					r.bytesPerSecond = 100e6 / 8 / linkScale
					took := r.measureRepair(kind, size/linkScale)
					if len(r.violations) > 0 {
						t.Fatalf("%s, %d machines, %d bytes, seed %d: %s\n%s", kind, machines, size, seed, r.violations[0], strings.Join(r.trace[max(0, len(r.trace)-40):], "\n"))
					}
					worst = max(worst, took)
				}
				t.Logf("%-9s %d machines, state of %d KB: whole again after %v at the longest", kind, machines, size>>10, worst)
			}
		}
	}
}

// measureRepair is how long the group takes to be whole, from the return or the replacement's start.
func (r *lossRun) measureRepair(kind string, size int) time.Duration {
	r.waitUntil(12*time.Second, func() bool { return r.isComplete() })
	r.putLargeDocument(size)
	r.waitUntil(4*time.Second, func() bool { return r.isComplete() })
	r.waitUntil(time.Second, func() bool { return false })
	r.injectLoss(kind, r.leader())
	r.waitUntil(max(0, r.lastReturn-r.now), func() bool { return false })
	took, ok := r.waitUntil(completeWithin, func() bool { return r.isComplete() && r.memberCount() == 3 })
	if !ok {
		r.traceStatus()
		r.violationf("whole-within: the group isn't whole within %v of the return", completeWithin)
	}
	return took
}
