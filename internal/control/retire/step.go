package retire

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"pebbleloom/internal/contract"
	"pebbleloom/internal/control/serviceconfig"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/queue"
)

// Node is what a retirement needs to know of one worker that the platform lists.
type Node struct {
	Name     string
	Life     string // its incarnation
	Answers  bool
	Draining bool
	Holds    []contract.Loaded
	Loading  string
	Room     int // MB; 0: it doesn't say
	Free     int
}

// World is what is known when a step is thought over. The setup was read by majority before the
// retirement was, the nodes after it: so whatever this holder does late meets a later version.
type World struct {
	Clock   time.Duration
	Version uint64 // of the retirement's document
	Setup   *serviceconfig.Setup
	Listed  bool // the platform's list was read just now
	Nodes   []Node
	Ok, Bad float64       // attempts of the service, lately
	Follow  time.Duration // how long a dispatcher may follow an older setup
}

// Act is one thing to do now; exactly one of its parts is set.
type Act struct {
	Patch []byte          // a partial setup
	Order *contract.Order // to the node
	Prove *Set            // ask the node under each of these
	Node  string
	Life  string // of the node that is asked
}

// Pacer carries one retirement on. Between calls it remembers only since when something holds, by
// the holder's own clock, and how proofs failed; a new holder begins anew with both.
type Pacer struct {
	since  map[string]time.Duration
	failed map[string]string
}

// NewPacer begins to pace.
//
// Example: p := retire.NewPacer()
func NewPacer() *Pacer { return &Pacer{map[string]time.Duration{}, map[string]string{}} }

// Next says what a retirement does now: the retirement as it is to be written (changed tells whether
// it is), and the acts that what is written already allows. Every act may be made again: a patch says
// what is to be, an order names what is to be loaded, a proof asks. So a holder that dies between any
// two effects leaves nothing that the next one can't go on from.
//
// Example: r2, acts, changed := p.Next(r, world)
func (p *Pacer) Next(old *Retirement, w World) (r *Retirement, acts []Act, changed bool) {
	r = old.clone()
	if r.State != Running && r.State != Aborting {
		return r, nil, false
	}
	switch {
	case w.Setup == nil || !w.Listed:
		r.Holds = []Hold{{"platform", "its list of workers, or the setup, can't be read", "see that the appraisers' rank address answers, and the core machines", true}}
		return r, nil, !slices.Equal(old.Holds, r.Holds)
	case len(w.Nodes) == 0:
		r.Holds = []Hold{{r.Service, "the platform lists no worker of it", "see the platform's list", true}}
		return r, nil, !slices.Equal(old.Holds, r.Holds)
	}
	if r.State == Running && r.stop(w) {
		return r, nil, true
	}
	slices.SortFunc(w.Nodes, func(a, b Node) int { return cmp(a.Name, b.Name) })
	t := &turn{Pacer: p, r: r, w: w}
	t.was, t.next = r.sets(w.Setup)
	t.sum = t.next.Sum()
	t.prune()
	if r.State == Running {
		t.run()
	} else {
		t.back()
	}
	if r.Phase == old.Phase && r.State == old.State {
		t.named()
	} else {
		t.acts = nil // what was written doesn't allow them any more
	}
	return r, t.acts, t.changed || !slices.Equal(old.Holds, r.Holds) || old.Ready != r.Ready || old.Nodes != r.Nodes
}

