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

// band is the cores of a group and the letters between them; persisting is immediate. It holds
// against every step that a term has one owner and that all commit the same.
type band struct {
	c    map[string]*Core
	mail []*wire.Message
	won  map[uint64]string
	log  []string            // what was committed, by index
	seen map[string][]uint64 // indexes that each has committed
	t    testing.TB
}

func coreOf(s *wire.Snapshot, seed uint64) *Core {
	return New(Config{Self: s.HardState.Incarnation, Group: true, HeartbeatTicks: 2, ElectionTicks: 10, MaxBatchBytes: 1 << 16, Rand: rand.New(rand.NewPCG(1, seed))}, s, nil)
}

func newBand(t testing.TB, founders, learners string) *band {
	x := &band{c: map[string]*Core{}, won: map[uint64]string{}, seen: map[string][]uint64{}, t: t}
	ms := strings.Fields(founders)
	for i, n := range ms {
		x.c[n] = coreOf(FoundingSnapshot(n, ms), uint64(i))
	}
	for i, n := range strings.Fields(learners) {
		x.c[n] = coreOf(LearnerSnapshot(n), uint64(i+10))
	}
	return x
}

func (x *band) collect(n string) {
	c := x.c[n]
	o := c.Ready()
	x.mail = append(x.mail, o.Messages...)
	if c.role == leader {
		if w, ok := x.won[c.hardState.Term]; ok && w != n {
			x.t.Fatalf("term %d is owned by %s and by %s", c.hardState.Term, w, n)
		}
		x.won[c.hardState.Term] = n
	}
	for _, e := range o.Committed {
		s := fmt.Sprintf("%d %q %v", e.Term, e.Body, e.Members)
		for uint64(len(x.log)) < e.Index {
			x.log = append(x.log, "")
		}
		if was := x.log[e.Index-1]; was != "" && was != s {
			x.t.Fatalf("entry %d is committed as %s and, at %s, as %s", e.Index, was, n, s)
		}
		x.log[e.Index-1] = s
	}
}

func (x *band) drop(i int) *wire.Message {
	l := x.mail[i]
	x.mail = append(append([]*wire.Message(nil), x.mail[:i]...), x.mail[i+1:]...)
	return l
}

func (x *band) deliver(i int) {
	l := x.drop(i)
	if c := x.c[l.To]; c != nil {
		c.Step(proto.Clone(l).(*wire.Message))
		x.collect(l.To)
	}
}

// calm delivers all that is under way, except to and from those that are off.
func (x *band) calm(off ...string) {
	for n := 0; len(x.mail) > 0 && n < 2000; n++ {
		if l := x.mail[0]; slices.Contains(off, l.To) || slices.Contains(off, l.From) {
			x.drop(0)
			continue
		}
		x.deliver(0)
	}
}

func (x *band) tick(n int, off ...string) {
	for range n {
		for _, m := range slices.Sorted(func(yield func(string) bool) {
			for k := range x.c {
				if !yield(k) {
					return
				}
			}
		}) {
			if !slices.Contains(off, m) {
				x.c[m].Tick()
				x.collect(m)
			}
		}
		x.calm(off...)
	}
}

func (x *band) stand(n string) { x.c[n].campaign(candidate); x.collect(n) }

func (x *band) propose(n, members string) bool {
	_, _, ok := x.c[n].ProposeMembership(strings.Fields(members))
	x.collect(n)
	return ok
}

func (x *band) put(n, body string) bool {
	_, _, ok := x.c[n].Propose([]byte(body))
	x.collect(n)
	return ok
}

func (x *band) members(n string) string {
	l, _, _ := x.c[n].Members()
	return strings.Join(l, " ")
}

