package retire

import (
	"fmt"
	"testing"

	"pebbleloom/internal/contract"
	"pebbleloom/internal/control/serviceconfig"
)

// While no retirement is active, a worker that restarted without weights, or with a retired base model,
// gets orders to load the configured weight set. A service without adapters gets no orders.
func TestRepair(t *testing.T) {
	config, err := serviceconfig.Decode(initialConfig)
	if err != nil {
		t.Fatal(err)
	}
	complete := contract.LoadedModel{Model: "old", Weights: 3, Adapters: map[string]uint64{"rare": 1, "fare": 4}}
	nodes := []Node{{Name: "a", Reachable: true, Loaded: []contract.LoadedModel{complete}}, {Name: "b", Reachable: true, Incarnation: "b/2"},
		{Name: "c", Reachable: true, Loaded: []contract.LoadedModel{{Model: "old", Weights: 3, Adapters: map[string]uint64{"rare": 1}}}}, {Name: "d"}, {Name: "e", Reachable: true, Loading: "old"}}
	got := ""
	for _, action := range Repair(config, "s", nodes, []string{"old", "older"}) {
		got += fmt.Sprintf("%s %s%s@%d ", action.Node, action.Order.Model, action.Order.Adapter, action.Order.Build)
	}
	if got != "b old@0 c oldfare@4 " {
		t.Errorf("repair orders %q, want node b to load the base model and node c to load adapter fare", got)
	}
	restarted := Node{Name: "f", Reachable: true, Loaded: []contract.LoadedModel{{Model: "older", Weights: 9}, complete}}
	if actions := Repair(config, "s", []Node{restarted}, []string{"older"}); len(actions) != 1 || actions[0].Order.Kind != OrderUnload || actions[0].Order.Model != "older" {
		t.Errorf("repair of a worker with the configured and a retired base model: actions %+v, want one order to unload the retired one", actions)
	}
	restarted.Loaded = restarted.Loaded[:1]
	if actions := Repair(config, "s", []Node{restarted}, []string{"older"}); len(actions) != 1 || actions[0].Order.Kind != OrderLoad {
		t.Errorf("repair of a worker with only a retired base model: actions %+v, want one order to load the configured one", actions)
	}
	config.Models["older"], config.Routes["older"] = serviceconfig.Model{Weights: 9}, serviceconfig.Route{Service: "s"}
	restarted.Loaded = append(restarted.Loaded, complete)
	if actions := Repair(config, "s", []Node{restarted}, []string{"older"}); len(actions) != 0 {
		t.Errorf("repair while a route targets the retired base model again: actions %+v, want none", actions)
	}
	config.Adapters = nil
	if actions := Repair(config, "s", nodes, nil); actions != nil {
		t.Errorf("repair of a service without adapters: actions %v, want none", actions)
	}
}
