package controllers

import (
	"math"
	"slices"
	"time"

	"pebbleloom/internal/data/backend"
	"pebbleloom/internal/fleet"
	"pebbleloom/internal/queue"
	"pebbleloom/internal/settings"
)

// The pace of a roll-out, as ratios.
const (
	atOnce   = 1.0 / 5  // of a service's workers load at once
	mostOut  = 1.0 / 3  // of them at the most, when the bound presses
	span     = 0.8      // of the weights bound: all loads fit into it
	tail     = 0.2      // of the weights bound: the last may load while the older ones are picked no more
	guess    = 1.0 / 10 // of the weights bound: a load, until one was seen
	lead     = 1.0 / 15 // of the leave bound: a worker is set aside this long before its order
	look     = 1.0 / 20 // of the leave bound: between two reports of a worker
	stale    = 1.0 / 3  // of the leave bound: what a worker reports may be this old
	patience = 1.0 / 4  // of the weights bound: a load that lasts longer holds up no other
	again    = 1.0 / 8  // of the weights bound: until a worker that couldn't be brought is tried again
	early    = 0.7      // of the shortest load seen: the first report is asked for then
	quiet    = 3        // reports in a row without an answer: the worker is left for later
)

type stage int

const (
	aside   stage = iota // edges are to send it nothing new
	ordered              // the order's call is under way
	loading              // the order was taken, or another one is under way
	doubt                // whether an order was taken isn't known
)

// load brings one worker to one version.
type load struct {
	w       fleet.Worker
	model   string
	want    uint64
	stage   stage
	set     time.Duration // when edges were told to send it nothing new; -1: not yet
	at      time.Duration // when the order went off, or the doubt began
	next    time.Duration // when a report is due
	asked   time.Duration // when the report under way was asked for
	calling bool
	begun   bool // the worker said so: how long it takes can be told
	silent  int
	taken   *uint64 // orders that the worker had taken when it reported the last time; nil: not asked yet
}

// Order is an order to send to a worker.
type Order struct {
	Worker   fleet.Worker
	Model    string
	Weights  uint64
	Sequence *uint64 // orders that the worker must have taken so far; nil: any number
}

// Acts are what a step wants done. Reports and orders are answered by Reported and Ordered.
type Acts struct {
	Orders  []Order
	Reports []fleet.Worker
	Rolling map[string][]string // by service: who is set aside
}

// Facts are what a step goes by.
type Facts struct {
	Now     time.Duration
	Workers []fleet.Worker
	Named   map[string]uint64
	Since   map[string]time.Duration // when each model's was named
	Engines map[string]bool          // the services whose workers are brought
	From    time.Duration            // no order goes off before, where a past holder may have sent one lately
}

// Roll brings workers to named weights, some at once: each is first set aside, so that edges
// send it nothing new; then it is ordered, and looked at until it serves them. While some load,
// the next are set aside. It decides and calls nobody.
type Roll struct {
	b      settings.Bounds
	loads  map[string]*load         // by worker
	later  map[string]time.Duration // workers that couldn't be brought: not before then
	unsure map[string]bool          // workers that an order may have reached
	past   map[string]bool          // those whom a past holder had set aside
	took   map[string]time.Duration // by model: the shortest load seen
	grown  map[string]int           // by service: how many load at once in this roll-out
}

// NewRoll makes a roll-out that goes on from what a past holder set aside: an order may have
// reached each of those.
//
// Example: r := duty.NewRoll(bounds, placement.Rolling)
func NewRoll(b settings.Bounds, rolling []string) *Roll {
	r := &Roll{b: b, loads: map[string]*load{}, later: map[string]time.Duration{}, unsure: map[string]bool{}, past: map[string]bool{}, took: map[string]time.Duration{}, grown: map[string]int{}}
	for _, id := range rolling {
		r.unsure[id], r.past[id] = true, true
	}
	return r
}

// Idle tells that nobody is out of service for weights.
//
// Example: if r.Idle() { slowDown() }
func (r *Roll) Idle() bool { return len(r.loads) == 0 }

// behind finds the model whose weights a worker is to get next.
func behind(w fleet.Worker, f Facts) (string, uint64) {
	if w.Draining || !f.Engines[w.Service] {
		return "", 0
	}
	for _, m := range queue.Keys(w.Weights) {
		if v := f.Named[m]; v > w.Weights[m] {
			return m, v
		}
	}
	return "", 0
}

