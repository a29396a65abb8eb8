package controlstate

import (
	"context"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
	"google.golang.org/protobuf/proto"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/control/calendar"
	"pebbleloom/internal/control/consensus"
	"pebbleloom/internal/control/retire"
	"pebbleloom/internal/control/storage"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/queue"
	"pebbleloom/internal/wire"
)

type pendingChange struct {
	term   uint64
	answer chan *wire.ChangeResponse
}

// part runs one member of one part: one thread owns core, state and shelf.
type shard struct {
	id        uint32
	core      *consensus.Core
	state     *state
	store     *storage.Store
	clock     clock.Clock
	log       hclog.Logger
	send      func(*wire.Message)
	commands  *queue.Ring[func()]
	pending   map[uint64]pendingChange
	reads     map[uint64]chan bool
	watchers  map[chan struct{}]bool
	mergeLock chan struct{} // held by the change that merges and checks a setup
	keepIDs   time.Duration // how long once-only ids are remembered
	agedAt    time.Duration // when the part's age was last told, and in which term
	agedTerm  uint64
	compactAt int // the log is turned into a slot when it is longer than this
	failure   error
	ctx       context.Context
	*group    // nil where the members are fixed
}

// openPart reads the shelf and makes the member; an empty disk begins blank under a new
// incarnation.
func openShard(ctx context.Context, cfg consensus.Config, d storage.Disk, inc func() string, clk clock.Clock, log hclog.Logger, post func(*wire.Message)) (*shard, error) {
	p := newShard(ctx, cfg.Shard, clk, log, post)
	l, err := p.load(d, func() *wire.Snapshot { return consensus.BlankSnapshot(inc()) }) // whatever was here before counts no more, under any name
	if err != nil {
		return nil, err
	}
	p.core = consensus.New(cfg, l.Snapshot, l.Records)
	return p, nil
}

func newShard(ctx context.Context, n uint32, clk clock.Clock, log hclog.Logger, post func(*wire.Message)) *shard {
	return &shard{id: n, state: newState(), clock: clk, log: log.With("part", n), send: post, ctx: ctx,
		commands: queue.NewRing[func()](512), pending: map[uint64]pendingChange{}, reads: map[uint64]chan bool{},
		watchers: map[chan struct{}]bool{}, compactAt: 1 << 20, keepIDs: defaultKeepIDs, mergeLock: make(chan struct{}, 1)}
}

// load reads the shelf, state included; an empty disk gets a first slot.
func (p *shard) load(d storage.Disk, first func() *wire.Snapshot) (l storage.Loaded, err error) {
	if p.store, l, err = storage.Open(d); err != nil {
		return l, errs.Wrap(err, "open part")
	}
	if l.Snapshot == nil {
		l.Snapshot = first()
		if err := p.store.SaveSnapshot(l.Snapshot, nil); err != nil {
			return l, errs.Wrap(err, "first slot")
		}
		p.log.Info("empty disk: it begins anew", "incarnation", l.Snapshot.HardState.Incarnation, "members", l.Snapshot.Members)
	}
	if l.Torn > 0 {
		p.log.Warn("torn tail cut off", "bytes", l.Torn)
	}
	if l.Snapshot.Format != 1 {
		return l, errs.New(errs.DiskBad, "slot of epoch %d: this program reads epoch 1: start the newer program", l.Snapshot.Format)
	}
	return l, errs.As(p.state.load(l.Snapshot.State, p.clock.Now()), errs.DiskBad, "read slot state")
}

func (p *shard) run(tick time.Duration) {
	t := clock.Every(tick)
	defer t.Stop()
	at := func() {
		if p.failure == nil {
			p.core.Tick()
		}
		p.tick()
	}
	at() // what begins anew doesn't wait for the first tick
	p.step()
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-t.C:
			at()
		case f := <-p.commands.Out():
			f()
			for _, g := range p.commands.Drain(63) {
				g()
			}
		}
		p.step()
	}
}

