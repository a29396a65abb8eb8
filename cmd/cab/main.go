// Program cab is the stand-in for a language-model worker.
package main

import (
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/sim/workersim"
)

func main() {
	daemon.Main("cab", "the stand-in for a language-model worker", settings.Required{Public: true}, workersim.Start)
}
