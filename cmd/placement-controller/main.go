// Command placement-controller runs the controller that decides, while it holds a lease, on which workers the prompt
// prefixes of each service are cached and which versions of weights the workers load.
package main

import (
	"pebbleloom/internal/control/placementcontroller"
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/programs"
	"pebbleloom/internal/settings"
)

func main() {
	daemon.Main(programs.PlacementController, "the placement controller: decides under a lease which prompt prefixes each worker caches, and distributes rarely used ones", settings.Required{Seeds: true, Core: true}, placementcontroller.Start)
}
