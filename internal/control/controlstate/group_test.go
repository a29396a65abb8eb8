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

func (c *testCluster) members() []string {
	var newest *publishedView
	for _, node := range c.nodes {
		if view := node.shards[0].published.current(); view.isLeader && (newest == nil || view.term > newest.term) {
			newest = view
		}
	}
	if newest == nil {
		return nil
	}
	return newest.members
}

func (c *testCluster) leader() int {
	for i := 1; i < 9; i++ {
		if node := c.nodes[c.addr(i)]; node != nil && node.shards[0].published.current().isLeader {
			return i
		}
	}
	return 0
}

// Three found the group, a fourth waits; a plan is taken at any of them, read back at any of
// them, and told to whoever follows. The same again is done again, another body on an old base
// is a conflict, and what is invalid is named.
func TestGroupAcceptsRoutingConfigs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster, ctx := newTestCluster(t), context.Background()
		for i := range 4 {
			cluster.start(i+1, true)
		}
		defer cluster.stopAll()
		d := cluster.waitUntil("an leader", 5*time.Second, func() bool { return len(cluster.members()) == 3 })
		t.Log("an leader after", d)
		first, second, spare := cluster.nodes[cluster.addr(1)], cluster.nodes[cluster.addr(2)], cluster.nodes[cluster.addr(4)]
		held := make(chan *wire.FollowResponse)
		ask := &wire.FollowRequest{Known: []*wire.KnownVersion{{Key: routingconfig.DocumentKey}, {Key: fleet.WeightsKey}, {Key: fleet.PlacementKey}}, MaxWaitNs: uint64(10 * time.Second), ProofKey: routingconfig.DocumentKey}
		go func() { response, _ := second.Follow(ctx, ask); held <- response }()
		putPlan := func(i int, node *Node) {
			if version, err := node.PutRoutingConfig(ctx, uint64(i*2), body(uint64(i*2+2), "x"), i > 0); err != nil || version != uint64(i*2+2) {
				t.Fatalf("plan %d: %d, %v", i, version, err)
			}
		}
		putPlan(0, first)
		if response := <-held; len(response.Documents) != 1 || response.Documents[0].Version != 2 || len(response.Members) != 3 {
			t.Errorf("what a follower was told: %v", response)
		}
		putPlan(1, second)
		putPlan(2, spare)
		for _, node := range cluster.nodes {
			if b, version, err := node.ReadRoutingConfig(ctx); err != nil || version != 6 || !strings.Contains(string(b), `"x+x+x"`) {
				t.Errorf("read back: %s, %d, %v", b, version, err)
			}
			if version, err := node.PutRoutingConfig(ctx, 2, body(4, "x"), true); err != nil || version != 4 {
				t.Errorf("the same again, later: %d, %v", version, err)
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
		}{{first, 2}, {spare, 3}, {second, 2}, {second, 3}} {
			if err := x.n.SetWeightsVersion(ctx, "m", x.v); err != nil {
				t.Errorf("weights %d: %v", x.v, err)
			}
		}
		if err := first.SetWeightsVersion(ctx, "o", 1); err != nil {
			t.Error(err)
		}
		cluster.waitUntil("weights at the spare", 3*time.Second, func() bool {
			weights := fleet.Weights{}
			response, _ := spare.Follow(ctx, &wire.FollowRequest{Known: []*wire.KnownVersion{{Key: fleet.WeightsKey}}})
			return len(response.Documents) == 1 && json.Unmarshal(response.Documents[0].Body, &weights) == nil && weights.Named["m"] == 3 && weights.Named["o"] == 1 && !response.NothingNewer
		})
		put := &wire.Put{Key: fleet.PlacementKey + "s", Body: []byte("{}"), AnyVersion: true, Token: "p1"}
		if _, err := spare.controlClient.Change(ctx, &wire.ChangeRequest{Command: &wire.Command{Kind: &wire.Command_Put{Put: put}}}); err != nil {
			t.Error(err)
		}
		response, _ := first.Follow(ctx, &wire.FollowRequest{Known: []*wire.KnownVersion{{Key: routingconfig.DocumentKey, Version: 6}, {Key: fleet.PlacementKey}}, MaxWaitNs: 1e9, ProofKey: routingconfig.DocumentKey})
		if len(response.Documents) != 1 || response.Documents[0].Key != fleet.PlacementKey+"s" || !response.NothingNewer || response.Member != cluster.addr(1)+"/0" {
			t.Errorf("a placement is told: %v", response)
		}
		at := time.Now()
		response, _ = first.Follow(ctx, &wire.FollowRequest{Known: []*wire.KnownVersion{{Key: routingconfig.DocumentKey, Version: 6}, {Key: fleet.PlacementKey}, {Key: fleet.PlacementKey + "s", Version: 1}},
			MaxWaitNs: 5e8, ProofKey: routingconfig.DocumentKey})
		if d := time.Since(at); d != 500*time.Millisecond || len(response.Documents) > 0 || !response.NothingNewer {
			t.Errorf("no news: after %v %v", d, response)
		}
	})
}

