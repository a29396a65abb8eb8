package controlstate

import (
	"context"
	"math/rand/v2"
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

// Limits of a shard's command queue.
const (
	maxQueuedCommands   = 512 // maximum number of commands in the queue; beyond it, runOnLoop fails and messages are dropped
	maxCommandsPerReady = 64  // maximum number of commands executed between two calls of handleReady, which processes the core's output
)

// shard drives one member of a replicated shard. Only the goroutine of run may access core, state, store and the other
// fields that have no synchronization of their own; other goroutines access them through runOnLoop and query.
type shard struct {
	core     *consensus.Core
	state    *state
	store    *storage.Store
	clock    clock.Clock
	log      hclog.Logger
	send     func(*wire.Message)
	commands *queue.Ring[func()]
	ctx      context.Context // context that ends when the node's process ends
	failure  error           // why this member does not take part in consensus; nil while it does

	pendingProposals map[uint64]pendingProposal // proposals of this leader that wait for their entry to be applied, by log index
	pendingReads     map[uint64]chan bool       // channel that receives whether a read may be served, by the core's read ID
	watchers         map[chan struct{}]bool     // channels to close when the applied state changes, one for each waiting watch
	mergeLock        chan struct{}              // mutex, as a channel of capacity 1: held while a configuration is merged and proposed
	confirmTimeout   time.Duration              // time-out for a quorum to confirm this member as leader; 0: only the time-out of the request

	random func() uint64 // source of random numbers; safe for concurrent use

	claimRetention  time.Duration // how long the claim of an at-most-once request ID is kept
	ageRecordedAt   time.Duration // local time at which this member last proposed an advance of the shard's clock (claimTable.age)
	ageRecordedTerm uint64        // term in which this member last proposed an advance of the shard's clock (at ageRecordedAt)

	compactThreshold int // log size in bytes above which the log is compacted if it is also larger than the newest snapshot
	snapshotBytes    int // size of the state in the newest snapshot, in bytes

	*group // state of a shard with replicated membership; nil on a node with fixed members
}

// openShard opens this node's member of a shard with fixed members. On an empty disk the member starts blank,
// without a log, under a new incarnation, since whatever it acknowledged under an earlier one is lost.
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

// newShard returns a shard without a consensus core and a store, which the caller has to open.
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
		random:           rand.Uint64,
		claimRetention:   defaultClaimRetention,
		compactThreshold: compactLogBytes,
	}
}

// run is the event loop of the shard's goroutine. It executes ticks and queued commands, and processes the
// consensus core's output after each tick or batch of commands, until the process ends.
func (s *shard) run(tick time.Duration) {
	ticker := clock.NewTicker(tick)
	defer ticker.Stop()
	s.onTick() // run the first tick immediately at startup
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

// onTick advances the logical clock of the consensus core and runs the periodic work of a group member.
func (s *shard) onTick() {
	if s.failure == nil {
		s.core.Tick()
	}
	s.maintainGroup()
}

// handleReady processes the consensus core's output: it persists records, then sends messages, then applies
// committed entries. Messages may acknowledge records, so they are sent only after the records are synced to disk.
// A failed write halts the member, which then acknowledges and sends nothing more.
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
	// Publish the persisted records in a new view before a message can acknowledge them to a peer.
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

// compactIfLarge compacts the consensus log if it is larger than both compactThreshold and the newest snapshot of
// the state.
func (s *shard) compactIfLarge() {
	if s.failure != nil || s.store.LogBytes() <= max(s.compactThreshold, s.snapshotBytes) {
		return
	}
	if err := s.compact(); err != nil {
		s.halt(err)
	}
}

// halt marks this member as failed, for example after a disk error, and ends its pending requests.
func (s *shard) halt(err error) {
	s.failure = err
	s.log.Error("shard member stopped taking part in consensus", "error", errs.Text(err))
	s.endPendingRequests()
	s.publish(consensus.Ready{})
}

// endPendingRequests ends pending reads, watches and proposals. The outcome of the proposals is unknown, since the
// other members may still commit their entries.
func (s *shard) endPendingRequests() {
	for id := range s.pendingReads {
		s.completeRead(id, false)
	}
	s.abandonProposals()
	s.notifyWatchers()
}

// notifyWatchers wakes all waiting watches, which then check the versions of their documents again.
func (s *shard) notifyWatchers() {
	for watcher := range s.watchers {
		close(watcher)
	}
	clear(s.watchers)
}

// applyEntry applies a committed log entry and completes the pending proposal at its index. If that proposal was
// made in another term, its own entry was overwritten and never applied.
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

// applyToState applies the command of a log entry to the state and returns its outcome. An entry without a command
// changes nothing.
func (s *shard) applyToState(entry *wire.Entry) (*wire.ChangeResponse, error) {
	if len(entry.Body) == 0 {
		return &wire.ChangeResponse{Outcome: wire.OutcomeDone}, nil
	}
	command := &wire.Command{}
	if err := proto.Unmarshal(entry.Body, command); err != nil {
		return nil, errs.WrapAs(err, errs.DiskFailure, "decode committed log entry")
	}
	return s.state.apply(command, s.clock.Now()), nil
}

// receive queues a consensus message from a peer for the core. The message is dropped if the command queue is
// full.
func (s *shard) receive(message *wire.Message) {
	s.commands.Offer(func() {
		if s.failure == nil {
			s.core.Step(message)
		}
	})
}

// reportSendFailure notifies the consensus core that one of its messages could not be delivered.
func (s *shard) reportSendFailure(message *wire.Message) {
	s.commands.Offer(func() {
		if s.failure == nil {
			s.core.ReportSendFailure(message)
		}
	})
}

// runOnLoop runs a command on the shard's goroutine and waits for its completion. It returns false if the command
// queue is full, or if ctx or the process ends first. In the latter cases the command may still run later, so the
// caller must not read anything that it writes.
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

// query returns a value that read computes on the shard's goroutine. It returns the fallback if the command queue
// is full, or if ctx or the process ends first.
func query[T any](ctx context.Context, shard *shard, fallback T, read func() T) T {
	result := make(chan T, 1) // buffered, so that a late result does not block the shard's goroutine
	if shard.runOnLoop(ctx, func() { result <- read() }) {
		return <-result
	}
	return fallback
}
