package promptindex

import (
	"pebbleloom/internal/control/clustermembership"
	"pebbleloom/internal/rendezvous"
	"pebbleloom/internal/wire"
)

// minServingNodes is the least number of index nodes that serve, if there are as many: each key has two.
const minServingNodes = 2

// isLive reports whether a node is an index node that may be asked.
func isLive(node *wire.Node) bool {
	return node.Role == clustermembership.RolePromptIndex && node.State < clustermembership.Dead
}

// ServingNodes selects the index nodes that a site's keys are assigned to: half of them, two at least, in
// different zones if possible. The others stand by, and cost no calls. All processes that know the same
// nodes select the same.
//
// Example: s := promptindex.NewShards(promptindex.ServingNodes(snapshot.Nodes))
func ServingNodes(nodes []*wire.Node) (serving []*wire.Node) {
	byName := map[string]*wire.Node{}
	var names []string
	for _, node := range nodes {
		if isLive(node) && byName[node.Name] == nil {
			byName[node.Name] = node
			names = append(names, node.Name)
		}
	}
	wanted := max(minServingNodes, (len(names)+1)/2)
	usedZones, isSelected := map[string]bool{}, map[string]bool{}
	for _, otherZonesOnly := range []bool{true, false} {
		for _, name := range rendezvous.Order("serving", names) {
			node := byName[name]
			if len(serving) == wanted || isSelected[name] || otherZonesOnly && usedZones[node.Zone] {
				continue
			}
			serving = append(serving, node)
			usedZones[node.Zone], isSelected[name] = true, true
		}
	}
	return serving
}
