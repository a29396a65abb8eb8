// Command platform-sim simulates the platform that a site is deployed on: it lists workers and probes edge nodes.
package main

import (
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/programs"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/sim/platformsim"
)

func main() {
	daemon.Main(programs.PlatformSim, "a simulated platform that lists workers and probes edge nodes", settings.Required{Public: true}, platformsim.Start)
}
