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
	group := &fixedGroup{cores: map[string]*Core{}, leaderOfTerm: map[uint64]string{}, t: t}
	for i, n := range []string{"a", "b", "c"} {
		snapshot := BlankSnapshot(n + "/1")
		snapshot.HardState.DiskState = wire.DiskState_DISK_FOUNDED
		group.cores[n] = New(Config{Self: n, Members: []string{"a", "b", "c"}, HeartbeatTicks: 2, ElectionTicks: 10, MaxBatchBytes: 1 << 16, Rand: rand.New(rand.NewPCG(1, uint64(i)))}, snapshot, nil)
	}
	return group
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
	message := g.inFlight[i]
	g.inFlight = append(append([]*wire.Message(nil), g.inFlight[:i]...), g.inFlight[i+1:]...)
	g.cores[message.To].Step(proto.Clone(message).(*wire.Message))
	g.collect(message.To)
}

func isVoteMessage(message *wire.Message) bool {
	return message.Kind == wire.MessageKind_VOTE_REQUEST || message.Kind == wire.MessageKind_VOTE_RESPONSE
}

// Two members stand in the same term. Every order in which the votes asked for and given
// can arrive is tried, and every one in which one of the letters is lost: never two owners
// in a term, and whoever won owns the part in the end.
func TestEveryOrderOfTwoCandidatesVotes(t *testing.T) {
	for lost := -1; lost < 8; lost++ {
		orders, wins := 0, map[string]int{}
		var walk func(path []int)
		replay := func(path []int) *fixedGroup {
			group := newFixedGroup(t)
			group.cores["a"].campaign(candidate)
			group.collect("a")
			group.cores["b"].campaign(candidate)
			group.collect("b")
			for n, i := range path {
				if n == lost {
					group.inFlight = append(append([]*wire.Message(nil), group.inFlight[:i]...), group.inFlight[i+1:]...)
					continue
				}
				group.deliver(i)
			}
			return group
		}
		walk = func(path []int) {
			group := replay(path)
			more := false
			for i, message := range group.inFlight {
				if isVoteMessage(message) {
					more = true
					walk(append(append([]int(nil), path...), i))
				}
			}
			if more {
				return
			}
			orders++
			for n := 0; len(group.inFlight) > 0 && n < 200; n++ {
				group.deliver(0)
			}
			wins[group.leaderOfTerm[1]]++
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
		group := newFixedGroup(t)
		group.cores["a"].campaign(candidate)
		group.collect("a")
		for len(group.inFlight) > 0 {
			group.deliver(0)
		}
		got = map[string][]string{}
		see := func(n string) {
			ready := group.cores[n].Ready()
			group.inFlight = append(group.inFlight, ready.Messages...)
			for _, entry := range ready.CommittedEntries {
				if len(entry.Body) > 0 {
					got[n] = append(got[n], string(entry.Body))
				}
			}
		}
		for _, b := range []string{"one", "two"} {
			if _, _, ok := group.cores["a"].Propose([]byte(b)); !ok {
				t.Fatal("a doesn't own the part")
			}
		}
		see("a")
		group.inFlight = append(group.inFlight, group.inFlight[0]) // one letter comes twice
		for _, i := range path {
			message := group.inFlight[i]
			group.inFlight = append(append([]*wire.Message(nil), group.inFlight[:i]...), group.inFlight[i+1:]...)
			group.cores[message.To].Step(proto.Clone(message).(*wire.Message))
			see(message.To)
		}
		left = len(group.inFlight)
		for range 4 {
			group.cores["a"].Tick()
			see("a")
			for n := 0; len(group.inFlight) > 0 && n < 200; n++ {
				message := group.inFlight[0]
				group.inFlight = group.inFlight[1:]
				group.cores[message.To].Step(message)
				see(message.To)
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
	group := newFixedGroup(t)
	b := group.cores["b"]
	b.Step(&wire.Message{From: "a", To: "b", Kind: wire.MessageKind_VOTE_REQUEST, Term: 6})
	b.Ready()
	b.Step(&wire.Message{From: "a", To: "b", Kind: wire.MessageKind_APPEND_REQUEST, Term: 5, Probe: 50})
	for _, message := range b.Ready().Messages {
		if message.Kind != wire.MessageKind_APPEND_RESPONSE || message.Ok || message.Term != 6 || message.Probe != 0 {
			t.Errorf("a letter of term 5 was answered by %v", message)
		}
	}
}
