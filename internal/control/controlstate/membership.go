package controlstate

import (
	"slices"

	"pebbleloom/internal/control/consensus"
	"pebbleloom/internal/control/controlclient"
)

// Thresholds of the time since the leader last heard from a member of its group, in group ticks.
const (
	replaceAfterTicks = int(1.0 / 6 / groupTick) // shortest silence after which a spare learner may replace a voter
	aliveTicks        = 4 * heartbeatTicks       // a member counts as alive as long as its silence is shorter than this
	spareReadyTicks   = 2 * electionTicks        // a caught-up learner may become a voter if its silence is shorter than this
)

// membershipPlanner decides which voter the leader of a group should add or remove next, from what the leader
// knows about the members. It keeps no state between decisions and has no side effects.
type membershipPlanner struct {
	self       string                   // incarnation of the leader, which runs this planner
	members    []string                 // incarnations of the group's current voters
	peers      []consensus.PeerStatus   // status of the voters and learners that the leader replicates to
	targetSize int                      // desired number of voters in the group
	zoneOf     func(addr string) string // returns the zone of the control node at an address; "": not known
	isLeaving  func(name string) bool   // reports whether the member with this incarnation has announced its shutdown
}

// next returns the voters that the leader should propose, which are one more or one fewer than the current
// ones, or nil to keep the current ones. Its rules are those of the table in docs/control.md, section 3:
//   - A member whose disk is lost is removed at once: it can never vote again, so its removal costs no quorum.
//   - A silent member may come back. It is removed only if a spare, that is a learner with all committed
//     entries, is ready to replace it. It is removed before the spare is added, so that the group never
//     depends on the new voter, which may fail next.
//   - A member that is shutting down still votes. Its successor is added before it is removed, so that the
//     group tolerates as many failures as before at each step.
//   - No step leaves the group without a quorum of live voters.
func (p *membershipPlanner) next() []string {
	if lost := p.firstMember(p.hasLostDisk); lost != "" {
		return p.without(lost)
	}
	if len(p.members) > p.targetSize {
		return p.removeSurplusVoter()
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

// removeSurplusVoter returns the voters without one that is shutting down, or else without a silent one, for a
// group with more voters than desired. It returns nil if there is none to remove: a surplus voter that is alive
// does no harm.
func (p *membershipPlanner) removeSurplusVoter() []string {
	if leaving := p.firstMember(p.isLeaving); leaving != "" {
		return p.without(leaving)
	}
	if silent := p.firstMember(p.isSilent); silent != "" {
		return p.without(silent)
	}
	return nil
}

// firstMember returns the first voter other than the leader that matches and whose removal leaves a quorum of live
// voters. It returns "" if there is no such voter.
func (p *membershipPlanner) firstMember(matches func(name string) bool) string {
	for _, member := range p.members {
		if member != p.self && matches(member) && p.hasQuorum(p.without(member), 0) {
			return member
		}
	}
	return ""
}

// status returns what the leader knows about a group member. A member that the leader does not replicate to counts
// as silent.
func (p *membershipPlanner) status(name string) consensus.PeerStatus {
	for _, peer := range p.peers {
		if peer.Name == name {
			return peer
		}
	}
	return consensus.PeerStatus{Name: name, ContactAge: replaceAfterTicks}
}

// isAlive reports whether the leader has heard from a member within the last aliveTicks ticks, or is that member
// itself.
func (p *membershipPlanner) isAlive(name string) bool {
	return name == p.self || p.status(name).ContactAge < aliveTicks
}

// isSilent reports whether the leader has not heard from a member for at least replaceAfterTicks ticks, so that a
// spare learner may replace it.
func (p *membershipPlanner) isSilent(name string) bool {
	return p.status(name).ContactAge >= replaceAfterTicks
}

// allAlive reports whether the leader counts all voters of the group as alive.
func (p *membershipPlanner) allAlive() bool {
	return !slices.ContainsFunc(p.members, func(member string) bool { return !p.isAlive(member) })
}

// hasLostDisk reports whether a member's disk is lost: a learner at the same address, under another
// incarnation, has responded to the leader more recently than the member did. A join request from that learner
// does not prove this, since the request may have been delayed.
func (p *membershipPlanner) hasLostDisk(name string) bool {
	contactAge := p.status(name).ContactAge
	return slices.ContainsFunc(p.peers, func(peer consensus.PeerStatus) bool {
		return !peer.IsVoter && sameAddress(peer.Name, name) && peer.Responded && peer.ContactAge < contactAge
	})
}

// sameAddress reports whether two incarnations (member names) belong to the same address.
func sameAddress(a, b string) bool { return controlclient.MemberAddr(a) == controlclient.MemberAddr(b) }

// hasQuorum reports whether a group of the given members and a number of additional live ones has a quorum of live
// members.
func (p *membershipPlanner) hasQuorum(members []string, additional int) bool {
	alive := additional
	for _, member := range members {
		if p.isAlive(member) {
			alive++
		}
	}
	return 2*alive > len(members)+additional
}

// without returns the current voters of the group except the named one.
func (p *membershipPlanner) without(name string) []string {
	return slices.DeleteFunc(slices.Clone(p.members), func(member string) bool { return member == name })
}

// with returns the current voters of the group and a spare learner as a new voter. It returns nil if these would
// have no quorum of live voters.
func (p *membershipPlanner) with(spare string) []string {
	if !p.hasQuorum(p.members, 1) {
		return nil
	}
	return append(slices.Clone(p.members), spare)
}

// bestSpare returns a learner that is ready to become a voter, preferably one in a zone without a voter. It
// returns "" if no learner is ready.
func (p *membershipPlanner) bestSpare() string {
	best := ""
	for _, peer := range p.peers {
		if p.isReady(peer) && (best == "" || p.hasVoterInZoneOf(best) && !p.hasVoterInZoneOf(peer.Name)) {
			best = peer.Name
		}
	}
	return best
}

// isReady reports whether a peer is a learner that may become a voter: the leader has heard from it within
// spareReadyTicks, it has all committed entries, and neither a voter nor a more recent incarnation exists at its
// address.
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

// hasVoterInZoneOf reports whether a voter that is not shutting down is in the same zone as the named learner.
func (p *membershipPlanner) hasVoterInZoneOf(name string) bool {
	zone := p.zoneOf(controlclient.MemberAddr(name))
	return slices.ContainsFunc(p.members, func(member string) bool {
		return zone != "" && !p.isLeaving(member) && p.zoneOf(controlclient.MemberAddr(member)) == zone
	})
}
