package consensus

import (
	"fmt"
	"slices"
	"testing"

	"pebbleloom/internal/wire"
)

// contestedElection lets a and b campaign for the same term and delivers messages by their positions
// in flight; the one at the position lost is lost (-1: none).
func contestedElection(t *testing.T, path []int, lost int) *testGroup {
	t.Helper()
	group := newFixedGroup(t)
	group.campaign("a")
	group.campaign("b")
	for step, i := range path {
		if step == lost {
			group.drop(i)
			continue
		}
		group.deliver(i)
	}
	return group
}

// Two members campaign in the same term. Every order in which vote requests and responses can arrive is
// tried, and every one in which one of them is lost: a term never has two leaders, and with all
// messages delivered it has one.
func TestEveryOrderOfTwoCandidatesVotes(t *testing.T) {
	for lost := -1; lost < 8; lost++ {
		orders, wins := 0, map[string]int{}
		var walk func(path []int)
		walk = func(path []int) {
			group := contestedElection(t, path, lost)
			complete := true
			for i, message := range group.inFlight {
				if isVoteMessage(message) {
					complete = false
					walk(append(slices.Clone(path), i))
				}
			}
			if !complete {
				return
			}
			orders++
			group.deliverAll()
			wins[group.leaderOfTerm[1]]++
		}
		walk(nil)
		if orders < 300 || wins["a"] == 0 || wins["b"] == 0 {
			t.Errorf("lost %d: only %d orders, wins %v", lost, orders, wins)
		}
		if lost < 0 && wins[""] > 0 {
			t.Errorf("%d orders end without a leader although no message was lost and c's vote decides", wins[""])
		}
	}
}

// twoAppends has the leader a propose two commands, delivers messages by their positions in flight, and
// counts what is left in flight then. In the end all messages arrive. The first message is duplicated.
func twoAppends(t *testing.T, path []int) (group *testGroup, left int) {
	t.Helper()
	group = newFixedGroup(t)
	group.elect("a")
	for _, body := range []string{"one", "two"} {
		if _, _, ok := group.cores["a"].Propose([]byte(body)); !ok {
			t.Fatal("a isn't the leader")
		}
	}
	group.collect("a")
	group.inFlight = append(group.inFlight, group.inFlight[0])
	for _, i := range path {
		group.deliver(i)
	}
	left = len(group.inFlight)
	for range 4 {
		group.cores["a"].Tick()
		group.collect("a")
		group.deliverAll()
	}
	return group, left
}

// Two commands are committed on all three members exactly once, in every order of the first messages,
// one of which is duplicated.
func TestEveryOrderOfTwoAppends(t *testing.T) {
	orders := 0
	var walk func(path []int)
	walk = func(path []int) {
		group, left := twoAppends(t, path)
		if len(path) < 6 && left > 0 {
			for i := range left {
				walk(append(slices.Clone(path), i))
			}
			return
		}
		orders++
		for _, name := range []string{"a", "b", "c"} {
			if fmt.Sprint(group.applied[name]) != "[one two]" {
				t.Fatalf("path %v: %s committed %v", path, name, group.applied[name])
			}
		}
	}
	walk(nil)
	if orders < 500 {
		t.Fatalf("only %d orders were tried", orders)
	}
}

// A request of an earlier term is rejected in the current one. That rejection may reach a later
// incarnation of the old leader, whose reads it must not confirm: it echoes no probe.
func TestRejectionOfOldTermConfirmsNoRead(t *testing.T) {
	group := newFixedGroup(t)
	b := group.cores["b"]
	b.Step(&wire.Message{From: "a", To: "b", Kind: wire.MessageKind_VOTE_REQUEST, Term: 6})
	b.Ready()
	b.Step(&wire.Message{From: "a", To: "b", Kind: wire.MessageKind_APPEND_REQUEST, Term: 5, Probe: 50})
	for _, message := range b.Ready().Messages {
		if message.Kind != wire.MessageKind_APPEND_RESPONSE || message.Ok || message.Term != 6 || message.Probe != 0 {
			t.Errorf("the response to a request of term 5 is %v", message)
		}
	}
}
