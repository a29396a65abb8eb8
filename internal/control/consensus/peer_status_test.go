package consensus

import (
	"strings"
	"testing"
)

// A learner counts as caught up only if one append request can carry all the entries that it lacks. It doesn't if the
// entries are large, however few, or are compacted, so that it needs a snapshot.
func TestLearnerLackingLargeEntriesIsNotCaughtUp(t *testing.T) {
	for _, lacking := range []struct {
		name      string
		bodyBytes int
		compacted bool
		caughtUp  bool
	}{
		{name: "learner lacks two small entries", bodyBytes: 10, caughtUp: true},
		{name: "learner lacks two large entries", bodyBytes: 1 << 16},
		{name: "learner lacks compacted entries", bodyBytes: 10, compacted: true},
	} {
		t.Run(lacking.name, func(t *testing.T) {
			group := newTestGroup(t, "a b c", "d")
			group.elect("a")
			group.addLearner("a", "d")
			group.deliverAll()
			group.tick(6)
			if status := group.peerStatus("a", "d"); !status.CaughtUp || !status.Responded {
				t.Fatalf("status of a learner that lacks no entry: %+v, want Responded and CaughtUp true", status)
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
				t.Errorf("%s: its status at the leader is %+v, want CaughtUp %v", lacking.name, status, lacking.caughtUp)
			}
		})
	}
}

// The leader's status of a peer says whether the peer has ever responded: a learner that was added but is down hasn't.
func TestSilentLearnerHasNotResponded(t *testing.T) {
	group := newTestGroup(t, "a b c", "")
	group.elect("a")
	group.cores["a"].AddLearner("d")
	group.tick(9)
	if status := group.peerStatus("a", "d"); status.Name != "d" || status.Responded {
		t.Errorf("status of a learner that never responded: %+v, want its name and Responded false", status)
	}
	if status := group.peerStatus("a", "b"); !status.Responded {
		t.Errorf("status of a voter that responds: %+v, want Responded true", status)
	}
}

// A new leader includes the silence of a member before the election in the contact age that it reports for the member,
// up to one election timeout. The contact age of a member that voted for the new leader starts at 0.
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
		t.Errorf("the old leader was silent for an election timeout of 10 ticks: the new leader reports a contact age of %d ticks for it, want at least 9", status.ContactAge)
	}
	if status := group.peerStatus(leader, follower); status.ContactAge > 1 {
		t.Errorf("the new leader reports a contact age of %d ticks for the member that has just voted for it, want at most 1", status.ContactAge)
	}
}

// A voter may stop once each other live voter has every committed entry, and not before. Voters that are down
// don't delay this.
func TestReplicatedToLiveVotersIgnoresVotersThatAreDown(t *testing.T) {
	group := newTestGroup(t, "a b c", "")
	group.elect("a")
	group.tick(4)
	mayStop := func() bool { return group.cores["a"].ReplicatedToLiveVoters("b", 12) }
	if !mayStop() {
		t.Error("ReplicatedToLiveVoters with voter b excepted is false although all voters have all entries")
	}
	group.propose("a", "x")
	group.deliverAll("c")
	if mayStop() {
		t.Error("ReplicatedToLiveVoters with voter b excepted is true although live voter c lacks an entry that was committed with b's acknowledgement")
	}
	group.tick(15, "c")
	if !mayStop() {
		t.Error("ReplicatedToLiveVoters with voter b excepted is false although voter c is down and leader a has all entries")
	}
	if group.cores["b"].ReplicatedToLiveVoters("c", 12) {
		t.Error("ReplicatedToLiveVoters is true on a follower, want false")
	}
}
