// Program yard runs a whole site on this machine.
package main

import (
	"os"

	"pebbleloom/internal/sim/testbed"
)

func main() { os.Exit(testbed.Main(os.Args[1:], os.Stdout, os.Stderr)) }
