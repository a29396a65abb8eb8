// Command control-node is one member of the control plane: it holds shards of the control state, replicated by consensus and kept on disk.
package main

import (
	"pebbleloom/internal/control/controlstate"
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/programs"
	"pebbleloom/internal/settings"
)

func main() {
	daemon.Main(programs.ControlNode, "the control node: shards of the control state, replicated by consensus and kept on disk", settings.Required{Seeds: true, Core: true, Data: true, Operator: true}, controlstate.Start)
}
