// Package retire takes a base model out of service: every adapter that depends on it is loaded on the
// new base model and answers there on every node before the old one is unloaded from any of them.
//
// The package only decides. From a retirement's document, the service configuration and the observed
// nodes a Planner computes the next document and the actions that the written one allows. The holder of
// the service's lease performs them; docs/retire.md explains the protocol.
package retire

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"pebbleloom/internal/errs"
)

// State is the state of a retirement, as it is stored.
type State string

// The states.
const (
	StatePlanned  State = "planned"
	StateRunning  State = "running"
	StatePaused   State = "paused"
	StateAborting State = "aborting" // what was done is being reverted
	StateAborted  State = "aborted"
	StateDone     State = "done"
)

// Phase is what a running or aborting retirement does, as it is stored.
type Phase string

// The phases of a running retirement, in order. From PhaseDrop on it can't be aborted.
const (
	PhaseLoadBase     Phase = "load-base"     // the new base is loaded, where there is memory
	PhaseLoadAdapters Phase = "load-adapters" // the replacements are loaded on it
	PhaseProve        Phase = "prove"         // each node answers a real request under each of them
	PhaseMove         Phase = "move"          // requests are moved to them, in steps
	PhaseDrain        Phase = "drain"         // requests on the old base end
	PhaseBarrier      Phase = "barrier"       // every node answers once more, after all that
	PhaseDrop         Phase = "drop"          // the old base is unloaded, a few nodes at once
	PhaseFinish       Phase = "finish"        // the service is named by the new base
)

// The phases of an aborting retirement, in order.
const (
	PhaseRevertRoutes Phase = "return" // requests are moved back
	PhaseRevertDrain  Phase = "settle" // requests on the new base end
	PhaseRevertUnload Phase = "clean"  // the new base is unloaded from the nodes
)

var phases = []Phase{PhaseLoadBase, PhaseLoadAdapters, PhaseProve, PhaseMove, PhaseDrain, PhaseBarrier, PhaseDrop, PhaseFinish}

// An operator's requests.
const (
	verbStart  = "start"
	verbPause  = "pause"
	verbResume = "resume"
	verbAbort  = "abort"
)

const (
	maxHistory  = 64 // entries of a retirement's history
	maxBlockers = 16 // listed blockers; the others are counted by Nodes and Ready
)

// Retirement is the removal of one base model, with its progress. It is one document of the control
// state, so that the next holder of the lease resumes exactly where the last one stopped.
type Retirement struct {
	// The plan.
	Name              string            `json:"name"`
	Service           string            `json:"service"`
	OldBase           string            `json:"from"`
	NewBase           string            `json:"to"`
	Replacements      map[string]string `json:"replace"`            // adapter -> the one that was built for the new base
	TrafficPercents   []int             `json:"shares,omitempty"`   // of requests moved by each step, rising to 100
	SoakSeconds       int               `json:"soak_s,omitempty"`   // how long each step lasts at least
	MaxConcurrent     int               `json:"at_once,omitempty"`  // how many nodes load, prove or unload at once; 0: 1
	AbortFailureRatio float64           `json:"abort_at,omitempty"` // abort when a higher ratio of attempts fails; 0: defaultAbortRatio

	// Its progress.
	State           State             `json:"state"`
	Phase           Phase             `json:"phase,omitempty"`
	Reason          string            `json:"why,omitempty"`    // of the latest transition
	TrafficStep     int               `json:"share"`            // index of the current step in TrafficPercents
	ChangeStarted   bool              `json:"doing,omitempty"`  // the phase's change of the service configuration was started
	ChangeAcked     bool              `json:"made,omitempty"`   // and acknowledged
	PreviousTargets map[string]string `json:"before,omitempty"` // route -> the model or adapter that answered it; "": the one it is named by
	Proofs          map[string]Proof  `json:"proofs,omitempty"` // by node
	Unloaded        map[string]string `json:"clean,omitempty"`  // node -> the incarnation that unloaded the new base
	Dropping        []string          `json:"going,omitempty"`  // nodes that are unloading the old base
	Nodes           int               `json:"nodes,omitempty"`
	Ready           int               `json:"ready,omitempty"` // nodes that block nothing
	Blockers        []Blocker         `json:"holds,omitempty"`
	History         []string          `json:"log,omitempty"` // transitions, oldest first
}

