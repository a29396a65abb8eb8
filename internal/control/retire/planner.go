package retire

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"pebbleloom/internal/contract"
	"pebbleloom/internal/control/serviceconfig"
	"pebbleloom/internal/errs"
)

// Automatic abort, by the service's recent attempts.
const (
	defaultAbortRatio = 0.2 // of attempts that fail, unless the retirement sets another ratio
	minAttempts       = 20  // fewer attempts are no evidence
)

// Kinds of the orders to nodes, as they are sent.
const (
	OrderLoad   = "load"   // load a base model, or an adapter on it
	OrderUnload = "unload" // unload a base model with its adapters
)

// platformBlocker is the name under which the platform blocks a retirement.
const platformBlocker = "platform"

// noActionPrefix is the prefix of a remedy that needs no operator.
const noActionPrefix = "nothing to do"

// remedySeeWorkerLog is the remedy for a node that is at work.
const remedySeeWorkerLog = noActionPrefix + "; if it stays so, see the worker's log"

// Node is the observed state of one worker that the platform lists.
type Node struct {
	Name        string
	Incarnation string // "" if it isn't reachable
	Reachable   bool
	Draining    bool
	Loaded      []contract.LoadedModel
	Loading     string // what it is loading; "": nothing
	MemoryMB    int    // for weights; 0: unknown
	FreeMB      int    // of MemoryMB
}

// Observation is the input of a step. The service configuration was read by majority before the
// retirement was, the nodes after it: so whatever this holder does late meets a later version.
type Observation struct {
	Now           time.Duration // reading of the process's clock
	Version       uint64        // of the retirement's document
	Config        *serviceconfig.Config
	WorkersListed bool // the platform's list was read just now
	Nodes         []Node
	Succeeded     float64       // recent attempts of the service
	Failed        float64       // recent attempts of the service
	MaxConfigAge  time.Duration // how long a proxy may use an older configuration
}

// Action is one thing to do now; exactly one of Patch, Order and ProofSet is set.
type Action struct {
	Patch       []byte          // a partial service configuration
	Order       *contract.Order // to the node
	ProofSet    *WeightSet      // send the node a request under each element
	Node        string
	Incarnation string // of the node that gets the requests
}

// Planner advances one retirement. Between calls it remembers only since when conditions hold, by the
// process's clock, and why proofs failed; a new lease holder starts without both.
type Planner struct {
	conditionSince map[string]time.Duration // by condition
	failedProofs   map[string]string        // by node: why its last proof failed
}

// NewPlanner returns a planner that remembers nothing.
//
// Example: planner := retire.NewPlanner()
func NewPlanner() *Planner {
	return &Planner{conditionSince: map[string]time.Duration{}, failedProofs: map[string]string{}}
}

// RecordFailedProof remembers why a node's proof failed, for the list of blockers.
//
// Example: planner.RecordFailedProof("worker-3", err.Error())
func (p *Planner) RecordFailedProof(node, reason string) { p.failedProofs[node] = reason }

// Next computes a retirement's next step: the retirement as it is to be written (changed reports
// whether it differs), and the actions that the written one already allows. Every action is
// idempotent: a patch states the target, an order names what is to be loaded, a proof is a request. So
// a holder that dies between any two effects leaves nothing that the next one can't resume.
//
// Example: next, actions, changed := planner.Next(retirement, observation)
func (p *Planner) Next(old *Retirement, observed Observation) (next *Retirement, actions []Action, changed bool) {
	next = old.clone()
	if next.State != StateRunning && next.State != StateAborting {
		return next, nil, false
	}
	if blocker, ok := next.missingObservation(observed); ok {
		next.Blockers = []Blocker{blocker}
		return next, nil, !slices.Equal(old.Blockers, next.Blockers)
	}
	if next.State == StateRunning && next.stopOnFailures(observed) {
		return next, nil, true
	}
	slices.SortFunc(observed.Nodes, func(a, b Node) int { return cmp.Compare(a.Name, b.Name) })
	e := newEvaluation(p, next, observed)
	e.pruneProofs()
	if next.State == StateRunning {
		e.advance()
	} else {
		e.advanceAbort()
	}
	if next.Phase == old.Phase && next.State == old.State {
		e.recordBlockers()
	} else {
		e.actions = nil // the written state no longer allows them
	}
	return next, e.actions, e.changed || !slices.Equal(old.Blockers, next.Blockers) || old.Ready != next.Ready || old.Nodes != next.Nodes
}

// missingObservation returns a blocker if the observation isn't enough to decide on anything.
func (r *Retirement) missingObservation(observed Observation) (Blocker, bool) {
	switch {
	case observed.Config == nil || !observed.WorkersListed:
		return Blocker{
			Node:          platformBlocker,
			Reason:        "its list of workers, or the service configuration, can't be read",
			Remedy:        "see that the placement controllers' rank address answers, and the core machines",
			NeedsOperator: true,
		}, true
	case len(observed.Nodes) == 0:
		return Blocker{
			Node:          r.Service,
			Reason:        "the platform lists no worker of it",
			Remedy:        "see the platform's list",
			NeedsOperator: true,
		}, true
	}
	return Blocker{}, false
}

