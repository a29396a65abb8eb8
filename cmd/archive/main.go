// Program archive is the control node: parts of the control state, agreed on by majority and kept on disk.
package main

import (
	"pebbleloom/internal/control/controlstate"
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/settings"
)

func main() {
	daemon.Main("archive", "the control node: parts of the control state, agreed on by majority and kept on disk", settings.Required{Seeds: true, Core: true, Data: true, Operator: true}, controlstate.Start)
}
