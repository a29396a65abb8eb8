package controlstate

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/errs"
)

// A retried change whose idempotency record has been evicted must get an unknown outcome, since it may have been
// accepted before. A change based on a version whose successors are still on record is either acknowledged again, if it
// is the recorded change, or gets a conflict. All nodes, leader or not, respond within the operator's time-out.
func TestForgottenChangeAtTheOperatorAPI(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster, ctx := newTestCluster(t), context.Background()
		cluster.startInitialGroup(4)
		defer cluster.stopAll()
		for version := range uint64(5) {
			if _, err := cluster.node(1).PutRoutingConfig(ctx, version, body(version+1, "x"), false); err != nil {
				t.Fatalf("PutRoutingConfig on version %d: %v, want it to be accepted", version, err)
			}
		}
		for _, node := range cluster.nodes {
			replica := node.shards[0]
			replica.runOnLoop(ctx, func() {
				records := replica.state.idempotencyRecordsOf(routingconfig.DocumentKey)
				records.forgottenVersion = 3
				records.records = slices.DeleteFunc(records.records, func(change idempotencyRecord) bool { return change.version <= records.forgottenVersion })
				replica.state.recentTokens = nil
			})
		}
		for i := range 4 {
			node := cluster.node(i + 1)
			for _, test := range []struct {
				base uint64
				text string
				kind *errs.Kind // expected kind of error; nil if the change has to be acknowledged
			}{{0, "x", errs.OutcomeUnknown}, {2, "x", errs.OutcomeUnknown}, {2, "y", errs.OutcomeUnknown}, {3, "x", nil}, {4, "x", nil}, {3, "y", errs.Conflict}, {4, "y", errs.Conflict}} {
				startedAt := time.Now()
				_, err := node.PutRoutingConfig(ctx, test.base, body(test.base+1, test.text), false)
				if (err != nil) != (test.kind != nil) || err != nil && errs.KindOf(err) != test.kind {
					t.Errorf("node %d: change %q based on version %d: error %v, want kind %+v (nil: acknowledged)", i+1, test.text, test.base, err, test.kind)
				}
				if waited := time.Since(startedAt); waited > maxResponseTime {
					t.Errorf("node %d: change %q based on version %d: response after %v, want within %v", i+1, test.text, test.base, waited, maxResponseTime)
				}
			}
		}
	})
}
