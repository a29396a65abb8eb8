package placementcontroller

import (
	"context"
	"sync"

	"pebbleloom/internal/control/retire"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/settings"
)

// actionBatch is the actions of one step, with what they need.
type actionBatch struct {
	*Controller
	svc           *serviceController
	retirement    *retire.Retirement // records what is acknowledged; nil for repairs
	configVersion uint64             // of the service configuration that patches apply to
	addrs         map[string]string  // of the nodes, by name
}

// execute performs the actions, all at once, and records in the retirement what was acknowledged;
// recorded reports whether there was any. The lease is checked right before each action, and none may
// take longer than an order.
func (b *actionBatch) execute(actions []retire.Action) (recorded bool, err error) {
	ctx, cancel := context.WithTimeout(b.process.Ctx, b.process.Settings.Bounds.Heal(settings.OrderTimeoutRatio))
	defer cancel()
	var wg sync.WaitGroup
	var mu sync.Mutex
	var failures errs.Batch
	for _, action := range actions {
		wg.Go(func() {
			token, ok := b.svc.lease.FencingToken()
			if !ok {
				return // another machine may hold it soon
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

// recordFailure records a failed action: a failed proof blocks the retirement, with its reason; any other
// failure is an error of the step.
func (b *actionBatch) recordFailure(action retire.Action, err error, failures *errs.Batch) {
	if action.ProofSet != nil {
		b.svc.retirementPlanner.RecordFailedProof(action.Node, err.Error())
		return
	}
	failures.Add("retire "+action.Node, err)
}

// recordSuccess records an acknowledged action, and reports whether the retirement changed.
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
