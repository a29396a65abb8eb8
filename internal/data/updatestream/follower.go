// Package updatestream is how a process without its own link to the control state follows the node
// agent on its machine: it long-polls with the version that it has and receives what changed.
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
	WorkerSuspect
	WorkerDraining
	WorkerGone
)

// Snapshot is everything that a request uses: it never changes once it is shared.
type Snapshot struct {
	Version         uint64
	ConfigVersion   uint64 // of the configuration
	ListsVersion    uint64 // of workers, nodes, placements and stores
	Config          *serviceconfig.Config
	ProofAt         time.Duration // no configuration newer than ConfigVersion had been acknowledged then
	LatestProofAt   time.Duration // the latest such instant known, also after a restart of the node agent
	WorkersListedAt time.Duration // when the worker table was last known good
	Workers         []*wire.Worker
	Nodes           []*wire.Node
	Placements      map[string]*placement.Placement
	Stores          []string
	Weights         map[string]WeightsHistory // by model: when each weights version was first seen here
}

// IsFresh reports whether the configuration may still be used at an instant: its proof is younger than
// age.
//
// Example: if !s.Fresh(clock.Now(), bounds.Config(0.8)) { reject() }
func (s *Snapshot) IsFresh(now, age time.Duration) bool {
	return s != nil && s.Config != nil && s.ProofAt > 0 && now-s.ProofAt < age
}

// Follower keeps the newest snapshot.
type Follower struct {
	current    atomic.Pointer[Snapshot]
	clock      clock.Clock
	log        hclog.Logger
	onSnapshot func(*Snapshot) // called with every new snapshot; may be nil
	addReports func(*wire.FeedRequest)
	fixed      func() *Snapshot
}

// Follow starts to follow the node agent that link returns; addReports, if not nil, adds to each
// request what the process has seen since the last one.
//
// Example: f := updatestream.Follow(ctx, clock, log, func() wire.NodeAgent { return clients.NodeAgent(addr) }, hold, nil, nil)
func Follow(ctx context.Context, clk clock.Clock, log hclog.Logger, link func() wire.NodeAgent, hold time.Duration,
	addReports func(*wire.FeedRequest), onSnapshot func(*Snapshot)) *Follower {
	f := &Follower{clock: clk, log: log, addReports: addReports, onSnapshot: onSnapshot}
	go f.run(ctx, link, hold)
	return f
}

// OnSeedsChanged makes an onSnapshot callback that passes the configuration's seeds on when they change.
//
// Example: updatestream.Follow(ctx, clock, log, link, hold, nil, updatestream.Seeds(member.SetSeeds))
func OnSeedsChanged(set func([]string)) func(*Snapshot) {
	var version uint64
	return func(s *Snapshot) {
		if s.Config != nil && s.ConfigVersion != version && len(s.Config.Seeds) == 3 {
			set(s.Config.Seeds)
		}
		version = s.ConfigVersion
	}
}

// Snapshot returns the newest snapshot; nil before the first.
//
// Example: s := f.Now()
func (f *Follower) Snapshot() *Snapshot {
	if f.fixed != nil {
		return f.fixed()
	}
	return f.current.Load()
}

// NewFixedFollower returns a follower of fixed snapshots, for tests.
//
// Example: f := updatestream.Fixed(func() *updatestream.Snapshot { return snap })
func NewFixedFollower(now func() *Snapshot) *Follower { return &Follower{fixed: now} }

func (f *Follower) run(ctx context.Context, link func() wire.NodeAgent, hold time.Duration) {
	for ctx.Err() == nil {
		a := &wire.FeedRequest{MaxWaitNs: uint64(hold)}
		if s := f.current.Load(); s != nil {
			a.KnownVersion, a.KnownConfigVersion, a.KnownListsVersion = s.Version, s.ConfigVersion, s.ListsVersion
		}
		if f.addReports != nil {
			f.addReports(a)
		}
		one, end := context.WithTimeout(ctx, 2*hold+time.Second)
		l := link()
		var t *wire.FeedResponse
		err := errs.New(errs.OutcomeUnknown, "no node agent is known yet")
		if l != nil {
			t, err = l.Feed(one, a)
		}
		end()
		if err != nil {
			f.log.Debug("no update", "error", err)
			clock.Sleep(ctx, hold/2)
			continue
		}
		f.apply(t)
	}
}

func (f *Follower) apply(t *wire.FeedResponse) {
	old := f.current.Load()
	s, err := ReadSnapshot(t, old, f.clock.Now())
	if err != nil {
		f.log.Error("update can't be read", "error", errs.Text(err))
		return
	}
	f.current.Store(s)
	if f.onSnapshot != nil {
		f.onSnapshot(s)
	}
}

// ReadSnapshot makes a snapshot of a node agent's response, reusing what hasn't changed.
//
// Example: s, err := updatestream.Read(response, old, clock.Now())
func ReadSnapshot(t *wire.FeedResponse, old *Snapshot, now time.Duration) (*Snapshot, error) {
	if old != nil && t.ListsVersion == old.ListsVersion && t.ListsVersion != 0 {
		o := *old // the lists are the same; shared data is never changed
		s := &o
		s.Version, s.ProofAt, s.WorkersListedAt = t.Version, time.Duration(t.ProofAtNs), time.Duration(t.WorkersListedAtNs)
		return s, s.applyConfig(t, old, now)
	}
	s := &Snapshot{Version: t.Version, ListsVersion: t.ListsVersion, ProofAt: time.Duration(t.ProofAtNs), WorkersListedAt: time.Duration(t.WorkersListedAtNs), Workers: t.Workers,
		Nodes: t.Nodes, Stores: t.Stores, Placements: map[string]*placement.Placement{}, Weights: map[string]WeightsHistory{}}
	if err := s.applyConfig(t, old, now); err != nil {
		return nil, err
	}
	for _, d := range t.Placements {
		if old != nil && old.Placements[d.Key] != nil && old.Placements[d.Key].Version == d.Version {
			s.Placements[d.Key] = old.Placements[d.Key]
			continue
		}
		p, err := placement.Read(d.Body, d.Version)
		if err != nil {
			return nil, errs.Wrap(err, "placement in update")
		}
		s.Placements[d.Key] = p
	}
	return s, nil
}

// applyConfig takes the configuration of a response, or keeps the previous one.
func (s *Snapshot) applyConfig(t *wire.FeedResponse, old *Snapshot, now time.Duration) error {
	if old != nil && old.Config != nil && (t.Config == nil || old.ConfigVersion == t.Config.Version) {
		s.ConfigVersion, s.Config, s.Weights = old.ConfigVersion, old.Config, old.Weights
		s.LatestProofAt = max(old.LatestProofAt, s.ProofAt) // a proof of this version stays valid
	} else if t.Config != nil {
		v, err := serviceconfig.Decode(t.Config.Body)
		if err != nil {
			return errs.Wrap(err, "configuration in update")
		}
		s.ConfigVersion, s.Config, s.LatestProofAt, s.Weights = t.Config.Version, v.BuildIndex(), s.ProofAt, map[string]WeightsHistory{}
		for n, m := range v.Models {
			var o WeightsHistory
			proved := time.Duration(0)
			if old != nil {
				o, proved = old.Weights[n], old.LatestProofAt
			}
			s.Weights[n] = o.next(m.Weights, proved, now)
		}
	}
	return nil
}
