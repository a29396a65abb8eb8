package consensus

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"pebbleloom/internal/wire"
)

// A learner receives committed entries only, doesn't campaign and isn't counted in a quorum. Once it is
// added as a voter it is, and a removed voter isn't any more.
func TestLearnerJoinsQuorumOnlyOnceAdded(t *testing.T) {
	group := newTestGroup(t, "a b c", "d")
	group.tick(60, "a", "b", "c")
	if status := group.cores["d"].Status(); status.IsLeader || status.Term > 0 {
		t.Fatalf("a learner has campaigned: %+v", status)
	}
	group.elect("a")
	group.addLearner("a", "d")
	group.tick(12)
	if group.members("d") != "a b c" || group.cores["d"].IsVoter("d") {
		t.Fatalf("the voters in the log of a learner: %s", group.members("d"))
	}
	group.propose("a", "one")
	group.deliverAll("b", "c")
	group.tick(8, "b", "c")
	if status := group.cores["a"].Status(); status.Applied == status.LastIndex || group.cores["d"].lastIndex() == status.LastIndex {
		t.Fatalf("a learner was counted in a quorum, or was sent an uncommitted entry: %+v", status)
	}
	group.tick(10)
	if !group.proposeMembership("a", "a b c d") {
		t.Fatal("a learner that has caught up can't be added")
	}
	group.tick(10)
	if !group.proposeMembership("a", "a b d") {
		t.Fatal("the next change isn't accepted")
	}
	group.tick(10, "c")
	group.propose("a", "two")
	group.tick(10, "b", "c") // a and d are a majority of a, b and d
	if status := group.cores["a"].Status(); status.Applied != status.LastIndex || group.members("b") != "a b d" {
		t.Fatalf("%+v, %s", status, group.members("b"))
	}
	// c hasn't received its removal: it asks for pre-votes, doesn't disrupt the leader, and wins nothing.
	group.tick(60)
	if !group.cores["a"].Status().IsLeader || group.cores["c"].Status().IsLeader {
		t.Fatal("a removed member has disrupted the group")
	}
	group.addLearner("a", "c")
	group.tick(10)
	if group.members("c") != "a b d" {
		t.Fatalf("the voters in the log of a removed member that joined again: %s", group.members("c"))
	}
}

// Only the leader changes the members, one at a time, and not before it has committed an entry of its
// own term and the previous change.
func TestMembershipChangePreconditions(t *testing.T) {
	group := newTestGroup(t, "a b c", "d e")
	if group.proposeMembership("a", "a b c d") {
		t.Error("a follower has changed the members")
	}
	group.campaign("a")
	group.deliverMatching(isVoteMessage)
	if !group.cores["a"].Status().IsLeader || group.cores["a"].CanChangeMembership() || group.proposeMembership("a", "a b c d") {
		t.Error("the members were changed before an entry of the leader's own term was committed")
	}
	group.deliverAll()
	for _, members := range []string{"a b c", "a b c d e", "a", "", "a b d e"} {
		if group.proposeMembership("a", members) {
			t.Errorf("from a b c to %q in one change", members)
		}
	}
	if !group.proposeMembership("a", "a b c d") || group.proposeMembership("a", "a b c d e") {
		t.Error("one change is accepted, and no other before it is committed")
	}
	group.deliverAll()
	if !group.proposeMembership("a", "b c d") {
		t.Error("the leader can't be removed")
	}
	group.deliverAll()
	if status := group.cores["a"].Status(); status.IsLeader || group.members("b") != "b c d" {
		t.Errorf("the leader didn't step down once its removal was committed: %+v", status)
	}
	group.tick(60)
	if group.cores["a"].Status().IsLeader || group.cores["a"].Status().Leader == "" && group.cores["b"].Status().Leader == "" {
		t.Errorf("%+v", group.cores["b"].Status())
	}
}

// Voters named by an entry that is truncated are in effect no more; a snapshot and a restart keep those
// that are applied.
func TestMembershipFollowsTruncationAndCompaction(t *testing.T) {
	group := newTestGroup(t, "a b c", "d")
	group.elect("a")
	group.proposeMembership("a", "a b c d")
	group.deliverMatching(func(message *wire.Message) bool { return message.To == "b" })
	if group.members("a") != "a b c d" || group.members("b") != "a b c d" || group.members("c") != "a b c" {
		t.Fatal(group.members("a"), group.members("b"), group.members("c"))
	}
	// c leads a later term without that entry, as if b had never received it.
	group.inFlight = nil
	b := group.cores["b"]
	b.Step(&wire.Message{From: "c", To: "b", Kind: wire.MessageKind_APPEND_REQUEST, Term: 9, Index: 1, LogTerm: 1, Entries: []*wire.Entry{{Index: 2, Term: 9, Members: []string{"a", "b", "c"}}}})
	b.Ready()
	if group.members("b") != "a b c" {
		t.Fatalf("voters are in effect after their entry was truncated: %s", group.members("b"))
	}
	group = newTestGroup(t, "a b c", "d")
	group.elect("a")
	group.proposeMembership("a", "a b c d")
	group.deliverAll()
	group.propose("a", "one")
	group.deliverAll()
	group.cores["a"].Ready()
	snapshot, records := group.cores["a"].Compact([]byte("state"))
	restarted := New(Config{Self: "a", DynamicMembership: true, HeartbeatTicks: 2, ElectionTicks: 10, Rand: rand.New(rand.NewPCG(1, 1))}, snapshot, records)
	members, term, index := restarted.Members()
	if fmt.Sprint(members) != "[a b c d]" || term != 1 || index != 2 || len(records) != 0 {
		t.Fatalf("after a compaction: %v of %d/%d", members, term, index)
	}
	// A learner that lacks compacted entries receives the snapshot.
	group.cores["e"] = newTestCore(LearnerSnapshot("e"), 3)
	group.addLearner("a", "e")
	group.tick(20)
	if members, _, _ := group.cores["e"].Members(); fmt.Sprint(members) != "[a b c d]" || group.cores["e"].lastIndex() != group.cores["a"].lastIndex() {
		t.Fatalf("after a snapshot: %v", members)
	}
}

