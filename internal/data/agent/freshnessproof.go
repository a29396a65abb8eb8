package agent

import (
	"slices"
	"time"

	"pebbleloom/internal/wire"
)

// FreshnessProof proves by quorum up to which instant no newer plan had been acknowledged, in a consensus
// group whose members change one at a time.
//
// The claim: let M be a membership, and let each of a quorum Q of M have responded to a request sent at t
// or later that (a) its disk has no plan newer than v, and (b) the newest membership on its disk is M
// itself, by term and index. Then no plan newer than v was acknowledged before t.
//
// What the group guarantees: an entry is committed by a quorum of the newest membership in its leader's
// log, committed or not; a leader appends a membership only when the one before it, and an entry of its
// own term, are committed; it differs by one member; a member that lost its disk has another incarnation,
// so another name; (a) and (b) are read at one instant from the synced log.
//
// Why it holds. Say a newer plan e was committed before t, by a quorum of C. Any quorums of the same
// membership, or of two that are adjacent, share a member, and a committed entry stays on the disks that
// have it.
//   - C is M or adjacent to it: the member shared by both quorums had e, against (a).
//   - C came later, and not next: the membership N next after M was committed before C was appended. The
//     member shared by Q and N's quorum had N before t, against (b).
//   - C came earlier, and not next: e precedes the membership after C in the log, so it precedes M. A
//     member that has M's entry has the log up to it, so e, against (a).
//   - M was appended by a leader of term T but never committed, and will be lost. e of a term before T, or
//     of T, precedes M in that leader's log: as above. For e of a later term, take the first term after T
//     that had committed an entry n of its own by then. Its leader's log lacks M, else M would be
//     committed; and no leader had appended another membership, for want of an entry of its own term. So n
//     was committed by the membership before M, adjacent to M: the member shared with Q had n, which had
//     truncated M from its log for good, against (b). (Without (b) this case fails: from {1,2,3,4},
//     {a,3,4} of the lost {1,2,3,4,a} never intersects {1,2} of {1,2,3}.)
//
// A group that was restored from one member (restore generation) is another group: what it doesn't hold was
// given up. So memberships rank by restore generation first. A member that was given up has another name than
// any voter of the restored group, so what it says doesn't count once that group is known.
//
// A proof is about the past, so it stays valid when members change, and a proof for v is one for any newer
// plan. It is none for an older one: an attestation for v says nothing about plans between u and v, so it
// doesn't count while u is in use.
type FreshnessProof struct {
	generation   uint64 // the newest restore generation that any member reported
	term, index  uint64 // of the newest membership of that generation
	members      []string
	attestations map[string]attestation // by member of that membership
	freshUntil   time.Duration
}

// attestation is the latest statement of one member: its disk had nothing newer.
type attestation struct {
	requestedAt time.Duration // when the request was sent: the statement is younger
	version     uint64        // of the plan that nothing was newer than
	term, index uint64        // of the newest membership on its disk
}

// NewFreshnessProof makes a proof without members, which proves nothing yet.
//
// Example: p := agent.NewFreshnessProof()
func NewFreshnessProof() *FreshnessProof {
	return &FreshnessProof{attestations: map[string]attestation{}}
}

// Members is the newest known membership; nil before the first.
//
// Example: for _, member := range p.Members() { follow(member) }
func (p *FreshnessProof) Members() []string { return p.members }

// Generation is the newest known restore generation of the group.
//
// Example: request.RestoreGeneration = p.Generation()
func (p *FreshnessProof) Generation() uint64 { return p.generation }

// AddResponse records a response to a request that was sent at an instant. version is the newest plan
// that the member was sent or returned.
//
// Example: p.AddResponse(response, 7, requestedAt)
func (p *FreshnessProof) AddResponse(response *wire.FollowResponse, version uint64, requestedAt time.Duration) {
	if len(response.Members) == 0 {
		return // it knows no group
	}
	if p.members == nil || p.isNewerMembership(response) {
		p.setMembers(response)
	}
	if !response.NothingNewer || !slices.Contains(p.members, response.Member) {
		return
	}
	if requestedAt <= p.attestations[response.Member].requestedAt {
		return // responses may overtake each other
	}
	p.attestations[response.Member] = attestation{requestedAt, version, response.MembersTerm, response.MembersIndex}
}

// isNewerMembership reports whether a response has a newer membership than the newest known.
func (p *FreshnessProof) isNewerMembership(response *wire.FollowResponse) bool {
	if response.RestoreGeneration != p.generation {
		return response.RestoreGeneration > p.generation
	}
	if response.MembersTerm != p.term {
		return response.MembersTerm > p.term
	}
	return response.MembersIndex > p.index
}

// setMembers takes a response's membership over. Members that were removed attest nothing any more.
func (p *FreshnessProof) setMembers(response *wire.FollowResponse) {
	p.generation = response.RestoreGeneration
	p.term, p.index, p.members = response.MembersTerm, response.MembersIndex, slices.Clone(response.Members)
	for member := range p.attestations {
		if !slices.Contains(p.members, member) {
			delete(p.attestations, member)
		}
	}
}

// FreshUntil is the instant up to which nothing newer than the version in use had been acknowledged; zero
// without a proof. It never decreases while the versions in use only grow.
//
// Example: if now-p.FreshUntil(7) > bound { reject() }
func (p *FreshnessProof) FreshUntil(version uint64) time.Duration {
	var requestedAt []time.Duration // of the members that attest the version and the membership
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
	p.freshUntil = max(p.freshUntil, requestedAt[len(requestedAt)-quorum]) // a quorum was asked then or later
	return p.freshUntil
}
