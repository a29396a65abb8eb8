package agent

import (
	"slices"
	"time"

	"pebbleloom/internal/wire"
)

// FreshnessProof shows by majority up to which instant no newer plan had been acknowledged, in a group
// whose members change one at a time.
//
// The claim: let M be a membership, and let each of a majority Q of M have answered a request
// sent at t or later that (a) its disk holds no plan newer than v, and (b) the newest membership
// on its disk is M itself, by term and index. Then no plan newer than v was acknowledged before t.
//
// What the group promises: an entry is committed by a majority of the newest membership in its
// leader's log, committed or not; a leader adds a membership only when the one before it, and an
// entry of its own term, are committed; it differs by one member; a member that lost its disk
// has another incarnation, so another name; (a) and (b) are read at one instant from the synced log.
//
// Why it holds. Say a newer plan e was committed before t, by a majority of C. Any majorities
// of the same membership, or of two that are adjacent, share a member, and what is committed
// stays on the disks that hold it.
//   - C is M or adjacent to it: the member shared by both majorities held e, against (a).
//   - C came later, and not next: the membership N next after M was committed before C was added.
//     The member shared by Q and N's majority held N before t, against (b).
//   - C came earlier, and not next: e stands in the log before the membership after C, so before
//     M. Who holds M's entry holds the log up to it, so e, against (a).
//   - M was added by a leader of term T but never committed, and will be lost. e of a term before
//     T, or of T, stands in that leader's log before M: as above. For e of a later term, take the
//     first term after T that had committed an entry n of its own by then. Its leader's log lacks
//     M, else M would be committed; and nobody had added another membership, for want of an entry
//     of its own term. So n was committed by the membership before M, adjacent to M: the member
//     shared with Q held n, which had cut M off its log for good, against (b). (Without (b) this
//     case fails: from {1,2,3,4}, {a,3,4} of the lost {1,2,3,4,a} never meet {1,2} of {1,2,3}.)
//
// A proof is about the past, so it stays when members change, and a proof for v is one for any
// newer plan. It never serves an older one: an attestation for v says nothing about plans
// between u and v, so it doesn't count while u is in use.
type FreshnessProof struct {
	term, index  uint64 // of the newest membership that any member reported
	members      []string
	attestations map[string]attestation
	at           time.Duration
}

// attestation is the latest statement of one member.
type attestation struct {
	asked       time.Duration
	version     uint64 // its disk held nothing newer
	term, index uint64 // of the newest membership on its disk
}

// NewFreshnessProof starts without members.
//
// Example: p := agent.NewFreshnessProof()
func NewFreshnessProof() *FreshnessProof {
	return &FreshnessProof{attestations: map[string]attestation{}}
}

// Members is the newest known membership; nil before the first.
//
// Example: for _, m := range p.Members() { follow(m) }
func (p *FreshnessProof) Members() []string { return p.members }

// AddResponse records a response to a request that was sent at the instant asked. version is the
// newest plan that the member was sent or returned.
//
// Example: p.AddResponse(response, 7, askedAt)
func (p *FreshnessProof) AddResponse(response *wire.FollowResponse, version uint64, asked time.Duration) {
	if len(response.Members) == 0 {
		return // it knows no group
	}
	if p.members == nil || response.MembersTerm > p.term || response.MembersTerm == p.term && response.MembersIndex > p.index {
		p.term, p.index, p.members = response.MembersTerm, response.MembersIndex, slices.Clone(response.Members)
		for m := range p.attestations {
			if !slices.Contains(p.members, m) {
				delete(p.attestations, m)
			}
		}
	}
	if !response.NothingNewer || !slices.Contains(p.members, response.Member) || asked <= p.attestations[response.Member].asked {
		return
	}
	p.attestations[response.Member] = attestation{asked, version, response.MembersTerm, response.MembersIndex}
}

// FreshUntil is the instant up to which nothing newer than the version in use had been acknowledged; zero
// without a proof. It never decreases while the versions in use only grow.
//
// Example: if now-p.At(7) > bound { reject() }
func (p *FreshnessProof) FreshUntil(version uint64) time.Duration {
	var l []time.Duration
	for _, m := range p.members {
		if v, ok := p.attestations[m]; ok && v.version <= version && v.term == p.term && v.index == p.index {
			l = append(l, v.asked)
		}
	}
	if need := len(p.members)/2 + 1; len(l) >= need && need > 0 {
		slices.Sort(l)
		p.at = max(p.at, l[len(l)-need])
	}
	return p.at
}
