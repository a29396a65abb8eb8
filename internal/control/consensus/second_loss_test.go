package consensus

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
)

// peerStatus is how the leader sees one peer.
func (g *testGroup) peerStatus(leader, name string) PeerStatus {
	for _, p := range g.cores[leader].PeerStatuses() {
		if p.Name == name {
			return p
		}
	}
	return PeerStatus{}
}

// A learner is caught up only when what it lacks comes with one message: neither a snapshot nor large
// entries may be outstanding, however few they are.
func TestLearnerLackingLargeEntriesIsNotCaughtUp(t *testing.T) {
	for _, lacks := range []struct {
		what     string
		size     int
		compact  bool
		caughtUp bool
	}{{"two small entries", 10, false, true}, {"two large entries", 1 << 16, false, false}, {"a snapshot", 10, true, false}} {
		group := newTestGroup(t, "a b c", "d")
		group.campaign("a")
		group.deliverAll()
		group.cores["a"].AddLearner("d")
		group.collect("a")
		group.deliverAll()
		group.tick(6)
		if p := group.peerStatus("a", "d"); !p.CaughtUp || !p.Responded {
			t.Fatalf("%s: the learner holds all there is, and counts as %+v", lacks.what, p)
		}
		for range 2 {
			group.propose("a", string(bytes.Repeat([]byte("x"), lacks.size)))
			group.deliverAll("d")
		}
		group.cores["a"].Ready()
		if lacks.compact {
			group.cores["a"].Compact(nil)
		}
		if p := group.peerStatus("a", "d"); p.CaughtUp != lacks.caughtUp {
			t.Errorf("a learner that lacks %s counts as %+v", lacks.what, p)
		}
	}
}

// A learner that has only been named, and never spoke, is told apart from one that is there.
func TestSilentLearnerHasNotResponded(t *testing.T) {
	group := newTestGroup(t, "a b c", "")
	group.campaign("a")
	group.deliverAll()
	group.cores["a"].AddLearner("d")
	group.tick(9)
	if p := group.peerStatus("a", "d"); p.Name != "d" || p.Responded {
		t.Errorf("a learner that never spoke: %+v", p)
	}
	if p := group.peerStatus("a", "b"); !p.Responded {
		t.Errorf("a voter that speaks: %+v", p)
	}
}

// A new leader doesn't give a member that is gone its whole time again: the silence before the
// election counts, up to the time of an election, and one that voted has just spoken.
func TestNewLeaderCountsSilenceBeforeElection(t *testing.T) {
	group := newTestGroup(t, "a b c", "")
	group.campaign("a")
	group.deliverAll()
	group.tick(20)
	for n := 0; n < 100 && !group.cores["b"].Status().IsLeader && !group.cores["c"].Status().IsLeader; n++ {
		group.tick(1, "a")
	}
	leader, other := "b", "c"
	if group.cores["c"].Status().IsLeader {
		leader, other = "c", "b"
	}
	if p := group.peerStatus(leader, "a"); p.ContactAge < 9 {
		t.Errorf("the leader of before has been silent for an election's time, and counts as heard %d ticks ago", p.ContactAge)
	}
	if p := group.peerStatus(leader, other); p.ContactAge > 1 {
		t.Errorf("the member that voted counts as heard %d ticks ago", p.ContactAge)
	}
}

// A member that stops is waited for by nobody once each live voter holds what is committed, and not
// before; a voter that is down is not waited for.
func TestReplicatedToLiveVotersIgnoresVotersThatAreDown(t *testing.T) {
	group := newTestGroup(t, "a b c", "")
	group.campaign("a")
	group.deliverAll()
	group.tick(4)
	held := func() bool { return group.cores["a"].ReplicatedToLiveVoters("b", 12) }
	if !held() {
		t.Error("all hold everything, and b has to wait")
	}
	group.propose("a", "x")
	group.deliverAll("c")
	if held() {
		t.Error("c lacks what was committed with b's vote, and b may stop")
	}
	group.tick(15, "c")
	if !held() {
		t.Error("c is down, a holds all, and b has to wait")
	}
	if group.cores["b"].ReplicatedToLiveVoters("c", 12) {
		t.Error("a follower says what the peers hold")
	}
}

// Leadership goes to the peer that spoke last, not to the first by name, which may just have failed;
// and to none that is excluded.
func TestLeadershipIsTransferredToMostRecentContact(t *testing.T) {
	group := newTestGroup(t, "a b c", "")
	group.campaign("a")
	group.deliverAll()
	group.tick(4)
	group.tick(4, "b")
	to := func(excluded string) string {
		if !group.cores["a"].TransferLeadershipExcept(func(peer string) bool { return strings.Contains(excluded, peer) }) {
			return ""
		}
		messages := group.cores["a"].Ready().Messages
		return messages[len(messages)-1].To
	}
	if got := fmt.Sprint(to(""), to("c"), to("bc")); got != "cb" {
		t.Errorf("transferred to %q", got)
	}
}
