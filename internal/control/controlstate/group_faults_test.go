package controlstate

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pebbleloom/internal/control/consensus"
	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/wire"
)

// A thread that waits for its disk keeps no question waiting beyond its time; what it answers
// meanwhile is what it held before, and a plan goes on without it.
func TestStalledDiskBlocksNoRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster, ctx := newTestCluster(t), context.Background()
		cluster.startFounders(3)
		defer cluster.stopAll()
		if _, err := cluster.node(1).PutRoutingConfig(ctx, 0, body(1, "x"), false); err != nil {
			t.Fatal(err)
		}
		leader := cluster.leader()
		node, release := cluster.node(leader), make(chan struct{})
		cluster.disks[cluster.addr(leader)].update(func(disk *stallingDisk) { disk.stalled = release })
		at := time.Now()
		if _, err := node.PutRoutingConfig(ctx, 1, body(2, "x"), false); err == nil || errs.KindOf(err) != errs.OutcomeUnknown {
			t.Errorf("a plan put where the disk stalls: %v", err)
		}
		if d := time.Since(at); d > 950*time.Millisecond {
			t.Errorf("the operator waited %v", d)
		}
		at = time.Now()
		response, _ := node.Follow(ctx, &wire.FollowRequest{Known: []*wire.KnownVersion{{Key: routingconfig.DocumentKey, Version: 1}}, MaxWaitNs: 3e8, ProofKey: routingconfig.DocumentKey})
		if d := time.Since(at); d != 300*time.Millisecond || len(response.Documents) > 0 {
			t.Errorf("after %v: %v", d, response)
		}
		cluster.waitUntil("the plan elsewhere", 5*time.Second, func() bool {
			for i := range 3 {
				if i+1 != leader {
					if _, err := cluster.node(i+1).PutRoutingConfig(ctx, 1, body(2, "x"), false); err == nil {
						return true
					}
				}
			}
			return false
		})
		cluster.disks[cluster.addr(leader)].update(func(disk *stallingDisk) { disk.stalled = nil })
		close(release)
		cluster.waitUntil("the plan at the one that stalled", 5*time.Second, func() bool {
			return node.shards[0].published.current().documents[routingconfig.DocumentKey].GetVersion() == 2
		})
	})
}

// A disk that is full takes its member out, and the member comes back by itself once it isn't.
func TestMemberRecoversFromAFullDisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster, ctx := newTestCluster(t), context.Background()
		cluster.startFounders(3)
		defer cluster.stopAll()
		leader := cluster.leader()
		node := cluster.node(leader)
		cluster.disks[cluster.addr(leader)].update(func(disk *stallingDisk) { disk.disk.failWrites = true })
		for v := range 3 {
			cluster.waitUntil("a plan", 6*time.Second, func() bool {
				for _, peer := range cluster.nodes {
					if _, err := peer.PutRoutingConfig(ctx, uint64(v), body(uint64(v+1), "x"), false); err == nil {
						return true
					}
				}
				return false
			})
		}
		response, _ := node.Follow(ctx, &wire.FollowRequest{Known: []*wire.KnownVersion{{Key: routingconfig.DocumentKey, Version: 9}}, MaxWaitNs: 3e8, ProofKey: routingconfig.DocumentKey})
		if response.NothingNewer || node.shards[0].published.current().isVoter {
			t.Errorf("a member that is out vouches: %v", response)
		}
		cluster.disks[cluster.addr(leader)].update(func(disk *stallingDisk) { disk.disk.failWrites = false })
		cluster.waitUntil("the member back", 6*time.Second, func() bool {
			view := node.shards[0].published.current()
			return view.isVoter && view.documents[routingconfig.DocumentKey].GetVersion() == 3
		})
	})
}

