package consensus

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"google.golang.org/protobuf/proto"

	"pebbleloom/internal/wire"
)

// trio is three cores and the letters between them; persisting is immediate.
type trio struct {
	c    map[string]*Core
	mail []*wire.Message
	won  map[uint64]string
	t    testing.TB
}

func newTrio(t testing.TB) *trio {
	x := &trio{c: map[string]*Core{}, won: map[uint64]string{}, t: t}
	for i, n := range []string{"a", "b", "c"} {
		s := BlankSnapshot(n + "/1")
		s.HardState.DiskState = wire.DiskState_DISK_FOUNDED
		x.c[n] = New(Config{Self: n, Members: []string{"a", "b", "c"}, HeartbeatTicks: 2, ElectionTicks: 10, MaxBatchBytes: 1 << 16, Rand: rand.New(rand.NewPCG(1, uint64(i)))}, s, nil)
	}
	return x
}

// collect takes what a core wants to send, and watches who owns which term.
func (x *trio) collect(n string) {
	c := x.c[n]
	x.mail = append(x.mail, c.Ready().Messages...)
	if c.role == leader {
		if o, ok := x.won[c.hardState.Term]; ok && o != n {
			x.t.Fatalf("term %d is owned by %s and by %s", c.hardState.Term, o, n)
		}
		x.won[c.hardState.Term] = n
	}
}

func (x *trio) deliver(i int) {
	l := x.mail[i]
	x.mail = append(append([]*wire.Message(nil), x.mail[:i]...), x.mail[i+1:]...)
	x.c[l.To].Step(proto.Clone(l).(*wire.Message))
	x.collect(l.To)
}

func vote(l *wire.Message) bool {
	return l.Kind == wire.MessageKind_VOTE_REQUEST || l.Kind == wire.MessageKind_VOTE_RESPONSE
}

// Two members stand in the same term. Every order in which the votes asked for and given
// can arrive is tried, and every one in which one of the letters is lost: never two owners
// in a term, and whoever won owns the part in the end.
func TestEveryOrderOfTwoCandidatesVotes(t *testing.T) {
	for lost := -1; lost < 8; lost++ {
		orders, wins := 0, map[string]int{}
		var walk func(path []int)
		replay := func(path []int) *trio {
			x := newTrio(t)
			x.c["a"].campaign(candidate)
			x.collect("a")
			x.c["b"].campaign(candidate)
			x.collect("b")
			for n, i := range path {
				if n == lost {
					x.mail = append(append([]*wire.Message(nil), x.mail[:i]...), x.mail[i+1:]...)
					continue
				}
				x.deliver(i)
			}
			return x
		}
		walk = func(path []int) {
			x := replay(path)
			more := false
			for i, l := range x.mail {
				if vote(l) {
					more = true
					walk(append(append([]int(nil), path...), i))
				}
			}
			if more {
				return
			}
			orders++
			for n := 0; len(x.mail) > 0 && n < 200; n++ {
				x.deliver(0)
			}
			wins[x.won[1]]++
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
		x := newTrio(t)
		x.c["a"].campaign(candidate)
		x.collect("a")
		for len(x.mail) > 0 {
			x.deliver(0)
		}
		got = map[string][]string{}
		see := func(n string) {
			o := x.c[n].Ready()
			x.mail = append(x.mail, o.Messages...)
			for _, e := range o.Committed {
				if len(e.Body) > 0 {
					got[n] = append(got[n], string(e.Body))
				}
			}
		}
		for _, b := range []string{"one", "two"} {
			if _, _, ok := x.c["a"].Propose([]byte(b)); !ok {
				t.Fatal("a doesn't own the part")
			}
		}
		see("a")
		x.mail = append(x.mail, x.mail[0]) // one letter comes twice
		for _, i := range path {
			l := x.mail[i]
			x.mail = append(append([]*wire.Message(nil), x.mail[:i]...), x.mail[i+1:]...)
			x.c[l.To].Step(proto.Clone(l).(*wire.Message))
			see(l.To)
		}
		left = len(x.mail)
		for range 4 {
			x.c["a"].Tick()
			see("a")
			for n := 0; len(x.mail) > 0 && n < 200; n++ {
				l := x.mail[0]
				x.mail = x.mail[1:]
				x.c[l.To].Step(l)
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
func TestADenialOfThePastConfirmsNoRead(t *testing.T) {
	x := newTrio(t)
	b := x.c["b"]
	b.Step(&wire.Message{From: "a", To: "b", Kind: wire.MessageKind_VOTE_REQUEST, Term: 6})
	b.Ready()
	b.Step(&wire.Message{From: "a", To: "b", Kind: wire.MessageKind_APPEND_REQUEST, Term: 5, Probe: 50})
	for _, l := range b.Ready().Messages {
		if l.Kind != wire.MessageKind_APPEND_RESPONSE || l.Ok || l.Term != 6 || l.Probe != 0 {
			t.Errorf("a letter of term 5 was answered by %v", l)
		}
	}
}
