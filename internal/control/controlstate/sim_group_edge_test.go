package controlstate

import (
	"slices"
	"time"

	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/wire"
)

// simAgent follows the routing configuration by long polls of all members. Like package agent, it derives from their
// responses a proof of freshness: up to which time no version newer than its own can have been acknowledged.
type simAgent struct {
	version, membersIndex, membersTerm uint64
	restoreGeneration                  uint64 // newest restore generation that the agent knows of
	members                            []string
	confirmedAt                        map[string]time.Duration // by member: start of the newest poll to which the member responded that it holds nothing newer
	notPolled                          map[string]bool          // addresses that are no longer polled (defectLostPoll)
}

// handleResponse adopts newer members and versions from the response to a poll that was sent at sentAt, and records
// whether the member confirmed that it holds nothing newer.
func (a *simAgent) handleResponse(sentAt time.Duration, response *wire.FollowResponse) {
	if response.RestoreGeneration < a.restoreGeneration {
		return
	}
	if response.RestoreGeneration > a.restoreGeneration {
		*a = simAgent{restoreGeneration: response.RestoreGeneration, confirmedAt: map[string]time.Duration{}, notPolled: a.notPolled}
	}
	if len(response.Members) > 0 && (response.MembersTerm > a.membersTerm || response.MembersTerm == a.membersTerm && response.MembersIndex > a.membersIndex) {
		a.members, a.membersTerm, a.membersIndex = response.Members, response.MembersTerm, response.MembersIndex
	}
	for _, document := range response.Documents {
		if document.Key == routingconfig.DocumentKey {
			a.version = max(a.version, document.Version)
		}
	}
	if response.NothingNewer {
		a.confirmedAt[response.Member] = max(a.confirmedAt[response.Member], sentAt)
	}
}

// freshUntil returns the time up to which no version newer than the agent's can have been acknowledged; 0 without a proof.
func (a *simAgent) freshUntil() time.Duration {
	var times []time.Duration
	for _, member := range a.members {
		times = append(times, a.confirmedAt[member])
	}
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[len(times)-len(times)/2-1] // a majority of the members was polled at this time or later
}

// newestAcknowledged returns the newest acknowledged version; 0 if there is none.
func (s *groupSim) newestAcknowledged() (version uint64) {
	for _, change := range s.changes {
		if change.ackedAt > 0 {
			version = max(version, change.newVersion)
		}
	}
	return version
}

// agentIsUpToDate reports whether the agent has a proof of freshness for a time after since, and at least the given
// version.
func (s *groupSim) agentIsUpToDate(since time.Duration, version uint64) bool {
	return s.agent.freshUntil() > since && s.agent.version >= version
}

// poll starts a long poll of one member by the agent, which waits at most maxWait for a newer version, and checks the
// proof of freshness that results.
func (s *groupSim) poll(node *groupSimNode, maxWait time.Duration) {
	agent, sentAt, end, generation := s.agent, s.now, s.now+maxWait, node.generation
	if agent.notPolled[node.addr] || s.isSuperseded(node) && agent.restoreGeneration < s.restoreGeneration {
		return // an agent that does not know of the restore would accept proofs from members that the restore has superseded
	}
	request := &wire.FollowRequest{RestoreGeneration: agent.restoreGeneration, Known: []*wire.KnownVersion{{Key: routingconfig.DocumentKey, Version: agent.version}}, ProofKey: routingconfig.DocumentKey}
	poll := func() bool {
		if s.defect == defectLostPoll && node.generation != generation {
			agent.notPolled[node.addr] = true
		}
		if node.shard == nil || node.generation != generation || maxWait > 0 && s.now < node.frozenUntil {
			return node.generation == generation && node.shard != nil
		}
		view := node.shard.published.current()
		if s.defect == defectStaleView {
			faulty := *view
			faulty.unappliedVersions, view = nil, &faulty
		}
		response := view.followResponse(request)
		if len(response.Documents) == 0 && s.now < end {
			return true
		}
		if s.random.Float64() < s.lossRate {
			return false
		}
		agent.handleResponse(sentAt, response)
		freshUntil := agent.freshUntil()
		for _, change := range s.changes {
			if change.ackedAt > 0 && change.ackedAt <= freshUntil && change.newVersion > agent.version {
				s.violationf("freshness proof is wrong: it states that no version above %d was acknowledged up to %v, but version %d was acknowledged at %v", agent.version, freshUntil, change.newVersion, change.ackedAt)
			}
		}
		if freshUntil > 0 {
			s.count("freshness proof")
		}
		return false
	}
	if poll() {
		s.inProgress = append(s.inProgress, poll)
	}
}
