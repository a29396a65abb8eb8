package agent

import (
	"encoding/json"
	"strconv"
	"testing"
	"time"

	"pebbleloom/internal/control/clustermembership"
	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/fleet"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

// versionCodec reads plans that are nothing but their version.
type versionCodec struct{ reads int }

func (c *versionCodec) Read(body []byte) (*routingconfig.Plan, error) {
	c.reads++
	v, err := strconv.ParseUint(string(body), 10, 64)
	if err != nil {
		return nil, errs.WrapAs(err, errs.BadInput, "not a number")
	}
	return &routingconfig.Plan{Version: v}, nil
}

func (*versionCodec) Merge(_, sent []byte, _ bool) ([]byte, uint64, error) { return sent, 0, nil }

func planDocument(v uint64) *wire.Document {
	return &wire.Document{Key: routingconfig.DocumentKey, Version: v, Body: []byte(strconv.FormatUint(v, 10))}
}

func newDocument(t *testing.T, key string, v uint64, body any) *wire.Document {
	t.Helper()
	b, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	return &wire.Document{Key: key, Version: v, Body: b}
}

func newFollowResponse(member string, same bool, docs ...*wire.Document) *wire.FollowResponse {
	return &wire.FollowResponse{Member: member, NothingNewer: same, Members: threeMembers, MembersTerm: 1, MembersIndex: 1, Documents: docs}
}

const startTime = time.Hour

func newTestTable() *table { return newTable(settings.DefaultBounds(), &versionCodec{}, startTime) }

// In every order of the members' responses the version in use never decreases, no document is read twice,
// and a plan that was received is attested by its sender.
func TestPlanVersionNeverDecreases(t *testing.T) {
	type receivedResponse struct {
		response *wire.FollowResponse
		had      uint64
		at       time.Duration
	}
	responses := []receivedResponse{
		{newFollowResponse(threeMembers[0], true, planDocument(2)), 0, startTime + 1},
		{newFollowResponse(threeMembers[1], true, planDocument(5)), 2, startTime + 2},
		{newFollowResponse(threeMembers[2], true, planDocument(3)), 2, startTime + 3},
		{newFollowResponse(threeMembers[0], true), 3, startTime + 4},
		{newFollowResponse(threeMembers[1], true, planDocument(5)), 3, startTime + 5},
		{newFollowResponse(threeMembers[2], false, planDocument(5)), 3, startTime + 6},
	}
	everyOrder(responses, func(responses []receivedResponse) {
		state := newTestTable()
		newest := uint64(0)
		proof := time.Duration(0)
		for _, received := range responses {
			changed, err := state.applyResponse(received.response, received.had, received.at, startTime+10)
			reported := uint64(0)
			for _, d := range received.response.Documents {
				reported = d.Version
			}
			if err != nil || changed != (reported > newest) {
				t.Fatalf("%v: changed %v, %v", responses, changed, err)
			}
			newest = max(newest, reported)
			if newest > 0 && state.snapshot.Plan.Version != newest || state.versions[routingconfig.DocumentKey] != newest || state.snapshot.ProofAt < proof {
				t.Fatalf("%v: plan %v in use, %d reported, proof %v after %v", responses, state.snapshot.Plan, newest, state.snapshot.ProofAt, proof)
			}
			proof = state.snapshot.ProofAt
		}
		if proof != startTime+4 {
			t.Fatalf("%v: proof at %v in the end", responses, proof)
		}
	})
}

func TestUnreadablePlanGetsNoProof(t *testing.T) {
	state := newTestTable()
	state.applyResponse(newFollowResponse(threeMembers[0], true, planDocument(2)), 0, startTime+1, startTime+1)
	state.applyResponse(newFollowResponse(threeMembers[1], true), 2, startTime+2, startTime+2)
	bad := &wire.Document{Key: routingconfig.DocumentKey, Version: 3, Body: []byte("?")}
	if changed, err := state.applyResponse(newFollowResponse(threeMembers[0], true, bad), 2, startTime+3, startTime+3); !changed || err == nil {
		t.Fatalf("changed %v, error %v", changed, err)
	}
	state.applyResponse(newFollowResponse(threeMembers[1], true, bad), 2, startTime+4, startTime+4)
	state.applyResponse(newFollowResponse(threeMembers[2], true), 3, startTime+5, startTime+5)
	if state.snapshot.Plan.Version != 2 || state.snapshot.ProofAt != startTime+1 || state.versions[routingconfig.DocumentKey] != 3 {
		t.Fatalf("plan %d, proof %v, requests with %d", state.snapshot.Plan.Version, state.snapshot.ProofAt, state.versions[routingconfig.DocumentKey])
	}
	if r := state.codec.(*versionCodec).reads; r != 2 {
		t.Fatalf("%d reads", r)
	}
}

func TestDocumentsAreAppliedByKey(t *testing.T) {
	state := newTestTable()
	before := state.snapshot
	workers := fleet.WorkerList{Workers: []fleet.Worker{{ID: "w1", Service: "s"}}}
	placed := newDocument(t, fleet.PlacementKey+"s", 4, map[string]any{})
	if _, err := state.applyResponse(newFollowResponse(threeMembers[0], true, newDocument(t, fleet.WorkersKey, 3, workers), placed, newDocument(t, "strange", 9, 1), newDocument(t, fleet.PlacementKey, 9, 1)), 0, startTime, startTime); err != nil {
		t.Fatal(err)
	}
	if state.snapshot.Workers[0].ID != "w1" || state.snapshot.Placements["s"] == nil || len(state.snapshot.Placements) != 1 || before.Placements != nil {
		t.Fatalf("%+v, before %+v", state.snapshot, before)
	}
	got := map[string]uint64{}
	request := state.newRequest(time.Second)
	for _, h := range request.Known {
		got[h.Key] = h.Version
	}
	if len(request.Known) != 5 || got[fleet.WorkersKey] != 3 || got[fleet.PlacementKey+"s"] != 4 || got[fleet.PlacementKey] != 0 || request.ProofKey != routingconfig.DocumentKey || request.MaxWaitNs != 1e9 {
		t.Fatalf("requests %v", request)
	}
	published := state.snapshot
	state.applyResponse(newFollowResponse(threeMembers[0], true, newDocument(t, fleet.PlacementKey+"t", 1, map[string]any{}), newDocument(t, fleet.WorkersKey, 2, fleet.WorkerList{})), 0, startTime, startTime)
	if len(state.snapshot.Placements) != 2 || len(published.Placements) != 1 || len(state.snapshot.Workers) != 1 {
		t.Fatal("the published snapshot has changed, or the workers' version decreased")
	}
}

func TestWhenWeightsWereNamed(t *testing.T) {
	state := newTestTable()
	bounds := state.bounds
	nameWeights := func(v uint64, now time.Duration, named map[string]uint64) {
		state.applyResponse(newFollowResponse(threeMembers[0], true, newDocument(t, fleet.WeightsKey, v, fleet.Weights{Versions: named})), 1, now, now)
	}
	nameWeights(1, startTime, map[string]uint64{"m": 1})
	if at := state.snapshot.NamedAt["m"]; at != startTime-bounds.Weights(0.5) {
		t.Fatalf("weights that were named before the start count from %v", at)
	}
	now := startTime + time.Minute
	state.applyResponse(newFollowResponse(threeMembers[1], true, planDocument(1)), 0, now, now)
	state.applyResponse(newFollowResponse(threeMembers[0], true), 1, now, now)
	nameWeights(2, now+1, map[string]uint64{"m": 2, "n": 7})
	nameWeights(3, now+2, map[string]uint64{"m": 2, "n": 8})
	if a := state.snapshot.NamedAt; a["m"] != now+1 || a["n"] != now+2 {
		t.Fatalf("in contact: named at %v", a)
	}
	if earlier := state.snapshot.EarlierVersions; len(earlier["m"]) != 1 || earlier["m"][0].Version != 1 || len(earlier["n"]) != 1 || earlier["n"][0] != (fleet.NamedVersion{Version: 7, At: now + 1}) {
		t.Fatalf("superseding %v", earlier)
	}
	nameWeights(4, now+bounds.Config(2), map[string]uint64{"m": 3})
	if earlier := state.snapshot.EarlierVersions["m"]; len(earlier) != 2 || earlier[1] != (fleet.NamedVersion{Version: 2, At: now + 1}) {
		t.Fatalf("superseding %v", earlier)
	}
	if a := state.snapshot.NamedAt; a["m"] != now || len(a) != 1 {
		t.Fatalf("out of contact since %v: named at %v", now, a)
	}
	nameWeights(5, now+bounds.Weights(3), map[string]uint64{"m": 4})
	if a := state.snapshot.NamedAt; a["m"] != now+bounds.Weights(2.5) {
		t.Fatalf("out of contact for long: named at %v", a)
	}
	if earlier := state.snapshot.EarlierVersions["m"]; len(earlier) != 1 || earlier[0].Version != 3 {
		t.Fatalf("past the bound of version 3 those before say nothing: %v", earlier)
	}
	for v := uint64(5); v < 30; v++ { // one right after another: the bound of none is extended
		nameWeights(v+1, now+bounds.Weights(3)+time.Duration(v), map[string]uint64{"m": v})
	}
	if earlier := state.snapshot.EarlierVersions["m"]; len(earlier) != maxSuperseding || earlier[0].At != now {
		t.Fatalf("superseding %v", earlier)
	}
}

func membershipOf(edges int, dead int) (view clustermembership.View) {
	view.Nodes = append(view.Nodes, &wire.Node{Name: "archive/c", Role: clustermembership.RoleControlNode})
	for i := range edges {
		node := &wire.Node{Name: clustermembership.RoleNodeAgent + "/" + strconv.Itoa(i), Role: clustermembership.RoleNodeAgent}
		if i < dead {
			node.State = clustermembership.Dead
		}
		view.Nodes = append(view.Nodes, node)
	}
	return view
}

func TestEdgesThatLeftLatelyAreCounted(t *testing.T) {
	state := newTestTable()
	state.applyMembership(clustermembership.View{Nodes: []*wire.Node{{Name: "runner/0", Role: clustermembership.RoleNodeAgent}}}, startTime+state.bounds.Leave(1))
	if state.snapshot.EdgeCount != assumedEdges {
		t.Fatalf("alone: %d edges", state.snapshot.EdgeCount)
	}
	state = newTestTable()
	if state.applyMembership(membershipOf(3, 0), startTime); state.snapshot.EdgeCount != assumedEdges {
		t.Fatalf("just started: %d edges", state.snapshot.EdgeCount)
	}
	now := startTime + state.bounds.Leave(1)
	view := membershipOf(3, 0)
	if !state.applyMembership(view, now) || state.snapshot.EdgeCount != 3 || state.applyMembership(view, now) {
		t.Fatalf("%d edges", state.snapshot.EdgeCount)
	}
	prove := func() { state.snapshot.ProofAt = now }
	prove()
	state.applyMembership(membershipOf(3, 2), now)
	if state.snapshot.EdgeCount != 3 {
		t.Fatalf("just dead: %d edges", state.snapshot.EdgeCount)
	}
	now += state.bounds.Heal(edgeMemoryRatio) + 1
	if state.applyMembership(membershipOf(3, 2), now); state.snapshot.EdgeCount != 3 {
		t.Fatalf("out of contact with the control nodes: %d edges", state.snapshot.EdgeCount)
	}
	prove()
	if state.applyMembership(membershipOf(3, 2), now); state.snapshot.EdgeCount != 1 {
		t.Fatalf("dead for long: %d edges", state.snapshot.EdgeCount)
	}
	if state.applyMembership(membershipOf(3, 3), now+state.bounds.Heal(2*edgeMemoryRatio)); state.snapshot.EdgeCount != 1 {
		t.Fatalf("none left: %d edges", state.snapshot.EdgeCount)
	}
}
