package consensus

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"pebbleloom/internal/wire"
)

// A learner receives committed entries only, doesn't campaign and isn't counted in a quorum. It is counted once it is
// added as a voter. A removed voter is no longer counted.
func TestLearnerJoinsQuorumOnlyOnceAdded(t *testing.T) {
	group := newTestGroup(t, "a b c", "d")
	group.tick(60, "a", "b", "c")
	if status := group.cores["d"].Status(); status.IsLeader || status.Term > 0 {
		t.Fatalf("a learner without a group has campaigned: status %+v, want term 0", status)
	}
	group.elect("a")
	group.addLearner("a", "d")
	group.tick(12)
	if group.members("d") != "a b c" || group.cores["d"].IsVoter("d") {
		t.Fatalf("the voters in the log of learner d are %q, want a b c", group.members("d"))
	}
	group.propose("a", "one")
	group.deliverAll("b", "c")
	group.tick(8, "b", "c")
	if status := group.cores["a"].Status(); status.Applied == status.LastIndex || group.cores["d"].lastIndex() == status.LastIndex {
		t.Fatalf("a learner was counted in a quorum, or was sent an uncommitted entry: status of the leader %+v, want an uncommitted entry that only the leader has", status)
	}
	group.tick(10)
	if !group.proposeMembership("a", "a b c d") {
		t.Fatal("the proposal to add learner d, which has caught up, as a voter was rejected")
	}
	group.tick(10)
	if !group.proposeMembership("a", "a b d") {
		t.Fatal("the proposal to remove voter c was rejected although the previous membership change is committed")
	}
	group.tick(10, "c")
	group.propose("a", "two")
	group.tick(10, "b", "c") // b and c are down: a and d are a majority of the voters a, b and d
	if status := group.cores["a"].Status(); status.Applied != status.LastIndex || group.members("b") != "a b d" {
		t.Fatalf("after voter c was removed, and then b and c stopped: status of leader a %+v, want all entries applied; voters in the log that b had before it stopped: %q, want a b d", status, group.members("b"))
	}
	// c hasn't received the entry of its removal: it requests pre-votes, but must not disrupt the leader or be elected.
	group.tick(60)
	if !group.cores["a"].Status().IsLeader || group.cores["c"].Status().IsLeader {
		t.Fatal("removed member c was elected, or made leader a step down")
	}
	group.addLearner("a", "c")
	group.tick(10)
	if group.members("c") != "a b d" {
		t.Fatalf("the voters in the log of member c, removed and joined again as a learner, are %q, want a b d", group.members("c"))
	}
}

// Only the leader can propose a membership change, of one member at a time, and only after it has committed an entry
// of its own term and the previous membership change.
func TestMembershipChangePreconditions(t *testing.T) {
	group := newTestGroup(t, "a b c", "d e")
	if group.proposeMembership("a", "a b c d") {
		t.Error("follower a accepted a membership change, want a rejection")
	}
	group.campaign("a")
	group.deliverMatching(isVoteMessage)
	if !group.cores["a"].Status().IsLeader || group.cores["a"].CanChangeMembership() || group.proposeMembership("a", "a b c d") {
		t.Error("member a isn't the leader, or accepted a membership change before an entry of its own term was committed")
	}
	group.deliverAll()
	for _, members := range []string{"a b c", "a b c d e", "a", "", "a b d e"} {
		if group.proposeMembership("a", members) {
			t.Errorf("the leader accepted a change of the members from a b c to %q, which isn't a change of one member", members)
		}
	}
	if !group.proposeMembership("a", "a b c d") || group.proposeMembership("a", "a b c d e") {
		t.Error("the addition of voter d was rejected, or another membership change was accepted before it was committed")
	}
	group.deliverAll()
	if !group.proposeMembership("a", "b c d") {
		t.Error("leader a rejected the proposal to remove itself from the voters")
	}
	group.deliverAll()
	if status := group.cores["a"].Status(); status.IsLeader || group.members("b") != "b c d" {
		t.Errorf("leader a didn't step down once its removal was committed, or the voters in the log of b aren't b c d: status of a %+v", status)
	}
	group.tick(60)
	if group.cores["a"].Status().IsLeader || group.cores["a"].Status().Leader == "" && group.cores["b"].Status().Leader == "" {
		t.Errorf("removed leader a leads again, or neither a nor b knows a leader: status of b %+v", group.cores["b"].Status())
	}
}

// The voters that a log entry names are no longer in effect once the entry is truncated. Voters named by an applied
// entry survive a compaction and a restart, and are part of a snapshot sent to a learner.
func TestMembershipFollowsTruncationAndCompaction(t *testing.T) {
	group := newTestGroup(t, "a b c", "d")
	group.elect("a")
	group.proposeMembership("a", "a b c d")
	group.deliverMatching(func(message *wire.Message) bool { return message.To == "b" })
	if group.members("a") != "a b c d" || group.members("b") != "a b c d" || group.members("c") != "a b c" {
		t.Fatalf("voters in the logs of members a, b and c: %q, %q, %q; want d only in the first two", group.members("a"), group.members("b"), group.members("c"))
	}
	// c leads a later term without the entry that adds d, and overwrites it in the log of b.
	group.inFlight = nil
	b := group.cores["b"]
	b.Step(&wire.Message{From: "c", To: "b", Kind: wire.MessageKind_APPEND_REQUEST, Term: 9, Index: 1, LogTerm: 1, Entries: []*wire.Entry{{Index: 2, Term: 9, Members: []string{"a", "b", "c"}}}})
	b.Ready()
	if group.members("b") != "a b c" {
		t.Fatalf("voters in the log of member b after the entry that added d was truncated: %q, want a b c", group.members("b"))
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
		t.Fatalf("voters after a compaction and a restart: %v of term %d, index %d, with %d records after the snapshot; want [a b c d] of term 1, index 2, with none", members, term, index, len(records))
	}
	// A learner that lacks compacted entries receives the snapshot.
	group.cores["e"] = newTestCore(LearnerSnapshot("e"), 3)
	group.addLearner("a", "e")
	group.tick(20)
	if members, _, _ := group.cores["e"].Members(); fmt.Sprint(members) != "[a b c d]" || group.cores["e"].lastIndex() != group.cores["a"].lastIndex() {
		t.Fatalf("learner e after it received the snapshot: voters %v, want [a b c d]; last index %d, want the leader's last index %d", members, group.cores["e"].lastIndex(), group.cores["a"].lastIndex())
	}
}

