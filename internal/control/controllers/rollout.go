package controllers

import (
	"math"
	"slices"
	"strings"
	"time"

	"pebbleloom/internal/data/backend"
	"pebbleloom/internal/fleet"
	"pebbleloom/internal/queue"
	"pebbleloom/internal/settings"
)

// Timing and concurrency of a rollout, as ratios.
const (
	baseConcurrencyRatio = 1.0 / 5  // of a service's workers load concurrently
	maxConcurrencyRatio  = 1.0 / 3  // of them at most, when the bound is close
	rolloutSpanRatio     = 0.8      // of the weights bound: all loads fit into it
	rolloutTailRatio     = 0.2      // of the weights bound: the last may load while older weights are no longer selected
	initialLoadRatio     = 1.0 / 10 // of the weights bound: assumed duration of a load until one was measured
	cordonLeadRatio      = 1.0 / 15 // of the leave bound: from setting a worker aside to its order
	reportIntervalRatio  = 1.0 / 20 // of the leave bound: between two reports of a worker
	maxReportAgeRatio    = 1.0 / 3  // of the leave bound: a worker's report may be this old
	slowLoadRatio        = 1.0 / 4  // of the weights bound: a longer load no longer delays others
	loadRetryRatio       = 1.0 / 8  // of the weights bound: before a failed worker is retried
	firstReportRatio     = 0.7      // of the shortest measured load: when the first report is requested
	maxMissedReports     = 3        // consecutive reports without a response before the worker is retried later
)

type loadStage int

const (
	stageCordoned loadStage = iota // proxies are to send it no new requests
	stageOrdered                   // the order's call is in flight
	stageLoading                   // the order was accepted, or another one is running
	stageUnknown                   // whether the order was accepted is unknown
)

// weightLoad brings one worker to one version.
type weightLoad struct {
	worker            fleet.Worker
	model             string
	version           uint64
	stage             loadStage
	cordonedAt        time.Duration // when the written placement first set it aside; -1: not yet
	startedAt         time.Duration // when the order was sent, or its outcome became unknown
	nextReportAt      time.Duration // when the next report is due
	reportRequestedAt time.Duration // when the report in flight was requested
	callInFlight      bool
	startConfirmed    bool // the worker confirmed the start: its duration can be measured
	missedReports     int
	reportedSequence  *uint64 // orders that the worker had taken at its last report; nil: none was asked for yet
}

// Order is an order to send to a worker.
type Order struct {
	Worker   fleet.Worker
	Model    string
	Version  uint64
	Sequence *uint64 // orders that the worker must have taken so far; nil: any number
}

// RolloutActions are the actions that a step asks for. The caller reports their results to Reported and Ordered.
type RolloutActions struct {
	Orders   []Order
	Reports  []fleet.Worker
	Cordoned map[string][]string // by service: the workers that are set aside
}

// RolloutInputs are the inputs of a step.
type RolloutInputs struct {
	Now             time.Duration
	Workers         []fleet.Worker
	NamedVersions   map[string]uint64
	NamedAt         map[string]time.Duration // when each model's version was named
	UpdatedServices map[string]bool          // the services whose workers are updated
	EarliestOrder   time.Duration            // the earliest order where a past holder may have sent one lately
}

// Rollout brings workers to named weights, some at once: each is first set aside, so that proxies send
// it no new requests; then it gets an order, and is polled until it serves the weights. While some
// load, the next are set aside. It only decides; it makes no calls.
type Rollout struct {
	bounds             settings.Bounds
	loads              map[string]*weightLoad   // by worker
	retryAt            map[string]time.Duration // by failed worker: no earlier retry
	maybeOrdered       map[string]bool          // workers that may have received an order
	previouslyCordoned map[string]bool          // workers that a past holder had set aside
	shortestLoad       map[string]time.Duration // by model: the shortest measured load
	concurrency        map[string]int           // by service: concurrent loads in this rollout
}

