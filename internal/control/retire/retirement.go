// Package retire takes a base model out of use: every adapter that depends on it is loaded on the
// new base and answers on every node before the old base leaves any of them. All of it is pure; the
// holder of the service's lease carries it out.
package retire

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"pebbleloom/internal/errs"
)

// The states of a retirement.
const (
	StatePlanned  = "planned"
	StateRunning  = "running"
	StatePaused   = "paused"
	StateAborting = "aborting"
	StateAborted  = "aborted"
	StateDone     = "done"
)

// The phases of one that runs, in order. From Drop on there is no going back.
const (
	PhaseLoadBase     = "load-base"     // the new base, where there is room
	PhaseLoadAdapters = "load-adapters" // the replacements on it
	PhaseProve        = "prove"         // each node answers a real request under each of them
	PhaseMove         = "move"          // requests are led to them, share by share
	PhaseDrain        = "drain"         // what runs on the old base ends there
	PhaseBarrier      = "barrier"       // every node answers once more, after all that
	PhaseDrop         = "drop"          // the old base leaves the nodes, a few at once
	PhaseFinish       = "finish"        // the service is named by the new base
)

// The phases of one that is taken back.
const (
	PhaseRevertRoutes = "return" // requests are led back
	PhaseRevertDrain  = "settle" // what runs on the new base ends there
	PhaseRevertUnload = "clean"  // the new base leaves the nodes
)

var phases = []string{PhaseLoadBase, PhaseLoadAdapters, PhaseProve, PhaseMove, PhaseDrain, PhaseBarrier, PhaseDrop, PhaseFinish}

// Retirement is the removal of one base model, with its progress. It is one document of the control
// state, so the next holder of the lease resumes exactly where the last one stopped.
type Retirement struct {
	Name              string            `json:"name"`
	Service           string            `json:"service"`
	OldBase           string            `json:"from"`
	NewBase           string            `json:"to"`
	Replacements      map[string]string `json:"replace"`            // adapter -> the one that was built for the new base
	TrafficPercents   []int             `json:"shares,omitempty"`   // rising percents; the last is 100
	SoakSeconds       int               `json:"soak_s,omitempty"`   // how long each share is held
	MaxConcurrent     int               `json:"at_once,omitempty"`  // how many nodes load or drop together; 0: 1
	AbortFailureRatio float64           `json:"abort_at,omitempty"` // abort when a larger share of attempts fails; 0: 0.2

	State           string            `json:"state"`
	Phase           string            `json:"phase,omitempty"`
	Reason          string            `json:"why,omitempty"`
	TrafficStep     int               `json:"share"`            // index of the current share
	ChangeStarted   bool              `json:"doing,omitempty"`  // the phase's change of the service configuration was started
	ChangeAcked     bool              `json:"made,omitempty"`   // and acknowledged
	PreviousTargets map[string]string `json:"before,omitempty"` // route -> the model or adapter that answered it
	Proofs          map[string]Proof  `json:"proofs,omitempty"` // by node
	Unloaded        map[string]string `json:"clean,omitempty"`  // node -> the incarnation that unloaded the new base
	Dropping        []string          `json:"going,omitempty"`  // nodes that are unloading the old base
	Nodes           int               `json:"nodes,omitempty"`
	Ready           int               `json:"ready,omitempty"` // nodes that block nothing
	Blockers        []Blocker         `json:"holds,omitempty"`
	History         []string          `json:"log,omitempty"` // states and phases, oldest first
}

// Proof records that a node's incarnation answered under every set of weights.
type Proof struct {
	Incarnation string `json:"life"`
	Set         string `json:"set"`
	Pass        int    `json:"round"` // 1: before requests were moved, 2: at the barrier
}

// Blocker is a node that blocks a retirement, why, and the remedy.
type Blocker struct {
	Node          string `json:"node"`
	Reason        string `json:"why"`
	Remedy        string `json:"remedy"`
	NeedsOperator bool   `json:"stuck,omitempty"` // the system can't resolve it by itself
}

const (
	maxHistory  = 64
	maxBlockers = 16 // listed; the others are counted by Nodes and Ready
)

