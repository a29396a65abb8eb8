package consensus

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"pebbleloom/internal/wire"
)

// testGroup is the cores of a group and the letters between them; persisting is immediate. It holds
// against every step that a term has one owner and that all commit the same.
type testGroup struct {
	cores        map[string]*Core
	inFlight     []*wire.Message
	leaderOfTerm map[uint64]string
	committed    []string            // what was committed, by index
	unusedSeen   map[string][]uint64 // indexes that each has committed
	t            testing.TB
}

func newTestCore(snapshot *wire.Snapshot, seed uint64) *Core {
	return New(Config{Self: snapshot.HardState.Incarnation, DynamicMembership: true, HeartbeatTicks: 2, ElectionTicks: 10, MaxBatchBytes: 1 << 16, Rand: rand.New(rand.NewPCG(1, seed))}, snapshot, nil)
}

func newTestGroup(t testing.TB, founders, learners string) *testGroup {
	group := &testGroup{cores: map[string]*Core{}, leaderOfTerm: map[uint64]string{}, unusedSeen: map[string][]uint64{}, t: t}
	members := strings.Fields(founders)
	for i, n := range members {
		group.cores[n] = newTestCore(BootstrapSnapshot(n, members), uint64(i))
	}
	for i, n := range strings.Fields(learners) {
		group.cores[n] = newTestCore(LearnerSnapshot(n), uint64(i+10))
	}
	return group
}

func (g *testGroup) collect(n string) {
	c := g.cores[n]
	ready := c.Ready()
	g.inFlight = append(g.inFlight, ready.Messages...)
	if c.role == leader {
		if w, ok := g.leaderOfTerm[c.hardState.Term]; ok && w != n {
			g.t.Fatalf("term %d is owned by %s and by %s", c.hardState.Term, w, n)
		}
		g.leaderOfTerm[c.hardState.Term] = n
	}
	for _, entry := range ready.CommittedEntries {
		s := fmt.Sprintf("%d %q %v", entry.Term, entry.Body, entry.Members)
		for uint64(len(g.committed)) < entry.Index {
			g.committed = append(g.committed, "")
		}
		if was := g.committed[entry.Index-1]; was != "" && was != s {
			g.t.Fatalf("entry %d is committed as %s and, at %s, as %s", entry.Index, was, n, s)
		}
		g.committed[entry.Index-1] = s
	}
}

func (g *testGroup) drop(i int) *wire.Message {
	message := g.inFlight[i]
	g.inFlight = append(append([]*wire.Message(nil), g.inFlight[:i]...), g.inFlight[i+1:]...)
	return message
}

func (g *testGroup) deliver(i int) {
	message := g.drop(i)
	if c := g.cores[message.To]; c != nil {
		c.Step(proto.Clone(message).(*wire.Message))
		g.collect(message.To)
	}
}

// deliverAll delivers all that is under way, except to and from those that are off.
func (g *testGroup) deliverAll(off ...string) {
	for n := 0; len(g.inFlight) > 0 && n < 2000; n++ {
		if message := g.inFlight[0]; slices.Contains(off, message.To) || slices.Contains(off, message.From) {
			g.drop(0)
			continue
		}
		g.deliver(0)
	}
}

func (g *testGroup) tick(n int, off ...string) {
	for range n {
		for _, peer := range slices.Sorted(func(yield func(string) bool) {
			for k := range g.cores {
				if !yield(k) {
					return
				}
			}
		}) {
			if !slices.Contains(off, peer) {
				g.cores[peer].Tick()
				g.collect(peer)
			}
		}
		g.deliverAll(off...)
	}
}

func (g *testGroup) campaign(n string) { g.cores[n].campaign(candidate); g.collect(n) }

func (g *testGroup) proposeMembership(n, members string) bool {
	_, _, ok := g.cores[n].ProposeMembership(strings.Fields(members))
	g.collect(n)
	return ok
}

func (g *testGroup) propose(n, body string) bool {
	_, _, ok := g.cores[n].Propose([]byte(body))
	g.collect(n)
	return ok
}

func (g *testGroup) members(n string) string {
	l, _, _ := g.cores[n].Members()
	return strings.Join(l, " ")
}

