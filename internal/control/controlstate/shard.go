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

type pendingProposal struct {
	term     uint64
	response chan *wire.ChangeResponse
}

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
func openShard(ctx context.Context, cfg consensus.Config, d storage.Disk, inc func() string, clk clock.Clock, log hclog.Logger, post func(*wire.Message)) (*shard, error) {
	p := newShard(ctx, cfg.Shard, clk, log, post)
	l, err := p.load(d, func() *wire.Snapshot { return consensus.BlankSnapshot(inc()) }) // what was here before counts no more, under any name
	if err != nil {
		return nil, err
	}
	p.core = consensus.New(cfg, l.Snapshot, l.Records)
	return p, nil
}

func newShard(ctx context.Context, n uint32, clk clock.Clock, log hclog.Logger, post func(*wire.Message)) *shard {
	return &shard{id: n, state: newState(), clock: clk, log: log.With("shard", n), send: post, ctx: ctx,
		commands: queue.NewRing[func()](512), pendingProposals: map[uint64]pendingProposal{}, pendingReads: map[uint64]chan bool{},
		watchers: map[chan struct{}]bool{}, compactThreshold: compactLogBytes, claimRetention: defaultClaimRetention, mergeLock: make(chan struct{}, 1)}
}

func (p *shard) run(tick time.Duration) {
	t := clock.NewTicker(tick)
	defer t.Stop()
	onTick := func() {
		if p.failure == nil {
			p.core.Tick()
		}
		p.maintainGroup()
	}
	onTick() // a member that has just started doesn't wait for the first tick
	p.handleReady()
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-t.C:
			onTick()
		case f := <-p.commands.Out():
			f()
			for _, g := range p.commands.Drain(63) {
				g()
			}
		}
		p.handleReady()
	}
}

// handleReady persists, then sends, then applies what the core asks for. A failed sync takes the
// member out: it acknowledges and sends nothing more.
func (p *shard) handleReady() {
	if p.failure != nil {
		return
	}
	o := p.core.Ready()
	if err := p.persist(o); err != nil {
		p.halt(err)
		return
	}
	p.publish(consensus.Ready{Snapshot: o.Snapshot, Records: o.Records}) // before any message says that it is on this disk
	for _, m := range o.Messages {
		p.send(m)
	}
	for _, e := range o.CommittedEntries {
		p.applyEntry(e)
	}
	for _, id := range o.ConfirmedReads {
		p.completeRead(id, true)
	}
	for _, id := range o.AbortedReads {
		p.completeRead(id, false)
	}
	p.releasePendingProposals()
	if len(o.CommittedEntries) > 0 && p.failure == nil && p.store.LogBytes() > max(p.compactThreshold, p.snapshotBytes) {
		if err := p.compact(); err != nil {
			p.halt(err)
		}
	}
	p.publish(consensus.Ready{CommittedEntries: o.CommittedEntries})
}

func (p *shard) completeRead(id uint64, ok bool) {
	if c := p.pendingReads[id]; c != nil {
		c <- ok
		delete(p.pendingReads, id)
	}
}

func (p *shard) halt(err error) {
	p.failure = err
	p.log.Error("member is out", "error", errs.Text(err))
	for id := range p.pendingReads {
		p.completeRead(id, false)
	}
	p.notifyWatchers()
	p.publish(consensus.Ready{})
}

func (p *shard) notifyWatchers() {
	for c := range p.watchers {
		close(c)
	}
	clear(p.watchers)
}

func (p *shard) applyEntry(e *wire.Entry) {
	response := &wire.ChangeResponse{Outcome: wire.OutcomeDone}
	if len(e.Body) > 0 {
		c := &wire.Command{}
		if err := proto.Unmarshal(e.Body, c); err != nil {
			p.halt(errs.WrapAs(err, errs.DiskFailure, "read committed entry"))
			return
		}
		response = p.state.apply(c, p.clock.Now())
	}
	p.notifyWatchers()
	if w, ok := p.pendingProposals[e.Index]; ok {
		delete(p.pendingProposals, e.Index)
		if w.term != e.Term {
			response = &wire.ChangeResponse{Outcome: wire.OutcomeNotLeader} // another entry took its place: it never ran
		}
		w.response <- response
	}
}

// transferLeadership asks a peer that has caught up to lead, before this node stops.
func (p *shard) transferLeadership() {
	p.commands.Offer(func() {
		if p.failure == nil && p.core.TransferLeadership() {
			p.log.Info("leadership transfer asked for")
		}
	})
}

// reportSendFailure says to the core that a message of its own wasn't sent.
func (p *shard) reportSendFailure(m *wire.Message) {
	p.commands.Offer(func() {
		if p.failure == nil {
			p.core.ReportSendFailure(m)
		}
	})
}

// runOnLoop runs f on the shard's goroutine; false when the shard is too busy or ending.
func (p *shard) runOnLoop(ctx context.Context, f func()) bool {
	done := make(chan struct{})
	if !p.commands.Offer(func() { f(); close(done) }) {
		return false
	}
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	case <-p.ctx.Done():
		return false
	}
}

// query asks for a value on the shard's goroutine; or is the value where no answer comes in time.
func query[T any](ctx context.Context, p *shard, or T, f func() T) T {
	c := make(chan T, 1) // nobody waits for an answer that comes late
	if p.runOnLoop(ctx, func() { c <- f() }) {
		return <-c
	}
	return or
}

// read answers from the applied state, once a quorum confirms that this member leads the shard.
func (p *shard) read(ctx context.Context, a *wire.ReadRequest) *wire.ReadResponse {
	w := make(chan bool, 1)
	t := &wire.ReadResponse{Outcome: wire.OutcomeNotLeader}
	var id uint64
	if !p.runOnLoop(ctx, func() { id, t.Leader = p.beginRead(w) }) {
		return &wire.ReadResponse{Outcome: wire.OutcomeUnknown}
	}
	ok := false
	select {
	case ok = <-w:
	case <-ctx.Done():
		p.commands.Offer(func() { delete(p.pendingReads, id) })
		return &wire.ReadResponse{Outcome: wire.OutcomeUnknown}
	}
	if !ok {
		return t
	}
	if !p.runOnLoop(ctx, func() { t.Outcome = wire.OutcomeDone; t.Documents, t.Leases = p.selectDocuments(a) }) {
		return &wire.ReadResponse{Outcome: wire.OutcomeUnknown}
	}
	return t
}

// beginRead begins a read; w receives whether it may be answered from here.
func (p *shard) beginRead(w chan bool) (id uint64, leader string) {
	s := p.core.Status()
	if p.failure == nil && s.IsLeader && len(p.pendingReads) < 1024 {
		if i, ok := p.core.ReadIndex(); ok {
			p.pendingReads[i] = w
			return i, "" // where it is lost, this member isn't the one to name
		}
	}
	w <- false
	return 0, s.Leader
}

func (p *shard) selectDocuments(a *wire.ReadRequest) ([]*wire.Document, []*wire.Lease) {
	var ds []*wire.Document
	var ls []*wire.Lease
	for _, k := range queue.Keys(p.state.documents) {
		if k == a.Key || a.Prefix && len(k) >= len(a.Key) && k[:len(a.Key)] == a.Key {
			ds = append(ds, p.state.documents[k])
		}
	}
	for _, k := range queue.Keys(p.state.leases) {
		ls = append(ls, p.state.leases[k])
	}
	return ds, ls
}
