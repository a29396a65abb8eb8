package consensus

import (
	"fmt"
	"slices"
	"time"

	"pebbleloom/internal/data/agent"
	"pebbleloom/internal/wire"
)

const (
	queryFreshness  eventKind = 100 + iota // a client (agent) asks all members whether they have a newer document
	attestFreshness                        // a member responds to the client that it has no newer document
)

// attestation is the response of a member that has no newer document than the asking client. It carries the newest
// voters in the member's log, and the term and index of the entry that names them.
type attestation struct {
	member      string
	members     []string
	term, index uint64
	generation  uint64
}

// beginFreshnessQuery records that a client asks the members for a proof that its document is the newest. It isn't: it
// lacks the last committed command.
func (s *stateSpace) beginFreshnessQuery(id int32) int32 {
	history := s.histories[id].observedHistory
	if history.committedWhenAsked > 0 || history.bodies() == "" {
		return id
	}
	history.committedWhenAsked = len(history.bodies())
	return s.internHistory(history)
}

// attest records that a member responds to the client that it has no newer document, if this is so.
func (s *stateSpace) attest(id int32, node nodeEntry) int32 {
	history := s.histories[id].observedHistory
	if history.committedWhenAsked == 0 || !node.core.IsVoter(node.name) || node.pending() {
		return id
	}
	newest := len(node.appliedState)
	for _, entry := range node.core.UnappliedEntries() {
		newest += len(entry.Body)
	}
	if newest >= history.committedWhenAsked {
		return id
	}
	v := attestation{member: node.name, generation: node.core.hardState.RestoreGeneration}
	v.members, v.term, v.index = node.core.Members()
	for _, old := range history.attestations {
		if old.member == v.member && old.term == v.term && old.index == v.index && old.generation == v.generation {
			return id
		}
	}
	history.attestations = append(slices.Clip(history.attestations), v)
	return s.internHistory(history)
}

// checkFreshnessProof checks that the members' responses don't prove to the client that its document was the newest
// when it asked, since the document lacks one committed command. A proof by members of earlier restore generations
// alone is no violation, since the client can't learn of the restore from them.
func (history observedHistory) checkFreshnessProof() string {
	const version, askedAt = 1, time.Second
	p := agent.NewFreshnessProof()
	knowsNewest := history.generation == 0
	for _, v := range history.attestations {
		knowsNewest = knowsNewest || v.generation == history.generation
		p.AddResponse(&wire.FollowResponse{Member: v.member, Members: v.members, MembersTerm: v.term, MembersIndex: v.index, RestoreGeneration: v.generation, NothingNewer: true}, version, askedAt)
	}
	if !knowsNewest || p.FreshUntil(version) == 0 {
		return ""
	}
	return fmt.Sprintf("wrong proof that a client's document is the newest: responses %+v prove that only %d commands are committed, but %d were committed before the query", history.attestations, history.committedWhenAsked-1, history.committedWhenAsked)
}
