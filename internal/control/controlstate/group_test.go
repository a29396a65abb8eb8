package controlstate

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/fleet"
	"pebbleloom/internal/wire"
)

func (g *testCluster) members() []string {
	var x *publishedView
	for _, n := range g.nodes {
		if s := n.shards[0].published.current(); s.isLeader && (x == nil || s.term > x.term) {
			x = s
		}
	}
	if x == nil {
		return nil
	}
	return x.members
}

func (g *testCluster) leader() int {
	for i := 1; i < 9; i++ {
		if n := g.nodes[g.addr(i)]; n != nil && n.shards[0].published.current().isLeader {
			return i
		}
	}
	return 0
}

// Three found the group, a fourth waits; a plan is taken at any of them, read back at any of
// them, and told to whoever follows. The same again is done again, another body on an old base
// is a conflict, and what is invalid is named.
func TestAGroupTakesPlans(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, ctx := newTestCluster(t), context.Background()
		for i := range 4 {
			g.start(i+1, true)
		}
		defer g.stopAll()
		d := g.waitUntil("an leader", 5*time.Second, func() bool { return len(g.members()) == 3 })
		t.Log("an leader after", d)
		a, b, spare := g.nodes[g.addr(1)], g.nodes[g.addr(2)], g.nodes[g.addr(4)]
		held := make(chan *wire.FollowResponse)
		ask := &wire.FollowRequest{Known: []*wire.KnownVersion{{Key: routingconfig.DocumentKey}, {Key: fleet.WeightsKey}, {Key: fleet.PlacementKey}}, MaxWaitNs: uint64(10 * time.Second), ProofKey: routingconfig.DocumentKey}
		go func() { x, _ := b.Follow(ctx, ask); held <- x }()
		putPlan := func(i int, n *Node) {
			if v, err := n.PutRoutingConfig(ctx, uint64(i*2), body(uint64(i*2+2), "x"), i > 0); err != nil || v != uint64(i*2+2) {
				t.Fatalf("plan %d: %d, %v", i, v, err)
			}
		}
		putPlan(0, a)
		if x := <-held; len(x.Documents) != 1 || x.Documents[0].Version != 2 || len(x.Members) != 3 {
			t.Errorf("what a follower was told: %v", x)
		}
		putPlan(1, b)
		putPlan(2, spare)
		for _, n := range g.nodes {
			if b, v, err := n.ReadRoutingConfig(ctx); err != nil || v != 6 || !strings.Contains(string(b), `"x+x+x"`) {
				t.Errorf("read back: %s, %d, %v", b, v, err)
			}
			if v, err := n.PutRoutingConfig(ctx, 2, body(4, "x"), true); err != nil || v != 4 {
				t.Errorf("the same again, later: %d, %v", v, err)
			}
		}
		for _, c := range []struct {
			base uint64
			body string
			kind *errs.Kind
		}{{4, `{"version":9}`, errs.Conflict}, {9, `{"version":11}`, errs.Conflict}, {0, `{"version":11}`, errs.Conflict},
			{6, `{"version":6}`, errs.BadInput}, {6, `{"version":9,"bad":true}`, errs.BadInput}, {6, `{`, errs.BadInput}} {
			if _, err := spare.PutRoutingConfig(ctx, c.base, []byte(c.body), false); err == nil || errs.KindOf(err) != c.kind {
				t.Errorf("%s on %d: %v", c.body, c.base, err)
			}
		}
		for _, x := range []struct {
			n *Node
			v uint64
		}{{a, 2}, {spare, 3}, {b, 2}, {b, 3}} {
			if err := x.n.SetWeightsVersion(ctx, "m", x.v); err != nil {
				t.Errorf("weights %d: %v", x.v, err)
			}
		}
		if err := a.SetWeightsVersion(ctx, "o", 1); err != nil {
			t.Error(err)
		}
		g.waitUntil("weights at the spare", 3*time.Second, func() bool {
			w := fleet.Weights{}
			x, _ := spare.Follow(ctx, &wire.FollowRequest{Known: []*wire.KnownVersion{{Key: fleet.WeightsKey}}})
			return len(x.Documents) == 1 && json.Unmarshal(x.Documents[0].Body, &w) == nil && w.Named["m"] == 3 && w.Named["o"] == 1 && !x.NothingNewer
		})
		put := &wire.Put{Key: fleet.PlacementKey + "s", Body: []byte("{}"), AnyVersion: true, Token: "p1"}
		if _, err := spare.controlClient.Change(ctx, &wire.ChangeRequest{Command: &wire.Command{Kind: &wire.Command_Put{Put: put}}}); err != nil {
			t.Error(err)
		}
		x, _ := a.Follow(ctx, &wire.FollowRequest{Known: []*wire.KnownVersion{{Key: routingconfig.DocumentKey, Version: 6}, {Key: fleet.PlacementKey}}, MaxWaitNs: 1e9, ProofKey: routingconfig.DocumentKey})
		if len(x.Documents) != 1 || x.Documents[0].Key != fleet.PlacementKey+"s" || !x.NothingNewer || x.Member != g.addr(1)+"/0" {
			t.Errorf("a placement is told: %v", x)
		}
		at := time.Now()
		x, _ = a.Follow(ctx, &wire.FollowRequest{Known: []*wire.KnownVersion{{Key: routingconfig.DocumentKey, Version: 6}, {Key: fleet.PlacementKey}, {Key: fleet.PlacementKey + "s", Version: 1}},
			MaxWaitNs: 5e8, ProofKey: routingconfig.DocumentKey})
		if d := time.Since(at); d != 500*time.Millisecond || len(x.Documents) > 0 || !x.NothingNewer {
			t.Errorf("no news: after %v %v", d, x)
		}
	})
}

