package controlstate

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"pebbleloom/internal/control/controlclient"
)

// planSizes are numbers of routes of a configuration: a usual one, and a large one by the contract.
var planSizes = []int{350, 2000}

// fastLinkRate is the bandwidth of a control machine's link, in bytes a second.
const fastLinkRate = 125 << 20

// catchUpBound is within how long a member catches up: an election or a join, and four times the state's
// time on the link. Sizes are in bytes, the rate in bytes a second.
func catchUpBound(stateBytes, rate int) time.Duration {
	return 6*time.Second + 4*time.Duration(float64(stateBytes)/float64(rate)*float64(time.Second))
}

// changesFromEnv is the number of changes of a run: CATCH_UP_CHANGES, or as many as reach each fault.
func changesFromEnv() int {
	if count, err := strconv.Atoi(os.Getenv("CATCH_UP_CHANGES")); err == nil {
		return count
	}
	return changesForAllFaults
}

// Each fault comes at least once in changesForAllFaults changes, with fewChanges while a member is away; in a
// longer run there are moreChanges.
const (
	changesForAllFaults = 135
	fewChanges          = 6
	moreChanges         = 20
)

// changesPerFault is how many changes are made while a member is away.
func changesPerFault() int {
	if changesFromEnv() > changesForAllFaults {
		return moreChanges
	}
	return fewChanges
}

// catchUpSeedFromEnv is CATCH_UP_SEED, for runs with other draws.
func catchUpSeedFromEnv() uint64 {
	seed, _ := strconv.ParseUint(os.Getenv("CATCH_UP_SEED"), 10, 64)
	return seed
}

// Hundreds of changes of configurations of 350 and of 2,000 routes, with compactions. Meanwhile members are
// restarted, killed in a write, wiped, replaced and isolated, one by one and all at once. Each catches up
// within the bound; catchUpWorld.runStep checks what holds at any time.
func TestCatchUpAfterHundredsOfChanges(t *testing.T) {
	changes := changesFromEnv()
	for _, routes := range planSizes {
		t.Run(fmt.Sprint(routes, " routes"), func(t *testing.T) {
			w := newCatchUpWorld(t, uint64(routes)+catchUpSeedFromEnv(), 4, fastLinkRate)
			r := &catchUpRun{catchUpWorld: w, routes: routes, longest: map[string]time.Duration{}, counts: map[string]int{}}
			r.change(routes, 10*time.Second)
			for number := 0; w.ackedVersion < uint64(changes); number++ {
				r.injectFault(number)
			}
			for _, fault := range []string{"restarted", "leader restarted", "torn in a write", "wiped", "replaced", "isolated", "leader isolated", "all restarted"} {
				t.Logf("%-16s %2d times, caught up within %v", fault, r.counts[fault], r.longest[fault])
				if r.counts[fault] == 0 && changes >= changesForAllFaults {
					t.Errorf("%s: never happened", fault)
				}
			}
		})
	}
}

// catchUpRun injects faults while changes are made.
type catchUpRun struct {
	*catchUpWorld
	routes  int
	longest map[string]time.Duration // until a member had caught up, by fault
	counts  map[string]int           // by fault
}

func (r *catchUpRun) makeChanges(count int) {
	r.t.Helper()
	for range count {
		r.change(r.routes, 20*time.Second)
	}
}

