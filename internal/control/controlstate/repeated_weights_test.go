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

// Sets weights versions concurrently through nodes that are not the leader, each version twice and some lower versions
// after higher ones, and once more after a restart of all nodes. Each request must be acknowledged eventually, the version
// of a model must never decrease, and in the end each model must have the highest version that was set.
func TestRepeatedWeightsVersions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster, ctx := newTestCluster(t), context.Background()
		cluster.startInitialGroup(5)
		defer func() { cluster.stopAll() }()
		var nodes []*Node
		for i := range 5 {
			if i+1 != cluster.leader() {
				nodes = append(nodes, cluster.node(i+1))
			}
		}
		observed := map[string]uint64{}
		follow := func() {
			response, err := nodes[0].Follow(ctx, &wire.FollowRequest{Known: []*wire.KnownVersion{{Key: fleet.WeightsKey}}})
			if err != nil || len(response.Documents) == 0 {
				return
			}
			weights := fleet.Weights{}
			if err := json.Unmarshal(response.Documents[0].Body, &weights); err != nil {
				t.Errorf("decoding the weights document %q: %v", response.Documents[0].Body, err)
			}
			for model, version := range observed {
				if weights.Versions[model] < version {
					t.Errorf("weights version of model %s decreased from %d to %d", model, version, weights.Versions[model])
				}
			}
			observed = weights.Versions
		}
		set := func(node *Node, model string, version uint64) {
			for range 100 {
				if node.SetWeightsVersion(ctx, model, version) == nil {
					return
				}
			}
			t.Errorf("weights version %d of model %s was not acknowledged in 100 attempts", version, model)
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
		set(nodes[0], "m0", 2) // version 2 is lower than the highest one that was set for this model
		cluster.waitUntil("weights version 6 of the models m0 and m1", 3*time.Second, func() bool { follow(); return observed["m0"] == 6 && observed["m1"] == 6 })
	})
}
