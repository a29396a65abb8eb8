// Program appraiser is placement under a lease: what every worker holds, and how the tail is spread.
package main

import (
	"pebbleloom/internal/control/placementcontroller"
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/settings"
)

func main() {
	daemon.Main("appraiser", "placement under a lease: what every worker holds, and how the tail is spread", settings.Required{Seeds: true, Core: true}, placementcontroller.Start)
}
