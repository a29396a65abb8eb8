// Program appservice is the stand-in for a site's application service.
package main

import (
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/sim/appservicesim"
)

func main() {
	daemon.Main("appservice", "the stand-in for a site's application service", settings.Required{Public: true}, appservicesim.Start)
}