// Step says what to do now.
//
// Example: acts := r.Step(facts)
func (r *Roll) Step(f Facts) Acts {
	a := Acts{Rolling: map[string][]string{}}
	here := make(map[string]fleet.Worker, len(f.Workers))
	by := map[string][]fleet.Worker{}
	for _, w := range f.Workers {
		here[w.ID] = w
		if f.Engines[w.Service] && !w.Draining && len(w.Weights) > 0 {
			by[w.Service] = append(by[w.Service], w)
		}
	}
	r.forget(f, here)
	for _, service := range queue.Keys(by) {
		r.service(f, by[service], &a)
	}
	for _, id := range queue.Keys(r.loads) {
		l := r.loads[id]
		a.Rolling[l.w.Service] = append(a.Rolling[l.w.Service], id)
		if (l.stage == loading || l.stage == doubt) && !l.calling && f.Now >= l.next {
			l.calling, l.asked = true, f.Now
			a.Reports = append(a.Reports, l.w)
		}
	}
	return a
}

// forget drops what is done or has become void.
func (r *Roll) forget(f Facts, here map[string]fleet.Worker) {
	for id, l := range r.loads {
		w, ok := here[id]
		m, v := behind(w, f)
		switch {
		case !ok || m == "":
			delete(r.loads, id)
			delete(r.unsure, id)
		case l.stage == aside && f.Now < r.from(f, w)-r.b.Leave(lead):
			delete(r.loads, id) // it serves on until an order may go
		case l.stage == aside:
			l.w, l.model, l.want = w, m, v // named again meanwhile: the newest
		default:
			l.w = w
		}
	}
	for id := range r.later {
		if _, ok := here[id]; !ok {
			delete(r.later, id)
		}
	}
	for id := range r.unsure {
		if w, ok := here[id]; ok {
			if m, _ := behind(w, f); m != "" {
				continue
			}
			delete(r.unsure, id)
		}
	}
}

// from is when a worker may get this holder's first order. A past holder set each worker aside
// before it sent an order, in a document that is read at the take-over: whoever isn't in it, and
// never had newer weights than its first, had no order lately and has to wait for nothing.
func (r *Roll) from(f Facts, w fleet.Worker) time.Duration {
	if r.past[w.ID] {
		return f.From
	}
	for _, v := range w.Weights {
		if v > 1 {
			return f.From
		}
	}
	return 0
}

// service moves one service's loads on.
func (r *Roll) service(f Facts, ws []fleet.Worker, a *Acts) {
	slices.SortFunc(ws, func(x, y fleet.Worker) int { return cmpID(x.ID, y.ID) })
	left, busy, soon, waiting := 0, 0, 0, 0
	var next []fleet.Worker
	since := time.Duration(-1)
	var model string
	for _, w := range ws {
		m, v := behind(w, f)
		if m == "" {
			continue
		}
		left++
		if at, ok := f.Since[m]; ok && (since < 0 || at < since) {
			since, model = at, m
		}
		l := r.loads[w.ID]
		switch {
		case l != nil && l.stage == aside:
			waiting++
		case l != nil:
			if f.Now-l.at < r.b.Weights(patience) { // else it holds up no other
				if busy++; l.stage == loading && r.took[l.model] > 0 && f.Now-l.at >= r.took[l.model]-r.b.Leave(lead) {
					soon++
				}
			}
		case f.Now < r.later[w.ID]:
			left--
		case r.unsure[w.ID]:
			r.loads[w.ID] = &load{w: w, model: m, want: v, stage: doubt, set: -1, at: f.Now, next: f.Now}
			busy++
		case f.Now >= r.from(f, w)-r.b.Leave(lead):
			next = append(next, w)
		}
	}
	if left == 0 {
		delete(r.grown, ws[0].Service)
		return
	}
	if since >= 0 {
		since += r.b.Weights(tail)
	}
	most := max(r.grown[ws[0].Service], r.most(f, len(ws), left-busy, since, model))
	r.grown[ws[0].Service] = most
	for _, w := range ws {
		l := r.loads[w.ID]
		if l == nil || l.stage != aside || l.set < 0 || f.Now < l.set+r.b.Leave(lead) || f.Now < r.from(f, w) || busy >= most {
			continue
		}
		busy, waiting = busy+1, waiting-1
		l.stage, l.at, l.calling, l.begun, l.silent = ordered, f.Now, true, false, 0
		r.unsure[w.ID] = true
		a.Orders = append(a.Orders, Order{w, l.model, l.want, l.taken})
	}
	for _, w := range next[:max(0, min(len(next), most-busy-waiting+soon))] {
		m, v := behind(w, f)
		r.loads[w.ID] = &load{w: w, model: m, want: v, set: -1}
	}
}

