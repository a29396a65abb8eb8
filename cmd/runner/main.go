// Program runner is the agent on an edge machine: news, proof of freshness, workers, heartbeats.
package main

import (
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/data/nodeagent"
	"pebbleloom/internal/settings"
)

func main() {
	daemon.Main("runner", "the agent on an edge machine: news, proof of freshness, workers, heartbeats", settings.Need{Seeds: true, Core: true, Rank: true, Operator: true}, nodeagent.Start)
}
