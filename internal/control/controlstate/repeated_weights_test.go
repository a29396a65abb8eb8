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

// Weights versions are set, eight at once by nodes that don't lead, each twice, a lower version after a
// higher one, across a restart of all. Each is acknowledged in the end, the version of a model never falls,
// and the highest version of each model is in force in the end.
func TestRepeatedWeightsVersions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster, ctx := newTestCluster(t), context.Background()
		cluster.startFounders(5)
		defer func() { cluster.stopAll() }()
		var nodes []*Node
		for i := range 5 {
			if i+1 != cluster.leader() {
				nodes = append(nodes, cluster.node(i+1))
			}
		}
		named := map[string]uint64{}
		follow := func() {
			response, err := nodes[0].Follow(ctx, &wire.FollowRequest{Known: []*wire.KnownVersion{{Key: fleet.WeightsKey}}})
			if err != nil || len(response.Documents) == 0 {
				return
			}
			weights := fleet.Weights{}
			if err := json.Unmarshal(response.Documents[0].Body, &weights); err != nil {
				t.Error(err)
			}
			for model, version := range named {
				if weights.Versions[model] < version {
					t.Errorf("weights of %s fall from %d to %d", model, version, weights.Versions[model])
				}
			}
			named = weights.Versions
		}
		set := func(node *Node, model string, version uint64) {
			for range 100 {
				if node.SetWeightsVersion(ctx, model, version) == nil {
					return
				}
			}
			t.Errorf("weights %d of %s are never acknowledged", version, model)
		}
		for _, versions := range [][]uint64{{3, 1, 4, 2}, {1, 6, 5, 6}} {
			var operators sync.WaitGroup
			for i := range 8 {
				operators.Go(func() {
					set(nodes[i%len(nodes)], fmt.Sprint("m", i%2), versions[i/2])
					set(nodes[(i+1)%len(nodes)], fmt.Sprint("m", i%2), versions[i/2])
				})
			}
			operators.Wait()
			follow()
		}
		for i := range 5 {
			cluster.stop(i + 1)
		}
		for i := range 5 {
			cluster.start(i+1, false)
		}
		nodes = []*Node{cluster.node(1)}
		set(nodes[0], "m0", 2) // a lower one, again
		cluster.waitUntil("the highest of each", 3*time.Second, func() bool { follow(); return named["m0"] == 6 && named["m1"] == 6 })
	})
}
