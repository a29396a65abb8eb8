// Program runner is the agent on an edge machine: news, proof of freshness, workers, heartbeats.
package main

import (
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/data/nodeagent"
	"pebbleloom/internal/settings"
)

func main() {
	daemon.Main("runner", "the agent on an edge machine: news, proof of freshness, workers, heartbeats", settings.Required{Seeds: true, Core: true, WorkerList: true, Operator: true}, nodeagent.Start)
}
