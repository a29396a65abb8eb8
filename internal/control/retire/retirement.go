// Package retire plans the replacement of a base model by a new one. Every adapter of the old base model
// has a replacement that was built for the new one. The old base model is unloaded from a node only after
// every node has answered requests under the new base model and each replacement.
//
// The package only decides and performs no I/O. From a retirement's document, the service configuration
// and the observed nodes, a Planner computes the next document and the actions that the stored document
// allows. The holder of the service's lease performs them; docs/retire.md explains the protocol.
package retire

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"pebbleloom/internal/errs"
)

// State is the state of a retirement, as stored in its document.
type State string

// States of a retirement.
const (
	StatePlanned  State = "planned"
	StateRunning  State = "running"
	StatePaused   State = "paused"
	StateAborting State = "aborting" // routes and loaded weights are being reverted
	StateAborted  State = "aborted"
	StateDone     State = "done"
)

// Phase is the stage of a running or aborting retirement, as stored in its document.
type Phase string

// Phases of a running retirement, in order. From PhaseDrop on the retirement cannot be aborted.
const (
	PhaseLoadBase     Phase = "load-base"     // every node loads the new base model beside the old one; a node without enough memory blocks the retirement
	PhaseLoadAdapters Phase = "load-adapters" // every node loads the replacement adapters on the new base model
	PhaseProve        Phase = "prove"         // every node answers a real request under the new base model and each replacement
	PhaseMove         Phase = "move"          // routes are moved to the new base model and the replacements, in steps
	PhaseDrain        Phase = "drain"         // the retirement waits until no request runs on the old base model
	PhaseBarrier      Phase = "barrier"       // every node answers the proof requests once more, after the drain
	PhaseDrop         Phase = "drop"          // the old base model is unloaded, from a few nodes at a time
	PhaseFinish       Phase = "finish"        // the service configuration names the new base model for the service
)

// Phases of an aborting retirement, in order.
const (
	PhaseRevertRoutes Phase = "return" // routes are moved back to their previous targets
	PhaseRevertDrain  Phase = "settle" // the abort waits until no request runs on the new base model
	PhaseRevertUnload Phase = "clean"  // the new base model is unloaded from every node
)

// phases lists the phases of a running retirement in order.
var phases = []Phase{PhaseLoadBase, PhaseLoadAdapters, PhaseProve, PhaseMove, PhaseDrain, PhaseBarrier, PhaseDrop, PhaseFinish}

// Verbs by which an operator controls a retirement.
const (
	verbStart  = "start"
	verbPause  = "pause"
	verbResume = "resume"
	verbAbort  = "abort"
)

const (
	maxHistory  = 64 // maximum number of transitions that Retirement.History keeps
	maxBlockers = 16 // maximum number of blockers that Retirement.Blockers lists; Nodes minus Ready counts all blocked nodes
)

