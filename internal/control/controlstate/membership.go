package controlstate

import (
	"slices"

	"pebbleloom/internal/control/consensus"
	"pebbleloom/internal/control/controlclient"
)

// In ticks of a group: the silence after which a spare takes a member's place, and the silences up
// to which a member counts as alive and a spare as ready.
const (
	replaceAfterTicks = int(1.0 / 6 / groupTick)
	aliveTicks        = 4 * heartbeatTicks
	spareReadyTicks   = 2 * electionTicks
)

// membershipPlanner is what the leader's choice of the next membership rests on.
type membershipPlanner struct {
	self       string
	members    []string
	peers      []consensus.PeerStatus // voters and learners that the leader replicates to
	targetSize int
	zoneOf     func(addr string) string
	isLeaving  func(name string) bool // it is to stop
}

// next is the membership that the leader is to propose: one member more or one less than now; nil:
// as it is. What it keeps to, by the table of docs/control.md, section 3:
//   - A member whose disk is lost is removed at once: it can never vote again, so no quorum is lost
//     with it.
//   - A silent member may come back. It is removed only where a learner that holds all that is
//     committed is ready to take its place, and before that one is added: the group never comes to
//     need the newcomer, which may be the next to fail.
//   - A member that leaves in order still votes. Its successor is added first, then it is removed:
//     the group tolerates as many losses at each step as before.
//   - No step leaves the group without a quorum that is alive.
func (v *membershipPlanner) next() []string {
	if wiped := v.firstMember(v.hasLostDisk); wiped != "" {
		return v.without(wiped)
	}
	if len(v.members) > v.targetSize {
		return v.shrink()
	}
	spare := v.bestSpare()
	switch {
	case spare == "":
		return nil
	case len(v.members) < v.targetSize:
		return v.with(spare)
	}
	if silent := v.firstMember(v.isSilent); silent != "" {
		return v.without(silent)
	}
	if slices.ContainsFunc(v.members, v.isLeaving) && v.allAlive() {
		return v.with(spare)
	}
	return nil
}

// shrink takes out the member that the group has too many: one that leaves, or else a silent one.
// While all are there and stay, a member more does no harm.
func (v *membershipPlanner) shrink() []string {
	if leaving := v.firstMember(v.isLeaving); leaving != "" {
		return v.without(leaving)
	}
	if silent := v.firstMember(v.isSilent); silent != "" {
		return v.without(silent)
	}
	return nil
}

// firstMember is the first member beside the leader that passes, and without which the group has a
// quorum alive; "" if none.
func (v *membershipPlanner) firstMember(pass func(name string) bool) string {
	for _, m := range v.members {
		if m != v.self && pass(m) && v.hasQuorum(v.without(m), 0) {
			return m
		}
	}
	return ""
}

func (v *membershipPlanner) status(name string) consensus.PeerStatus {
	for _, p := range v.peers {
		if p.Name == name {
			return p
		}
	}
	return consensus.PeerStatus{Name: name, ContactAge: replaceAfterTicks}
}

func (v *membershipPlanner) isAlive(name string) bool {
	return name == v.self || v.status(name).ContactAge < aliveTicks
}

func (v *membershipPlanner) isSilent(name string) bool {
	return v.status(name).ContactAge >= replaceAfterTicks
}

func (v *membershipPlanner) allAlive() bool {
	return !slices.ContainsFunc(v.members, func(m string) bool { return !v.isAlive(m) })
}

// hasLostDisk reports whether the member's disk is lost: a learner at its address, under another
// incarnation, has spoken since the member did. To have asked isn't enough: an ask may be late.
func (v *membershipPlanner) hasLostDisk(name string) bool {
	since := v.status(name).ContactAge
	return slices.ContainsFunc(v.peers, func(p consensus.PeerStatus) bool {
		return !p.IsVoter && sameAddress(p.Name, name) && p.Responded && p.ContactAge < since
	})
}

func sameAddress(a, b string) bool { return controlclient.MemberAddr(a) == controlclient.MemberAddr(b) }

// hasQuorum reports whether those alive among the members, and so many more, are a quorum of both.
func (v *membershipPlanner) hasQuorum(members []string, more int) bool {
	alive := more
	for _, m := range members {
		if v.isAlive(m) {
			alive++
		}
	}
	return 2*alive > len(members)+more
}

func (v *membershipPlanner) without(name string) []string {
	return slices.DeleteFunc(slices.Clone(v.members), func(m string) bool { return m == name })
}

// with is the membership with a spare added; nil where its quorum wouldn't be alive.
func (v *membershipPlanner) with(spare string) []string {
	if !v.hasQuorum(v.members, 1) {
		return nil
	}
	return append(slices.Clone(v.members), spare)
}

// bestSpare is a learner that may become a member now, in a zone without a member if there is one;
// "" if none.
func (v *membershipPlanner) bestSpare() string {
	best := ""
	for _, p := range v.peers {
		if v.isReady(p) && (best == "" || v.hasZoneWithMember(best) && !v.hasZoneWithMember(p.Name)) {
			best = p.Name
		}
	}
	return best
}

// isReady reports whether a learner is there, holds what is committed, and is alone at its address:
// neither a member nor a later incarnation stands there.
func (v *membershipPlanner) isReady(p consensus.PeerStatus) bool {
	if p.IsVoter || !p.CaughtUp || p.ContactAge >= spareReadyTicks {
		return false
	}
	if slices.ContainsFunc(v.members, func(m string) bool { return sameAddress(m, p.Name) }) {
		return false
	}
	return !slices.ContainsFunc(v.peers, func(o consensus.PeerStatus) bool {
		return o.Name != p.Name && sameAddress(o.Name, p.Name) && o.Responded && o.ContactAge < p.ContactAge
	})
}

// hasZoneWithMember reports whether a member that stays is in a learner's zone.
func (v *membershipPlanner) hasZoneWithMember(name string) bool {
	zone := v.zoneOf(controlclient.MemberAddr(name))
	return slices.ContainsFunc(v.members, func(m string) bool {
		return zone != "" && !v.isLeaving(m) && v.zoneOf(controlclient.MemberAddr(m)) == zone
	})
}
