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

func (e *simEdge) handleResponse(asked time.Duration, t *wire.FollowResponse) {
	if len(t.Members) > 0 && (t.MembersTerm > e.membersTerm || t.MembersTerm == e.membersTerm && t.MembersIndex > e.membersIndex) {
		e.members, e.membersTerm, e.membersIndex = t.Members, t.MembersTerm, t.MembersIndex
	}
	for _, d := range t.Documents {
		if d.Key == routingconfig.DocumentKey {
			e.version = max(e.version, d.Version)
		}
	}
	if t.NothingNewer {
		e.confirmedAt[t.Member] = max(e.confirmedAt[t.Member], asked)
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
func (s *groupSim) poll(n *groupSimNode, hold time.Duration) {
	e, asked, end, incarnation := s.edge, s.now, s.now+hold, n.generation
	ask := &wire.FollowRequest{Known: []*wire.KnownVersion{{Key: routingconfig.DocumentKey, Version: e.version}}, ProofKey: routingconfig.DocumentKey}
	f := func() bool {
		if n.shard == nil || n.generation != incarnation || hold > 0 && s.now < n.frozenUntil {
			return n.generation == incarnation && n.shard != nil
		}
		g := n.shard.published.current()
		if s.plantedFault == "vouch-open" { // planted: what is in the log and not applied is overlooked
			x := *g
			x.unappliedVersions, g = nil, &x
		}
		t := g.followResponse(ask)
		if len(t.Documents) == 0 && s.now < end {
			return true
		}
		if s.random.Float64() < s.lossRate {
			return false
		}
		e.handleResponse(asked, t)
		p := e.proof()
		for _, w := range s.changes {
			if w.ackedAt > 0 && w.ackedAt <= p && w.newVersion > e.version {
				s.violationf("the proof says that nothing newer than %d was acknowledged up to %v, yet %d was, at %v", e.version, p, w.newVersion, w.ackedAt)
			}
		}
		if p > 0 {
			s.counts["proof"]++
		}
		return false
	}
	if f() {
		s.inProgress = append(s.inProgress, f)
	}
}