// Retirement is the replacement of one base model by another: the operator's plan and its progress. It is
// stored as one document of the control state, so that the next holder of the lease resumes exactly where
// the previous one stopped.
type Retirement struct {
	// Plan, as written by the operator.
	Name              string            `json:"name"`
	Service           string            `json:"service"`
	OldBase           string            `json:"from"`
	NewBase           string            `json:"to"`
	Replacements      map[string]string `json:"replace"`            // adapter on the old base model -> its replacement, built for the new one
	TrafficPercents   []int             `json:"shares,omitempty"`   // percentage of requests moved at each traffic step, rising to 100; empty means 10, 50, 100
	SoakSeconds       int               `json:"soak_s,omitempty"`   // minimum duration of each traffic step, in seconds
	MaxConcurrent     int               `json:"at_once,omitempty"`  // number of nodes that may load, prove or unload at the same time; 0 means 1
	AbortFailureRatio float64           `json:"abort_at,omitempty"` // ratio of failed to all request attempts above which the retirement is aborted, or paused after PhaseBarrier; 0 means defaultAbortRatio

	// Progress, as written by the lease holder.
	State           State             `json:"state"`
	Phase           Phase             `json:"phase,omitempty"`
	Reason          string            `json:"why,omitempty"`    // reason of the latest change of state or phase
	TrafficStep     int               `json:"share"`            // index of the current step in TrafficPercents
	ChangeStarted   bool              `json:"doing,omitempty"`  // the current phase has started its change of the service configuration
	ChangeAcked     bool              `json:"made,omitempty"`   // the current phase's change of the service configuration was acknowledged
	PreviousTargets map[string]string `json:"before,omitempty"` // route -> model or adapter that served it before the move; "" means the one that the route is named after
	Proofs          map[string]Proof  `json:"proofs,omitempty"` // latest valid proof of each node, by node name
	Unloaded        map[string]string `json:"clean,omitempty"`  // node -> incarnation that confirmed unloading the new base model during an abort
	Dropping        []string          `json:"going,omitempty"`  // names of the nodes that are unloading the old base model
	Nodes           int               `json:"nodes,omitempty"`  // number of the service's nodes on the platform's list
	Ready           int               `json:"ready,omitempty"`  // number of listed nodes without a blocker
	Blockers        []Blocker         `json:"holds,omitempty"`
	History         []string          `json:"log,omitempty"` // latest changes of state or phase, oldest first
}

// Proof records that one incarnation of a node answered a real request under the base model of a weight
// set and under each of its adapters.
type Proof struct {
	Incarnation string    `json:"life"`
	Set         string    `json:"set"` // WeightSet.Fingerprint of the set
	Pass        proofPass `json:"round"`
}

// proofPass is the stage of a retirement in which a proof was made. A proof of a later pass also counts
// for the earlier ones.
type proofPass int

const (
	passNone       proofPass = iota // the phase requires no proof
	passBeforeMove                  // made before PhaseBarrier; required before any route is moved
	passBarrier                     // made in PhaseBarrier or later; required before the old base model is unloaded
)

// Blocker states which node blocks a retirement, the reason, and the remedy.
type Blocker struct {
	Node          string `json:"node"`
	Reason        string `json:"why"`
	Remedy        string `json:"remedy"`
	NeedsOperator bool   `json:"stuck,omitempty"` // the retirement cannot proceed without an operator's action
}

// Key returns the key of the document that stores a retirement.
//
// Example: retire.Key("lector-main", "spring") == "retire/lector-main/spring"
func Key(service, name string) string { return "retire/" + service + "/" + name }

// Read decodes a retirement from JSON. Invalid JSON and unknown fields are errors of the kind
// errs.BadInput.
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

// Write encodes the retirement as JSON.
//
// Example: body, err := r.Write()
func (r *Retirement) Write() ([]byte, error) {
	body, err := json.Marshal(r)
	return body, errs.Wrap(err, "encode retirement as JSON")
}

// Active reports whether the retirement is neither done nor aborted.
//
// Example: if r.Active() { … }
func (r *Retirement) Active() bool { return r.State != StateDone && r.State != StateAborted }

// PastBarrier reports whether the retirement has completed PhaseBarrier, so that the old base model may
// already be unloaded from some nodes.
//
// Example: if r.PastBarrier() { … }
func (r *Retirement) PastBarrier() bool {
	return r.Phase == PhaseDrop || r.Phase == PhaseFinish || r.State == StateDone
}

