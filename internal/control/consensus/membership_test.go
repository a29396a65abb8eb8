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
	seen         map[string][]uint64 // indexes that each has committed
	t            testing.TB
}

func newTestCore(s *wire.Snapshot, seed uint64) *Core {
	return New(Config{Self: s.HardState.Incarnation, DynamicMembership: true, HeartbeatTicks: 2, ElectionTicks: 10, MaxBatchBytes: 1 << 16, Rand: rand.New(rand.NewPCG(1, seed))}, s, nil)
}

func newTestGroup(t testing.TB, founders, learners string) *testGroup {
	x := &testGroup{cores: map[string]*Core{}, leaderOfTerm: map[uint64]string{}, seen: map[string][]uint64{}, t: t}
	ms := strings.Fields(founders)
	for i, n := range ms {
		x.cores[n] = newTestCore(BootstrapSnapshot(n, ms), uint64(i))
	}
	for i, n := range strings.Fields(learners) {
		x.cores[n] = newTestCore(LearnerSnapshot(n), uint64(i+10))
	}
	return x
}

func (g *testGroup) collect(n string) {
	c := g.cores[n]
	o := c.Ready()
	g.inFlight = append(g.inFlight, o.Messages...)
	if c.role == leader {
		if w, ok := g.leaderOfTerm[c.hardState.Term]; ok && w != n {
			g.t.Fatalf("term %d is owned by %s and by %s", c.hardState.Term, w, n)
		}
		g.leaderOfTerm[c.hardState.Term] = n
	}
	for _, e := range o.CommittedEntries {
		s := fmt.Sprintf("%d %q %v", e.Term, e.Body, e.Members)
		for uint64(len(g.committed)) < e.Index {
			g.committed = append(g.committed, "")
		}
		if was := g.committed[e.Index-1]; was != "" && was != s {
			g.t.Fatalf("entry %d is committed as %s and, at %s, as %s", e.Index, was, n, s)
		}
		g.committed[e.Index-1] = s
	}
}

func (g *testGroup) drop(i int) *wire.Message {
	l := g.inFlight[i]
	g.inFlight = append(append([]*wire.Message(nil), g.inFlight[:i]...), g.inFlight[i+1:]...)
	return l
}

func (g *testGroup) deliver(i int) {
	l := g.drop(i)
	if c := g.cores[l.To]; c != nil {
		c.Step(proto.Clone(l).(*wire.Message))
		g.collect(l.To)
	}
}

// deliverAll delivers all that is under way, except to and from those that are off.
func (g *testGroup) deliverAll(off ...string) {
	for n := 0; len(g.inFlight) > 0 && n < 2000; n++ {
		if l := g.inFlight[0]; slices.Contains(off, l.To) || slices.Contains(off, l.From) {
			g.drop(0)
			continue
		}
		g.deliver(0)
	}
}