// member is the leader, or a follower where there is a healthy one.
func (r *catchUpRun) member(isLeader bool) *catchUpNode {
	r.t.Helper()
	r.waitUntil("a leader", 10*time.Second, func() bool { return r.leader() != nil })
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

// awaitCaughtUp waits until a member has caught up and the group is complete.
func (r *catchUpRun) awaitCaughtUp(fault string, node *catchUpNode) {
	r.t.Helper()
	begun := r.now
	bound := catchUpBound(len(r.bodies[r.ackedVersion]), r.bytesPerSecond)
	for !r.hasCaughtUp(node) {
		if r.step(); r.now-begun > bound {
			r.logStatus()
			r.t.Fatalf("%s: %s hasn't caught up within %v", fault, node.addr, bound)
		}
	}
	r.longest[fault], r.counts[fault] = max(r.longest[fault], r.now-begun), r.counts[fault]+1
	r.awaitComplete()
}

// awaitComplete waits until the group has three members that have all caught up.
func (r *catchUpRun) awaitComplete() {
	r.t.Helper()
	r.waitUntil("three members that have caught up", 30*time.Second, func() bool {
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

// injectFault injects one of eight faults, in turn: eight times to a follower, then eight times to the
// leader. It waits until the member has caught up.
func (r *catchUpRun) injectFault(number int) {
	r.t.Helper()
	hitsLeader := number%16 >= 8
	node := r.member(hitsLeader)
	prefix := ""
	if hitsLeader {
		prefix = "leader "
	}
	switch number % 8 {
	case 0, 1:
		r.restart(prefix+"restarted", node, false)
	case 2:
		r.restart("torn in a write", node, true)
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

// restart keeps a member down for some changes; where torn, it ends in the middle of a write.
func (r *catchUpRun) restart(fault string, node *catchUpNode, torn bool) {
	r.t.Helper()
	r.kill(node, torn)
	r.makeChanges(changesPerFault())
	r.start(node, false)
	r.makeChanges(3)
	r.awaitCaughtUp(fault, node)
}

// replaceDisk empties a member's disk, and starts it again after some changes.
func (r *catchUpRun) replaceDisk(node *catchUpNode) {
	r.t.Helper()
	r.wipe(node)
	r.makeChanges(changesPerFault() / 2)
	r.start(node, false)
	r.makeChanges(3)
	r.awaitCaughtUp("wiped", node)
}

// replaceMachine removes a machine for good, and starts another one.
func (r *catchUpRun) replaceMachine(node *catchUpNode) {
	r.t.Helper()
	r.kill(node, false)
	node.isRemoved = true
	replacement := r.addNode()
	r.start(replacement, false)
	r.makeChanges(changesPerFault())
	r.awaitCaughtUp("replaced", replacement)
}

// isolate isolates a member for twenty seconds.
func (r *catchUpRun) isolate(fault string, node *catchUpNode) {
	r.t.Helper()
	r.isolated[node.addr] = true
	begun := r.now
	r.makeChanges(changesPerFault())
	r.advance(max(0, isolationTime-(r.now-begun)))
	delete(r.isolated, node.addr)
	r.makeChanges(3)
	r.awaitCaughtUp(fault, node)
}

// restartAll kills all machines at once and starts them again.
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

// The virtual time to catch up after a restart, by the size of the state, the number of changes missed and the
// bandwidth. The processor's time is measured in snapshot_cost_test.go.
func TestTimeToCatchUp(t *testing.T) {
	rates, missedChanges := []int{fastLinkRate, 128 << 10}, []int{10}
	if changesFromEnv() > changesForAllFaults {
		rates, missedChanges = []int{fastLinkRate, 1 << 20, 128 << 10}, []int{1, 10, 100}
	}
	t.Logf("%8s %10s %8s %12s %10s %12s", "routes", "state KB", "missed", "link MB/s", "ms", "KB sent")
	for _, rate := range rates {
		for _, routes := range []int{350, 1000, 2000} {
			for _, missed := range missedChanges {
				w := newCatchUpWorld(t, 1, 3, fastLinkRate)
				w.change(routes, 10*time.Second)
				w.advance(time.Second)
				node := (&catchUpRun{catchUpWorld: w}).member(false)
				w.kill(node, false)
				for range missed {
					w.change(routes, 10*time.Second)
				}
				w.bytesPerSecond = rate
				w.start(node, false)
				node.receivedBytes = 0
				size := len(planText(w.ackedVersion, routes))
				duration := w.waitUntil("caught up", 2*catchUpBound(size, rate), func() bool { return w.hasCaughtUp(node) })
				t.Logf("%8d %10d %8d %12.3f %10d %12d", routes, size>>10, missed, float64(rate)/(1<<20), duration.Milliseconds(), node.receivedBytes>>10)
			}
		}
	}
}
