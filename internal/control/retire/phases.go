package retire

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"pebbleloom/internal/contract"
	"pebbleloom/internal/maputil"
)

// jsonObject is a JSON object within a merge patch of the service configuration; a null value removes the
// field.
type jsonObject = map[string]any

// requirements returns the readiness that the current phase requires of every node, and the earliest stage
// (proofPass) whose proofs count.
func (r *Retirement) requirements() (readiness, proofPass) {
	switch r.Phase {
	case PhaseLoadBase:
		return baseLoaded, passNone
	case PhaseLoadAdapters:
		return adaptersLoaded, passNone
	case PhaseBarrier, PhaseDrop, PhaseFinish:
		return proved, passBarrier
	default:
		return proved, passBeforeMove
	}
}

// advance performs one step of the current phase of a running retirement.
func (e *evaluation) advance() {
	required, pass := e.retirement.requirements()
	e.catchUp(e.newSet, required, pass)
	ready := len(e.blockers) == 0
	switch e.retirement.Phase {
	case PhaseLoadBase, PhaseLoadAdapters, PhaseProve:
		if ready {
			e.enterPhase(StateRunning, phases[slices.Index(phases, e.retirement.Phase)+1])
		}
	case PhaseMove:
		e.moveRoutes(ready)
	case PhaseDrain:
		if e.noRequestsOn(e.retirement.OldBase) && ready && e.allRoutesMoved() && e.conditionLasted(string(PhaseDrain), e.observed.MaxConfigAge) {
			e.enterPhase(StateRunning, PhaseBarrier)
		}
	case PhaseBarrier:
		if ready && e.allRoutesMoved() {
			e.enterPhase(StateRunning, PhaseDrop)
		}
	case PhaseDrop:
		e.unloadOldBase(ready)
	case PhaseFinish:
		patch := jsonObject{"services": jsonObject{e.retirement.Service: jsonObject{"model": e.retirement.NewBase}}}
		e.applyConfigChange(ready, patch, func() { e.enterPhase(StateDone, "") })
	}
}

// applyConfigChange patches the service configuration for the current phase. The change is recorded as started
// in the retirement's document, then applied, then recorded as acknowledged; after that, next is called.
// Applying the patch again is harmless, and it raises the configuration's version, so that a patch which a
// previous lease holder still has in flight is rejected.
func (e *evaluation) applyConfigChange(ready bool, patch jsonObject, next func()) {
	switch {
	case e.retirement.ChangeAcked:
		next()
	case !ready:
	case !e.retirement.ChangeStarted:
		e.retirement.ChangeStarted, e.changed = true, true
	default:
		body, err := json.Marshal(patch)
		if err != nil {
			panic("retire: cannot encode the service configuration patch as JSON: " + err.Error())
		}
		e.actions = append(e.actions, Action{Patch: body})
	}
}

// moveRoutes shifts requests to the new base model in steps of rising percentage. Each step lasts at least
// Retirement.SoakSeconds.
func (e *evaluation) moveRoutes(ready bool) {
	steps := e.retirement.trafficSteps()
	if e.retirement.TrafficStep >= len(steps) {
		e.enterPhase(StateRunning, PhaseDrain)
		return
	}
	moves := e.retirement.routeMoves(e.observed.Config)
	if !e.retirement.ChangeStarted {
		e.recordPreviousTargets(moves)
	} else if !e.retirement.ChangeAcked && e.hasUnrecordedRoute(moves) {
		e.retirement.ChangeStarted, e.changed = false, true
		return
	}
	patch := jsonObject{"ways": routePatch(moves, steps[e.retirement.TrafficStep])}
	e.applyConfigChange(ready, patch, func() {
		condition := fmt.Sprint(PhaseMove, e.retirement.TrafficStep)
		soak := time.Duration(e.retirement.SoakSeconds) * time.Second
		if e.conditionLasted(condition, soak) && ready {
			e.retirement.TrafficStep++
			e.retirement.ChangeStarted, e.retirement.ChangeAcked, e.changed = false, false, true
		}
	})
}