// A learner is fed and counts for nothing: it doesn't stand, it makes no majority, and it isn't
// told what isn't committed. Once it is added it does, and the one removed no longer does.
func TestLearnerJoinsQuorumOnlyOnceAdded(t *testing.T) {
	group := newTestGroup(t, "a b c", "d")
	group.tick(60, "a", "b", "c")
	if s := group.cores["d"].Status(); s.IsLeader || s.Term > 0 {
		t.Fatalf("a learner stood: %+v", s)
	}
	group.campaign("a")
	group.deliverAll()
	group.cores["a"].AddLearner("d")
	group.collect("a")
	group.tick(12)
	if group.members("d") != "a b c" || group.cores["d"].IsVoter("d") {
		t.Fatalf("what a learner holds: %s", group.members("d"))
	}
	group.propose("a", "one")
	group.deliverAll("b", "c")
	group.tick(8, "b", "c")
	if s := group.cores["a"].Status(); s.Applied == s.LastIndex || group.cores["d"].lastIndex() == s.LastIndex {
		t.Fatalf("a learner made a majority, or was told what isn't agreed on: %+v", s)
	}
	group.tick(10)
	if !group.proposeMembership("a", "a b c d") {
		t.Fatal("a caught-up learner isn't taken")
	}
	group.tick(10)
	if !group.proposeMembership("a", "a b d") {
		t.Fatal("the next change isn't taken")
	}
	group.tick(10, "c")
	group.propose("a", "two")
	group.tick(10, "b", "c") // a and d are a majority of a b d
	if s := group.cores["a"].Status(); s.Applied != s.LastIndex || group.members("b") != "a b d" {
		t.Fatalf("%+v, %s", s, group.members("b"))
	}
	// c doesn't know that it was removed: it stands, disturbs nobody, and wins nothing.
	group.tick(60)
	if !group.cores["a"].Status().IsLeader || group.cores["c"].Status().IsLeader {
		t.Fatal("a removed member has disturbed the group")
	}
	group.cores["a"].AddLearner("c")
	group.collect("a")
	group.tick(10)
	if group.members("c") != "a b d" {
		t.Fatalf("a removed member that asked again holds %s", group.members("c"))
	}
}

// One change at a time, by one member, and none before the owner has committed in its own term.
func TestMembershipChangePreconditions(t *testing.T) {
	group := newTestGroup(t, "a b c", "d e")
	if group.proposeMembership("a", "a b c d") {
		t.Error("one that doesn't own the group changed it")
	}
	group.campaign("a")
	for i := 0; i < len(group.inFlight); {
		if isVoteMessage(group.inFlight[i]) {
			group.deliver(i)
		} else {
			i++
		}
	}
	if !group.cores["a"].Status().IsLeader || group.cores["a"].CanChangeMembership() || group.proposeMembership("a", "a b c d") {
		t.Error("members changed before an entry of the owner's own term was committed")
	}
	group.deliverAll()
	for _, ms := range []string{"a b c", "a b c d e", "a", "", "a b d e"} {
		if group.proposeMembership("a", ms) {
			t.Errorf("from a b c to %q at once", ms)
		}
	}
	if !group.proposeMembership("a", "a b c d") || group.proposeMembership("a", "a b c d e") {
		t.Error("one change, then no other before it is committed")
	}
	group.deliverAll()
	if !group.proposeMembership("a", "b c d") {
		t.Error("the owner can't be removed")
	}
	group.deliverAll()
	if s := group.cores["a"].Status(); s.IsLeader || group.members("b") != "b c d" {
		t.Errorf("the owner didn't step back once its removal was agreed on: %+v", s)
	}
	group.tick(60)
	if group.cores["a"].Status().IsLeader || group.cores["a"].Status().Leader == "" && group.cores["b"].Status().Leader == "" {
		t.Errorf("%+v", group.cores["b"].Status())
	}
}