// A member that stays away gives its place to the spare; one that comes back without its disk
// is another member, and the one that it was is removed; a machine that replaces one for good is
// taken in at its new address; and all may start again at once.
func TestAGroupChangesItsMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, ctx := newTestCluster(t), context.Background()
		for i := range 4 {
			g.start(i+1, true)
		}
		defer func() { g.stopAll() }()
		g.waitUntil("an leader", 5*time.Second, func() bool { return len(g.members()) == 3 })
		put := func(v uint64) {
			t.Helper()
			g.waitUntil("a plan", 6*time.Second, func() bool {
				for _, n := range g.nodes {
					if _, err := n.PutRoutingConfig(ctx, v-1, body(v, "x"), false); err == nil {
						return true
					}
				}
				return false
			})
		}
		has := func(addr, not string) func() bool {
			return func() bool {
				l := g.members()
				return len(l) == 3 && slices.ContainsFunc(l, func(m string) bool { return strings.HasPrefix(m, addr+"/") }) && !slices.Contains(l, not)
			}
		}
		put(1)
		o := g.leader()
		d := g.waitUntil("planned end", 0, func() bool { g.stop(o); return true })
		d += g.waitUntil("another leader", 2*time.Second, func() bool { return g.leader() > 0 })
		t.Log("another leader after a planned end", d)
		put(2)
		t.Log("the spare's place", g.waitUntil("the spare has its place", 5*time.Second, has(g.addr(4), g.addr(o)+"/0")))
		g.start(o, false)
		// A disk is lost.
		w := g.leader()
		old := g.nodes[g.addr(w)].shards[0].published.current().self
		g.stop(w)
		g.disks[g.addr(w)] = nil
		g.start(w, false)
		g.waitUntil("a group without the lost disk", 8*time.Second, func() bool {
			l := g.members()
			return len(l) == 3 && !slices.Contains(l, old)
		})
		put(3)
		// A machine is replaced for good, twice, so that there is no other spare.
		for i := range 2 {
			x := g.leader()
			g.stop(x)
			g.start(5+i, false)
			g.waitUntil("three members", 8*time.Second, func() bool {
				l := g.members()
				return len(l) == 3 && !slices.ContainsFunc(l, func(m string) bool { return strings.HasPrefix(m, g.addr(x)+"/") })
			})
			put(uint64(4 + i))
		}
		for i := range 8 {
			if g.nodes[g.addr(i+1)] != nil {
				g.stop(i + 1)
			}
		}
		for i := 1; i < 7; i++ {
			g.start(i, false)
		}
		put(6)
		for _, n := range g.nodes {
			if _, v, err := n.ReadRoutingConfig(ctx); err != nil || v != 6 {
				t.Errorf("after all have started again: %d, %v", v, err)
			}
		}
	})
}
