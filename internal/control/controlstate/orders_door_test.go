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
func TestAForgottenOrderAtTheDoor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, ctx := newTestCluster(t), context.Background()
		g.startFounders(4)
		defer g.stopAll()
		for v := range uint64(5) {
			if _, err := g.nodes[g.addr(1)].PutRoutingConfig(ctx, v, body(v+1, "x"), false); err != nil {
				t.Fatal(err)
			}
		}
		for _, n := range g.nodes {
			p := n.shards[0]
			p.runOnLoop(ctx, func() {
				record := p.state.recordsOf(routingconfig.DocumentKey)
				record.forgottenVersion = 3
				record.records = slices.DeleteFunc(record.records, func(c idempotencyRecord) bool { return c.version <= record.forgottenVersion })
				p.state.recentTokens = nil
			})
		}
		for i := range 4 {
			n := g.nodes[g.addr(i+1)]
			for _, x := range []struct {
				base uint64
				text string
				kind *errs.Kind // nil: done
			}{{0, "x", errs.OutcomeUnknown}, {2, "x", errs.OutcomeUnknown}, {2, "y", errs.OutcomeUnknown}, {3, "x", nil}, {4, "x", nil}, {3, "y", errs.Conflict}, {4, "y", errs.Conflict}} {
				at := time.Now()
				_, err := n.PutRoutingConfig(ctx, x.base, body(x.base+1, x.text), false)
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
