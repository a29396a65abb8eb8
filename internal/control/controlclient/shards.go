package controlclient

import (
	"sort"

	"pebbleloom/internal/rendezvous"
)

// ShardCount is the number of shards of the control state. Shard 0 holds the site's configuration, and the others
// hold the documents of services.
const ShardCount = 8

// ConfigKey is the key of the document in shard 0 that holds the site's configuration.
const ConfigKey = "setup"

// fixedControlNodes is the number of control nodes in the settings of a site that lists them. Each shard is replicated
// by all but one of these nodes.
const fixedControlNodes = 4

// ShardOf returns the number of the shard that holds a service's documents; it is never 0.
//
// Example: controlclient.ShardOf("appraisals")
func ShardOf(service string) uint32 { return 1 + uint32(rendezvous.Hash(service)%(ShardCount-1)) }

// Members returns the three of the four control nodes that replicate a shard. If there are fewer than four
// control nodes, all of them replicate it.
//
// Example: controlclient.Members(0, core)
func Members(shard uint32, controlNodes []string) []string {
	members := append([]string(nil), controlNodes...)
	sort.Strings(members)
	if len(members) < fixedControlNodes {
		return members
	}
	excluded := int(shard) % len(members)
	return append(members[:excluded:excluded], members[excluded+1:]...)
}