// A membership that was in a log and is cut off again holds no more; a slot and a new start keep
// the one that was applied.
func TestMembershipFollowsTruncationAndCompaction(t *testing.T) {
	group := newTestGroup(t, "a b c", "d")
	group.campaign("a")
	group.deliverAll()
	group.proposeMembership("a", "a b c d")
	for i := 0; i < len(group.inFlight); {
		if group.inFlight[i].To == "b" {
			group.deliver(i)
		} else {
			i++
		}
	}
	if group.members("a") != "a b c d" || group.members("b") != "a b c d" || group.members("c") != "a b c" {
		t.Fatal(group.members("a"), group.members("b"), group.members("c"))
	}
	// c goes on without them in a later term, as if b had never heard of it.
	group.inFlight = nil
	b := group.cores["b"]
	b.Step(&wire.Message{From: "c", To: "b", Kind: wire.MessageKind_APPEND_REQUEST, Term: 9, Index: 1, LogTerm: 1, Entries: []*wire.Entry{{Index: 2, Term: 9, Members: []string{"a", "b", "c"}}}})
	b.Ready()
	if group.members("b") != "a b c" {
		t.Fatalf("a membership outlived its entry: %s", group.members("b"))
	}
	group = newTestGroup(t, "a b c", "d")
	group.campaign("a")
	group.deliverAll()
	group.proposeMembership("a", "a b c d")
	group.deliverAll()
	group.propose("a", "one")
	group.deliverAll()
	group.cores["a"].Ready()
	snapshot, rest := group.cores["a"].Compact([]byte("state"))
	again := New(Config{Self: "a", DynamicMembership: true, HeartbeatTicks: 2, ElectionTicks: 10, Rand: rand.New(rand.NewPCG(1, 1))}, snapshot, rest)
	members, term, index := again.Members()
	if fmt.Sprint(members) != "[a b c d]" || term != 1 || index != 2 || len(rest) != 0 {
		t.Fatalf("after a slot: %v of %d/%d", members, term, index)
	}
	// A learner that is too far behind is fed the slot.
	group.cores["e"] = newTestCore(LearnerSnapshot("e"), 3)
	group.cores["a"].AddLearner("e")
	group.collect("a")
	group.tick(20)
	if members, _, _ := group.cores["e"].Members(); fmt.Sprint(members) != "[a b c d]" || group.cores["e"].lastIndex() != group.cores["a"].lastIndex() {
		t.Fatalf("fed by a slot: %v", members)
	}
}

// A group of one agrees with itself, and grows.
func TestSingleMemberGroup(t *testing.T) {
	group := newTestGroup(t, "a", "b c")
	group.tick(30)
	if !group.propose("a", "one") || group.cores["a"].Status().Applied != group.cores["a"].Status().LastIndex {
		t.Fatalf("%+v", group.cores["a"].Status())
	}
	if _, ok := group.cores["a"].ReadIndex(); !ok || len(group.cores["a"].Ready().ConfirmedReads) != 1 {
		t.Error("one can't be read from")
	}
	for _, ms := range []string{"a b", "a b c"} {
		group.cores["a"].AddLearner(ms[len(ms)-1:])
		group.collect("a")
		group.tick(10)
		if !group.proposeMembership("a", ms) {
			t.Fatalf("can't become %s", ms)
		}
		group.tick(10)
	}
	if group.propose("a", "two"); group.members("c") != "a b c" || group.cores["a"].Status().Applied == group.cores["a"].Status().LastIndex {
		t.Fatal("three agree without each other")
	}
}

// A member is added, or removed, while another stands under the membership before. Every order of
// the first letters is tried, and each with one of them lost: a term has one owner, all commit
// the same, and in the end one membership holds and commands are taken again.
func TestEveryOrderOfMembershipChangeAndElection(t *testing.T) {
	for _, to := range []string{"a b c d", "a c", "a b"} {
		all, won := 0, 0
		for lost := -1; lost < 3; lost++ {
			ends, orders := map[string]int{}, 0
			replay := func(path []int) *testGroup {
				group := newTestGroup(t, "a b c", "d")
				group.campaign("a")
				group.deliverAll()
				group.cores["a"].AddLearner("d")
				group.collect("a")
				group.deliverAll()
				if !group.proposeMembership("a", to) || !group.propose("a", "one") {
					t.Fatal("a doesn't own the group")
				}
				group.campaign("b")
				for n, i := range path {
					if n == lost {
						group.drop(i)
						continue
					}
					group.deliver(i)
				}
				return group
			}
			var walk func(path []int)
			walk = func(path []int) {
				group := replay(path)
				if deep := map[string]int{"a b c d": 4, "a c": 6, "a b": 6}[to]; len(path) < deep && len(group.inFlight) > 0 {
					for i := range group.inFlight {
						if i < 6 {
							walk(append(slices.Clone(path), i))
						}
					}
					return
				}
				orders++
				group.deliverAll()
				group.tick(70)
				done := ""
				for _, n := range []string{"a", "b", "c", "d"} {
					if s := group.cores[n].Status(); s.IsLeader && group.cores[n].CanChangeMembership() && group.propose(n, "two") {
						group.deliverAll()
						if group.cores[n].Status().Applied == group.cores[n].Status().LastIndex {
							done = group.members(n)
						}
					}
				}
				if done == "" {
					t.Fatalf("to %s, lost %d, path %v: nobody can agree any more", to, lost, path)
				}
				ends[done]++
			}
			walk(nil)
			all += orders
			won += ends[to]
			if orders < 30 || ends[to]+ends["a b c"] != orders {
				t.Errorf("to %s, lost %d: %d orders end as %v", to, lost, orders, ends)
			}
		}
		if all < 300 || won == 0 || won == all {
			t.Errorf("to %s: %d orders, the change wins in %d: the walk is too short", to, all, won)
		}
	}
}
