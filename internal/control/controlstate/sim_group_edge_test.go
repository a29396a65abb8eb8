package controlstate

import (
	"slices"
	"time"

	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/wire"
)

// simEdge follows all members by the real answers, and counts its proof as an edge does.
type simEdge struct {
	version, membersIndex, membersTerm uint64
	members                            []string
	confirmedAt                        map[string]time.Duration // when a member was asked that held nothing newer
}

func (e *simEdge) handleResponse(asked time.Duration, response *wire.FollowResponse) {
	if len(response.Members) > 0 && (response.MembersTerm > e.membersTerm || response.MembersTerm == e.membersTerm && response.MembersIndex > e.membersIndex) {
		e.members, e.membersTerm, e.membersIndex = response.Members, response.MembersTerm, response.MembersIndex
	}
	for _, document := range response.Documents {
		if document.Key == routingconfig.DocumentKey {
			e.version = max(e.version, document.Version)
		}
	}
	if response.NothingNewer {
		e.confirmedAt[response.Member] = max(e.confirmedAt[response.Member], asked)
	}
}

// proof is up to when nothing newer can have been acknowledged; zero: none.
func (e *simEdge) proof() time.Duration {
	var l []time.Duration
	for _, m := range e.members {
		l = append(l, e.confirmedAt[m])
	}
	if len(l) == 0 {
		return 0
	}
	slices.Sort(l)
	return l[len(l)-len(l)/2-1] // a majority was asked then, or later
}

// poll is an edge's long poll of one member, and the check of its proof.
func (s *groupSim) poll(node *groupSimNode, hold time.Duration) {
	e, asked, end, incarnation := s.edge, s.now, s.now+hold, node.generation
	ask := &wire.FollowRequest{Known: []*wire.KnownVersion{{Key: routingconfig.DocumentKey, Version: e.version}}, ProofKey: routingconfig.DocumentKey}
	poll := func() bool {
		if node.shard == nil || node.generation != incarnation || hold > 0 && s.now < node.frozenUntil {
			return node.generation == incarnation && node.shard != nil
		}
		view := node.shard.published.current()
		if s.plantedFault == "vouch-open" { // planted: what is in the log and not applied is overlooked
			faulty := *view
			faulty.unappliedVersions, view = nil, &faulty
		}
		response := view.followResponse(ask)
		if len(response.Documents) == 0 && s.now < end {
			return true
		}
		if s.random.Float64() < s.lossRate {
			return false
		}
		e.handleResponse(asked, response)
		p := e.proof()
		for _, change := range s.changes {
			if change.ackedAt > 0 && change.ackedAt <= p && change.newVersion > e.version {
				s.violationf("the proof says that nothing newer than %d was acknowledged up to %v, yet %d was, at %v", e.version, p, change.newVersion, change.ackedAt)
			}
		}
		if p > 0 {
			s.counts["proof"]++
		}
		return false
	}
	if poll() {
		s.inProgress = append(s.inProgress, poll)
	}
}
