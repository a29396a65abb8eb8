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

// versionCodec decodes plans whose body is just their version as a decimal number.
type versionCodec struct{ reads int }

func (c *versionCodec) Read(body []byte) (*routingconfig.Plan, error) {
	c.reads++
	v, err := strconv.ParseUint(string(body), 10, 64)
	if err != nil {
		return nil, errs.WrapAs(err, errs.BadInput, "parse plan version")
	}
	return &routingconfig.Plan{Version: v}, nil
}

func (*versionCodec) Merge(_, sent []byte, _ bool) ([]byte, uint64, error) { return sent, 0, nil }

func (*versionCodec) Tenants([]byte) ([]routingconfig.Tenant, error) { return nil, nil }

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

func newFollowResponse(member string, nothingNewer bool, docs ...*wire.Document) *wire.FollowResponse {
	return &wire.FollowResponse{Member: member, NothingNewer: nothingNewer, Members: threeMembers, MembersTerm: 1, MembersIndex: 1, Documents: docs}
}

const startTime = time.Hour

func newTestTable() *table { return newTable(settings.DefaultBounds(), &versionCodec{}, startTime) }

// Tries every order of the members' responses: the plan version in use and the instant of the freshness proof never
// decrease, only newer plans count as a change, and a member that sends a plan also attests that it has no newer one.
func TestPlanVersionNeverDecreases(t *testing.T) {
	type receivedResponse struct {
		response    *wire.FollowResponse
		requested   uint64
		requestedAt time.Duration
	}
	responses := []receivedResponse{
		{newFollowResponse(threeMembers[0], true, planDocument(2)), 0, startTime + 1},
		{newFollowResponse(threeMembers[1], true, planDocument(5)), 2, startTime + 2},
		{newFollowResponse(threeMembers[2], true, planDocument(3)), 2, startTime + 3},
		{newFollowResponse(threeMembers[0], true), 3, startTime + 4},
		{newFollowResponse(threeMembers[1], true, planDocument(5)), 3, startTime + 5},
		{newFollowResponse(threeMembers[2], false, planDocument(5)), 3, startTime + 6},
	}
	forEachPermutation(responses, func(responses []receivedResponse) {
		state := newTestTable()
		newest := uint64(0)
		proof := time.Duration(0)
		for _, received := range responses {
			changed, err := state.applyResponse(received.response, received.requested, received.requestedAt, startTime+10)
			reported := uint64(0)
			for _, d := range received.response.Documents {
				reported = d.Version
			}
			if err != nil || changed != (reported > newest) {
				t.Fatalf("responses %v, at the one with plan %d (0: none) after newest plan %d: got changed %v, error %v; want changed only for a newer plan and no error", responses, reported, newest, changed, err)
			}
			newest = max(newest, reported)
			if newest > 0 && state.snapshot.Plan.Version != newest || state.versions[routingconfig.DocumentKey] != newest || state.snapshot.ProofAt < proof {
				t.Fatalf("responses %v: got plan %v with freshness proof at %v, want plan version %d with freshness proof at %v or later", responses, state.snapshot.Plan, state.snapshot.ProofAt, newest, proof)
			}
			proof = state.snapshot.ProofAt
		}
		if proof != startTime+4 {
			t.Fatalf("after all responses, in order %v: freshness proof at %v, want %v", responses, proof, startTime+4)
		}
	})
}

func TestUnreadablePlanGetsNoProof(t *testing.T) {
	state := newTestTable()
	state.applyResponse(newFollowResponse(threeMembers[0], true, planDocument(2)), 0, startTime+1, startTime+1)
	state.applyResponse(newFollowResponse(threeMembers[1], true), 2, startTime+2, startTime+2)
	bad := &wire.Document{Key: routingconfig.DocumentKey, Version: 3, Body: []byte("?")}
	if changed, err := state.applyResponse(newFollowResponse(threeMembers[0], true, bad), 2, startTime+3, startTime+3); !changed || err == nil {
		t.Fatalf("response with an undecodable plan: got changed %v, error %v; want a change and an error", changed, err)
	}
	state.applyResponse(newFollowResponse(threeMembers[1], true, bad), 2, startTime+4, startTime+4)
	state.applyResponse(newFollowResponse(threeMembers[2], true), 3, startTime+5, startTime+5)
	if state.snapshot.Plan.Version != 2 || state.snapshot.ProofAt != startTime+1 || state.versions[routingconfig.DocumentKey] != 3 {
		t.Fatalf("after an undecodable plan of version 3: got plan version %d in use with freshness proof at %v and version %d in requests, want version 2 with freshness proof at %v and version 3 in requests",
			state.snapshot.Plan.Version, state.snapshot.ProofAt, state.versions[routingconfig.DocumentKey], startTime+1)
	}
	if r := state.codec.(*versionCodec).reads; r != 2 {
		t.Fatalf("routing plans decoded: got %d, want 2 (an undecodable plan must not be decoded again)", r)
	}
}

