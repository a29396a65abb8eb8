// Program appservice is the stand-in for a site's application service.
package main

import (
	"pebbleloom/internal/appservice"
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/settings"
)

func main() {
	daemon.Main("appservice", "the stand-in for a site's application service", settings.Need{Public: true}, appservice.Start)
}
