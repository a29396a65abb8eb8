package controlclient

import (
	"sort"

	"pebbleloom/internal/rendezvous"
)

// ShardCount is the number of shards of the control state. Shard 0 holds the configuration.
const ShardCount = 8

// ConfigKey is the key of the document that holds the site's configuration, in shard 0.
const ConfigKey = "setup"

// namedControlNodes is how many control nodes a site's settings name. Each shard is replicated by all
// but one of them.
const namedControlNodes = 4

// ShardOf returns the shard that holds a service's documents.
//
// Example: controlclient.ShardOf("appraisals")
func ShardOf(service string) uint32 { return 1 + uint32(rendezvous.Hash(service)%(ShardCount-1)) }

// Members names the three of the four control nodes that replicate a shard; all, where there are fewer.
//
// Example: controlclient.Members(0, core)
func Members(shard uint32, controlNodes []string) []string {
	members := append([]string(nil), controlNodes...)
	sort.Strings(members)
	if len(members) < namedControlNodes {
		return members
	}
	left := int(shard) % len(members)
	return append(members[:left:left], members[left+1:]...)
}
