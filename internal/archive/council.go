package archive

import (
	"slices"

	"pebbleloom/internal/ledger"
	"pebbleloom/internal/link"
)

// In ticks of a group: how long a member may be silent before a spare takes its place, and for
// how long after it spoke it counts as alive.
const (
	silentTicks = int(1.0 / 6 / groupTick)
	aliveTicks  = 4 * beatTicks
	readyTicks  = 2 * electTicks
)

// regroup is the owner's duty: the members that the group is to have next, one more or one
// less than now; nil: as they are. It never leaves the group without a majority that is alive.
func regroup(self string, now []string, sees []ledger.Seen, want int, district func(addr string) string) []string {
	by := map[string]ledger.Seen{}
	var ready []ledger.Seen
	for _, x := range sees {
		if by[x.Name] = x; !x.Sits && x.Caught && x.Heard < readyTicks {
			ready = append(ready, x)
		}
	}
	alive := func(m string) bool { x, ok := by[m]; return m == self || ok && x.Heard < aliveTicks }
	holds := func(l []string, more int) bool {
		n := more
		for _, m := range l {
			if alive(m) {
				n++
			}
		}
		return 2*n > len(l)+more
	}
	without := func(m string) []string {
		return slices.DeleteFunc(slices.Clone(now), func(o string) bool { return o == m })
	}
	at := func(addr string) bool {
		return slices.ContainsFunc(now, func(m string) bool { return link.Addr(m) == addr })
	}
	// A disk is gone once its address has asked to be taken in under another life.
	for _, m := range now {
		again := slices.ContainsFunc(sees, func(x ledger.Seen) bool { return !x.Sits && link.Addr(x.Name) == link.Addr(m) })
		if again && m != self && holds(without(m), 0) {
			return without(m)
		}
	}
	ready = slices.DeleteFunc(ready, func(x ledger.Seen) bool { return at(link.Addr(x.Name)) })
	if len(ready) == 0 {
		return nil
	}
	if len(now) < want {
		near := func(x ledger.Seen) bool { // another member stands in its district
			d := district(link.Addr(x.Name))
			return slices.ContainsFunc(now, func(m string) bool { return d != "" && district(link.Addr(m)) == d })
		}
		best := ready[0]
		for _, x := range ready[1:] {
			if near(best) && !near(x) {
				best = x
			}
		}
		if holds(now, 1) {
			return append(slices.Clone(now), best.Name)
		}
		return nil
	}
	for _, m := range now {
		if m != self && by[m].Heard >= silentTicks && holds(without(m), 0) {
			return without(m)
		}
	}
	return nil
}
