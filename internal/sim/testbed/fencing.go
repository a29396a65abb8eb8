package testbed

import (
	"fmt"

	"pebbleloom/internal/maputil"
	"pebbleloom/internal/sim/workersim"
)

// leaseToken identifies a fencing token together with its lease, since tokens of different leases can't be compared.
type leaseToken struct {
	lease string
	token uint64
}

// checkFencing returns the violations of mutual exclusion that the orders in the journals of the workers show. An order
// carries the fencing token of the service's lease, which one placement controller holds at a time. Violations are two
// holders that sent orders with the same fencing token, or a worker that executed an order with a lower token after one
// with a higher token of the same lease. The order of tokens is checked for each worker alone, because a delayed order
// may legitimately reach a frozen worker after another worker has received an order of the next holder.
func checkFencing(orders map[string][]workersim.Run) (violations []string) {
	holders := map[leaseToken]string{}
	for _, worker := range maputil.SortedKeys(orders) {
		highest := map[string]uint64{} // by lease: the highest token of the orders that this worker has executed
		for _, order := range orders[worker] {
			key := leaseToken{order.Lease, order.FencingToken}
			if first, ok := holders[key]; ok && first != order.Holder {
				violations = append(violations, fmt.Sprintf("lease holders %s and %s both sent orders with fencing token %d of lease %q", first, order.Holder, order.FencingToken, order.Lease))
			}
			if order.FencingToken < highest[order.Lease] {
				violations = append(violations, fmt.Sprintf("worker %s executed an order with fencing token %d of lease %q after one with the higher token %d", worker, order.FencingToken, order.Lease, highest[order.Lease]))
			}
			holders[key], highest[order.Lease] = order.Holder, max(highest[order.Lease], order.FencingToken)
		}
	}
	return violations
}
