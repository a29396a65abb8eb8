package retire

import (
	"slices"

	"pebbleloom/internal/contract"
	"pebbleloom/internal/control/serviceconfig"
)

// sendRequest makes an attempt of a request. The proxy follows a configuration that may be old, selects among
// nodes by what they report, and retries elsewhere when a node proves that the attempt wasn't executed.
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

// nodesReporting are the listed nodes that report to have a target loaded.
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

func (f *testFleet) retry(request *testRequest) {
	f.at(f.now+2, func() { f.sendRequest(request) })
}

func (f *testFleet) startRequest(request *testRequest, node *testNode, target serviceconfig.Target) {
	if !node.up || !node.hasTarget(target) {
		f.retry(request) // a rejection, or a connection that wasn't made: it wasn't executed
		return
	}
	node.addBusy(target.Model, 1)
	incarnation := node.incarnation
	f.at(f.now+3, func() {
		if node.incarnation == incarnation { // else it died: the stream is interrupted
			f.endRequest(request, node, target)
		}
	})
}

func (f *testFleet) endRequest(request *testRequest, node *testNode, target serviceconfig.Target) {
	if _, ok := node.loaded[target.Model]; !ok {
		f.violation(lostRequest, "%s lost %s while %s ran on it", node.name, target.Model, request.id)
		return
	}
	node.addBusy(target.Model, -1)
	request.answers++
	if f.plantedFault == lostRequest && request.retries == 0 {
		request.retries++
		f.sendRequest(request)
	}
}