// routePatch returns the configuration patch that sends a percentage of each route's requests to its new
// target.
func routePatch(moves map[string]string, percent int) jsonObject {
	patch := jsonObject{}
	for route, target := range moves {
		patch[route] = jsonObject{"move": target, "moved": percent}
		if percent == 100 {
			patch[route] = jsonObject{"use": target, "move": nil, "moved": nil}
		}
	}
	return patch
}

// recordPreviousTargets records the target of each route before it is moved, so that an abort can restore
// it.
func (e *evaluation) recordPreviousTargets(moves map[string]string) {
	for route := range moves {
		if _, ok := e.retirement.PreviousTargets[route]; ok {
			continue
		}
		if e.retirement.PreviousTargets == nil {
			e.retirement.PreviousTargets = map[string]string{}
		}
		e.retirement.PreviousTargets[route] = e.observed.Config.Routes[route].ServedBy
		e.changed = true
	}
}

// hasUnrecordedRoute reports whether any route to be moved has no recorded previous target, for example
// because the route was added recently. The target must be recorded before the route is changed.
func (e *evaluation) hasUnrecordedRoute(moves map[string]string) bool {
	for route := range moves {
		if _, ok := e.retirement.PreviousTargets[route]; !ok {
			return true
		}
	}
	return false
}

// noRequestsOn reports whether no node has a request running or queued on a base model. Otherwise it adds
// the first such node as a blocker.
func (e *evaluation) noRequestsOn(base string) bool {
	for _, node := range e.observed.Nodes {
		for _, loaded := range node.Loaded {
			if loaded.Model == base && loaded.Busy > 0 {
				e.addBlocker(node.Name, fmt.Sprintf("%d requests still run under %s", loaded.Busy, base), noActionPrefix+": they end within their wait")
				return false
			}
		}
	}
	return true
}

// allRoutesMoved reports whether no route targets the old base model. If a route was pointed back to it in
// the meantime, the retirement returns to the last traffic step of PhaseMove, which moves that route too.
func (e *evaluation) allRoutesMoved() bool {
	moves := e.retirement.routeMoves(e.observed.Config)
	if len(moves) == 0 {
		return true
	}
	e.addBlocker(maputil.SortedKeys(moves)[0], "this route is answered on the old base again", noActionPrefix+": it is moved as well")
	e.enterPhase(StateRunning, PhaseMove)
	e.retirement.TrafficStep = len(e.retirement.trafficSteps()) - 1
	return false
}

// unloadOldBase unloads the old base model from the nodes, at most as many at once as the concurrency limit
// allows.
func (e *evaluation) unloadOldBase(ready bool) {
	if moves := e.retirement.routeMoves(e.observed.Config); len(moves) > 0 {
		e.addBlocker(maputil.SortedKeys(moves)[0], "this route is answered on the old base again, which is leaving", "lead it to "+e.retirement.NewBase+": pebblectl config patch")
		return
	}
	loaded := e.nodesWithOldBase()
	dropping := len(e.retirement.Dropping)
	e.retirement.Dropping = slices.DeleteFunc(e.retirement.Dropping, func(node string) bool { return loaded[node] == nil })
	e.changed = e.changed || dropping != len(e.retirement.Dropping)
	if !ready {
		return // a node that joined or restarted must first load the new weight set
	}
	if len(loaded) == 0 {
		e.enterPhase(StateRunning, PhaseFinish)
		return
	}
	for _, node := range e.retirement.Dropping {
		e.addBlocker(node, "it drops the old base", remedySeeWorkerLog)
		e.addOrder(*loaded[node], contract.Order{Kind: OrderUnload, Model: e.retirement.OldBase})
	}
	for _, node := range maputil.SortedKeys(loaded) {
		if len(e.retirement.Dropping) >= e.retirement.concurrency() {
			break
		}
		if !slices.Contains(e.retirement.Dropping, node) {
			e.retirement.Dropping, e.changed = append(e.retirement.Dropping, node), true
		}
	}
}

// nodesWithOldBase returns, by name, the nodes that have the old base model loaded. Unreachable nodes are
// included, because they may have it.
func (e *evaluation) nodesWithOldBase() map[string]*Node {
	nodes := map[string]*Node{}
	for i, node := range e.observed.Nodes {
		if !node.Reachable || hasModelLoaded(node, e.retirement.OldBase) {
			nodes[node.Name] = &e.observed.Nodes[i]
		}
	}
	return nodes
}
