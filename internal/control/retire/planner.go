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
	Reachable   bool
	Draining    bool
	Loaded      []contract.LoadedModel
	Loading     string
	MemoryMB    int // MB; 0: unknown
	FreeMB      int
}

// Observation is the input of a step. The service configuration was read by majority before the
// retirement was, the nodes after it: so whatever this holder does late meets a later version.
type Observation struct {
	Now               time.Duration
	Version           uint64 // of the retirement's document
	Config            *serviceconfig.Config
	WorkersListed     bool // the platform's list was read just now
	Nodes             []Node
	Succeeded, Failed float64       // recent attempts of the service
	MaxConfigAge      time.Duration // how long a proxy may use an older configuration
}

// Action is one thing to do now; exactly one of Patch, Order and Prove is set.
type Action struct {
	Patch       []byte          // a partial service configuration
	Order       *contract.Order // to the node
	ProofSet    *WeightSet      // send the node a request under each of these
	Node        string
	Incarnation string // of the node that gets the requests
}

// Planner advances one retirement. Between calls it remembers only since when conditions hold, by the
// holder's own clock, and why proofs failed; a new holder starts without both.
type Planner struct {
	conditionSince map[string]time.Duration
	failedProofs   map[string]string
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
	if r.State != StateRunning && r.State != StateAborting {
		return r, nil, false
	}
	switch {
	case w.Config == nil || !w.WorkersListed:
		r.Blockers = []Blocker{{"platform", "its list of workers, or the service configuration, can't be read", "see that the placement controllers' rank address answers, and the core machines", true}}
		return r, nil, !slices.Equal(old.Blockers, r.Blockers)
	case len(w.Nodes) == 0:
		r.Blockers = []Blocker{{r.Service, "the platform lists no worker of it", "see the platform's list", true}}
		return r, nil, !slices.Equal(old.Blockers, r.Blockers)
	}
	if r.State == StateRunning && r.stopOnFailures(w) {
		return r, nil, true
	}
	slices.SortFunc(w.Nodes, func(a, b Node) int { return strings.Compare(a.Name, b.Name) })
	s := &evaluation{Planner: p, retirement: r, observed: w}
	s.oldSet, s.newSet = r.oldAndNewSets(w.Config)
	s.newFingerprint = s.newSet.Fingerprint()
	s.pruneProofs()
	if r.State == StateRunning {
		s.advance()
	} else {
		s.advanceAbort()
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
func (r *Retirement) RecordProof(node, incarnation string, x WeightSet) {
	n := 1
	if r.Phase == PhaseBarrier || r.PastBarrier() {
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
func (p *Planner) RecordFailedProof(node, why string) { p.failedProofs[node] = why }

// RecordPatch records that the change of the service configuration was acknowledged.
//
// Example: r.RecordPatch()
func (r *Retirement) RecordPatch() { r.ChangeAcked = true }

// RecordUnload records that a node's incarnation acknowledged the order to unload the new base.
//
// Example: r.RecordUnload("worker-3", incarnation)
func (r *Retirement) RecordUnload(node, incarnation string) {
	if r.State != StateAborting || r.Phase != PhaseRevertUnload {
		return
	}
	if r.Unloaded == nil {
		r.Unloaded = map[string]string{}
	}
	r.Unloaded[node] = incarnation
}

// stopOnFailures aborts or pauses a retirement on its own account: a service configuration that no longer
// fits, or too many failed attempts.
func (r *Retirement) stopOnFailures(w Observation) bool {
	at := r.AbortFailureRatio
	if at == 0 {
		at = 0.2
	}
	if n := w.Succeeded + w.Failed; n >= 20 && w.Failed/n > at {
		why := fmt.Sprintf("stopped: %.0f of %.0f attempts failed lately: find out why", w.Failed, n)
		if r.PastBarrier() {
			r.transition(StatePaused, r.Phase, why+", then resume")
		} else {
			r.abort(why + ", then plan it anew")
		}
		return true
	}
	if r.PastBarrier() {
		return false
	}
	var b errs.Batch
	r.ValidateConfig(w.Config, &b)
	if err := b.Err(); err != nil {
		r.transition(StatePaused, r.Phase, "stopped: "+err.Error())
		return true
	}
	return false
}

// evaluation is one evaluation of an active retirement.
type evaluation struct {
	*Planner
	retirement     *Retirement
	observed       Observation
	oldSet, newSet WeightSet
	newFingerprint string // of the next set
	actions        []Action
	blockers       []Blocker
	changed        bool
}

// pruneProofs drops proofs of past incarnations; a node that doesn't answer keeps its own.
func (s *evaluation) pruneProofs() {
	incarnations := map[string]string{}
	for _, n := range s.observed.Nodes {
		incarnations[n.Name] = n.Incarnation
		if !n.Reachable {
			incarnations[n.Name] = s.retirement.Proofs[n.Name].Incarnation
		}
	}
	n := len(s.retirement.Proofs)
	maps.DeleteFunc(s.retirement.Proofs, func(k string, p Proof) bool { return incarnations[k] != p.Incarnation || p.Set != s.newFingerprint })
	s.changed = s.changed || n != len(s.retirement.Proofs)
}

// recordBlockers copies the blockers into the retirement.
func (s *evaluation) recordBlockers() {
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

func (s *evaluation) addBlocker(node, why, remedy string) {
	s.blockers = append(s.blockers, Blocker{node, why, remedy, !strings.HasPrefix(remedy, noActionPrefix)})
}

const noActionPrefix = "nothing to do" // prefix of a remedy that needs no operator

// enterPhase starts the next phase, or ends the retirement.
func (s *evaluation) enterPhase(state, phase string) {
	s.retirement.ChangeStarted, s.retirement.ChangeAcked = false, false
	s.retirement.transition(state, phase, "")
	s.changed = true
	clear(s.conditionSince)
	clear(s.failedProofs)
}

// conditionLasted reports whether a condition has held for d, by this holder's clock.
func (s *evaluation) conditionLasted(what string, d time.Duration) bool {
	at, ok := s.conditionSince[what]
	if !ok {
		at = s.observed.Now
		s.conditionSince[what] = at
	}
	return s.observed.Now-at >= d
}

func (s *evaluation) advance() {
	level, round := 2, 1
	switch s.retirement.Phase {
	case PhaseLoadBase:
		level = 0
	case PhaseLoadAdapters:
		level = 1
	case PhaseBarrier, PhaseDrop, PhaseFinish:
		round = 2
	}
	s.catchUp(s.newSet, level, round)
	clear := len(s.blockers) == 0
	switch s.retirement.Phase {
	case PhaseLoadBase, PhaseLoadAdapters, PhaseProve:
		if clear {
			s.enterPhase(StateRunning, phases[slices.Index(phases, s.retirement.Phase)+1])
		}
	case PhaseMove:
		s.moveRoutes(clear)
	case PhaseDrain:
		if s.noRequestsOn(s.retirement.OldBase) && clear && s.allRoutesMoved() && s.conditionLasted(PhaseDrain, s.observed.MaxConfigAge) {
			s.enterPhase(StateRunning, PhaseBarrier)
		}
	case PhaseBarrier:
		if clear && s.allRoutesMoved() {
			s.enterPhase(StateRunning, PhaseDrop)
		}
	case PhaseDrop:
		s.dropOldBase(clear)
	case PhaseFinish:
		s.applyConfigChange(clear, jsonObject{"services": jsonObject{s.retirement.Service: jsonObject{"model": s.retirement.NewBase}}}, func() { s.enterPhase(StateDone, "") })
	}
}

type jsonObject = map[string]any

// applyConfigChange makes the phase's change of the service configuration: recorded as started, made,
// recorded as acknowledged. Repeating it is harmless, and makes any change that an earlier holder
// still has in flight meet a later version.
func (s *evaluation) applyConfigChange(clear bool, patch jsonObject, then func()) {
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
func (s *evaluation) moveRoutes(clear bool) {
	l := s.retirement.trafficSteps()
	if s.retirement.TrafficStep >= len(l) {
		s.enterPhase(StateRunning, PhaseDrain)
		return
	}
	ways, share := jsonObject{}, l[s.retirement.TrafficStep]
	for n, to := range s.retirement.routeMoves(s.observed.Config) {
		ways[n] = jsonObject{"move": to, "moved": share}
		if share == 100 {
			ways[n] = jsonObject{"use": to, "move": nil, "moved": nil}
		}
		if _, ok := s.retirement.PreviousTargets[n]; !ok && !s.retirement.ChangeStarted {
			if s.retirement.PreviousTargets == nil {
				s.retirement.PreviousTargets = map[string]string{}
			}
			s.retirement.PreviousTargets[n] = s.observed.Config.Routes[n].ServedBy
			s.changed = true
		}
	}
	if s.retirement.ChangeStarted && !s.retirement.ChangeAcked {
		for n := range ways {
			if _, ok := s.retirement.PreviousTargets[n]; !ok { // a new route: its previous use is recorded first
				s.retirement.ChangeStarted, s.changed = false, true
				return
			}
		}
	}
	s.applyConfigChange(clear, jsonObject{"ways": ways}, func() {
		if s.conditionLasted(fmt.Sprint(PhaseMove, s.retirement.TrafficStep), time.Duration(s.retirement.SoakSeconds)*time.Second) && clear {
			s.retirement.TrafficStep++
			s.retirement.ChangeStarted, s.retirement.ChangeAcked, s.changed = false, false, true
		}
	})
}

// noRequestsOn reports whether no request runs or waits under a base.
func (s *evaluation) noRequestsOn(base string) bool {
	for _, n := range s.observed.Nodes {
		for _, l := range n.Loaded {
			if l.Model == base && l.Busy > 0 {
				s.addBlocker(n.Name, fmt.Sprintf("%d requests still run under %s", l.Busy, base), "nothing to do: they end within their wait")
				return false
			}
		}
	}
	return true
}

// allRoutesMoved reports whether no route leads to the old base. A route that was pointed there meanwhile is
// moved as well.
func (s *evaluation) allRoutesMoved() bool {
	m := s.retirement.routeMoves(s.observed.Config)
	if len(m) == 0 {
		return true
	}
	s.addBlocker(queue.Keys(m)[0], "this route is answered on the old base again", "nothing to do: it is moved as well")
	s.enterPhase(StateRunning, PhaseMove)
	s.retirement.TrafficStep = len(s.retirement.trafficSteps()) - 1
	return false
}

// dropOldBase unloads the old base from the nodes, a few at once.
func (s *evaluation) dropOldBase(clear bool) {
	if m := s.retirement.routeMoves(s.observed.Config); len(m) > 0 {
		s.addBlocker(queue.Keys(m)[0], "this route is answered on the old base again, which is leaving", "lead it to "+s.retirement.NewBase+": pebblectl config patch")
		return
	}
	having := map[string]*Node{}
	for i, n := range s.observed.Nodes {
		if !n.Reachable || hasModelLoaded(n, s.retirement.OldBase) {
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
		s.enterPhase(StateRunning, PhaseFinish)
		return
	}
	for _, g := range s.retirement.Dropping {
		s.addBlocker(g, "it drops the old base", "nothing to do; if it stays so, see the worker's log")
		s.addOrder(*having[g], contract.Order{Kind: "unload", Model: s.retirement.OldBase})
	}
	for _, g := range queue.Keys(having) {
		if len(s.retirement.Dropping) >= s.retirement.concurrency() {
			break
		}
		if !slices.Contains(s.retirement.Dropping, g) {
			s.retirement.Dropping, s.changed = append(s.retirement.Dropping, g), true
		}
	}
}
