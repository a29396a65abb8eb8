// Program cab is the stand-in for a language-model worker.
package main

import (
	"pebbleloom/internal/cab"
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/settings"
)

func main() {
	daemon.Main("cab", "the stand-in for a language-model worker", settings.Need{Public: true}, cab.Start)
}
