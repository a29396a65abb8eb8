package controlstate

import (
	"slices"
	"time"

	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/wire"
)

// simEdge follows all members by their responses, and derives from these until when its version was the
// newest, as an edge does.
type simEdge struct {
	version, membersIndex, membersTerm uint64
	restoreGeneration                  uint64 // the newest that it has heard of
	members                            []string
	confirmedAt                        map[string]time.Duration // when the request was sent that a member answered with nothing newer
	abandoned                          map[string]bool          // addresses whose poll isn't renewed (plantedLostPoll)
}

// handleResponse takes in newer members and versions, and a confirmation that nothing is newer.
func (e *simEdge) handleResponse(sentAt time.Duration, response *wire.FollowResponse) {
	if response.RestoreGeneration < e.restoreGeneration {
		return
	}
	if response.RestoreGeneration > e.restoreGeneration {
		*e = simEdge{restoreGeneration: response.RestoreGeneration, confirmedAt: map[string]time.Duration{}, abandoned: e.abandoned}
	}
	if len(response.Members) > 0 && (response.MembersTerm > e.membersTerm || response.MembersTerm == e.membersTerm && response.MembersIndex > e.membersIndex) {
		e.members, e.membersTerm, e.membersIndex = response.Members, response.MembersTerm, response.MembersIndex
	}
	for _, document := range response.Documents {
		if document.Key == routingconfig.DocumentKey {
			e.version = max(e.version, document.Version)
		}
	}
	if response.NothingNewer {
		e.confirmedAt[response.Member] = max(e.confirmedAt[response.Member], sentAt)
	}
}

// freshUntil is up to when nothing newer can have been acknowledged; zero: there is no proof.
func (e *simEdge) freshUntil() time.Duration {
	var times []time.Duration
	for _, member := range e.members {
		times = append(times, e.confirmedAt[member])
	}
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[len(times)-len(times)/2-1] // a majority was asked then, or later
}

// newestAcknowledged returns the newest version that was acknowledged; 0: none.
func (s *groupSim) newestAcknowledged() (version uint64) {
	for _, change := range s.changes {
		if change.ackedAt > 0 {
			version = max(version, change.newVersion)
		}
	}
	return version
}

// edgeFollows reports whether the edge has a proof of freshness that is newer than a moment, and a version that had
// been acknowledged by then, or a newer one.
func (s *groupSim) edgeFollows(since time.Duration, version uint64) bool {
	return s.edge.freshUntil() > since && s.edge.version >= version
}

// poll is the edge's long poll of one member, held open for a time, and the check of the edge's proof.
func (s *groupSim) poll(node *groupSimNode, maxWait time.Duration) {
	edge, sentAt, end, generation := s.edge, s.now, s.now+maxWait, node.generation
	if edge.abandoned[node.addr] || s.isAbandoned(node) && edge.restoreGeneration < s.restoreGeneration {
		return // an edge that hasn't heard of a restore believes members that were given up
	}
	request := &wire.FollowRequest{RestoreGeneration: edge.restoreGeneration, Known: []*wire.KnownVersion{{Key: routingconfig.DocumentKey, Version: edge.version}}, ProofKey: routingconfig.DocumentKey}
	poll := func() bool {
		if s.plantedFault == plantedLostPoll && node.generation != generation {
			edge.abandoned[node.addr] = true
		}
		if node.shard == nil || node.generation != generation || maxWait > 0 && s.now < node.frozenUntil {
			return node.generation == generation && node.shard != nil
		}
		view := node.shard.published.current()
		if s.plantedFault == plantedStaleView {
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
		edge.handleResponse(sentAt, response)
		freshUntil := edge.freshUntil()
		for _, change := range s.changes {
			if change.ackedAt > 0 && change.ackedAt <= freshUntil && change.newVersion > edge.version {
				s.violationf("the proof says that nothing newer than %d was acknowledged up to %v, yet %d was, at %v", edge.version, freshUntil, change.newVersion, change.ackedAt)
			}
		}
		if freshUntil > 0 {
			s.count("proof")
		}
		return false
	}
	if poll() {
		s.inProgress = append(s.inProgress, poll)
	}
}
