package agent

import (
	"slices"
	"testing"
	"time"

	"pebbleloom/internal/wire"
)

// threeMembers are the initial members of the consensus group, as "address/incarnation".
var threeMembers = []string{"1:1/a", "1:2/b", "1:3/c"}

// attestingResponse returns a member's response that its disk has no newer plan and that names the newest
// membership on its disk, by term and index.
func attestingResponse(member string, term, index uint64, members ...string) *wire.FollowResponse {
	return &wire.FollowResponse{Member: member, NothingNewer: true, MembersTerm: term, MembersIndex: index, Members: members}
}

type receivedResponse struct {
	response    *wire.FollowResponse
	version     uint64
	requestedAt time.Duration
}

// forEachPermutation calls visit with every permutation of items and returns their number.
func forEachPermutation[T any](items []T, visit func([]T)) (count int) {
	var extend func(remaining, permutation []T)
	extend = func(remaining, permutation []T) {
		if len(remaining) == 0 {
			count++
			visit(permutation)
			return
		}
		for i := range remaining {
			extend(append(slices.Clone(remaining[:i]), remaining[i+1:]...), append(slices.Clone(permutation), remaining[i]))
		}
	}
	extend(items, nil)
	return count
}

// provenByDefinition computes the latest instant that a list of responses proves directly from the claim in
// the comment of FreshnessProof: each member of a quorum of one membership reported exactly that membership
// and no newer plan. It is the reference that the implementation is compared with.
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

// Tries every order of eight responses, between which a member is added to the consensus group. The proof must never be
// later than what a quorum attested, must never decrease, and must be the latest possible after all responses.
func TestEveryOrderOfResponses(t *testing.T) {
	four := append(slices.Clone(threeMembers), "1:4/d")
	withoutAttestation := attestingResponse(threeMembers[2], 1, 9, four...)
	withoutAttestation.NothingNewer = false
	responses := []receivedResponse{
		{attestingResponse(threeMembers[0], 1, 1, threeMembers...), 7, 10},
		{attestingResponse(threeMembers[1], 1, 1, threeMembers...), 7, 20},
		{attestingResponse(threeMembers[2], 1, 1, threeMembers...), 7, 30},
		{attestingResponse(threeMembers[0], 1, 9, four...), 7, 40},
		{attestingResponse(threeMembers[1], 1, 9, four...), 8, 50}, // this member has also received plan 8
		{withoutAttestation, 7, 60},
		{attestingResponse("1:4/d", 1, 9, four...), 7, 70},
		{attestingResponse(threeMembers[2], 1, 9, four...), 7, 80},
	}
	orders := forEachPermutation(responses, func(order []receivedResponse) {
		proof := NewFreshnessProof()
		before := time.Duration(0)
		for i, received := range order {
			proof.AddResponse(received.response, received.version, received.requestedAt)
			at := proof.FreshUntil(7)
			if at < before || at > provenByDefinition(order[:i+1], 7) {
				t.Fatalf("after responses %v: FreshUntil of plan version 7 is %v, want at least %v (its previous value) and at most %v (attested by a quorum)", order[:i+1], at, before, provenByDefinition(order[:i+1], 7))
			}
			before = at
		}
		if before != 40 {
			t.Fatalf("after all responses, in order %v: FreshUntil of plan version 7 is %v, want 40ns", order, before)
		}
		if at := proof.FreshUntil(8); at != 50 {
			t.Fatalf("after all responses, in order %v: FreshUntil of plan version 8 is %v, want 50ns", order, at)
		}
	})
	if orders != 40320 {
		t.Fatalf("tried %d orders of eight responses, want 40320", orders)
	}
}

func TestMinorityProvesNothing(t *testing.T) {
	proof := NewFreshnessProof()
	for i := range 5 {
		proof.AddResponse(attestingResponse(threeMembers[0], 1, 1, threeMembers...), 7, time.Duration(10+i))
	}
	if at := proof.FreshUntil(7); at != 0 {
		t.Fatalf("attestations of one of three members: FreshUntil of plan version 7 is %v, want 0", at)
	}
	proof.AddResponse(attestingResponse("1:1/x", 1, 1, threeMembers...), 7, 90) // member 1:1 after it lost its disk: same address, new incarnation
	proof.AddResponse(attestingResponse("9:9/z", 1, 1, threeMembers...), 7, 95)
	proof.AddResponse(&wire.FollowResponse{Member: threeMembers[1], NothingNewer: true}, 7, 99)
	if at := proof.FreshUntil(7); at != 0 {
		t.Fatalf("responses of one member, two non-members and one node without a membership: FreshUntil of plan version 7 is %v, want 0", at)
	}
}

func TestRemovedMemberAttestsNothing(t *testing.T) {
	four := append(slices.Clone(threeMembers), "1:4/d")
	proof := NewFreshnessProof()
	proof.AddResponse(attestingResponse(threeMembers[0], 1, 1, four...), 7, 10)
	proof.AddResponse(attestingResponse("1:4/d", 1, 1, four...), 7, 20)
	proof.AddResponse(attestingResponse(threeMembers[0], 1, 5, threeMembers...), 7, 30) // the member at address 1:1 reports the later membership, from which the one at 1:4 was removed
	proof.AddResponse(attestingResponse("1:4/d", 1, 1, four...), 7, 40)
	proof.AddResponse(attestingResponse(threeMembers[1], 1, 1, four...), 7, 50) // the member at address 1:2 still reports the earlier membership, with the one at 1:4
	if at := proof.FreshUntil(7); at != 0 {
		t.Fatalf("attestations of one current member, one removed member and one with an outdated membership: FreshUntil of plan version 7 is %v, want 0", at)
	}
	proof.AddResponse(attestingResponse(threeMembers[1], 1, 5, threeMembers...), 7, 60)
	if at := proof.FreshUntil(7); at != 30 {
		t.Fatalf("attestations of two of three members at 30ns and 60ns: FreshUntil of plan version 7 is %v, want 30ns", at)
	}
}

// Members {a,3,4} are a quorum of the uncommitted membership {1,2,3,4,a}, but don't intersect the quorum {1,2}
// of the later committed {1,2,3}. Their attestations must not be combined into a proof, because they report
// different memberships.
func TestUncommittedMembershipProvesNothing(t *testing.T) {
	old, lost := []string{"1", "2", "3", "4"}, []string{"1", "2", "3", "4", "a"}
	proof := NewFreshnessProof()
	proof.AddResponse(attestingResponse("a", 2, 5, lost...), 7, 10)
	proof.AddResponse(attestingResponse("4", 2, 5, lost...), 7, 10)
	// The leader of term 3 has truncated the uncommitted membership from the log of member 3.
	proof.AddResponse(attestingResponse("3", 1, 1, old...), 7, 20)
	if at := proof.FreshUntil(7); at != 0 {
		t.Fatalf("two of five members (named a and 4) attested an uncommitted membership, and member 3 an earlier one of four members: FreshUntil of plan version 7 is %v, want 0, because members 1 and 2, a quorum of the later committed membership {1,2,3}, may have acknowledged a newer plan", at)
	}
}