// step persists, then sends, then applies what the core asks for. A failed sync takes the
// member out: it acknowledges and sends nothing more.
func (p *shard) step() {
	if p.failure != nil {
		return
	}
	o := p.core.Ready()
	var b errs.Batch
	if o.Install != nil {
		b.Note("install", p.store.SaveSnapshot(o.Install, o.Records))
		if b.Look() == nil {
			b.Note("load", p.state.load(o.Install.State, p.clock.Now()))
			p.notifyWatchers()
		}
	} else {
		b.Note("persist", p.store.Append(o.Records))
	}
	if err := b.Look(); err != nil {
		p.fail(err)
		return
	}
	p.publish(consensus.Ready{Install: o.Install, Records: o.Records}) // before anybody hears that it is on this disk
	for _, l := range o.Messages {
		p.send(l)
	}
	for _, e := range o.Committed {
		p.commit(e)
	}
	for _, id := range o.ConfirmedReads {
		p.answer(id, true)
	}
	for _, id := range o.LostReads {
		p.answer(id, false)
	}
	if p.store.Size() > p.compactAt && len(o.Committed) > 0 {
		body, err := p.state.save()
		if err == nil {
			err = p.store.SaveSnapshot(p.core.Compact(body))
		}
		if err != nil {
			p.fail(err)
		}
	}
	p.publish(consensus.Ready{Committed: o.Committed})
}

func (p *shard) answer(id uint64, ok bool) {
	if c := p.reads[id]; c != nil {
		c <- ok
		delete(p.reads, id)
	}
}

