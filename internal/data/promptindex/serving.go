package promptindex

import (
	"pebbleloom/internal/control/clustermembership"
	"pebbleloom/internal/rendezvous"
	"pebbleloom/internal/wire"
)

// minServingNodes is the minimum number of index nodes that keys are assigned to, if as many are live. It is 2 because
// each key is assigned to two index nodes.
const minServingNodes = 2

// isLive reports whether a cluster node is a prompt index node that the cluster membership does not regard as dead.
func isLive(node *wire.Node) bool {
	return node.Role == clustermembership.RolePromptIndex && node.State < clustermembership.Dead
}

// ServingNodes selects the live index nodes that keys are assigned to: half of them, rounded up, but at least two, and
// in different zones if possible. The other live index nodes are on standby and do not poll workers. Processes with
// the same view of the cluster membership select the same nodes.
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
