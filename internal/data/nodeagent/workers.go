package nodeagent

import (
	"maps"
	"slices"
	"time"

	"pebbleloom/internal/contract"
	"pebbleloom/internal/data/updatestream"
	"pebbleloom/internal/queue"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

const maxWorkers = 1024

type worker struct {
	l      contract.Listed
	s      contract.State
	probed time.Duration // last good probe, by when it was asked
	since  time.Duration // when it was first listed
	failed time.Duration // last failed go or probe
	answer time.Duration // when the last good probe's answer was here
	busy   bool
}

// Workers is the one table that listing, probes and failed goes feed.
type Workers struct {
	b      settings.Bounds
	all    map[string]*worker
	listed time.Duration
}

// NewWorkers begins empty.
//
// Example: w := runner.NewWorkers(bounds)
func NewWorkers(b settings.Bounds) *Workers { return &Workers{b: b, all: map[string]*worker{}} }

// Listed takes the platform's list. Who isn't in it any more is gone at once.
//
// Example: w.Listed(list, askedAt)
func (w *Workers) Listed(l []contract.Listed, asked time.Duration) {
	w.listed = asked
	here := map[string]bool{}
	for _, x := range l {
		if len(here) >= maxWorkers {
			break
		}
		here[x.Name] = true
		o := w.all[x.Name]
		if o == nil || o.l.Addr != x.Addr {
			o = &worker{since: asked} // another address is another life
			w.all[x.Name] = o
		}
		o.l = x
	}
	for n := range w.all {
		if !here[n] {
			delete(w.all, n)
		}
	}
}

// Probe gives whom to probe now; each is probed once at a time.
//
// Example: for _, l := range w.Probe() { go probe(l) }
func (w *Workers) Probe() []contract.Listed {
	var l []contract.Listed
	for _, n := range w.names() {
		if x := w.all[n]; !x.busy {
			x.busy = true
			l = append(l, x.l)
		}
	}
	return l
}

func (w *Workers) names() []string { return queue.Keys(w.all) }

// Probed takes the end of a probe. A stranger at the address counts as a failure.
//
// Example: w.Probed(listed, state, err == nil, askedAt, now)
func (w *Workers) Probed(l contract.Listed, s contract.State, ok bool, asked, now time.Duration) {
	x := w.all[l.Name]
	if x == nil || x.l.Addr != l.Addr {
		return
	}
	x.busy = false
	if ok && s.Name == l.Name {
		x.s, x.probed, x.answer = s, asked, now
		return
	}
	x.failed = now
}

// Goes takes what the dispatcher beside it saw of its goes.
//
// Example: w.Goes(reports, now)
func (w *Workers) Goes(l []*wire.GoReport, now time.Duration) {
	for _, g := range l {
		if x := w.all[g.Worker]; x != nil && g.Errors > 0 {
			x.failed = now
		}
	}
}

// Table shows the workers as dispatchers are to see them.
//
// Example: rows := w.Table(drains, now)
func (w *Workers) Table(drains map[string]bool, now time.Duration) []*wire.Worker {
	var l []*wire.Worker
	for _, n := range w.names() {
		x := w.all[n]
		st := updatestream.WorkerUp
		switch {
		case x.probed == 0 || now-x.probed > w.b.Leave(0.6):
			st = updatestream.WorkerGone // never seen, or silent for too long: a silent cut looks like this
		case x.l.Draining || x.s.Draining || drains[n]:
			st = updatestream.WorkerDraining
		case x.failed > x.probed:
			st = updatestream.WorkerUnsure
		}
		l = append(l, &wire.Worker{Name: n, Addr: x.l.Addr, Service: x.l.Service, Model: x.s.Model, District: x.l.District,
			Incarnation: x.s.Incarnation, State: st, Weights: x.s.Weights, Slots: uint32(x.s.Slots), Busy: uint32(x.s.Busy),
			Queued: uint32(x.s.Queued), Kind: x.l.Kind, KvRoom: uint64(x.s.KvRoom),
			ClockNs: uint64(x.s.ClockUs) * 1000, ClockAt: uint64(x.answer), Loaded: loaded(x.s)})
	}
	return l
}

// loaded is what a worker says it has in memory beside its one model.
func loaded(s contract.State) []*wire.Loaded {
	var l []*wire.Loaded
	for _, x := range s.Loaded {
		l = append(l, &wire.Loaded{Model: x.Model, Weights: x.Weights, Adapters: x.Adapters})
	}
	return l
}

func sameLoaded(a, b []*wire.Loaded) bool {
	return slices.EqualFunc(a, b, func(x, y *wire.Loaded) bool {
		return x.Model == y.Model && x.Weights == y.Weights && maps.Equal(x.Adapters, y.Adapters)
	})
}
