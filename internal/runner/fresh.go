// Package runner is the agent on each edge machine: it keeps the link to the control
// state, proves that the setup in use is fresh, watches the workers, and feeds the
// processes beside it over loopback.
package runner

import (
	"sort"
	"time"

	"pebbleloom/internal/wire"
)

// Fresh proves by majority that no newer setup was acknowledged. An acknowledged setup is
// synced on two of the three members; so once two of the three have said, after an
// instant, that their disks hold nothing newer, nothing newer was acknowledged before it.
//
// A newer setup is taken into use as soon as two members vouch for it as well. Until then
// the old one is followed as long as its own proof holds: that is what its bound is for.
type Fresh struct {
	Members int
	cur     vouched
	next    vouched
}

// vouched is a setup with the instants at which members were asked who vouch for it.
type vouched struct {
	doc  *wire.Doc
	same map[string]time.Duration
}

// NewFresh begins without a setup.
//
// Example: f := runner.NewFresh(3)
func NewFresh(members int) *Fresh {
	return &Fresh{Members: members, cur: vouched{same: map[string]time.Duration{}}}
}

// Epoch is what to ask with: the newest setup heard of, in use already or not.
//
// Example: ask.Have = f.Epoch()
func (f *Fresh) Epoch() uint64 { return max(f.cur.doc.GetEpoch(), f.next.doc.GetEpoch()) }

// Hear takes a member's answer to a question asked at an instant with an epoch. It tells
// whether the setup in use has changed.
//
// Example: changed := f.Hear("core-1", 7, askedAt, tell)
func (f *Fresh) Hear(member string, have uint64, asked time.Duration, t *wire.NewsTell) bool {
	top := &f.cur
	if f.next.doc != nil {
		top = &f.next
	}
	switch t.Outcome {
	case "news":
		if t.Doc.GetEpoch() > f.Epoch() {
			f.next = vouched{t.Doc, map[string]time.Duration{}}
			top = &f.next
		}
		if t.Settled && t.Doc.GetEpoch() == top.doc.GetEpoch() {
			top.same[member] = max(top.same[member], asked)
		}
	case "same":
		if have == top.doc.GetEpoch() {
			top.same[member] = max(top.same[member], asked)
		}
	}
	if f.next.doc != nil && f.proof(f.next) > 0 {
		f.cur, f.next = f.next, vouched{}
		return true
	}
	return false
}

func (f *Fresh) proof(v vouched) time.Duration {
	var l []time.Duration
	for _, t := range v.same {
		l = append(l, t)
	}
	need := f.Members/2 + 1
	if len(l) < need {
		return 0
	}
	sort.Slice(l, func(i, j int) bool { return l[i] > l[j] })
	return l[need-1]
}

// Proof is the instant up to which nothing newer than the setup in use had been
// acknowledged; zero without one.
//
// Example: if now-f.Proof() > bound { deny() }
func (f *Fresh) Proof() time.Duration { return f.proof(f.cur) }

// Doc is the setup document in use.
//
// Example: s, err := setup.Read(f.Doc().Body)
func (f *Fresh) Doc() *wire.Doc { return f.cur.doc }
