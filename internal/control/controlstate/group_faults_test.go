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

// makeOthersUnreachable makes the machines 1 to 3 unreachable, except for the given one.
func (c *testCluster) makeOthersUnreachable(reachable int) {
	for i := range 3 {
		if i+1 != reachable {
			c.setUnreachable(i+1, true)
		}
	}
}

// While the disk of the leader stalls, the leader still responds to every request in time: a change gets an unknown
// outcome, and a long poll is served from the state before the stall. The other members elect a leader and accept
// changes, and the stalled member catches up once its disk works again.
func TestStalledDiskBlocksNoRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster, ctx := newTestCluster(t), context.Background()
		defer cluster.stopAll()
		cluster.startInitialGroup(3)
		if _, err := cluster.node(1).PutRoutingConfig(ctx, 0, body(1, "x"), false); err != nil {
			t.Fatalf("change of the routing configuration before the disk stalls: %v", err)
		}
		leader := cluster.leader()
		node, disk, release := cluster.node(leader), cluster.disks[cluster.addr(leader)], make(chan struct{})
		disk.update(func(disk *stallingDisk) { disk.stalled = release })
		startedAt := time.Now()
		if _, err := node.PutRoutingConfig(ctx, 1, body(2, "x"), false); err == nil || errs.KindOf(err) != errs.OutcomeUnknown {
			t.Errorf("change at a node with a stalled disk: got error %v, want one of kind %v", err, errs.OutcomeUnknown.Name)
		}
		if waited := time.Since(startedAt); waited > maxResponseTime {
			t.Errorf("change at a node with a stalled disk took %v, want at most %v", waited, maxResponseTime)
		}
		startedAt = time.Now()
		response, _ := node.Follow(ctx, followRequest(pollTime, &wire.KnownVersion{Key: routingconfig.DocumentKey, Version: 1}))
		if waited := time.Since(startedAt); waited != pollTime || len(response.Documents) > 0 {
			t.Errorf("long poll at a node with a stalled disk: got %v after %v, want no documents after %v", response, waited, pollTime)
		}
		cluster.waitUntil("the change to be acknowledged by another node", 5*time.Second, func() bool {
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
		cluster.waitUntil("the change to be applied at the node whose disk had stalled", 5*time.Second, func() bool {
			return node.shards[0].published.current().documents[routingconfig.DocumentKey].GetVersion() == 2
		})
	})
}

// A member whose disk is full counts as failed, and recovers without a restart once the disk accepts writes again.
func TestMemberRecoversFromAFullDisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t)
		defer cluster.stopAll()
		cluster.startInitialGroup(3)
		leader := cluster.leader()
		node, disk := cluster.node(leader), cluster.disks[cluster.addr(leader)]
		disk.update(func(disk *stallingDisk) { disk.disk.failWrites = true })
		for version := range uint64(3) {
			cluster.putVersion(version + 1)
		}
		response, _ := node.Follow(context.Background(), followRequest(pollTime, &wire.KnownVersion{Key: routingconfig.DocumentKey, Version: 9}))
		if response.NothingNewer || node.shards[0].published.current().isVoter {
			t.Errorf("failed member counts as a voter or confirmed that nothing is newer: long poll response %v", response)
		}
		disk.update(func(disk *stallingDisk) { disk.disk.failWrites = false })
		cluster.waitUntil("the failed member to be a voter with version 3 again", 6*time.Second, func() bool {
			view := node.shards[0].published.current()
			return view.isVoter && view.documents[routingconfig.DocumentKey].GetVersion() == 3
		})
	})
}

// Without a quorum, changes and reads fail before the operator would retry at another node.
func TestRequestsFailFastWithoutAQuorum(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster, ctx := newTestCluster(t), context.Background()
		defer cluster.stopAll()
		cluster.startInitialGroup(3)
		leader := cluster.leader()
		cluster.makeOthersUnreachable(leader)
		node := cluster.node(leader)
		for name, request := range map[string]func() error{
			"routing configuration change":  func() error { _, err := node.PutRoutingConfig(ctx, 0, body(1, "x"), false); return err },
			"routing configuration read":    func() error { _, _, err := node.ReadRoutingConfig(ctx); return err },
			"change of the weights version": func() error { return node.SetWeightsVersion(ctx, "m", 2) },
		} {
			startedAt := time.Now()
			if err := request(); err == nil || errs.KindOf(err) != errs.OutcomeUnknown || time.Since(startedAt) > maxResponseTime {
				t.Errorf("%s without a quorum: got error %v after %v, want kind %v within %v", name, err, time.Since(startedAt), errs.OutcomeUnknown.Name, maxResponseTime)
			}
		}
	})
}

// A leader that shuts down transfers its leadership and stops well within the grace period, even if no other member is
// reachable.
func TestShutdownIsShort(t *testing.T) {
	for _, othersUnreachable := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			cluster := newTestCluster(t)
			defer cluster.stopAll()
			cluster.startInitialGroup(3)
			leader := cluster.leader()
			if othersUnreachable {
				cluster.makeOthersUnreachable(leader)
			}
			startedAt := time.Now()
			cluster.stop(leader)
			if stopTime := time.Since(startedAt); stopTime > 4*time.Second || !othersUnreachable && stopTime > time.Second {
				t.Errorf("shutdown of the leader (other members unreachable: %v) took %v, want at most 4s, or 1s if they are reachable", othersUnreachable, stopTime)
			}
		})
	}
}
