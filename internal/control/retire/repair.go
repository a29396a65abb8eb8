package retire

import (
	"pebbleloom/internal/contract"
	"pebbleloom/internal/control/serviceconfig"
)

// Repair returns the orders that bring a service's workers to the set that the service configuration
// names, while nothing is being retired: a worker that restarts empty, or with a model retired long
// ago, is caught up. A service without adapters is left as its workers start. A retired model is
// unloaded again from a worker that has the complete set.
//
// Example: actions := retire.Repair(config, "lector-main", nodes, []string{"lector"})
func Repair(config *serviceconfig.Config, service string, nodes []Node, retired []string) []Action {
	settings, ok := config.Services[service]
	base := settings.Model
	adapters := dependentAdapters(config, service, base)
	if !ok || len(adapters) == 0 {
		return nil
	}
	plan := &evaluation{
		Planner:    NewPlanner(),
		retirement: &Retirement{Service: service, MaxConcurrent: len(nodes)},
		observed:   Observation{Nodes: nodes},
	}
	plan.catchUp(NewWeightSet(config, base, adapters), adaptersLoaded, passNone)
	behind := plan.blockedNodes()
	for _, node := range nodes {
		for _, old := range retired {
			if old != base && !behind[node.Name] && hasModelLoaded(node, old) && !anyRouteTo(config, service, old) {
				plan.addOrder(node, contract.Order{Kind: OrderUnload, Model: old})
			}
		}
	}
	for _, action := range plan.actions {
		action.Order.Plan, action.Order.Step = "", 0 // no document orders them
	}
	return plan.actions
}

// anyRouteTo reports whether any route of a service leads to a base, or is being moved there.
func anyRouteTo(config *serviceconfig.Config, service, base string) bool {
	for name, route := range config.Routes {
		if route.Service != service && route.HandoverTo != service {
			continue
		}
		for _, targetName := range []string{route.DefaultTarget(name), route.MoveTo} {
			if target, ok := config.Resolve(targetName); ok && target.Model == base {
				return true
			}
		}
	}
	return false
}
