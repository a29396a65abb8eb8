package controlstate

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"pebbleloom/internal/control/controlclient"
)

// planSizes are the sizes of the tested routing configurations, in routes: a typical one and a large one as defined
// in the contract.
var planSizes = []int{350, 2000}

// fastLinkRate is the bandwidth of a control machine's network link, in bytes per second.
const fastLinkRate = 125 << 20

// catchUpBound returns the time within which a member has to catch up: the time for an election or a join, plus four
// times the transmission time of the state. stateBytes is in bytes, rate in bytes per second.
func catchUpBound(stateBytes, rate int) time.Duration {
	return 6*time.Second + 4*time.Duration(float64(stateBytes)/float64(rate)*float64(time.Second))
}

// changesFromEnv returns the number of configuration changes in a test run: the environment variable CATCH_UP_CHANGES,
// or by default the number that covers every kind of fault.
func changesFromEnv() int {
	if count, err := strconv.Atoi(os.Getenv("CATCH_UP_CHANGES")); err == nil {
		return count
	}
	return changesForAllFaults
}

// changesForAllFaults is the number of changes within which every kind of fault is injected at least once, given that
// fewChanges changes are made during each fault. Longer runs make moreChanges changes during each fault.
const (
	changesForAllFaults = 135
	fewChanges          = 6
	moreChanges         = 20
)

// changesPerFault returns the number of changes that are made while a member is down or isolated.
func changesPerFault() int {
	if changesFromEnv() > changesForAllFaults {
		return moreChanges
	}
	return fewChanges
}

// catchUpSeedFromEnv returns the environment variable CATCH_UP_SEED, which is added to the seeds of the random number
// generators; 0 if it is not set.
func catchUpSeedFromEnv() uint64 {
	seed, _ := strconv.ParseUint(os.Getenv("CATCH_UP_SEED"), 10, 64)
	return seed
}

// A group accepts many changes of routing configurations of 350 and of 2,000 routes, and compacts its logs, while members
// are restarted, crash in the middle of a write, lose their disks, are replaced by new machines or isolated, and while
// all members restart at once. Each affected member has to catch up within catchUpBound. catchUpSim.runStep checks the
// invariants after each step.
func TestCatchUpAfterHundredsOfChanges(t *testing.T) {
	changes := changesFromEnv()
	for _, routes := range planSizes {
		t.Run(fmt.Sprint(routes, " routes"), func(t *testing.T) {
			s := newCatchUpSim(t, uint64(routes)+catchUpSeedFromEnv(), 4, fastLinkRate)
			r := &catchUpRun{catchUpSim: s, routes: routes, longest: map[string]time.Duration{}, counts: map[string]int{}}
			r.change(routes, 10*time.Second)
			for number := 0; s.ackedVersion < uint64(changes); number++ {
				r.injectFault(number)
			}
			for _, fault := range []string{"restarted", "leader restarted", "crashed during a write", "disk replaced", "machine replaced", "isolated", "leader isolated", "all restarted"} {
				t.Logf("fault %-22s injected %2d times, members caught up within %v", fault, r.counts[fault], r.longest[fault])
				if r.counts[fault] == 0 && changes >= changesForAllFaults {
					t.Errorf("fault %q was not injected in %d changes", fault, changes)
				}
			}
		})
	}
}

// catchUpRun injects faults into a catchUpSim while configuration changes are made.
type catchUpRun struct {
	*catchUpSim
	routes  int                      // size of the routing configurations, in routes
	longest map[string]time.Duration // longest time that a member took to catch up, by name of the fault
	counts  map[string]int           // number of times that each fault was injected, by its name
}

// makeChanges makes a number of configuration changes, and fails the test if one is not acknowledged within 20 s.
func (r *catchUpRun) makeChanges(count int) {
	r.t.Helper()
	for range count {
		r.change(r.routes, 20*time.Second)
	}
}

// member returns the leader if isLeader is set, and a healthy follower otherwise. If there is no healthy follower, it
// returns the leader.
func (r *catchUpRun) member(isLeader bool) *catchUpNode {
	r.t.Helper()
	r.waitUntil("the election of a leader", 10*time.Second, func() bool { return r.leader() != nil })
	leader := r.leader()
	if isLeader {
		return leader
	}
	members, _, _ := leader.shard.core.Members()
	for _, name := range members {
		if node := r.node(controlclient.MemberAddr(name)); node != leader && r.isHealthy(node) {
			return node
		}
	}
	return leader
}

// awaitCaughtUp waits until a member has caught up after a fault and the group is complete again. It fails the test if
// the member exceeds catchUpBound.
func (r *catchUpRun) awaitCaughtUp(fault string, node *catchUpNode) {
	r.t.Helper()
	startedAt := r.now
	bound := catchUpBound(len(r.bodies[r.ackedVersion]), r.bytesPerSecond)
	for !r.hasCaughtUp(node) {
		if r.step(); r.now-startedAt > bound {
			r.logStatus()
			r.t.Fatalf("fault %q: member %s did not catch up within %v", fault, node.addr, bound)
		}
	}
	r.longest[fault], r.counts[fault] = max(r.longest[fault], r.now-startedAt), r.counts[fault]+1
	r.awaitComplete()
}

