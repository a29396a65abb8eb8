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

// numbers is a form of plans that holds nothing but their number.
type numbers struct{ reads int }

func (c *numbers) Read(body []byte) (*routingconfig.Plan, error) {
	c.reads++
	v, err := strconv.ParseUint(string(body), 10, 64)
	if err != nil {
		return nil, errs.WrapAs(err, errs.BadInput, "not a number")
	}
	return &routingconfig.Plan{Version: v}, nil
}

func (*numbers) Merge(_, sent []byte, _ bool) ([]byte, uint64, error) { return sent, 0, nil }

func planDoc(v uint64) *wire.Document {
	return &wire.Document{Key: routingconfig.DocumentKey, Version: v, Body: []byte(strconv.FormatUint(v, 10))}
}

func doc(t *testing.T, key string, v uint64, body any) *wire.Document {
	t.Helper()
	b, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	return &wire.Document{Key: key, Version: v, Body: b}
}

func newFollowResponse(member string, same bool, docs ...*wire.Document) *wire.FollowResponse {
	return &wire.FollowResponse{Member: member, NothingNewer: same, Members: abc, MembersTerm: 1, MembersIndex: 1, Documents: docs}
}

const start = time.Hour

func fresh() *table { return newTable(settings.DefaultBounds(), &numbers{}, start) }

// In every order in which members report plans, the one in use never goes back, nothing is read
// twice, and a plan that was received is attested by its sender.
func TestPlanNeverGoesBack(t *testing.T) {
	type heard struct {
		response *wire.FollowResponse
		had      uint64
		at       time.Duration
	}
	l := []heard{
		{newFollowResponse(abc[0], true, planDoc(2)), 0, start + 1},
		{newFollowResponse(abc[1], true, planDoc(5)), 2, start + 2},
		{newFollowResponse(abc[2], true, planDoc(3)), 2, start + 3},
		{newFollowResponse(abc[0], true), 3, start + 4},
		{newFollowResponse(abc[1], true, planDoc(5)), 3, start + 5},
		{newFollowResponse(abc[2], false, planDoc(5)), 3, start + 6},
	}
	everyOrder(l, func(l []heard) {
		x := fresh()
		top := uint64(0)
		proof := time.Duration(0)
		for _, h := range l {
			news, err := x.applyResponse(h.response, h.had, h.at, start+10)
			reported := uint64(0)
			for _, d := range h.response.Documents {
				reported = d.Version
			}
			if err != nil || news != (reported > top) {
				t.Fatalf("%v: news %v, %v", l, news, err)
			}
			top = max(top, reported)
			if top > 0 && x.snapshot.Plan.Version != top || x.versions[routingconfig.DocumentKey] != top || x.snapshot.ProofAt < proof {
				t.Fatalf("%v: plan %v in use, %d reported, proof %v after %v", l, x.snapshot.Plan, top, x.snapshot.ProofAt, proof)
			}
			proof = x.snapshot.ProofAt
		}
		if proof != start+4 {
			t.Fatalf("%v: proof at %v in the end", l, proof)
		}
	})
}

func TestPlanThatCannotBeReadGetsNoProof(t *testing.T) {
	x := fresh()
	x.applyResponse(newFollowResponse(abc[0], true, planDoc(2)), 0, start+1, start+1)
	x.applyResponse(newFollowResponse(abc[1], true), 2, start+2, start+2)
	bad := &wire.Document{Key: routingconfig.DocumentKey, Version: 3, Body: []byte("?")}
	if news, err := x.applyResponse(newFollowResponse(abc[0], true, bad), 2, start+3, start+3); !news || err == nil {
		t.Fatalf("news %v, error %v", news, err)
	}
	x.applyResponse(newFollowResponse(abc[1], true, bad), 2, start+4, start+4)
	x.applyResponse(newFollowResponse(abc[2], true), 3, start+5, start+5)
	if x.snapshot.Plan.Version != 2 || x.snapshot.ProofAt != start+1 || x.versions[routingconfig.DocumentKey] != 3 {
		t.Fatalf("plan %d, proof %v, asks with %d", x.snapshot.Plan.Version, x.snapshot.ProofAt, x.versions[routingconfig.DocumentKey])
	}
	if r := x.codec.(*numbers).reads; r != 2 {
		t.Fatalf("%d reads", r)
	}
}

func TestDocumentsFindTheirPlace(t *testing.T) {
	x := fresh()
	before := x.snapshot
	ws := fleet.WorkerList{Workers: []fleet.Worker{{ID: "w1", Service: "s"}}}
	place := doc(t, fleet.PlacementKey+"s", 4, map[string]any{})
	if _, err := x.applyResponse(newFollowResponse(abc[0], true, doc(t, fleet.WorkersKey, 3, ws), place, doc(t, "strange", 9, 1), doc(t, fleet.PlacementKey, 9, 1)), 0, start, start); err != nil {
		t.Fatal(err)
	}
	if x.snapshot.Workers[0].ID != "w1" || x.snapshot.Placements["s"] == nil || len(x.snapshot.Placements) != 1 || before.Placements != nil {
		t.Fatalf("%+v, before %+v", x.snapshot, before)
	}
	got := map[string]uint64{}
	a := x.newRequest(time.Second)
	for _, h := range a.Known {
		got[h.Key] = h.Version
	}
	if len(a.Known) != 5 || got[fleet.WorkersKey] != 3 || got[fleet.PlacementKey+"s"] != 4 || got[fleet.PlacementKey] != 0 || a.ProofKey != routingconfig.DocumentKey || a.MaxWaitNs != 1e9 {
		t.Fatalf("asks %v", a)
	}
	shown := x.snapshot
	x.applyResponse(newFollowResponse(abc[0], true, doc(t, fleet.PlacementKey+"t", 1, map[string]any{}), doc(t, fleet.WorkersKey, 2, fleet.WorkerList{})), 0, start, start)
	if len(x.snapshot.Placements) != 2 || len(shown.Placements) != 1 || len(x.snapshot.Workers) != 1 {
		t.Fatal("what was shown has changed, or workers went back")
	}
}

