// Command node-agent runs the agent of an edge machine, which follows the configuration, verifies that it is current,
// watches the worker list and sends heartbeats.
package main

import (
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/data/nodeagent"
	"pebbleloom/internal/programs"
	"pebbleloom/internal/settings"
)

func main() {
	daemon.Main(programs.NodeAgent, "the agent of an edge machine: follows the configuration, verifies that it is current, watches workers and sends heartbeats", settings.Required{Seeds: true, Core: true, WorkerList: true, Operator: true}, nodeagent.Start)
}