// Key is the document that holds a retirement.
//
// Example: retire.Key("lector-main", "spring") == "retire/lector-main/spring"
func Key(service, name string) string { return "retire/" + service + "/" + name }

// Read decodes a retirement.
//
// Example: r, err := retire.Read(doc.Body)
func Read(body []byte) (*Retirement, error) {
	r := &Retirement{}
	d := json.NewDecoder(strings.NewReader(string(body)))
	d.DisallowUnknownFields()
	if err := d.Decode(r); err != nil {
		return nil, errs.WrapAs(err, errs.BadInput, "retirement")
	}
	return r, nil
}

// Write encodes a retirement.
//
// Example: body, err := r.Write()
func (r *Retirement) Write() ([]byte, error) {
	b, err := json.Marshal(r)
	return b, errs.Wrap(err, "write retirement")
}

// Active reports whether a retirement hasn't ended.
//
// Example: if r.Active() { … }
func (r *Retirement) Active() bool { return r.State != StateDone && r.State != StateAborted }

// PastBarrier reports whether the barrier is passed: the old base may have left a node.
//
// Example: if r.PastBarrier() { … }
func (r *Retirement) PastBarrier() bool {
	return r.Phase == PhaseDrop || r.Phase == PhaseFinish || r.State == StateDone
}

// Validate notes every fault of a new retirement that shows without the service configuration.
//
// Example: r.Check(&b)
func (r *Retirement) Validate(b *errs.Batch) {
	bad := func(f, format string, a ...any) { b.Addf(errs.BadInput, "%s: %s", f, fmt.Sprintf(format, a...)) }
	for _, x := range [][2]string{{"name", r.Name}, {"service", r.Service}, {"from", r.OldBase}, {"to", r.NewBase}} {
		if v := x[1]; v == "" || len(v) > 64 || strings.ContainsAny(v, " /\x00\n") {
			bad(x[0], "%q: give a word of 1 to 64 letters without spaces or slashes", v)
		}
	}
	if r.OldBase == r.NewBase {
		bad("to", "%q is the base that is retired: name another", r.NewBase)
	}
	last := 0
	for _, s := range r.TrafficPercents {
		if s <= last || s > 100 {
			bad("shares", "%v: give rising percents", r.TrafficPercents)
			break
		}
		last = s
	}
	if len(r.TrafficPercents) > 0 && last != 100 {
		bad("shares", "%v: end with 100", r.TrafficPercents)
	}
	if r.SoakSeconds < 0 || r.SoakSeconds > 86400 {
		bad("soak_s", "%d: give 0 to 86400", r.SoakSeconds)
	}
	if r.MaxConcurrent < 0 {
		bad("at_once", "%d: give 1 or more, or leave it out", r.MaxConcurrent)
	}
	if r.AbortFailureRatio < 0 || r.AbortFailureRatio > 1 {
		bad("abort_at", "%g: give a share from 0 to 1", r.AbortFailureRatio)
	}
}

// CheckConflicts returns a conflict with another active retirement; both are named.
//
// Example: if err := r.CheckConflicts(others); err != nil { return err }
func (r *Retirement) CheckConflicts(others []*Retirement) error {
	for _, o := range others {
		if o.Name == r.Name && o.Service == r.Service || !o.Active() || !r.Active() {
			continue
		}
		for _, x := range []string{r.OldBase, r.NewBase} {
			if x == o.OldBase || x == o.NewBase {
				return errs.New(errs.Conflict, "retirement %q clashes with retirement %q (%s): both take base model %s: end or abort one first", r.Name, o.Name, o.State, x)
			}
		}
		if o.Service == r.Service {
			return errs.New(errs.Conflict, "retirement %q clashes with retirement %q (%s): both move service %s: end or abort one first", r.Name, o.Name, o.State, r.Service)
		}
	}
	return nil
}

