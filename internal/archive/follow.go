package archive

import (
	"context"
	"maps"
	"strings"
	"sync/atomic"
	"time"

	"pebbleloom/internal/fleet"
	"pebbleloom/internal/ledger"
	"pebbleloom/internal/wire"
)

// glimpse is what a member held at one moment. It is shown after its disk holds it and before
// anybody hears so; so whoever sees a glimpse sees all that this member has acknowledged to
// hold, also while its thread waits for the disk.
type glimpse struct {
	self    string
	docs    map[string]*wire.Doc
	packed  map[string]*wire.Doc // the same, for those that take them so
	open    map[string]uint64    // what entries that aren't applied yet may bring
	members []string
	term    uint64
	index   uint64
	votes   bool // it is a member, and its disk is well
	owner   string
	owns    bool
	next    chan struct{} // closed once there is news
}

// glimpses shows the newest.
type glimpses struct {
	p     atomic.Pointer[glimpse]
	holds atomic.Int64 // questions that are held
}

func (g *glimpses) now() *glimpse { return g.p.Load() }

// show makes a new glimpse where a step has changed what it shows. It wakes those that are
// held only when there is something to tell.
func (p *part) show(o ledger.Out) {
	if p.group == nil {
		return
	}
	old, s := p.seen.now(), p.core.Stands()
	fresh := old == nil || o.Install != nil
	owns := s.Owns && p.bad == nil
	if !fresh && len(o.Records) == 0 && len(o.Commits) == 0 && old.owner == s.Owner && old.owns == owns && p.bad == nil {
		return
	}
	if owns && (old == nil || !old.owns) {
		p.log.Info("owns the group", "term", s.Term)
	}
	g := &glimpse{owner: s.Owner, owns: owns, open: puts(p.core.Unsettled())}
	g.members, g.term, g.index = p.core.Members()
	g.self = p.core.Self()
	g.votes = p.bad == nil && p.core.Sits(g.self)
	put := fresh
	for _, e := range o.Commits {
		put = put || len(e.Body) > 0
	}
	if put {
		g.docs = maps.Clone(p.st.docs)
		g.packed = packed(g.docs, old)
	} else {
		g.docs, g.packed = old.docs, old.packed
	}
	if old != nil {
		g.next = old.next
		news := g.term != old.term || g.index != old.index || g.votes != old.votes
		for k, d := range g.docs {
			news = news || old.docs[k] != d
		}
		if news {
			g.next = make(chan struct{})
			defer close(old.next)
		}
	} else {
		g.next = make(chan struct{})
	}
	p.seen.p.Store(g)
}

// maxHolds is how many questions are held at once; more are answered without being held.
const maxHolds = 1024

// Follow answers a long poll over several documents.
//
// Example: t, err := a.Follow(ctx, &wire.FollowAsk{Have: have, HoldNs: 1e9, Proof: "plan"})
func (n *Node) Follow(ctx context.Context, a *wire.FollowAsk) (*wire.FollowTell, error) {
	p := n.parts[0]
	if p == nil || p.group == nil {
		return &wire.FollowTell{Member: n.life.Place.Name}, nil
	}
	over := p.seen.holds.Add(1) > maxHolds
	defer p.seen.holds.Add(-1)
	hold := time.Duration(min(a.HoldNs, uint64(time.Minute)))
	end := time.NewTimer(hold)
	defer end.Stop()
	draining := n.life.Draining
	for {
		g := p.seen.now()
		if t := g.tell(a); over || len(t.Docs) > 0 {
			return t, nil
		}
		select {
		case <-g.next:
		case <-end.C:
			over = true
		case <-ctx.Done():
			over = true
		case <-draining: // what is held now is answered soon; not at once, it would be asked again
			draining = nil
			end.Reset(min(hold, n.life.Place.Bounds.Heal(groupTick)))
		}
	}
}

// tell is the answer that this glimpse gives.
func (g *glimpse) tell(a *wire.FollowAsk) *wire.FollowTell {
	t := &wire.FollowTell{Member: g.self, Members: g.members, MembersTerm: g.term, MembersIndex: g.index, Owner: g.owner}
	have := make(map[string]uint64, len(a.Have))
	for _, h := range a.Have {
		have[h.Key] = h.Version
	}
	known := have[a.Proof]
	docs := g.docs
	if a.Packed {
		docs = g.packed
	}
	for _, h := range a.Have {
		if strings.HasSuffix(h.Key, "/") {
			for k, d := range docs {
				if _, listed := have[k]; !listed && strings.HasPrefix(k, h.Key) {
					t.Docs = append(t.Docs, d)
				}
			}
		} else if d := docs[h.Key]; d.GetEpoch() > h.Version {
			t.Docs = append(t.Docs, d)
			if h.Key == a.Proof {
				known = d.Epoch
			}
		}
	}
	t.Same = a.Proof != "" && g.votes && g.docs[a.Proof].GetEpoch() <= known && g.open[a.Proof] <= known && g.open[""] == 0
	return t
}

// packed packs documents; those that a glimpse before showed already aren't packed again.
func packed(docs map[string]*wire.Doc, old *glimpse) map[string]*wire.Doc {
	m := make(map[string]*wire.Doc, len(docs))
	for k, d := range docs {
		if old != nil && old.docs[k] == d {
			m[k] = old.packed[k]
		} else {
			m[k] = fleet.Pack(d)
		}
	}
	return m
}
