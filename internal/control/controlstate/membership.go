package controlstate

import (
	"slices"

	"pebbleloom/internal/control/consensus"
	"pebbleloom/internal/control/controlclient"
)

// In ticks of a group: how long a member may be silent before a spare takes its place, and for
// how long after it spoke it counts as alive.
const (
	replaceAfterTicks = int(1.0 / 6 / groupTick)
	aliveTicks        = 4 * heartbeatTicks
	spareFreshTicks   = 2 * electionTicks
)

// regroup is the owner's duty: the members that the group is to have next, one more or one
// less than now; nil: as they are. It never leaves the group without a majority that is alive.
func nextMembership(self string, now []string, sees []consensus.PeerStatus, want int, district func(addr string) string) []string {
	by := map[string]consensus.PeerStatus{}
	var ready []consensus.PeerStatus
	for _, x := range sees {
		if by[x.Name] = x; !x.IsVoter && x.CaughtUp && x.SinceHeard < spareFreshTicks {
			ready = append(ready, x)
		}
	}
	alive := func(m string) bool { x, ok := by[m]; return m == self || ok && x.SinceHeard < aliveTicks }
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
		return slices.ContainsFunc(now, func(m string) bool { return controlclient.Addr(m) == addr })
	}
	// A disk is gone once its address has asked to be taken in under another life.
	for _, m := range now {
		again := slices.ContainsFunc(sees, func(x consensus.PeerStatus) bool {
			return !x.IsVoter && controlclient.Addr(x.Name) == controlclient.Addr(m)
		})
		if again && m != self && holds(without(m), 0) {
			return without(m)
		}
	}
	ready = slices.DeleteFunc(ready, func(x consensus.PeerStatus) bool { return at(controlclient.Addr(x.Name)) })
	if len(ready) == 0 {
		return nil
	}
	if len(now) < want {
		near := func(x consensus.PeerStatus) bool { // another member stands in its district
			d := district(controlclient.Addr(x.Name))
			return slices.ContainsFunc(now, func(m string) bool { return d != "" && district(controlclient.Addr(m)) == d })
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
		if m != self && by[m].SinceHeard >= replaceAfterTicks && holds(without(m), 0) {
			return without(m)
		}
	}
	return nil
}
