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

// Bounds of a shard's queue of commands.
const (
	maxQueuedCommands   = 512 // more are not accepted (runOnLoop) or dropped (messages)
	maxCommandsPerReady = 64  // executed before the core's output is handled
)

// shard drives one member of one replicated shard. The goroutine of run is the only user of core, state, store and
// all other fields without a lock of their own; others reach them through runOnLoop and query.
type shard struct {
	core     *consensus.Core
	state    *state
	store    *storage.Store
	clock    clock.Clock
	log      hclog.Logger
	send     func(*wire.Message)
	commands *queue.Ring[func()]
	ctx      context.Context // of the process
	failure  error           // why this member takes no part; nil while it does

	pendingProposals map[uint64]pendingProposal // by log index
	pendingReads     map[uint64]chan bool       // by the core's read id; receives whether the read may be served
	watchers         map[chan struct{}]bool     // closed when the applied state changes
	mergeLock        chan struct{}              // semaphore of one: held while a configuration is merged and proposed
	confirmTimeout   time.Duration              // within which a quorum must confirm this leader; 0: the request's own

	claimRetention  time.Duration // how long the claim of an at-most-once request is remembered
	ageRecordedAt   time.Duration // local time at which the shard's age was last proposed
	ageRecordedTerm uint64        // term in which that was

	compactThreshold int // bytes of the log above which it is compacted, if it is also larger than the snapshot
	snapshotBytes    int // bytes of the state in the newest snapshot

	*group // nil if the members are fixed
}

// openShard opens a member of a shard with fixed members. An empty disk starts blank, under a new
// incarnation: whatever this node has acknowledged before under another one is lost.
func openShard(ctx context.Context, config consensus.Config, disk storage.Disk, newIncarnation func() string,
	clk clock.Clock, log hclog.Logger, send func(*wire.Message)) (*shard, error) {
	shard := newShard(ctx, config.Shard, clk, log, send)
	recovered, err := shard.load(disk, func(bool) *wire.Snapshot { return consensus.BlankSnapshot(newIncarnation()) })
	if err != nil {
		return nil, err
	}
	shard.core = consensus.New(config, recovered.Snapshot, recovered.Records)
	return shard, nil
}

func newShard(ctx context.Context, id uint32, clk clock.Clock, log hclog.Logger, send func(*wire.Message)) *shard {
	return &shard{
		state:            newState(),
		clock:            clk,
		log:              log.With("shard", id),
		send:             send,
		commands:         queue.NewRing[func()](maxQueuedCommands),
		ctx:              ctx,
		pendingProposals: map[uint64]pendingProposal{},
		pendingReads:     map[uint64]chan bool{},
		watchers:         map[chan struct{}]bool{},
		mergeLock:        make(chan struct{}, 1),
		claimRetention:   defaultClaimRetention,
		compactThreshold: compactLogBytes,
	}
}

// run is the shard's goroutine: it executes ticks and commands, and handles the core's output after
// each, until the process ends.
func (s *shard) run(tick time.Duration) {
	ticker := clock.NewTicker(tick)
	defer ticker.Stop()
	s.onTick() // a member that has just started doesn't wait for the first tick
	s.handleReady()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
			s.onTick()
		case command := <-s.commands.Out():
			command()
			for _, command := range s.commands.Drain(maxCommandsPerReady - 1) {
				command()
			}
		}
		s.handleReady()
	}
}

func (s *shard) onTick() {
	if s.failure == nil {
		s.core.Tick()
	}
	s.maintainGroup()
}

// handleReady carries out what the core asks for: it persists records, then sends messages, then
// applies committed entries. A message may say that its sender holds something, so none is sent before
// the disk does. A failed write takes the member out: it acknowledges and sends nothing more.
func (s *shard) handleReady() {
	if s.group != nil && s.failure == nil {
		s.haltIfSuperseded()
	}
	if s.failure != nil {
		return
	}
	ready := s.core.Ready()
	if err := s.persist(ready); err != nil {
		s.halt(err)
		return
	}
	// Readers of the view see what is on this disk before any peer is notified that it is.
	s.publish(consensus.Ready{Snapshot: ready.Snapshot, Records: ready.Records})
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
	if len(ready.CommittedEntries) > 0 {
		s.compactIfLarge()
	}
	s.publish(consensus.Ready{CommittedEntries: ready.CommittedEntries})
}

// compactIfLarge compacts the log when it has outgrown the newest snapshot.
func (s *shard) compactIfLarge() {
	if s.failure != nil || s.store.LogBytes() <= max(s.compactThreshold, s.snapshotBytes) {
		return
	}
	if err := s.compact(); err != nil {
		s.halt(err)
	}
}

// halt takes this member out, after a failure of its disk for example.
func (s *shard) halt(err error) {
	s.failure = err
	s.log.Error("member is out", "error", errs.Text(err))
	s.endPendingRequests()
	s.publish(consensus.Ready{})
}

// endPendingRequests ends pending reads, watches and proposals; the outcome of these is unknown, since the other members may
// still commit their entries.
func (s *shard) endPendingRequests() {
	for id := range s.pendingReads {
		s.completeRead(id, false)
	}
	s.abandonProposals()
	s.notifyWatchers()
}

func (s *shard) notifyWatchers() {
	for watcher := range s.watchers {
		close(watcher)
	}
	clear(s.watchers)
}

// applyEntry applies a committed entry and completes the proposal that waits at its index. If the
// entry at that index is of another term, the proposal was overwritten and never ran.
func (s *shard) applyEntry(entry *wire.Entry) {
	response, err := s.applyToState(entry)
	if err != nil {
		s.halt(err)
		return
	}
	s.notifyWatchers()
	proposal, ok := s.pendingProposals[entry.Index]
	if !ok {
		return
	}
	delete(s.pendingProposals, entry.Index)
	if proposal.term != entry.Term {
		response = &wire.ChangeResponse{Outcome: wire.OutcomeNotLeader}
	}
	proposal.response <- response
}

// applyToState applies an entry's command to the state and returns its outcome; an entry without one changes nothing.
func (s *shard) applyToState(entry *wire.Entry) (*wire.ChangeResponse, error) {
	if len(entry.Body) == 0 {
		return &wire.ChangeResponse{Outcome: wire.OutcomeDone}, nil
	}
	command := &wire.Command{}
	if err := proto.Unmarshal(entry.Body, command); err != nil {
		return nil, errs.WrapAs(err, errs.DiskFailure, "read committed entry")
	}
	return s.state.apply(command, s.clock.Now()), nil
}

// receive hands a peer's message to the core.
func (s *shard) receive(message *wire.Message) {
	s.commands.Offer(func() {
		if s.failure == nil {
			s.core.Step(message)
		}
	})
}

// reportSendFailure notifies the core that one of its messages couldn't be delivered.
func (s *shard) reportSendFailure(message *wire.Message) {
	s.commands.Offer(func() {
		if s.failure == nil {
			s.core.ReportSendFailure(message)
		}
	})
}

// runOnLoop runs a command on the shard's goroutine and waits for it. It returns false if the queue of
// commands is full, or if ctx or the process ended first: then the command may still run later, and
// nothing that it writes may be read.
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

// query computes a value on the shard's goroutine. It returns the fallback if that doesn't happen in
// time.
func query[T any](ctx context.Context, shard *shard, fallback T, read func() T) T {
	result := make(chan T, 1) // a result that comes too late is dropped
	if shard.runOnLoop(ctx, func() { result <- read() }) {
		return <-result
	}
	return fallback
}
