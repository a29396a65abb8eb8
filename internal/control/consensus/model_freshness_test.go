package consensus

import (
	"fmt"
	"slices"
	"time"

	"pebbleloom/internal/data/agent"
	"pebbleloom/internal/wire"
)

const (
	queryFreshness  eventKind = 100 + iota // an agent asks all members whether there is a newer document
	attestFreshness                        // a member responds that it has none
)

// attestation is a member's response to the agent: it has no newer document, and these are its newest voters.
type attestation struct {
	member      string
	members     []string
	term, index uint64
	generation  uint64
}

// beginFreshnessQuery records that the agent begins to ask for a proof, with a document that lacks the last
// committed command.
func (s *space) beginFreshnessQuery(id int32) int32 {
	history := s.histories[id].observedHistory
	if history.committedWhenAsked > 0 || history.bodies() == "" {
		return id
	}
	history.committedWhenAsked = len(history.bodies())
	return s.internHistory(history)
}

// attest records the response of a member, if it attests that it has no newer document.
func (s *space) attest(id int32, node nodeEntry) int32 {
	history := s.histories[id].observedHistory
	if history.committedWhenAsked == 0 || !node.core.IsVoter(node.name) || node.pending() {
		return id
	}
	newest := len(node.app)
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

// checkFreshnessProof checks that the responses don't prove to the agent that its document was the newest when it
// asked, which it wasn't. An agent that hasn't heard of the newest restore can't know better.
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
	return fmt.Sprintf("wrong proof of freshness: %v prove that %d changes are all, %d had been committed before they were asked", history.attestations, history.committedWhenAsked-1, history.committedWhenAsked)
}
