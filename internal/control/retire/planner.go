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

// Limits of the automatic abort, which watches the service's recent request attempts.
const (
	defaultAbortRatio = 0.2 // ratio of failed to all attempts above which a retirement is aborted; AbortFailureRatio overrides it
	minAttempts       = 20  // minimum number of recent request attempts; with fewer the failure ratio is not meaningful and the retirement is not aborted
)

// Values of contract.Order.Kind, as they are sent to nodes.
const (
	OrderLoad   = "load"   // load a base model, or an adapter on it
	OrderUnload = "unload" // unload a base model together with its adapters
)

// platformBlocker is the Blocker.Node of a blocker that concerns the platform instead of a node.
const platformBlocker = "platform"

// noActionPrefix begins every Blocker.Remedy that requires no action from an operator.
const noActionPrefix = "nothing to do"

// remedySeeWorkerLog is the Blocker.Remedy for a node that is loading or unloading weights.
const remedySeeWorkerLog = noActionPrefix + "; if it stays so, see the worker's log"

// Node is the observed state of one worker on the platform's list of workers.
type Node struct {
	Name        string
	Incarnation string // changes at each restart; empty if the node is unreachable
	Reachable   bool
	Draining    bool
	Loaded      []contract.LoadedModel
	Loading     string // model or adapter that the node is loading; empty if none
	MemoryMB    int    // memory for weights, in MB; 0 if unknown
	FreeMB      int    // free memory for weights, in MB; part of MemoryMB
}

// Observation is the input of Planner.Next. The service configuration must have been read from a majority
// before the retirement, and the nodes after it. With this order, an action that a lease holder performs
// late meets a newer version and is rejected.
type Observation struct {
	Now           time.Duration // reading of this process's monotonic clock
	Version       uint64        // version of the retirement's document
	Config        *serviceconfig.Config
	WorkersListed bool // whether the platform's list of workers could be read for this observation
	Nodes         []Node
	Succeeded     float64       // recent request attempts of the service that succeeded
	Failed        float64       // recent request attempts of the service that failed
	MaxConfigAge  time.Duration // longest time for which a proxy may use an outdated configuration
}

// Action is one effect for the lease holder to perform; exactly one of Patch, Order and ProofSet is set.
type Action struct {
	Patch       []byte          // JSON merge patch for the service configuration
	Order       *contract.Order // order to send to the node
	ProofSet    *WeightSet      // weight set whose base model and adapters the node must each answer a proof request with
	Node        string          // name of the node that receives the order or the proof requests
	Incarnation string          // incarnation of the node to which the proof requests are addressed
}

// Planner advances one retirement. Between calls it keeps only since when each condition that must last for
// some time has held, by the clock of this process, and why proofs failed. A new lease holder starts with
// neither.
type Planner struct {
	conditionSince map[string]time.Duration // time since which a condition that must last for some time has held, by condition
	failedProofs   map[string]string        // why a node last failed to answer its proof requests, by node name
}

// NewPlanner returns a planner without any state.
//
// Example: planner := retire.NewPlanner()
func NewPlanner() *Planner {
	return &Planner{conditionSince: map[string]time.Duration{}, failedProofs: map[string]string{}}
}

// RecordFailedProof records why a node failed to answer its proof requests, so that the blocker of that node
// can state it.
//
// Example: planner.RecordFailedProof("worker-3", err.Error())
func (p *Planner) RecordFailedProof(node, reason string) { p.failedProofs[node] = reason }

// Next computes one step of a retirement. It returns the document to be written next, the actions that the
// document already stored allows, and whether the document has changed. Every action is idempotent: a patch
// states the target values, an order names what must be loaded, and a proof request is an ordinary client
// request. A lease holder may therefore crash between any two effects, and its successor can resume.
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
		e.actions = nil // actions of the new state or phase are allowed only once it is stored in the document
	}
	return next, e.actions, e.changed || !slices.Equal(old.Blockers, next.Blockers) || old.Ready != next.Ready || old.Nodes != next.Nodes
}

// missingObservation returns a blocker if the observation lacks the service configuration or the list of
// workers, without which no step can be decided.
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

// stopOnFailures aborts or pauses a retirement without an operator's request: if too many recent request
// attempts fail, or if the plan is no longer valid for the service configuration. It reports whether it
// did.
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

// evaluation is the working state of one call of Planner.Next for a running or aborting retirement.
type evaluation struct {
	*Planner
	retirement     *Retirement // retirement document to be written next
	observed       Observation
	oldSet, newSet WeightSet
	newFingerprint string // WeightSet.Fingerprint of newSet
	actions        []Action
	blockers       []Blocker
	changed        bool // whether the retirement differs from the stored one in more than its blockers
}

func newEvaluation(p *Planner, retirement *Retirement, observed Observation) *evaluation {
	e := &evaluation{Planner: p, retirement: retirement, observed: observed}
	e.oldSet, e.newSet = retirement.oldAndNewSets(observed.Config)
	e.newFingerprint = e.newSet.Fingerprint()
	return e
}

// pruneProofs removes proofs made by earlier incarnations of a node, proofs for other weight sets, and
// proofs of nodes that are no longer listed. An unreachable node keeps its proof.
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

// addBlocker adds a blocker. The blocker needs an operator unless its remedy begins with noActionPrefix.
func (e *evaluation) addBlocker(node, reason, remedy string) {
	e.blockers = append(e.blockers, Blocker{
		Node:          node,
		Reason:        reason,
		Remedy:        remedy,
		NeedsOperator: !strings.HasPrefix(remedy, noActionPrefix),
	})
}

// blockedNodes returns the names of the nodes for which this evaluation has added a blocker so far.
func (e *evaluation) blockedNodes() map[string]bool {
	blocked := map[string]bool{}
	for _, blocker := range e.blockers {
		blocked[blocker.Node] = true
	}
	return blocked
}

// recordBlockers stores the first blockers, at most maxBlockers, and the numbers of all nodes and of ready
// nodes in the retirement.
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

// addOrder adds an order to the current incarnation of a node. The order carries the version of the
// retirement's document as its step: a node rejects an order that is older than one it has obeyed.
func (e *evaluation) addOrder(node Node, order contract.Order) {
	order.Incarnation = node.Incarnation
	order.Plan, order.Step = Key(e.retirement.Service, e.retirement.Name), e.observed.Version
	e.actions = append(e.actions, Action{Node: node.Name, Order: &order})
}

// enterPhase changes the retirement's state and phase, and resets what is tracked per phase: the configuration
// change, the conditions that must last, and the failed proofs.
func (e *evaluation) enterPhase(state State, phase Phase) {
	e.retirement.ChangeStarted, e.retirement.ChangeAcked = false, false
	e.retirement.transition(state, phase, "")
	e.changed = true
	clear(e.conditionSince)
	clear(e.failedProofs)
}

// conditionLasted reports whether a condition has held for a duration, by the clock of this process. The
// time counts from the first call for the condition in the current phase.
func (e *evaluation) conditionLasted(condition string, duration time.Duration) bool {
	since, ok := e.conditionSince[condition]
	if !ok {
		since = e.observed.Now
		e.conditionSince[condition] = since
	}
	return e.observed.Now-since >= duration
}
