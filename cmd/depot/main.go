// Program depot is the stand-in for the prompt store.
package main

import (
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/sim/storesim"
)

func main() {
	daemon.Main("depot", "the stand-in for the prompt store", settings.Required{Public: true}, storesim.Start)
}