// ApplyVerb applies an operator's verb: start, pause, resume or abort. Repeating a verb changes nothing.
// Only the state and the phase change; the lease holder performs the resulting actions. The error is of the
// kind errs.Conflict if the current state does not allow the verb, and errs.BadInput if the verb is unknown.
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
		return errs.New(errs.Conflict, "retirement %q has passed its barrier and cannot be aborted: some nodes may have unloaded the old base model; let it finish, then plan a retirement from %s to %s", r.Name, r.NewBase, r.OldBase)
	case verb == verbAbort && (r.State == StateAborting || r.State == StateAborted):
	case verb == verbAbort && r.State == StatePlanned:
		r.transition(StateAborted, "", "before it began")
	case verb == verbAbort:
		r.abort("by an operator")
	case verb == verbStart || verb == verbPause || verb == verbResume:
		return errs.New(errs.Conflict, "retirement %q is %s, and the verb %q is not allowed in that state", r.Name, r.State, verb)
	default:
		return errs.New(errs.BadInput, "unknown retirement verb %q: use start, pause, resume or abort", verb)
	}
	return nil
}

// abort enters StateAborting. It begins with the routes if any of them may have been moved, and otherwise
// with draining the new base model.
func (r *Retirement) abort(reason string) {
	first := PhaseRevertDrain
	if i := slices.Index(phases, r.Phase); i >= slices.Index(phases, PhaseMove) {
		first = PhaseRevertRoutes
	}
	r.ChangeStarted, r.ChangeAcked, r.Unloaded = false, false, nil
	r.transition(StateAborting, first, reason)
}

// transition sets the state, the phase and the reason, and clears the blockers. A change of state or phase
// is appended to the history.
func (r *Retirement) transition(state State, phase Phase, reason string) {
	if r.State != state || r.Phase != phase {
		line := strings.TrimSuffix(fmt.Sprintf("%s %s: %s", state, phase, reason), ": ")
		r.History = append(r.History, strings.TrimSpace(line))
		r.History = r.History[max(0, len(r.History)-maxHistory):]
	}
	r.State, r.Phase, r.Reason, r.Blockers = state, phase, reason, nil
}

// RecordProof records that an incarnation of a node has answered under the base model and every adapter of
// a weight set.
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

// RecordPatch records that the current phase's change of the service configuration was acknowledged.
//
// Example: r.RecordPatch()
func (r *Retirement) RecordPatch() { r.ChangeAcked = true }

// RecordUnload records that an incarnation of a node acknowledged the order to unload the new base model.
// It has an effect only in PhaseRevertUnload.
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

// concurrency returns how many nodes may load, prove or unload at the same time.
func (r *Retirement) concurrency() int { return max(1, r.MaxConcurrent) }

// trafficSteps returns the percentage of requests moved at each traffic step, by default 10, 50 and 100.
func (r *Retirement) trafficSteps() []int {
	if len(r.TrafficPercents) == 0 {
		return []int{10, 50, 100}
	}
	return r.TrafficPercents
}

// Progress returns a human-readable description of how far the retirement has come.
//
// Example: fmt.Println(r.Progress())
func (r *Retirement) Progress() string {
	phase := slices.Index(phases, r.Phase)
	switch {
	case r.State == StateDone:
		return "done: the old base model is unloaded from every node"
	case r.State == StateAborted:
		return "aborted: routes and weights are as they were before the retirement"
	case r.State == StatePlanned:
		return "not started yet"
	case phase < 0:
		return fmt.Sprintf("abort phase %s, %d of %d nodes reverted", r.Phase, r.Ready, r.Nodes)
	}
	text := fmt.Sprintf("phase %d of %d (%s), %d of %d nodes ready", phase+1, len(phases), r.Phase, r.Ready, r.Nodes)
	if steps := r.trafficSteps(); r.Phase == PhaseMove && r.TrafficStep < len(steps) {
		text += fmt.Sprintf(", traffic step %d of %d: %d percent of requests moved", r.TrafficStep+1, len(steps), steps[r.TrafficStep])
	}
	return text
}

// NeedsOperator reports whether the retirement is active and any of its blockers needs an operator.
//
// Example: if r.NeedsOperator() { lookIntoIt() }
func (r *Retirement) NeedsOperator() bool {
	return r.Active() && slices.ContainsFunc(r.Blockers, func(blocker Blocker) bool { return blocker.NeedsOperator })
}
