// Program catalogue is an index node: who holds each prefix, and how hot it is.
package main

import (
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/data/promptindex"
	"pebbleloom/internal/settings"
)

func main() {
	daemon.Main("catalogue", "an index node: who holds each prefix, and how hot it is", settings.Need{Seeds: true, Runner: true}, promptindex.Start)
}
