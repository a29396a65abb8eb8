package retire

import (
	"maps"
	"slices"

	"pebbleloom/internal/contract"
	"pebbleloom/internal/maputil"
)

// advanceAbort performs one step of an abort: it restores the routes, waits until no request runs on the
// new base model, and then unloads the new base model from every node.
func (e *evaluation) advanceAbort() {
	switch e.retirement.Phase {
	case PhaseRevertRoutes:
		patch := jsonObject{"ways": e.revertedRoutes()}
		e.applyConfigChange(true, patch, func() { e.enterPhase(StateAborting, PhaseRevertDrain) })
	case PhaseRevertDrain:
		if e.noRequestsOn(e.retirement.NewBase) && e.conditionLasted(string(PhaseRevertDrain), e.observed.MaxConfigAge) {
			e.enterPhase(StateAborting, PhaseRevertUnload)
		}
	case PhaseRevertUnload:
		e.unloadNewBase()
	}
}

// revertedRoutes returns the configuration patch that restores the recorded previous target of each route.
func (e *evaluation) revertedRoutes() jsonObject {
	patch := jsonObject{}
	for _, route := range maputil.SortedKeys(e.retirement.PreviousTargets) {
		if _, ok := e.observed.Config.Routes[route]; !ok {
			continue
		}
		previous := any(nil) // null removes the explicit target: the route then serves the model or adapter it is named after
		if e.retirement.PreviousTargets[route] != "" {
			previous = e.retirement.PreviousTargets[route]
		}
		patch[route] = jsonObject{"use": previous, "move": nil, "moved": nil}
	}
	return patch
}

// unloadNewBase orders every node to unload the new base model, even a node that does not report it as
// loaded: a load order from a previous lease holder may still be in flight, and a node that has obeyed
// this newer order rejects the older one.
func (e *evaluation) unloadNewBase() {
	e.catchUp(e.oldSet, adaptersLoaded, passNone) // a node that joined with only the new base model must load the old one first
	blocked := e.blockedNodes()
	e.pruneUnloaded()
	for _, node := range e.observed.Nodes {
		confirmed := e.retirement.Unloaded[node.Name] == node.Incarnation
		if !blocked[node.Name] && (!confirmed || hasModelLoaded(node, e.retirement.NewBase)) {
			e.addBlocker(node.Name, "it is to drop "+e.retirement.NewBase+" again", remedySeeWorkerLog)
			e.addOrder(node, contract.Order{Kind: OrderUnload, Model: e.retirement.NewBase})
		}
	}
	if len(e.blockers) == 0 {
		e.enterPhase(StateAborted, "")
	}
}

// pruneUnloaded removes unload confirmations given by earlier incarnations of a node and by nodes that are
// no longer listed. An unreachable node keeps its confirmation.
func (e *evaluation) pruneUnloaded() {
	maps.DeleteFunc(e.retirement.Unloaded, func(name, incarnation string) bool {
		return !slices.ContainsFunc(e.observed.Nodes, func(node Node) bool {
			return node.Name == name && (!node.Reachable || node.Incarnation == incarnation)
		})
	})
}
