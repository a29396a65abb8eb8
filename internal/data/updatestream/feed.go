// Package updatestream is how a process that isn't in the roster of news itself follows the runner:
// it asks with the number it has and gets what changed.
package updatestream

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/control/serviceconfig"
	"pebbleloom/internal/data/placement"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/wire"
)

// The states of a worker.
const (
	WorkerUp uint32 = iota
	WorkerUnsure
	WorkerDraining
	WorkerGone
)

// Snapshot is all a request pins: it never changes once it is shared.
type Snapshot struct {
	Number     uint64
	Epoch      uint64 // of the setup
	View       uint64 // of workers, nodes, placements and stores
	Setup      *serviceconfig.Config
	ProofAt    time.Duration // no setup newer than Epoch had been acknowledged then
	Proved     time.Duration // the latest such instant known, also while the runner has just begun anew
	WorkersAt  time.Duration // when the worker table was last known good
	Workers    []*wire.Worker
	Nodes      []*wire.Node
	Placements map[string]*placement.Placement
	Stores     []string
	WeightsAt  map[string]Seen // when each model's weights epoch was first seen here
}

// Fresh tells whether the setup may still be followed at an instant: the proof is younger
// than the age.
//
// Example: if !s.Fresh(clk.Now(), bounds.Setup(0.8)) { deny() }
func (s *Snapshot) Fresh(now, age time.Duration) bool {
	return s != nil && s.Setup != nil && s.ProofAt > 0 && now-s.ProofAt < age
}

// Follower keeps the newest snapshot.
type Follower struct {
	cur  atomic.Pointer[Snapshot]
	clk  clock.Clock
	log  hclog.Logger
	Ring func(*Snapshot) // told of every new snapshot; may be nil
	goes func(*wire.FeedAsk)
	test func() *Snapshot
}

// Follow starts to follow the runner that link gives; goes, if not nil, puts what the
// process has seen since the last time into the question.
//
// Example: f := feed.Follow(ctx, clk, log, func() wire.Runner { return calls.Runner(addr) }, hold, nil, nil)
func Follow(ctx context.Context, clk clock.Clock, log hclog.Logger, link func() wire.Runner, hold time.Duration,
	goes func(*wire.FeedAsk), ring func(*Snapshot)) *Follower {
	f := &Follower{clk: clk, log: log, goes: goes, Ring: ring}
	go f.run(ctx, link, hold)
	return f
}

// Seeds makes a bell that hands the setup's seeds on when they change.
//
// Example: feed.Follow(ctx, clk, log, link, hold, nil, feed.Seeds(member.SetSeeds))
func Seeds(set func([]string)) func(*Snapshot) {
	var epoch uint64
	return func(s *Snapshot) {
		if s.Setup != nil && s.Epoch != epoch && len(s.Setup.Seeds) == 3 {
			set(s.Setup.Seeds)
		}
		epoch = s.Epoch
	}
}

// Now gives the newest snapshot; nil before the first.
//
// Example: s := f.Now()
func (f *Follower) Now() *Snapshot {
	if f.test != nil {
		return f.test()
	}
	return f.cur.Load()
}

// Fixed is a follower of nobody, for tests.
//
// Example: f := feed.Fixed(func() *feed.Snapshot { return snap })
func Fixed(now func() *Snapshot) *Follower { return &Follower{test: now} }

func (f *Follower) run(ctx context.Context, link func() wire.Runner, hold time.Duration) {
	for ctx.Err() == nil {
		a := &wire.FeedAsk{HoldNs: uint64(hold)}
		if s := f.cur.Load(); s != nil {
			a.Have, a.HaveSetup, a.HaveView = s.Number, s.Epoch, s.View
		}
		if f.goes != nil {
			f.goes(a)
		}
		one, end := context.WithTimeout(ctx, 2*hold+time.Second)
		l := link()
		var t *wire.FeedTell
		err := errs.New(errs.CantSay, "no runner is known yet")
		if l != nil {
			t, err = l.Feed(one, a)
		}
		end()
		if err != nil {
			f.log.Debug("no feed", "error", err)
			clock.Pause(ctx, hold/2)
			continue
		}
		f.take(t)
	}
}

func (f *Follower) take(t *wire.FeedTell) {
	old := f.cur.Load()
	s, err := Read(t, old, f.clk.Now())
	if err != nil {
		f.log.Error("feed can't be read", "error", errs.Text(err))
		return
	}
	f.cur.Store(s)
	if f.Ring != nil {
		f.Ring(s)
	}
}

// Read makes a snapshot of a runner's answer, keeping what is the same as before.
//
// Example: s, err := feed.Read(tell, old, clk.Now())
func Read(t *wire.FeedTell, old *Snapshot, now time.Duration) (*Snapshot, error) {
	if old != nil && t.View == old.View && t.View != 0 {
		o := *old // the lists are the same; what is shared is never changed
		s := &o
		s.Number, s.ProofAt, s.WorkersAt = t.Number, time.Duration(t.ProofAt), time.Duration(t.WorkersAt)
		return s, s.adopt(t, old, now)
	}
	s := &Snapshot{Number: t.Number, View: t.View, ProofAt: time.Duration(t.ProofAt), WorkersAt: time.Duration(t.WorkersAt), Workers: t.Workers,
		Nodes: t.Nodes, Stores: t.Stores, Placements: map[string]*placement.Placement{}, WeightsAt: map[string]Seen{}}
	if err := s.adopt(t, old, now); err != nil {
		return nil, err
	}
	for _, d := range t.Placements {
		if old != nil && old.Placements[d.Key] != nil && old.Placements[d.Key].Epoch == d.Version {
			s.Placements[d.Key] = old.Placements[d.Key]
			continue
		}
		p, err := placement.Read(d.Body, d.Version)
		if err != nil {
			return nil, errs.Wrap(err, "placement in feed")
		}
		s.Placements[d.Key] = p
	}
	return s, nil
}

// adopt takes the setup of an answer, or keeps the one there was.
func (s *Snapshot) adopt(t *wire.FeedTell, old *Snapshot, now time.Duration) error {
	if old != nil && old.Setup != nil && (t.Setup == nil || old.Epoch == t.Setup.Version) {
		s.Epoch, s.Setup, s.WeightsAt = old.Epoch, old.Setup, old.WeightsAt
		s.Proved = max(old.Proved, s.ProofAt) // a proof of this epoch stays true, whoever forgot it
	} else if t.Setup != nil {
		v, err := serviceconfig.Read(t.Setup.Body)
		if err != nil {
			return errs.Wrap(err, "setup in feed")
		}
		s.Epoch, s.Setup, s.Proved, s.WeightsAt = t.Setup.Version, v.BuildIndex(), s.ProofAt, map[string]Seen{}
		for n, m := range v.Models {
			var o Seen
			proved := time.Duration(0)
			if old != nil {
				o, proved = old.WeightsAt[n], old.Proved
			}
			s.WeightsAt[n] = o.next(m.Weights, proved, now)
		}
	}
	return nil
}
