// Package updatestream receives control-state updates from the node agent on the same machine, for processes
// that have no connection of their own to the control nodes. A process sends the versions that it has in a
// long-polling request, and receives what has changed since.
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

// responseGrace is added to twice the long-poll wait to get the timeout of a request.
const responseGrace = time.Second

// Config configures a Follower.
type Config struct {
	Clock        clock.Clock
	Log          hclog.Logger
	NodeAgent    func() wire.NodeAgent   // returns a client of the node agent, nil if none is known yet; called before each request
	LongPollTime time.Duration           // how long the node agent may wait for an update before it responds
	AddReports   func(*wire.FeedRequest) // adds this process's observations since the last request to a new one; may be nil
	OnSnapshot   func(*Snapshot)         // called with every new snapshot; must not block; may be nil
}

// Follower polls the node agent and holds the newest snapshot. Its methods are safe for concurrent use.
type Follower struct {
	config  Config
	current atomic.Pointer[Snapshot]
	fixed   func() *Snapshot // set only in tests: returns the snapshot to use instead of current
}

// Follow starts polling a node agent for updates, until ctx is canceled, and returns the Follower.
//
// Example: f := updatestream.Follow(ctx, updatestream.Config{Clock: clk, Log: log, NodeAgent: nodeAgent, LongPollTime: time.Second})
func Follow(ctx context.Context, config Config) *Follower {
	f := &Follower{config: config}
	go f.run(ctx)
	return f
}

// NewFixedFollower returns a Follower for tests whose Snapshot method calls the given function.
//
// Example: f := updatestream.NewFixedFollower(func() *updatestream.Snapshot { return snapshot })
func NewFixedFollower(snapshot func() *Snapshot) *Follower { return &Follower{fixed: snapshot} }

// Snapshot returns the newest snapshot; nil until the first is received. The caller must not modify it.
//
// Example: snapshot := f.Snapshot()
func (f *Follower) Snapshot() *Snapshot {
	if f.fixed != nil {
		return f.fixed()
	}
	return f.current.Load()
}

// OnSeedsChanged returns an OnSnapshot callback that calls setSeeds with the seeds of each new version of the
// configuration. Versions that don't list exactly three seeds are ignored.
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
			f.config.Log.Debug("failed to get an update from the node agent; retrying", "error", err)
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
		return nil, errs.New(errs.OutcomeUnknown, "request update: no node agent is known yet")
	}
	return nodeAgent.Feed(ctx, request)
}

// apply replaces the current snapshot by that of a response. If the response can't be decoded, it keeps the
// previous snapshot.
func (f *Follower) apply(response *wire.FeedResponse) {
	snapshot, err := ReadSnapshot(response, f.current.Load(), f.config.Clock.Now())
	if err != nil {
		f.config.Log.Error("failed to decode update from the node agent; keeping the previous snapshot", "error", errs.Text(err))
		return
	}
	f.current.Store(snapshot)
	if f.config.OnSnapshot != nil {
		f.config.OnSnapshot(snapshot)
	}
}
