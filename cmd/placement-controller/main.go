// Command placement-controller reconciles the placement of prompt prefixes and the weights of each service under a lease.
package main

import (
	"pebbleloom/internal/control/placementcontroller"
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/programs"
	"pebbleloom/internal/settings"
)

func main() {
	daemon.Main(programs.PlacementController, "placement under a lease: what every worker holds, and how the long tail is spread", settings.Required{Seeds: true, Core: true}, placementcontroller.Start)
}
