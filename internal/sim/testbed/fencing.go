package testbed

import (
	"fmt"

	"pebbleloom/internal/maputil"
	"pebbleloom/internal/sim/workersim"
)

// checkFencing finds violations of the worker leases: two holders with one fencing token, or a worker that executed
// an order with a lower token after one with a higher token. A delayed order may reach a frozen worker after the
// next holder's first order has reached another worker: tokens are ordered for each worker only.
func checkFencing(orders map[string][]workersim.Run) (faults []string) {
	holder := map[uint64]string{}
	for _, worker := range maputil.SortedKeys(orders) {
		highest := uint64(0)
		for _, order := range orders[worker] {
			if first, ok := holder[order.FencingToken]; ok && first != order.Holder {
				faults = append(faults, fmt.Sprintf("%s and %s both sent orders with fencing token %d", first, order.Holder, order.FencingToken))
			}
			if order.FencingToken < highest {
				faults = append(faults, fmt.Sprintf("%s executed an order with fencing token %d after %d", worker, order.FencingToken, highest))
			}
			holder[order.FencingToken], highest = order.Holder, max(highest, order.FencingToken)
		}
	}
	return faults
}
