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

// A change that may have been forgotten has an unknown outcome, at the leader and elsewhere, and is answered
// before the operator's time-out; one that is recorded is acknowledged again, or a conflict.
func TestForgottenChangeAtTheOperatorAPI(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster, ctx := newTestCluster(t), context.Background()
		cluster.startFounders(4)
		defer cluster.stopAll()
		for version := range uint64(5) {
			if _, err := cluster.node(1).PutRoutingConfig(ctx, version, body(version+1, "x"), false); err != nil {
				t.Fatal(err)
			}
		}
		for _, node := range cluster.nodes {
			replica := node.shards[0]
			replica.runOnLoop(ctx, func() {
				record := replica.state.idempotencyRecordsOf(routingconfig.DocumentKey)
				record.forgottenVersion = 3
				record.records = slices.DeleteFunc(record.records, func(change idempotencyRecord) bool { return change.version <= record.forgottenVersion })
				replica.state.recentTokens = nil
			})
		}
		for i := range 4 {
			node := cluster.node(i + 1)
			for _, test := range []struct {
				base uint64
				text string
				kind *errs.Kind // nil: acknowledged
			}{{0, "x", errs.OutcomeUnknown}, {2, "x", errs.OutcomeUnknown}, {2, "y", errs.OutcomeUnknown}, {3, "x", nil}, {4, "x", nil}, {3, "y", errs.Conflict}, {4, "y", errs.Conflict}} {
				begun := time.Now()
				_, err := node.PutRoutingConfig(ctx, test.base, body(test.base+1, test.text), false)
				if (err != nil) != (test.kind != nil) || err != nil && errs.KindOf(err) != test.kind {
					t.Errorf("node %d: %q on %d: %v", i+1, test.text, test.base, err)
				}
				if waited := time.Since(begun); waited > answerWithin {
					t.Errorf("node %d: %q on %d: answered after %v", i+1, test.text, test.base, waited)
				}
			}
		}
	})
}
