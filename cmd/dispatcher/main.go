// Program dispatcher is the edge proxy: one function carries a request to a worker and its sealed stream back.
package main

import (
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/data/callerproxy"
	"pebbleloom/internal/settings"
)

func main() {
	daemon.Main("dispatcher", "the edge proxy: one function carries a request to a worker and its sealed stream back", settings.Required{Public: true, NodeAgent: true, Core: true}, callerproxy.Start)
}
