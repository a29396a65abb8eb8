package controlstate

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/wire"
)

// unreachableOthers makes all machines of a group of three unreachable but one.
func (c *testCluster) unreachableOthers(reachable int) {
	for i := range 3 {
		if i+1 != reachable {
			c.setUnreachable(i+1, true)
		}
	}
}

// A shard that waits for its disk answers every request in time, from what it held before, and the others
// accept changes without it.
func TestStalledDiskBlocksNoRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster, ctx := newTestCluster(t), context.Background()
		defer cluster.stopAll()
		cluster.startFounders(3)
		if _, err := cluster.node(1).PutRoutingConfig(ctx, 0, body(1, "x"), false); err != nil {
			t.Fatal(err)
		}
		leader := cluster.leader()
		node, disk, release := cluster.node(leader), cluster.disks[cluster.addr(leader)], make(chan struct{})
		disk.update(func(disk *stallingDisk) { disk.stalled = release })
		begun := time.Now()
		if _, err := node.PutRoutingConfig(ctx, 1, body(2, "x"), false); err == nil || errs.KindOf(err) != errs.OutcomeUnknown {
			t.Errorf("a change where the disk stalls: %v", err)
		}
		if waited := time.Since(begun); waited > answerWithin {
			t.Errorf("the operator waited %v", waited)
		}
		begun = time.Now()
		response, _ := node.Follow(ctx, followRequest(pollTime, &wire.KnownVersion{Key: routingconfig.DocumentKey, Version: 1}))
		if waited := time.Since(begun); waited != pollTime || len(response.Documents) > 0 {
			t.Errorf("after %v: %v", waited, response)
		}
		cluster.waitUntil("the change elsewhere", 5*time.Second, func() bool {
			for i := range 3 {
				if i+1 == leader {
					continue
				}
				if _, err := cluster.node(i+1).PutRoutingConfig(ctx, 1, body(2, "x"), false); err == nil {
					return true
				}
			}
			return false
		})
		disk.update(func(disk *stallingDisk) { disk.stalled = nil })
		close(release)
		cluster.waitUntil("the change at the one that stalled", 5*time.Second, func() bool {
			return node.shards[0].published.current().documents[routingconfig.DocumentKey].GetVersion() == 2
		})
	})
}

// A member whose disk is full fails, and recovers by itself once its disk accepts writes again.
func TestMemberRecoversFromAFullDisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t)
		defer cluster.stopAll()
		cluster.startFounders(3)
		leader := cluster.leader()
		node, disk := cluster.node(leader), cluster.disks[cluster.addr(leader)]
		disk.update(func(disk *stallingDisk) { disk.disk.failWrites = true })
		for version := range uint64(3) {
			cluster.putVersion(version + 1)
		}
		response, _ := node.Follow(context.Background(), followRequest(pollTime, &wire.KnownVersion{Key: routingconfig.DocumentKey, Version: 9}))
		if response.NothingNewer || node.shards[0].published.current().isVoter {
			t.Errorf("the response of a failed member counts for a proof: %v", response)
		}
		disk.update(func(disk *stallingDisk) { disk.disk.failWrites = false })
		cluster.waitUntil("the member's recovery", 6*time.Second, func() bool {
			view := node.shards[0].published.current()
			return view.isVoter && view.documents[routingconfig.DocumentKey].GetVersion() == 3
		})
	})
}

// Without a quorum changes and reads fail before the operator goes to another node.
func TestRequestsFailFastWithoutAQuorum(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster, ctx := newTestCluster(t), context.Background()
		defer cluster.stopAll()
		cluster.startFounders(3)
		leader := cluster.leader()
		cluster.unreachableOthers(leader)
		node := cluster.node(leader)
		for name, request := range map[string]func() error{
			"a change":          func() error { _, err := node.PutRoutingConfig(ctx, 0, body(1, "x"), false); return err },
			"a read":            func() error { _, _, err := node.ReadRoutingConfig(ctx); return err },
			"a weights version": func() error { return node.SetWeightsVersion(ctx, "m", 2) },
		} {
			begun := time.Now()
			if err := request(); err == nil || errs.KindOf(err) != errs.OutcomeUnknown || time.Since(begun) > answerWithin {
				t.Errorf("%s: after %v: %v", name, time.Since(begun), err)
			}
		}
	})
}

// A process that shuts down transfers its leadership and stops well within its grace time, also where no
// other member is reachable.
func TestShutdownIsShort(t *testing.T) {
	for _, isAlone := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			cluster := newTestCluster(t)
			defer cluster.stopAll()
			cluster.startFounders(3)
			leader := cluster.leader()
			if isAlone {
				cluster.unreachableOthers(leader)
			}
			begun := time.Now()
			cluster.stop(leader)
			if stopTime := time.Since(begun); stopTime > 4*time.Second || !isAlone && stopTime > time.Second {
				t.Errorf("alone %v: stopped after %v", isAlone, stopTime)
			}
		})
	}
}
