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

// Node is the observed state of one worker that the platform lists.
type Node struct {
	Name        string
	Incarnation string
	Answers     bool
	Draining    bool
	Loaded      []contract.Loaded
	Loading     string
	Room        int // MB; 0: unknown
	Free        int
}

// Observation is the input of a step. The service configuration was read by majority before the
// retirement was, the nodes after it: so whatever this holder does late meets a later version.
type Observation struct {
	Clock       time.Duration
	Version     uint64 // of the retirement's document
	Config      *serviceconfig.Config
	Listed      bool // the platform's list was read just now
	Nodes       []Node
	Ok, Failed  float64       // recent attempts of the service
	ConfigBound time.Duration // how long a proxy may use an older configuration
}

// Action is one thing to do now; exactly one of Patch, Order and Prove is set.
type Action struct {
	Patch       []byte          // a partial service configuration
	Order       *contract.Order // to the node
	Prove       *Set            // send the node a request under each of these
	Node        string
	Incarnation string // of the node that gets the requests
}

// Planner advances one retirement. Between calls it remembers only since when conditions hold, by the
// holder's own clock, and why proofs failed; a new holder starts without both.
type Planner struct {
	since  map[string]time.Duration
	failed map[string]string
}

// NewPlanner returns a planner without memory.
//
// Example: p := retire.NewPlanner()
func NewPlanner() *Planner { return &Planner{map[string]time.Duration{}, map[string]string{}} }

// Next computes a retirement's next step: the retirement as it is to be written (changed reports
// whether it differs), and the actions that the written one already allows. Every action is
// idempotent: a patch states the target, an order names what is to be loaded, a proof is a request. So
// a holder that dies between any two effects leaves nothing that the next one can't resume.
//
// Example: r2, acts, changed := p.Next(r, world)
func (p *Planner) Next(old *Retirement, w Observation) (r *Retirement, acts []Action, changed bool) {
	r = old.clone()
	if r.State != Running && r.State != Aborting {
		return r, nil, false
	}
	switch {
	case w.Config == nil || !w.Listed:
		r.Blockers = []Blocker{{"platform", "its list of workers, or the service configuration, can't be read", "see that the placement controllers' rank address answers, and the core machines", true}}
		return r, nil, !slices.Equal(old.Blockers, r.Blockers)
	case len(w.Nodes) == 0:
		r.Blockers = []Blocker{{r.Service, "the platform lists no worker of it", "see the platform's list", true}}
		return r, nil, !slices.Equal(old.Blockers, r.Blockers)
	}
	if r.State == Running && r.checkStop(w) {
		return r, nil, true
	}
	slices.SortFunc(w.Nodes, func(a, b Node) int { return strings.Compare(a.Name, b.Name) })
	s := &step{Planner: p, retirement: r, observed: w}
	s.old, s.next = r.oldAndNewSets(w.Config)
	s.fingerprint = s.next.Fingerprint()
	s.pruneProofs()
	if r.State == Running {
		s.runPhase()
	} else {
		s.runAbort()
	}
	if r.Phase == old.Phase && r.State == old.State {
		s.recordBlockers()
	} else {
		s.actions = nil // the written state no longer allows them
	}
	return r, s.actions, s.changed || !slices.Equal(old.Blockers, r.Blockers) || old.Ready != r.Ready || old.Nodes != r.Nodes
}

// RecordProof records that a node's incarnation has answered under every element of a set.
//
// Example: r.RecordProof("worker-3", incarnation, set)
func (r *Retirement) RecordProof(node, incarnation string, x Set) {
	n := 1
	if r.Phase == Barrier || r.PastBarrier() {
		n = 2
	}
	if r.Proofs == nil {
		r.Proofs = map[string]Proof{}
	}
	r.Proofs[node] = Proof{incarnation, x.Fingerprint(), n}
}

// RecordFailedProof remembers why a node's proof failed, for the list of blockers.
//
// Example: p.RecordFailedProof("worker-3", err.Error())
func (p *Planner) RecordFailedProof(node, why string) { p.failed[node] = why }

// RecordPatch records that the change of the service configuration was acknowledged.
//
// Example: r.RecordPatch()
func (r *Retirement) RecordPatch() { r.ChangeAcked = true }

// RecordUnload records that a node's incarnation acknowledged the order to unload the new base.
//
// Example: r.RecordUnload("worker-3", incarnation)
func (r *Retirement) RecordUnload(node, incarnation string) {
	if r.State != Aborting || r.Phase != Clean {
		return
	}
	if r.Unloaded == nil {
		r.Unloaded = map[string]string{}
	}
	r.Unloaded[node] = incarnation
}

