package controlstate

import (
	"context"
	"maps"
	"strings"
	"sync/atomic"
	"time"

	"pebbleloom/internal/control/consensus"
	"pebbleloom/internal/fleet"
	"pebbleloom/internal/wire"
)

// publishedView is what a member held at one moment. It is published after its disk holds it and
// before any peer hears so; so whoever reads the view sees all that this member has acknowledged
// to hold, also while its thread waits for the disk.
type publishedView struct {
	self                string
	documents           map[string]*wire.Document
	compressedDocuments map[string]*wire.Document // the same, for those that take them so
	unappliedVersions   map[string]uint64         // what entries that aren't applied yet may bring
	members             []string
	term                uint64
	index               uint64
	isVoter             bool // it is a member, and its disk is well
	leader              string
	isLeader            bool
	changed             chan struct{} // closed once there is news
}

// viewPublisher holds the newest view.
type viewPublisher struct {
	view      atomic.Pointer[publishedView]
	longPolls atomic.Int64 // requests that are held
}

func (g *viewPublisher) current() *publishedView { return g.view.Load() }

// publish makes a new view where a step has changed what it shows. It wakes the requests that are
// held only when there is something to answer.
func (p *shard) publish(o consensus.Ready) {
	if p.group == nil {
		return
	}
	old, s := p.published.current(), p.core.Status()
	fresh := old == nil || o.Snapshot != nil
	isLeader := s.IsLeader && p.failure == nil
	if !fresh && len(o.Records) == 0 && len(o.CommittedEntries) == 0 && old.leader == s.Leader && old.isLeader == isLeader && p.failure == nil {
		return
	}
	if isLeader && (old == nil || !old.isLeader) {
		p.log.Info("leads the group", "term", s.Term)
	}
	g := &publishedView{leader: s.Leader, isLeader: isLeader, unappliedVersions: highestVersions(p.core.UnappliedEntries())}
	g.members, g.term, g.index = p.core.Members()
	g.self = p.core.Self()
	g.isVoter = p.failure == nil && p.core.IsVoter(g.self)
	changed := fresh
	for _, e := range o.CommittedEntries {
		changed = changed || len(e.Body) > 0
	}
	if changed {
		g.documents = maps.Clone(p.state.documents)
		g.compressedDocuments = compressDocuments(g.documents, old)
	} else {
		g.documents, g.compressedDocuments = old.documents, old.compressedDocuments
	}
	if old != nil {
		g.changed = old.changed
		news := g.term != old.term || g.index != old.index || g.isVoter != old.isVoter
		for k, d := range g.documents {
			news = news || old.documents[k] != d
		}
		if news {
			g.changed = make(chan struct{})
			defer close(old.changed)
		}
	} else {
		g.changed = make(chan struct{})
	}
	p.published.view.Store(g)
}

// maxLongPolls is how many requests are held at once; more are answered without being held.
const maxLongPolls = 1024

// Follow answers a long poll over several documents.
//
// Example: response, err := n.Follow(ctx, &wire.FollowRequest{Have: have, HoldNs: 1e9, Proof: "plan"})
func (n *Node) Follow(ctx context.Context, a *wire.FollowRequest) (*wire.FollowResponse, error) {
	p := n.shards[0]
	if p == nil || p.group == nil {
		return &wire.FollowResponse{Member: n.process.Settings.Name}, nil
	}
	over := p.published.longPolls.Add(1) > maxLongPolls
	defer p.published.longPolls.Add(-1)
	hold := time.Duration(min(a.MaxWaitNs, uint64(time.Minute)))
	end := time.NewTimer(hold)
	defer end.Stop()
	draining := n.process.Draining
	for {
		g := p.published.current()
		if t := g.followResponse(a); over || len(t.Documents) > 0 {
			return t, nil
		}
		select {
		case <-g.changed:
		case <-end.C:
			over = true
		case <-ctx.Done():
			over = true
		case <-draining: // what is held now is answered soon; not at once, or it would come back at once
			draining = nil
			end.Reset(min(hold, n.process.Settings.Bounds.Heal(groupTick)))
		}
	}
}

// followResponse is the answer that this view gives. NothingNewer is the word of a member that has a
// vote, of its own disk alone: agent.FreshnessProof says what a majority of such words proves.
func (g *publishedView) followResponse(a *wire.FollowRequest) *wire.FollowResponse {
	t := &wire.FollowResponse{Member: g.self, Members: g.members, MembersTerm: g.term, MembersIndex: g.index, Leader: g.leader}
	have := make(map[string]uint64, len(a.Known))
	for _, h := range a.Known {
		have[h.Key] = h.Version
	}
	known := have[a.ProofKey]
	docs := g.documents
	if a.AcceptsCompressed {
		docs = g.compressedDocuments
	}
	for _, h := range a.Known {
		if strings.HasSuffix(h.Key, "/") {
			for k, d := range docs {
				if _, listed := have[k]; !listed && strings.HasPrefix(k, h.Key) {
					t.Documents = append(t.Documents, d)
				}
			}
		} else if d := docs[h.Key]; d.GetVersion() > h.Version {
			t.Documents = append(t.Documents, d)
			if h.Key == a.ProofKey {
				known = d.Version
			}
		}
	}
	t.NothingNewer = a.ProofKey != "" && g.isVoter && g.documents[a.ProofKey].GetVersion() <= known && g.unappliedVersions[a.ProofKey] <= known && g.unappliedVersions[""] == 0
	return t
}

// compressDocuments packs documents; those that the view before held already aren't packed again.
func compressDocuments(docs map[string]*wire.Document, old *publishedView) map[string]*wire.Document {
	m := make(map[string]*wire.Document, len(docs))
	for k, d := range docs {
		if old != nil && old.documents[k] == d {
			m[k] = old.compressedDocuments[k]
		} else {
			m[k] = fleet.Compress(d)
		}
	}
	return m
}
