package retire

import (
	"fmt"
	"maps"
	"slices"

	"pebbleloom/internal/contract"
	"pebbleloom/internal/control/serviceconfig"
	"pebbleloom/internal/queue"
)

func hasModelLoaded(n Node, base string) bool {
	return slices.ContainsFunc(n.Loaded, func(l contract.LoadedModel) bool { return l.Model == base })
}

func (s *evaluation) addOrder(n Node, o contract.Order) {
	o.Incarnation, o.Plan, o.Step = n.Incarnation, Key(s.retirement.Service, s.retirement.Name), s.observed.Version
	s.actions = append(s.actions, Action{Node: n.Name, Order: &o})
}

// catchUp brings every node to a set: its base, from level 1 on its adapters, from level 2 on a proof
// of this round or a later one. Each node that isn't there yet becomes a blocker.
func (s *evaluation) catchUp(x WeightSet, level, round int) {
	busy := 0
	for _, n := range s.observed.Nodes {
		if n.Loading != "" {
			busy++
		}
	}
	for _, n := range s.observed.Nodes {
		if !n.Reachable {
			s.addBlocker(n.Name, "it doesn't answer, and may come back", "bring it back, or have the platform take it out of its list")
			continue
		}
		need, o := "base model "+x.Base, contract.Order{Kind: "load", Model: x.Base, Weights: x.Weights, WeightMemoryMB: x.MemoryMB}
		have := x.loadedBase(n.Loaded)
		if have != nil && level > 0 {
			if a := x.missingAdapter(have); a != nil {
				need = "adapter " + a.Name
				o = contract.Order{Kind: "load", Model: x.Base, Weights: x.Weights, Adapter: a.Name, Build: a.Build, WeightMemoryMB: a.MemoryMB}
			} else {
				need = ""
			}
		} else if have != nil {
			need = ""
		}
		switch {
		case need != "" && n.Loading != "":
			s.addBlocker(n.Name, "it loads "+n.Loading, "nothing to do; if it stays so, see the worker's log")
		case need != "" && n.MemoryMB > 0 && n.FreeMB < o.WeightMemoryMB:
			s.addBlocker(n.Name, fmt.Sprintf("%s takes %d MB, %d of %d are free", need, o.WeightMemoryMB, n.FreeMB, n.MemoryMB), "unload there what isn't needed, or give it more memory and start it again")
		case need != "":
			s.addBlocker(n.Name, "it lacks "+need, "nothing to do: it is loaded in its turn")
			if busy < s.retirement.concurrency() {
				busy++
				s.addOrder(n, o)
			}
		case level > 1:
			s.requestProof(n, x, round, &busy)
		}
	}
}

// requestProof asks a node for a proof unless its incarnation has one under this set and round.
func (s *evaluation) requestProof(n Node, x WeightSet, round int, busy *int) {
	if p, ok := s.retirement.Proofs[n.Name]; ok && p.Incarnation == n.Incarnation && p.Set == s.newFingerprint && p.Pass >= round {
		return
	}
	why, remedy := "it hasn't answered under every adapter yet", "nothing to do: it is asked in its turn"
	if f := s.failedProofs[n.Name]; f != "" {
		why, remedy = "its proof failed: "+f, "see the worker's log; replace it if it stays so"
	}
	if n.Draining {
		remedy = "it is draining: let the platform replace it"
	}
	s.addBlocker(n.Name, why, remedy)
	if *busy < s.retirement.concurrency() {
		*busy++
		s.actions = append(s.actions, Action{Node: n.Name, Incarnation: n.Incarnation, ProofSet: &x})
	}
}

// advanceAbort reverts a retirement: routes, then requests that still run, then the new base.
func (s *evaluation) advanceAbort() {
	switch s.retirement.Phase {
	case PhaseRevertRoutes:
		ways := jsonObject{}
		for _, n := range queue.Keys(s.retirement.PreviousTargets) {
			if _, ok := s.observed.Config.Routes[n]; !ok {
				continue
			}
			use := any(nil)
			if s.retirement.PreviousTargets[n] != "" {
				use = s.retirement.PreviousTargets[n]
			}
			ways[n] = jsonObject{"use": use, "move": nil, "moved": nil}
		}
		s.applyConfigChange(true, jsonObject{"ways": ways}, func() { s.enterPhase(StateAborting, PhaseRevertDrain) })
	case PhaseRevertDrain:
		if s.noRequestsOn(s.retirement.NewBase) && s.conditionLasted(PhaseRevertDrain, s.observed.MaxConfigAge) {
			s.enterPhase(StateAborting, PhaseRevertUnload)
		}
	case PhaseRevertUnload:
		s.catchUp(s.oldSet, 1, 0) // a node that joined with only the new base needs the old one
		behind := map[string]bool{}
		for _, h := range s.blockers {
			behind[h.Node] = true
		}
		maps.DeleteFunc(s.retirement.Unloaded, func(n, incarnation string) bool {
			return !slices.ContainsFunc(s.observed.Nodes, func(x Node) bool { return x.Name == n && (!x.Reachable || x.Incarnation == incarnation) })
		})
		for _, n := range s.observed.Nodes {
			if !behind[n.Name] && (s.retirement.Unloaded[n.Name] != n.Incarnation || hasModelLoaded(n, s.retirement.NewBase)) {
				s.addBlocker(n.Name, "it is to drop "+s.retirement.NewBase+" again", "nothing to do; if it stays so, see the worker's log")
				s.addOrder(n, contract.Order{Kind: "unload", Model: s.retirement.NewBase})
			}
		}
		if len(s.blockers) == 0 {
			s.enterPhase(StateAborted, "")
		}
	}
}

// Repair returns the orders that bring a service's workers to the set that the service configuration
// names, while nothing is being retired: a worker that restarts empty, or with a model retired long
// ago, is caught up. A service without adapters is left as its workers start. A retired model is
// unloaded again from a worker that has the whole set.
//
// Example: actions := retire.Repair(config, "lector-main", nodes, []string{"lector"})
func Repair(s *serviceconfig.Config, service string, nodes []Node, retired []string) []Action {
	v, ok := s.Services[service]
	l := dependentAdapters(s, service, v.Model)
	if !ok || len(l) == 0 {
		return nil
	}
	t := &evaluation{Planner: NewPlanner(), retirement: &Retirement{Service: service, MaxConcurrent: len(nodes)}, observed: Observation{Nodes: nodes}}
	t.catchUp(NewWeightSet(s, v.Model, l), 1, 0)
	behind := map[string]bool{}
	for _, h := range t.blockers {
		behind[h.Node] = true
	}
	for _, n := range nodes {
		for _, base := range retired {
			if base != v.Model && !behind[n.Name] && hasModelLoaded(n, base) && !anyRouteTo(s, service, base) {
				t.addOrder(n, contract.Order{Kind: "unload", Model: base})
			}
		}
	}
	for _, a := range t.actions {
		a.Order.Plan, a.Order.Step = "", 0
	}
	return t.actions
}

// anyRouteTo reports whether any route of a service leads to a base, or is being moved there.
func anyRouteTo(s *serviceconfig.Config, service, base string) bool {
	for n, v := range s.Routes {
		for _, x := range []string{v.DefaultTarget(n), v.MoveTo} {
			if t, ok := s.Resolve(x); ok && t.Model == base && (v.Service == service || v.HandoverTo == service) {
				return true
			}
		}
	}
	return false
}
