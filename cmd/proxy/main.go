// Command proxy runs the edge proxy, which forwards each request to a worker and streams the response back, sealed with a
// checksum.
package main

import (
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/data/callerproxy"
	"pebbleloom/internal/programs"
	"pebbleloom/internal/settings"
)

func main() {
	daemon.Main(programs.Proxy, "the edge proxy: forwards each request to a worker and streams the response back, sealed with a checksum", settings.Required{Public: true, NodeAgent: true, Core: true}, callerproxy.Start)
}
