// Package updatestream is how a process without its own link to the control state follows the node agent on
// its machine: it long-polls with the versions that it has and receives what changed.
package updatestream

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/wire"
)

// responseGrace is how much longer than twice its wait a request for an update may take.
const responseGrace = time.Second

// Config is how a process follows its node agent.
type Config struct {
	Clock        clock.Clock
	Log          hclog.Logger
	NodeAgent    func() wire.NodeAgent   // called before each request; nil: none is known yet
	LongPollTime time.Duration           // how long the node agent may wait for an update before it responds
	AddReports   func(*wire.FeedRequest) // adds what the process has seen since the last request; nil: nothing
	OnSnapshot   func(*Snapshot)         // called with every new snapshot, must not block; nil: not called
}

// Follower keeps the newest snapshot. Its methods are safe for concurrent use.
type Follower struct {
	config  Config
	current atomic.Pointer[Snapshot]
	fixed   func() *Snapshot // instead of current, for tests; nil: none
}

// Follow follows a node agent until ctx is canceled.
//
// Example: f := updatestream.Follow(ctx, updatestream.Config{Clock: clk, Log: log, NodeAgent: nodeAgent, LongPollTime: time.Second})
func Follow(ctx context.Context, config Config) *Follower {
	f := &Follower{config: config}
	go f.run(ctx)
	return f
}

// NewFixedFollower makes a follower of snapshots that a function returns, for tests.
//
// Example: f := updatestream.NewFixedFollower(func() *updatestream.Snapshot { return snapshot })
func NewFixedFollower(snapshot func() *Snapshot) *Follower { return &Follower{fixed: snapshot} }

// Snapshot returns the newest snapshot; nil before the first. It must not be changed.
//
// Example: snapshot := f.Snapshot()
func (f *Follower) Snapshot() *Snapshot {
	if f.fixed != nil {
		return f.fixed()
	}
	return f.current.Load()
}

// OnSeedsChanged makes an OnSnapshot callback that passes the configuration's seeds on when they change.
//
// Example: updatestream.Config{OnSnapshot: updatestream.OnSeedsChanged(member.SetSeeds)}
func OnSeedsChanged(setSeeds func([]string)) func(*Snapshot) {
	var version uint64
	return func(s *Snapshot) {
		if s.Config != nil && s.ConfigVersion != version && len(s.Config.Seeds) == 3 {
			setSeeds(s.Config.Seeds)
		}
		version = s.ConfigVersion
	}
}

// run polls the node agent until ctx is canceled.
func (f *Follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		response, err := f.poll(ctx)
		if err != nil {
			f.config.Log.Debug("no update", "error", err)
			clock.Sleep(ctx, f.config.LongPollTime/2)
			continue
		}
		f.apply(response)
	}
}

// poll asks the node agent for an update to the current snapshot.
func (f *Follower) poll(ctx context.Context) (*wire.FeedResponse, error) {
	request := &wire.FeedRequest{MaxWaitNs: uint64(f.config.LongPollTime)}
	if s := f.current.Load(); s != nil {
		request.KnownVersion, request.KnownConfigVersion, request.KnownListsVersion = s.Version, s.ConfigVersion, s.ListsVersion
	}
	if f.config.AddReports != nil {
		f.config.AddReports(request)
	}
	ctx, cancel := context.WithTimeout(ctx, 2*f.config.LongPollTime+responseGrace)
	defer cancel()
	nodeAgent := f.config.NodeAgent()
	if nodeAgent == nil {
		return nil, errs.New(errs.OutcomeUnknown, "no node agent is known yet")
	}
	return nodeAgent.Feed(ctx, request)
}

// apply makes a response the current snapshot. One that this program can't read leaves the previous one.
func (f *Follower) apply(response *wire.FeedResponse) {
	snapshot, err := ReadSnapshot(response, f.current.Load(), f.config.Clock.Now())
	if err != nil {
		f.config.Log.Error("update can't be read", "error", errs.Text(err))
		return
	}
	f.current.Store(snapshot)
	if f.config.OnSnapshot != nil {
		f.config.OnSnapshot(snapshot)
	}
}
