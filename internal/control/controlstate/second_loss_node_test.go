package controlstate

import (
	"context"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

func (c *testCluster) putVersion(version uint64) {
	c.t.Helper()
	c.waitUntil("a plan", 6*time.Second, func() bool {
		for _, node := range c.nodes {
			if _, err := node.PutRoutingConfig(context.Background(), version-1, body(version, "x"), false); err == nil {
				return true
			}
		}
		return false
	})
}

// awaitSpare waits until the leader replicates to a learner that it could add.
func (c *testCluster) awaitSpare() {
	c.t.Helper()
	c.waitUntil("a spare", 6*time.Second, func() bool {
		leader := c.leader()
		if leader == 0 {
			return false
		}
		replica := c.nodes[c.addr(leader)].shards[0]
		return query(context.Background(), replica, false, func() bool {
			for _, peer := range replica.core.PeerStatuses() {
				if !peer.IsVoter && peer.CaughtUp {
					return true
				}
			}
			return false
		})
	})
}

func (c *testCluster) isMember(i int) bool {
	return slices.ContainsFunc(c.members(), func(m string) bool { return strings.HasPrefix(m, c.addr(i)+"/") })
}

// A member that leaves in order has its place taken by the spare before it goes, be it the leader or a
// follower: the group has all its members the moment it stops, so that the next loss finds a quorum.
func TestLeaverIsReplacedBeforeItStops(t *testing.T) {
	for _, leads := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			cluster := newTestCluster(t)
			for i := range 4 {
				cluster.start(i+1, true)
			}
			defer cluster.stopAll()
			cluster.waitUntil("a leader", 5*time.Second, func() bool { return len(cluster.members()) == 3 })
			cluster.putVersion(1)
			cluster.awaitSpare()
			leaver := cluster.leader()
			if !leads {
				leaver = leaver%3 + 1
			}
			begun := time.Now()
			cluster.stop(leaver)
			took := time.Since(begun)
			if took > 1500*time.Millisecond {
				t.Errorf("leads %v: to stop took %v", leads, took)
			}
			if l := cluster.members(); len(l) != 3 || cluster.isMember(leaver) {
				t.Errorf("leads %v: after machine %d stopped the members are %v", leads, leaver, l)
			}
			// The next loss strikes at once, the leader first; its disk is gone for good.
			next := cluster.leader()
			cluster.makeUnreachable(next)
			delete(cluster.nodes, cluster.addr(next))
			t.Logf("leads %v: stopped after %v, the next leader lost, a plan after %v", leads, took,
				cluster.waitUntil("another leader", 3*time.Second, func() bool { o := cluster.leader(); return o > 0 && o != next }))
			cluster.putVersion(2)
			cluster.processes[cluster.addr(next)].Stop(time.Millisecond)
		})
	}
}

// Machines that are stopped and started in turn, disks kept, are each replaced in order: two changes of
// the membership each, never more, and a plan is taken between any two of them at once.
func TestRollingRestartReplacesEachMemberOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t)
		for i := range 4 {
			cluster.start(i+1, true)
		}
		defer cluster.stopAll()
		cluster.waitUntil("a leader", 5*time.Second, func() bool { return len(cluster.members()) == 3 })
		cluster.putVersion(1)
		cluster.awaitSpare()
		for i := range 4 {
			before := cluster.membershipIndex()
			begun := time.Now()
			cluster.stop(i + 1)
			took := time.Since(begun)
			cluster.start(i+1, false)
			cluster.putVersion(uint64(i + 2))
			cluster.awaitSpare()
			t.Logf("machine %d stopped after %v; a spare is known after %v; the membership's entry went from %d to %d", i+1, took, time.Since(begun), before, cluster.membershipIndex())
			if l := cluster.members(); len(l) != 3 {
				t.Errorf("after machine %d the members are %v", i+1, l)
			}
			if took > 2*time.Second {
				t.Errorf("machine %d took %v to stop", i+1, took)
			}
		}
	})
}

func (c *testCluster) membershipIndex() (index uint64) {
	for _, node := range c.nodes {
		index = max(index, node.shards[0].published.current().index)
	}
	return index
}

// When all machines are told to stop at once, each is done well within its time, and all that was
// acknowledged is there when they start again.
func TestAllMachinesCanStopAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t)
		for i := range 4 {
			cluster.start(i+1, true)
		}
		defer cluster.stopAll()
		cluster.waitUntil("a leader", 5*time.Second, func() bool { return len(cluster.members()) == 3 })
		cluster.putVersion(1)
		cluster.awaitSpare()
		begun := time.Now()
		done := make(chan int)
		for i := range 4 {
			go func() { cluster.processes[cluster.addr(i+1)].Stop(time.Second); done <- i }()
		}
		for range 4 {
			<-done
		}
		if took := time.Since(begun); took > 4*time.Second {
			t.Errorf("all had stopped after %v", took)
		} else {
			t.Logf("all had stopped after %v", took)
		}
		clear(cluster.nodes)
		for i := range 4 {
			cluster.start(i+1, false)
		}
		cluster.waitUntil("the plan", 6*time.Second, func() bool {
			_, version, err := cluster.nodes[cluster.addr(1)].ReadRoutingConfig(context.Background())
			return err == nil && version == 1
		})
	})
}

// A member that was removed while it was away, and comes back with its old disk, is taken in again
// well before the time after which it no longer counts as lost, though its log names it a voter.
func TestRemovedMemberRejoinsAsSpare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t)
		for i := range 4 {
			cluster.start(i+1, true)
		}
		defer cluster.stopAll()
		cluster.waitUntil("a leader", 5*time.Second, func() bool { return len(cluster.members()) == 3 })
		cluster.putVersion(1)
		cluster.awaitSpare()
		away := cluster.leader()%3 + 1
		cluster.makeUnreachable(away)
		cluster.processes[cluster.addr(away)].Stop(time.Millisecond)
		delete(cluster.nodes, cluster.addr(away))
		cluster.waitUntil("its place is taken", 6*time.Second, func() bool { return len(cluster.members()) == 3 && !cluster.isMember(away) })
		cluster.mu.Lock()
		cluster.unreachable[cluster.addr(away)] = false
		cluster.mu.Unlock()
		cluster.start(away, false)
		took := cluster.waitUntil("it is a spare again", 3*time.Second, func() bool {
			replica := cluster.nodes[cluster.addr(away)].shards[0]
			return query(context.Background(), replica, false, func() bool {
				return !replica.core.IsVoter(replica.core.Self()) && replica.core.Status().Leader != ""
			})
		})
		t.Logf("a spare again after %v", took)
	})
}
