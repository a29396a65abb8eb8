package agent

import (
	"testing"
	"time"

	"pebbleloom/internal/fleet"
	"pebbleloom/internal/wire"
)

// restoredMember is the only member of a group that was restored from the first of the three.
const restoredMember = "1:1/r"

const restoredGeneration = 1<<32 | 7

// restoredResponse is a response of the restored group's member, whose term is lower than that of the members that
// were given up.
func restoredResponse(docs ...*wire.Document) *wire.FollowResponse {
	return &wire.FollowResponse{Member: restoredMember, NothingNewer: true, Members: []string{restoredMember}, MembersTerm: 1, MembersIndex: 1,
		RestoreGeneration: restoredGeneration, Documents: docs}
}

// In every order of responses of the restored group and of the members that were given up: once the agent has heard of
// the restore, only the restored group's member proves anything, whatever the terms.
func TestRestoredGroupReplacesMembership(t *testing.T) {
	type receivedResponse struct {
		response    *wire.FollowResponse
		version     uint64
		requestedAt time.Duration
	}
	responses := []receivedResponse{
		{attestingResponse(threeMembers[0], 9, 1, threeMembers...), 7, 10},
		{attestingResponse(threeMembers[1], 9, 1, threeMembers...), 7, 20},
		{restoredResponse(), 5, 30},
		{attestingResponse(threeMembers[1], 9, 4, threeMembers...), 8, 40},
		{attestingResponse(threeMembers[2], 9, 4, threeMembers...), 8, 50},
		{restoredResponse(), 6, 35},
	}
	everyOrder(responses, func(order []receivedResponse) {
		proof, knowsRestore, before := NewFreshnessProof(), false, time.Duration(0)
		for _, received := range order {
			proof.AddResponse(received.response, received.version, received.requestedAt)
			knowsRestore = knowsRestore || received.response.RestoreGeneration > 0
			at := proof.FreshUntil(8)
			if knowsRestore && at > before && received.response.RestoreGeneration == 0 {
				t.Fatalf("%v: a member that was given up proves the plan up to %v", order, at)
			}
			before = at
		}
		if members := proof.Members(); len(members) != 1 || members[0] != restoredMember || proof.Generation() != restoredGeneration {
			t.Fatalf("%v: members %v of generation %d", order, members, proof.Generation())
		}
		if before < 35 {
			t.Fatalf("%v: proof at %v in the end", order, before)
		}
	})
}

// An agent that hears of a restored group takes over its documents, also where they are older than what it has: the
// group may have lost those. What members that were given up still send is ignored.
func TestRestoredGroupReplacesDocuments(t *testing.T) {
	state := newTestTable()
	placement := newDocument(t, fleet.PlacementKey+"lost", 3, map[string]any{})
	weights := newDocument(t, fleet.WeightsKey, 9, fleet.Weights{Versions: map[string]uint64{"m": 4}})
	if _, err := state.applyResponse(newFollowResponse(threeMembers[0], true, planDocument(7), weights, placement), 0, startTime+1, startTime+1); err != nil {
		t.Fatal(err)
	}
	state.applyResponse(newFollowResponse(threeMembers[1], true), 7, startTime+2, startTime+2)
	provedAt := state.snapshot.ProofAt
	if provedAt != startTime+1 {
		t.Fatalf("proved at %v", provedAt)
	}
	older := newDocument(t, fleet.WeightsKey, 8, fleet.Weights{Versions: map[string]uint64{"m": 3}})
	changed, err := state.applyResponse(restoredResponse(planDocument(6), older), 7, startTime+3, startTime+3)
	if err != nil || !changed || state.snapshot.Plan.Version != 6 || state.snapshot.NamedVersions["m"] != 3 || len(state.snapshot.Placements) != 0 {
		t.Fatalf("after the restore: %v, %v, %+v", changed, err, state.snapshot)
	}
	if state.snapshot.ProofAt != startTime+3 {
		t.Errorf("the restored plan is proved at %v", state.snapshot.ProofAt)
	}
	if request := state.newRequest(0); request.RestoreGeneration != restoredGeneration || requestedVersion(request) != 6 {
		t.Errorf("next request: %v", request)
	}
	for _, member := range threeMembers {
		if changed, err := state.applyResponse(newFollowResponse(member, true, planDocument(8)), 6, startTime+9, startTime+9); changed || err != nil {
			t.Errorf("%s, which was given up, changes documents: %v", member, err)
		}
	}
	if state.snapshot.Plan.Version != 6 || state.snapshot.ProofAt != startTime+3 {
		t.Errorf("plan %d is proved at %v by members that were given up", state.snapshot.Plan.Version, state.snapshot.ProofAt)
	}
}
