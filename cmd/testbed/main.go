// Command testbed runs a whole site on this machine: every program as a process of its own.
package main

import (
	"os"

	"pebbleloom/internal/sim/testbed"
)

func main() { os.Exit(testbed.Main(os.Args[1:], os.Stdout, os.Stderr)) }