func cmp(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// Proved writes down that a node's life has answered under every part of a set.
//
// Example: r.Proved("cab-3", life, set)
func (r *Retirement) Proved(node, life string, x Set) {
	n := 1
	if r.Phase == Barrier || r.Past() {
		n = 2
	}
	if r.Proofs == nil {
		r.Proofs = map[string]Proof{}
	}
	r.Proofs[node] = Proof{life, x.Sum(), n}
}

// Unproved notes why a node's proof failed, for whoever asks who holds the retirement up.
//
// Example: p.Unproved("cab-3", err.Error())
func (p *Pacer) Unproved(node, why string) { p.failed[node] = why }

// Patched writes down that the change of the setup was acknowledged.
//
// Example: r.Patched()
func (r *Retirement) Patched() { r.Made = true }

// Told writes down that a node's life was told to drop the new base, and obeyed.
//
// Example: r.Told("cab-3", life)
func (r *Retirement) Told(node, life string) {
	if r.State != Aborting || r.Phase != Clean {
		return
	}
	if r.Clean == nil {
		r.Clean = map[string]string{}
	}
	r.Clean[node] = life
}

// stop looks at what ends or holds a retirement by itself: the setup, and attempts that fail.
func (r *Retirement) stop(w World) bool {
	at := r.AbortAt
	if at == 0 {
		at = 0.2
	}
	if n := w.Ok + w.Bad; n >= 20 && w.Bad/n > at {
		why := fmt.Sprintf("stopped: %.0f of %.0f attempts failed lately: find out why", w.Bad, n)
		if r.Past() {
			r.note(Paused, r.Phase, why+", then resume")
		} else {
			r.abort(why + ", then plan it anew")
		}
		return true
	}
	if r.Past() {
		return false
	}
	var b errs.Batch
	r.CheckSetup(w.Setup, &b)
	if err := b.Look(); err != nil {
		r.note(Paused, r.Phase, "stopped: "+err.Error())
		return true
	}
	return false
}

// turn is one look at a retirement that is under way.
type turn struct {
	*Pacer
	r         *Retirement
	w         World
	was, next Set
	sum       string // of the next set
	acts      []Act
	holds     []Hold
	changed   bool
}

// prune forgets proofs of lives that are over; a node that doesn't answer keeps its own.
func (t *turn) prune() {
	lives := map[string]string{}
	for _, n := range t.w.Nodes {
		lives[n.Name] = n.Life
		if !n.Answers {
			lives[n.Name] = t.r.Proofs[n.Name].Life
		}
	}
	n := len(t.r.Proofs)
	maps.DeleteFunc(t.r.Proofs, func(k string, p Proof) bool { return lives[k] != p.Life || p.Set != t.sum })
	t.changed = t.changed || n != len(t.r.Proofs)
}

// named puts the holds into the retirement.
func (t *turn) named() {
	t.r.Nodes, t.r.Ready = len(t.w.Nodes), len(t.w.Nodes)
	held := map[string]bool{}
	for _, h := range t.holds {
		held[h.Node] = true
	}
	for _, n := range t.w.Nodes {
		if held[n.Name] {
			t.r.Ready--
		}
	}
	t.r.Holds = t.holds[:min(len(t.holds), maxHolds)]
}

func (t *turn) hold(node, why, remedy string) {
	t.holds = append(t.holds, Hold{node, why, remedy, !strings.HasPrefix(remedy, nothing)})
}

const nothing = "nothing to do" // a remedy that people needn't see to

// to goes to the next phase, or ends.
func (t *turn) to(state, phase string) {
	t.r.Doing, t.r.Made = false, false
	t.r.note(state, phase, "")
	t.changed = true
	clear(t.since)
	clear(t.failed)
}

// lasted tells whether something has held for so long, by this holder's clock.
func (t *turn) lasted(what string, d time.Duration) bool {
	at, ok := t.since[what]
	if !ok {
		at = t.w.Clock
		t.since[what] = at
	}
	return t.w.Clock-at >= d
}

func (t *turn) run() {
	level, round := 2, 1
	switch t.r.Phase {
	case LoadBase:
		level = 0
	case LoadAdapters:
		level = 1
	case Barrier, Drop, Finish:
		round = 2
	}
	t.catchUp(t.next, level, round)
	clear := len(t.holds) == 0
	switch t.r.Phase {
	case LoadBase, LoadAdapters, Prove:
		if clear {
			t.to(Running, phases[slices.Index(phases, t.r.Phase)+1])
		}
	case Move:
		t.move(clear)
	case Drain:
		if t.idle(t.r.From) && clear && t.onlyNew() && t.lasted(Drain, t.w.Follow) {
			t.to(Running, Barrier)
		}
	case Barrier:
		if clear && t.onlyNew() {
			t.to(Running, Drop)
		}
	case Drop:
		t.drop(clear)
	case Finish:
		t.change(clear, object{"services": object{t.r.Service: object{"model": t.r.To}}}, func() { t.to(Done, "") })
	}
}

type object = map[string]any

// change makes the phase's change of the setup: written as doing, made, written as made. Making it
// again is harmless, and makes whatever an earlier holder has still under way meet a later version.
func (t *turn) change(clear bool, patch object, then func()) {
	switch {
	case t.r.Made:
		then()
	case !clear:
	case !t.r.Doing:
		t.r.Doing, t.changed = true, true
	default:
		b, err := json.Marshal(patch)
		if err != nil {
			panic("retire: a patch of plain values can't be written: " + err.Error())
		}
		t.acts = append(t.acts, Act{Patch: b})
	}
}

// move leads requests over, share by share; each is held for its time.
func (t *turn) move(clear bool) {
	l := t.r.shares()
	if t.r.Share >= len(l) {
		t.to(Running, Drain)
		return
	}
	ways, share := object{}, l[t.r.Share]
	for n, to := range t.r.moves(t.w.Setup) {
		ways[n] = object{"move": to, "moved": share}
		if share == 100 {
			ways[n] = object{"use": to, "move": nil, "moved": nil}
		}
		if _, ok := t.r.Before[n]; !ok && !t.r.Doing {
			if t.r.Before == nil {
				t.r.Before = map[string]string{}
			}
			t.r.Before[n] = t.w.Setup.Ways[n].Use
			t.changed = true
		}
	}
	if t.r.Doing && !t.r.Made {
		for n := range ways {
			if _, ok := t.r.Before[n]; !ok { // it came in between: what it was is written down first
				t.r.Doing, t.changed = false, true
				return
			}
		}
	}
	t.change(clear, object{"ways": ways}, func() {
		if t.lasted(fmt.Sprint(Move, t.r.Share), time.Duration(t.r.SoakS)*time.Second) && clear {
			t.r.Share++
			t.r.Doing, t.r.Made, t.changed = false, false, true
		}
	})
}

// idle tells whether nothing runs or waits under a base any more.
func (t *turn) idle(base string) bool {
	for _, n := range t.w.Nodes {
		for _, l := range n.Holds {
			if l.Model == base && l.Busy > 0 {
				t.hold(n.Name, fmt.Sprintf("%d requests still run under %s", l.Busy, base), "nothing to do: they end within their wait")
				return false
			}
		}
	}
	return true
}

// onlyNew sees that no route leads to the old base. One that was led there meanwhile is moved as well.
func (t *turn) onlyNew() bool {
	m := t.r.moves(t.w.Setup)
	if len(m) == 0 {
		return true
	}
	t.hold(queue.Keys(m)[0], "this route is answered on the old base again", "nothing to do: it is moved as well")
	t.to(Running, Move)
	t.r.Share = len(t.r.shares()) - 1
	return false
}

// drop lets the old base leave the nodes, a few at once.
func (t *turn) drop(clear bool) {
	if m := t.r.moves(t.w.Setup); len(m) > 0 {
		t.hold(queue.Keys(m)[0], "this route is answered on the old base again, which is leaving", "lead it to "+t.r.To+": desk setup patch")
		return
	}
	having := map[string]*Node{}
	for i, n := range t.w.Nodes {
		if !n.Answers || holdsModel(n, t.r.From) {
			having[n.Name] = &t.w.Nodes[i]
		}
	}
	n := len(t.r.Going)
	t.r.Going = slices.DeleteFunc(t.r.Going, func(g string) bool { return having[g] == nil })
	t.changed = t.changed || n != len(t.r.Going)
	if !clear {
		return // a node that came in, or came back, is caught up first
	}
	if len(having) == 0 {
		t.to(Running, Finish)
		return
	}
	for _, g := range t.r.Going {
		t.hold(g, "it drops the old base", "nothing to do; if it stays so, see the worker's log")
		t.order(*having[g], contract.Order{Kind: "unload", Model: t.r.From})
	}
	for _, g := range queue.Keys(having) {
		if len(t.r.Going) >= t.r.atOnce() {
			break
		}
		if !slices.Contains(t.r.Going, g) {
			t.r.Going, t.changed = append(t.r.Going, g), true
		}
	}
}