// NewRollout makes a rollout that resumes from the workers that a past holder set aside: each of those
// may have received an order.
//
// Example: r := controllers.NewRollout(bounds, placement.Rolling)
func NewRollout(b settings.Bounds, rolling []string) *Rollout {
	r := &Rollout{bounds: b, loads: map[string]*weightLoad{}, retryAt: map[string]time.Duration{}, maybeOrdered: map[string]bool{}, previouslyCordoned: map[string]bool{}, shortestLoad: map[string]time.Duration{}, concurrency: map[string]int{}}
	for _, id := range rolling {
		r.maybeOrdered[id], r.previouslyCordoned[id] = true, true
	}
	return r
}

// Idle reports whether no worker is out of service for a load.
//
// Example: if r.Idle() { slowDown() }
func (r *Rollout) Idle() bool { return len(r.loads) == 0 }

// nextVersion returns the model and version that a worker is to load next.
func nextVersion(w fleet.Worker, f RolloutInputs) (string, uint64) {
	if w.Draining || !f.UpdatedServices[w.Service] {
		return "", 0
	}
	for _, m := range queue.Keys(w.Weights) {
		if v := f.NamedVersions[m]; v > w.Weights[m] {
			return m, v
		}
	}
	return "", 0
}

// Step returns the actions that are due now.
//
// Example: acts := r.Step(facts)
func (r *Rollout) Step(f RolloutInputs) RolloutActions {
	a := RolloutActions{Cordoned: map[string][]string{}}
	here := make(map[string]fleet.Worker, len(f.Workers))
	by := map[string][]fleet.Worker{}
	for _, w := range f.Workers {
		here[w.ID] = w
		if f.UpdatedServices[w.Service] && !w.Draining && len(w.Weights) > 0 {
			by[w.Service] = append(by[w.Service], w)
		}
	}
	r.pruneLoads(f, here)
	for _, service := range queue.Keys(by) {
		r.stepService(f, by[service], &a)
	}
	for _, id := range queue.Keys(r.loads) {
		l := r.loads[id]
		a.Cordoned[l.worker.Service] = append(a.Cordoned[l.worker.Service], id)
		if (l.stage == stageLoading || l.stage == stageUnknown) && !l.callInFlight && f.Now >= l.nextReportAt {
			l.callInFlight, l.reportRequestedAt = true, f.Now
			a.Reports = append(a.Reports, l.worker)
		}
	}
	return a
}

// pruneLoads forgets the loads that have ended or become obsolete.
func (r *Rollout) pruneLoads(f RolloutInputs, here map[string]fleet.Worker) {
	for id, l := range r.loads {
		w, ok := here[id]
		m, v := nextVersion(w, f)
		switch {
		case !ok || m == "":
			delete(r.loads, id)
			delete(r.maybeOrdered, id)
		case l.stage == stageCordoned && f.Now < r.earliestOrder(f, w)-r.bounds.Leave(cordonLeadRatio):
			delete(r.loads, id) // it keeps serving until an order may be sent
		case l.stage == stageCordoned:
			l.worker, l.model, l.version = w, m, v // a newer version may have been named
		default:
			l.worker = w
		}
	}
	for id := range r.retryAt {
		if _, ok := here[id]; !ok {
			delete(r.retryAt, id)
		}
	}
	for id := range r.maybeOrdered {
		if w, ok := here[id]; ok {
			if m, _ := nextVersion(w, f); m != "" {
				continue
			}
			delete(r.maybeOrdered, id)
		}
	}
}

// earliestOrder is the earliest instant for this holder's first order to a worker. A past holder set each
// worker aside before it sent an order, in a document that is read on takeover: a worker that isn't in
// it, and never had weights newer than its first, had no order lately and needn't wait.
func (r *Rollout) earliestOrder(f RolloutInputs, w fleet.Worker) time.Duration {
	if r.previouslyCordoned[w.ID] {
		return f.EarliestOrder
	}
	for _, v := range w.Weights {
		if v > 1 {
			return f.EarliestOrder
		}
	}
	return 0
}

