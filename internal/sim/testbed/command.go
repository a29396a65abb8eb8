package testbed

import (
	"fmt"

	"pebbleloom/internal/queue"
	"pebbleloom/internal/sim/workersim"
)

// commands says where two nodes have commanded a worker at once: two holders under one fence, or
// a worker that obeyed a lower fence after a higher one. An order that was under way to a frozen
// worker may land there after the next holder's first elsewhere: it is still the one commander
// that this worker knows of.
func commands(orders map[string][]workersim.Run) (faults []string) {
	holder := map[uint64]string{}
	for _, n := range queue.Keys(orders) {
		last := uint64(0)
		for _, o := range orders[n] {
			if h, ok := holder[o.Fence]; ok && h != o.Holder {
				faults = append(faults, fmt.Sprintf("%s and %s both ordered under fence %d", h, o.Holder, o.Fence))
			}
			if o.Fence < last {
				faults = append(faults, fmt.Sprintf("%s obeyed fence %d after %d", n, o.Fence, last))
			}
			holder[o.Fence], last = o.Holder, max(last, o.Fence)
		}
	}
	return faults
}
