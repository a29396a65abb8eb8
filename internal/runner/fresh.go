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
type Fresh struct {
	Members int
	epoch   uint64
	doc     *wire.Doc
	same    map[string]time.Duration
}

// NewFresh begins without a setup.
//
// Example: f := runner.NewFresh(3)
func NewFresh(members int) *Fresh { return &Fresh{Members: members, same: map[string]time.Duration{}} }

// Epoch is the setup's epoch that is asked with.
//
// Example: ask.Have = f.Epoch()
func (f *Fresh) Epoch() uint64 { return f.epoch }

// Hear takes a member's answer to a question asked at an instant with an epoch. It tells
// whether the setup changed.
//
// Example: changed := f.Hear("core-1", 7, askedAt, tell)
func (f *Fresh) Hear(member string, have uint64, asked time.Duration, t *wire.NewsTell) bool {
	switch t.Outcome {
	case "news":
		if t.Doc.GetEpoch() > f.epoch {
			f.epoch, f.doc = t.Doc.Epoch, t.Doc
			clear(f.same)
			return true
		}
	case "same":
		if have == f.epoch && asked > f.same[member] {
			f.same[member] = asked
		}
	}
	return false
}

// Proof is the instant up to which no newer setup had been acknowledged; zero without one.
//
// Example: if now-f.Proof() > bound { deny() }
func (f *Fresh) Proof() time.Duration {
	var l []time.Duration
	for _, t := range f.same {
		l = append(l, t)
	}
	need := f.Members/2 + 1
	if len(l) < need {
		return 0
	}
	sort.Slice(l, func(i, j int) bool { return l[i] > l[j] })
	return l[need-1]
}

// Doc is the setup document in use.
//
// Example: s, err := setup.Read(f.Doc().Body)
func (f *Fresh) Doc() *wire.Doc { return f.doc }