// A member that stays away gives its place to the spare; one that comes back without its disk
// is another member, and the one that it was is removed; a machine that replaces one for good is
// taken in at its new address; and all may start again at once.
func TestGroupReplacesItsMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster, ctx := newTestCluster(t), context.Background()
		for i := range 4 {
			cluster.start(i+1, true)
		}
		defer func() { cluster.stopAll() }()
		cluster.waitUntil("an leader", 5*time.Second, func() bool { return len(cluster.members()) == 3 })
		put := func(version uint64) {
			t.Helper()
			cluster.waitUntil("a plan", 6*time.Second, func() bool {
				for _, node := range cluster.nodes {
					if _, err := node.PutRoutingConfig(ctx, version-1, body(version, "x"), false); err == nil {
						return true
					}
				}
				return false
			})
		}
		has := func(addr, not string) func() bool {
			return func() bool {
				l := cluster.members()
				return len(l) == 3 && slices.ContainsFunc(l, func(m string) bool { return strings.HasPrefix(m, addr+"/") }) && !slices.Contains(l, not)
			}
		}
		put(1)
		o := cluster.leader()
		d := cluster.waitUntil("planned end", 0, func() bool { cluster.stop(o); return true })
		d += cluster.waitUntil("another leader", 2*time.Second, func() bool { return cluster.leader() > 0 })
		t.Log("another leader after a planned end", d)
		put(2)
		t.Log("the spare's place", cluster.waitUntil("the spare has its place", 5*time.Second, has(cluster.addr(4), cluster.addr(o)+"/0")))
		cluster.start(o, false)
		// A disk is lost.
		w := cluster.leader()
		old := cluster.nodes[cluster.addr(w)].shards[0].published.current().self
		cluster.stop(w)
		cluster.disks[cluster.addr(w)] = nil
		cluster.start(w, false)
		cluster.waitUntil("a group without the lost disk", 8*time.Second, func() bool {
			l := cluster.members()
			return len(l) == 3 && !slices.Contains(l, old)
		})
		put(3)
		// A machine is replaced for good, twice, so that there is no other spare.
		for i := range 2 {
			choice := cluster.leader()
			cluster.stop(choice)
			cluster.start(5+i, false)
			cluster.waitUntil("three members", 8*time.Second, func() bool {
				l := cluster.members()
				return len(l) == 3 && !slices.ContainsFunc(l, func(m string) bool { return strings.HasPrefix(m, cluster.addr(choice)+"/") })
			})
			put(uint64(4 + i))
		}
		for i := range 8 {
			if cluster.nodes[cluster.addr(i+1)] != nil {
				cluster.stop(i + 1)
			}
		}
		for i := 1; i < 7; i++ {
			cluster.start(i, false)
		}
		put(6)
		for _, node := range cluster.nodes {
			if _, version, err := node.ReadRoutingConfig(ctx); err != nil || version != 6 {
				t.Errorf("after all have started again: %d, %v", version, err)
			}
		}
	})
}
