// Command appservice-sim simulates a site's application service.
package main

import (
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/programs"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/sim/appservicesim"
)

func main() {
	daemon.Main(programs.AppServiceSim, "a simulated application service", settings.Required{Public: true}, appservicesim.Start)
}
