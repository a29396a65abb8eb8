package controlstate

import (
	"slices"

	"pebbleloom/internal/control/consensus"
	"pebbleloom/internal/control/controlclient"
)

// Times since a member was last heard from, in ticks of a group.
const (
	replaceAfterTicks = int(1.0 / 6 / groupTick) // from here on a spare replaces it
	aliveTicks        = 4 * heartbeatTicks       // up to here it counts as alive
	spareReadyTicks   = 2 * electionTicks        // up to here a spare may become a voter
)

// membershipPlanner decides the next membership of a group from what its leader knows. It has no state
// and no effects.
type membershipPlanner struct {
	self       string                 // the leader's incarnation
	members    []string               // the voters' incarnations
	peers      []consensus.PeerStatus // voters and learners that the leader replicates to
	targetSize int                    // number of voters
	zoneOf     func(addr string) string
	isLeaving  func(name string) bool // it has announced that it stops
}

// next returns the membership that the leader has to propose: one voter more or one less than now. It
// returns nil to keep the current one. Its rules are those of the table in docs/control.md, section 3:
//   - A member whose disk is lost is removed at once: it can never vote again, so no quorum is lost
//     with it.
//   - A silent member may come back. It is removed only if a spare, a learner that holds all that is
//     committed, is ready to replace it, and before that spare is added: so the group never depends
//     on the new voter, which may be the next to fail.
//   - A member that leaves in order still votes. Its successor is added first and then it is removed:
//     the group tolerates as many failures at each step as before.
//   - No step leaves the group without a live quorum.
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

// removeSurplusVoter removes a voter from a group that has one too many: one that leaves, or else a silent one.
// While all are alive and stay, one more does no harm.
func (p *membershipPlanner) removeSurplusVoter() []string {
	if leaving := p.firstMember(p.isLeaving); leaving != "" {
		return p.without(leaving)
	}
	if silent := p.firstMember(p.isSilent); silent != "" {
		return p.without(silent)
	}
	return nil
}

// firstMember returns the first member other than the leader that matches and that can be removed: the
// others have a live quorum. It returns "" if there is none.
func (p *membershipPlanner) firstMember(matches func(name string) bool) string {
	for _, member := range p.members {
		if member != p.self && matches(member) && p.hasQuorum(p.without(member), 0) {
			return member
		}
	}
	return ""
}

// status is what the leader knows of a member. One that it doesn't replicate to counts as silent.
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
// incarnation, has responded since the member did. That the learner has asked to join isn't enough: the
// request may be late.
func (p *membershipPlanner) hasLostDisk(name string) bool {
	contactAge := p.status(name).ContactAge
	return slices.ContainsFunc(p.peers, func(peer consensus.PeerStatus) bool {
		return !peer.IsVoter && sameAddress(peer.Name, name) && peer.Responded && peer.ContactAge < contactAge
	})
}

func sameAddress(a, b string) bool { return controlclient.MemberAddr(a) == controlclient.MemberAddr(b) }

// hasQuorum reports whether the live members, together with a number of additional live ones, are a
// quorum of the members and the additional ones.
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

// with returns the membership with a spare added; nil if it would have no live quorum.
func (p *membershipPlanner) with(spare string) []string {
	if !p.hasQuorum(p.members, 1) {
		return nil
	}
	return append(slices.Clone(p.members), spare)
}

// bestSpare returns a learner that may become a voter now, in a zone without a voter if there is one.
// It returns "" if there is no such learner.
func (p *membershipPlanner) bestSpare() string {
	best := ""
	for _, peer := range p.peers {
		if p.isReady(peer) && (best == "" || p.hasVoterInZoneOf(best) && !p.hasVoterInZoneOf(peer.Name)) {
			best = peer.Name
		}
	}
	return best
}

// isReady reports whether a learner is alive, holds what is committed, and is alone at its address:
// neither a voter nor a later incarnation runs there.
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

// hasVoterInZoneOf reports whether a voter that isn't leaving is in a learner's zone.
func (p *membershipPlanner) hasVoterInZoneOf(name string) bool {
	zone := p.zoneOf(controlclient.MemberAddr(name))
	return slices.ContainsFunc(p.members, func(member string) bool {
		return zone != "" && !p.isLeaving(member) && p.zoneOf(controlclient.MemberAddr(member)) == zone
	})
}
