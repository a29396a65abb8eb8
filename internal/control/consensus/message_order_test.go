package consensus

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"google.golang.org/protobuf/proto"

	"pebbleloom/internal/wire"
)

// fixedGroup is three cores and the letters between them; persisting is immediate.
type fixedGroup struct {
	cores        map[string]*Core
	inFlight     []*wire.Message
	leaderOfTerm map[uint64]string
	t            testing.TB
}

func newFixedGroup(t testing.TB) *fixedGroup {
	x := &fixedGroup{cores: map[string]*Core{}, leaderOfTerm: map[uint64]string{}, t: t}
	for i, n := range []string{"a", "b", "c"} {
		s := BlankSnapshot(n + "/1")
		s.HardState.DiskState = wire.DiskState_DISK_FOUNDED
		x.cores[n] = New(Config{Self: n, Members: []string{"a", "b", "c"}, HeartbeatTicks: 2, ElectionTicks: 10, MaxBatchBytes: 1 << 16, Rand: rand.New(rand.NewPCG(1, uint64(i)))}, s, nil)
	}
	return x
}

// collect takes what a core wants to send, and watches who owns which term.
func (g *fixedGroup) collect(n string) {
	c := g.cores[n]
	g.inFlight = append(g.inFlight, c.Ready().Messages...)
	if c.role == leader {
		if o, ok := g.leaderOfTerm[c.hardState.Term]; ok && o != n {
			g.t.Fatalf("term %d is owned by %s and by %s", c.hardState.Term, o, n)
		}
		g.leaderOfTerm[c.hardState.Term] = n
	}
}

func (g *fixedGroup) deliver(i int) {
	l := g.inFlight[i]
	g.inFlight = append(append([]*wire.Message(nil), g.inFlight[:i]...), g.inFlight[i+1:]...)
	g.cores[l.To].Step(proto.Clone(l).(*wire.Message))
	g.collect(l.To)
}

func isVoteMessage(l *wire.Message) bool {
	return l.Kind == wire.MessageKind_VOTE_REQUEST || l.Kind == wire.MessageKind_VOTE_RESPONSE
}

// Two members stand in the same term. Every order in which the votes asked for and given
// can arrive is tried, and every one in which one of the letters is lost: never two owners
// in a term, and whoever won owns the part in the end.
func TestEveryOrderOfTwoCandidatesVotes(t *testing.T) {
	for lost := -1; lost < 8; lost++ {
		orders, wins := 0, map[string]int{}
		var walk func(path []int)
		replay := func(path []int) *fixedGroup {
			x := newFixedGroup(t)
			x.cores["a"].campaign(candidate)
			x.collect("a")
			x.cores["b"].campaign(candidate)
			x.collect("b")
			for n, i := range path {
				if n == lost {
					x.inFlight = append(append([]*wire.Message(nil), x.inFlight[:i]...), x.inFlight[i+1:]...)
					continue
				}
				x.deliver(i)
			}
			return x
		}
		walk = func(path []int) {
			x := replay(path)
			more := false
			for i, l := range x.inFlight {
				if isVoteMessage(l) {
					more = true
					walk(append(append([]int(nil), path...), i))
				}
			}
			if more {
				return
			}
			orders++
			for n := 0; len(x.inFlight) > 0 && n < 200; n++ {
				x.deliver(0)
			}
			wins[x.leaderOfTerm[1]]++
		}
		walk(nil)
		if orders < 300 || wins["a"] == 0 || wins["b"] == 0 {
			t.Errorf("lost %d: %d orders, wins %v: the walk is too short", lost, orders, wins)
		}
		if lost < 0 && wins[""] > 0 {
			t.Errorf("%d orders end without an owner though no letter was lost and c's vote decides", wins[""])
		}
	}
}

// An entry that an owner adds under every order of its letters, doubled letters included,
// is committed on all three exactly once.
func TestEveryOrderOfTwoAppends(t *testing.T) {
	orders := 0
	var walk func(path []int)
	replay := func(path []int) (left int, got map[string][]string) {
		x := newFixedGroup(t)
		x.cores["a"].campaign(candidate)
		x.collect("a")
		for len(x.inFlight) > 0 {
			x.deliver(0)
		}
		got = map[string][]string{}
		see := func(n string) {
			o := x.cores[n].Ready()
			x.inFlight = append(x.inFlight, o.Messages...)
			for _, e := range o.CommittedEntries {
				if len(e.Body) > 0 {
					got[n] = append(got[n], string(e.Body))
				}
			}
		}
		for _, b := range []string{"one", "two"} {
			if _, _, ok := x.cores["a"].Propose([]byte(b)); !ok {
				t.Fatal("a doesn't own the part")
			}
		}
		see("a")
		x.inFlight = append(x.inFlight, x.inFlight[0]) // one letter comes twice
		for _, i := range path {
			l := x.inFlight[i]
			x.inFlight = append(append([]*wire.Message(nil), x.inFlight[:i]...), x.inFlight[i+1:]...)
			x.cores[l.To].Step(proto.Clone(l).(*wire.Message))
			see(l.To)
		}
		left = len(x.inFlight)
		for range 4 {
			x.cores["a"].Tick()
			see("a")
			for n := 0; len(x.inFlight) > 0 && n < 200; n++ {
				l := x.inFlight[0]
				x.inFlight = x.inFlight[1:]
				x.cores[l.To].Step(l)
				see(l.To)
			}
		}
		return left, got
	}
	walk = func(path []int) {
		left, got := replay(path)
		if len(path) == 6 || left == 0 {
			orders++
			for _, n := range []string{"a", "b", "c"} {
				if fmt.Sprint(got[n]) != "[one two]" {
					t.Fatalf("path %v: %s committed %v", path, n, got[n])
				}
			}
			return
		}
		for i := range left {
			walk(append(append([]int(nil), path...), i))
		}
	}
	walk(nil)
	if orders < 500 {
		t.Fatalf("only %d orders were tried", orders)
	}
}

// An owner's past life has letters under way. What denies them under the new term must not
// pass for the answer to a question of the new life: a read would be confirmed by it.
func TestRejectionOfOldTermConfirmsNoRead(t *testing.T) {
	x := newFixedGroup(t)
	b := x.cores["b"]
	b.Step(&wire.Message{From: "a", To: "b", Kind: wire.MessageKind_VOTE_REQUEST, Term: 6})
	b.Ready()
	b.Step(&wire.Message{From: "a", To: "b", Kind: wire.MessageKind_APPEND_REQUEST, Term: 5, Probe: 50})
	for _, l := range b.Ready().Messages {
		if l.Kind != wire.MessageKind_APPEND_RESPONSE || l.Ok || l.Term != 6 || l.Probe != 0 {
			t.Errorf("a letter of term 5 was answered by %v", l)
		}
	}
}
