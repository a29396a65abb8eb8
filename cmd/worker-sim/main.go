// Command worker-sim simulates a language-model worker.
package main

import (
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/programs"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/sim/workersim"
)

func main() {
	daemon.Main(programs.WorkerSim, "a simulated language-model worker", settings.Required{Public: true}, workersim.Start)
}
