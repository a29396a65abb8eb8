// Command proxy is the edge proxy: it forwards a request to a worker and streams the sealed response back.
package main

import (
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/data/callerproxy"
	"pebbleloom/internal/programs"
	"pebbleloom/internal/settings"
)

func main() {
	daemon.Main(programs.Proxy, "the edge proxy: forwards a request to a worker and streams the sealed response back", settings.Required{Public: true, NodeAgent: true, Core: true}, callerproxy.Start)
}
