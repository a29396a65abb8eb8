package controlstate

import (
	"testing"
	"time"

	"pebbleloom/internal/wire"
)

// A member that leaves while another voter lags holds the only other replica of what was acknowledged
// meanwhile: it stays until that voter has caught up.
func TestLeaverWaitsForALaggingVoter(t *testing.T) {
	r := newLossRun(lossScenario{machines: 3, toleratedLosses: 1, seed: 5})
	r.awaitStart()
	leader, lagging := r.leader(), r.follower()
	leaver := r.otherMember(leader, lagging)
	r.partitioned[leader.addr+">"+lagging.addr] = true // so briefly that it still counts as alive
	r.waitUntil(time.Second, r.acknowledgedSince(r.now))
	committed := leader.shard.core.Status().Applied
	if last := lagging.shard.core.Status().LastIndex; last >= committed {
		t.Fatalf("the follower that lags holds %d of %d", last, committed)
	}
	if r.mayLeave(leaver) {
		t.Errorf("the leaver may stop while another voter holds %d of %d committed entries", lagging.shard.core.Status().LastIndex, committed)
	}
	clear(r.partitioned)
	if duration, ok := r.waitUntil(time.Second, func() bool { return r.mayLeave(leaver) }); !ok {
		t.Errorf("the leaver has to wait for %v though all hold everything", duration)
	}
	if last := lagging.shard.core.Status().LastIndex; last < committed {
		t.Errorf("the leaver may stop while another voter holds %d of %d", last, committed)
	}
}

// A leaver that has stopped isn't counted for the quorum any more: a newcomer that joins right then
// isn't added before the leaver is removed, or the group would need that newcomer.
func TestDepartedLeaverIsNotCountedForTheQuorum(t *testing.T) {
	r := newLossRun(lossScenario{machines: 3, toleratedLosses: 1, seed: 6})
	r.awaitStart()
	leader, leaver := r.leader(), r.follower()
	r.waitUntil(time.Second, func() bool { return r.mayLeave(leaver) })
	r.kill(leaver, false, farFuture)
	newcomer := r.addNode()
	r.start(newcomer)
	leader.shard.handleJoin(&wire.JoinRequest{Name: newcomer.shard.core.Self()})
	r.runStep(leader)
	r.waitUntil(time.Second, func() bool { return r.memberCount() != 3 })
	if count := r.memberCount(); count > 3 {
		t.Errorf("the group is %d, one of them down, and needs the newcomer", count)
	}
}

// otherMember is a member that is neither of two.
func (r *lossRun) otherMember(first, second *groupSimNode) *groupSimNode {
	for _, node := range r.nodes {
		if node != first && node != second && r.isMember(node) {
			return node
		}
	}
	return nil
}
