package retire

import (
	"fmt"
	"slices"

	"pebbleloom/internal/contract"
)

// readiness is what a phase of a retirement requires of a node. Each level includes the preceding ones.
type readiness int

const (
	baseLoaded     readiness = iota // the base model of the weight set is loaded
	adaptersLoaded                  // every adapter of the weight set is loaded, in the configured build
	proved                          // the node's current incarnation has a recorded Proof
)

func hasModelLoaded(node Node, base string) bool {
	return slices.ContainsFunc(node.Loaded, func(loaded contract.LoadedModel) bool { return loaded.Model == base })
}

// catchUp brings every node to the required readiness for a weight set. Proofs count only if they were made in
// the given stage of the retirement (proofPass) or a later one. Each node that is not ready yet is added as a
// blocker.
func (e *evaluation) catchUp(set WeightSet, required readiness, pass proofPass) {
	busy := 0 // number of nodes that are loading weights or answering a proof request
	for _, node := range e.observed.Nodes {
		if node.Loading != "" {
			busy++
		}
	}
	for _, node := range e.observed.Nodes {
		if !node.Reachable {
			e.addBlocker(node.Name, "it doesn't answer, and may come back", "bring it back, or have the platform take it out of its list")
			continue
		}
		missing, order := set.nextLoad(node, required)
		switch {
		case missing != "":
			e.loadMissing(node, missing, order, &busy)
		case required == proved:
			e.requestProof(node, set, pass, &busy)
		}
	}
}

// nextLoad returns a description of what the node must load next and the order to load it. The
// description is empty if nothing is missing.
func (w WeightSet) nextLoad(node Node, required readiness) (missing string, order contract.Order) {
	base := w.loadedBase(node.Loaded)
	if base == nil {
		return "base model " + w.Base, contract.Order{Kind: OrderLoad, Model: w.Base, Weights: w.Weights, WeightMemoryMB: w.MemoryMB}
	}
	if required == baseLoaded {
		return "", contract.Order{}
	}
	adapter := w.missingAdapter(base)
	if adapter == nil {
		return "", contract.Order{}
	}
	return "adapter " + adapter.Name, contract.Order{
		Kind:           OrderLoad,
		Model:          w.Base,
		Weights:        w.Weights,
		Adapter:        adapter.Name,
		Build:          adapter.Build,
		WeightMemoryMB: adapter.MemoryMB,
	}
}

// loadMissing orders a node to load a missing base model or adapter, provided that the node has enough
// free memory and that fewer nodes are busy than the concurrency limit allows.
func (e *evaluation) loadMissing(node Node, missing string, order contract.Order, busy *int) {
	switch {
	case node.Loading != "":
		e.addBlocker(node.Name, "it loads "+node.Loading, remedySeeWorkerLog)
	case node.MemoryMB > 0 && node.FreeMB < order.WeightMemoryMB:
		e.addBlocker(node.Name, fmt.Sprintf("%s takes %d MB, %d of %d are free", missing, order.WeightMemoryMB, node.FreeMB, node.MemoryMB),
			"unload there what isn't needed, or give it more memory and start it again")
	default:
		e.addBlocker(node.Name, "it lacks "+missing, noActionPrefix+": it is loaded in its turn")
		if *busy < e.retirement.concurrency() {
			*busy++
			e.addOrder(node, order)
		}
	}
}

// requestProof adds the action of sending a node proof requests, one under the base model and one under each
// adapter, unless its current incarnation already has a proof for this weight set from the given stage of the
// retirement (proofPass) or a later one.
func (e *evaluation) requestProof(node Node, set WeightSet, pass proofPass, busy *int) {
	if proof, ok := e.retirement.Proofs[node.Name]; ok && proof.Incarnation == node.Incarnation && proof.Set == e.newFingerprint && proof.Pass >= pass {
		return
	}
	reason, remedy := "it hasn't answered under every adapter yet", noActionPrefix+": it is asked in its turn"
	if failure := e.failedProofs[node.Name]; failure != "" {
		reason, remedy = "its proof failed: "+failure, "see the worker's log; replace it if it stays so"
	}
	if node.Draining {
		remedy = "it is draining: let the platform replace it"
	}
	e.addBlocker(node.Name, reason, remedy)
	if *busy < e.retirement.concurrency() {
		*busy++
		e.actions = append(e.actions, Action{Node: node.Name, Incarnation: node.Incarnation, ProofSet: &set})
	}
}
