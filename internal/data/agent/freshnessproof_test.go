package agent

import (
	"slices"
	"testing"
	"time"

	"pebbleloom/internal/wire"
)

var threeMembers = []string{"1:1/a", "1:2/b", "1:3/c"}

func attestingResponse(member string, term, index uint64, members ...string) *wire.FollowResponse {
	return &wire.FollowResponse{Member: member, NothingNewer: true, MembersTerm: term, MembersIndex: index, Members: members}
}

type receivedResponse struct {
	response    *wire.FollowResponse
	version     uint64
	requestedAt time.Duration
}

func everyOrder[T any](l []T, f func([]T)) (n int) {
	var walk func(left, done []T)
	walk = func(left, done []T) {
		if len(left) == 0 {
			n++
			f(done)
			return
		}
		for i := range left {
			walk(append(slices.Clone(left[:i]), left[i+1:]...), append(slices.Clone(done), left[i]))
		}
	}
	walk(l, nil)
	return n
}

// provenByDefinition is the latest instant that the responses received so far prove, by the claim's own
// words: a quorum of one membership, all of whom reported just that one and had nothing newer.
func provenByDefinition(responses []receivedResponse, version uint64) (best time.Duration) {
	for _, membership := range responses {
		quorum := len(membership.response.Members)/2 + 1
		for _, earliest := range responses {
			members := map[string]bool{}
			for _, response := range responses {
				if response.response.NothingNewer && response.requestedAt >= earliest.requestedAt && response.version <= version && slices.Contains(membership.response.Members, response.response.Member) &&
					response.response.MembersTerm == membership.response.MembersTerm && response.response.MembersIndex == membership.response.MembersIndex {
					members[response.response.Member] = true
				}
			}
			if len(members) >= quorum {
				best = max(best, earliest.requestedAt)
			}
		}
	}
	return best
}

// Every order of eight responses, between which a member is added: no proof is ever later than what a quorum
// attested, none decreases, and in the end there is the newest.
func TestEveryOrderOfResponses(t *testing.T) {
	four := append(slices.Clone(threeMembers), "1:4/d")
	silent := attestingResponse(threeMembers[2], 1, 9, four...)
	silent.NothingNewer = false
	responses := []receivedResponse{
		{attestingResponse(threeMembers[0], 1, 1, threeMembers...), 7, 10},
		{attestingResponse(threeMembers[1], 1, 1, threeMembers...), 7, 20},
		{attestingResponse(threeMembers[2], 1, 1, threeMembers...), 7, 30},
		{attestingResponse(threeMembers[0], 1, 9, four...), 7, 40},
		{attestingResponse(threeMembers[1], 1, 9, four...), 8, 50}, // received a newer plan
		{silent, 7, 60},
		{attestingResponse("1:4/d", 1, 9, four...), 7, 70},
		{attestingResponse(threeMembers[2], 1, 9, four...), 7, 80},
	}
	orders := everyOrder(responses, func(order []receivedResponse) {
		proof := NewFreshnessProof()
		before := time.Duration(0)
		for i, received := range order {
			proof.AddResponse(received.response, received.version, received.requestedAt)
			at := proof.FreshUntil(7)
			if at < before || at > provenByDefinition(order[:i+1], 7) {
				t.Fatalf("%v: proof at %v, attested at %v, before it %v", order[:i+1], at, provenByDefinition(order[:i+1], 7), before)
			}
			before = at
		}
		if before != 40 {
			t.Fatalf("%v: proof at %v in the end", order, before)
		}
		if at := proof.FreshUntil(8); at != 50 {
			t.Fatalf("%v: proof of the newer plan at %v", order, at)
		}
	})
	if orders != 40320 {
		t.Fatalf("%d orders tried", orders)
	}
}

func TestMinorityProvesNothing(t *testing.T) {
	proof := NewFreshnessProof()
	for i := range 5 {
		proof.AddResponse(attestingResponse(threeMembers[0], 1, 1, threeMembers...), 7, time.Duration(10+i))
	}
	if at := proof.FreshUntil(7); at != 0 {
		t.Fatalf("one of three proves %v", at)
	}
	proof.AddResponse(attestingResponse("1:1/x", 1, 1, threeMembers...), 7, 90) // the same address, another incarnation: its disk was lost
	proof.AddResponse(attestingResponse("9:9/z", 1, 1, threeMembers...), 7, 95)
	proof.AddResponse(&wire.FollowResponse{Member: threeMembers[1], NothingNewer: true}, 7, 99)
	if at := proof.FreshUntil(7); at != 0 {
		t.Fatalf("members of no group and one that knows no members prove %v", at)
	}
}

func TestRemovedMemberAttestsNothing(t *testing.T) {
	four := append(slices.Clone(threeMembers), "1:4/d")
	proof := NewFreshnessProof()
	proof.AddResponse(attestingResponse(threeMembers[0], 1, 1, four...), 7, 10)
	proof.AddResponse(attestingResponse("1:4/d", 1, 1, four...), 7, 20)
	proof.AddResponse(attestingResponse(threeMembers[0], 1, 5, threeMembers...), 7, 30) // d was removed
	proof.AddResponse(attestingResponse("1:4/d", 1, 1, four...), 7, 40)
	proof.AddResponse(attestingResponse(threeMembers[1], 1, 1, four...), 7, 50) // hasn't received that yet
	if at := proof.FreshUntil(7); at != 0 {
		t.Fatalf("a removed member, and one behind, prove %v", at)
	}
	proof.AddResponse(attestingResponse(threeMembers[1], 1, 5, threeMembers...), 7, 60)
	if at := proof.FreshUntil(7); at != 30 {
		t.Fatalf("two of three prove %v", at)
	}
}

// {a,3,4} of a membership that will never be committed are no quorum against {1,2} of a committed one.
func TestUncommittedMembershipProvesNothing(t *testing.T) {
	old, lost := []string{"1", "2", "3", "4"}, []string{"1", "2", "3", "4", "a"}
	proof := NewFreshnessProof()
	proof.AddResponse(attestingResponse("a", 2, 5, lost...), 7, 10)
	proof.AddResponse(attestingResponse("4", 2, 5, lost...), 7, 10)
	// The leader of term 3 has truncated the lost membership from 3's log.
	proof.AddResponse(attestingResponse("3", 1, 1, old...), 7, 20)
	if at := proof.FreshUntil(7); at != 0 {
		t.Fatalf("proof at %v, while {1,2} of {1,2,3} may have acknowledged a newer plan", at)
	}
}