// stepService advances one service's loads.
func (r *Rollout) stepService(f RolloutInputs, ws []fleet.Worker, a *RolloutActions) {
	slices.SortFunc(ws, func(x, y fleet.Worker) int { return strings.Compare(x.ID, y.ID) })
	left, busy, soon, waiting := 0, 0, 0, 0
	var next []fleet.Worker
	since := time.Duration(-1)
	var model string
	for _, w := range ws {
		m, v := nextVersion(w, f)
		if m == "" {
			continue
		}
		left++
		if at, ok := f.NamedAt[m]; ok && (since < 0 || at < since) {
			since, model = at, m
		}
		l := r.loads[w.ID]
		switch {
		case l != nil && l.stage == stageCordoned:
			waiting++
		case l != nil:
			if f.Now-l.startedAt < r.bounds.Weights(slowLoadRatio) { // a longer load no longer delays others
				if busy++; l.stage == stageLoading && r.shortestLoad[l.model] > 0 && f.Now-l.startedAt >= r.shortestLoad[l.model]-r.bounds.Leave(cordonLeadRatio) {
					soon++
				}
			}
		case f.Now < r.retryAt[w.ID]:
			left--
		case r.maybeOrdered[w.ID]:
			r.loads[w.ID] = &weightLoad{worker: w, model: m, version: v, stage: stageUnknown, cordonedAt: -1, startedAt: f.Now, nextReportAt: f.Now}
			busy++
		case f.Now >= r.earliestOrder(f, w)-r.bounds.Leave(cordonLeadRatio):
			next = append(next, w)
		}
	}
	if left == 0 {
		delete(r.concurrency, ws[0].Service)
		return
	}
	if since >= 0 {
		since += r.bounds.Weights(rolloutTailRatio)
	}
	most := max(r.concurrency[ws[0].Service], r.maxConcurrent(f, len(ws), left-busy, since, model))
	r.concurrency[ws[0].Service] = most
	for _, w := range ws {
		l := r.loads[w.ID]
		if l == nil || l.stage != stageCordoned || l.cordonedAt < 0 || f.Now < l.cordonedAt+r.bounds.Leave(cordonLeadRatio) || f.Now < r.earliestOrder(f, w) || busy >= most {
			continue
		}
		busy, waiting = busy+1, waiting-1
		l.stage, l.startedAt, l.callInFlight, l.startConfirmed, l.missedReports = stageOrdered, f.Now, true, false, 0
		r.maybeOrdered[w.ID] = true
		a.Orders = append(a.Orders, Order{w, l.model, l.version, l.reportedSequence})
	}
	for _, w := range next[:max(0, min(len(next), most-busy-waiting+soon))] {
		m, v := nextVersion(w, f)
		r.loads[w.ID] = &weightLoad{worker: w, model: m, version: v, cordonedAt: -1}
	}
}

// maxConcurrent is how many of a service's workers load at once, of those still waiting: more when the
// bound is close.
func (r *Rollout) maxConcurrent(f RolloutInputs, all, waiting int, since time.Duration, model string) int {
	base := max(1, int(float64(all)*baseConcurrencyRatio))
	if since < 0 || waiting <= 0 {
		return base
	}
	took := r.bounds.Weights(initialLoadRatio)
	if d := r.shortestLoad[model]; d > 0 {
		took = d
	}
	one := float64(took + r.bounds.Leave(reportIntervalRatio))
	rounds := max(1, (float64(since+r.bounds.Weights(rolloutSpanRatio)-f.Now)-one/2)/one) // the running loads are half done
	return min(max(base, int(math.Round(float64(waiting)/rounds))), max(base, int(float64(all)*maxConcurrencyRatio)))
}

