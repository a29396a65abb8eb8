package controlstate

import (
	"slices"
	"time"

	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/wire"
)

// gsimEdge follows all members by the real answers, and counts its proof as an edge does.
type gsimEdge struct {
	version, index, term uint64
	members              []string
	vouch                map[string]time.Duration // when a member was asked that held nothing newer
}

func (e *gsimEdge) hear(asked time.Duration, t *wire.FollowResponse) {
	if len(t.Members) > 0 && (t.MembersTerm > e.term || t.MembersTerm == e.term && t.MembersIndex > e.index) {
		e.members, e.term, e.index = t.Members, t.MembersTerm, t.MembersIndex
	}
	for _, d := range t.Documents {
		if d.Key == routingconfig.Key {
			e.version = max(e.version, d.Version)
		}
	}
	if t.NothingNewer {
		e.vouch[t.Member] = max(e.vouch[t.Member], asked)
	}
}

// proof is up to when nothing newer can have been acknowledged; zero: none.
func (e *gsimEdge) proof() time.Duration {
	var l []time.Duration
	for _, m := range e.members {
		l = append(l, e.vouch[m])
	}
	if len(l) == 0 {
		return 0
	}
	slices.Sort(l)
	return l[len(l)-len(l)/2-1] // a majority was asked then, or later
}

// poll is an edge's long poll of one member, and the check of its proof.
func (s *gsim) poll(n *gsimNode, hold time.Duration) {
	e, asked, end, incarnation := s.edge, s.now, s.now+hold, n.incarnation
	ask := &wire.FollowRequest{Known: []*wire.KnownVersion{{Key: routingconfig.Key, Version: e.version}}, ProofKey: routingconfig.Key}
	f := func() bool {
		if n.p == nil || n.incarnation != incarnation || hold > 0 && s.now < n.frozen {
			return n.incarnation == incarnation && n.p != nil
		}
		g := n.p.published.current()
		if s.plant == "vouch-open" { // planted: what is in the log and not applied is overlooked
			x := *g
			x.unappliedVersions, g = nil, &x
		}
		t := g.followResponse(ask)
		if len(t.Documents) == 0 && s.now < end {
			return true
		}
		if s.r.Float64() < s.loss {
			return false
		}
		e.hear(asked, t)
		p := e.proof()
		for _, w := range s.writes {
			if w.end > 0 && w.end <= p && w.version > e.version {
				s.fault("the proof says that nothing newer than %d was acknowledged up to %v, yet %d was, at %v", e.version, p, w.version, w.end)
			}
		}
		if p > 0 {
			s.counts["proof"]++
		}
		return false
	}
	if f() {
		s.open = append(s.open, f)
	}
}