func TestWhenWeightsWereNamed(t *testing.T) {
	x := fresh()
	b := x.bounds
	name := func(v uint64, now time.Duration, named map[string]uint64) {
		x.applyResponse(newFollowResponse(abc[0], true, doc(t, fleet.WeightsKey, v, fleet.Weights{Named: named})), 1, now, now)
	}
	name(1, start, map[string]uint64{"m": 1})
	if at := x.snapshot.NamedAt["m"]; at != start-b.Weights(0.5) {
		t.Fatalf("a naming found at the start counts from %v", at)
	}
	now := start + time.Minute
	x.applyResponse(newFollowResponse(abc[1], true, planDoc(1)), 0, now, now)
	x.applyResponse(newFollowResponse(abc[0], true), 1, now, now)
	name(2, now+1, map[string]uint64{"m": 2, "n": 7})
	name(3, now+2, map[string]uint64{"m": 2, "n": 8})
	if a := x.snapshot.NamedAt; a["m"] != now+1 || a["n"] != now+2 {
		t.Fatalf("in touch: named at %v", a)
	}
	if l := x.snapshot.Superseding; len(l["m"]) != 1 || l["m"][0].Version != 1 || len(l["n"]) != 1 || l["n"][0] != (fleet.NamedVersion{Version: 7, At: now + 1}) {
		t.Fatalf("superseding %v", l)
	}
	name(4, now+b.Config(2), map[string]uint64{"m": 3})
	if l := x.snapshot.Superseding["m"]; len(l) != 2 || l[1] != (fleet.NamedVersion{Version: 2, At: now + 1}) {
		t.Fatalf("superseding %v", l)
	}
	if a := x.snapshot.NamedAt; a["m"] != now || len(a) != 1 {
		t.Fatalf("out of touch since %v: named at %v", now, a)
	}
	name(5, now+b.Weights(3), map[string]uint64{"m": 4})
	if a := x.snapshot.NamedAt; a["m"] != now+b.Weights(2.5) {
		t.Fatalf("out of touch for long: named at %v", a)
	}
	if l := x.snapshot.Superseding["m"]; len(l) != 1 || l[0].Version != 3 {
		t.Fatalf("past the bound of version 3 those before say nothing: %v", l)
	}
	for v := uint64(5); v < 30; v++ { // one right after another: none gets more time than it had
		name(v+1, now+b.Weights(3)+time.Duration(v), map[string]uint64{"m": v})
	}
	if l := x.snapshot.Superseding["m"]; len(l) != maxSuperseding || l[0].At != now {
		t.Fatalf("superseding %v", l)
	}
}

func nodes(edges int, gone int) (v clustermembership.View) {
	v.Nodes = append(v.Nodes, &wire.Node{Name: "archive/c", Role: clustermembership.RoleControlNode})
	for i := range edges {
		n := &wire.Node{Name: clustermembership.RoleNodeAgent + "/" + strconv.Itoa(i), Role: clustermembership.RoleNodeAgent}
		if i < gone {
			n.State = clustermembership.Dead
		}
		v.Nodes = append(v.Nodes, n)
	}
	return v
}

func TestEdgesAreCountedWithThoseLatelyGone(t *testing.T) {
	x := fresh()
	x.applyView(clustermembership.View{Nodes: []*wire.Node{{Name: "runner/0", Role: clustermembership.RoleNodeAgent}}}, start+x.bounds.Leave(1))
	if x.snapshot.Edges != assumedEdges {
		t.Fatalf("alone: %d edges", x.snapshot.Edges)
	}
	x = fresh()
	if x.applyView(nodes(3, 0), start); x.snapshot.Edges != assumedEdges {
		t.Fatalf("just begun: %d edges", x.snapshot.Edges)
	}
	now := start + x.bounds.Leave(1)
	v := nodes(3, 0)
	if !x.applyView(v, now) || x.snapshot.Edges != 3 || x.applyView(v, now) {
		t.Fatalf("%d edges", x.snapshot.Edges)
	}
	prove := func() { x.snapshot.ProofAt = now }
	prove()
	x.applyView(nodes(3, 2), now)
	if x.snapshot.Edges != 3 {
		t.Fatalf("just gone: %d edges", x.snapshot.Edges)
	}
	now += x.bounds.Heal(edgeMemoryRatio) + 1
	if x.applyView(nodes(3, 2), now); x.snapshot.Edges != 3 {
		t.Fatalf("out of touch with the core: %d edges", x.snapshot.Edges)
	}
	prove()
	if x.applyView(nodes(3, 2), now); x.snapshot.Edges != 1 {
		t.Fatalf("long gone: %d edges", x.snapshot.Edges)
	}
	if x.applyView(nodes(3, 3), now+x.bounds.Heal(2*edgeMemoryRatio)); x.snapshot.Edges != 1 {
		t.Fatalf("none left: %d edges", x.snapshot.Edges)
	}
}
