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
func (p *membershipPlanner) next() []string {
	if wiped := p.firstMember(p.hasLostDisk); wiped != "" {
		return p.without(wiped)
	}
	if len(p.members) > p.targetSize {
		return p.shrink()
	}
	spare := p.bestSpare()
	switch {
	case spare == "":
		return nil
	case len(p.members) < p.targetSize:
		return p.with(spare)
	}
	if silent := p.firstMember(p.isSilent); silent != "" {
		return p.without(silent)
	}
	if slices.ContainsFunc(p.members, p.isLeaving) && p.allAlive() {
		return p.with(spare)
	}
	return nil
}

// shrink takes out the member that the group has too many: one that leaves, or else a silent one.
// While all are there and stay, a member more does no harm.
func (p *membershipPlanner) shrink() []string {
	if leaving := p.firstMember(p.isLeaving); leaving != "" {
		return p.without(leaving)
	}
	if silent := p.firstMember(p.isSilent); silent != "" {
		return p.without(silent)
	}
	return nil
}

// firstMember is the first member beside the leader that passes, and without which the group has a
// quorum alive; "" if none.
func (p *membershipPlanner) firstMember(pass func(name string) bool) string {
	for _, member := range p.members {
		if member != p.self && pass(member) && p.hasQuorum(p.without(member), 0) {
			return member
		}
	}
	return ""
}

func (p *membershipPlanner) status(name string) consensus.PeerStatus {
	for _, peer := range p.peers {
		if peer.Name == name {
			return peer
		}
	}
	return consensus.PeerStatus{Name: name, ContactAge: replaceAfterTicks}
}

func (p *membershipPlanner) isAlive(name string) bool {
	return name == p.self || p.status(name).ContactAge < aliveTicks
}

func (p *membershipPlanner) isSilent(name string) bool {
	return p.status(name).ContactAge >= replaceAfterTicks
}

func (p *membershipPlanner) allAlive() bool {
	return !slices.ContainsFunc(p.members, func(member string) bool { return !p.isAlive(member) })
}

// hasLostDisk reports whether the member's disk is lost: a learner at its address, under another
// incarnation, has spoken since the member did. To have asked isn't enough: an ask may be late.
func (p *membershipPlanner) hasLostDisk(name string) bool {
	since := p.status(name).ContactAge
	return slices.ContainsFunc(p.peers, func(peer consensus.PeerStatus) bool {
		return !peer.IsVoter && sameAddress(peer.Name, name) && peer.Responded && peer.ContactAge < since
	})
}

func sameAddress(a, b string) bool { return controlclient.MemberAddr(a) == controlclient.MemberAddr(b) }

// hasQuorum reports whether those alive among the members, and so many more, are a quorum of both.
func (p *membershipPlanner) hasQuorum(members []string, additional int) bool {
	alive := additional
	for _, member := range members {
		if p.isAlive(member) {
			alive++
		}
	}
	return 2*alive > len(members)+additional
}

func (p *membershipPlanner) without(name string) []string {
	return slices.DeleteFunc(slices.Clone(p.members), func(member string) bool { return member == name })
}

// with is the membership with a spare added; nil where its quorum wouldn't be alive.
func (p *membershipPlanner) with(spare string) []string {
	if !p.hasQuorum(p.members, 1) {
		return nil
	}
	return append(slices.Clone(p.members), spare)
}

// bestSpare is a learner that may become a member now, in a zone without a member if there is one;
// "" if none.
func (p *membershipPlanner) bestSpare() string {
	best := ""
	for _, peer := range p.peers {
		if p.isReady(peer) && (best == "" || p.hasZoneWithMember(best) && !p.hasZoneWithMember(peer.Name)) {
			best = peer.Name
		}
	}
	return best
}

// isReady reports whether a learner is there, holds what is committed, and is alone at its address:
// neither a member nor a later incarnation stands there.
func (p *membershipPlanner) isReady(peer consensus.PeerStatus) bool {
	if peer.IsVoter || !peer.CaughtUp || peer.ContactAge >= spareReadyTicks {
		return false
	}
	if slices.ContainsFunc(p.members, func(member string) bool { return sameAddress(member, peer.Name) }) {
		return false
	}
	return !slices.ContainsFunc(p.peers, func(other consensus.PeerStatus) bool {
		return other.Name != peer.Name && sameAddress(other.Name, peer.Name) && other.Responded && other.ContactAge < peer.ContactAge
	})
}

// hasZoneWithMember reports whether a member that stays is in a learner's zone.
func (p *membershipPlanner) hasZoneWithMember(name string) bool {
	zone := p.zoneOf(controlclient.MemberAddr(name))
	return slices.ContainsFunc(p.members, func(member string) bool {
		return zone != "" && !p.isLeaving(member) && p.zoneOf(controlclient.MemberAddr(member)) == zone
	})
}
