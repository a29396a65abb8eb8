package retire

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"pebbleloom/internal/contract"
	"pebbleloom/internal/maputil"
)

// jsonObject is a part of a patch of the service configuration; null removes a field.
type jsonObject = map[string]any

// requirements are what each phase requires of every node.
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

// advance makes a step of the phase that a running retirement is in.
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
		e.dropOldBase(ready)
	case PhaseFinish:
		patch := jsonObject{"services": jsonObject{e.retirement.Service: jsonObject{"model": e.retirement.NewBase}}}
		e.applyConfigChange(ready, patch, func() { e.enterPhase(StateDone, "") })
	}
}

// applyConfigChange makes the phase's change of the service configuration: recorded as started, made,
// recorded as acknowledged; then next runs. Repeating it is harmless, and makes any change that an
// earlier holder still has in flight meet a later version.
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
			panic("retire: a patch of plain values can't be encoded: " + err.Error())
		}
		e.actions = append(e.actions, Action{Patch: body})
	}
}

// moveRoutes moves requests to the new base, step by step; each step lasts for the soak time.
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

// routePatch is the change of the routes that moves a percentage of their requests to the new targets.
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

// recordPreviousTargets records what answers the routes before they are moved, for an abort.
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

// hasUnrecordedRoute reports whether a route is new: its previous target has to be recorded before the
// change is made.
func (e *evaluation) hasUnrecordedRoute(moves map[string]string) bool {
	for route := range moves {
		if _, ok := e.retirement.PreviousTargets[route]; !ok {
			return true
		}
	}
	return false
}

// noRequestsOn reports whether no request runs or waits under a base.
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

// allRoutesMoved reports whether no route leads to the old base. A route that was pointed there meanwhile
// is moved as well.
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

// dropOldBase unloads the old base from the nodes, a few at once.
func (e *evaluation) dropOldBase(ready bool) {
	if moves := e.retirement.routeMoves(e.observed.Config); len(moves) > 0 {
		e.addBlocker(maputil.SortedKeys(moves)[0], "this route is answered on the old base again, which is leaving", "lead it to "+e.retirement.NewBase+": pebblectl config patch")
		return
	}
	loaded := e.nodesWithOldBase()
	dropping := len(e.retirement.Dropping)
	e.retirement.Dropping = slices.DeleteFunc(e.retirement.Dropping, func(node string) bool { return loaded[node] == nil })
	e.changed = e.changed || dropping != len(e.retirement.Dropping)
	if !ready {
		return // a node that joined or restarted is caught up first
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

// nodesWithOldBase returns the nodes that have the old base loaded, or may have: those that aren't
// reachable.
func (e *evaluation) nodesWithOldBase() map[string]*Node {
	nodes := map[string]*Node{}
	for i, node := range e.observed.Nodes {
		if !node.Reachable || hasModelLoaded(node, e.retirement.OldBase) {
			nodes[node.Name] = &e.observed.Nodes[i]
		}
	}
	return nodes
}
