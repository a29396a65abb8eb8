package controlstate

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"
	"google.golang.org/protobuf/proto"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/control/consensus"
	"pebbleloom/internal/control/storage"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/queue"
	"pebbleloom/internal/wire"
)

// shard runs one member of one shard: one goroutine has core, state and store to itself.
type shard struct {
	id               uint32
	core             *consensus.Core
	state            *state
	store            *storage.Store
	clock            clock.Clock
	log              hclog.Logger
	send             func(*wire.Message)
	commands         *queue.Ring[func()]
	pendingProposals map[uint64]pendingProposal
	pendingReads     map[uint64]chan bool
	watchers         map[chan struct{}]bool
	mergeLock        chan struct{} // held by the change that merges and checks a setup
	claimRetention   time.Duration // how long once-only ids are remembered
	confirmTimeout   time.Duration // until a quorum must have confirmed this leader; 0: as long as the request lasts
	ageRecordedAt    time.Duration // when the shard's age was last written into the log, and in which term
	ageRecordedTerm  uint64
	compactThreshold int // the log is compacted when it is longer than this, and than the state
	snapshotBytes    int // bytes of the state in the newest snapshot
	failure          error
	ctx              context.Context
	*group           // nil where the members are fixed
}

// openShard reads the disk and makes the member; an empty disk begins blank under a new incarnation.
func openShard(ctx context.Context, config consensus.Config, disk storage.Disk, newIncarnation func() string, clk clock.Clock, log hclog.Logger, send func(*wire.Message)) (*shard, error) {
	shard := newShard(ctx, config.Shard, clk, log, send)
	loaded, err := shard.load(disk, func() *wire.Snapshot { return consensus.BlankSnapshot(newIncarnation()) }) // what was here before counts no more, under any name
	if err != nil {
		return nil, err
	}
	shard.core = consensus.New(config, loaded.Snapshot, loaded.Records)
	return shard, nil
}

func newShard(ctx context.Context, id uint32, clk clock.Clock, log hclog.Logger, send func(*wire.Message)) *shard {
	return &shard{id: id, state: newState(), clock: clk, log: log.With("shard", id), send: send, ctx: ctx,
		commands: queue.NewRing[func()](512), pendingProposals: map[uint64]pendingProposal{}, pendingReads: map[uint64]chan bool{},
		watchers: map[chan struct{}]bool{}, compactThreshold: compactLogBytes, claimRetention: defaultClaimRetention, mergeLock: make(chan struct{}, 1)}
}

func (s *shard) run(tick time.Duration) {
	ticker := clock.NewTicker(tick)
	defer ticker.Stop()
	onTick := func() {
		if s.failure == nil {
			s.core.Tick()
		}
		s.maintainGroup()
	}
	onTick() // a member that has just started doesn't wait for the first tick
	s.handleReady()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
			onTick()
		case command := <-s.commands.Out():
			command()
			for _, command := range s.commands.Drain(63) {
				command()
			}
		}
		s.handleReady()
	}
}

// handleReady persists, then sends, then applies what the core asks for. A failed sync takes the
// member out: it acknowledges and sends nothing more.
func (s *shard) handleReady() {
	if s.failure != nil {
		return
	}
	ready := s.core.Ready()
	if err := s.persist(ready); err != nil {
		s.halt(err)
		return
	}
	s.publish(consensus.Ready{Snapshot: ready.Snapshot, Records: ready.Records}) // before any message says that it is on this disk
	for _, message := range ready.Messages {
		s.send(message)
	}
	for _, entry := range ready.CommittedEntries {
		s.applyEntry(entry)
	}
	for _, id := range ready.ConfirmedReads {
		s.completeRead(id, true)
	}
	for _, id := range ready.AbortedReads {
		s.completeRead(id, false)
	}
	s.releasePendingProposals()
	if len(ready.CommittedEntries) > 0 && s.failure == nil && s.store.LogBytes() > max(s.compactThreshold, s.snapshotBytes) {
		if err := s.compact(); err != nil {
			s.halt(err)
		}
	}
	s.publish(consensus.Ready{CommittedEntries: ready.CommittedEntries})
}

func (s *shard) halt(err error) {
	s.failure = err
	s.log.Error("member is out", "error", errs.Text(err))
	for id := range s.pendingReads {
		s.completeRead(id, false)
	}
	s.notifyWatchers()
	s.publish(consensus.Ready{})
}

func (s *shard) notifyWatchers() {
	for c := range s.watchers {
		close(c)
	}
	clear(s.watchers)
}

func (s *shard) applyEntry(entry *wire.Entry) {
	response := &wire.ChangeResponse{Outcome: wire.OutcomeDone}
	if len(entry.Body) > 0 {
		command := &wire.Command{}
		if err := proto.Unmarshal(entry.Body, command); err != nil {
			s.halt(errs.WrapAs(err, errs.DiskFailure, "read committed entry"))
			return
		}
		response = s.state.apply(command, s.clock.Now())
	}
	s.notifyWatchers()
	if proposal, ok := s.pendingProposals[entry.Index]; ok {
		delete(s.pendingProposals, entry.Index)
		if proposal.term != entry.Term {
			response = &wire.ChangeResponse{Outcome: wire.OutcomeNotLeader} // another entry took its place: it never ran
		}
		proposal.response <- response
	}
}

// reportSendFailure says to the core that a message of its own wasn't sent.
func (s *shard) reportSendFailure(message *wire.Message) {
	s.commands.Offer(func() {
		if s.failure == nil {
			s.core.ReportSendFailure(message)
		}
	})
}

// runOnLoop runs f on the shard's goroutine; false when the shard is too busy or ending.
func (s *shard) runOnLoop(ctx context.Context, command func()) bool {
	done := make(chan struct{})
	if !s.commands.Offer(func() { command(); close(done) }) {
		return false
	}
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	case <-s.ctx.Done():
		return false
	}
}

// query asks for a value on the shard's goroutine; or is the value where no answer comes in time.
func query[T any](ctx context.Context, shard *shard, fallback T, read func() T) T {
	result := make(chan T, 1) // nobody waits for an answer that comes late
	if shard.runOnLoop(ctx, func() { result <- read() }) {
		return <-result
	}
	return fallback
}