// awaitComplete waits until the group has three voters and all of them have applied the last acknowledged version.
func (r *catchUpRun) awaitComplete() {
	r.t.Helper()
	r.waitUntil("three voters that have all caught up", 30*time.Second, func() bool {
		leader := r.leader()
		if leader == nil || !leader.shard.core.CanChangeMembership() {
			return false
		}
		members, _, _ := leader.shard.core.Members()
		for _, name := range members {
			if node := r.node(controlclient.MemberAddr(name)); !r.hasCaughtUp(node) || node.shard.core.Self() != name {
				return false
			}
		}
		return len(members) == 3
	})
}

// injectFault injects a fault and waits until the affected member has caught up. The number of the fault determines its
// kind and its target: in each 16 faults the first eight hit a follower and the other eight the leader.
func (r *catchUpRun) injectFault(number int) {
	r.t.Helper()
	targetsLeader := number%16 >= 8
	node := r.member(targetsLeader)
	prefix := ""
	if targetsLeader {
		prefix = "leader "
	}
	switch number % 8 {
	case 0, 1:
		r.restart(prefix+"restarted", node, false)
	case 2:
		r.restart("crashed during a write", node, true)
	case 3:
		r.replaceDisk(node)
	case 4:
		r.replaceMachine(node)
	case 5, 6:
		r.isolate(prefix+"isolated", node)
	case 7:
		r.restartAll(node)
	}
}

// restart stops a member, makes changes without it and starts it again. If torn is set, the member crashes in the middle
// of a write.
func (r *catchUpRun) restart(fault string, node *catchUpNode, torn bool) {
	r.t.Helper()
	r.kill(node, torn)
	r.makeChanges(changesPerFault())
	r.start(node, false)
	r.makeChanges(3)
	r.awaitCaughtUp(fault, node)
}

// replaceDisk stops a member, replaces its disk by an empty one, makes changes without it and starts it again.
func (r *catchUpRun) replaceDisk(node *catchUpNode) {
	r.t.Helper()
	r.wipe(node)
	r.makeChanges(changesPerFault() / 2)
	r.start(node, false)
	r.makeChanges(3)
	r.awaitCaughtUp("disk replaced", node)
}

// replaceMachine removes a machine permanently, and starts a new one at another address.
func (r *catchUpRun) replaceMachine(node *catchUpNode) {
	r.t.Helper()
	r.kill(node, false)
	node.isRemoved = true
	replacement := r.addNode()
	r.start(replacement, false)
	r.makeChanges(changesPerFault())
	r.awaitCaughtUp("machine replaced", replacement)
}

// isolate isolates a member for at least isolationTime while changes are made.
func (r *catchUpRun) isolate(fault string, node *catchUpNode) {
	r.t.Helper()
	r.isolated[node.addr] = true
	startedAt := r.now
	r.makeChanges(changesPerFault())
	r.advance(max(0, isolationTime-(r.now-startedAt)))
	delete(r.isolated, node.addr)
	r.makeChanges(3)
	r.awaitCaughtUp(fault, node)
}

// restartAll kills all machines at the same time, starts them again, and waits until the given member has caught up.
func (r *catchUpRun) restartAll(node *catchUpNode) {
	r.t.Helper()
	for _, peer := range r.nodes {
		if !peer.isRemoved {
			r.kill(peer, false)
		}
	}
	for _, peer := range r.nodes {
		if !peer.isRemoved {
			r.start(peer, false)
		}
	}
	r.makeChanges(3)
	r.awaitCaughtUp("all restarted", node)
}

// Logs the virtual time that a restarted member takes to catch up, for several state sizes, numbers of missed changes and
// bandwidths, and fails if it exceeds twice the bound. The benchmarks in snapshot_cost_test.go measure the CPU time.
func TestTimeToCatchUp(t *testing.T) {
	rates, missedChanges := []int{fastLinkRate, 128 << 10}, []int{10}
	if changesFromEnv() > changesForAllFaults {
		rates, missedChanges = []int{fastLinkRate, 1 << 20, 128 << 10}, []int{1, 10, 100}
	}
	t.Logf("%8s %10s %8s %12s %10s %12s", "routes", "state KB", "missed", "link MB/s", "time ms", "KB received")
	for _, rate := range rates {
		for _, routes := range []int{350, 1000, 2000} {
			for _, missed := range missedChanges {
				s := newCatchUpSim(t, 1, 3, fastLinkRate)
				s.change(routes, 10*time.Second)
				s.advance(time.Second)
				node := (&catchUpRun{catchUpSim: s}).member(false)
				s.kill(node, false)
				for range missed {
					s.change(routes, 10*time.Second)
				}
				s.bytesPerSecond = rate
				s.start(node, false)
				node.receivedBytes = 0
				size := len(planText(s.ackedVersion, routes))
				duration := s.waitUntil("the restarted member to have applied the last acknowledged version", 2*catchUpBound(size, rate), func() bool { return s.hasCaughtUp(node) })
				t.Logf("%8d %10d %8d %12.3f %10d %12d", routes, size>>10, missed, float64(rate)/(1<<20), duration.Milliseconds(), node.receivedBytes>>10)
			}
		}
	}
}