// checkStop aborts or pauses a retirement on its own account: a service configuration that no longer
// fits, or too many failed attempts.
func (r *Retirement) checkStop(w Observation) bool {
	at := r.AbortAt
	if at == 0 {
		at = 0.2
	}
	if n := w.Ok + w.Failed; n >= 20 && w.Failed/n > at {
		why := fmt.Sprintf("stopped: %.0f of %.0f attempts failed lately: find out why", w.Failed, n)
		if r.PastBarrier() {
			r.transition(Paused, r.Phase, why+", then resume")
		} else {
			r.abort(why + ", then plan it anew")
		}
		return true
	}
	if r.PastBarrier() {
		return false
	}
	var b errs.Batch
	r.CheckConfig(w.Config, &b)
	if err := b.Look(); err != nil {
		r.transition(Paused, r.Phase, "stopped: "+err.Error())
		return true
	}
	return false
}

// step is one evaluation of an active retirement.
type step struct {
	*Planner
	retirement  *Retirement
	observed    Observation
	old, next   Set
	fingerprint string // of the next set
	actions     []Action
	blockers    []Blocker
	changed     bool
}

// pruneProofs drops proofs of past incarnations; a node that doesn't answer keeps its own.
func (s *step) pruneProofs() {
	incarnations := map[string]string{}
	for _, n := range s.observed.Nodes {
		incarnations[n.Name] = n.Incarnation
		if !n.Answers {
			incarnations[n.Name] = s.retirement.Proofs[n.Name].Incarnation
		}
	}
	n := len(s.retirement.Proofs)
	maps.DeleteFunc(s.retirement.Proofs, func(k string, p Proof) bool { return incarnations[k] != p.Incarnation || p.Set != s.fingerprint })
	s.changed = s.changed || n != len(s.retirement.Proofs)
}

// recordBlockers copies the blockers into the retirement.
func (s *step) recordBlockers() {
	s.retirement.Nodes, s.retirement.Ready = len(s.observed.Nodes), len(s.observed.Nodes)
	held := map[string]bool{}
	for _, h := range s.blockers {
		held[h.Node] = true
	}
	for _, n := range s.observed.Nodes {
		if held[n.Name] {
			s.retirement.Ready--
		}
	}
	s.retirement.Blockers = s.blockers[:min(len(s.blockers), maxBlockers)]
}

func (s *step) block(node, why, remedy string) {
	s.blockers = append(s.blockers, Blocker{node, why, remedy, !strings.HasPrefix(remedy, noAction)})
}

const noAction = "nothing to do" // prefix of a remedy that needs no operator

// enter starts the next phase, or ends the retirement.
func (s *step) enter(state, phase string) {
	s.retirement.ChangeStarted, s.retirement.ChangeAcked = false, false
	s.retirement.transition(state, phase, "")
	s.changed = true
	clear(s.since)
	clear(s.failed)
}

// heldFor reports whether a condition has held for d, by this holder's clock.
func (s *step) heldFor(what string, d time.Duration) bool {
	at, ok := s.since[what]
	if !ok {
		at = s.observed.Clock
		s.since[what] = at
	}
	return s.observed.Clock-at >= d
}

func (s *step) runPhase() {
	level, round := 2, 1
	switch s.retirement.Phase {
	case LoadBase:
		level = 0
	case LoadAdapters:
		level = 1
	case Barrier, Drop, Finish:
		round = 2
	}
	s.catchUp(s.next, level, round)
	clear := len(s.blockers) == 0
	switch s.retirement.Phase {
	case LoadBase, LoadAdapters, Prove:
		if clear {
			s.enter(Running, phases[slices.Index(phases, s.retirement.Phase)+1])
		}
	case Move:
		s.moveRoutes(clear)
	case Drain:
		if s.isIdle(s.retirement.From) && clear && s.allMoved() && s.heldFor(Drain, s.observed.ConfigBound) {
			s.enter(Running, Barrier)
		}
	case Barrier:
		if clear && s.allMoved() {
			s.enter(Running, Drop)
		}
	case Drop:
		s.dropOldBase(clear)
	case Finish:
		s.changeConfig(clear, object{"services": object{s.retirement.Service: object{"model": s.retirement.To}}}, func() { s.enter(Done, "") })
	}
}

type object = map[string]any