// most is how many of a service's workers load at once, of those that still wait: more when the
// bound presses.
func (r *Roll) most(f Facts, all, waiting int, since time.Duration, model string) int {
	base := max(1, int(float64(all)*atOnce))
	if since < 0 || waiting <= 0 {
		return base
	}
	took := r.b.Weights(guess)
	if d := r.took[model]; d > 0 {
		took = d
	}
	one := float64(took + r.b.Leave(look))
	rounds := max(1, (float64(since+r.b.Weights(span)-f.Now)-one/2)/one) // the loads under way are half done
	return min(max(base, int(math.Round(float64(waiting)/rounds))), max(base, int(float64(all)*mostOut)))
}

// Aside notes that edges were told to send these workers nothing new.
//
// Example: r.Aside(ids, now)
func (r *Roll) Aside(ids []string, now time.Duration) {
	for _, id := range ids {
		if l := r.loads[id]; l != nil && l.set < 0 {
			l.set = now
		}
	}
}

// Ordered takes the answer to an order. It gives the version that the worker is known to have;
// zero: not known yet.
//
// Example: v := r.Ordered(order, backend.Begun, now)
func (r *Roll) Ordered(o Order, out backend.Outcome, now time.Duration) uint64 {
	l := r.loads[o.Worker.ID]
	if l == nil || l.stage != ordered || l.want != o.Weights || l.model != o.Model {
		return 0 // it left, or has become void
	}
	l.calling = false
	switch out {
	case backend.Begun:
		l.stage, l.begun, l.next = loading, true, l.at+max(r.b.Leave(look), time.Duration(float64(r.took[l.model])*early))
	case backend.Busy: // another order, of this holder or of one before it
		l.stage, l.at, l.next = loading, now, now+r.b.Leave(look)
	case backend.Unknown: // it may have been taken
		l.stage, l.next = doubt, now+r.b.Leave(look)
	case backend.Holds:
		delete(r.loads, o.Worker.ID)
		delete(r.unsure, o.Worker.ID)
		return o.Weights
	default: // nothing was taken
		r.drop(l, now)
		delete(r.unsure, o.Worker.ID)
	}
	return 0
}

// Unsent takes back an order that didn't go off.
//
// Example: r.Unsent(order)
func (r *Roll) Unsent(o Order) {
	if l := r.loads[o.Worker.ID]; l != nil && l.stage == ordered && l.want == o.Weights {
		delete(r.loads, o.Worker.ID)
		delete(r.unsure, o.Worker.ID)
	}
}

func (r *Roll) drop(l *load, now time.Duration) {
	delete(r.loads, l.w.ID)
	r.later[l.w.ID] = now + r.b.Weights(again)
}

// Reported takes a worker's report; ok is false where none came. It gives the model and the
// version that the worker is known to have; zero: nothing new.
//
// Example: model, v := r.Reported("i-7f3a", report, err == nil, now)
func (r *Roll) Reported(id string, t backend.Report, ok bool, now time.Duration) (string, uint64) {
	l := r.loads[id]
	if l == nil || !l.calling || l.stage != loading && l.stage != doubt {
		return "", 0
	}
	l.calling, l.next = false, now+r.b.Leave(look)
	if !ok {
		if l.silent++; l.silent >= quiet {
			r.drop(l, now) // its order stays in doubt
		}
		return "", 0
	}
	l.silent, l.taken = 0, &t.Sequence
	v := t.Weights[l.model]
	switch {
	case v >= l.want:
		if d := now - l.at; l.begun && (r.took[l.model] == 0 || d < r.took[l.model]) {
			r.took[l.model] = d
		}
		delete(r.unsure, id)
		l.stage = aside // the next step forgets it, or orders what was named meanwhile
		return l.model, v
	case t.Busy:
		l.stage = loading
	case l.asked-l.at >= r.b.Leave(stale): // it would show by now: nothing was taken
		delete(r.unsure, id)
		l.stage = aside
	}
	return "", 0
}

func cmpID(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
