package testbed

import (
	"fmt"

	"pebbleloom/internal/maputil"
	"pebbleloom/internal/sim/workersim"
)

// leaseToken is a fencing token of a lease; tokens of different leases can't be compared.
type leaseToken struct {
	lease string
	token uint64
}

// checkFencing finds violations of the worker leases: two holders with one fencing token, or a worker that executed
// an order with a lower token after one with a higher token of the same lease. A delayed order may reach a frozen worker
// after the next holder's first order has reached another worker: tokens are ordered for each worker only.
func checkFencing(orders map[string][]workersim.Run) (faults []string) {
	holders := map[leaseToken]string{}
	for _, worker := range maputil.SortedKeys(orders) {
		highest := map[string]uint64{} // by lease
		for _, order := range orders[worker] {
			key := leaseToken{order.Lease, order.FencingToken}
			if first, ok := holders[key]; ok && first != order.Holder {
				faults = append(faults, fmt.Sprintf("%s and %s both sent orders with fencing token %d of lease %q", first, order.Holder, order.FencingToken, order.Lease))
			}
			if order.FencingToken < highest[order.Lease] {
				faults = append(faults, fmt.Sprintf("%s executed an order with fencing token %d of lease %q after %d", worker, order.FencingToken, order.Lease, highest[order.Lease]))
			}
			holders[key], highest[order.Lease] = order.Holder, max(highest[order.Lease], order.FencingToken)
		}
	}
	return faults
}
