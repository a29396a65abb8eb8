// Program rank is the stand-in for the platform that lists workers and probes edge nodes.
package main

import (
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/sim/platformsim"
)

func main() {
	daemon.Main("rank", "the stand-in for the platform that lists workers and probes edge nodes", settings.Required{Public: true}, platformsim.Start)
}