func TestDocumentsAreAppliedByKey(t *testing.T) {
	state := newTestTable()
	before := state.snapshot
	workers := fleet.WorkerList{Workers: []fleet.Worker{{ID: "w1", Service: "s"}}}
	placementDocument := newDocument(t, fleet.PlacementKey+"s", 4, map[string]any{})
	if _, err := state.applyResponse(newFollowResponse(threeMembers[0], true, newDocument(t, fleet.WorkersKey, 3, workers), placementDocument, newDocument(t, "unknown-key", 9, 1), newDocument(t, fleet.PlacementKey, 9, 1)), 0, startTime, startTime); err != nil {
		t.Fatal(err)
	}
	if state.snapshot.Workers[0].ID != "w1" || state.snapshot.Placements["s"] == nil || len(state.snapshot.Placements) != 1 || before.Placements != nil {
		t.Fatalf("response with a list of workers and a placement: got snapshot %+v (copy taken before: %+v), want worker w1 and one placement, and the copy unchanged", state.snapshot, before)
	}
	got := map[string]uint64{}
	request := state.newRequest(time.Second)
	for _, known := range request.Known {
		got[known.Key] = known.Version
	}
	if len(request.Known) != 5 || got[fleet.WorkersKey] != 3 || got[fleet.PlacementKey+"s"] != 4 || got[fleet.PlacementKey] != 0 || request.ProofKey != routingconfig.DocumentKey || request.MaxWaitNs != 1e9 {
		t.Fatalf("next request to a control node: got %v, want the versions of five known documents (3 of the list of workers, 4 of the placement of service s), the plan as the document to prove fresh, and a wait of 1 s", request)
	}
	published := state.snapshot
	state.applyResponse(newFollowResponse(threeMembers[0], true, newDocument(t, fleet.PlacementKey+"t", 1, map[string]any{}), newDocument(t, fleet.WorkersKey, 2, fleet.WorkerList{})), 0, startTime, startTime)
	if len(state.snapshot.Placements) != 2 || len(published.Placements) != 1 || len(state.snapshot.Workers) != 1 {
		t.Fatalf("response with a second placement and an older list of workers: got %d placements, %d in the published copy, %d workers; want 2, 1 and 1 (published copy unchanged, older list of workers ignored)",
			len(state.snapshot.Placements), len(published.Placements), len(state.snapshot.Workers))
	}
}

