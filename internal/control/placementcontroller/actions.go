package placementcontroller

import (
	"context"
	"sync"

	"pebbleloom/internal/control/retire"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/settings"
)

// actionBatch executes the actions of one retirement step or repair.
type actionBatch struct {
	*Controller
	svc           *serviceController
	retirement    *retire.Retirement // retirement in which acknowledged actions are recorded; nil for a repair
	configVersion uint64             // version of the service configuration that patches apply to
	addrs         map[string]string  // addresses of the nodes, by name
}

// execute performs all actions concurrently and records the acknowledged ones in the retirement; recorded
// reports whether this changed the retirement. The lease is checked immediately before each action, and
// all actions must end within the timeout of an order.
func (b *actionBatch) execute(actions []retire.Action) (recorded bool, err error) {
	ctx, cancel := context.WithTimeout(b.process.Ctx, b.process.Settings.Bounds.Recovery(settings.OrderTimeoutRatio))
	defer cancel()
	var wg sync.WaitGroup
	var mu sync.Mutex
	var failures errs.Batch
	for _, action := range actions {
		wg.Go(func() {
			token, ok := b.svc.lease.FencingToken()
			if !ok {
				return // the lease has expired or is about to, and another machine may acquire it
			}
			err := b.executeAction(ctx, action, token)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				b.recordFailure(action, err, &failures)
			} else if b.recordSuccess(action) {
				recorded = true
			}
		})
	}
	wg.Wait()
	return recorded, failures.Err()
}

// executeAction performs one action: it patches the service configuration, sends an order under the lease's
// fencing token, or sends the node proof requests.
func (b *actionBatch) executeAction(ctx context.Context, action retire.Action, token uint64) error {
	switch {
	case action.Patch != nil:
		return b.patchConfig(ctx, action.Patch, b.configVersion, "")
	case action.Order != nil:
		action.Order.FencingToken, action.Order.Lease, action.Order.Holder = token, b.svc.lease.Name, b.svc.lease.Holder
		return b.backends.Order(ctx, b.addrs[action.Node], *action.Order)
	default:
		return b.proveNode(ctx, b.retirement, action, b.addrs[action.Node])
	}
}

// recordFailure records a failed action. A failed proof is passed to the planner, which states it as the
// reason why the node blocks the retirement; any other failure is added to the errors of the step.
func (b *actionBatch) recordFailure(action retire.Action, err error, failures *errs.Batch) {
	if action.ProofSet != nil {
		b.svc.retirementPlanner.RecordFailedProof(action.Node, err.Error())
		return
	}
	failures.Add("retirement or repair of node "+action.Node, err)
}

// recordSuccess records an acknowledged action in the retirement and reports whether the retirement changed.
func (b *actionBatch) recordSuccess(action retire.Action) bool {
	switch {
	case action.Patch != nil:
		b.retirement.RecordPatch()
		return true
	case action.ProofSet != nil:
		b.retirement.RecordProof(action.Node, action.Incarnation, *action.ProofSet)
		return true
	case b.retirement != nil && action.Order.Kind == retire.OrderUnload:
		b.retirement.RecordUnload(action.Node, action.Order.Incarnation)
		return true
	}
	return false
}
