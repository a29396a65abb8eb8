package controlstate

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pebbleloom/internal/fleet"
	"pebbleloom/internal/wire"
)

// Names of weights, eight at once by nodes that aren't the leader, each sent twice, a lower version
// after a higher one, across a restart of all: each ends acknowledged, the named version of a model
// never falls, and the highest of each model is named in the end.
func TestNamingWeightsAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, ctx := newTestCluster(t), context.Background()
		g.startFounders(5)
		defer func() { g.stopAll() }()
		var nodes []*Node
		for i := range 5 {
			if i+1 != g.leader() {
				nodes = append(nodes, g.nodes[g.addr(i+1)])
			}
		}
		named := map[string]uint64{}
		follow := func() {
			x, err := nodes[0].Follow(ctx, &wire.FollowRequest{Known: []*wire.KnownVersion{{Key: fleet.WeightsKey}}})
			if err != nil || len(x.Documents) == 0 {
				return
			}
			w := fleet.Weights{}
			if err := json.Unmarshal(x.Documents[0].Body, &w); err != nil {
				t.Error(err)
			}
			for model, version := range named {
				if w.Named[model] < version {
					t.Errorf("weights of %s fall from %d to %d", model, version, w.Named[model])
				}
			}
			named = w.Named
		}
		name := func(n *Node, model string, version uint64) {
			for range 100 {
				if n.SetWeightsVersion(ctx, model, version) == nil {
					return
				}
			}
			t.Errorf("weights %d of %s are never acknowledged", version, model)
		}
		for _, versions := range [][]uint64{{3, 1, 4, 2}, {1, 6, 5, 6}} {
			var all sync.WaitGroup
			for i := range 8 {
				all.Go(func() {
					name(nodes[i%len(nodes)], fmt.Sprint("m", i%2), versions[i/2])
					name(nodes[(i+1)%len(nodes)], fmt.Sprint("m", i%2), versions[i/2])
				})
			}
			all.Wait()
			follow()
		}
		for i := range 5 {
			g.stop(i + 1)
		}
		for i := range 5 {
			g.start(i+1, false)
		}
		nodes = []*Node{g.nodes[g.addr(1)]}
		name(nodes[0], "m0", 2) // a lower one, again
		g.waitUntil("the highest of each", 3*time.Second, func() bool { follow(); return named["m0"] == 6 && named["m1"] == 6 })
	})
}