func (g *testGroup) tick(n int, off ...string) {
	for range n {
		for _, m := range slices.Sorted(func(yield func(string) bool) {
			for k := range g.cores {
				if !yield(k) {
					return
				}
			}
		}) {
			if !slices.Contains(off, m) {
				g.cores[m].Tick()
				g.collect(m)
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
	x := newTestGroup(t, "a b c", "d")
	x.tick(60, "a", "b", "c")
	if s := x.cores["d"].Status(); s.IsLeader || s.Term > 0 {
		t.Fatalf("a learner stood: %+v", s)
	}
	x.campaign("a")
	x.deliverAll()
	x.cores["a"].AddLearner("d")
	x.collect("a")
	x.tick(12)
	if x.members("d") != "a b c" || x.cores["d"].IsVoter("d") {
		t.Fatalf("what a learner holds: %s", x.members("d"))
	}
	x.propose("a", "one")
	x.deliverAll("b", "c")
	x.tick(8, "b", "c")
	if s := x.cores["a"].Status(); s.Applied == s.LastIndex || x.cores["d"].lastIndex() == s.LastIndex {
		t.Fatalf("a learner made a majority, or was told what isn't agreed on: %+v", s)
	}
	x.tick(10)
	if !x.proposeMembership("a", "a b c d") {
		t.Fatal("a caught-up learner isn't taken")
	}
	x.tick(10)
	if !x.proposeMembership("a", "a b d") {
		t.Fatal("the next change isn't taken")
	}
	x.tick(10, "c")
	x.propose("a", "two")
	x.tick(10, "b", "c") // a and d are a majority of a b d
	if s := x.cores["a"].Status(); s.Applied != s.LastIndex || x.members("b") != "a b d" {
		t.Fatalf("%+v, %s", s, x.members("b"))
	}
	// c doesn't know that it was removed: it stands, disturbs nobody, and wins nothing.
	x.tick(60)
	if !x.cores["a"].Status().IsLeader || x.cores["c"].Status().IsLeader {
		t.Fatal("a removed member has disturbed the group")
	}
	x.cores["a"].AddLearner("c")
	x.collect("a")
	x.tick(10)
	if x.members("c") != "a b d" {
		t.Fatalf("a removed member that asked again holds %s", x.members("c"))
	}
}

// One change at a time, by one member, and none before the owner has committed in its own term.
func TestMembershipChangePreconditions(t *testing.T) {
	x := newTestGroup(t, "a b c", "d e")
	if x.proposeMembership("a", "a b c d") {
		t.Error("one that doesn't own the group changed it")
	}
	x.campaign("a")
	for i := 0; i < len(x.inFlight); {
		if isVoteMessage(x.inFlight[i]) {
			x.deliver(i)
		} else {
			i++
		}
	}
	if !x.cores["a"].Status().IsLeader || x.cores["a"].CanChangeMembership() || x.proposeMembership("a", "a b c d") {
		t.Error("members changed before an entry of the owner's own term was committed")
	}
	x.deliverAll()
	for _, ms := range []string{"a b c", "a b c d e", "a", "", "a b d e"} {
		if x.proposeMembership("a", ms) {
			t.Errorf("from a b c to %q at once", ms)
		}
	}
	if !x.proposeMembership("a", "a b c d") || x.proposeMembership("a", "a b c d e") {
		t.Error("one change, then no other before it is committed")
	}
	x.deliverAll()
	if !x.proposeMembership("a", "b c d") {
		t.Error("the owner can't be removed")
	}
	x.deliverAll()
	if s := x.cores["a"].Status(); s.IsLeader || x.members("b") != "b c d" {
		t.Errorf("the owner didn't step back once its removal was agreed on: %+v", s)
	}
	x.tick(60)
	if x.cores["a"].Status().IsLeader || x.cores["a"].Status().Leader == "" && x.cores["b"].Status().Leader == "" {
		t.Errorf("%+v", x.cores["b"].Status())
	}
}

// A membership that was in a log and is cut off again holds no more; a slot and a new start keep
// the one that was applied.
func TestMembershipFollowsTruncationAndCompaction(t *testing.T) {
	x := newTestGroup(t, "a b c", "d")
	x.campaign("a")
	x.deliverAll()
	x.proposeMembership("a", "a b c d")
	for i := 0; i < len(x.inFlight); {
		if x.inFlight[i].To == "b" {
			x.deliver(i)
		} else {
			i++
		}
	}
	if x.members("a") != "a b c d" || x.members("b") != "a b c d" || x.members("c") != "a b c" {
		t.Fatal(x.members("a"), x.members("b"), x.members("c"))
	}
	// c goes on without them in a later term, as if b had never heard of it.
	x.inFlight = nil
	b := x.cores["b"]
	b.Step(&wire.Message{From: "c", To: "b", Kind: wire.MessageKind_APPEND_REQUEST, Term: 9, Index: 1, LogTerm: 1, Entries: []*wire.Entry{{Index: 2, Term: 9, Members: []string{"a", "b", "c"}}}})
	b.Ready()
	if x.members("b") != "a b c" {
		t.Fatalf("a membership outlived its entry: %s", x.members("b"))
	}
	x = newTestGroup(t, "a b c", "d")
	x.campaign("a")
	x.deliverAll()
	x.proposeMembership("a", "a b c d")
	x.deliverAll()
	x.propose("a", "one")
	x.deliverAll()
	x.cores["a"].Ready()
	s, rest := x.cores["a"].Compact([]byte("state"))
	again := New(Config{Self: "a", DynamicMembership: true, HeartbeatTicks: 2, ElectionTicks: 10, Rand: rand.New(rand.NewPCG(1, 1))}, s, rest)
	ms, term, index := again.Members()
	if fmt.Sprint(ms) != "[a b c d]" || term != 1 || index != 2 || len(rest) != 0 {
		t.Fatalf("after a slot: %v of %d/%d", ms, term, index)
	}
	// A learner that is too far behind is fed the slot.
	x.cores["e"] = newTestCore(LearnerSnapshot("e"), 3)
	x.cores["a"].AddLearner("e")
	x.collect("a")
	x.tick(20)
	if ms, _, _ := x.cores["e"].Members(); fmt.Sprint(ms) != "[a b c d]" || x.cores["e"].lastIndex() != x.cores["a"].lastIndex() {
		t.Fatalf("fed by a slot: %v", ms)
	}
}

// A group of one agrees with itself, and grows.
func TestSingleMemberGroup(t *testing.T) {
	x := newTestGroup(t, "a", "b c")
	x.tick(30)
	if !x.propose("a", "one") || x.cores["a"].Status().Applied != x.cores["a"].Status().LastIndex {
		t.Fatalf("%+v", x.cores["a"].Status())
	}
	if _, ok := x.cores["a"].ReadIndex(); !ok || len(x.cores["a"].Ready().ConfirmedReads) != 1 {
		t.Error("one can't be read from")
	}
	for _, ms := range []string{"a b", "a b c"} {
		x.cores["a"].AddLearner(ms[len(ms)-1:])
		x.collect("a")
		x.tick(10)
		if !x.proposeMembership("a", ms) {
			t.Fatalf("can't become %s", ms)
		}
		x.tick(10)
	}
	if x.propose("a", "two"); x.members("c") != "a b c" || x.cores["a"].Status().Applied == x.cores["a"].Status().LastIndex {
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
				x := newTestGroup(t, "a b c", "d")
				x.campaign("a")
				x.deliverAll()
				x.cores["a"].AddLearner("d")
				x.collect("a")
				x.deliverAll()
				if !x.proposeMembership("a", to) || !x.propose("a", "one") {
					t.Fatal("a doesn't own the group")
				}
				x.campaign("b")
				for n, i := range path {
					if n == lost {
						x.drop(i)
						continue
					}
					x.deliver(i)
				}
				return x
			}
			var walk func(path []int)
			walk = func(path []int) {
				x := replay(path)
				if deep := map[string]int{"a b c d": 4, "a c": 6, "a b": 6}[to]; len(path) < deep && len(x.inFlight) > 0 {
					for i := range x.inFlight {
						if i < 6 {
							walk(append(slices.Clone(path), i))
						}
					}
					return
				}
				orders++
				x.deliverAll()
				x.tick(70)
				done := ""
				for _, n := range []string{"a", "b", "c", "d"} {
					if s := x.cores[n].Status(); s.IsLeader && x.cores[n].CanChangeMembership() && x.propose(n, "two") {
						x.deliverAll()
						if x.cores[n].Status().Applied == x.cores[n].Status().LastIndex {
							done = x.members(n)
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
