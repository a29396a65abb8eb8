// Package nodeagent is the agent on each edge machine: it keeps the link to the control
// state, proves that the setup in use is fresh, watches the workers, and feeds the
// processes beside it over loopback.
package nodeagent

import (
	"time"

	"pebbleloom/internal/wire"
)

// Fresh proves by majority that no newer setup was acknowledged. An acknowledged setup is
// synced on two of the three members; so once two of the three have said, after an
// instant, that their disks hold nothing newer, nothing newer was acknowledged before it.
//
// A newer setup is taken into use as soon as two members vouch for it as well. Until then
// the old one is followed as long as its own proof holds: that is what its bound is for.
type Fresh struct{ cur, next vouched }

// vouched is a setup with those who vouch for it.
type vouched struct {
	doc  *wire.Document
	same map[string]vouch
}

// vouch is one member's word: when it was asked, which life of it answered, and which
// lives of the others count for it.
type vouch struct {
	asked time.Duration
	inc   string
	known []*wire.KnownIncarnation
}

// knows tells whether another's life counts for this one.
func (v vouch) knows(name, inc string) bool {
	for _, k := range v.known {
		if k.Name == name {
			return k.Incarnation == inc
		}
	}
	return true
}

// NewFresh begins without a setup.
//
// Example: f := runner.NewFresh()
func NewFresh() *Fresh { return &Fresh{cur: vouched{same: map[string]vouch{}}} }

// Epoch is what to ask with: the newest setup heard of, in use already or not.
//
// Example: ask.Have = f.Epoch()
func (f *Fresh) Epoch() uint64 { return max(f.cur.doc.GetVersion(), f.next.doc.GetVersion()) }

// Hear takes a member's answer to a question asked at an instant with an epoch. It tells
// whether the setup in use has changed.
//
// Example: changed := f.Hear("core-1", 7, askedAt, tell)
func (f *Fresh) Hear(member string, have uint64, asked time.Duration, t *wire.WatchResponse) bool {
	top := &f.cur
	if f.next.doc != nil {
		top = &f.next
	}
	switch t.Outcome {
	case wire.OutcomeNews:
		if t.Document.GetVersion() > f.Epoch() {
			f.next = vouched{t.Document, map[string]vouch{}}
			top = &f.next
		}
		if t.NothingNewer && t.Document.GetVersion() == top.doc.GetVersion() {
			top.add(member, asked, t)
		}
	case "same":
		if have == top.doc.GetVersion() {
			top.add(member, asked, t)
		}
	}
	if f.next.doc != nil && f.proof(f.next) > 0 {
		f.cur, f.next = f.next, vouched{}
		return true
	}
	return false
}

func (v *vouched) add(member string, asked time.Duration, t *wire.WatchResponse) {
	if asked > v.same[member].asked {
		v.same[member] = vouch{asked, t.Incarnation, t.KnownIncarnations}
	}
}

// proof is the earlier question of the best two of three who count for each other: a
// machine whose name another has taken vouches for nothing.
func (f *Fresh) proof(v vouched) time.Duration {
	best := time.Duration(0)
	for m, x := range v.same {
		for n, y := range v.same {
			if m < n && x.knows(n, y.inc) && y.knows(m, x.inc) {
				best = max(best, min(x.asked, y.asked))
			}
		}
	}
	return best
}

// Proof is the instant up to which nothing newer than the setup in use had been
// acknowledged; zero without one.
//
// Example: if now-f.Proof() > bound { deny() }
func (f *Fresh) Proof() time.Duration { return f.proof(f.cur) }

// Doc is the setup document in use.
//
// Example: s, err := setup.Read(f.Doc().Body)
func (f *Fresh) Doc() *wire.Document { return f.cur.doc }