// A group with a single voter commits without any response, and can grow to three voters.
func TestSingleMemberGroup(t *testing.T) {
	group := newTestGroup(t, "a", "b c")
	group.tick(30)
	a := group.cores["a"]
	if !group.propose("a", "one") || a.Status().Applied != a.Status().LastIndex {
		t.Fatalf("a group with a single voter didn't commit and apply a command: status %+v", a.Status())
	}
	if _, ok := a.ReadIndex(); !ok || len(a.Ready().ConfirmedReads) != 1 {
		t.Error("a read in a group with a single voter isn't confirmed at once")
	}
	for _, members := range []string{"a b", "a b c"} {
		group.addLearner("a", members[len(members)-1:])
		group.tick(10)
		if !group.proposeMembership("a", members) {
			t.Fatalf("the leader rejected the membership change to voters %q", members)
		}
		group.tick(10)
	}
	if group.propose("a", "two"); group.members("c") != "a b c" || a.Status().Applied == a.Status().LastIndex {
		t.Fatal("the voters in the log of member c aren't a b c, or leader a committed an entry without a response of another voter")
	}
}

// membershipRace is a scenario in a group of a, b and c, led by a, with the learner d: a proposes a membership
// change and a command while b campaigns.
type membershipRace struct {
	proposed     string         // voters that leader a proposes, separated by spaces
	lostDelivery int            // number of the delivery, counted from 0, whose message is lost; -1: none
	depth        int            // number of deliveries, from the first one on, that are tried in every order
	orders       int            // number of delivery orders tried
	outcomes     map[string]int // by the voters at the end, separated by spaces: number of delivery orders that end with them
}

// replay starts the scenario, and then delivers messages, each given by its position in testGroup.inFlight at that time.
func (r *membershipRace) replay(t *testing.T, deliveries []int) *testGroup {
	t.Helper()
	group := newTestGroup(t, "a b c", "d")
	group.elect("a")
	group.addLearner("a", "d")
	group.deliverAll()
	if !group.proposeMembership("a", r.proposed) || !group.propose("a", "one") {
		t.Fatal("member a rejected a proposal, want it accepted: a was elected as the leader")
	}
	group.campaign("b")
	for step, i := range deliveries {
		if step == r.lostDelivery {
			group.drop(i)
			continue
		}
		group.deliver(i)
	}
	return group
}

// explore tries every sequence of deliveries that begins with the given ones and has depth deliveries, or fewer if no
// message is left. Each delivery is one of the first six messages in flight. It checks that the group can commit a
// command after each sequence.
func (r *membershipRace) explore(t *testing.T, deliveries []int) {
	t.Helper()
	group := r.replay(t, deliveries)
	if len(deliveries) < r.depth && len(group.inFlight) > 0 {
		for i := range min(len(group.inFlight), 6) {
			r.explore(t, append(slices.Clone(deliveries), i))
		}
		return
	}
	r.orders++
	group.deliverAll()
	group.tick(70)
	members := membersThatCommit(group)
	if members == "" {
		t.Fatalf("change of members to %q, delivery %d lost (-1: none), deliveries in order %v: no leader can commit any more", r.proposed, r.lostDelivery, deliveries)
	}
	r.outcomes[members]++
}

// membersThatCommit returns the voters in the log of a leader that commits a new command; empty: no leader does.
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

// Leader a adds or removes a voter while b campaigns with the previous voters in its log. Every order of the first four
// or six deliveries is tried, without loss and with the loss of one of the first three. A term has at most one leader,
// all members commit the same entries, and in the end one voter set is in effect and commands are committed again.
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
		for lostDelivery := -1; lostDelivery < 3; lostDelivery++ {
			race := membershipRace{proposed: change.proposed, lostDelivery: lostDelivery, depth: change.depth, outcomes: map[string]int{}}
			race.explore(t, nil)
			all += race.orders
			changed += race.outcomes[change.proposed]
			if race.orders < 30 || race.outcomes[change.proposed]+race.outcomes["a b c"] != race.orders {
				t.Errorf("change of voters to %q, delivery %d lost (-1: none): %d orders of message deliveries tried, want at least 30; number of orders by the final voters %v, want only the old voters, a b c, or the new ones", change.proposed, lostDelivery, race.orders, race.outcomes)
			}
		}
		if all < 300 || changed == 0 || changed == all {
			t.Errorf("change of voters to %q: %d orders of message deliveries tried, want at least 300; the change took effect in %d of them, want some but not all", change.proposed, all, changed)
		}
	}
}