// A learner is fed and counts for nothing: it doesn't stand, it makes no majority, and it isn't
// told what isn't committed. Once it is added it does, and the one removed no longer does.
func TestALearnerCountsOnceItIsAMember(t *testing.T) {
	x := newBand(t, "a b c", "d")
	x.tick(60, "a", "b", "c")
	if s := x.c["d"].Status(); s.IsLeader || s.Term > 0 {
		t.Fatalf("a learner stood: %+v", s)
	}
	x.stand("a")
	x.calm()
	x.c["a"].AddLearner("d")
	x.collect("a")
	x.tick(12)
	if x.members("d") != "a b c" || x.c["d"].IsVoter("d") {
		t.Fatalf("what a learner holds: %s", x.members("d"))
	}
	x.put("a", "one")
	x.calm("b", "c")
	x.tick(8, "b", "c")
	if s := x.c["a"].Status(); s.Applied == s.Last || x.c["d"].lastIndex() == s.Last {
		t.Fatalf("a learner made a majority, or was told what isn't agreed on: %+v", s)
	}
	x.tick(10)
	if !x.propose("a", "a b c d") {
		t.Fatal("a caught-up learner isn't taken")
	}
	x.tick(10)
	if !x.propose("a", "a b d") {
		t.Fatal("the next change isn't taken")
	}
	x.tick(10, "c")
	x.put("a", "two")
	x.tick(10, "b", "c") // a and d are a majority of a b d
	if s := x.c["a"].Status(); s.Applied != s.Last || x.members("b") != "a b d" {
		t.Fatalf("%+v, %s", s, x.members("b"))
	}
	// c doesn't know that it was removed: it stands, disturbs nobody, and wins nothing.
	x.tick(60)
	if !x.c["a"].Status().IsLeader || x.c["c"].Status().IsLeader {
		t.Fatal("a removed member has disturbed the group")
	}
	x.c["a"].AddLearner("c")
	x.collect("a")
	x.tick(10)
	if x.members("c") != "a b d" {
		t.Fatalf("a removed member that asked again holds %s", x.members("c"))
	}
}

// One change at a time, by one member, and none before the owner has committed in its own term.
func TestWhenMembersMayChange(t *testing.T) {
	x := newBand(t, "a b c", "d e")
	if x.propose("a", "a b c d") {
		t.Error("one that doesn't own the group changed it")
	}
	x.stand("a")
	for i := 0; i < len(x.mail); {
		if vote(x.mail[i]) {
			x.deliver(i)
		} else {
			i++
		}
	}
	if !x.c["a"].Status().IsLeader || x.c["a"].MembershipSettled() || x.propose("a", "a b c d") {
		t.Error("members changed before an entry of the owner's own term was committed")
	}
	x.calm()
	for _, ms := range []string{"a b c", "a b c d e", "a", "", "a b d e"} {
		if x.propose("a", ms) {
			t.Errorf("from a b c to %q at once", ms)
		}
	}
	if !x.propose("a", "a b c d") || x.propose("a", "a b c d e") {
		t.Error("one change, then no other before it is committed")
	}
	x.calm()
	if !x.propose("a", "b c d") {
		t.Error("the owner can't be removed")
	}
	x.calm()
	if s := x.c["a"].Status(); s.IsLeader || x.members("b") != "b c d" {
		t.Errorf("the owner didn't step back once its removal was agreed on: %+v", s)
	}
	x.tick(60)
	if x.c["a"].Status().IsLeader || x.c["a"].Status().Leader == "" && x.c["b"].Status().Leader == "" {
		t.Errorf("%+v", x.c["b"].Status())
	}
}

