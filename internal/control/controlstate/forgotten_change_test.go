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

// At the operators' door: an order that may have been forgotten gets no clear answer, at the leader and
// elsewhere, before the operator's patience ends; what is remembered is done again or a conflict.
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
				record.records = slices.DeleteFunc(record.records, func(c idempotencyRecord) bool { return c.version <= record.forgottenVersion })
				replica.state.recentTokens = nil
			})
		}
		for i := range 4 {
			node := cluster.node(i + 1)
			for _, x := range []struct {
				base uint64
				text string
				kind *errs.Kind // nil: done
			}{{0, "x", errs.OutcomeUnknown}, {2, "x", errs.OutcomeUnknown}, {2, "y", errs.OutcomeUnknown}, {3, "x", nil}, {4, "x", nil}, {3, "y", errs.Conflict}, {4, "y", errs.Conflict}} {
				at := time.Now()
				_, err := node.PutRoutingConfig(ctx, x.base, body(x.base+1, x.text), false)
				if (err != nil) != (x.kind != nil) || err != nil && errs.KindOf(err) != x.kind {
					t.Errorf("node %d: %q on %d: %v", i+1, x.text, x.base, err)
				}
				if d := time.Since(at); d > 950*time.Millisecond {
					t.Errorf("node %d: %q on %d: answered after %v", i+1, x.text, x.base, d)
				}
			}
		}
	})
}