func (p *shard) fail(err error) {
	p.failure = err
	p.log.Error("member is out", "error", errs.Text(err))
	for id := range p.reads {
		p.answer(id, false)
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

func (p *shard) commit(e *wire.Entry) {
	tell := &wire.ChangeResponse{Outcome: wire.OutcomeDone}
	if len(e.Body) > 0 {
		c := &wire.Command{}
		if err := proto.Unmarshal(e.Body, c); err != nil {
			p.fail(errs.As(err, errs.DiskBad, "read committed entry"))
			return
		}
		tell = p.state.apply(c, p.clock.Now())
	}
	p.notifyWatchers()
	if w, ok := p.pending[e.Index]; ok {
		delete(p.pending, e.Index)
		if w.term != e.Term {
			tell = &wire.ChangeResponse{Outcome: wire.OutcomeNotLeader} // another entry took its place: it never ran
		}
		w.answer <- tell
	}
}

// handOver gives the part to a colleague that has caught up, before this node stops.
func (p *shard) beginTransfer() {
	p.commands.Offer(func() {
		if p.failure == nil && p.core.TransferLeadership() {
			p.log.Info("part handed over")
		}
	})
}

// ask runs f on the part's thread; false when the part is too busy or ending.
func (p *shard) do(ctx context.Context, f func()) bool {
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

// told asks for a value on the part's thread; or is what holds where no answer comes in time.
func query[T any](ctx context.Context, p *shard, or T, f func() T) T {
	c := make(chan T, 1) // an answer that comes late is nobody's
	if p.do(ctx, func() { c <- f() }) {
		return <-c
	}
	return or
}

// entry checks a calendar entry against the others of its service.
func (p *shard) validateCalendarEntry(u *wire.Put) error {
	e, err := calendar.Read(u.Body)
	if err != nil {
		return err
	}
	var b errs.Batch
	if e.Check(&b); calendar.Key(e.Service, e.Name) != u.Key {
		b.Fault(errs.BadInput, "entry %q of service %q doesn't belong under %s", e.Name, e.Service, u.Key)
	}
	if len(p.core.Unapplied()) > 0 {
		return errs.New(errs.Overloaded, "another change is under way: ask again")
	}
	var others []*calendar.Entry
	for k, d := range p.state.docs {
		if strings.HasPrefix(k, "calendar/") {
			o, err := calendar.Read(d.Body)
			if b.Note(k, err); err == nil {
				others = append(others, o)
			}
		}
	}
	b.Note("calendar", e.Clash(others))
	if e.Active() {
		for _, r := range p.retirements(&b) {
			if r.Service == e.Service && r.Active() && r.State != retire.Planned {
				b.Fault(errs.Conflict, "entry %q clashes with retirement %q (%s): both move service %s", e.Name, r.Name, r.State, e.Service)
			}
		}
	}
	return b.Look()
}

func (p *shard) retirements(b *errs.Batch) (l []*retire.Retirement) {
	for k, d := range p.state.docs {
		if strings.HasPrefix(k, "retire/") {
			r, err := retire.Read(d.Body)
			if b.Note(k, err); err == nil {
				l = append(l, r)
			}
		}
	}
	return l
}

// retirement checks a retirement against the others and the calendar of its service.
func (p *shard) validateRetirement(u *wire.Put) error {
	r, err := retire.Read(u.Body)
	if err != nil {
		return err
	}
	var b errs.Batch
	if r.Check(&b); retire.Key(r.Service, r.Name) != u.Key {
		b.Fault(errs.BadInput, "retirement %q of service %q doesn't belong under %s", r.Name, r.Service, u.Key)
	}
	if len(p.core.Unapplied()) > 0 {
		return errs.New(errs.Overloaded, "another change is under way: ask again")
	}
	b.Note("retirement", r.ConflictWith(p.retirements(&b)))
	if r.Active() && r.State != retire.Planned {
		for k, d := range p.state.docs {
			if !strings.HasPrefix(k, "calendar/") {
				continue
			}
			if e, err := calendar.Read(d.Body); err == nil && e.Active() && e.Service == r.Service {
				b.Fault(errs.Conflict, "retirement %q clashes with calendar entry %q (%s): both move service %s: let it end, cancel or undo it first", r.Name, e.Name, e.State, e.Service)
			}
		}
	}
	return b.Look()
}

// read answers from the applied state, once a majority confirms that this member owns the part.
func (p *shard) read(ctx context.Context, a *wire.ReadRequest) *wire.ReadResponse {
	w := make(chan bool, 1)
	t := &wire.ReadResponse{Outcome: wire.OutcomeNotLeader}
	var id uint64
	if !p.do(ctx, func() { id, t.Leader = p.beginRead(w) }) {
		return &wire.ReadResponse{Outcome: wire.OutcomeUnknown}
	}
	ok := false
	select {
	case ok = <-w:
	case <-ctx.Done():
		p.commands.Offer(func() { delete(p.reads, id) })
		return &wire.ReadResponse{Outcome: wire.OutcomeUnknown}
	}
	if !ok {
		return t
	}
	if !p.do(ctx, func() { t.Outcome = wire.OutcomeDone; t.Documents, t.Leases = p.selectDocuments(a) }) {
		return &wire.ReadResponse{Outcome: wire.OutcomeUnknown}
	}
	return t
}

// beginRead begins a read; w is told whether it may be answered from here.
func (p *shard) beginRead(w chan bool) (id uint64, owner string) {
	s := p.core.Status()
	if p.failure == nil && s.IsLeader && len(p.reads) < 1024 {
		if i, ok := p.core.RequestRead(); ok {
			p.reads[i] = w
			return i, s.Leader
		}
	}
	w <- false
	return 0, s.Leader
}

func (p *shard) selectDocuments(a *wire.ReadRequest) ([]*wire.Document, []*wire.Lease) {
	var ds []*wire.Document
	var ls []*wire.Lease
	for _, k := range queue.Keys(p.state.docs) {
		if k == a.Key || a.Prefix && len(k) >= len(a.Key) && k[:len(a.Key)] == a.Key {
			ds = append(ds, p.state.docs[k])
		}
	}
	for _, k := range queue.Keys(p.state.leases) {
		ls = append(ls, p.state.leases[k])
	}
	return ds, ls
}
