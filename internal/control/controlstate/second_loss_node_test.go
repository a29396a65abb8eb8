package controlstate

import (
	"context"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

func (g *testCluster) putVersion(version uint64) {
	g.t.Helper()
	g.waitUntil("a plan", 6*time.Second, func() bool {
		for _, n := range g.nodes {
			if _, err := n.PutRoutingConfig(context.Background(), version-1, body(version, "x"), false); err == nil {
				return true
			}
		}
		return false
	})
}

// awaitSpare waits until the leader replicates to a learner that it could add.
func (g *testCluster) awaitSpare() {
	g.t.Helper()
	g.waitUntil("a spare", 6*time.Second, func() bool {
		leader := g.leader()
		if leader == 0 {
			return false
		}
		p := g.nodes[g.addr(leader)].shards[0]
		return query(context.Background(), p, false, func() bool {
			for _, x := range p.core.PeerStatuses() {
				if !x.IsVoter && x.CaughtUp {
					return true
				}
			}
			return false
		})
	})
}

func (g *testCluster) isMember(i int) bool {
	return slices.ContainsFunc(g.members(), func(m string) bool { return strings.HasPrefix(m, g.addr(i)+"/") })
}

// A member that leaves in order has its place taken by the spare before it goes, be it the leader or a
// follower: the group has all its members the moment it stops, so that the next loss finds a quorum.
func TestAPlannedLeaveIsReplacedBeforeItGoes(t *testing.T) {
	for _, leads := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			g := newTestCluster(t)
			for i := range 4 {
				g.start(i+1, true)
			}
			defer g.stopAll()
			g.waitUntil("a leader", 5*time.Second, func() bool { return len(g.members()) == 3 })
			g.putVersion(1)
			g.awaitSpare()
			leaver := g.leader()
			if !leads {
				leaver = leaver%3 + 1
			}
			begun := time.Now()
			g.stop(leaver)
			took := time.Since(begun)
			if took > 1500*time.Millisecond {
				t.Errorf("leads %v: to stop took %v", leads, took)
			}
			if l := g.members(); len(l) != 3 || g.isMember(leaver) {
				t.Errorf("leads %v: after machine %d stopped the members are %v", leads, leaver, l)
			}
			// The next loss strikes at once, the leader first; its disk is gone for good.
			next := g.leader()
			g.makeUnreachable(next)
			delete(g.nodes, g.addr(next))
			t.Logf("leads %v: stopped after %v, the next leader lost, a plan after %v", leads, took,
				g.waitUntil("another leader", 3*time.Second, func() bool { o := g.leader(); return o > 0 && o != next }))
			g.putVersion(2)
			g.processes[g.addr(next)].Stop(time.Millisecond)
		})
	}
}

// Machines that are stopped and started in turn, disks kept, are each replaced in order: two changes of
// the membership each, never more, and a plan is taken between any two of them at once.
func TestARollingRestartChangesEachMemberOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestCluster(t)
		for i := range 4 {
			g.start(i+1, true)
		}
		defer g.stopAll()
		g.waitUntil("a leader", 5*time.Second, func() bool { return len(g.members()) == 3 })
		g.putVersion(1)
		g.awaitSpare()
		for i := range 4 {
			before := g.membershipIndex()
			begun := time.Now()
			g.stop(i + 1)
			took := time.Since(begun)
			g.start(i+1, false)
			g.putVersion(uint64(i + 2))
			g.awaitSpare()
			t.Logf("machine %d stopped after %v; a spare is known after %v; the membership's entry went from %d to %d", i+1, took, time.Since(begun), before, g.membershipIndex())
			if l := g.members(); len(l) != 3 {
				t.Errorf("after machine %d the members are %v", i+1, l)
			}
			if took > 2*time.Second {
				t.Errorf("machine %d took %v to stop", i+1, took)
			}
		}
	})
}

func (g *testCluster) membershipIndex() (index uint64) {
	for _, n := range g.nodes {
		index = max(index, n.shards[0].published.current().index)
	}
	return index
}

// When all machines are told to stop at once, each is done well within its time, and all that was
// acknowledged is there when they start again.
func TestAllMachinesMayStopAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestCluster(t)
		for i := range 4 {
			g.start(i+1, true)
		}
		defer g.stopAll()
		g.waitUntil("a leader", 5*time.Second, func() bool { return len(g.members()) == 3 })
		g.putVersion(1)
		g.awaitSpare()
		begun := time.Now()
		done := make(chan int)
		for i := range 4 {
			go func() { g.processes[g.addr(i+1)].Stop(time.Second); done <- i }()
		}
		for range 4 {
			<-done
		}
		if took := time.Since(begun); took > 4*time.Second {
			t.Errorf("all had stopped after %v", took)
		} else {
			t.Logf("all had stopped after %v", took)
		}
		clear(g.nodes)
		for i := range 4 {
			g.start(i+1, false)
		}
		g.waitUntil("the plan", 6*time.Second, func() bool {
			_, v, err := g.nodes[g.addr(1)].ReadRoutingConfig(context.Background())
			return err == nil && v == 1
		})
	})
}

// A member that was removed while it was away, and comes back with its old disk, is taken in again
// well before the time after which it no longer counts as lost, though its log names it a voter.
func TestARemovedMemberComesBackAsASpare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestCluster(t)
		for i := range 4 {
			g.start(i+1, true)
		}
		defer g.stopAll()
		g.waitUntil("a leader", 5*time.Second, func() bool { return len(g.members()) == 3 })
		g.putVersion(1)
		g.awaitSpare()
		away := g.leader()%3 + 1
		g.makeUnreachable(away)
		g.processes[g.addr(away)].Stop(time.Millisecond)
		delete(g.nodes, g.addr(away))
		g.waitUntil("its place is taken", 6*time.Second, func() bool { return len(g.members()) == 3 && !g.isMember(away) })
		g.mu.Lock()
		g.unreachable[g.addr(away)] = false
		g.mu.Unlock()
		g.start(away, false)
		took := g.waitUntil("it is a spare again", 3*time.Second, func() bool {
			p := g.nodes[g.addr(away)].shards[0]
			return query(context.Background(), p, false, func() bool {
				return !p.core.IsVoter(p.core.Self()) && p.core.Status().Leader != ""
			})
		})
		t.Logf("a spare again after %v", took)
	})
}
