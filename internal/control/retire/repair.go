package retire

import (
	"pebbleloom/internal/contract"
	"pebbleloom/internal/control/serviceconfig"
)

// Repair returns the orders that bring a service's workers to the weight set that the service
// configuration names, for use while no retirement is active. A worker that restarted without weights, or
// with a base model that was retired earlier, loads the configured set; a worker that has the complete set
// unloads the retired models. Repair returns no orders for a service without adapters: its workers keep
// the weights that they start with.
//
// Example: actions := retire.Repair(config, "lector-main", nodes, []string{"lector"})
func Repair(config *serviceconfig.Config, service string, nodes []Node, retired []string) []Action {
	settings, ok := config.Services[service]
	base := settings.Model
	adapters := dependentAdapters(config, service, base)
	if !ok || len(adapters) == 0 {
		return nil
	}
	repair := &evaluation{
		Planner:    NewPlanner(),
		retirement: &Retirement{Service: service, MaxConcurrent: len(nodes)},
		observed:   Observation{Nodes: nodes},
	}
	repair.catchUp(NewWeightSet(config, base, adapters), adaptersLoaded, passNone)
	blocked := repair.blockedNodes()
	for _, node := range nodes {
		for _, old := range retired {
			if old != base && !blocked[node.Name] && hasModelLoaded(node, old) && !anyRouteTo(config, service, old) {
				repair.addOrder(node, contract.Order{Kind: OrderUnload, Model: old})
			}
		}
	}
	for _, action := range repair.actions {
		action.Order.Plan, action.Order.Step = "", 0 // these orders belong to no retirement document
	}
	return repair.actions
}

// anyRouteTo reports whether any route that a service serves or takes over targets a base model or an adapter
// on it, or is being moved to such a target.
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