// changeConfig makes the phase's change of the service configuration: recorded as started, made,
// recorded as acknowledged. Repeating it is harmless, and makes any change that an earlier holder
// still has in flight meet a later version.
func (s *step) changeConfig(clear bool, patch object, then func()) {
	switch {
	case s.retirement.ChangeAcked:
		then()
	case !clear:
	case !s.retirement.ChangeStarted:
		s.retirement.ChangeStarted, s.changed = true, true
	default:
		b, err := json.Marshal(patch)
		if err != nil {
			panic("retire: a patch of plain values can't be encoded: " + err.Error())
		}
		s.actions = append(s.actions, Action{Patch: b})
	}
}

// moveRoutes moves requests to the new base, share by share; each is held for its soak time.
func (s *step) moveRoutes(clear bool) {
	l := s.retirement.shares()
	if s.retirement.Share >= len(l) {
		s.enter(Running, Drain)
		return
	}
	ways, share := object{}, l[s.retirement.Share]
	for n, to := range s.retirement.routeMoves(s.observed.Config) {
		ways[n] = object{"move": to, "moved": share}
		if share == 100 {
			ways[n] = object{"use": to, "move": nil, "moved": nil}
		}
		if _, ok := s.retirement.PreviousUse[n]; !ok && !s.retirement.ChangeStarted {
			if s.retirement.PreviousUse == nil {
				s.retirement.PreviousUse = map[string]string{}
			}
			s.retirement.PreviousUse[n] = s.observed.Config.Routes[n].Use
			s.changed = true
		}
	}
	if s.retirement.ChangeStarted && !s.retirement.ChangeAcked {
		for n := range ways {
			if _, ok := s.retirement.PreviousUse[n]; !ok { // a new route: its previous use is recorded first
				s.retirement.ChangeStarted, s.changed = false, true
				return
			}
		}
	}
	s.changeConfig(clear, object{"ways": ways}, func() {
		if s.heldFor(fmt.Sprint(Move, s.retirement.Share), time.Duration(s.retirement.SoakS)*time.Second) && clear {
			s.retirement.Share++
			s.retirement.ChangeStarted, s.retirement.ChangeAcked, s.changed = false, false, true
		}
	})
}

// isIdle reports whether no request runs or waits under a base.
func (s *step) isIdle(base string) bool {
	for _, n := range s.observed.Nodes {
		for _, l := range n.Loaded {
			if l.Model == base && l.Busy > 0 {
				s.block(n.Name, fmt.Sprintf("%d requests still run under %s", l.Busy, base), "nothing to do: they end within their wait")
				return false
			}
		}
	}
	return true
}

// allMoved reports whether no route leads to the old base. A route that was pointed there meanwhile is
// moved as well.
func (s *step) allMoved() bool {
	m := s.retirement.routeMoves(s.observed.Config)
	if len(m) == 0 {
		return true
	}
	s.block(queue.Keys(m)[0], "this route is answered on the old base again", "nothing to do: it is moved as well")
	s.enter(Running, Move)
	s.retirement.Share = len(s.retirement.shares()) - 1
	return false
}

// dropOldBase unloads the old base from the nodes, a few at once.
func (s *step) dropOldBase(clear bool) {
	if m := s.retirement.routeMoves(s.observed.Config); len(m) > 0 {
		s.block(queue.Keys(m)[0], "this route is answered on the old base again, which is leaving", "lead it to "+s.retirement.To+": pebblectl config patch")
		return
	}
	having := map[string]*Node{}
	for i, n := range s.observed.Nodes {
		if !n.Answers || holdsModel(n, s.retirement.From) {
			having[n.Name] = &s.observed.Nodes[i]
		}
	}
	n := len(s.retirement.Dropping)
	s.retirement.Dropping = slices.DeleteFunc(s.retirement.Dropping, func(g string) bool { return having[g] == nil })
	s.changed = s.changed || n != len(s.retirement.Dropping)
	if !clear {
		return // a node that joined or restarted is caught up first
	}
	if len(having) == 0 {
		s.enter(Running, Finish)
		return
	}
	for _, g := range s.retirement.Dropping {
		s.block(g, "it drops the old base", "nothing to do; if it stays so, see the worker's log")
		s.order(*having[g], contract.Order{Kind: "unload", Model: s.retirement.From})
	}
	for _, g := range queue.Keys(having) {
		if len(s.retirement.Dropping) >= s.retirement.atOnce() {
			break
		}
		if !slices.Contains(s.retirement.Dropping, g) {
			s.retirement.Dropping, s.changed = append(s.retirement.Dropping, g), true
		}
	}
}
