package retire

import (
	"slices"

	"pebbleloom/internal/contract"
	"pebbleloom/internal/control/serviceconfig"
)

// sendRequest makes one attempt at a request, as a proxy does. The proxy may use an outdated configuration,
// selects among the nodes by the loaded models that they report, and retries when a node shows that the
// attempt was not executed.
func (f *testFleet) sendRequest(request *testRequest) {
	if f.now >= request.deadline {
		return
	}
	lag := f.random.IntN(maxConfigLag)
	config, err := serviceconfig.Decode(f.configHistory[max(0, len(f.configHistory)-1-lag)])
	if err != nil {
		f.t.Fatal(err)
	}
	target, _ := config.Target(request.route, request.id)
	candidates := f.nodesReporting(target)
	if len(candidates) == 0 {
		f.retry(request)
		return
	}
	node := candidates[f.random.IntN(len(candidates))]
	f.at(f.now+1, func() { f.startRequest(request, node, target) })
}

// nodesReporting returns the listed nodes that report a target as loaded.
func (f *testFleet) nodesReporting(target serviceconfig.Target) []*testNode {
	var candidates []*testNode
	for _, node := range f.nodes {
		if node.listed && node.up && slices.ContainsFunc(node.report(), func(loaded contract.LoadedModel) bool {
			return loaded.Model == target.Model && (target.Adapter == "" || loaded.Adapters[target.Adapter] == target.Build)
		}) {
			candidates = append(candidates, node)
		}
	}
	return candidates
}

// retry makes the next attempt at a request two ticks later.
func (f *testFleet) retry(request *testRequest) {
	f.at(f.now+2, func() { f.sendRequest(request) })
}

// startRequest runs an attempt on a node for three ticks, if the node truly has the target loaded.
func (f *testFleet) startRequest(request *testRequest, node *testNode, target serviceconfig.Target) {
	if !node.up || !node.canServe(target) {
		f.retry(request) // the node rejected the attempt or did not accept the connection, so it was not executed
		return
	}
	node.addBusy(target.Model, 1)
	incarnation := node.incarnation
	f.at(f.now+3, func() {
		if node.incarnation == incarnation { // otherwise the node crashed and the response was cut off
			f.endRequest(request, node, target)
		}
	})
}

// endRequest counts the answer to a request. It is a violation if the node no longer has the model that the
// request ran on.
func (f *testFleet) endRequest(request *testRequest, node *testNode, target serviceconfig.Target) {
	if _, ok := node.loaded[target.Model]; !ok {
		f.violation(lostRequest, "node %s unloaded model %s while request %s ran on it", node.name, target.Model, request.id)
		return
	}
	node.addBusy(target.Model, -1)
	request.answers++
	if f.plantedFault == lostRequest && request.retries == 0 {
		request.retries++
		f.sendRequest(request)
	}
}
