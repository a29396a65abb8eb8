// Command store-sim simulates a store of cached prompt prefixes.
package main

import (
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/programs"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/sim/storesim"
)

func main() {
	daemon.Main(programs.StoreSim, "a simulated prompt store", settings.Required{Public: true}, storesim.Start)
}
