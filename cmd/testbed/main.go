// Command testbed runs a complete site on one machine, each program in its own process, for integration tests.
package main

import (
	"os"

	"pebbleloom/internal/sim/testbed"
)

func main() { os.Exit(testbed.Main(os.Args[1:], os.Stdout, os.Stderr)) }
