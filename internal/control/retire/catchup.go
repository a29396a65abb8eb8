package retire

import (
	"fmt"
	"slices"

	"pebbleloom/internal/contract"
)

// readiness is what a phase requires of a node. Each level includes the ones before.
type readiness int

const (
	baseLoaded     readiness = iota // the set's base model
	adaptersLoaded                  // its adapters, in the set's builds
	proved                          // a proof by the node's present incarnation
)

func hasModelLoaded(node Node, base string) bool {
	return slices.ContainsFunc(node.Loaded, func(loaded contract.LoadedModel) bool { return loaded.Model == base })
}

// catchUp brings every node to a set, up to the required readiness; proofs have to be of the pass or a
// later one. Each node that isn't there yet becomes a blocker.
func (e *evaluation) catchUp(set WeightSet, required readiness, pass proofPass) {
	busy := 0 // nodes that load or prove
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

// nextLoad returns what a node has to load next, in words, and the order for it; "" if it has all.
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

// loadMissing orders a node to load what it lacks, if it has the memory and few enough nodes are busy.
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

// requestProof requests a proof of a node unless its incarnation has one under this set and pass.
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