// A group of one commits by itself, and grows.
func TestSingleMemberGroup(t *testing.T) {
	group := newTestGroup(t, "a", "b c")
	group.tick(30)
	a := group.cores["a"]
	if !group.propose("a", "one") || a.Status().Applied != a.Status().LastIndex {
		t.Fatalf("%+v", a.Status())
	}
	if _, ok := a.ReadIndex(); !ok || len(a.Ready().ConfirmedReads) != 1 {
		t.Error("a read isn't confirmed")
	}
	for _, members := range []string{"a b", "a b c"} {
		group.addLearner("a", members[len(members)-1:])
		group.tick(10)
		if !group.proposeMembership("a", members) {
			t.Fatalf("can't become %s", members)
		}
		group.tick(10)
	}
	if group.propose("a", "two"); group.members("c") != "a b c" || a.Status().Applied == a.Status().LastIndex {
		t.Fatal("one of three has committed without another")
	}
}

// membershipRace is a group of a, b and c, led by a with the learner d, in which a proposes other members and a
// command while b campaigns.
type membershipRace struct {
	proposed string // members that a proposes
	lost     int    // the delivery that is lost instead; -1: none
	depth    int    // number of deliveries whose order varies
	orders   int
	outcomes map[string]int // by final members: the number of orders that end with them
}

// replay delivers messages by their positions in flight.
func (r *membershipRace) replay(t *testing.T, path []int) *testGroup {
	t.Helper()
	group := newTestGroup(t, "a b c", "d")
	group.elect("a")
	group.addLearner("a", "d")
	group.deliverAll()
	if !group.proposeMembership("a", r.proposed) || !group.propose("a", "one") {
		t.Fatal("a isn't the leader")
	}
	group.campaign("b")
	for step, i := range path {
		if step == r.lost {
			group.drop(i)
			continue
		}
		group.deliver(i)
	}
	return group
}

// walk tries every order of the next deliveries after path, each of one of the first six messages in flight.
func (r *membershipRace) walk(t *testing.T, path []int) {
	t.Helper()
	group := r.replay(t, path)
	if len(path) < r.depth && len(group.inFlight) > 0 {
		for i := range min(len(group.inFlight), 6) {
			r.walk(t, append(slices.Clone(path), i))
		}
		return
	}
	r.orders++
	group.deliverAll()
	group.tick(70)
	members := membersThatCommit(group)
	if members == "" {
		t.Fatalf("to %s, lost %d, path %v: no leader can commit any more", r.proposed, r.lost, path)
	}
	r.outcomes[members]++
}

// membersThatCommit returns the members of a leader that commits a new command; empty: there is none.
func membersThatCommit(group *testGroup) (members string) {
	for _, name := range []string{"a", "b", "c", "d"} {
		core := group.cores[name]
		if !core.Status().IsLeader || !core.CanChangeMembership() || !group.propose(name, "two") {
			continue
		}
		group.deliverAll()
		if core.Status().Applied == core.Status().LastIndex {
			members = group.members(name)
		}
	}
	return members
}

// A member is added, or removed, while another campaigns under the previous membership. Every order of the
// first messages is tried, and each with one of them lost: a term has one leader, all commit the same
// entries, and in the end one membership is in effect and commands are committed again.
func TestEveryOrderOfMembershipChangeAndElection(t *testing.T) {
	for _, change := range []struct {
		proposed string
		depth    int
	}{
		{"a b c d", 4},
		{"a c", 6},
		{"a b", 6},
	} {
		all, changed := 0, 0
		for lost := -1; lost < 3; lost++ {
			race := membershipRace{proposed: change.proposed, lost: lost, depth: change.depth, outcomes: map[string]int{}}
			race.walk(t, nil)
			all += race.orders
			changed += race.outcomes[change.proposed]
			if race.orders < 30 || race.outcomes[change.proposed]+race.outcomes["a b c"] != race.orders {
				t.Errorf("to %s, lost %d: %d orders end as %v", change.proposed, lost, race.orders, race.outcomes)
			}
		}
		if all < 300 || changed == 0 || changed == all {
			t.Errorf("to %s: %d orders were tried, and the change wins in %d of them", change.proposed, all, changed)
		}
	}
}
