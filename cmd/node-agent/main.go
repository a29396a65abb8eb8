// Command node-agent is the agent on an edge machine: it follows the configuration, proves that it is fresh, watches workers and sends heartbeats.
package main

import (
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/data/nodeagent"
	"pebbleloom/internal/programs"
	"pebbleloom/internal/settings"
)

func main() {
	daemon.Main(programs.NodeAgent, "the agent on an edge machine: configuration, proof of freshness, workers, heartbeats", settings.Required{Seeds: true, Core: true, WorkerList: true, Operator: true}, nodeagent.Start)
}
