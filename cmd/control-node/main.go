// Command control-node runs a member of the control plane, which stores shards of the control state on disk and
// replicates them by consensus.
package main

import (
	"pebbleloom/internal/control/controlstate"
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/programs"
	"pebbleloom/internal/settings"
)

func main() {
	daemon.Main(programs.ControlNode, "a control node: stores shards of the control state on disk and replicates them by consensus", settings.Required{Seeds: true, Core: true, Data: true, Operator: true}, controlstate.Start)
}
