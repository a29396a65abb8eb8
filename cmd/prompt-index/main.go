// Command prompt-index runs a prompt index node, which records the workers that have each prompt prefix cached and how
// often the prefix is requested.
package main

import (
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/data/promptindex"
	"pebbleloom/internal/programs"
	"pebbleloom/internal/settings"
)

func main() {
	daemon.Main(programs.PromptIndex, "a prompt index node: records which workers have each prompt prefix cached, and how often it is requested", settings.Required{Seeds: true, NodeAgent: true}, promptindex.Start)
}