// TargetSetAt is the instant at which a version of the weights was configured, from which the weights bound (the longest
// time for which requests may still start on superseded weights) is counted. An agent that was out of contact with the
// control nodes when a version was configured uses an earlier instant than that of the response, and the bound of an
// earlier version is never extended.
func TestWhenWeightsWereNamed(t *testing.T) {
	state := newTestTable()
	bounds := state.bounds
	configureWeights := func(v uint64, now time.Duration, named map[string]uint64) {
		state.applyResponse(newFollowResponse(threeMembers[0], true, newDocument(t, fleet.WeightsKey, v, fleet.Weights{Versions: named})), 1, now, now)
	}
	configureWeights(1, startTime, map[string]uint64{"m": 1})
	if at := state.snapshot.TargetSetAt["m"]; at != startTime-bounds.Weights(0.5) {
		t.Fatalf("instant that counts as the configuration of weights that were configured before the agent started: got %v, want %v", at, startTime-bounds.Weights(0.5))
	}
	now := startTime + time.Minute
	state.applyResponse(newFollowResponse(threeMembers[1], true, planDocument(1)), 0, now, now)
	state.applyResponse(newFollowResponse(threeMembers[0], true), 1, now, now)
	configureWeights(2, now+1, map[string]uint64{"m": 2, "n": 7})
	configureWeights(3, now+2, map[string]uint64{"m": 2, "n": 8})
	if namedAt := state.snapshot.TargetSetAt; namedAt["m"] != now+1 || namedAt["n"] != now+2 {
		t.Fatalf("instants of configuration of weights, by model, with the agent in contact with the control nodes: got %v, want %v for m and %v for n", namedAt, now+1, now+2)
	}
	if earlier := state.snapshot.EarlierVersions; len(earlier["m"]) != 1 || earlier["m"][0].Version != 1 || len(earlier["n"]) != 1 || earlier["n"][0] != (fleet.TargetVersion{Version: 7, At: now + 1}) {
		t.Fatalf("earlier weights versions after those of models m and n changed once: got %v, want version 1 of m and version 7 of n, configured at %v", earlier, now+1)
	}
	configureWeights(4, now+bounds.Config(2), map[string]uint64{"m": 3})
	if earlier := state.snapshot.EarlierVersions["m"]; len(earlier) != 2 || earlier[1] != (fleet.TargetVersion{Version: 2, At: now + 1}) {
		t.Fatalf("earlier weights versions of model m after it changed twice: got %v, want versions 1 and 2, the latter configured at %v", earlier, now+1)
	}
	if namedAt := state.snapshot.TargetSetAt; namedAt["m"] != now || len(namedAt) != 1 {
		t.Fatalf("instants of configuration of weights, by model, with the agent out of contact with the control nodes since %v: got %v, want that instant for m and no other model", now, namedAt)
	}
	configureWeights(5, now+bounds.Weights(3), map[string]uint64{"m": 4})
	if namedAt := state.snapshot.TargetSetAt; namedAt["m"] != now+bounds.Weights(2.5) {
		t.Fatalf("instants of configuration of weights, by model, with the agent out of contact for three times as long as requests may start on superseded weights: got %v, want %v for m", namedAt, now+bounds.Weights(2.5))
	}
	if earlier := state.snapshot.EarlierVersions["m"]; len(earlier) != 1 || earlier[0].Version != 3 {
		t.Fatalf("earlier weights versions of model m when requests may still start on version 3 but not on older ones: got %v, want version 3 alone", earlier)
	}
	for v := uint64(5); v < 30; v++ { // changes the weights in quick succession: dropping old versions must not extend the weights bound of any other
		configureWeights(v+1, now+bounds.Weights(3)+time.Duration(v), map[string]uint64{"m": v})
	}
	if earlier := state.snapshot.EarlierVersions["m"]; len(earlier) != maxEarlierVersions || earlier[0].At != now {
		t.Fatalf("earlier weights versions of model m after 25 more changes: got %v, want %d versions, the oldest configured at %v", earlier, maxEarlierVersions, now)
	}
}

// membershipOf returns a cluster membership of one control node and some edge machines, the first of which are dead.
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

// An edge machine that died recently is still counted, and so is one that died earlier while this node has no
// contact to the control nodes: a partitioned node considers all others dead.
func TestEdgesThatLeftLatelyAreCounted(t *testing.T) {
	state := newTestTable()
	state.applyMembership(clustermembership.View{Nodes: []*wire.Node{{Name: "runner/0", Role: clustermembership.RoleNodeAgent}}}, startTime+state.bounds.Leave(1))
	if state.snapshot.EdgeCount != assumedEdges {
		t.Fatalf("edge machines counted by a node that knows no control node: got %d, want the assumed %d", state.snapshot.EdgeCount, assumedEdges)
	}
	state = newTestTable()
	if state.applyMembership(membershipOf(3, 0), startTime); state.snapshot.EdgeCount != assumedEdges {
		t.Fatalf("edge machines counted right after the start: got %d, want the assumed %d", state.snapshot.EdgeCount, assumedEdges)
	}
	now := startTime + state.bounds.Leave(1)
	view := membershipOf(3, 0)
	if !state.applyMembership(view, now) || state.snapshot.EdgeCount != 3 || state.applyMembership(view, now) {
		t.Fatalf("edge machines counted after joining: got %d, want 3, and no change when the same membership is applied again", state.snapshot.EdgeCount)
	}
	prove := func() { state.snapshot.ProofAt = now }
	prove()
	state.applyMembership(membershipOf(3, 2), now)
	if state.snapshot.EdgeCount != 3 {
		t.Fatalf("edge machines counted right after two of three died: got %d, want 3", state.snapshot.EdgeCount)
	}
	now += state.bounds.Recovery(edgeMemoryRatio) + 1
	if state.applyMembership(membershipOf(3, 2), now); state.snapshot.EdgeCount != 3 {
		t.Fatalf("edge machines counted without contact to the control nodes, long after two of three died: got %d, want 3", state.snapshot.EdgeCount)
	}
	prove()
	if state.applyMembership(membershipOf(3, 2), now); state.snapshot.EdgeCount != 1 {
		t.Fatalf("edge machines counted with contact to the control nodes, long after two of three died: got %d, want 1", state.snapshot.EdgeCount)
	}
	if state.applyMembership(membershipOf(3, 3), now+state.bounds.Recovery(2*edgeMemoryRatio)); state.snapshot.EdgeCount != 1 {
		t.Fatalf("edge machines counted after all died: got %d, want the minimum of 1", state.snapshot.EdgeCount)
	}
}
