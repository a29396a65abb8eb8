// Command loadgen generates a site's traffic against a site that is up, and checks every byte.
package main

import (
	"os"

	"pebbleloom/internal/sim/testbed"
)

func main() { os.Exit(testbed.LoadGenerator(os.Args[1:], os.Stdout, os.Stderr)) }
