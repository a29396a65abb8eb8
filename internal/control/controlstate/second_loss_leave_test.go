package controlstate

import (
	"testing"
	"time"

	"pebbleloom/internal/wire"
)

// A member that leaves while another voter lags holds the only other copy of what was acknowledged
// meanwhile: it stays until that voter has caught up.
func TestLeaverWaitsForALaggingVoter(t *testing.T) {
	r := newLossRun(lossScenario{machines: 3, toleratedLosses: 1, seed: 5})
	r.waitUntil(12*time.Second, func() bool { return r.isComplete() && r.counts["acked"] > 2 })
	leader, lagging := r.leader(), r.follower()
	leaver := r.otherMember(leader, lagging)
	r.partitioned[leader.addr+">"+lagging.addr] = true // for a moment: it still counts as alive
	when := r.now
	r.waitUntil(time.Second, r.acknowledgedSince(when))
	committed := leader.shard.core.Status().Applied
	if held := lagging.shard.core.Status().LastIndex; held >= committed {
		t.Fatalf("the follower that lags holds %d of %d", held, committed)
	}
	if r.mayStop(leaver) {
		t.Errorf("the leaver may stop while another voter holds %d of %d committed entries", lagging.shard.core.Status().LastIndex, committed)
	}
	clear(r.partitioned)
	if took, ok := r.waitUntil(time.Second, func() bool { return r.mayStop(leaver) }); !ok {
		t.Errorf("the leaver has to wait for %v though all hold everything", took)
	}
	if held := lagging.shard.core.Status().LastIndex; held < committed {
		t.Errorf("the leaver may stop while another voter holds %d of %d", held, committed)
	}
}

// A leaver that was let go isn't counted on any more: a newcomer that comes right then isn't added
// before the silent one is removed, or the group would need that newcomer.
func TestDepartedLeaverIsNotCountedForTheQuorum(t *testing.T) {
	r := newLossRun(lossScenario{machines: 3, toleratedLosses: 1, seed: 6})
	r.waitUntil(12*time.Second, func() bool { return r.isComplete() && r.counts["acked"] > 2 })
	leader, leaver := r.leader(), r.follower()
	r.waitUntil(time.Second, func() bool { return r.mayStop(leaver) })
	r.kill(leaver, false, farFuture)
	newcomer := r.addNode()
	r.start(newcomer)
	leader.shard.handleJoin(&wire.JoinRequest{Name: newcomer.shard.core.Self()})
	r.runStep(leader)
	r.waitUntil(time.Second, func() bool { return r.memberCount() != 3 })
	if n := r.memberCount(); n > 3 {
		t.Errorf("the group is %d, one of them down, and needs the newcomer", n)
	}
}

func (r *lossRun) otherMember(first, second *groupSimNode) *groupSimNode {
	for _, node := range r.nodes {
		if node != first && node != second && r.isMember(node) {
			return node
		}
	}
	return nil
}
