package agent

import (
	"testing"
	"time"

	"pebbleloom/internal/fleet"
	"pebbleloom/internal/wire"
)

// restoredMember is the only member of the group that was restored from the disk of threeMembers[0].
const restoredMember = "1:1/r"

// restoredGeneration is the restore generation of the restored group; the group before the restore has generation 0.
const restoredGeneration = 1<<32 | 7

// restoredResponse returns a response of the restored group's only member. Its term is lower than that of the
// members that the restore abandoned.
func restoredResponse(docs ...*wire.Document) *wire.FollowResponse {
	return &wire.FollowResponse{Member: restoredMember, NothingNewer: true, Members: []string{restoredMember}, MembersTerm: 1, MembersIndex: 1,
		RestoreGeneration: restoredGeneration, Documents: docs}
}

// Tries every order of responses from the restored group and from members that the restore abandoned. Once the
// agent has received a response of the restored group, only that group's member may advance the proof, even
// though the abandoned members report higher terms.
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
	forEachPermutation(responses, func(order []receivedResponse) {
		proof, knowsRestore, before := NewFreshnessProof(), false, time.Duration(0)
		for _, received := range order {
			proof.AddResponse(received.response, received.version, received.requestedAt)
			knowsRestore = knowsRestore || received.response.RestoreGeneration > 0
			at := proof.FreshUntil(8)
			if knowsRestore && at > before && received.response.RestoreGeneration == 0 {
				t.Fatalf("responses %v: that of member %s, which is not in the restored consensus group, advanced the freshness proof from %v to %v", order, received.response.Member, before, at)
			}
			before = at
		}
		if members := proof.Members(); len(members) != 1 || members[0] != restoredMember || proof.Generation() != restoredGeneration {
			t.Fatalf("responses %v: got consensus group members %v of restore generation %d, want only %s of generation %d", order, members, proof.Generation(), restoredMember, uint64(restoredGeneration))
		}
		if before < 35 {
			t.Fatalf("after all responses of the restored group and abandoned members, in order %v: freshness proof at %v, want at least 35ns", order, before)
		}
	})
}

// An agent that receives a response of a restored group adopts its documents, even if they are older than its
// own, because the group may have lost the newer versions. Later responses of abandoned members are ignored.
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
		t.Fatalf("instant of the freshness proof before the restore of the consensus group: got %v, want %v", provedAt, startTime+1)
	}
	older := newDocument(t, fleet.WeightsKey, 8, fleet.Weights{Versions: map[string]uint64{"m": 3}})
	changed, err := state.applyResponse(restoredResponse(planDocument(6), older), 7, startTime+3, startTime+3)
	if err != nil || !changed || state.snapshot.Plan.Version != 6 || state.snapshot.TargetVersions["m"] != 3 || len(state.snapshot.Placements) != 0 {
		t.Fatalf("first response of the restored consensus group: got changed %v, error %v, snapshot %+v; want changed, plan version 6, weights version 3 and no placements", changed, err, state.snapshot)
	}
	if state.snapshot.ProofAt != startTime+3 {
		t.Errorf("instant of the freshness proof for the restored group's plan: got %v, want %v", state.snapshot.ProofAt, startTime+3)
	}
	if request := state.newRequest(0); request.RestoreGeneration != restoredGeneration || requestedVersion(request) != 6 {
		t.Errorf("request to a control node after the restore of the consensus group: got %v, want restore generation %d and plan version 6", request, uint64(restoredGeneration))
	}
	for _, member := range threeMembers {
		if changed, err := state.applyResponse(newFollowResponse(member, true, planDocument(8)), 6, startTime+9, startTime+9); changed || err != nil {
			t.Errorf("response of member %s, which is not in the restored consensus group: got changed %v, error %v; want it to be ignored", member, changed, err)
		}
	}
	if state.snapshot.Plan.Version != 6 || state.snapshot.ProofAt != startTime+3 {
		t.Errorf("after responses of members that are not in the restored consensus group: got plan version %d with freshness proof at %v, want version 6 with freshness proof at %v", state.snapshot.Plan.Version, state.snapshot.ProofAt, startTime+3)
	}
}