// Proof records that a node's incarnation answered a real request under its base model and each adapter.
type Proof struct {
	Incarnation string    `json:"life"`
	Set         string    `json:"set"` // fingerprint of the WeightSet
	Pass        proofPass `json:"round"`
}

// proofPass is when a proof was made. A later pass includes the earlier ones.
type proofPass int

const (
	passNone       proofPass = iota // no proof is required
	passBeforeMove                  // before requests were moved
	passBarrier                     // at the barrier
)

// Blocker is a node that blocks a retirement, why, and the remedy.
type Blocker struct {
	Node          string `json:"node"`
	Reason        string `json:"why"`
	Remedy        string `json:"remedy"`
	NeedsOperator bool   `json:"stuck,omitempty"` // the system can't resolve it by itself
}

// Key is the key of the document that holds a retirement.
//
// Example: retire.Key("lector-main", "spring") == "retire/lector-main/spring"
func Key(service, name string) string { return "retire/" + service + "/" + name }

// Read decodes a retirement. An unknown field is an error, of the kind errs.BadInput.
//
// Example: r, err := retire.Read(document.Body)
func Read(body []byte) (*Retirement, error) {
	r := &Retirement{}
	decoder := json.NewDecoder(strings.NewReader(string(body)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(r); err != nil {
		return nil, errs.WrapAs(err, errs.BadInput, "retirement")
	}
	return r, nil
}

// Write encodes a retirement.
//
// Example: body, err := r.Write()
func (r *Retirement) Write() ([]byte, error) {
	body, err := json.Marshal(r)
	return body, errs.Wrap(err, "write retirement")
}

// Active reports whether a retirement hasn't ended.
//
// Example: if r.Active() { … }
func (r *Retirement) Active() bool { return r.State != StateDone && r.State != StateAborted }

// PastBarrier reports whether the barrier is passed: the old base may have been unloaded from a node.
//
// Example: if r.PastBarrier() { … }
func (r *Retirement) PastBarrier() bool {
	return r.Phase == PhaseDrop || r.Phase == PhaseFinish || r.State == StateDone
}

// ApplyVerb applies an operator's verb: start, pause, resume or abort. Repeating it changes nothing. It
// changes the state alone; the lease holder carries out what follows from it. The error is of the kind
// errs.Conflict if the state doesn't allow the verb, errs.BadInput if there is no such verb.
//
// Example: err := r.ApplyVerb("pause")
func (r *Retirement) ApplyVerb(verb string) error {
	switch {
	case verb == verbStart && r.State == StatePlanned:
		r.transition(StateRunning, PhaseLoadBase, "started by an operator")
	case verb == verbStart && r.State == StateRunning:
	case verb == verbPause && r.State == StateRunning:
		r.transition(StatePaused, r.Phase, "by an operator")
	case verb == verbPause && r.State == StatePaused:
	case verb == verbResume && r.State == StatePaused:
		r.transition(StateRunning, r.Phase, "")
	case verb == verbResume && r.State == StateRunning:
	case verb == verbAbort && r.PastBarrier():
		return errs.New(errs.Conflict, "retirement %q has passed its barrier: old weights may have gone: let it end, then retire %s in favour of %s", r.Name, r.NewBase, r.OldBase)
	case verb == verbAbort && (r.State == StateAborting || r.State == StateAborted):
	case verb == verbAbort && r.State == StatePlanned:
		r.transition(StateAborted, "", "before it began")
	case verb == verbAbort:
		r.abort("by an operator")
	case verb == verbStart || verb == verbPause || verb == verbResume:
		return errs.New(errs.Conflict, "retirement %q is %s: %s doesn't go with that", r.Name, r.State, verb)
	default:
		return errs.New(errs.BadInput, "%q: give start, pause, resume or abort", verb)
	}
	return nil
}

// abort starts to revert what was done: routes first, if any may have been moved.
func (r *Retirement) abort(reason string) {
	first := PhaseRevertDrain
	if i := slices.Index(phases, r.Phase); i >= slices.Index(phases, PhaseMove) {
		first = PhaseRevertRoutes
	}
	r.ChangeStarted, r.ChangeAcked, r.Unloaded = false, false, nil
	r.transition(StateAborting, first, reason)
}

// transition enters a state and a phase, and appends them to the history.
func (r *Retirement) transition(state State, phase Phase, reason string) {
	if r.State != state || r.Phase != phase {
		line := strings.TrimSuffix(fmt.Sprintf("%s %s: %s", state, phase, reason), ": ")
		r.History = append(r.History, strings.TrimSpace(line))
		r.History = r.History[max(0, len(r.History)-maxHistory):]
	}
	r.State, r.Phase, r.Reason, r.Blockers = state, phase, reason, nil
}

// RecordProof records that a node's incarnation has answered under every element of a set.
//
// Example: r.RecordProof("worker-3", incarnation, set)
func (r *Retirement) RecordProof(node, incarnation string, set WeightSet) {
	pass := passBeforeMove
	if r.Phase == PhaseBarrier || r.PastBarrier() {
		pass = passBarrier
	}
	if r.Proofs == nil {
		r.Proofs = map[string]Proof{}
	}
	r.Proofs[node] = Proof{Incarnation: incarnation, Set: set.Fingerprint(), Pass: pass}
}

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

func (r *Retirement) clone() *Retirement {
	c := *r
	c.PreviousTargets, c.Proofs, c.Unloaded = maps.Clone(r.PreviousTargets), maps.Clone(r.Proofs), maps.Clone(r.Unloaded)
	c.Dropping, c.Blockers, c.History = slices.Clone(r.Dropping), slices.Clone(r.Blockers), slices.Clone(r.History)
	return &c
}

// concurrency is how many nodes load, prove or unload at once.
func (r *Retirement) concurrency() int { return max(1, r.MaxConcurrent) }

// trafficSteps are the percents of requests that are moved, step by step.
func (r *Retirement) trafficSteps() []int {
	if len(r.TrafficPercents) == 0 {
		return []int{10, 50, 100}
	}
	return r.TrafficPercents
}

// Progress describes how far a retirement has come, for people.
//
// Example: fmt.Println(r.Progress())
func (r *Retirement) Progress() string {
	phase := slices.Index(phases, r.Phase)
	switch {
	case r.State == StateDone:
		return "the old base is gone"
	case r.State == StateAborted:
		return "as it was before"
	case r.State == StatePlanned:
		return "not begun"
	case phase < 0:
		return fmt.Sprintf("%s, %d of %d nodes as before", r.Phase, r.Ready, r.Nodes)
	}
	text := fmt.Sprintf("phase %d of %d (%s), %d of %d nodes ready", phase+1, len(phases), r.Phase, r.Ready, r.Nodes)
	if steps := r.trafficSteps(); r.Phase == PhaseMove && r.TrafficStep < len(steps) {
		text += fmt.Sprintf(", share %d of %d: %d percent", r.TrafficStep+1, len(steps), steps[r.TrafficStep])
	}
	return text
}

// NeedsOperator reports whether a blocker needs an operator.
//
// Example: if r.NeedsOperator() { lookIntoIt() }
func (r *Retirement) NeedsOperator() bool {
	return r.Active() && slices.ContainsFunc(r.Blockers, func(blocker Blocker) bool { return blocker.NeedsOperator })
}
