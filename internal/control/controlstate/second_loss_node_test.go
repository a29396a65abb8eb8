package controlstate

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// A member that shuts down, whether it is the leader or not, is replaced by the spare before it stops. The group is then
// complete when the member stops, so that it tolerates the next loss.
func TestLeaverIsReplacedBeforeItStops(t *testing.T) {
	for _, isLeader := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			cluster := newTestCluster(t)
			defer cluster.stopAll()
			cluster.startWithSpare()
			leaving := cluster.leader()
			if !isLeader {
				leaving = leaving%3 + 1
			}
			begun := time.Now()
			cluster.stop(leaving)
			stopTime := time.Since(begun)
			if stopTime > 1500*time.Millisecond {
				t.Errorf("shutdown of a member (leader: %v) took %v, want at most 1.5 s", isLeader, stopTime)
			}
			if members := cluster.members(); len(members) != 3 || cluster.isMember(leaving) {
				t.Errorf("shutdown of a member (leader: %v, machine %d): members are %v afterwards, want three without that machine", isLeader, leaving, members)
			}
			// The leader is lost immediately afterwards, and its disk is lost permanently.
			next := cluster.leader()
			cluster.setUnreachable(next, true)
			delete(cluster.nodes, cluster.addr(next))
			t.Logf("shutdown of a member (leader: %v) took %v; after the loss of the next leader, another one was elected within %v", isLeader, stopTime,
				cluster.waitUntil("another leader is elected", 3*time.Second, func() bool { leader := cluster.leader(); return leader > 0 && leader != next }))
			cluster.putVersion(2)
			cluster.processes[cluster.addr(next)].Stop(time.Millisecond)
		})
	}
}

// During a rolling restart, each machine is replaced by the spare before it stops and returns as the new spare. After
// each restart, the group accepts a change of the configuration and has three members.
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
			t.Logf("machine %d stopped after %v; a spare was ready after %v; the log index of the membership rose from %d to %d", i+1, stopTime, time.Since(begun), before, cluster.membershipIndex())
			if members := cluster.members(); len(members) != 3 {
				t.Errorf("after the restart of machine %d the members are %v, want three", i+1, members)
			}
			if stopTime > 2*time.Second {
				t.Errorf("machine %d took %v to stop, want at most 2 s", i+1, stopTime)
			}
		}
	})
}

// When all machines shut down at once, none uses up its grace period waiting for the others, and all acknowledged
// changes are still there after a restart.
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
			t.Errorf("concurrent shutdown of all machines took %v, want at most 4 s", stopTime)
		} else {
			t.Logf("concurrent shutdown of all machines took %v", stopTime)
		}
		clear(cluster.nodes)
		for i := range 4 {
			cluster.start(i+1, false)
		}
		cluster.waitUntil("acknowledged configuration is read after the restart", 6*time.Second, func() bool {
			_, version, err := cluster.node(1).ReadRoutingConfig(context.Background())
			return err == nil && version == 1
		})
	})
}

// A member that was removed while it was unreachable, and returns with its old disk, becomes a learner again within 3 s,
// although it is still a voter according to its own log. That is well before it no longer counts as lost.
func TestRemovedMemberRejoinsAsSpare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t)
		defer cluster.stopAll()
		cluster.startWithSpare()
		removed := cluster.leader()%3 + 1
		cluster.setUnreachable(removed, true)
		cluster.processes[cluster.addr(removed)].Stop(time.Millisecond)
		delete(cluster.nodes, cluster.addr(removed))
		cluster.waitUntil("spare replaces the lost member", 6*time.Second, func() bool { return len(cluster.members()) == 3 && !cluster.isMember(removed) })
		cluster.setUnreachable(removed, false)
		cluster.start(removed, false)
		rejoinTime := cluster.waitUntil("removed member is a learner of the group", 3*time.Second, func() bool {
			replica := cluster.node(removed).shards[0]
			return query(context.Background(), replica, false, func() bool {
				return !replica.core.IsVoter(replica.core.Self()) && replica.core.Status().Leader != ""
			})
		})
		t.Logf("removed member was a learner %v after its restart", rejoinTime)
	})
}