// ConfirmCordoned records that the written placement sets these workers aside.
//
// Example: r.ConfirmCordoned(ids, now)
func (r *Rollout) ConfirmCordoned(ids []string, now time.Duration) {
	for _, id := range ids {
		if l := r.loads[id]; l != nil && l.cordonedAt < 0 {
			l.cordonedAt = now
		}
	}
}

// HandleOrderOutcome takes the outcome of an order. It returns the version that the worker is known to have; zero
// if unknown.
//
// Example: v := r.Ordered(order, backend.OutcomeStarted, now)
func (r *Rollout) HandleOrderOutcome(o Order, out backend.Outcome, now time.Duration) uint64 {
	l := r.loads[o.Worker.ID]
	if l == nil || l.stage != stageOrdered || l.version != o.Version || l.model != o.Model {
		return 0 // the worker left, or the load became obsolete
	}
	l.callInFlight = false
	switch out {
	case backend.OutcomeStarted:
		l.stage, l.startConfirmed, l.nextReportAt = stageLoading, true, l.startedAt+max(r.bounds.Leave(reportIntervalRatio), time.Duration(float64(r.shortestLoad[l.model])*firstReportRatio))
	case backend.OutcomeBusy: // another order of this holder or a past one is running
		l.stage, l.startedAt, l.nextReportAt = stageLoading, now, now+r.bounds.Leave(reportIntervalRatio)
	case backend.OutcomeUnknown: // it may have been accepted
		l.stage, l.nextReportAt = stageUnknown, now+r.bounds.Leave(reportIntervalRatio)
	case backend.OutcomeAlreadyDone:
		delete(r.loads, o.Worker.ID)
		delete(r.maybeOrdered, o.Worker.ID)
		return o.Version
	default: // it was not accepted
		r.scheduleRetry(l, now)
		delete(r.maybeOrdered, o.Worker.ID)
	}
	return 0
}

// HandleUnsentOrder takes back an order that was never sent.
//
// Example: r.Unsent(order)
func (r *Rollout) HandleUnsentOrder(o Order) {
	if l := r.loads[o.Worker.ID]; l != nil && l.stage == stageOrdered && l.version == o.Version {
		delete(r.loads, o.Worker.ID)
		delete(r.maybeOrdered, o.Worker.ID)
	}
}

func (r *Rollout) scheduleRetry(l *weightLoad, now time.Duration) {
	delete(r.loads, l.worker.ID)
	r.retryAt[l.worker.ID] = now + r.bounds.Weights(loadRetryRatio)
}

// HandleReport takes a worker's report; ok is false if there was none. It returns the model and the
// version that the worker is known to have; zero if nothing is new.
//
// Example: model, v := r.Reported("i-7f3a", report, err == nil, now)
func (r *Rollout) HandleReport(id string, t backend.Report, ok bool, now time.Duration) (string, uint64) {
	l := r.loads[id]
	if l == nil || !l.callInFlight || l.stage != stageLoading && l.stage != stageUnknown {
		return "", 0
	}
	l.callInFlight, l.nextReportAt = false, now+r.bounds.Leave(reportIntervalRatio)
	if !ok {
		if l.missedReports++; l.missedReports >= maxMissedReports {
			r.scheduleRetry(l, now) // its order's outcome stays unknown
		}
		return "", 0
	}
	l.missedReports, l.reportedSequence = 0, &t.Sequence
	v := t.Weights[l.model]
	switch {
	case v >= l.version:
		if d := now - l.startedAt; l.startConfirmed && (r.shortestLoad[l.model] == 0 || d < r.shortestLoad[l.model]) {
			r.shortestLoad[l.model] = d
		}
		delete(r.maybeOrdered, id)
		l.stage = stageCordoned // the next step drops it, or orders a newer version
		return l.model, v
	case t.Busy:
		l.stage = stageLoading
	case l.reportRequestedAt-l.startedAt >= r.bounds.Leave(maxReportAgeRatio): // a started load would show by now: the order was not accepted
		delete(r.maybeOrdered, id)
		l.stage = stageCordoned
	}
	return "", 0
}
