package agent

import (
	"slices"
	"time"

	"pebbleloom/internal/wire"
)

// FreshnessProof determines, from the responses of a quorum, the latest instant before which no plan newer
// than the one in use had been acknowledged. The members of the consensus group may change, one at a time.
//
// Claim: let M be a membership, and let each member of a quorum Q of M have stated, in response to a request
// sent at time t or later, that (a) its disk has no plan newer than version v, and (b) the newest membership
// on its disk is M itself, identified by term and index. Then no plan newer than v was acknowledged before t.
//
// Guarantees of the group: an entry is committed by a quorum of the newest membership in its leader's
// log, whether or not that membership is committed; a leader appends a membership only when the previous
// membership and an entry of the leader's own term are committed; consecutive memberships differ by one
// member; a member that lost its disk gets a new incarnation and thereby a new name; (a) and (b) are read
// at the same instant from the synced log.
//
// Proof. Suppose a newer plan e was committed before t, by a quorum of membership C. Any two quorums of the
// same membership, or of two adjacent memberships, have a common member, and a committed entry stays on the
// disks that have it.
//   - C is M or adjacent to M: the common member of both quorums had e, which contradicts (a).
//   - C is later than M and not adjacent: the membership N that follows M was committed before C was
//     appended. The common member of Q and N's quorum had N before t, which contradicts (b).
//   - C is earlier than M and not adjacent: e precedes the membership after C in the log, so it precedes M.
//     A member that has M's entry has the log up to it, including e, which contradicts (a).
//   - M was appended by a leader of term T but is never committed. If the term of e is T or earlier, e
//     precedes M in that leader's log, as in the previous case. If it is later, take the first term after T
//     that had committed an entry n of its own by then. Its leader's log lacks M, or else M would be
//     committed; and no leader had appended another membership, because none had committed an entry of its
//     own term. So n was committed by the membership before M, which is adjacent to M: the common member
//     with Q had n, which had permanently truncated M from its log, which contradicts (b). (Without (b) this
//     case fails: after {1,2,3,4}, the quorum {a,3,4} of the uncommitted {1,2,3,4,a} does not intersect the
//     quorum {1,2} of {1,2,3}.)
//
// A group that was restored from the disk of one member gets a higher restore generation and counts as a
// different group: entries that it lacks are abandoned. Memberships are therefore ordered by restore
// generation first. An abandoned member has a different name from every voter of the restored group, so its
// statements are ignored once the restored group is known.
//
// A proof is a statement about the past, so it stays valid when members change, and a proof for version v
// also holds for any newer plan. It does not hold for an older version u: an attestation for v says nothing
// about plans between u and v, so it is not counted while u is in use.
type FreshnessProof struct {
	generation   uint64 // newest restore generation that any member reported
	term, index  uint64 // log position of the newest known membership in that restore generation
	members      []string
	attestations map[string]attestation // latest attestation of each group member, by name of the member
	freshUntil   time.Duration
}

// attestation is a group member's latest statement that its disk had no plan newer than a given version.
type attestation struct {
	requestedAt time.Duration // when the agent sent the request; the member made its statement later
	version     uint64        // highest plan version that the member's disk may have had
	term, index uint64        // log position of the newest membership on the member's disk
}

// NewFreshnessProof returns a FreshnessProof without members or attestations, which proves nothing yet.
//
// Example: p := agent.NewFreshnessProof()
func NewFreshnessProof() *FreshnessProof {
	return &FreshnessProof{attestations: map[string]attestation{}}
}

// Members returns the members of the consensus group in the newest known membership; nil if none is known yet.
//
// Example: for _, member := range p.Members() { follow(member) }
func (p *FreshnessProof) Members() []string { return p.members }

// Generation returns the newest known restore generation of the consensus group, which increases each time
// the group is restored from one member's disk.
//
// Example: request.RestoreGeneration = p.Generation()
func (p *FreshnessProof) Generation() uint64 { return p.generation }

// AddResponse records the response of a member of the consensus group to a request that was sent at requestedAt.
// version is the higher of the plan versions in the request and in the response.
//
// Example: p.AddResponse(response, 7, requestedAt)
func (p *FreshnessProof) AddResponse(response *wire.FollowResponse, version uint64, requestedAt time.Duration) {
	if len(response.Members) == 0 {
		return // the responding node does not belong to a consensus group
	}
	if p.members == nil || p.isNewerMembership(response) {
		p.setMembers(response)
	}
	if !response.NothingNewer || !slices.Contains(p.members, response.Member) {
		return
	}
	if requestedAt <= p.attestations[response.Member].requestedAt {
		return // responses may arrive out of order: an attestation for a request sent at the same time or later is already recorded
	}
	p.attestations[response.Member] = attestation{requestedAt, version, response.MembersTerm, response.MembersIndex}
}

// isNewerMembership reports whether a response contains a newer membership of the consensus group than p.members.
func (p *FreshnessProof) isNewerMembership(response *wire.FollowResponse) bool {
	if response.RestoreGeneration != p.generation {
		return response.RestoreGeneration > p.generation
	}
	if response.MembersTerm != p.term {
		return response.MembersTerm > p.term
	}
	return response.MembersIndex > p.index
}

// setMembers adopts the membership of a response and discards the attestations of removed members.
func (p *FreshnessProof) setMembers(response *wire.FollowResponse) {
	p.generation = response.RestoreGeneration
	p.term, p.index, p.members = response.MembersTerm, response.MembersIndex, slices.Clone(response.Members)
	for member := range p.attestations {
		if !slices.Contains(p.members, member) {
			delete(p.attestations, member)
		}
	}
}

// FreshUntil returns the instant before which no plan newer than the given version in use had been
// acknowledged; zero without a proof. It never decreases as long as version does not decrease.
//
// Example: if now-p.FreshUntil(7) > bound { reject() }
func (p *FreshnessProof) FreshUntil(version uint64) time.Duration {
	var requestedAt []time.Duration // send times of the requests whose attestations count: those for the newest membership and at most this plan version
	for _, member := range p.members {
		a, ok := p.attestations[member]
		if ok && a.version <= version && a.term == p.term && a.index == p.index {
			requestedAt = append(requestedAt, a.requestedAt)
		}
	}
	quorum := len(p.members)/2 + 1
	if len(requestedAt) == 0 || len(requestedAt) < quorum {
		return p.freshUntil
	}
	slices.Sort(requestedAt)
	p.freshUntil = max(p.freshUntil, requestedAt[len(requestedAt)-quorum]) // the requests to the members of a quorum were sent at that instant or later
	return p.freshUntil
}