// Without a majority an operator hears so before it asks elsewhere; reads too.
func TestRequestsFailFastWithoutAQuorum(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster, ctx := newTestCluster(t), context.Background()
		cluster.startFounders(3)
		defer cluster.stopAll()
		leader := cluster.leader()
		for i := range 3 {
			if i+1 != leader {
				cluster.setUnreachable(i+1, true)
			}
		}
		node := cluster.node(leader)
		for _, f := range []func() error{
			func() error { _, err := node.PutRoutingConfig(ctx, 0, body(1, "x"), false); return err },
			func() error { _, _, err := node.ReadRoutingConfig(ctx); return err },
			func() error { return node.SetWeightsVersion(ctx, "m", 2) },
		} {
			at := time.Now()
			if err := f(); err == nil || errs.KindOf(err) != errs.OutcomeUnknown || time.Since(at) > 950*time.Millisecond {
				t.Errorf("after %v: %v", time.Since(at), err)
			}
		}
	})
}

// A program that is told to end hands the group over and is done well within its time, also
// where nobody can take the group.
func TestShutdownIsShort(t *testing.T) {
	for _, alone := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			cluster := newTestCluster(t)
			cluster.startFounders(3)
			defer cluster.stopAll()
			leader := cluster.leader()
			if alone {
				for i := range 3 {
					if i+1 != leader {
						cluster.setUnreachable(i+1, true)
					}
				}
			}
			at := time.Now()
			cluster.stop(leader)
			if d := time.Since(at); d > 4*time.Second || !alone && d > time.Second {
				t.Errorf("alone %v: an end after %v", alone, d)
			}
		})
	}
}

