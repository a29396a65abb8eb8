package controlstate

import (
	"testing"
	"time"

	"pebbleloom/internal/wire"
)

// A voter that leaves while another one lags may hold the only second copy of recently acknowledged changes. It must not
// stop before the lagging voter has caught up.
func TestLeaverWaitsForALaggingVoter(t *testing.T) {
	r := newLossRun(lossScenario{machines: 3, toleratedLosses: 1, seed: 5})
	r.awaitStart()
	leader, lagging := r.leader(), r.follower()
	leaving := r.otherMember(leader, lagging)
	r.partitioned[leader.addr+">"+lagging.addr] = true // for such a short time that the follower still counts as alive
	r.waitUntil(time.Second, r.acknowledgedSince(r.now))
	committed := leader.shard.core.Status().Applied
	if last := lagging.shard.core.Status().LastIndex; last >= committed {
		t.Fatalf("test preparation failed: partitioned follower has log index %d, want less than the committed index %d", last, committed)
	}
	if r.mayLeave(leaving) {
		t.Errorf("leaving member may stop while another voter has log index %d, want it to wait for the committed index %d", lagging.shard.core.Status().LastIndex, committed)
	}
	clear(r.partitioned)
	if duration, ok := r.waitUntil(time.Second, func() bool { return r.mayLeave(leaving) }); !ok {
		t.Errorf("leaving member still may not stop %v after the partition healed, want at most 1 s", duration)
	}
	if last := lagging.shard.core.Status().LastIndex; last < committed {
		t.Errorf("leaving member may stop after the partition healed while another voter has log index %d, want at least the committed index %d", last, committed)
	}
}

// A member that was allowed to stop is no longer treated as one that is leaving and can still vote. If a learner joins
// at that time, the leader must remove the stopped member before it adds the learner. Otherwise the group would depend
// on the learner for its quorum.
func TestDepartedLeaverIsNotCountedForTheQuorum(t *testing.T) {
	r := newLossRun(lossScenario{machines: 3, toleratedLosses: 1, seed: 6})
	r.awaitStart()
	leader, leaving := r.leader(), r.follower()
	r.waitUntil(time.Second, func() bool { return r.mayLeave(leaving) })
	r.kill(leaving, false, farFuture)
	newcomer := r.addNode()
	r.start(newcomer)
	leader.shard.handleJoin(&wire.JoinRequest{Name: newcomer.shard.core.Self()})
	r.runStep(leader)
	r.waitUntil(time.Second, func() bool { return r.memberCount() != 3 })
	if count := r.memberCount(); count > 3 {
		t.Errorf("group has %d members, one of which has stopped, want at most 3: its quorum depends on the new member", count)
	}
}

// otherMember returns a member that is neither of the two given ones; nil if there is none.
func (r *lossRun) otherMember(first, second *groupSimNode) *groupSimNode {
	for _, node := range r.nodes {
		if node != first && node != second && r.isMember(node) {
			return node
		}
	}
	return nil
}