// stopOnFailures aborts or pauses a retirement by itself: on too many failed attempts, or a service
// configuration that the plan no longer fits. It reports whether it did.
func (r *Retirement) stopOnFailures(observed Observation) bool {
	limit := r.AbortFailureRatio
	if limit == 0 {
		limit = defaultAbortRatio
	}
	if attempts := observed.Succeeded + observed.Failed; attempts >= minAttempts && observed.Failed/attempts > limit {
		reason := fmt.Sprintf("stopped: %.0f of %.0f attempts failed lately: find out why", observed.Failed, attempts)
		if r.PastBarrier() {
			r.transition(StatePaused, r.Phase, reason+", then resume")
		} else {
			r.abort(reason + ", then plan it anew")
		}
		return true
	}
	if r.PastBarrier() {
		return false
	}
	var faults errs.Batch
	r.ValidateConfig(observed.Config, &faults)
	if err := faults.Err(); err != nil {
		r.transition(StatePaused, r.Phase, "stopped: "+err.Error())
		return true
	}
	return false
}

// evaluation is one evaluation of a running or aborting retirement.
type evaluation struct {
	*Planner
	retirement     *Retirement // the next one
	observed       Observation
	oldSet, newSet WeightSet
	newFingerprint string // of newSet
	actions        []Action
	blockers       []Blocker
	changed        bool // the retirement differs in more than its blockers
}

func newEvaluation(p *Planner, retirement *Retirement, observed Observation) *evaluation {
	e := &evaluation{Planner: p, retirement: retirement, observed: observed}
	e.oldSet, e.newSet = retirement.oldAndNewSets(observed.Config)
	e.newFingerprint = e.newSet.Fingerprint()
	return e
}

// pruneProofs drops proofs of past incarnations and of other sets. A node that isn't reachable keeps its
// own.
func (e *evaluation) pruneProofs() {
	proofs := e.retirement.Proofs
	incarnations := map[string]string{}
	for _, node := range e.observed.Nodes {
		incarnations[node.Name] = node.Incarnation
		if !node.Reachable {
			incarnations[node.Name] = proofs[node.Name].Incarnation
		}
	}
	before := len(proofs)
	maps.DeleteFunc(proofs, func(node string, proof Proof) bool {
		return incarnations[node] != proof.Incarnation || proof.Set != e.newFingerprint
	})
	e.changed = e.changed || before != len(proofs)
}

// addBlocker adds a blocker. It needs an operator unless its remedy says that there is nothing to do.
func (e *evaluation) addBlocker(node, reason, remedy string) {
	e.blockers = append(e.blockers, Blocker{
		Node:          node,
		Reason:        reason,
		Remedy:        remedy,
		NeedsOperator: !strings.HasPrefix(remedy, noActionPrefix),
	})
}

// blockedNodes are the names of the nodes that block the retirement so far.
func (e *evaluation) blockedNodes() map[string]bool {
	blocked := map[string]bool{}
	for _, blocker := range e.blockers {
		blocked[blocker.Node] = true
	}
	return blocked
}

// recordBlockers copies the blockers into the retirement.
func (e *evaluation) recordBlockers() {
	blocked := e.blockedNodes()
	e.retirement.Nodes, e.retirement.Ready = len(e.observed.Nodes), len(e.observed.Nodes)
	for _, node := range e.observed.Nodes {
		if blocked[node.Name] {
			e.retirement.Ready--
		}
	}
	e.retirement.Blockers = e.blockers[:min(len(e.blockers), maxBlockers)]
}

// addOrder adds an order to a node's incarnation. It carries the document's version: a node rejects an
// order from before one that it has obeyed.
func (e *evaluation) addOrder(node Node, order contract.Order) {
	order.Incarnation = node.Incarnation
	order.Plan, order.Step = Key(e.retirement.Service, e.retirement.Name), e.observed.Version
	e.actions = append(e.actions, Action{Node: node.Name, Order: &order})
}

// enterPhase starts the next phase, or ends the retirement.
func (e *evaluation) enterPhase(state State, phase Phase) {
	e.retirement.ChangeStarted, e.retirement.ChangeAcked = false, false
	e.retirement.transition(state, phase, "")
	e.changed = true
	clear(e.conditionSince)
	clear(e.failedProofs)
}

// conditionLasted reports whether a condition has lasted for a duration, by the process's clock. The
// first call since the phase began starts the count.
func (e *evaluation) conditionLasted(condition string, duration time.Duration) bool {
	since, ok := e.conditionSince[condition]
	if !ok {
		since = e.observed.Now
		e.conditionSince[condition] = since
	}
	return e.observed.Now-since >= duration
}