// ApplyVerb applies an operator's verb: start, pause, resume or abort. Repeating it changes nothing. It
// changes the state alone; the lease's holder carries out what follows from it.
//
// Example: err := r.Request("pause")
func (r *Retirement) ApplyVerb(verb string) error {
	switch {
	case verb == "start" && r.State == StatePlanned:
		r.transition(StateRunning, PhaseLoadBase, "started by an operator")
	case verb == "start" && r.State == StateRunning:
	case verb == "pause" && r.State == StateRunning:
		r.transition(StatePaused, r.Phase, "by an operator")
	case verb == "pause" && r.State == StatePaused:
	case verb == "resume" && r.State == StatePaused:
		r.transition(StateRunning, r.Phase, "")
	case verb == "resume" && r.State == StateRunning:
	case verb == "abort" && r.PastBarrier():
		return errs.New(errs.Conflict, "retirement %q has passed its barrier: old weights may have gone: let it end, then retire %s in favour of %s", r.Name, r.NewBase, r.OldBase)
	case verb == "abort" && (r.State == StateAborting || r.State == StateAborted):
	case verb == "abort" && r.State == StatePlanned:
		r.transition(StateAborted, "", "before it began")
	case verb == "abort":
		r.abort("by an operator")
	case verb == "start" || verb == "pause" || verb == "resume":
		return errs.New(errs.Conflict, "retirement %q is %s: %s doesn't go with that", r.Name, r.State, verb)
	default:
		return errs.New(errs.BadInput, "%q: give start, pause, resume or abort", verb)
	}
	return nil
}

// abort starts to revert what was done: routes first, if any may have been moved.
func (r *Retirement) abort(why string) {
	first := PhaseRevertDrain
	if i := slices.Index(phases, r.Phase); i >= slices.Index(phases, PhaseMove) {
		first = PhaseRevertRoutes
	}
	r.ChangeStarted, r.ChangeAcked, r.Unloaded = false, false, nil
	r.transition(StateAborting, first, why)
}

// transition enters a state and a phase, and appends them to the history.
func (r *Retirement) transition(state, phase, why string) {
	if r.State != state || r.Phase != phase {
		r.History = append(r.History, strings.TrimSpace(strings.TrimSuffix(state+" "+phase+": "+why, ": ")))
		r.History = r.History[max(0, len(r.History)-maxHistory):]
	}
	r.State, r.Phase, r.Reason, r.Blockers = state, phase, why, nil
}

func (r *Retirement) clone() *Retirement {
	c := *r
	c.PreviousTargets, c.Proofs, c.Unloaded = maps.Clone(r.PreviousTargets), maps.Clone(r.Proofs), maps.Clone(r.Unloaded)
	c.Dropping, c.Blockers, c.History = slices.Clone(r.Dropping), slices.Clone(r.Blockers), slices.Clone(r.History)
	return &c
}

func (r *Retirement) concurrency() int { return max(1, r.MaxConcurrent) }

func (r *Retirement) trafficSteps() []int {
	if len(r.TrafficPercents) == 0 {
		return []int{10, 50, 100}
	}
	return r.TrafficPercents
}

// Progress describes how far it has come, for people.
//
// Example: fmt.Println(r.Progress())
func (r *Retirement) Progress() string {
	i := slices.Index(phases, r.Phase)
	switch {
	case r.State == StateDone:
		return "the old base is gone"
	case r.State == StateAborted:
		return "as it was before"
	case r.State == StatePlanned:
		return "not begun"
	case i < 0:
		return fmt.Sprintf("%s, %d of %d nodes as before", r.Phase, r.Ready, r.Nodes)
	}
	s := fmt.Sprintf("phase %d of %d (%s), %d of %d nodes ready", i+1, len(phases), r.Phase, r.Ready, r.Nodes)
	if l := r.trafficSteps(); r.Phase == PhaseMove && r.TrafficStep < len(l) {
		s += fmt.Sprintf(", share %d of %d: %d percent", r.TrafficStep+1, len(l), l[r.TrafficStep])
	}
	return s
}

// NeedsOperator reports whether a blocker needs an operator.
//
// Example: if r.Stuck() { lookIntoIt() }
func (r *Retirement) NeedsOperator() bool {
	return r.Active() && slices.ContainsFunc(r.Blockers, func(h Blocker) bool { return h.NeedsOperator })
}
