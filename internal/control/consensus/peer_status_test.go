package consensus

import (
	"strings"
	"testing"
)

// A learner counts as caught up only if one request brings what it lacks: neither a snapshot nor large
// entries, however few they are.
func TestLearnerLackingLargeEntriesIsNotCaughtUp(t *testing.T) {
	for _, lacking := range []struct {
		name      string
		bodyBytes int
		compacted bool
		caughtUp  bool
	}{
		{name: "two small entries", bodyBytes: 10, caughtUp: true},
		{name: "two large entries", bodyBytes: 1 << 16},
		{name: "a snapshot", bodyBytes: 10, compacted: true},
	} {
		t.Run(lacking.name, func(t *testing.T) {
			group := newTestGroup(t, "a b c", "d")
			group.elect("a")
			group.addLearner("a", "d")
			group.deliverAll()
			group.tick(6)
			if status := group.peerStatus("a", "d"); !status.CaughtUp || !status.Responded {
				t.Fatalf("the learner lacks nothing: %+v", status)
			}
			for range 2 {
				group.propose("a", strings.Repeat("x", lacking.bodyBytes))
				group.deliverAll("d")
			}
			group.cores["a"].Ready()
			if lacking.compacted {
				group.cores["a"].Compact(nil)
			}
			if status := group.peerStatus("a", "d"); status.CaughtUp != lacking.caughtUp {
				t.Errorf("%+v", status)
			}
		})
	}
}

// The status distinguishes a learner that was added and never responded from one that is up.
func TestSilentLearnerHasNotResponded(t *testing.T) {
	group := newTestGroup(t, "a b c", "")
	group.elect("a")
	group.cores["a"].AddLearner("d")
	group.tick(9)
	if status := group.peerStatus("a", "d"); status.Name != "d" || status.Responded {
		t.Errorf("a learner that never responded: %+v", status)
	}
	if status := group.peerStatus("a", "b"); !status.Responded {
		t.Errorf("a voter that responds: %+v", status)
	}
}

// To a new leader, the silence of a member before the election counts, up to one election timeout; a
// member that voted for it has just responded.
func TestNewLeaderCountsSilenceBeforeElection(t *testing.T) {
	group := newTestGroup(t, "a b c", "")
	group.elect("a")
	group.tick(20)
	for n := 0; n < 100 && !group.cores["b"].Status().IsLeader && !group.cores["c"].Status().IsLeader; n++ {
		group.tick(1, "a")
	}
	leader, follower := "b", "c"
	if group.cores["c"].Status().IsLeader {
		leader, follower = "c", "b"
	}
	if status := group.peerStatus(leader, "a"); status.ContactAge < 9 {
		t.Errorf("the old leader was silent for an election timeout, and its contact age is %d ticks", status.ContactAge)
	}
	if status := group.peerStatus(leader, follower); status.ContactAge > 1 {
		t.Errorf("the contact age of the member that voted is %d ticks", status.ContactAge)
	}
}

// A member may stop once each live voter has what is committed, and not before; voters that are down
// don't delay it.
func TestReplicatedToLiveVotersIgnoresVotersThatAreDown(t *testing.T) {
	group := newTestGroup(t, "a b c", "")
	group.elect("a")
	group.tick(4)
	mayStop := func() bool { return group.cores["a"].ReplicatedToLiveVoters("b", 12) }
	if !mayStop() {
		t.Error("all voters have all entries, and b may not stop")
	}
	group.propose("a", "x")
	group.deliverAll("c")
	if mayStop() {
		t.Error("c lacks an entry that was committed with b's acknowledgement, and b may stop")
	}
	group.tick(15, "c")
	if !mayStop() {
		t.Error("c is down, a has all entries, and b may not stop")
	}
	if group.cores["b"].ReplicatedToLiveVoters("c", 12) {
		t.Error("a follower reports on its peers")
	}
}
