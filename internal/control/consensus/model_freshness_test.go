package consensus

import (
	"fmt"
	"slices"
	"time"

	"pebbleloom/internal/data/agent"
	"pebbleloom/internal/wire"
)

const (
	queryFreshness  eventKind = 100 + iota // a client asks all members whether they have newer state than its copy
	attestFreshness                        // a member responds to the client that it has no newer state than the client's copy
)

// attestation is the response of a member that has no newer state than the asking client's copy. It carries the newest
// voters in the member's log, and the term and index of the entry that names them.
type attestation struct {
	member      string
	members     []string
	term, index uint64
	generation  uint64
}

// beginFreshnessQuery records that a client asks the members whether its copy of the replicated state is the newest. It
// is if a majority of the newest voters that the responses name have no newer state. The copy in the model lacks the
// last committed command, so a proof that it is the newest would be wrong.
func (s *stateSpace) beginFreshnessQuery(id int32) int32 {
	history := s.histories[id].observedHistory
	if history.committedWhenAsked > 0 || history.bodies() == "" {
		return id
	}
	history.committedWhenAsked = len(history.bodies())
	return s.internHistory(history)
}

// attest records that a member responds to the client that it has no newer state than the client's copy, if this is so.
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
	response := attestation{member: node.name, generation: node.core.hardState.RestoreGeneration}
	response.members, response.term, response.index = node.core.Members()
	for _, earlier := range history.attestations {
		if earlier.member == response.member && earlier.term == response.term && earlier.index == response.index && earlier.generation == response.generation {
			return id
		}
	}
	history.attestations = append(slices.Clip(history.attestations), response)
	return s.internHistory(history)
}

// checkFreshnessProof checks that the members' responses don't prove to the client that its copy of the replicated state
// was the newest when it asked, since the copy lacks one committed command. A proof by members of earlier restore generations
// alone is no violation, since the client can't learn of the restore from them.
func (history observedHistory) checkFreshnessProof() string {
	const version, askedAt = 1, time.Second
	proof := agent.NewFreshnessProof()
	knowsNewest := history.generation == 0
	for _, response := range history.attestations {
		knowsNewest = knowsNewest || response.generation == history.generation
		proof.AddResponse(&wire.FollowResponse{Member: response.member, Members: response.members, MembersTerm: response.term, MembersIndex: response.index, RestoreGeneration: response.generation, NothingNewer: true}, version, askedAt)
	}
	if !knowsNewest || proof.FreshUntil(version) == 0 {
		return ""
	}
	return fmt.Sprintf("wrong proof that a client's copy of the replicated state is the newest: responses %+v prove that only %d commands are committed, but %d were committed before the query", history.attestations, history.committedWhenAsked-1, history.committedWhenAsked)
}
