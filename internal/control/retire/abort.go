package retire

import (
	"maps"
	"slices"

	"pebbleloom/internal/contract"
	"pebbleloom/internal/maputil"
)

// advanceAbort makes a step of reverting a retirement: routes first, then requests that still run on the
// new base, then the new base itself.
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

// revertedRoutes is the change of the routes that restores their previous targets.
func (e *evaluation) revertedRoutes() jsonObject {
	patch := jsonObject{}
	for _, route := range maputil.SortedKeys(e.retirement.PreviousTargets) {
		if _, ok := e.observed.Config.Routes[route]; !ok {
			continue
		}
		previous := any(nil) // the target that the route is named by
		if e.retirement.PreviousTargets[route] != "" {
			previous = e.retirement.PreviousTargets[route]
		}
		patch[route] = jsonObject{"use": previous, "move": nil, "moved": nil}
	}
	return patch
}

// unloadNewBase orders every node to unload the new base, also one that reports not to have it: an order
// of a past holder to load it may still be in flight, and the node rejects that after this one.
func (e *evaluation) unloadNewBase() {
	e.catchUp(e.oldSet, adaptersLoaded, passNone) // a node that joined with only the new base needs the old one
	behind := e.blockedNodes()
	e.pruneUnloaded()
	for _, node := range e.observed.Nodes {
		confirmed := e.retirement.Unloaded[node.Name] == node.Incarnation
		if !behind[node.Name] && (!confirmed || hasModelLoaded(node, e.retirement.NewBase)) {
			e.addBlocker(node.Name, "it is to drop "+e.retirement.NewBase+" again", remedySeeWorkerLog)
			e.addOrder(node, contract.Order{Kind: OrderUnload, Model: e.retirement.NewBase})
		}
	}
	if len(e.blockers) == 0 {
		e.enterPhase(StateAborted, "")
	}
}

// pruneUnloaded drops the confirmations of past incarnations. A node that isn't reachable keeps its own.
func (e *evaluation) pruneUnloaded() {
	maps.DeleteFunc(e.retirement.Unloaded, func(name, incarnation string) bool {
		return !slices.ContainsFunc(e.observed.Nodes, func(node Node) bool {
			return node.Name == name && (!node.Reachable || node.Incarnation == incarnation)
		})
	})
}
