package controlstate

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// A member that shuts down is replaced by the spare before it stops, whether it leads or not: the group
// is complete when it stops, so that the next loss leaves a quorum.
func TestLeaverIsReplacedBeforeItStops(t *testing.T) {
	for _, leads := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			cluster := newTestCluster(t)
			defer cluster.stopAll()
			cluster.startWithSpare()
			leaver := cluster.leader()
			if !leads {
				leaver = leaver%3 + 1
			}
			begun := time.Now()
			cluster.stop(leaver)
			stopTime := time.Since(begun)
			if stopTime > 1500*time.Millisecond {
				t.Errorf("leads %v: to stop took %v", leads, stopTime)
			}
			if members := cluster.members(); len(members) != 3 || cluster.isMember(leaver) {
				t.Errorf("leads %v: after machine %d stopped the members are %v", leads, leaver, members)
			}
			// The next loss comes at once, of the leader; its disk is lost for good.
			next := cluster.leader()
			cluster.setUnreachable(next, true)
			delete(cluster.nodes, cluster.addr(next))
			t.Logf("leads %v: stopped after %v, the next leader lost, another one after %v", leads, stopTime,
				cluster.waitUntil("another leader", 3*time.Second, func() bool { leader := cluster.leader(); return leader > 0 && leader != next }))
			cluster.putVersion(2)
			cluster.processes[cluster.addr(next)].Stop(time.Millisecond)
		})
	}
}

// Machines that are stopped and started in turn, with their disks, are each replaced by the spare: a
// configuration is accepted between any two restarts, and the group has three members after each.
func TestRollingRestartReplacesEachMemberOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t)
		defer cluster.stopAll()
		cluster.startWithSpare()
		for i := range 4 {
			before := cluster.membershipIndex()
			begun := time.Now()
			cluster.stop(i + 1)
			stopTime := time.Since(begun)
			cluster.start(i+1, false)
			cluster.putVersion(uint64(i + 2))
			cluster.awaitSpare()
			t.Logf("machine %d stopped after %v; a spare is known after %v; the membership's entry went from %d to %d", i+1, stopTime, time.Since(begun), before, cluster.membershipIndex())
			if members := cluster.members(); len(members) != 3 {
				t.Errorf("after machine %d the members are %v", i+1, members)
			}
			if stopTime > 2*time.Second {
				t.Errorf("machine %d took %v to stop", i+1, stopTime)
			}
		}
	})
}

// When all machines shut down at once, each stops well within its grace time, and all that was
// acknowledged is there when they start again.
func TestAllMachinesCanStopAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t)
		defer cluster.stopAll()
		cluster.startWithSpare()
		begun := time.Now()
		done := make(chan int)
		for i := range 4 {
			go func() { cluster.processes[cluster.addr(i+1)].Stop(time.Second); done <- i }()
		}
		for range 4 {
			<-done
		}
		if stopTime := time.Since(begun); stopTime > 4*time.Second {
			t.Errorf("all had stopped after %v", stopTime)
		} else {
			t.Logf("all had stopped after %v", stopTime)
		}
		clear(cluster.nodes)
		for i := range 4 {
			cluster.start(i+1, false)
		}
		cluster.waitUntil("the plan", 6*time.Second, func() bool {
			_, version, err := cluster.node(1).ReadRoutingConfig(context.Background())
			return err == nil && version == 1
		})
	})
}

// A member that was removed while it was away, and comes back with its old disk, joins again well before
// the time after which it no longer counts as lost, though its log has it as a voter.
func TestRemovedMemberRejoinsAsSpare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t)
		defer cluster.stopAll()
		cluster.startWithSpare()
		away := cluster.leader()%3 + 1
		cluster.setUnreachable(away, true)
		cluster.processes[cluster.addr(away)].Stop(time.Millisecond)
		delete(cluster.nodes, cluster.addr(away))
		cluster.waitUntil("its place is taken", 6*time.Second, func() bool { return len(cluster.members()) == 3 && !cluster.isMember(away) })
		cluster.setUnreachable(away, false)
		cluster.start(away, false)
		rejoinTime := cluster.waitUntil("it is a spare again", 3*time.Second, func() bool {
			replica := cluster.node(away).shards[0]
			return query(context.Background(), replica, false, func() bool {
				return !replica.core.IsVoter(replica.core.Self()) && replica.core.Status().Leader != ""
			})
		})
		t.Logf("a spare again after %v", rejoinTime)
	})
}
