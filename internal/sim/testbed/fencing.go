package testbed

import (
	"fmt"

	"pebbleloom/internal/queue"
	"pebbleloom/internal/sim/workersim"
)

// checkFencing says where two nodes have commanded a worker at once: two holders under one fence, or
// a worker that obeyed a lower fence after a higher one. An order that was under way to a frozen
// worker may land there after the next holder's first elsewhere: it is still the one commander
// that this worker knows of.
func checkFencing(orders map[string][]workersim.Run) (faults []string) {
	holder := map[uint64]string{}
	for _, worker := range queue.Keys(orders) {
		last := uint64(0)
		for _, order := range orders[worker] {
			if first, ok := holder[order.FencingToken]; ok && first != order.Holder {
				faults = append(faults, fmt.Sprintf("%s and %s both ordered under fence %d", first, order.Holder, order.FencingToken))
			}
			if order.FencingToken < last {
				faults = append(faults, fmt.Sprintf("%s obeyed fence %d after %d", worker, order.FencingToken, last))
			}
			holder[order.FencingToken], last = order.Holder, max(last, order.FencingToken)
		}
	}
	return faults
}
