// Command prompt-index is an index node: which workers hold each prompt prefix, and how hot the prefix is.
package main

import (
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/data/promptindex"
	"pebbleloom/internal/programs"
	"pebbleloom/internal/settings"
)

func main() {
	daemon.Main(programs.PromptIndex, "an index node: which workers hold each prompt prefix, and how hot it is", settings.Required{Seeds: true, NodeAgent: true}, promptindex.Start)
}
