package controlclient

import (
	"sort"

	"pebbleloom/internal/rendezvous"
)

// ShardCount is the number of shards of the control state. Shard 0 holds the site's configuration.
const ShardCount = 8

// ConfigKey is the key of the document that holds the site's configuration, in shard 0.
const ConfigKey = "setup"

// fixedControlNodes is the number of control nodes in a site's settings. Each shard is replicated by all but
// one of them.
const fixedControlNodes = 4

// ShardOf returns the shard that holds a service's documents.
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
