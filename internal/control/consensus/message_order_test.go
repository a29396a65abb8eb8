package consensus

import (
	"fmt"
	"slices"
	"testing"

	"pebbleloom/internal/wire"
)

// contestedElection has members a and b campaign in the same term, and then delivers messages, each given by its
// position in testGroup.inFlight at that time. The message of delivery number lostDelivery, counted from 0, is lost; -1:
// none.
func contestedElection(t *testing.T, deliveries []int, lostDelivery int) *testGroup {
	t.Helper()
	group := newFixedGroup(t)
	group.campaign("a")
	group.campaign("b")
	for step, i := range deliveries {
		if step == lostDelivery {
			group.drop(i)
			continue
		}
		group.deliver(i)
	}
	return group
}

// Two of three members campaign in the same term. Every order in which vote requests and responses can arrive is
// tried, without loss and with the loss of one of them: the term never has two leaders, and if no message is lost,
// it has one.
func TestEveryOrderOfTwoCandidatesVotes(t *testing.T) {
	for lostDelivery := -1; lostDelivery < 8; lostDelivery++ {
		orders, wins := 0, map[string]int{}
		var explore func(deliveries []int)
		explore = func(deliveries []int) {
			group := contestedElection(t, deliveries, lostDelivery)
			complete := true
			for i, message := range group.inFlight {
				if isVoteMessage(message) {
					complete = false
					explore(append(slices.Clone(deliveries), i))
				}
			}
			if !complete {
				return
			}
			orders++
			group.deliverAll()
			wins[group.leaderOfTerm[1]]++
		}
		explore(nil)
		if orders < 300 || wins["a"] == 0 || wins["b"] == 0 {
			t.Errorf("two candidates, delivery %d lost (-1: none): %d message orders tried, want at least 300; wins by member %v, want some of both a and b", lostDelivery, orders, wins)
		}
		if lostDelivery < 0 && wins[""] > 0 {
			t.Errorf("%d orders of vote messages end without a leader, want 0: no message was lost, and the vote of c decides the election", wins[""])
		}
	}
}

// twoAppends has leader a propose two commands, duplicates the first message in flight, and delivers messages, each
// given by its position in testGroup.inFlight at that time. It returns how many messages are then in flight, after it
// has delivered these too and ticked the leader four times.
func twoAppends(t *testing.T, deliveries []int) (group *testGroup, remaining int) {
	t.Helper()
	group = newFixedGroup(t)
	group.elect("a")
	for _, body := range []string{"one", "two"} {
		if _, _, ok := group.cores["a"].Propose([]byte(body)); !ok {
			t.Fatal("member a rejected a proposal, want it accepted: a was elected as the leader")
		}
	}
	group.collect("a")
	group.inFlight = append(group.inFlight, group.inFlight[0])
	for _, i := range deliveries {
		group.deliver(i)
	}
	remaining = len(group.inFlight)
	for range 4 {
		group.cores["a"].Tick()
		group.collect("a")
		group.deliverAll()
	}
	return group, remaining
}

// Two proposed commands are applied by all three members, each once and in the order of the proposals, whatever the
// order of the first six deliveries, with one message duplicated.
func TestEveryOrderOfTwoAppends(t *testing.T) {
	orders := 0
	var explore func(deliveries []int)
	explore = func(deliveries []int) {
		group, remaining := twoAppends(t, deliveries)
		if len(deliveries) < 6 && remaining > 0 {
			for i := range remaining {
				explore(append(slices.Clone(deliveries), i))
			}
			return
		}
		orders++
		for _, name := range []string{"a", "b", "c"} {
			if fmt.Sprint(group.applied[name]) != "[one two]" {
				t.Fatalf("deliveries in order %v: member %s applied commands %v, want [one two]", deliveries, name, group.applied[name])
			}
		}
	}
	explore(nil)
	if orders < 500 {
		t.Fatalf("%d orders of append messages were tried, want at least 500", orders)
	}
}

// A request of an earlier term is rejected with a response of the current term. The response may reach a later
// incarnation of the old leader, whose reads it must not confirm, so it must not echo the request's read
// sequence number (Probe).
func TestRejectionOfOldTermConfirmsNoRead(t *testing.T) {
	group := newFixedGroup(t)
	b := group.cores["b"]
	b.Step(&wire.Message{From: "a", To: "b", Kind: wire.MessageKind_VOTE_REQUEST, Term: 6})
	b.Ready()
	b.Step(&wire.Message{From: "a", To: "b", Kind: wire.MessageKind_APPEND_REQUEST, Term: 5, Probe: 50})
	for _, message := range b.Ready().Messages {
		if message.Kind != wire.MessageKind_APPEND_RESPONSE || message.Ok || message.Term != 6 || message.Probe != 0 {
			t.Errorf("the response to an append request of term 5 with read sequence number 50 is %v, want a rejection of term 6 with read sequence number (field probe) 0, which confirms no read", message)
		}
	}
}
