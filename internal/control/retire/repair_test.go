package retire

import (
	"fmt"
	"testing"

	"pebbleloom/internal/contract"
	"pebbleloom/internal/control/serviceconfig"
)

// While nothing is being retired a worker that restarted empty, or with a retired model, gets what the
// configuration names; a service without adapters is left alone.
func TestRepair(t *testing.T) {
	config, err := serviceconfig.Decode(initialConfig)
	if err != nil {
		t.Fatal(err)
	}
	full := contract.LoadedModel{Model: "old", Weights: 3, Adapters: map[string]uint64{"rare": 1, "fare": 4}}
	nodes := []Node{{Name: "a", Reachable: true, Loaded: []contract.LoadedModel{full}}, {Name: "b", Reachable: true, Incarnation: "b/2"},
		{Name: "c", Reachable: true, Loaded: []contract.LoadedModel{{Model: "old", Weights: 3, Adapters: map[string]uint64{"rare": 1}}}}, {Name: "d"}, {Name: "e", Reachable: true, Loading: "old"}}
	got := ""
	for _, action := range Repair(config, "s", nodes, []string{"old", "older"}) {
		got += fmt.Sprintf("%s %s%s@%d ", action.Node, action.Order.Model, action.Order.Adapter, action.Order.Build)
	}
	if got != "b old@0 c oldfare@4 " {
		t.Errorf("%q", got)
	}
	returned := Node{Name: "f", Reachable: true, Loaded: []contract.LoadedModel{{Model: "older", Weights: 9}, full}}
	if actions := Repair(config, "s", []Node{returned}, []string{"older"}); len(actions) != 1 || actions[0].Order.Kind != OrderUnload || actions[0].Order.Model != "older" {
		t.Errorf("a retired model was loaded again: %+v", actions)
	}
	returned.Loaded = returned.Loaded[:1]
	if actions := Repair(config, "s", []Node{returned}, []string{"older"}); len(actions) != 1 || actions[0].Order.Kind != OrderLoad {
		t.Errorf("it has only the retired model: %+v", actions)
	}
	config.Models["older"], config.Routes["older"] = serviceconfig.Model{Weights: 9}, serviceconfig.Route{Service: "s"}
	returned.Loaded = append(returned.Loaded, full)
	if actions := Repair(config, "s", []Node{returned}, []string{"older"}); len(actions) != 0 {
		t.Errorf("a route leads to the retired model again: %+v", actions)
	}
	config.Adapters = nil
	if actions := Repair(config, "s", nodes, nil); actions != nil {
		t.Errorf("%v", actions)
	}
}
