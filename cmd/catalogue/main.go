// Program catalogue is an index node: who holds each prefix, and how hot it is.
package main

import (
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/data/promptindex"
	"pebbleloom/internal/settings"
)

func main() {
	daemon.Main("catalogue", "an index node: who holds each prefix, and how hot it is", settings.Required{Seeds: true, NodeAgent: true}, promptindex.Start)
}