// Whom the leader adds and removes, case by case.
func TestMembershipPlannerDecisions(t *testing.T) {
	in := func(name string, heard int) consensus.PeerStatus {
		return consensus.PeerStatus{Name: name, IsVoter: true, ContactAge: heard, CaughtUp: true}
	}
	out := func(name string, heard int, caught bool) consensus.PeerStatus {
		return consensus.PeerStatus{Name: name, ContactAge: heard, Responded: true, CaughtUp: caught}
	}
	asked := func(name string) consensus.PeerStatus { return consensus.PeerStatus{Name: name} } // and never answered
	where := map[string]string{"a": "north", "b": "south", "c": "east", "d": "north", "e": "west"}
	abc := []string{"a/0", "b/0", "c/0"}
	for _, x := range []struct {
		name string
		now  []string
		sees []consensus.PeerStatus
		want int
		next string
	}{
		{"all is well", abc, []consensus.PeerStatus{in("b/0", 1), in("c/0", 2), out("d/1", 1, true)}, 3, "[]"},
		{"one is silent, and nobody waits", abc, []consensus.PeerStatus{in("b/0", 1), in("c/0", 99)}, 3, "[]"},
		{"one is silent for a moment", abc, []consensus.PeerStatus{in("b/0", 1), in("c/0", replaceAfterTicks-1), out("d/1", 1, true)}, 3, "[]"},
		{"one is silent, a spare is ready", abc, []consensus.PeerStatus{in("b/0", 1), in("c/0", replaceAfterTicks), out("d/1", 1, true)}, 3, "[a/0 b/0]"},
		{"one is silent, the spare lacks much", abc, []consensus.PeerStatus{in("b/0", 1), in("c/0", replaceAfterTicks), out("d/1", 1, false)}, 3, "[]"},
		{"one is silent, the spare too", abc, []consensus.PeerStatus{in("b/0", 1), in("c/0", replaceAfterTicks), out("d/1", 30, true)}, 3, "[]"},
		{"two are silent: the rest is no majority", abc, []consensus.PeerStatus{in("b/0", 40), in("c/0", 40), out("d/1", 1, true)}, 3, "[]"},
		{"a disk is lost", abc, []consensus.PeerStatus{in("b/0", 1), in("c/0", 3), out("c/7", 0, false)}, 3, "[a/0 b/0]"},
		{"an ask of an incarnation that is gone", abc, []consensus.PeerStatus{in("b/0", 1), in("c/0", 3), asked("c/7")}, 3, "[]"},
		{"an incarnation that spoke before the member did", []string{"a/0", "b/0", "c/8"}, []consensus.PeerStatus{in("b/0", 1), in("c/8", 3), out("c/7", 9, true)}, 3, "[]"},
		{"two incarnations wait at one address", []string{"a/0", "b/0"}, []consensus.PeerStatus{in("b/0", 1), out("c/7", 9, true), out("c/8", 1, false)}, 3, "[]"},
		{"the later of two incarnations is ready", []string{"a/0", "b/0"}, []consensus.PeerStatus{in("b/0", 1), out("c/7", 9, true), out("c/8", 1, true)}, 3, "[a/0 b/0 c/8]"},
		{"one of four is silent, three are wanted", []string{"a/0", "b/0", "c/0", "d/0"},
			[]consensus.PeerStatus{in("b/0", 1), in("c/0", 1), in("d/0", 40)}, 3, "[a/0 b/0 c/0]"},
		{"four are there, three are wanted", []string{"a/0", "b/0", "c/0", "d/0"},
			[]consensus.PeerStatus{in("b/0", 1), in("c/0", 1), in("d/0", 1)}, 3, "[]"},
		{"a disk is lost, and the other is silent", abc, []consensus.PeerStatus{in("b/0", 40), in("c/0", 3), out("c/7", 0, false)}, 3, "[]"},
		{"one is missing", []string{"a/0", "b/0"}, []consensus.PeerStatus{in("b/0", 1), out("c/7", 1, true)}, 3, "[a/0 b/0 c/7]"},
		{"one is missing, another district is better", []string{"a/0", "b/0"}, []consensus.PeerStatus{in("b/0", 1), out("d/7", 1, true), out("e/7", 1, true)}, 3, "[a/0 b/0 e/7]"},
		{"five are wanted", abc, []consensus.PeerStatus{in("b/0", 1), in("c/0", 1), out("d/1", 1, true)}, 5, "[a/0 b/0 c/0 d/1]"},
		{"one is missing, one is silent", []string{"a/0", "b/0"}, []consensus.PeerStatus{in("b/0", 40), out("c/7", 1, true)}, 3, "[a/0 b/0 c/7]"},
		{"one of four is silent, and more are wanted", []string{"a/0", "b/0", "c/0", "d/0"},
			[]consensus.PeerStatus{in("b/0", 1), in("c/0", 40), in("d/0", 40), out("e/7", 1, true)}, 5, "[a/0 b/0 c/0 d/0 e/7]"},
		{"the group is alone", abc, nil, 3, "[]"},
	} {
		planner := membershipPlanner{self: "a/0", members: slices.Clone(x.now), peers: x.sees, targetSize: x.want,
			zoneOf: func(a string) string { return where[a] }, isLeaving: func(string) bool { return false }}
		if got := fmt.Sprint(planner.next()); got != x.next {
			t.Errorf("%s: %s, want %s", x.name, got, x.next)
		}
	}
}

// What an empty disk begins as: only the seeds of the first start found a group.
func TestInitialSnapshotOfAnEmptyDisk(t *testing.T) {
	seeds := []string{"b:1", "a:1", "c:1"}
	random := func() uint64 { return 0xabc }
	for _, x := range []struct {
		first bool
		own   string
		self  string
		ms    string
	}{{true, "a:1", "a:1/0", "[a:1/0 b:1/0 c:1/0]"}, {true, "d:1", "d:1/0000000000000abc", "[]"}, {false, "a:1", "a:1/0000000000000abc", "[]"}} {
		snapshot := initialGroupSnapshot(x.first, x.own, seeds, random)
		if snapshot.HardState.Incarnation != x.self || fmt.Sprint(snapshot.Members) != x.ms || snapshot.HardState.DiskState != wire.DiskState_DISK_FOUNDED {
			t.Errorf("%+v: %v", x, snapshot)
		}
	}
}