// A membership that was in a log and is cut off again holds no more; a slot and a new start keep
// the one that was applied.
func TestMembershipGoesWithTheLog(t *testing.T) {
	x := newBand(t, "a b c", "d")
	x.stand("a")
	x.calm()
	x.propose("a", "a b c d")
	for i := 0; i < len(x.mail); {
		if x.mail[i].To == "b" {
			x.deliver(i)
		} else {
			i++
		}
	}
	if x.members("a") != "a b c d" || x.members("b") != "a b c d" || x.members("c") != "a b c" {
		t.Fatal(x.members("a"), x.members("b"), x.members("c"))
	}
	// c goes on without them in a later term, as if b had never heard of it.
	x.mail = nil
	b := x.c["b"]
	b.Step(&wire.Message{From: "c", To: "b", Kind: wire.MessageKind_APPEND_REQUEST, Term: 9, Index: 1, LogTerm: 1, Entries: []*wire.Entry{{Index: 2, Term: 9, Members: []string{"a", "b", "c"}}}})
	b.Ready()
	if x.members("b") != "a b c" {
		t.Fatalf("a membership outlived its entry: %s", x.members("b"))
	}
	x = newBand(t, "a b c", "d")
	x.stand("a")
	x.calm()
	x.propose("a", "a b c d")
	x.calm()
	x.put("a", "one")
	x.calm()
	x.c["a"].Ready()
	s, rest := x.c["a"].Compact([]byte("state"))
	again := New(Config{Self: "a", Group: true, HeartbeatTicks: 2, ElectionTicks: 10, Rand: rand.New(rand.NewPCG(1, 1))}, s, rest)
	ms, term, index := again.Members()
	if fmt.Sprint(ms) != "[a b c d]" || term != 1 || index != 2 || len(rest) != 0 {
		t.Fatalf("after a slot: %v of %d/%d", ms, term, index)
	}
	// A learner that is too far behind is fed the slot.
	x.c["e"] = coreOf(LearnerSnapshot("e"), 3)
	x.c["a"].AddLearner("e")
	x.collect("a")
	x.tick(20)
	if ms, _, _ := x.c["e"].Members(); fmt.Sprint(ms) != "[a b c d]" || x.c["e"].lastIndex() != x.c["a"].lastIndex() {
		t.Fatalf("fed by a slot: %v", ms)
	}
}

// A group of one agrees with itself, and grows.
func TestAGroupOfOne(t *testing.T) {
	x := newBand(t, "a", "b c")
	x.tick(30)
	if !x.put("a", "one") || x.c["a"].Status().Applied != x.c["a"].Status().Last {
		t.Fatalf("%+v", x.c["a"].Status())
	}
	if _, ok := x.c["a"].RequestRead(); !ok || len(x.c["a"].Ready().ConfirmedReads) != 1 {
		t.Error("one can't be read from")
	}
	for _, ms := range []string{"a b", "a b c"} {
		x.c["a"].AddLearner(ms[len(ms)-1:])
		x.collect("a")
		x.tick(10)
		if !x.propose("a", ms) {
			t.Fatalf("can't become %s", ms)
		}
		x.tick(10)
	}
	if x.put("a", "two"); x.members("c") != "a b c" || x.c["a"].Status().Applied == x.c["a"].Status().Last {
		t.Fatal("three agree without each other")
	}
}

// A member is added, or removed, while another stands under the membership before. Every order of
// the first letters is tried, and each with one of them lost: a term has one owner, all commit
// the same, and in the end one membership holds and commands are taken again.
func TestEveryOrderOfAChangeAndACandidate(t *testing.T) {
	for _, to := range []string{"a b c d", "a c", "a b"} {
		all, won := 0, 0
		for lost := -1; lost < 3; lost++ {
			ends, orders := map[string]int{}, 0
			replay := func(path []int) *band {
				x := newBand(t, "a b c", "d")
				x.stand("a")
				x.calm()
				x.c["a"].AddLearner("d")
				x.collect("a")
				x.calm()
				if !x.propose("a", to) || !x.put("a", "one") {
					t.Fatal("a doesn't own the group")
				}
				x.stand("b")
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
				if deep := map[string]int{"a b c d": 4, "a c": 6, "a b": 6}[to]; len(path) < deep && len(x.mail) > 0 {
					for i := range x.mail {
						if i < 6 {
							walk(append(slices.Clone(path), i))
						}
					}
					return
				}
				orders++
				x.calm()
				x.tick(70)
				done := ""
				for _, n := range []string{"a", "b", "c", "d"} {
					if s := x.c[n].Status(); s.IsLeader && x.c[n].MembershipSettled() && x.put(n, "two") {
						x.calm()
						if x.c[n].Status().Applied == x.c[n].Status().Last {
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
